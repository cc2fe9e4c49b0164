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
    #[serde(rename = "cold_from")]
    pub cold_speed_fraction: f64,
    /// Seconds until a cold store has reached its full speed.
    #[serde(rename = "cold_s")]
    pub warm_up_seconds: f64,
    /// A cold store crashes when work arrives faster than this multiple of its current speed.
    #[serde(rename = "fall_multiple")]
    pub crash_multiple: f64,
    /// Time over which arriving work is summed to decide on such a crash, in seconds.
    #[serde(rename = "fall_s")]
    pub crash_window_seconds: f64,
    /// Fraction of its work that an attempt saves if its extent is among the most recent ones.
    #[serde(rename = "run_saves")]
    pub locality_saving: f64,
    /// Number of extents that count as the most recent ones.
    #[serde(rename = "remembers")]
    pub recent_extent_count: usize,
    /// Fraction of a write's work that is deferred and done later in a batch.
    #[serde(rename = "put_off")]
    pub deferred_fraction: f64,
    /// Seconds between batches of deferred work.
    #[serde(rename = "put_off_s")]
    pub deferred_batch_seconds: f64,
}

impl Default for StorePerformance {
    fn default() -> StorePerformance {
        StorePerformance {
            cores: 2,
            unit_ms: 4.0,
            queue: 64,
            cold_speed_fraction: 0.25,
            warm_up_seconds: 4.0,
            crash_multiple: 3.0,
            crash_window_seconds: 1.0,
            locality_saving: 0.4,
            recent_extent_count: 3,
            deferred_fraction: 0.3,
            deferred_batch_seconds: 2.0,
        }
    }
}

impl StorePerformance {
    /// Units of work that a warm store serves in a second.
    pub fn units_per_second(&self) -> f64 {
        f64::from(self.cores) * 1000.0 / self.unit_ms
    }
}

/// Faults that are currently injected into a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Factor by which work takes longer; 1 for normal speed.
    pub slowdown: f64,
    /// Fraction of attempts that fail immediately, from 0 to 1.
    pub error_fraction: f64,
    /// Fraction of results that are not sent, from 0 to 1.
    pub lost_fraction: f64,
    /// Whether the store rejects all attempts as if its queue were full.
    pub rejects_all: bool,
    /// How long writes, zeros and trims are held back before they enter the queue.
    pub write_delay: Duration,
    /// Whether the store accepts connections but sends nothing on them.
    pub is_mute: bool,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault {
            slowdown: 1.0,
            error_fraction: 0.0,
            lost_fraction: 0.0,
            rejects_all: false,
            write_delay: Duration::ZERO,
            is_mute: false,
        }
    }
}
