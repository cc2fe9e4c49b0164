//! Bounds of the timeouts and the backoff.

use umbertray_lifecycle::limits::{CHANGE_NOTIFIED_AFTER_MOVE, CHANGE_NOTIFIED_WITHIN};

use super::*;

const MINUTE: Duration = Duration::from_secs(60);

const DELIVERIES: [Delivery; 2] = [Delivery::Pushed, Delivery::Polled];
const FAILURE_KINDS: [FailureKind; 3] = [FailureKind::TimedOut, FailureKind::Closed, FailureKind::Unusable];

#[test]
fn two_failures_after_silence_leave_third_attempt_in_time() {
    for delivery in DELIVERIES {
        let staleness = last_attempt_begins_within(3, delivery) + ConsecutiveFailures(2).response_timeout();
        assert!(staleness < CHANGE_NOTIFIED_WITHIN, "{delivery:?}: {staleness:?}");
    }
}

/// The sum of all waits after an outage, for any number of failed attempts and watches, and for any failure
/// at any time of an attempt.
#[test]
fn two_lost_attempts_after_outage_leave_third_in_time() {
    for delivery in DELIVERIES {
        let longest = ConsecutiveFailures(MAX_COUNTED);
        let lost = longest.response_timeout() + longest.backoff_after_timeout(delivery);
        assert!(2 * lost < CHANGE_NOTIFIED_WITHIN, "{delivery:?}: {lost:?}");
        let waits = (0..MAX_COUNTED).flat_map(|failures| waits_between_attempts(delivery, failures));
        let wait = waits.max().expect("a wait");
        assert!(wait <= lost, "{delivery:?}: {wait:?}, at most {lost:?}");
    }
}

/// Maximum times between the starts of two attempts, the first of which fails after that many failures.
fn waits_between_attempts(delivery: Delivery, failures: u32) -> Vec<Duration> {
    let timeout = ConsecutiveFailures(failures).response_timeout();
    let mut waits = Vec::new();
    // A watch may have failed more often than a connection.
    for watch_failures in failures + 1..=MAX_COUNTED {
        for tenths in 0..=10 {
            let elapsed = timeout * tenths / 10;
            let failures = ConsecutiveFailures(watch_failures);
            let backoff = |kind| failures.backoff_after(elapsed, delivery, kind, 1.0);
            waits.extend(FAILURE_KINDS.map(|kind| elapsed + backoff(kind)));
        }
    }
    waits
}

/// After SIGHUP has changed the address of discovery.
#[test]
fn two_failures_at_new_address_leave_third_attempt_in_time() {
    for delivery in DELIVERIES {
        let staleness = last_attempt_begins_within(3, delivery) - watch_idle_timeout()
            + ConsecutiveFailures(2).response_timeout();
        assert!(staleness < CHANGE_NOTIFIED_AFTER_MOVE, "{delivery:?}: {staleness:?}");
    }
}

#[test]
fn late_heartbeat_is_tolerated() {
    assert!(watch_idle_timeout() > WATCH_HEARTBEAT_INTERVAL.mul_f64(1.2));
}

/// Number of attempts in a minute if each times out and jitter chooses the shortest backoff.
fn attempts_per_minute(
    delivery: Delivery,
    response_timeout: impl Fn(ConsecutiveFailures) -> Duration,
) -> usize {
    let (mut at, mut failures, mut attempts) = (Duration::ZERO, ConsecutiveFailures::default(), 0);
    while at < MINUTE {
        attempts += 1;
        let timeout = response_timeout(failures);
        failures = failures.plus_one();
        at += timeout + failures.backoff_after(timeout, delivery, FailureKind::TimedOut, 0.0);
    }
    attempts
}

#[test]
fn outage_is_queried_hardly_more_often_than_with_fixed_timeout() {
    for delivery in DELIVERIES {
        let now = attempts_per_minute(delivery, ConsecutiveFailures::response_timeout);
        let fixed = attempts_per_minute(delivery, |_| heartbeats(MAX_RESPONSE));
        assert!(
            now <= fixed + 2,
            "{delivery:?}: {now} attempts in the first minute, {fixed} with a fixed timeout"
        );
    }
}

#[test]
fn timeouts_grow_to_their_bounds() {
    let counts =
        std::iter::successors(Some(ConsecutiveFailures::default()), |failures| Some(failures.plus_one()));
    let counts: Vec<_> = counts.take(12).collect();
    let backoff = |failures: &ConsecutiveFailures, delivery| {
        failures.max_backoff_after(Duration::ZERO, delivery, FailureKind::Unusable)
    };
    assert!(counts.is_sorted_by_key(|failures| (
        failures.response_timeout(),
        backoff(failures, Delivery::Pushed),
        backoff(failures, Delivery::Polled)
    )));
    assert_eq!(
        (counts[11].response_timeout(), transfer_timeout()),
        (longest_response_timeout(), heartbeats(MAX_TRANSFER))
    );
}
