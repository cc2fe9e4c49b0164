//! The stores of the endpoint list: their small ids, their state as known to the scheduler, and their
//! connections.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use umbertray::interface::{Endpoint, StoreId, StoreState};
use umbertray_store_protocol::list::{EndpointState, ListedStore};

use crate::fence::ClockReading;

/// A connection to a store.
pub(crate) enum Connection {
    /// Not connected.
    Down,
    /// Connecting; holds the numbers of the attempts that wait for the connection.
    Connecting(Vec<u64>),
    /// Connected; holds the latest reading of the store's clock.
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

/// The stores of the endpoint list, by small id and by lasting id.
#[derive(Default)]
pub(crate) struct StoreMembership {
    ids_by_lasting_id: HashMap<u64, StoreId>,
    stores: BTreeMap<StoreId, Store>,
    next_id: u32,
}

impl StoreMembership {
    pub(crate) fn get(&self, id: StoreId) -> Option<&Store> {
        self.stores.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: StoreId) -> Option<&mut Store> {
        self.stores.get_mut(&id)
    }

    /// Applies one store of a list and returns it as the scheduler knows it. The store's start is computed
    /// from its age only once per incarnation: recomputed for each list, it would vary with the delay of the
    /// list, and each list would look like a restart.
    pub(crate) fn apply(&mut self, now: Duration, entry: &ListedStore) -> Endpoint {
        let id = *self.ids_by_lasting_id.entry(entry.store).or_insert_with(|| {
            self.next_id += 1;
            StoreId(self.next_id - 1)
        });
        let state = match entry.state {
            EndpointState::Ready => StoreState::Ready,
            EndpointState::Draining => StoreState::Draining,
            EndpointState::Gone => StoreState::Gone,
        };
        let started_at = entry.age.map(|age| now.saturating_sub(Duration::from_micros(age)));
        let member = self.stores.entry(id).or_insert_with(|| Store {
            lasting_id: entry.store,
            address: entry.address,
            shard: entry.shard,
            zone: entry.zone,
            incarnation: entry.incarnation,
            started_at,
            state,
            gone_at: None,
            connection: Connection::Down,
        });
        if member.incarnation != entry.incarnation {
            (member.incarnation, member.started_at) = (entry.incarnation, started_at);
        }
        (member.address, member.shard, member.state) = (entry.address, entry.shard, state);
        member.gone_at = (state == StoreState::Gone).then(|| member.gone_at.unwrap_or(now));
        Endpoint { store: id, shard: entry.shard, zone: entry.zone, started_at: member.started_at, state }
    }

    /// The current endpoint list, with each store's age at `now`.
    pub(crate) fn endpoint_list(&self, now: Duration) -> impl Iterator<Item = (StoreId, ListedStore)> {
        self.stores.iter().map(move |(id, member)| {
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
        self.stores.values().map(|member| member.shard).collect()
    }

    /// Marks the stores that a complete list does not name as gone.
    pub(crate) fn mark_unlisted_gone(&mut self, now: Duration, listed: &[Endpoint]) {
        let listed: BTreeSet<StoreId> = listed.iter().map(|endpoint| endpoint.store).collect();
        for (id, member) in &mut self.stores {
            if !listed.contains(id) {
                member.state = StoreState::Gone;
                member.gone_at = member.gone_at.or(Some(now));
            }
        }
    }

    /// Removes the stores that have been gone since before `gone_before`, and returns their ids.
    pub(crate) fn forget(&mut self, gone_before: Duration) -> Vec<StoreId> {
        let is_expired = |member: &Store| member.gone_at.is_some_and(|at| at < gone_before);
        let gone: Vec<StoreId> =
            self.stores.iter().filter(|(_, member)| is_expired(member)).map(|(id, _)| *id).collect();
        for id in &gone {
            if let Some(member) = self.stores.remove(id) {
                self.ids_by_lasting_id.remove(&member.lasting_id);
            }
        }
        gone
    }
}
