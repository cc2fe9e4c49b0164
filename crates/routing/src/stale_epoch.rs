//! Whether an operation may resume that a store rejected because its range has moved: that attempt did not run.

use std::time::Duration;

use crate::settings::Idempotency;

/// Until when it may resume at the range's new location; nothing if it must not.
///
/// Hazard: an earlier attempt may have run at the old location. Its sequence number moves with the range, and makes a retry
/// harmless for as long as retries are recognised.
pub(crate) fn may_resume_until(
    idempotency: Idempotency,
    may_have_run_since: Option<Duration>,
    tick: Duration,
) -> Option<Duration> {
    match (idempotency, may_have_run_since) {
        (_, None) | (Idempotency::Idempotent, _) => Some(Duration::MAX),
        (Idempotency::Deduplicated(window), Some(since)) => Some((since + window).saturating_sub(tick)),
        (Idempotency::NotIdempotent, Some(_)) => None,
    }
}

#[cfg(test)]
mod tests;
