//! All stores, and which of them a sweep must examine.
//!
//! A sweep examines only active stores. The effect of missed sweeps on an inactive store is applied, bit for
//! bit the same, before the store is next used; in addition, each sweep ends by bringing one store up to
//! date.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};
use std::ops::Index;
use std::time::Duration;

use super::fair_queue::{FairQueue, NewEntry};
use super::settings::SchedulerSettings;
use super::store::{Store, StoreBaseline};
use super::sweep::SweepTime;
use crate::interface::{Endpoint, OpId, StoreId, VolumeId};

/// Stores by id, with indices that save events from scanning all of them.
///
/// Invariant: `by_shard`, `with_queued_ops` and `active_stores` name only stores that are in `stores`.
/// `with_queued_ops` names exactly the stores with queued ops, and `active_stores` includes all stores that
/// have work or are gone.
#[derive(Default)]
pub(super) struct StoreTable {
    stores: BTreeMap<StoreId, Store>,
    by_shard: BTreeSet<(u32, StoreId)>,
    with_queued_ops: BTreeSet<StoreId>,
    /// Stores that are gone or have had ops queued or in flight since the last sweep.
    active_stores: BTreeSet<StoreId>,
    last_sweep: SweepTime,
    /// The last store that the current sweep has visited, in the order of ids.
    sweep_cursor: Option<StoreId>,
    /// The store that was brought up to date at the end of the last sweep.
    catch_up_cursor: Option<StoreId>,
}

impl Index<StoreId> for StoreTable {
    type Output = Store;

    fn index(&self, id: StoreId) -> &Store {
        &self.stores[&id]
    }
}

impl StoreTable {
    pub(super) fn get(&self, id: StoreId) -> Option<&Store> {
        self.stores.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: StoreId) -> Option<&mut Store> {
        self.stores.get_mut(&id)
    }

    /// Iterates over all stores in the order of ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (StoreId, &Store)> {
        self.stores.iter().map(|(id, store)| (*id, store))
    }

    /// Iterates over the stores of a shard in the order of ids.
    pub(super) fn of_shard(&self, shard: u32) -> impl Iterator<Item = (StoreId, &Store)> {
        let ids = self.by_shard.range((shard, StoreId(0))..=(shard, StoreId(u32::MAX)));
        ids.map(|(_, id)| (*id, &self.stores[id]))
    }

    /// Iterates over the queues of all stores.
    pub(super) fn queues_mut(&mut self) -> impl Iterator<Item = &mut FairQueue> {
        self.stores.values_mut().map(|store| &mut store.queues)
    }

    pub(super) fn with_queued_ops(&self) -> impl Iterator<Item = StoreId> {
        self.with_queued_ops.iter().copied()
    }

    pub(super) fn active_count(&self) -> usize {
        self.active_stores.len()
    }

    /// Marks the store active and applies the sweeps that it has missed.
    pub(super) fn activate(
        &mut self,
        id: StoreId,
        now: Duration,
        settings: &SchedulerSettings,
    ) -> Option<&mut Store> {
        // For stores that the current sweep has already passed, that sweep counts as missed too.
        let sweep = if Some(id) <= self.sweep_cursor {
            SweepTime { number: self.last_sweep.number + 1, at: now }
        } else {
            self.last_sweep
        };
        let store = self.stores.get_mut(&id)?;
        self.active_stores.insert(id);
        store.apply_missed_sweeps(sweep, settings);
        Some(store)
    }

    /// Applies missed sweeps to all stores; required before reading or changing what depends on the state of
    /// all of them.
    pub(super) fn apply_all_missed_sweeps(&mut self, settings: &SchedulerSettings) {
        for store in self.stores.values_mut() {
            store.apply_missed_sweeps(self.last_sweep, settings);
        }
    }

    /// Indexes and activates a store named by the endpoint list; inserts it if it is unknown.
    pub(super) fn insert_listed(
        &mut self,
        endpoint: &Endpoint,
        baseline: StoreBaseline,
        now: Duration,
        settings: &SchedulerSettings,
    ) -> Option<&mut Store> {
        let id = endpoint.store;
        match self.stores.entry(id) {
            Entry::Occupied(occupied) => {
                self.by_shard.remove(&(occupied.get().endpoint.shard, id));
            }
            Entry::Vacant(vacant) => {
                vacant.insert(Store::new(baseline, now, self.last_sweep.number));
            }
        }
        self.by_shard.insert((endpoint.shard, id));
        self.activate(id, now, settings)
    }

    pub(super) fn enqueue<R: PartialOrd>(
        &mut self,
        id: StoreId,
        entry: &NewEntry,
        now: Duration,
        rank: impl Fn(&OpId) -> R,
        settings: &SchedulerSettings,
    ) {
        if let Some(store) = self.activate(id, now, settings) {
            store.queues.enqueue(entry, now, rank);
            self.with_queued_ops.insert(id);
        }
    }

    pub(super) fn dequeue(&mut self, id: StoreId, op: OpId, volume: VolumeId) {
        let Some(store) = self.stores.get_mut(&id) else { return };
        store.queues.dequeue(op, volume);
        if store.queues.queued_count() == 0 {
            self.with_queued_ops.remove(&id);
        }
    }

    /// Removes gone stores that no longer affect any decision, and deactivates idle stores.
    pub(super) fn begin_sweep(&mut self) {
        if self.active_stores.iter().any(|id| self.stores[id].can_be_removed()) {
            self.stores.retain(|_, store| !store.can_be_removed());
            self.by_shard.retain(|(_, id)| self.stores.contains_key(id));
        }
        let stays_active = |store: &Store| store.has_work() || store.is_gone();
        self.active_stores.retain(|id| self.stores.get(id).is_some_and(stays_active));
    }

    /// Advances the current sweep to the next active store.
    pub(super) fn next_store_to_sweep(&mut self) -> Option<StoreId> {
        let after = self.sweep_cursor.map_or(Unbounded, Excluded);
        let next = self.active_stores.range((after, Unbounded)).next().copied()?;
        self.sweep_cursor = Some(next);
        Some(next)
    }

    /// Ends the current sweep and applies missed sweeps to one store, in rotation, so that no store keeps
    /// expired state for long.
    pub(super) fn finish_sweep(&mut self, now: Duration, settings: &SchedulerSettings) {
        self.last_sweep = SweepTime { number: self.last_sweep.number + 1, at: now };
        self.sweep_cursor = None;
        let after = self.catch_up_cursor.map_or(Unbounded, Excluded);
        let next = self.stores.range_mut((after, Unbounded)).next();
        self.catch_up_cursor = next.map(|(id, store)| {
            store.apply_missed_sweeps(self.last_sweep, settings);
            *id
        });
    }
}
