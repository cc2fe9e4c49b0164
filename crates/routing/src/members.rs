//! The stores that the list has named: small ids at the door, what the module is told of them, and the links to them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use umbertray::interface::{Endpoint, StoreId, StoreState};
use umbertray_store_protocol::list::{EndpointState, ListedStore};

use crate::fence::Reading;

pub(crate) enum Link {
    Down,
    /// Being made; dispatches that wait for it.
    Making(Vec<u64>),
    Up(Reading),
}

pub(crate) struct Member {
    pub lasting: u64,
    pub address: SocketAddr,
    pub shard: u32,
    zone: u32,
    start: u64,
    started: Option<Duration>,
    pub state: StoreState,
    gone_at: Option<Duration>,
    pub link: Link,
}

#[derive(Default)]
pub(crate) struct Members {
    ids: HashMap<u64, StoreId>,
    all: BTreeMap<StoreId, Member>,
    next: u32,
}

impl Members {
    pub fn get(&self, id: StoreId) -> Option<&Member> {
        self.all.get(&id)
    }

    pub fn get_mut(&mut self, id: StoreId) -> Option<&mut Member> {
        self.all.get_mut(&id)
    }

    /// Takes one entry of a list and gives what the module is told. Its start is worked out once from its age: worked
    /// out at each list, it would differ by the delay, and each list would look like a restart.
    pub fn listed(&mut self, now: Duration, entry: &ListedStore) -> Endpoint {
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
        let member = self.all.entry(id).or_insert_with(|| Member {
            lasting: entry.store,
            address: entry.address,
            shard: entry.shard,
            zone: entry.zone,
            start: entry.incarnation,
            started,
            state,
            gone_at: None,
            link: Link::Down,
        });
        if member.start != entry.incarnation {
            (member.start, member.started) = (entry.incarnation, started);
        }
        (member.address, member.shard, member.state) = (entry.address, entry.shard, state);
        member.gone_at = (state == StoreState::Gone).then(|| member.gone_at.unwrap_or(now));
        Endpoint { store: id, shard: entry.shard, zone: entry.zone, started_at: member.started, state }
    }

    /// The list as it stands, each store's age as of now.
    pub fn entries(&self, now: Duration) -> impl Iterator<Item = (StoreId, ListedStore)> {
        self.all.iter().map(move |(id, member)| {
            let state = match member.state {
                StoreState::Ready => EndpointState::Ready,
                StoreState::Draining => EndpointState::Draining,
                StoreState::Gone => EndpointState::Gone,
            };
            let age = member.started.map(|started| now.saturating_sub(started).as_micros() as u64);
            let (store, address, shard, zone) = (member.lasting, member.address, member.shard, member.zone);
            (*id, ListedStore { store, address, shard, zone, state, incarnation: member.start, age })
        })
    }

    /// All shards that the list has told of.
    pub fn shards(&self) -> BTreeSet<u32> {
        self.all.values().map(|member| member.shard).collect()
    }

    /// Those that a whole list no longer names are gone.
    pub fn unnamed(&mut self, now: Duration, named: &[Endpoint]) {
        let named: BTreeSet<StoreId> = named.iter().map(|listing| listing.store).collect();
        for (id, member) in &mut self.all {
            if !named.contains(id) {
                member.state = StoreState::Gone;
                member.gone_at = member.gone_at.or(Some(now));
            }
        }
    }

    /// Forgets stores gone for so long that nothing sent to them counts any more, not even against their next start.
    pub fn forget(&mut self, gone_before: Duration) -> Vec<StoreId> {
        let over = |member: &Member| member.gone_at.is_some_and(|at| at < gone_before);
        let gone: Vec<StoreId> =
            self.all.iter().filter(|(_, member)| over(member)).map(|(id, _)| *id).collect();
        for id in &gone {
            if let Some(member) = self.all.remove(id) {
                self.ids.remove(&member.lasting);
            }
        }
        gone
    }
}
