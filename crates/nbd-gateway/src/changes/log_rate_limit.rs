//! Rate limit for log lines about frequent events.

use std::time::{Duration, Instant};

/// Minimum interval between two log lines with the same cause.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Allows one log line per `LOG_INTERVAL`.
#[derive(Default)]
pub(super) struct LogRateLimit {
    last_allowed_at: Option<Instant>,
}

impl LogRateLimit {
    /// Whether a line may be logged now. If so, the line counts as logged.
    pub(super) fn allow(&mut self) -> bool {
        let is_allowed = self.last_allowed_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if is_allowed {
            self.last_allowed_at = Some(Instant::now());
        }
        is_allowed
    }
}
