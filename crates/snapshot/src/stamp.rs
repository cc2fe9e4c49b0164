//! Timestamps of clocks that outlive a process, and the age of a saved state. Callers read the clocks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// A point in time, by clocks that outlive the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Microseconds since 1970 by the system clock, which may be adjusted.
    pub wall: u64,
    /// The machine's boot id; 0 if unknown.
    pub boot: u128,
    /// Microseconds since that boot, including time in suspend.
    pub since_boot: u64,
}

/// The age of a saved state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// Time since the state was saved.
    Known(Duration),
    /// The age cannot be determined from the clocks. The state must be treated as very old.
    Unknown,
}

impl Age {
    /// The age, if known.
    pub fn known(self) -> Option<Duration> {
        match self {
            Age::Known(age) => Some(age),
            Age::Unknown => None,
        }
    }
}

/// The greatest age that is accepted from the system clock if the machine has rebooted since.
const MAX_AGE_ACROSS_BOOTS: Duration = Duration::from_secs(24 * 3600);

/// The time from `then` to `now`.
///
/// Within one boot, the time since boot is used, because it cannot be adjusted. Across boots, only the system
/// clock is available. It is not trusted if it went backwards, or forwards by more than a day.
pub fn age(then: Stamp, now: Stamp) -> Age {
    let is_same_boot = then.boot == now.boot && now.boot != 0;
    let age = if is_same_boot {
        elapsed_micros(then.since_boot, now.since_boot)
    } else {
        elapsed_micros(then.wall, now.wall).filter(|age| *age <= MAX_AGE_ACROSS_BOOTS)
    };
    age.map_or(Age::Unknown, Age::Known)
}

fn elapsed_micros(from: u64, to: u64) -> Option<Duration> {
    to.checked_sub(from).map(Duration::from_micros)
}
