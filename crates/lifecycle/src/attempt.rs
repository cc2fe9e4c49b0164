//! Attempts: one request on its way to one store.

use std::time::Duration;

use crate::Decision;
use crate::limits::{HOLD_UP, TIME_LEFT_SLACK};
use crate::reason::{DenialReason, Violation};

/// Where the request of an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Its client waits for the final answer.
    Open,
    /// It has its final answer.
    Ended,
    /// Its client has closed its connection.
    ClientGone,
}

/// What the settings say of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Stores recognise a repeat for so long after the first.
    DeduplicatedFor(Duration),
    /// It must not run twice.
    NotIdempotent,
}

/// How this gateway knows the store of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreStatus {
    /// The list has it as gone, or not at all.
    pub is_gone: bool,
    /// When this gateway was notified that it drains.
    pub draining_since: Option<Duration>,
    /// How long it may be sent to after that, by the settings.
    pub drain_grace: Duration,
}

/// All that decides whether an attempt may begin. Times are on one monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    pub now: Duration,
    /// Until when the attempt may take.
    pub deadline: Duration,
    pub request: RequestStatus,
    pub store: StoreStatus,
    pub idempotency: Idempotency,
    /// When the first attempt of the request that may have run began.
    pub may_have_run_since: Option<Duration>,
}

/// Whether the first byte of an attempt may be written now.
///
/// Invariant: no attempt for a request that has ended or whose client has gone (rule 1), none that may be a second
/// effect (rule 2), none to a store past its grace (rule 3). Source: the protocol page, "The rules on sockets".
///
/// Hazard: its connection may come up late, and the settings, the list and the client change, after the attempt was
/// decided on.
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

/// How much of the grace of a store that drains may be used. Hazard: the process may be held up between this decision
/// and the first byte, and the grace has to cover that (standing page, "More than these days").
pub fn usable_drain_grace(grace: Duration) -> Duration {
    grace.saturating_sub(HOLD_UP)
}

/// Whether the time told to a store was still true when the request's last byte was written, so long after it was told.
///
/// Invariant: at most what the client has left, with the slack of the operators' terms.
pub fn propagated_deadline_holds(written_after: Duration) -> Decision<Violation> {
    if written_after <= TIME_LEFT_SLACK { Ok(()) } else { Err(Violation::TimeLeftOverstated) }
}

/// Whether a store may still be sent to.
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
