//! Settings of a store's model: its performance and its injected faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Performance of a store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StorePerformance {
    /// Number of attempts that it works on at the same time.
    pub cores: u32,
    /// Milliseconds that a core needs for one unit of work.
    pub unit_ms: f64,
    /// Length of the queue; an attempt that arrives while it is full is rejected.
    pub queue: usize,
    /// Speed of a cold store when it starts, as a fraction of its full speed.
    pub cold_from: f64,
    /// Seconds until a cold store has reached its full speed.
    pub cold_s: f64,
    /// A cold store crashes when more work arrives than this multiple of its current speed.
    pub fall_multiple: f64,
    /// Time over which the arriving work is summed for that, in seconds.
    pub fall_s: f64,
    /// Fraction of its work that an attempt saves if its extent is among the most recent ones.
    pub run_saves: f64,
    /// Number of extents that count as the most recent ones.
    pub remembers: usize,
    /// Fraction of a write's work that is deferred and done later in a batch.
    pub put_off: f64,
    /// Seconds between batches of deferred work.
    pub put_off_s: f64,
}

impl Default for StorePerformance {
    fn default() -> StorePerformance {
        StorePerformance {
            cores: 2,
            unit_ms: 4.0,
            queue: 64,
            cold_from: 0.25,
            cold_s: 4.0,
            fall_multiple: 3.0,
            fall_s: 1.0,
            run_saves: 0.4,
            remembers: 3,
            put_off: 0.3,
            put_off_s: 2.0,
        }
    }
}

impl StorePerformance {
    /// Units of work that a warm store serves in a second.
    pub fn units_a_second(&self) -> f64 {
        f64::from(self.cores) * 1000.0 / self.unit_ms
    }
}

/// Faults that are currently injected into a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Factor by which work takes longer; 1 for normal speed.
    pub slow: f64,
    /// Fraction of attempts that fail immediately, from 0 to 1.
    pub errors: f64,
    /// Fraction of results that are not sent, from 0 to 1.
    pub lost: f64,
    /// Whether the store rejects all attempts as if its queue were full.
    pub full: bool,
    /// How long writes, zeros and trims are held back before they enter the queue.
    pub write_delay: Duration,
    /// Whether the store accepts connections but sends nothing on them.
    pub mute: bool,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault { slow: 1.0, errors: 0.0, lost: 0.0, full: false, write_delay: Duration::ZERO, mute: false }
    }
}
