//! The fence in time: until when, by a store's own clock, an attempt may take effect.
//!
//! Store and gateway share no clock. A reading S that came at the gateway's moment G is the store's time at G or
//! earlier. At the gateway's moment D the store's clock therefore shows S + (D - G) or more, but for drift. An attempt
//! that the store may not apply after S + (D - G), less the drift, cannot take effect once the gateway's clock has
//! passed D, however long it lay in a socket or a queue.

use std::time::Duration;

/// Two clocks drift apart by at most one in this many: five times what a quartz may.
const DRIFT_DIVISOR: u32 = 2000;

/// A reading of a store's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// The store's clock, microseconds.
    pub(crate) clock: u64,
    /// When it was received, on the gateway's clock.
    pub(crate) read_at: Duration,
}

impl ClockReading {
    /// A time of the store's clock that is certainly past when the gateway's clock shows `deadline`.
    pub(crate) fn not_after(&self, deadline: Duration) -> u64 {
        let ahead = deadline.saturating_sub(self.read_at);
        let certain = ahead - ahead / DRIFT_DIVISOR;
        self.clock.saturating_add(certain.as_micros() as u64)
    }
}

#[cfg(test)]
mod tests;
