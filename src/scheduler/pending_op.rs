//! A pending op: from its arrival until it has ended and none of its attempts is in flight.

use std::time::Duration;

use super::SchedulerState;
use super::settings::OpType;
use crate::interface::{Op, StoreId};

/// What is known about the execution of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptState {
    InFlight,
    NotExecuted,
    MaybeExecuted,
}

/// One attempt of an op at a store.
pub(super) struct Attempt {
    pub(super) store: StoreId,
    pub(super) started_at: Duration,
    pub(super) state: AttemptState,
}

/// An op whose client is waiting or which still has an attempt in flight.
pub(super) struct PendingOp {
    pub(super) op: Op,
    /// Time until which a response earns the full priority.
    pub(super) objective_at: Duration,
    /// Time at which the final response is due.
    pub(super) deadline_at: Duration,
    /// The store at which the op is queued, if any.
    pub(super) queued_store: Option<StoreId>,
    pub(super) attempts: Vec<Attempt>,
    /// Whether the client has received its final response or has disconnected.
    pub(super) has_ended: bool,
}

impl PendingOp {
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether it is certain that none of the attempts was executed.
    pub(super) fn was_not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotExecuted)
    }
}

impl SchedulerState {
    pub(super) fn op_type(&self, pending: &PendingOp) -> &OpType {
        &self.settings.op_types[pending.op.op_type]
    }
}
