//! What a store can do, and what is wrong with it: the settings of its model.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a store can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Power {
    /// Attempts worked on at once.
    pub cores: u32,
    /// Milliseconds of a core's work in a unit.
    pub unit_ms: f64,
    /// Attempts that may wait; beyond it they are rejected.
    pub queue: usize,
    /// Part of its full speed that a cold store starts with.
    pub cold_from: f64,
    /// Seconds until a cold store is warm.
    pub cold_s: f64,
    /// Multiple of its present speed beyond which arrivals crash a cold store.
    pub fall_multiple: f64,
    /// Seconds over which those arrivals are summed.
    pub fall_s: f64,
    /// The part of its work that an attempt is spared when its extent is among the last few.
    pub run_saves: f64,
    /// How many extents count as the last few.
    pub remembers: usize,
    /// The part of a write's work that is deferred and done in one batch now and then.
    pub put_off: f64,
    /// Seconds between two such batches.
    pub put_off_s: f64,
}

impl Default for Power {
    fn default() -> Power {
        Power {
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

impl Power {
    /// Units a second when warm.
    pub fn units_a_second(&self) -> f64 {
        f64::from(self.cores) * 1000.0 / self.unit_ms
    }
}

/// What is wrong with a store at present.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Work takes so many times as long.
    pub slow: f64,
    /// Part of attempts that fail at once, from 0 to 1.
    pub errors: f64,
    /// Part of results that are lost, from 0 to 1.
    pub lost: f64,
    /// All attempts are rejected.
    pub full: bool,
    /// Writes are deferred for so long before they queue.
    pub sits: Duration,
    /// Connections are accepted and nothing is answered.
    pub mute: bool,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault { slow: 1.0, errors: 0.0, lost: 0.0, full: false, sits: Duration::ZERO, mute: false }
    }
}
