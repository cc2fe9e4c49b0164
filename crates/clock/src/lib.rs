//! A gateway's clock: monotonic time since the Unix epoch.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch, read once from the system clock and then advanced monotonically. Later
/// adjustments of the system clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_since_epoch: Duration,
    started_at: Instant,
}

impl Clock {
    /// Reads the system clock once. A system clock before the epoch is treated as the epoch.
    pub fn start() -> Clock {
        let start_since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_since_epoch, started_at: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Duration {
        self.start_since_epoch + self.started_at.elapsed()
    }

    /// Converts a time on this clock to a monotonic instant. Times before the clock's start are converted to
    /// its start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started_at + at.saturating_sub(self.start_since_epoch)
    }
}
