//! The gateway's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Spans since 1970, read once from the system's clock and then counted on steadily: later jumps of the
/// system's clock do not show, and any store's start lies after its zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Duration,
    from: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let zero = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { zero, from: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.zero + self.from.elapsed()
    }

    pub fn instant(&self, at: Duration) -> Instant {
        self.from + at.saturating_sub(self.zero)
    }
}
