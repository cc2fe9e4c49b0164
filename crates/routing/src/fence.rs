//! The fence in time: until when, by a store's own clock, a dispatch may take effect.
//!
//! Store and gateway share no clock. A reading S that came at the gateway's moment G is the store's time at G or
//! earlier. At the gateway's moment D the store's clock therefore shows S + (D - G) or more, but for drift. A dispatch
//! that the store may not apply after S + (D - G), less the drift, cannot take effect once the gateway's clock has
//! passed D, however long it lay in a socket or a queue.

use std::time::Duration;

/// The most by which two clocks drift apart, as a part of the time between: five times what a quartz may.
const DRIFT: u32 = 2000;

/// A reading of a store's clock, and the gateway's moment at which it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reading {
    pub clock: u64,
    pub at: Duration,
}

impl Reading {
    /// The store's time that is surely past when the gateway's clock shows `ends`.
    pub fn not_after(&self, ends: Duration) -> u64 {
        let ahead = ends.saturating_sub(self.at);
        let sure = ahead - ahead / DRIFT;
        self.clock.saturating_add(sure.as_micros() as u64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whatever the offset, the delay of the reading and a drift within bounds: at D the fence has passed.
    #[test]
    fn a_fence_has_passed_when_the_gateway_says_so() {
        let at = Duration::from_secs(100);
        for delay in [0u64, 1, 500, 60_000] {
            for span in [1u64, 1_000, 1_000_000] {
                for drift in [-1i64, 0, 1] {
                    let reading = Reading { clock: 7_000_000, at };
                    let ends = at + Duration::from_millis(span);
                    let true_at_reading = 7_000_000 + delay * 1_000;
                    let passed = (span as i64 * 1_000) + drift * (span as i64 * 1_000) / i64::from(DRIFT);
                    assert!(true_at_reading as i64 + passed >= reading.not_after(ends) as i64);
                    assert!(reading.not_after(ends) >= 7_000_000 + span * 999, "nearly all of it is used");
                }
            }
        }
    }
}
