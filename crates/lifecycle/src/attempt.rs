//! Attempts: one request on its way to one store.

use std::time::Duration;

use crate::Decision;
use crate::limits::{HOLD_UP, TIME_LEFT_SLACK};
use crate::reason::{DenialReason, Violation};

/// State of the request that an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Its client waits for the final answer.
    Open,
    /// It has its final answer.
    Ended,
    /// Its client has closed its connection.
    ClientGone,
}

/// Whether the settings allow a request to be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// Stores recognise and discard a repeat within this window after the first execution.
    DeduplicatedFor(Duration),
    /// A second execution would be a second effect.
    NotIdempotent,
}

/// What this gateway knows of the store that an attempt goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreStatus {
    /// The endpoint list marks it as gone, or does not name it.
    pub is_gone: bool,
    /// When this gateway was notified that the store is draining.
    pub draining_since: Option<Duration>,
    /// How long after that notification the settings allow attempts.
    pub drain_grace: Duration,
}

/// Input of [`may_begin`]. All times are on one monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// The present.
    pub now: Duration,
    /// End of the attempt's time.
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
/// Invariant: no attempt for a request that has ended or whose client has gone (rule 1), none that may be a second
/// effect (rule 2), none to a store past its drain grace (rule 3). Source: the protocol page, "The rules on sockets".
///
/// Hazard: the connection may come up late; settings, endpoint list and client may have changed since the attempt was
/// decided on.
///
/// # Errors
/// The reason why the attempt must not begin.
pub fn may_begin(start: &AttemptStart) -> Decision<DenialReason> {
    request_open(start.request)?;
    may_run_again(start)?;
    store_accepts(&start.store, start.now)?;
    if start.now < start.deadline { Ok(()) } else { Err(DenialReason::DeadlineOver) }
}

fn request_open(request: RequestStatus) -> Decision<DenialReason> {
    match request {
        RequestStatus::Open => Ok(()),
        RequestStatus::Ended => Err(DenialReason::RequestEnded),
        RequestStatus::ClientGone => Err(DenialReason::ClientGone),
    }
}

fn may_run_again(start: &AttemptStart) -> Decision<DenialReason> {
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
/// Hazard: the process may be held up between this decision and the first byte, and the grace has to cover that
/// (standing page, "More than these days").
pub fn usable_drain_grace(grace: Duration) -> Duration {
    grace.saturating_sub(HOLD_UP)
}

/// Whether the deadline propagated to a store still held when the last byte of the request was written, `written_after`
/// it was computed.
///
/// Invariant: a store is never told more time than its client has left, within the slack of the operators' terms.
///
/// # Errors
/// [`Violation::TimeLeftOverstated`] if the write took longer than that slack.
pub fn propagated_deadline_holds(written_after: Duration) -> Decision<Violation> {
    if written_after <= TIME_LEFT_SLACK { Ok(()) } else { Err(Violation::TimeLeftOverstated) }
}

/// Whether a store may still be sent attempts.
///
/// # Errors
/// The store is gone, or its drain grace is over.
pub fn store_accepts(store: &StoreStatus, now: Duration) -> Decision<DenialReason> {
    if store.is_gone {
        return Err(DenialReason::StoreGone);
    }
    match store.draining_since {
        Some(since) if now >= since + usable_drain_grace(store.drain_grace) => {
            Err(DenialReason::DrainGraceOver)
        }
        _ => Ok(()),
    }
}
