//! The stores that the endpoint list has named: their small ids, what the scheduler knows of them, and their connections.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use umbertray::interface::{Endpoint, StoreId, StoreState};
use umbertray_store_protocol::list::{EndpointState, ListedStore};

use crate::fence::ClockReading;

/// A connection to a store.
pub(crate) enum Connection {
    /// None.
    Down,
    /// Being made; the numbers of the attempts that wait for it.
    Connecting(Vec<u64>),
    /// Up; the latest reading of the store's clock.
    Up(ClockReading),
}

/// One store of the endpoint list.
pub(crate) struct Store {
    pub(crate) lasting_id: u64,
    pub(crate) address: SocketAddr,
    pub(crate) shard: u32,
    zone: u32,
    incarnation: u64,
    started_at: Option<Duration>,
    pub(crate) state: StoreState,
    gone_at: Option<Duration>,
    pub(crate) connection: Connection,
}

/// The stores of the endpoint list, by small and lasting ids.
#[derive(Default)]
pub(crate) struct StoreMembership {
    ids: HashMap<u64, StoreId>,
    all: BTreeMap<StoreId, Store>,
    next: u32,
}

impl StoreMembership {
    pub(crate) fn get(&self, id: StoreId) -> Option<&Store> {
        self.all.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: StoreId) -> Option<&mut Store> {
        self.all.get_mut(&id)
    }

    /// Takes one store of a list and returns it as the scheduler knows it. Its start is computed from its age once: computed
    /// at each list, it would differ by the delay, and each list would look like a restart.
    pub(crate) fn apply(&mut self, now: Duration, entry: &ListedStore) -> Endpoint {
        let id = *self.ids.entry(entry.store).or_insert_with(|| {
            self.next += 1;
            StoreId(self.next - 1)
        });
        let state = match entry.state {
            EndpointState::Ready => StoreState::Ready,
            EndpointState::Draining => StoreState::Draining,
            EndpointState::Gone => StoreState::Gone,
        };
        let started = entry.age.map(|age| now.saturating_sub(Duration::from_micros(age)));
        let member = self.all.entry(id).or_insert_with(|| Store {
            lasting_id: entry.store,
            address: entry.address,
            shard: entry.shard,
            zone: entry.zone,
            incarnation: entry.incarnation,
            started_at: started,
            state,
            gone_at: None,
            connection: Connection::Down,
        });
        if member.incarnation != entry.incarnation {
            (member.incarnation, member.started_at) = (entry.incarnation, started);
        }
        (member.address, member.shard, member.state) = (entry.address, entry.shard, state);
        member.gone_at = (state == StoreState::Gone).then(|| member.gone_at.unwrap_or(now));
        Endpoint { store: id, shard: entry.shard, zone: entry.zone, started_at: member.started_at, state }
    }

    /// The endpoint list as it stands, with each store's age at `now`.
    pub(crate) fn endpoint_list(&self, now: Duration) -> impl Iterator<Item = (StoreId, ListedStore)> {
        self.all.iter().map(move |(id, member)| {
            let state = match member.state {
                StoreState::Ready => EndpointState::Ready,
                StoreState::Draining => EndpointState::Draining,
                StoreState::Gone => EndpointState::Gone,
            };
            let age = member.started_at.map(|started| now.saturating_sub(started).as_micros() as u64);
            let (store, address, shard, zone) =
                (member.lasting_id, member.address, member.shard, member.zone);
            (*id, ListedStore { store, address, shard, zone, state, incarnation: member.incarnation, age })
        })
    }

    /// All shards of the endpoint list.
    pub(crate) fn shards(&self) -> BTreeSet<u32> {
        self.all.values().map(|member| member.shard).collect()
    }

    /// Marks the stores that a whole list does not name as gone.
    pub(crate) fn remove_unlisted(&mut self, now: Duration, named: &[Endpoint]) {
        let named: BTreeSet<StoreId> = named.iter().map(|listing| listing.store).collect();
        for (id, member) in &mut self.all {
            if !named.contains(id) {
                member.state = StoreState::Gone;
                member.gone_at = member.gone_at.or(Some(now));
            }
        }
    }

    /// Forgets the stores that were gone before a time; returns their ids.
    pub(crate) fn forget(&mut self, gone_before: Duration) -> Vec<StoreId> {
        let over = |member: &Store| member.gone_at.is_some_and(|at| at < gone_before);
        let gone: Vec<StoreId> =
            self.all.iter().filter(|(_, member)| over(member)).map(|(id, _)| *id).collect();
        for id in &gone {
            if let Some(member) = self.all.remove(id) {
                self.ids.remove(&member.lasting_id);
            }
        }
        gone
    }
}
