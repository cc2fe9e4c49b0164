//! Decides whether an operation may resume after a store rejected it because its range has moved. The
//! rejected attempt was not executed.

use std::time::Duration;

use crate::settings::Idempotency;

/// Until when the operation may resume at the range's new location; `None` if it must not resume.
///
/// Hazard: an earlier attempt may have been executed at the old location. Its sequence number moves with the
/// range and makes a retry harmless, but only while the stores still recognize retries.
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
