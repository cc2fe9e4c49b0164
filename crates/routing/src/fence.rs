//! The time fence: until when, by a store's own clock, an attempt may take effect.
//!
//! Store and gateway have no common clock. Let S be a reading of the store's clock that was received at the
//! gateway's time G: the store's clock showed S at G or earlier. At the gateway's time D the store's clock
//! therefore shows at least S + (D - G), apart from drift. If the store must not apply an attempt later than
//! S + (D - G), less the maximum drift, then the attempt cannot take effect once the gateway's clock has
//! passed D, however long it was delayed in a socket or a queue.

use std::time::Duration;

/// The maximum relative drift between two clocks is 1 / `DRIFT_DIVISOR`: five times the tolerance of a quartz
/// clock.
const DRIFT_DIVISOR: u32 = 2000;

/// A reading of a store's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// The store's clock, microseconds.
    pub(crate) clock: u64,
    /// When the reading was received, by the gateway's clock.
    pub(crate) read_at: Duration,
}

impl ClockReading {
    /// A time on the store's clock that has certainly passed when the gateway's clock shows `deadline`.
    pub(crate) fn not_after(&self, deadline: Duration) -> u64 {
        let until_deadline = deadline.saturating_sub(self.read_at);
        let guaranteed_advance = until_deadline - until_deadline / DRIFT_DIVISOR;
        self.clock.saturating_add(guaranteed_advance.as_micros() as u64)
    }
}

#[cfg(test)]
mod tests;
