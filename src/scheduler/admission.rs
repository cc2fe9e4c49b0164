//! Arrival and end of ops: what is queued, what is rejected, and who yields to whom.

use std::time::Duration;

use super::SchedulerState;
use super::fair_queue::{IDLE_TIMEOUT, NewEntry};
use super::pending_op::PendingOp;
use super::settings::Idempotency;
use super::store::{INITIAL_LATENCY_PER_OBJECTIVE, Store};
use crate::interface::{Action, Op, OpId};

/// An op that yields may go to an idle store whose latency is up to this part of the target latency and as much again
/// as the op's own part of the limit: many gateways see an idle store each.
const IDLE_STORE_LATENCY_SLACK: f64 = 0.75;
/// The latency that is expected of a store is never taken for more than the objective over this.
const EXPECTED_LATENCY_DIVISOR: u32 = 2;
/// Ticks before the client's own time is up by which the final answer is due, beside a sweep interval.
const ANSWER_MARGIN_TICKS: u32 = 3;

/// The longest time that a client still waited when its op arrived, and when that was.
///
/// An op that arrives with less has been waiting for as long as it lacks: its client tried before.
#[derive(Clone, Copy, Default)]
pub(super) struct LongestRemaining {
    time_left: Duration,
    seen_at: Duration,
}

impl LongestRemaining {
    /// Hazard: kept for good, one patient client would make all others' ops late on arrival.
    fn observe(&mut self, time_left: Duration, now: Duration) {
        if time_left >= self.time_left || self.seen_at + IDLE_TIMEOUT < now {
            self.time_left = time_left;
            self.seen_at = now;
        }
    }

    fn waited_before(&self, time_left: Duration, op_timeout: Duration) -> Duration {
        self.time_left.min(op_timeout).saturating_sub(time_left)
    }
}

impl SchedulerState {
    pub(super) fn on_op_arrived(&mut self, op: Op) {
        if op.op_type >= self.settings.op_types.len() || op.plan >= self.settings.plans.len() {
            self.actions.push(Action::Fail { op: op.id });
            return;
        }
        self.retry_budget.record_arrival(self.now);
        self.least_units = self.least_units.min(op.units);
        self.longest_remaining[op.op_type].observe(op.time_left, self.now);
        let id = op.id;
        if let Some(key) = op.key.filter(|_| self.settings.op_types[op.op_type].ordered_by_key) {
            self.key_orders.push(key, id);
        }
        self.quotas.assign(op.volume, op.plan, op.gateways, self.started_at, self.now);
        let pending = self.new_pending_op(op);
        let is_overdue = pending.deadline_at <= self.now;
        self.ops.insert(id, pending);
        if is_overdue {
            self.end_unserved(id);
        } else {
            self.enqueue(id);
        }
    }

    /// The op with its times: the final answer must be in before the client's own time is up (rule 1), and a sweep
    /// may come this much late.
    fn new_pending_op(&self, op: Op) -> PendingOp {
        let op_type = &self.settings.op_types[op.op_type];
        let margin = self.sweep_interval() + ANSWER_MARGIN_TICKS * self.settings.tick;
        let waited = self.longest_remaining[op.op_type].waited_before(op.time_left, op_type.op_timeout);
        let deadline_at = self.now + op.time_left.saturating_sub(margin);
        PendingOp {
            objective_at: self.now + op_type.latency_objective.saturating_sub(waited),
            deadline_at: deadline_at.min(self.shutdown_at.unwrap_or(Duration::MAX)),
            queued_store: None,
            attempts: Vec::new(),
            has_ended: false,
            op,
        }
    }

    /// Queues the op at the store that it prefers now, or ends it if there is none.
    pub(super) fn enqueue(&mut self, id: OpId) {
        let preferred = self.preferred_store(&self.ops[&id]);
        let Some(pending) = self.ops.get_mut(&id) else { return };
        if preferred.is_some() && preferred == pending.queued_store {
            return;
        }
        let previous = std::mem::replace(&mut pending.queued_store, preferred);
        let volume = pending.op.volume;
        let objective = self.settings.op_types[pending.op.op_type].latency_objective;
        let entry = NewEntry {
            op: id,
            key: pending.op.key,
            volume,
            initial_latency: objective.as_secs_f64() * INITIAL_LATENCY_PER_OBJECTIVE,
        };
        if let Some(previous) = previous {
            self.stores.dequeue(previous, id, volume);
        }
        let Some(store) = preferred else {
            self.end_unserved(id);
            return;
        };
        let (ops, op_types) = (&self.ops, &self.settings.op_types);
        let rank = |op: &OpId| (-op_types[ops[op].op.op_type].priority_weight, *op);
        self.stores.enqueue(store, &entry, self.now, rank, &self.settings);
    }

    /// Answered late, its client would have a part of the value only.
    ///
    /// Hazard: with the store's whole latency expected, a slow spell would make all ops late and never show its end.
    pub(super) fn misses_objective(&self, pending: &PendingOp, store: &Store) -> bool {
        let objective = self.op_type(pending).latency_objective;
        let expected = Duration::from_secs_f64(store.latency).min(objective / EXPECTED_LATENCY_DIVISOR);
        self.now + expected > pending.objective_at
    }

    /// Whether the op leaves room for others. Departure from Argon: it has as much of the limit as its weight is of the
    /// greatest and its volume's guaranteed rate of the rate that it has.
    pub(super) fn leaves_capacity(&self, store: &Store, pending: &PendingOp) -> bool {
        let guaranteed_rate = self.settings.plans[pending.op.plan].guaranteed_rate;
        let entitlement = (guaranteed_rate / self.quotas.volume(pending.op.volume).known_rate()).min(1.0);
        let part = self.op_type(pending).priority_weight * entitlement;
        if part >= 1.0 {
            return true;
        }
        let is_fast = store.latency <= store.target_latency() * (IDLE_STORE_LATENCY_SLACK + part);
        if store.units_in_flight() == 0.0 && is_fast {
            return true;
        }
        store.units_in_flight() + pending.op.units <= store.limit.units() * part
    }

    /// Ends an op that is not served: rejected where a new try does no harm, failed otherwise.
    pub(super) fn end_unserved(&mut self, id: OpId) {
        let pending = &self.ops[&id];
        let op_type = self.op_type(pending);
        let is_safe_anywhere = matches!(op_type.idempotency, Idempotency::Always | Idempotency::ByKey);
        let action = if is_safe_anywhere || pending.was_not_executed() {
            let retry_after = op_type.latency_objective.min(self.settings.max_retry_after);
            Action::Reject { op: id, retry_after }
        } else {
            Action::Fail { op: id }
        };
        self.actions.push(action);
        self.on_op_ended(id);
    }

    /// The client waits no longer; the op is forgotten once none of its attempts is in flight.
    pub(super) fn on_op_ended(&mut self, id: OpId) {
        let Some(pending) = self.ops.get_mut(&id) else { return };
        pending.has_ended = true;
        let is_in_flight = pending.is_in_flight();
        let (key, volume) = (pending.op.key, pending.op.volume);
        if let Some(store) = pending.queued_store.take() {
            self.stores.dequeue(store, id, volume);
        }
        if is_in_flight {
            return;
        }
        self.ops.remove(&id);
        if let Some(key) = key {
            self.key_orders.remove(key, id);
        }
    }
}
