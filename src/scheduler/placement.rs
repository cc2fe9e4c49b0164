//! Selection of the store at which an op is queued, and of the stores that may be sent ops.

use super::SchedulerState;
use super::pending_op::PendingOp;
use super::random::stable_hash;
use super::store::Store;
use super::sweep::SWEEP_INTERVAL_PER_OBJECTIVE;
use crate::interface::{StoreId, StoreState};

/// Step in which the loads of fully loaded stores are compared, as a fraction of the concurrency limit.
const LOAD_STEP: f64 = 0.25;
/// Load from which a store counts as fully loaded, as a multiple of its concurrency limit.
const FULL_LOAD: f64 = 1.0;
/// Fraction of the drain grace that is left unused as a safety margin for rule 3.
const DRAIN_GRACE_MARGIN: f64 = SWEEP_INTERVAL_PER_OBJECTIVE;

impl SchedulerState {
    /// The first store in rank that is not fully loaded, or else the least loaded one. Stores rank by age
    /// within a shard, the oldest first, and by a hash of volume and shard for a new object.
    ///
    /// An op on existing data stays with the newest store of its shard while no store of the shard is
    /// eligible.
    pub(super) fn preferred_store(&self, pending: &PendingOp) -> Option<StoreId> {
        let is_eligible =
            |(id, store): &(StoreId, &Store)| store.is_ready() && self.may_attempt_at(pending, *id);
        let Some(shard) = pending.op.shard else {
            let volume = pending.op.volume_name;
            let rank = |store: &Store| stable_hash((volume, store.endpoint.shard));
            let eligible = self.stores.iter().filter(is_eligible);
            let best = eligible.min_by_key(|(_, store)| (self.load_rank(store), rank(store)));
            return best.map(|(id, _)| id);
        };
        let eligible = self.stores.of_shard(shard).filter(is_eligible);
        let best = eligible.min_by_key(|(_, store)| (self.load_rank(store), store.endpoint.started_at));
        let newest = || self.stores.of_shard(shard).max_by_key(|(_, store)| store.endpoint.started_at);
        best.or_else(newest).map(|(id, _)| id)
    }

    /// The load of a store, and whether it is stuck: the lower rank is preferred.
    ///
    /// Hazard: a suspected store may be sent nothing more until its attempts in flight time out. If it ranked
    /// before another suspected store, the shard would not be served until then although the other one
    /// responds.
    fn load_rank(&self, store: &Store) -> (u64, bool) {
        let is_stuck = store.outlier.is_suspected() && store.units_in_flight() > 0.0;
        (self.load_steps(store), is_stuck)
    }

    /// Queued and in-flight units in steps of `LOAD_STEP` limits; 0 below a full load. Suspected stores and
    /// stores in slow start rank last.
    fn load_steps(&self, store: &Store) -> u64 {
        if store.outlier.is_suspected() || self.slow_start_progress(&store.endpoint).is_some() {
            return u64::MAX;
        }
        let queued_units = store.queues.queued_count() as f64 * self.mean_units;
        let load = (store.units_in_flight() + queued_units) / store.limit.units();
        if load < FULL_LOAD { 0 } else { (load / LOAD_STEP) as u64 }
    }

    /// Whether ops may be sent to the store (rule 3). Departure: a draining store is used within the grace,
    /// because ops on its data have no other store.
    pub(super) fn is_usable(&self, store: &Store) -> bool {
        if store.is_ready() {
            return true;
        }
        let grace = self.settings.drain_grace.mul_f64(1.0 - DRAIN_GRACE_MARGIN);
        let draining_since = store.draining_since.filter(|_| store.endpoint.state == StoreState::Draining);
        draining_since.is_some_and(|since| self.now < since + grace)
    }
}
