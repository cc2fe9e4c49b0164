//! Admission and completion of ops: what is queued, what is rejected, and which ops leave capacity for
//! others.

use std::time::Duration;

use super::SchedulerState;
use super::fair_queue::{IDLE_TIMEOUT, NewEntry};
use super::pending_op::PendingOp;
use super::settings::Idempotency;
use super::store::{INITIAL_LATENCY_PER_OBJECTIVE, Store};
use crate::interface::{Action, Op, OpId};

/// An op that is entitled to only a fraction of the concurrency limit may be sent to an idle store whose
/// latency is at most the target latency times the sum of this value and that fraction. The bound is needed
/// because many gateways may each see the same store idle.
const IDLE_STORE_LATENCY_SLACK: f64 = 0.75;
/// The latency expected of a store is capped at the latency objective divided by this.
const EXPECTED_LATENCY_DIVISOR: u32 = 2;
/// Ticks, in addition to a sweep interval, by which the final response is due before the client stops
/// waiting.
const ANSWER_MARGIN_TICKS: u32 = 3;

/// The longest time that a client was still going to wait when its op arrived, and when that was observed.
///
/// An op that arrives with less time left is assumed to have waited for the difference already, in an earlier
/// try of its client.
#[derive(Clone, Copy, Default)]
pub(super) struct LongestTimeLeft {
    time_left: Duration,
    observed_at: Duration,
}

impl LongestTimeLeft {
    /// Hazard: without expiry, one client with a long timeout would make the ops of all others late on
    /// arrival.
    fn observe(&mut self, time_left: Duration, now: Duration) {
        if time_left >= self.time_left || self.observed_at + IDLE_TIMEOUT < now {
            self.time_left = time_left;
            self.observed_at = now;
        }
    }

    fn time_already_waited(&self, time_left: Duration, op_timeout: Duration) -> Duration {
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
        self.smallest_op_units = self.smallest_op_units.min(op.units);
        self.longest_time_left[op.op_type].observe(op.time_left, self.now);
        let id = op.id;
        if let Some(key) = op.key.filter(|_| self.settings.op_types[op.op_type].ordered_by_key) {
            self.key_orders.push(key, id);
        }
        self.quotas.assign(op.volume, op.plan, op.gateways, self.started_at, self.now);
        let pending = self.new_pending_op(op);
        let is_overdue = pending.deadline_at <= self.now;
        self.ops.insert(id, pending);
        if is_overdue {
            self.reject_or_fail(id);
        } else {
            self.enqueue(id);
        }
    }

    /// Computes the op's objective and deadline. The final response must be sent before the client stops
    /// waiting (rule 1); the deadline is earlier than that by the margin, since a sweep may be late by as
    /// much.
    fn new_pending_op(&self, op: Op) -> PendingOp {
        let op_type = &self.settings.op_types[op.op_type];
        let margin = self.sweep_interval() + ANSWER_MARGIN_TICKS * self.settings.tick;
        let waited = self.longest_time_left[op.op_type].time_already_waited(op.time_left, op_type.op_timeout);
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

    /// Queues the op at its currently preferred store, or ends it if there is none.
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
            self.reject_or_fail(id);
            return;
        };
        let (ops, op_types) = (&self.ops, &self.settings.op_types);
        let rank = |op: &OpId| (-op_types[ops[op].op.op_type].priority_weight, *op);
        self.stores.enqueue(store, &entry, self.now, rank, &self.settings);
    }

    /// Whether the response is expected to miss the latency objective, so that the client would get only part
    /// of the op's value.
    ///
    /// Hazard: if the store's full latency were expected, a slow period would make all ops late, and with no
    /// op sent the end of the period would never be noticed.
    pub(super) fn misses_objective(&self, pending: &PendingOp, store: &Store) -> bool {
        let objective = self.op_type(pending).latency_objective;
        let expected = Duration::from_secs_f64(store.latency).min(objective / EXPECTED_LATENCY_DIVISOR);
        self.now + expected > pending.objective_at
    }

    /// Whether sending the op leaves capacity for others. Departure from Argon: an op may use only a fraction
    /// of the concurrency limit. The fraction is the op's priority weight relative to the greatest weight,
    /// times the ratio of its volume's guaranteed rate to the volume's known rate (at most 1).
    pub(super) fn leaves_capacity_for_others(&self, store: &Store, pending: &PendingOp) -> bool {
        let guaranteed_rate = self.settings.plans[pending.op.plan].guaranteed_rate;
        let entitlement = (guaranteed_rate / self.quotas.volume(pending.op.volume).known_rate()).min(1.0);
        let limit_fraction = self.op_type(pending).priority_weight * entitlement;
        if limit_fraction >= 1.0 {
            return true;
        }
        let is_fast = store.latency <= store.target_latency() * (IDLE_STORE_LATENCY_SLACK + limit_fraction);
        if store.units_in_flight() == 0.0 && is_fast {
            return true;
        }
        store.units_in_flight() + pending.op.units <= store.limit.units() * limit_fraction
    }

    /// Ends an op without having served it: rejects it if a retry is safe, fails it otherwise.
    pub(super) fn reject_or_fail(&mut self, id: OpId) {
        let pending = &self.ops[&id];
        let op_type = self.op_type(pending);
        let is_retry_safe = matches!(op_type.idempotency, Idempotency::Always | Idempotency::ByKey);
        let action = if is_retry_safe || pending.was_not_executed() {
            let retry_after = op_type.latency_objective.min(self.settings.max_retry_after);
            Action::Reject { op: id, retry_after }
        } else {
            Action::Fail { op: id }
        };
        self.actions.push(action);
        self.on_op_ended(id);
    }

    /// The client no longer waits. The op is removed as soon as none of its attempts is in flight.
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
