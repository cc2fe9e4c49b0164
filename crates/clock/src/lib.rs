//! The gateway's clock: monotonic time since the Unix epoch.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch, read once from the system's clock and then advanced monotonically: later steps of the
/// system's clock do not show.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch_offset: Duration,
    started: Instant,
}

impl Clock {
    /// Reads the system's clock once. A system clock before the epoch counts as the epoch.
    pub fn start() -> Clock {
        let epoch_offset = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { epoch_offset, started: Instant::now() }
    }

    /// The present.
    pub fn now(&self) -> Duration {
        self.epoch_offset + self.started.elapsed()
    }

    /// The monotonic instant of a time on this clock; times before its start count as its start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started + at.saturating_sub(self.epoch_offset)
    }
}
