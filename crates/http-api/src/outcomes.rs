//! Converts what an attempt returned: to outcomes for the scheduler, retry reasons and load reports.

use umbertray::interface::{LoadReport, Outcome};
use umbertray_http::{Headers, client};
use umbertray_lifecycle::reason::RetryReason;

use crate::messages::AttemptOutcome;
use crate::protocol;

/// The scheduler's outcome of an attempt.
pub(crate) fn scheduler_outcome(outcome: &AttemptOutcome) -> Outcome {
    match outcome {
        AttemptOutcome::Response(response) => response_outcome(response),
        AttemptOutcome::NeverWritten => Outcome::ConnectFailed,
        AttemptOutcome::Broken => Outcome::Reset,
        AttemptOutcome::TimedOut => Outcome::TimedOut,
        AttemptOutcome::Cancelled => Outcome::Cancelled,
        AttemptOutcome::Withheld => Outcome::NotSent,
    }
}

fn response_outcome(response: &client::Response) -> Outcome {
    let not_executed = response.head.headers.single(protocol::NOT_EXECUTED);
    let not_executed = not_executed.is_ok_and(|value| value.is_some_and(|value| value.trim_ascii() == b"1"));
    match response.head.status {
        200 => Outcome::Succeeded,
        503 | 504 if not_executed => Outcome::Rejected,
        _ => Outcome::Failed,
    }
}

/// Whether an attempt with this outcome may have been executed.
pub(crate) fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected | Outcome::NotSent)
}

/// The reason for retrying after an attempt with this outcome; `None` if the attempt succeeded.
pub(crate) fn retry_reason(outcome: &AttemptOutcome) -> Option<RetryReason> {
    match outcome {
        AttemptOutcome::Response(response) => match response_outcome(response) {
            Outcome::Succeeded => None,
            Outcome::Rejected => Some(RetryReason::Rejected),
            _ => Some(RetryReason::StoreError),
        },
        AttemptOutcome::NeverWritten => Some(RetryReason::NotSent),
        AttemptOutcome::Broken => Some(RetryReason::ConnectionLost),
        AttemptOutcome::TimedOut => Some(RetryReason::TimedOut),
        AttemptOutcome::Cancelled => Some(RetryReason::Cancelled),
        AttemptOutcome::Withheld => Some(RetryReason::Denied),
    }
}

/// A non-negative number in a header field; `None` if it is missing or cannot be parsed.
pub(crate) fn header_number(headers: &Headers, name: &str) -> Option<f64> {
    let text = std::str::from_utf8(headers.single(name).ok().flatten()?).ok()?;
    parse_number(text.trim())
}

/// Parses a load report: `name=value` pairs separated by commas. Pairs with a name outside of `known_fields`
/// or an invalid value are skipped.
pub(crate) fn parse_load_report(text: &[u8], known_fields: &[String]) -> LoadReport {
    let parts = std::str::from_utf8(text).unwrap_or_default().split(',');
    let pairs = parts.filter_map(|part| part.trim().split_once('='));
    let known = pairs.filter(|(name, _)| known_fields.iter().any(|known| known == name));
    known.filter_map(|(name, value)| Some((name.to_string(), parse_number(value)?))).collect()
}

fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
}
