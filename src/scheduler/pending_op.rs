//! One op from its arrival until it has ended and none of its attempts is in flight.

use std::time::Duration;

use super::SchedulerState;
use super::settings::OpType;
use crate::interface::{Op, StoreId};

/// What is known of an attempt's effect.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptState {
    InFlight,
    NotExecuted,
    MaybeExecuted,
}

/// One dispatch of an op to a store.
pub(super) struct Attempt {
    pub(super) store: StoreId,
    pub(super) started_at: Duration,
    pub(super) state: AttemptState,
}

/// An op that a client waits for, or of which an attempt is still in flight.
pub(super) struct PendingOp {
    pub(super) op: Op,
    /// Until when an answer earns the full priority.
    pub(super) objective_at: Duration,
    /// When the final answer is due.
    pub(super) deadline_at: Duration,
    /// The store at which it is queued.
    pub(super) queued_store: Option<StoreId>,
    pub(super) attempts: Vec<Attempt>,
    /// The client has its final answer, or is gone.
    pub(super) has_ended: bool,
}

impl PendingOp {
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether no attempt can have had an effect.
    pub(super) fn was_not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotExecuted)
    }
}

impl SchedulerState {
    pub(super) fn op_type(&self, pending: &PendingOp) -> &OpType {
        &self.settings.op_types[pending.op.op_type]
    }
}
