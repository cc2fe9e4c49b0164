//! Checks each rule with a table of the cases that it allows and denies.

use std::time::Duration;

use umbertray_lifecycle::attempt::{self, AttemptStart, Idempotency, RequestStatus, StoreStatus};
use umbertray_lifecycle::connection::{self, Obligation, Peer};
use umbertray_lifecycle::limits::MAX_PROCESS_PAUSE;
use umbertray_lifecycle::reason::{CloseReason, DenialReason, StoreCloseReason, Violation};
use umbertray_lifecycle::{Counters, check, store_connection};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const START: AttemptStart = AttemptStart {
    now: ms(10_000),
    deadline: ms(10_500),
    request: RequestStatus::Open,
    store: StoreStatus { is_gone: false, draining_since: None, drain_grace: ms(1000) },
    idempotency: Idempotency::NotIdempotent,
    may_have_run_since: None,
};

/// An attempt to a store that is draining since this time.
fn to_draining_store(since: Duration) -> AttemptStart {
    AttemptStart { store: StoreStatus { draining_since: Some(since), ..START.store }, ..START }
}

#[test]
fn attempt_may_begin_only_for_open_request_to_accepting_store() {
    let repeated = |idempotency| AttemptStart { idempotency, may_have_run_since: Some(ms(9_000)), ..START };
    let cases = [
        ("first", START, Ok(())),
        ("ended", AttemptStart { request: RequestStatus::Ended, ..START }, Err(DenialReason::RequestEnded)),
        (
            "client gone",
            AttemptStart { request: RequestStatus::ClientGone, ..START },
            Err(DenialReason::ClientGone),
        ),
        (
            "deadline passed",
            AttemptStart { now: START.deadline, ..START },
            Err(DenialReason::DeadlineExpired),
        ),
        ("may have run", repeated(Idempotency::NotIdempotent), Err(DenialReason::MayHaveRun)),
        ("within deduplication window", repeated(Idempotency::DeduplicatedFor(ms(1001))), Ok(())),
        (
            "after deduplication window",
            repeated(Idempotency::DeduplicatedFor(ms(1000))),
            Err(DenialReason::MayHaveRun),
        ),
        ("idempotent", repeated(Idempotency::Idempotent), Ok(())),
        (
            "store gone",
            AttemptStart { store: StoreStatus { is_gone: true, ..START.store }, ..START },
            Err(DenialReason::StoreGone),
        ),
        ("store draining", to_draining_store(ms(9_500)), Ok(())),
    ];
    for (name, start, expected) in cases {
        assert_eq!(attempt::may_begin(&start), expected, "{name}");
    }
}

/// Guards against attempts to stores whose drain grace has expired: a process that was paused between its
/// decision and the first byte sent such an attempt.
#[test]
fn drain_grace_is_shortened_by_a_process_pause() {
    let grace = START.store.drain_grace;
    for grace_left in [MAX_PROCESS_PAUSE, MAX_PROCESS_PAUSE / 2, Duration::ZERO] {
        let notified_at = START.now + grace_left - grace;
        assert_eq!(
            attempt::may_begin(&to_draining_store(notified_at)),
            Err(DenialReason::DrainGraceExpired),
            "{grace_left:?} left"
        );
    }
    assert_eq!(attempt::may_begin(&to_draining_store(START.now + MAX_PROCESS_PAUSE + ms(1) - grace)), Ok(()));
    assert_eq!(attempt::usable_drain_grace(MAX_PROCESS_PAUSE / 2), Duration::ZERO);
}

#[test]
fn connection_owing_response_to_open_peer_may_not_close() {
    for obligation in [Obligation::None, Obligation::Response, Obligation::LingeringClose] {
        for peer in [Peer::Open, Peer::Closed, Peer::NotReading] {
            let has_pending_response = obligation == Obligation::Response && peer == Peer::Open;
            let expected =
                if has_pending_response { Err(Violation::ClosedWithPendingResponse) } else { Ok(()) };
            assert_eq!(connection::may_close(obligation, peer), expected, "{obligation:?}, {peer:?}");
        }
        let may_exit = connection::may_exit([Obligation::None, obligation]);
        assert_eq!(may_exit.is_err(), obligation == Obligation::Response);
        assert_eq!(connection::may_evict(obligation, false), obligation != Obligation::Response);
        assert!(!connection::may_evict(obligation, true));
    }
}

#[test]
fn idle_store_connection_is_reused_only_if_fresh_and_silent() {
    let reuse = |idle, readable| store_connection::may_reuse(ms(idle), ms(100), readable);
    assert_eq!(reuse(99, false), Ok(()));
    assert_eq!(reuse(99, true), Err(StoreCloseReason::UnexpectedData));
    assert_eq!(reuse(100, false), Err(StoreCloseReason::IdleTimeout));
}

#[test]
fn counters_count_reasons_by_category_and_name() {
    let counters = Counters::default();
    [CloseReason::IdleTimeout, CloseReason::IdleTimeout]
        .into_iter()
        .for_each(|reason| counters.count(reason));
    counters.count(StoreCloseReason::IdleTimeout);
    let mut logged = Vec::new();
    check::record_violation(&counters, Err(Violation::AnsweredLate), |violation| logged.push(violation));
    check::record_violation(&counters, Ok(()), |violation| logged.push(violation));
    assert_eq!(logged, [Violation::AnsweredLate]);
    assert_eq!(counters.get(CloseReason::IdleTimeout), 2);
    let expected = "close.idle_timeout=2 store_close.idle_timeout=1 violation.answered_late=1";
    assert_eq!(counters.to_string(), expected);
}
