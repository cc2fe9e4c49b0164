//! Which store an op is queued at, and which stores may be sent ops.

use super::SchedulerState;
use super::pending_op::PendingOp;
use super::random::stable_hash;
use super::store::Store;
use super::sweep::SWEEP_INTERVAL_PER_OBJECTIVE;
use crate::interface::{StoreId, StoreState};

/// Among stores that all have enough, loads are compared in steps of this part of the limit.
const LOAD_STEP: f64 = 0.25;
/// The load from which a store has enough, in limits.
const FULL_LOAD: f64 = 1.0;
/// The part of the grace for draining stores that is left unused, to be on the safe side of the rule.
const DRAIN_GRACE_MARGIN: f64 = SWEEP_INTERVAL_PER_OBJECTIVE;

impl SchedulerState {
    /// The first store in rank that does not have enough: by age within a shard, by the volume's hash for a new object.
    ///
    /// An op on existing data stays with the newest store of its shard while none of them can take it.
    pub(super) fn preferred_store(&self, pending: &PendingOp) -> Option<StoreId> {
        let is_eligible =
            |(id, store): &(StoreId, &Store)| store.is_ready() && self.may_attempt_at(pending, *id);
        let Some(shard) = pending.op.shard else {
            let volume = pending.op.volume_name;
            let rank = |store: &Store| stable_hash((volume, store.endpoint.shard));
            let eligible = self.stores.iter().filter(is_eligible);
            let best = eligible.min_by_key(|(_, store)| (self.load_steps(store), rank(store)));
            return best.map(|(id, _)| id);
        };
        let eligible = self.stores.of_shard(shard).filter(is_eligible);
        let best = eligible.min_by_key(|(_, store)| (self.load_steps(store), store.endpoint.started_at));
        let newest = || self.stores.of_shard(shard).max_by_key(|(_, store)| store.endpoint.started_at);
        best.or_else(newest).map(|(id, _)| id)
    }

    /// What is queued and in flight, in steps above the limit; suspected stores and those in slow start come last.
    fn load_steps(&self, store: &Store) -> u64 {
        if store.outlier.is_suspected() || self.slow_start_progress(&store.endpoint).is_some() {
            return u64::MAX;
        }
        let queued_units = store.queues.queued_count() as f64 * self.mean_units;
        let load = (store.units_in_flight() + queued_units) / store.limit.units();
        if load < FULL_LOAD { 0 } else { (load / LOAD_STEP) as u64 }
    }

    /// Whether ops may be sent to the store (rule 3). Departure: one that is draining serves on within the grace, as
    /// ops on its data have no other place.
    pub(super) fn is_usable(&self, store: &Store) -> bool {
        if store.is_ready() {
            return true;
        }
        let grace = self.settings.drain_grace.mul_f64(1.0 - DRAIN_GRACE_MARGIN);
        let draining_since = store.draining_since.filter(|_| store.endpoint.state == StoreState::Draining);
        draining_since.is_some_and(|since| self.now < since + grace)
    }
}
