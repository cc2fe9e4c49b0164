//! Dispatch of queued ops: which one is sent to a store next, and what changes when its attempt starts.

use std::time::Duration;

use super::SchedulerState;
use super::fair_queue::Quantum;
use super::pending_op::{Attempt, AttemptState, PendingOp};
use super::store::Store;
use crate::interface::{Action, OpId, StoreId, VolumeId};

/// Duration of a quantum, as a fraction of the shortest latency objective (docs/design.md, "Kept on the
/// ordinary path").
const QUANTUM_PER_OBJECTIVE: f64 = 0.25;

/// State of a store that decides which of its queued ops may be sent; the same for all ops of a volume.
struct SelectionContext<'a> {
    id: StoreId,
    store: &'a Store,
    /// Fraction of its full load that the store can carry; absent: all of it.
    slow_start_progress: Option<f64>,
    /// Tokens left in the bucket of the volume's limit.
    tokens: f64,
}

/// Units that may still be sent to a store now.
struct Headroom {
    units_in_flight: f64,
    limit: f64,
    /// Whether the previous op was sent long enough ago that, with nothing in flight, one op may be sent
    /// regardless of the limit.
    has_spacing_elapsed: bool,
}

impl Headroom {
    fn fits(&self, units: f64) -> bool {
        self.units_in_flight == 0.0 && self.has_spacing_elapsed || self.units_in_flight + units <= self.limit
    }
}

impl SchedulerState {
    /// Starts all attempts that may start now.
    pub(super) fn dispatch_ready(&mut self) {
        let stores: Vec<StoreId> = self.stores.with_queued_ops().collect();
        for store in stores {
            while let Some(op) = self.next_op(store) {
                self.start_attempt(op, store);
            }
        }
    }

    /// The op to send to the store next, if one may be sent now. Starts a new quantum if the last one has
    /// expired.
    fn next_op(&mut self, id: StoreId) -> Option<OpId> {
        let store = &self.stores[id];
        let headroom = self.headroom(store)?;
        let fits = |op: OpId| headroom.fits(self.ops[&op].op.units);
        if let Some(quantum) = &store.queues.quantum
            && let Some(op) = self.select_next(id, quantum.volume)
        {
            if quantum.ops_left >= 1.0 && self.now < quantum.ends_at {
                return fits(op).then_some(op);
            }
            if self.must_wait_for_quantum_holder(store, quantum.volume) {
                return None;
            }
        }
        let mut waiting = store.queues.waiting_volumes().into_iter();
        let (volume, op) = waiting.find_map(|volume| Some((volume, self.select_next(id, volume)?)))?;
        if !fits(op) {
            return None;
        }
        self.start_quantum(id, volume);
        Some(op)
    }

    /// Headroom of the store; absent if nothing may be sent to it now.
    fn headroom(&self, store: &Store) -> Option<Headroom> {
        let units_in_flight = store.units_in_flight();
        let limit = store.limit.units();
        let is_full = units_in_flight > 0.0 && units_in_flight + self.smallest_op_units > limit;
        if is_full || !self.is_usable(store) || !store.outlier.allows_attempt(self.now) {
            return None;
        }
        let spacing = store.limit.spacing(store.target_latency());
        let has_spacing_elapsed = store.last_sent_at + spacing <= self.now;
        Some(Headroom { units_in_flight, limit, has_spacing_elapsed })
    }

    /// Whether a new quantum must wait for the attempts in flight of the holder, whose quantum has expired
    /// while it still has queued ops. Departure from Argon: it does not wait for stuck attempts or at a
    /// suspected store, since one stuck op would otherwise block all volumes until it times out.
    fn must_wait_for_quantum_holder(&self, store: &Store, holder: VolumeId) -> bool {
        let belongs_to_holder = |op: OpId| self.ops[&op].op.volume == holder;
        !store.outlier.is_suspected() && store.has_in_flight(self.now, belongs_to_holder)
    }

