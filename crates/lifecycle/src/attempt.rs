//! Rules for attempts. An attempt is one transmission of a request to one store.

use std::time::Duration;

use crate::Decision;
use crate::limits::{MAX_PROCESS_PAUSE, TIME_LEFT_SLACK};
use crate::reason::{DenialReason, Violation};

/// State of the request that an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Its client waits for the final response.
    Open,
    /// It already has its final response.
    Ended,
    /// Its client has closed its connection.
    ClientGone,
}

/// Whether the settings allow a request to be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// Stores recognise and discard a repetition within this window after the first execution.
    DeduplicatedFor(Duration),
    /// A second execution would have a second effect.
    NotIdempotent,
}

/// What this gateway knows about the store that an attempt is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreStatus {
    /// Whether the endpoint list marks the store as gone, or does not contain it.
    pub is_gone: bool,
    /// When this gateway was notified that the store is draining.
    pub draining_since: Option<Duration>,
    /// How long after that notification the settings still allow attempts.
    pub drain_grace: Duration,
}

/// Input of [`may_begin`]. All times are on one monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// The current time.
    pub now: Duration,
    /// The attempt's deadline.
    pub deadline: Duration,
    /// State of the request.
    pub request: RequestStatus,
    /// State of the store.
    pub store: StoreStatus,
    /// Whether the request may be executed again.
    pub idempotency: Idempotency,
    /// Start of the first attempt of this request that may have been executed.
    pub may_have_run_since: Option<Duration>,
}

/// Whether the first byte of an attempt may be written now.
///
/// Invariant: no attempt begins for a request that has ended or whose client has disconnected (rule 1), none
/// that could have a second effect (rule 2), and none to a store whose drain grace has expired (rule 3).
/// Source: the protocol page, "The rules on sockets".
///
/// Hazard: the connection may be established late, and the settings, the endpoint list and the state of the
/// client may have changed since the attempt was decided on.
///
/// # Errors
/// The reason why the attempt must not begin.
pub fn may_begin(start: &AttemptStart) -> Decision<DenialReason> {
    check_request_open(start.request)?;
    check_may_run_again(start)?;
    store_accepts(&start.store, start.now)?;
    if start.now < start.deadline { Ok(()) } else { Err(DenialReason::DeadlineExpired) }
}

fn check_request_open(request: RequestStatus) -> Decision<DenialReason> {
    match request {
        RequestStatus::Open => Ok(()),
        RequestStatus::Ended => Err(DenialReason::RequestEnded),
        RequestStatus::ClientGone => Err(DenialReason::ClientGone),
    }
}

fn check_may_run_again(start: &AttemptStart) -> Decision<DenialReason> {
    let Some(since) = start.may_have_run_since else { return Ok(()) };
    let may = match start.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::DeduplicatedFor(window) => start.now < since + window,
        Idempotency::NotIdempotent => false,
    };
    if may { Ok(()) } else { Err(DenialReason::MayHaveRun) }
}

/// The part of a drain grace in which an attempt may begin.
///
/// Hazard: the process may be paused for [`MAX_PROCESS_PAUSE`] between this decision and the first byte, and
/// the grace has to cover that pause (standing page, "More than these days").
pub fn usable_drain_grace(grace: Duration) -> Duration {
    grace.saturating_sub(MAX_PROCESS_PAUSE)
}

/// Whether the time left that was sent to a store was still correct when the last byte of the request was
/// written. `written_after` is the time from computing the time left until that write.
///
/// Invariant: the time left that is sent to a store exceeds what its client has left by at most the slack of
/// the operators' terms, [`TIME_LEFT_SLACK`].
///
/// # Errors
/// [`Violation::TimeLeftOverstated`] if the write took longer than that slack.
pub fn propagated_deadline_holds(written_after: Duration) -> Decision<Violation> {
    if written_after <= TIME_LEFT_SLACK { Ok(()) } else { Err(Violation::TimeLeftOverstated) }
}

/// Whether attempts may still be sent to a store.
///
/// # Errors
/// The store is gone, or its drain grace has expired.
pub fn store_accepts(store: &StoreStatus, now: Duration) -> Decision<DenialReason> {
    if store.is_gone {
        return Err(DenialReason::StoreGone);
    }
    match store.draining_since {
        Some(since) if now >= since + usable_drain_grace(store.drain_grace) => {
            Err(DenialReason::DrainGraceExpired)
        }
        _ => Ok(()),
    }
}
