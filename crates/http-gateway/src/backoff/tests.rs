//! Bounds of the timeouts and the backoff.

use super::*;

const MAX_STALENESS: Duration = Duration::from_secs(6);
const MINUTE: Duration = Duration::from_secs(60);

#[test]
fn two_failures_after_silence_leave_third_attempt_in_time() {
    let staleness = last_attempt_begins_within(3) + ConsecutiveFailures(2).response_timeout();
    assert!(staleness < MAX_STALENESS, "{staleness:?}");
}

#[test]
fn two_lost_attempts_after_outage_leave_third_in_time() {
    let lost = ConsecutiveFailures(MAX_COUNTED).response_timeout()
        + ConsecutiveFailures(MAX_COUNTED).max_backoff(FailureKind::TimedOut);
    assert!(2 * lost < MAX_STALENESS, "{lost:?}");
    for (tenths, kind) in
        (0..=10).flat_map(|tenths| [(tenths, FailureKind::ClosedLocally), (tenths, FailureKind::Immediate)])
    {
        let elapsed = ConsecutiveFailures(MAX_COUNTED).response_timeout() * tenths / 10;
        assert!(
            elapsed + ConsecutiveFailures(MAX_COUNTED).max_backoff_after(elapsed, kind) <= lost,
            "{kind:?} after {elapsed:?}"
        );
    }
}

/// After SIGHUP has changed the address of discovery.
#[test]
fn two_failures_at_new_address_leave_third_attempt_in_time() {
    let staleness =
        last_attempt_begins_within(3) - watch_idle_timeout() + ConsecutiveFailures(2).response_timeout();
    assert!(staleness < Duration::from_secs(4), "{staleness:?}");
}

#[test]
fn late_heartbeat_is_tolerated() {
    assert!(watch_idle_timeout() > WATCH_HEARTBEAT_INTERVAL.mul_f64(1.2));
}

/// Number of attempts in a minute if each times out and jitter chooses the shortest backoff.
fn attempts_per_minute(response_timeout: impl Fn(ConsecutiveFailures) -> Duration) -> usize {
    let (mut at, mut failures, mut attempts) = (Duration::ZERO, ConsecutiveFailures::default(), 0);
    while at < MINUTE {
        attempts += 1;
        at += response_timeout(failures);
        failures = failures.plus_one();
        at += failures.max_backoff(FailureKind::TimedOut) / 2;
    }
    attempts
}

#[test]
fn outage_is_queried_hardly_more_often_than_with_fixed_timeout() {
    let (now, before) = (
        attempts_per_minute(ConsecutiveFailures::response_timeout),
        attempts_per_minute(|_| heartbeats(MAX_RESPONSE)),
    );
    assert!(now <= before + 2, "{now} attempts in the first minute, {before} with a fixed timeout");
}

#[test]
fn timeouts_grow_to_their_bounds() {
    let counts =
        std::iter::successors(Some(ConsecutiveFailures::default()), |failures| Some(failures.plus_one()));
    let counts: Vec<_> = counts.take(12).collect();
    assert!(counts.is_sorted_by_key(|failures| (
        failures.response_timeout(),
        failures.max_backoff(FailureKind::Immediate)
    )));
    assert_eq!(
        (counts[11].response_timeout(), transfer_timeout()),
        (longest_response_timeout(), heartbeats(MAX_TRANSFER))
    );
}
