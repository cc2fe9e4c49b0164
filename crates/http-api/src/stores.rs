//! What is known of the stores: their ids, addresses, states and starts, by the endpoint lists that were received.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use umbertray::interface::{Endpoint, StoreId, StoreState};
use umbertray_lifecycle::attempt::{self, StoreStatus};

use crate::boot_timestamp::{BootTimestamp, StampClock};
use crate::endpoint_list::{DiscoveredEndpoint, EndpointList};

/// When a store started.
#[derive(Clone, Copy)]
struct StoreStart {
    /// As discovery stamps it.
    stamp: BootTimestamp,
    /// As the scheduler knows it: the same for as long as the stamp is.
    at: Duration,
}

struct Store {
    uid: String,
    start: Option<StoreStart>,
    address: SocketAddr,
    state: StoreState,
    /// When this gateway counts as notified that the store is draining or gone.
    unavailable_since: Option<Duration>,
}

/// What a list changed.
#[derive(Default)]
pub(crate) struct ListChanges {
    /// The list's endpoints, for the scheduler.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Addresses of stores that a whole list does not name any more.
    pub(crate) unlisted_addresses: Vec<SocketAddr>,
    /// Addresses at which stores of the list no longer listen.
    pub(crate) abandoned_addresses: Vec<SocketAddr>,
}

/// The stores of the endpoint list.
pub(crate) struct Stores {
    stores: HashMap<StoreId, Store>,
    ids: HashMap<String, StoreId>,
    /// Zones by the numbers that the scheduler knows them by. A zone keeps its number, whatever the settings name later.
    zones: Vec<String>,
    stamps: StampClock,
    /// The watch broke, or has not brought anything yet: when its next change was notified is not known.
    watch_stale: bool,
}

impl Stores {
    /// No stores, in these zones so far.
    pub(crate) fn new(zones: Vec<String>) -> Stores {
        Stores {
            stores: HashMap::new(),
            ids: HashMap::new(),
            zones,
            stamps: StampClock::default(),
            watch_stale: true,
        }
    }

    /// Where a store listens.
    pub(crate) fn address(&self, store: StoreId) -> Option<SocketAddr> {
        self.stores.get(&store).map(|store| store.address)
    }

    /// The state of a store, for the lifecycle rules.
    pub(crate) fn status(&self, store: StoreId, drain_grace: Duration) -> Option<StoreStatus> {
        let store = self.stores.get(&store)?;
        Some(StoreStatus {
            is_gone: store.state == StoreState::Gone,
            draining_since: store.unavailable_since,
            drain_grace,
        })
    }

    /// The watch broke, or a call for the list failed.
    pub(crate) fn watch_failed(&mut self) {
        self.watch_stale = true;
    }

    /// The watch has brought something that is up to date.
    pub(crate) fn watch_recovered(&mut self) {
        self.watch_stale = false;
    }

    /// Takes a list received at `now`.
    pub(crate) fn apply(&mut self, list: &EndpointList, now: Duration, drain_grace: Duration) -> ListChanges {
        let newest = list.stores.iter().filter_map(|endpoint| endpoint.started).max();
        if let Some(stamp) = newest {
            self.stamps.see(stamp, now);
        }
        let mut changes = ListChanges::default();
        if list.is_whole {
            self.remove_unlisted(list, now, drain_grace, &mut changes);
        }
        for endpoint in &list.stores {
            let listed = self.apply_endpoint(endpoint, now, drain_grace, &mut changes);
            changes.endpoints.push(listed);
        }
        changes
    }

    /// Marks the stores that a whole list does not name as gone.
    fn remove_unlisted(
        &mut self,
        list: &EndpointList,
        now: Duration,
        drain_grace: Duration,
        changes: &mut ListChanges,
    ) {
        let notified_at = self.notified_at(now, drain_grace);
        let listed: HashSet<&str> = list.stores.iter().map(|endpoint| &*endpoint.uid).collect();
        for store in self.stores.values_mut().filter(|store| !listed.contains(&*store.uid)) {
            if store.state != StoreState::Gone {
                changes.unlisted_addresses.push(store.address);
            }
            store.state = StoreState::Gone;
            store.unavailable_since = store.unavailable_since.or(Some(notified_at));
        }
    }

    fn apply_endpoint(
        &mut self,
        endpoint: &DiscoveredEndpoint,
        now: Duration,
        drain_grace: Duration,
        changes: &mut ListChanges,
    ) -> Endpoint {
        let id = self.id(&endpoint.uid);
        let start = endpoint.started.map(|stamp| StoreStart { stamp, at: self.started_at(id, stamp, now) });
        let unavailable_since = self.unavailable_since(id, endpoint.state, now, drain_grace);
        let store = Store {
            uid: endpoint.uid.clone(),
            start,
            address: endpoint.address,
            state: endpoint.state,
            unavailable_since,
        };
        let previous = self.stores.insert(id, store);
        let moved_from =
            previous.map(|previous| previous.address).filter(|address| *address != endpoint.address);
        let gone_from = (endpoint.state == StoreState::Gone).then_some(endpoint.address);
        changes.abandoned_addresses.extend(moved_from.or(gone_from));
        // The scheduler counts a drain grace from when it hears of the drain: where none is left, the store is gone to it.
        let is_grace_over =
            unavailable_since.is_some_and(|since| since + attempt::usable_drain_grace(drain_grace) <= now);
        Endpoint {
            store: id,
            shard: endpoint.shard,
            zone: self.zone(&endpoint.zone),
            started_at: start.map(|start| start.at),
            state: if is_grace_over { StoreState::Gone } else { endpoint.state },
        }
    }

    /// The id of a store, by its lasting name.
    fn id(&mut self, uid: &str) -> StoreId {
        if let Some(id) = self.ids.get(uid) {
            return *id;
        }
        let id = StoreId(self.ids.len() as u32);
        self.ids.insert(uid.into(), id);
        id
    }

    /// When a store started, on the scheduler's clock, as far as it is certain.
    fn started_at(&self, store: StoreId, stamp: BootTimestamp, now: Duration) -> Duration {
        let known = self.stores.get(&store).and_then(|store| store.start);
        let same = known.filter(|start| start.stamp == stamp);
        same.map_or_else(|| now.saturating_sub(self.stamps.age(stamp, now)), |start| start.at)
    }

    /// Since when a store counts as draining or gone; nothing for one that is ready.
    fn unavailable_since(
        &self,
        store: StoreId,
        state: StoreState,
        now: Duration,
        drain_grace: Duration,
    ) -> Option<Duration> {
        if state == StoreState::Ready {
            return None;
        }
        let known = self.stores.get(&store).and_then(|store| store.unavailable_since);
        known.or_else(|| Some(self.notified_at(now, drain_grace)))
    }

    /// When a change that is received now counts as notified (rule 3).
    ///
    /// Hazard: what a silent watch missed counts as notified although it did not come, also what an earlier process
    /// missed. A drain that is heard of only after a silence may have had its grace already; a second one would send past
    /// it.
    fn notified_at(&self, now: Duration, drain_grace: Duration) -> Duration {
        if self.watch_stale { now.saturating_sub(drain_grace) } else { now }
    }

    /// The number of a zone.
    ///
    /// Hazard: two zones that the settings do not name must not share a number, or an operation that is deduplicated within
    /// a zone would be sent to both.
    fn zone(&mut self, name: &str) -> u32 {
        let known = self.zones.iter().position(|zone| zone == name);
        let number = known.unwrap_or_else(|| {
            self.zones.push(name.into());
            self.zones.len() - 1
        });
        number as u32
    }
}
