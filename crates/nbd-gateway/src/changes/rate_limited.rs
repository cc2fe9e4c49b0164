//! Log lines for what may occur often.

use std::time::{Duration, Instant};

/// Between two lines of one cause, at least.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Allows one log line an interval.
#[derive(Default)]
pub(super) struct LogRateLimit {
    last_allowed_at: Option<Instant>,
}

impl LogRateLimit {
    /// Whether a line may be logged now; it counts as logged.
    pub(super) fn allow(&mut self) -> bool {
        let is_allowed = self.last_allowed_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if is_allowed {
            self.last_allowed_at = Some(Instant::now());
        }
        is_allowed
    }
}
