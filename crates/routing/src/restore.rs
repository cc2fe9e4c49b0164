//! Conversion between the scheduler's snapshots and saved snapshots, and the conditions under which restored
//! state applies.
//!
//! How much weight restored values get is decided by the scheduler. This module decides only what they apply
//! to: a store's values to the same incarnation of the same store, a volume's values to the volume of the
//! same lasting id, and a saved endpoint list to the time until a list is received.

use std::collections::HashMap;
use std::time::Duration;

use umbertray::interface::{Endpoint, Event, StoreId, StoreSnapshot, VolumeId, VolumeSnapshot};
use umbertray_store_protocol::list::{EndpointState, ListedStore};

use crate::snapshot_records::{LearnedValues, Snapshot, StoreRecord, VolumeRecord};

/// The parts of a loaded snapshot that are not restored yet.
pub(crate) struct PendingRestore {
    /// By lasting id; a store is removed once a list has named it.
    stores: HashMap<u64, StoreRecord>,
    endpoint_list: Option<Vec<StoreRecord>>,
    volumes: HashMap<u64, VolumeId>,
    /// Age of the snapshot at `loaded_at`, if known.
    age: Option<Duration>,
    loaded_at: Duration,
}

impl PendingRestore {
    /// Splits a snapshot into the event that the scheduler restores at once and the state that waits for an
    /// endpoint list.
    pub(crate) fn new(
        now: Duration,
        snapshot: Snapshot,
        age: Option<Duration>,
        volumes: &[u64],
    ) -> (Event, PendingRestore) {
        let volumes: HashMap<u64, VolumeId> =
            volumes.iter().zip(0..).map(|(lasting_id, id)| (*lasting_id, VolumeId(id))).collect();
        let restored = snapshot.volumes.into_iter().filter_map(|record| volume_snapshot(&record, &volumes));
        let event = Event::Restore {
            age,
            promise_duration: snapshot.promise_duration,
            stores: Vec::new(),
            volumes: restored.collect(),
        };
        let endpoint_list = Some(snapshot.stores.clone()).filter(|list| !list.is_empty());
        let stores = snapshot.stores.into_iter().map(|store| (store.store, store)).collect();
        (event, PendingRestore { stores, endpoint_list, volumes, age, loaded_at: now })
    }

    fn age(&self, now: Duration) -> Option<Duration> {
        self.age.map(|age| age + now.saturating_sub(self.loaded_at))
    }

    /// Restores the learned values of the listed stores that still run the same incarnation. The saved
    /// endpoint list is discarded, as it is not needed any more.
    pub(crate) fn on_list(
        &mut self,
        now: Duration,
        listed: &[ListedStore],
        endpoints: &[Endpoint],
    ) -> Option<Event> {
        let age = self.age(now);
        self.endpoint_list = None;
        let mut stores = Vec::new();
        for (listed, endpoint) in listed.iter().zip(endpoints) {
            let Some(saved) = self.stores.remove(&listed.store) else { continue };
            if saved.incarnation != listed.incarnation {
                continue;
            }
            let Some(learned) = saved.learned_values else { continue };
            stores.push(self.store_snapshot(endpoint.store, learned));
        }
        if stores.is_empty() {
            return None;
        }
        Some(Event::Restore { age, promise_duration: Duration::ZERO, stores, volumes: Vec::new() })
    }

    fn store_snapshot(&self, store: StoreId, learned: LearnedValues) -> StoreSnapshot {
        let with_volume_id = |(volume, time): (u64, f64)| Some((*self.volumes.get(&volume)?, time));
        StoreSnapshot {
            store,
            latency: learned.latency,
            concurrency_limit: learned.concurrency_limit,
            virtual_times: learned.virtual_times.into_iter().filter_map(with_volume_id).collect(),
        }
    }

    /// Returns the saved endpoint list, at most once.
    ///
    /// Hazard: a store may have restarted since the list was saved, and be in slow start. The worst case is
    /// assumed: each store started right after the save, or just now if the snapshot's age is unknown.
    pub(crate) fn take_saved_list(&mut self, now: Duration) -> Option<Vec<ListedStore>> {
        let age = self.age(now).unwrap_or_default().as_micros() as u64;
        let to_listed_store = |saved: StoreRecord| ListedStore {
            store: saved.store,
            address: saved.address,
            shard: saved.shard,
            zone: saved.zone,
            state: saved_state(saved.state),
            // A value that no real incarnation has, so that the store's start is replaced by the one in the
            // first list received.
            incarnation: u64::MAX,
            age: Some(age),
        };
        Some(self.endpoint_list.take()?.into_iter().map(to_listed_store).collect())
    }
}

fn volume_snapshot(record: &VolumeRecord, ids: &HashMap<u64, VolumeId>) -> Option<VolumeSnapshot> {
    Some(VolumeSnapshot {
        volume: *ids.get(&record.volume)?,
        rate: record.rate,
        reported_rate: record.reported_rate,
        reserved_tokens: record.reserved_tokens,
    })
}

/// The state of a saved store, from its number in the wire format.
fn saved_state(number: u8) -> EndpointState {
    match number {
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        _ => EndpointState::Gone,
    }
}

/// Builds the snapshot to save from the endpoint list and the scheduler's learned values. The scheduler's
/// small ids are replaced by lasting ids.
pub(crate) fn snapshot(
    endpoint_list: impl Iterator<Item = (StoreId, ListedStore)>,
    stores: Vec<StoreSnapshot>,
    volumes: Vec<VolumeSnapshot>,
    lasting_ids: &[u64],
    promise_duration: Duration,
) -> Snapshot {
    let lasting_id = |volume: VolumeId| lasting_ids.get(volume.0 as usize).copied();
    let mut learned: HashMap<StoreId, LearnedValues> = HashMap::new();
    for store in stores {
        let with_lasting_id = |(volume, time)| Some((lasting_id(volume)?, time));
        let values = LearnedValues {
            latency: store.latency,
            concurrency_limit: store.concurrency_limit,
            virtual_times: store.virtual_times.into_iter().filter_map(with_lasting_id).collect(),
        };
        learned.insert(store.store, values);
    }
    let to_store_record = |(id, listed): (StoreId, ListedStore)| StoreRecord {
        store: listed.store,
        address: listed.address,
        shard: listed.shard,
        zone: listed.zone,
        state: listed.state as u8,
        incarnation: listed.incarnation,
        learned_values: learned.remove(&id),
    };
    let to_volume_record = |volume: VolumeSnapshot| {
        Some(VolumeRecord {
            volume: lasting_id(volume.volume)?,
            rate: volume.rate,
            reported_rate: volume.reported_rate,
            reserved_tokens: volume.reserved_tokens,
        })
    };
    Snapshot {
        stores: endpoint_list.map(to_store_record).collect(),
        volumes: volumes.into_iter().filter_map(to_volume_record).collect(),
        promise_duration,
    }
}

#[cfg(test)]
mod tests;
