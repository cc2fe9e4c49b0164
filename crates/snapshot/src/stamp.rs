//! Moments by clocks that outlive a process, and how old a saved state is. Callers bring the clocks' readings.

use std::time::Duration;

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// A moment, by clocks that outlive the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Microseconds since 1970 by the system's clock, which may be set.
    pub wall: u64,
    /// The machine's boot id; 0 where it is not known.
    pub boot: u128,
    /// Microseconds since that boot, suspended time included.
    pub since_boot: u64,
}

/// How old a saved state is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// Time that has passed since it was saved.
    Known(Duration),
    /// The clocks cannot tell: to be treated as very old.
    Unknown,
}

impl Age {
    /// The age, where the clocks can tell it.
    pub fn known(self) -> Option<Duration> {
        match self {
            Age::Known(age) => Some(age),
            Age::Unknown => None,
        }
    }
}

/// The greatest age across two boots that the system's clock is trusted to tell.
const MAX_AGE_ACROSS_BOOTS: Duration = Duration::from_secs(24 * 3600);

/// The time from `then` to `now`.
///
/// Within one boot the time since boot counts, which nobody can set. Across boots only the system's clock is left,
/// which is not trusted where it went backwards or ahead by more than a day.
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
