//! Parses the deployment's rules and a gateway's bounds.

use std::time::Duration;

use umbertray_routing::settings::{Bounds, RetryBudget, Rules};

use super::{MAX_DURATION_SECONDS, MAX_NUMBER};
use crate::{Arguments, FunctionCall, Problem};

/// Parses a call of `rules`.
pub fn rules(call: &FunctionCall, problems: &mut Vec<Problem>) -> Rules {
    let mut args = Arguments::new(call, problems);
    let retry_budget = retry_budget(&mut args);
    let rules = Rules {
        drain_grace: args.duration("drain_grace", 0.0..=MAX_DURATION_SECONDS, Some(1.0)),
        slow_start_fraction: args.number("cold_from", 0.001..=1.0, Some(0.25)),
        slow_start_duration: args.duration("cold_time", 0.0..=MAX_DURATION_SECONDS, Some(10.0)),
        slow_start_units: args.number("cold_units", 0.0..=MAX_NUMBER, Some(8.0)),
        slow_start_multiple: args.number("fall_multiple", 1.0..=1e3, Some(2.0)),
        slow_start_window: args.duration("fall_time", 0.001..=MAX_DURATION_SECONDS, Some(1.0)),
        key_pause: args.duration("order_pause", 0.0..=MAX_DURATION_SECONDS, Some(0.5)),
        poll_retry_interval: args.duration("ask_within", 0.01..=MAX_DURATION_SECONDS, Some(10.0)),
        capacity: args.optional("capacity", 1e-6..=MAX_NUMBER),
        retry_budget,
    };
    args.reject_unread();
    rules
}

fn retry_budget(args: &mut Arguments) -> Option<RetryBudget> {
    let reserve = args.optional("further_free", 0.0..=MAX_NUMBER);
    let ratio = args.optional("further_share", 0.0..=1e3);
    let window = args.optional("further_span", 0.001..=MAX_DURATION_SECONDS);
    match (reserve, ratio, window) {
        (None, None, None) => None,
        (Some(reserve), Some(ratio), Some(window)) => {
            Some(RetryBudget { reserve, ratio, window: Duration::from_secs_f64(window) })
        }
        _ => {
            args.problem("further_free, further_share and further_span must be given together");
            None
        }
    }
}

/// Parses a call of `bounds`.
pub(super) fn bounds(call: &FunctionCall, problems: &mut Vec<Problem>) -> Bounds {
    let mut args = Arguments::new(call, problems);
    let bounds = Bounds {
        sessions: args.count("sessions", 1..=1_000_000, Some(4096)) as usize,
        requests_per_session: args.count("requests_a_session", 1..=65_536, Some(256)) as usize,
        bytes: args.count("bytes", 1 << 16..=1 << 40, Some(256 << 20)) as usize,
        bytes_per_session: args.count("bytes_a_session", 1 << 16..=1 << 40, Some(32 << 20)) as usize,
        request_bytes: args.count("request_bytes", 4096..=32 << 20, Some(4 << 20)) as u32,
        locations: args.count("places", 1..=1 << 32, Some(1 << 20)) as usize,
    };
    let Bounds { bytes, bytes_per_session, request_bytes, .. } = bounds;
    // A request larger than the bound of its session would wait forever.
    if request_bytes as usize > bytes_per_session || bytes_per_session > bytes {
        args.problem(format!(
            "request_bytes {request_bytes} must not exceed bytes_a_session {bytes_per_session}, \
             which must not exceed bytes {bytes}"
        ));
    }
    // Half of the bytes are divided among the volumes as reservations, which may be small. A request larger
    // than the other half might never be admitted.
    if request_bytes as usize > bytes / 2 {
        args.problem(format!("request_bytes {request_bytes} is over half of bytes {bytes}"));
    }
    args.reject_unread();
    bounds
}