    fn start_quantum(&mut self, id: StoreId, volume: VolumeId) {
        let duration = self.shortest_objective.mul_f64(QUANTUM_PER_OBJECTIVE);
        let Some(store) = self.stores.get_mut(id) else { return };
        let Some(queue) = store.queues.volume(volume) else { return };
        let ops = duration.as_secs_f64() / queue.latency * store.limit.units() / self.mean_units;
        let ends_at = self.now + duration;
        store.queues.quantum = Some(Quantum { volume, ops_left: ops.max(1.0), ends_at });
    }

    /// The volume's highest-ranked op that may be sent to the store now; ops on the same key as the last one
    /// sent come first.
    fn select_next(&self, id: StoreId, volume: VolumeId) -> Option<OpId> {
        let store = &self.stores[id];
        let context = SelectionContext {
            id,
            store,
            slow_start_progress: self.slow_start_progress(&store.endpoint),
            tokens: self.quotas.volume(volume).available(self.now),
        };
        let ranked = store.queues.volume(volume)?.ranked();
        let last_key = store.queues.last_key;
        let is_on_last_key = |key: Option<u64>| key.is_some() && key == last_key;
        let mut on_last_key = ranked.iter().filter(|(_, key)| is_on_last_key(*key));
        let preferred = on_last_key.find(|(op, _)| self.may_send(&context, *op));
        preferred.or_else(|| ranked.iter().find(|(op, _)| self.may_send(&context, *op))).map(|(op, _)| *op)
    }

    /// Whether all rules allow an attempt of this op at the store now.
    fn may_send(&self, context: &SelectionContext<'_>, op: OpId) -> bool {
        let pending = &self.ops[&op];
        let has_budget = |progress| self.has_slow_start_budget(context.store, &pending.op, progress);
        context.slow_start_progress.is_none_or(has_budget)
            && self.is_next_for_key(pending)
            && self.may_attempt_at(pending, context.id)
            && self.is_within_quota(context, pending)
            && self.now < pending.deadline_at
            && self.leaves_capacity_for_others(context.store, pending)
            && !self.misses_objective(pending, context.store)
    }

    fn is_next_for_key(&self, pending: &PendingOp) -> bool {
        let Some(key) = pending.op.key.filter(|_| self.op_type(pending).ordered_by_key) else { return true };
        let has_started = !pending.attempts.is_empty();
        self.key_orders.may_start(key, pending.op.id, has_started, self.now)
    }

    /// Whether a token bucket or budget allows the attempt: first attempts draw on the volume's limit,
    /// retries on the retry budget.
    fn is_within_quota(&self, context: &SelectionContext<'_>, pending: &PendingOp) -> bool {
        if pending.attempts.is_empty() {
            let limit = self.settings.plans[pending.op.plan].limit;
            limit.is_unlimited() || context.tokens >= pending.op.units
        } else {
            self.retry_budget.allows_retry(&self.settings.retry_budget, self.now)
        }
    }

    /// Sends a queued op selected by `next_op`, and accounts for it at its volume, its store and the retry
    /// budget.
    fn start_attempt(&mut self, id: OpId, store_id: StoreId) {
        let progress = self.slow_start_progress(&self.stores[store_id].endpoint);
        let Some(pending) = self.ops.get_mut(&id) else { return };
        pending.queued_store = None;
        let attempt = pending.attempts.len() as u32;
        pending.attempts.push(Attempt {
            store: store_id,
            started_at: self.now,
            state: AttemptState::InFlight,
        });
        let timeout = pending.deadline_at.saturating_sub(self.now);
        let op = pending.op.clone();
        if attempt > 0 {
            self.retry_budget.record_retry(self.now);
        } else if let Some(quota) = self.quotas.volume_mut(op.volume) {
            quota.draw(op.units);
        }
        let pacing = progress.and_then(|progress| self.pacing_interval(&op, progress));
        let units_per_weight = op.units / self.settings.plans[op.plan].weight;
        self.stores.dequeue(store_id, id, op.volume);
        if let Some(store) = self.stores.get_mut(store_id) {
            store.on_attempt_started(id, attempt, op.units, self.now);
            let pacing = pacing.unwrap_or(Duration::ZERO);
            store.queues.on_attempt_started(&op, self.now, units_per_weight, pacing);
        }
        self.actions.push(Action::StartAttempt { op: id, store: store_id, timeout });
    }
}
