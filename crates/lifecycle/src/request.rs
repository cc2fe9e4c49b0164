//! Rules for requests: when a final response is in time.

use std::time::Duration;

use crate::Decision;
use crate::limits::RESPONSE_SLACK;
use crate::reason::Violation;

/// Whether a final response is in time. It was sent `took` after the request's last byte (protocol page,
/// "Figures"), and the client waits for `left`.
///
/// Invariant: a request gets one final response before its client's deadline. A response up to
/// [`RESPONSE_SLACK`] later is not a violation, but is worthless.
///
/// # Errors
/// [`Violation::AnsweredLate`].
pub fn answered_in_time(took: Duration, left: Duration) -> Decision<Violation> {
    if took <= left + RESPONSE_SLACK { Ok(()) } else { Err(Violation::AnsweredLate) }
}
