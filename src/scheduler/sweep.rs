//! The periodic sweep, which handles everything that changes only with the passing of time.

use std::time::Duration;

use super::SchedulerState;
use super::pending_op::PendingOp;
use crate::interface::{Action, OpId, StoreId};

/// Interval between sweeps, as a fraction of the shortest latency objective.
pub(super) const SWEEP_INTERVAL_PER_OBJECTIVE: f64 = 0.0625;
/// Token of the sweep timer, the only timer that the scheduler sets.
const SWEEP_TIMER: u64 = 0;

/// A sweep's number and the time at which it began.
#[derive(Clone, Copy, Default)]
pub(super) struct SweepTime {
    pub(super) number: u64,
    pub(super) at: Duration,
}

impl SchedulerState {
    pub(super) fn sweep_interval(&self) -> Duration {
        self.shortest_objective.mul_f64(SWEEP_INTERVAL_PER_OBJECTIVE)
    }

    /// Ends ops that are past their deadline or would miss their objective, and updates the state of active
    /// stores.
    pub(super) fn sweep(&mut self) {
        self.next_sweep_at = self.now + self.sweep_interval();
        self.actions.push(Action::SetTimer { token: SWEEP_TIMER, at: self.next_sweep_at });
        if self.endpoint_watch.take_due_retry(self.now) {
            self.actions.push(Action::WatchEndpoints);
        }
        self.end_overdue_ops();
        self.stores.begin_sweep();
        while let Some(id) = self.stores.next_store_to_sweep() {
            self.sweep_store(id);
        }
        self.stores.finish_sweep(self.now, &self.settings);
        self.retry_budget.drop_old(self.settings.retry_budget.window, self.now);
        self.key_orders.drop_finished(self.now);
    }

    fn end_overdue_ops(&mut self) {
        let is_overdue = |(id, pending): (&OpId, &PendingOp)| {
            (!pending.has_ended && self.now >= pending.deadline_at).then_some(*id)
        };
        let overdue: Vec<OpId> = self.ops.iter().filter_map(is_overdue).collect();
        for op in overdue {
            self.reject_or_fail(op);
        }
    }

    /// Marks the store as suspected if it is silent, and moves or ends queued ops that it will not serve in
    /// time.
    fn sweep_store(&mut self, id: StoreId) {
        let Some(store) = self.stores.activate(id, self.now, &self.settings) else { return };
        if !self.is_stalled && store.is_silent(self.now) {
            store.outlier.suspect(self.now);
        }
        let queued = store.queues.queued_ops();
        if store.outlier.is_suspected() || !store.is_ready() {
            // Another store or a successor may serve the op: a drain that the endpoint list does not show yet
            // looks like a silent store.
            for op in &queued {
                self.enqueue(*op);
            }
        }
        self.end_late_ops(id, queued);
    }

    /// Ends queued ops that would miss their latency objective or may no longer be attempted at this store.
    /// If kept, they would fill gaps that ops of other gateways could use.
    fn end_late_ops(&mut self, id: StoreId, queued: Vec<OpId>) {
        let store = &self.stores[id];
        let must_end = |op: &OpId| {
            self.ops.get(op).is_some_and(|pending| {
                pending.queued_store == Some(id)
                    && (self.misses_objective(pending, store) || !self.may_attempt_at(pending, id))
            })
        };
        let ending: Vec<OpId> = queued.into_iter().filter(must_end).collect();
        for op in ending {
            self.reject_or_fail(op);
        }
    }
}
