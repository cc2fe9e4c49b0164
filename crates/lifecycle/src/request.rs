//! Requests: when a final answer is in time.

use std::time::Duration;

use crate::Decision;
use crate::limits::ANSWER_SLACK;
use crate::reason::Violation;

/// Whether a final answer is in time: it came `took` after the request's last byte (protocol page, "Figures") and its
/// client waits for `left`.
///
/// Invariant: a request gets one final answer in its client's time; up to [`ANSWER_SLACK`] later it only earns nothing.
///
/// # Errors
/// [`Violation::AnsweredLate`].
pub fn answered_in_time(took: Duration, left: Duration) -> Decision<Violation> {
    if took <= left + ANSWER_SLACK { Ok(()) } else { Err(Violation::AnsweredLate) }
}
