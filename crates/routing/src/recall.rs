//! Between small ids and lasting ones: what is saved, and what of it is told to the module when.
//!
//! How far recalled figures are believed is the module's affair. Here stands only to what they apply: a store's to the
//! same life of the same store, a volume's to the volume of that name, and a saved list to the time without a list.

use std::collections::HashMap;
use std::time::Duration;

use umbertray::interface::{Endpoint, Event, StoreId, StoreSnapshot, VolumeId, VolumeSnapshot};
use umbertray_store_protocol::list::{EndpointState, ListedStore};

use crate::saved::{LearnedFigures, Snapshot, StoreRecord, VolumeRecord};

pub(crate) struct Recall {
    /// By lasting id; those whose figures were told are gone from it.
    stores: HashMap<u64, StoreRecord>,
    list: Option<Vec<StoreRecord>>,
    volumes: HashMap<u64, VolumeId>,
    /// How old it was when it was recalled, and when that was.
    age: Option<Duration>,
    at: Duration,
}

impl Recall {
    /// What the module is told at once, and what is kept for later.
    pub fn new(now: Duration, saved: Snapshot, age: Option<Duration>, volumes: &[u64]) -> (Event, Recall) {
        let ids: HashMap<u64, VolumeId> =
            volumes.iter().zip(0..).map(|(lasting, id)| (*lasting, VolumeId(id))).collect();
        let memory = |saved: VolumeRecord| {
            let VolumeRecord { volume, rate, reported_rate: told, reserved_tokens: floor } = saved;
            Some(VolumeSnapshot {
                volume: *ids.get(&volume)?,
                rate,
                reported_rate: told,
                reserved_tokens: floor,
            })
        };
        let memories = saved.volumes.into_iter().filter_map(memory).collect();
        let promised = saved.promise_duration;
        let event = Event::Restore { age, promise_duration: promised, stores: Vec::new(), volumes: memories };
        let list = Some(saved.stores.clone()).filter(|list| !list.is_empty());
        let stores = saved.stores.into_iter().map(|store| (store.store, store)).collect();
        (event, Recall { stores, list, volumes: ids, age, at: now })
    }

    fn age(&self, now: Duration) -> Option<Duration> {
        self.age.map(|age| age + now.saturating_sub(self.at))
    }

    /// What was learned of stores that a list names, in the life that they were known in.
    pub fn learned(
        &mut self,
        now: Duration,
        entries: &[ListedStore],
        listings: &[Endpoint],
    ) -> Option<Event> {
        let age = self.age(now);
        // The list is there: the saved one has no use any more.
        self.list = None;
        let mut stores = Vec::new();
        for (entry, listing) in entries.iter().zip(listings) {
            let Some(saved) =
                self.stores.remove(&entry.store).filter(|saved| saved.incarnation == entry.incarnation)
            else {
                continue;
            };
            let Some(LearnedFigures { latency, concurrency_limit: cap, virtual_times: tags }) = saved.learned
            else {
                continue;
            };
            let tags = tags.into_iter().filter_map(|(volume, tag)| Some((*self.volumes.get(&volume)?, tag)));
            stores.push(StoreSnapshot {
                store: listing.store,
                latency,
                concurrency_limit: cap,
                virtual_times: tags.collect(),
            });
        }
        let promised = Duration::ZERO;
        (!stores.is_empty()).then_some(Event::Restore {
            age,
            promise_duration: promised,
            stores,
            volumes: Vec::new(),
        })
    }

    /// The saved list, once. Danger: a store may have started anew since it was saved, and is cold. What is not known
    /// is assumed the worst: each started right after that, or just now where nobody can tell when that was.
    pub fn list(&mut self, now: Duration) -> Option<Vec<ListedStore>> {
        let since = self.age(now).unwrap_or_default().as_micros() as u64;
        let entry = |saved: StoreRecord| {
            let StoreRecord { store, address, shard, zone, state, .. } = saved;
            let state = match state {
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                _ => EndpointState::Gone,
            };
            // No life's own count: the list's word on its start replaces this one.
            ListedStore { store, address, shard, zone, state, incarnation: u64::MAX, age: Some(since) }
        };
        Some(self.list.take()?.into_iter().map(entry).collect())
    }
}

/// All that is known, with lasting ids.
pub(crate) fn saved(
    entries: impl Iterator<Item = (StoreId, ListedStore)>,
    stores: Vec<StoreSnapshot>,
    volumes: Vec<VolumeSnapshot>,
    names: &[u64],
    promised: Duration,
) -> Snapshot {
    let name = |volume: VolumeId| names.get(volume.0 as usize).copied();
    let learned = stores.into_iter().map(|memory| {
        let StoreSnapshot { store, latency, concurrency_limit: cap, virtual_times: tags } = memory;
        let tags = tags.into_iter().filter_map(|(volume, tag)| Some((name(volume)?, tag))).collect();
        (store, LearnedFigures { latency, concurrency_limit: cap, virtual_times: tags })
    });
    let mut learned: HashMap<StoreId, LearnedFigures> = learned.collect();
    let store = |(id, entry): (StoreId, ListedStore)| {
        let ListedStore { store, address, shard, zone, state, incarnation: start, .. } = entry;
        StoreRecord {
            store,
            address,
            shard,
            zone,
            state: state as u8,
            incarnation: start,
            learned: learned.remove(&id),
        }
    };
    let volume = |memory: VolumeSnapshot| {
        let VolumeSnapshot { volume, rate, reported_rate: told, reserved_tokens: floor } = memory;
        Some(VolumeRecord { volume: name(volume)?, rate, reported_rate: told, reserved_tokens: floor })
    };
    Snapshot {
        stores: entries.map(store).collect(),
        volumes: volumes.into_iter().filter_map(volume).collect(),
        promise_duration: promised,
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::*;

    #[test]
    fn each_store_of_a_saved_list_is_taken_for_started_right_after_the_save() {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let store =
            StoreRecord { store: 4, address, shard: 2, zone: 0, state: 1, incarnation: 9, learned: None };
        let saved = Snapshot { stores: vec![store], ..Snapshot::default() };
        let ms = Duration::from_millis;
        for (age, told) in [(Some(ms(500)), 510_000), (None, 0)] {
            let (_, mut recall) = Recall::new(ms(100), saved.clone(), age, &[]);
            let entry = ListedStore {
                store: 4,
                address,
                shard: 2,
                zone: 0,
                state: EndpointState::Ready,
                incarnation: u64::MAX,
                age: Some(told),
            };
            assert_eq!(recall.list(ms(110)), Some(vec![entry]));
            assert_eq!(recall.list(ms(120)), None, "once");
        }
    }
}
