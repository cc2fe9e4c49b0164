//! The known stores: ids, addresses, states and start times, from the endpoint lists received.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use umbertray::interface::{Endpoint, StoreId, StoreState};
use umbertray_lifecycle::attempt::{self, StoreStatus};

use crate::boot_timestamp::{BootTimestamp, BootTimestampClock};
use crate::endpoint_list::{DiscoveredEndpoint, EndpointList};

/// When a store started.
#[derive(Clone, Copy)]
struct StoreStart {
    /// The boot timestamp sent by discovery.
    timestamp: BootTimestamp,
    /// The start time passed to the scheduler. It does not change while the timestamp stays the same.
    at: Duration,
}

struct Store {
    uid: String,
    start: Option<StoreStart>,
    address: SocketAddr,
    state: StoreState,
    /// When this gateway counts as notified that the store is draining or gone; `None` for a store that is
    /// ready.
    unavailable_since: Option<Duration>,
}

/// Changes made by an endpoint list.
#[derive(Default)]
pub(crate) struct ListChanges {
    /// The list's endpoints, for the scheduler.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Addresses of stores that a complete list no longer contains.
    pub(crate) unlisted_addresses: Vec<SocketAddr>,
    /// Addresses on which stores of the list no longer listen.
    pub(crate) abandoned_addresses: Vec<SocketAddr>,
}

/// The stores of the endpoint list.
pub(crate) struct Stores {
    stores: HashMap<StoreId, Store>,
    ids: HashMap<String, StoreId>,
    /// Zone names; the index is the scheduler's number of the zone. A zone keeps its number when the settings
    /// later name other zones.
    zones: Vec<String>,
    boot_clock: BootTimestampClock,
    /// Whether the watch broke, or has not delivered anything yet. While it is stale, it is unknown when the
    /// next change was notified.
    watch_stale: bool,
}

impl Stores {
    /// Creates an empty set of stores, with the zones that the settings name.
    pub(crate) fn new(zones: Vec<String>) -> Stores {
        Stores {
            stores: HashMap::new(),
            ids: HashMap::new(),
            zones,
            boot_clock: BootTimestampClock::default(),
            watch_stale: true,
        }
    }

    /// Address that a store listens on.
    pub(crate) fn address(&self, store: StoreId) -> Option<SocketAddr> {
        self.stores.get(&store).map(|store| store.address)
    }

    /// The state of a store for the lifecycle rules.
    pub(crate) fn status(&self, store: StoreId, drain_grace: Duration) -> Option<StoreStatus> {
        let store = self.stores.get(&store)?;
        Some(StoreStatus {
            is_gone: store.state == StoreState::Gone,
            draining_since: store.unavailable_since,
            drain_grace,
        })
    }

    /// Records that the watch broke, or that fetching the list failed.
    pub(crate) fn watch_failed(&mut self) {
        self.watch_stale = true;
    }

    /// Records that the watch delivered an up-to-date event.
    pub(crate) fn watch_recovered(&mut self) {
        self.watch_stale = false;
    }

    /// Applies a list received at `now`.
    pub(crate) fn apply(&mut self, list: &EndpointList, now: Duration, drain_grace: Duration) -> ListChanges {
        let newest = list.stores.iter().filter_map(|endpoint| endpoint.started).max();
        if let Some(timestamp) = newest {
            self.boot_clock.observe(timestamp, now);
        }
        let mut changes = ListChanges::default();
        if list.is_complete {
            self.remove_unlisted(list, now, drain_grace, &mut changes);
        }
        for endpoint in &list.stores {
            let listed = self.apply_endpoint(endpoint, now, drain_grace, &mut changes);
            changes.endpoints.push(listed);
        }
        changes
    }

    /// Marks stores that are missing from a complete list as gone.
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
        let start = endpoint
            .started
            .map(|timestamp| StoreStart { timestamp, at: self.started_at(id, timestamp, now) });
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
        // The scheduler counts the drain grace from its own notification. A store without any grace left is
        // reported to it as gone.
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

    /// The id of a store, by its permanent name.
    fn id(&mut self, uid: &str) -> StoreId {
        if let Some(id) = self.ids.get(uid) {
            return *id;
        }
        let id = StoreId(self.ids.len() as u32);
        self.ids.insert(uid.into(), id);
        id
    }

    /// When a store started, on the scheduler's clock. Only the certain part of its age is counted.
    fn started_at(&self, store: StoreId, timestamp: BootTimestamp, now: Duration) -> Duration {
        let known = self.stores.get(&store).and_then(|store| store.start);
        let same = known.filter(|start| start.timestamp == timestamp);
        same.map_or_else(|| now.saturating_sub(self.boot_clock.min_age(timestamp, now)), |start| start.at)
    }

    /// When the store counts as draining or gone; `None` if it is ready.
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
    /// Hazard: a change that was missed while the watch was silent counts as notified although it was not
    /// received, and so does one that an earlier process missed. The grace of a drain received after such a
    /// silence may already have expired; a second grace would permit attempts after its end.
    fn notified_at(&self, now: Duration, drain_grace: Duration) -> Duration {
        if self.watch_stale { now.saturating_sub(drain_grace) } else { now }
    }

    /// The number of a zone.
    ///
    /// Hazard: two zones that the settings do not name must not share a number; otherwise an operation that
    /// is deduplicated per zone would be sent to both.
    fn zone(&mut self, name: &str) -> u32 {
        let known = self.zones.iter().position(|zone| zone == name);
        let number = known.unwrap_or_else(|| {
            self.zones.push(name.into());
            self.zones.len() - 1
        });
        number as u32
    }
}
