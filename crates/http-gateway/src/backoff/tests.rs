//! The bounds of the timeouts and of the backoff.

use super::*;

const TOLD: Duration = Duration::from_secs(6);
const MINUTE: Duration = Duration::from_secs(60);

#[test]
fn two_failures_after_silence_leave_third_attempt_in_time() {
    let told = last_attempt_begins_within(3) + ConsecutiveFailures(2).response_timeout();
    assert!(told < TOLD, "{told:?}");
}

#[test]
fn two_lost_attempts_after_outage_leave_third_in_time() {
    let lost = ConsecutiveFailures(MAX_COUNTED).response_timeout()
        + ConsecutiveFailures(MAX_COUNTED).max_backoff(FailureKind::TimedOut);
    assert!(2 * lost < TOLD, "{lost:?}");
    for (tenths, how) in
        (0..=10).flat_map(|tenths| [(tenths, FailureKind::ClosedLocally), (tenths, FailureKind::Immediate)])
    {
        let taken = ConsecutiveFailures(MAX_COUNTED).response_timeout() * tenths / 10;
        assert!(
            taken + ConsecutiveFailures(MAX_COUNTED).max_backoff_after(taken, how) <= lost,
            "{how:?} after {taken:?}"
        );
    }
}

/// After SIGHUP has moved discovery.
#[test]
fn two_failures_at_new_address_leave_third_attempt_in_time() {
    let told =
        last_attempt_begins_within(3) - watch_idle_timeout() + ConsecutiveFailures(2).response_timeout();
    assert!(told < Duration::from_secs(4), "{told:?}");
}

#[test]
fn late_heartbeat_is_tolerated() {
    assert!(watch_idle_timeout() > WATCH_HEARTBEAT_INTERVAL.mul_f64(1.2));
}

/// Calls in a minute of which each hangs, with the shortest waits that chance gives.
fn calls(response_timeout: impl Fn(ConsecutiveFailures) -> Duration) -> usize {
    let (mut at, mut failures, mut calls) = (Duration::ZERO, ConsecutiveFailures::default(), 0);
    while at < MINUTE {
        calls += 1;
        at += response_timeout(failures);
        failures = failures.plus_one();
        at += failures.max_backoff(FailureKind::TimedOut) / 2;
    }
    calls
}

#[test]
fn outage_is_queried_hardly_more_often_than_with_fixed_timeout() {
    let (now, before) = (calls(ConsecutiveFailures::response_timeout), calls(|_| heartbeats(MAX_RESPONSE)));
    assert!(now <= before + 2, "{now} calls in the first minute, {before} with a fixed timeout");
}

#[test]
fn timeouts_grow_to_their_bounds() {
    let row =
        std::iter::successors(Some(ConsecutiveFailures::default()), |failures| Some(failures.plus_one()));
    let row: Vec<_> = row.take(12).collect();
    assert!(row.is_sorted_by_key(|failures| (
        failures.response_timeout(),
        failures.max_backoff(FailureKind::Immediate)
    )));
    assert_eq!(
        (row[11].response_timeout(), transfer_timeout()),
        (longest_response_timeout(), heartbeats(MAX_TRANSFER))
    );
}
