//! Handles the endpoint list of stores, and the directory's responses to queries of the extent map. The
//! directory is the service that has this map: the coordinator, or the list service where there is none.

use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{Endpoint, EndpointListUpdate, Event, OpId, Outcome, StoreState};
use umbertray_lifecycle::list_retry;
use umbertray_store_protocol::list::{FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::store::{DataRange, OperationKind};

use super::Core;
use super::attempts::StoreReply;
use crate::fragment::FragmentState;
use crate::locations::{DirectoryQuery, ExtentId};
use crate::reply::FinalResult;
use crate::store_membership::Connection;
use crate::timers::Timer;
use crate::{Output, ReplyPart};

impl Core {
    pub(super) fn send_query(&mut self, query: ToList) {
        self.outputs.push(Output::ToList(query));
    }

    /// Schedules a resend of all open queries.
    ///
    /// Hazard: each query may fail separately. If each failure resent all open queries, their number would
    /// multiply until the directory is overloaded and notifications of draining stores are queued behind
    /// them. Therefore one timer resends all of them together, once.
    fn schedule_query_retry(&mut self) {
        if self.locations.has_open_queries() && !self.retry_scheduled {
            self.retry_scheduled = true;
            let retry_at = self.now + list_retry::connect_timeout(self.settings.connect_timeout);
            self.timers.set(retry_at, Timer::RetryQueries);
        }
    }

    pub(super) fn on_list_message(&mut self, message: FromList) {
        match message {
            FromList::Welcome { .. } | FromList::Move { .. } | FromList::MoveStatus { .. } => {}
            FromList::Complete(stores) => self.on_endpoint_list(&stores, true),
            FromList::Changes(stores) => self.on_endpoint_list(&stores, false),
            FromList::Failed => self.on_list_failed(),
            FromList::Location { token, location } => {
                self.map_unavailable = false;
                match self.locations.take_query(token) {
                    Some(DirectoryQuery::Lookup(extent, waiting, _)) => {
                        self.on_lookup(extent, waiting, location);
                    }
                    Some(DirectoryQuery::Claim(extent, shard, number)) => {
                        self.on_claim(extent, shard, number, location);
                    }
                    Some(DirectoryQuery::Shards(..)) | None => {}
                }
            }
            FromList::Shards { token, shards } => {
                self.map_unavailable = false;
                if let Some(DirectoryQuery::Shards(_, id)) = self.locations.take_query(token) {
                    self.flush_at_shards(id, &shards);
                }
            }
        }
    }

    /// While the endpoint list is unavailable, the list that an earlier run saved is used instead, if there
    /// is one.
    pub(super) fn on_list_failed(&mut self) {
        let saved = self.pending_restore.as_mut().and_then(|pending| pending.take_saved_list(self.now));
        if let Some(stores) = saved {
            let cached = EndpointListUpdate::Cached(self.apply_endpoints(&stores));
            self.events.push(Event::EndpointList(cached));
        }
        self.events.push(Event::EndpointList(EndpointListUpdate::Failed));
        self.schedule_query_retry();
    }

    fn on_endpoint_list(&mut self, stores: &[ListedStore], is_complete_list: bool) {
        let endpoints = self.apply_endpoints(stores);
        if is_complete_list {
            self.stores.mark_unlisted_gone(self.now, &endpoints);
        }
        let forget_at = self.now + self.gone_store_retention() + self.settings.tick;
        self.timers.set(forget_at, Timer::ForgetStores);
        let pending = self.pending_restore.as_mut();
        let restored = pending.and_then(|pending| pending.on_list(self.now, stores, &endpoints));
        let update = if is_complete_list {
            EndpointListUpdate::Complete(endpoints)
        } else {
            EndpointListUpdate::Changes(endpoints)
        };
        self.events.push(Event::EndpointList(update));
        self.events.extend(restored);
    }

    /// Applies the stores of a list and connects to those that are ready: connecting in advance saves the
    /// first operation the connection setup time.
    fn apply_endpoints(&mut self, stores: &[ListedStore]) -> Vec<Endpoint> {
        let endpoints: Vec<_> = stores.iter().map(|store| self.stores.apply(self.now, store)).collect();
        for endpoint in &endpoints {
            let store = self.stores.get_mut(endpoint.store).expect("a listed store is known");
            if endpoint.state == StoreState::Ready && matches!(store.connection, Connection::Down) {
                store.connection = Connection::Connecting(Vec::new());
                let address = store.address;
                self.outputs.push(Output::ConnectStore { store: endpoint.store, address });
            }
        }
        endpoints
    }

    /// How long a store that is gone is remembered: the load that it was sent counts against its slow start
    /// if it returns, and an attempt at it may still be in flight.
    pub(super) fn gone_store_retention(&self) -> Duration {
        let rules = &self.settings.rules;
        let longest_timeout = self.settings.op_types.iter().map(|op_type| op_type.op_timeout).max();
        2 * (rules.slow_start_duration + rules.slow_start_window) + longest_timeout.unwrap_or_default()
    }

    /// Handles the response to a lookup.
    ///
    /// Hazard: some of the waiting fragments were rejected by a store before, and are older than others that
    /// arrived meanwhile. They are scheduled in the order of their sequence numbers, because writes executed
    /// out of order would overwrite each other.
    fn on_lookup(&mut self, extent: ExtentId, mut waiting: Vec<u32>, location: Option<Location>) {
        if let Some(location) = location {
            self.locations.record(extent, location);
        }
        waiting.sort_by_key(|id| self.fragments.get(id).map(|fragment| fragment.sequence));
        waiting.into_iter().for_each(|id| self.on_location(id, location));
    }

    /// Continues a fragment whose location was looked up; `None` means that the extent has no location.
    fn on_location(&mut self, id: u32, location: Option<Location>) {
        let Some(fragment) = self.fragments.get(&id) else { return };
        if fragment.state != FragmentState::Locating {
            return;
        }
        let request = fragment.request;
        let range = fragment.range;
        match (location, fragment.kind) {
            // Nothing was ever written to this extent, so no store has to be queried.
            (None, OperationKind::Read) => {
                let offset = self.volume_offset(range.extent, range.offset);
                self.reply(request, ReplyPart::Hole { offset, length: range.length });
            }
            (None, OperationKind::Status) => {
                let hole = DataRange { length: range.length, has_data: false };
                self.record_data_ranges(request, range, vec![hole]);
            }
            (None, OperationKind::Trim) => {}
            (location, _) => return self.schedule(id, location),
        }
        self.complete(id, FinalResult::Succeeded);
    }

    /// Handles the response to a claim: the extent is located at the shard that this gateway claimed it for,
    /// or at the shard of an earlier claim.
    fn on_claim(&mut self, extent: ExtentId, claimed_shard: u32, number: u64, location: Option<Location>) {
        let Some(location) = location else {
            return self.finish_attempt(number, Outcome::ConnectFailed, StoreReply::default());
        };
        let shard = location.shard;
        self.locations.record(extent, location);
        let Some(attempt) = self.attempts.get(&number) else { return };
        let id = attempt.fragment;
        if let Some(fragment) = self.fragments.get_mut(&id) {
            fragment.location = Some(location);
        }
        self.events.push(Event::OpPlaced { op: OpId(id), shard });
        if shard == claimed_shard {
            self.send(number);
        } else {
            self.finish_attempt(number, Outcome::NotSent, StoreReply::default());
        }
    }

    /// Handles the loss of the coordinator. Known locations are still served; new locations and moves wait
    /// until the coordinator returns to service.
    pub(super) fn on_coordinator_disconnected(&mut self) {
        self.map_unavailable = true;
        let flushes = self.locations.waiting_flushes();
        self.locations.drop_queries(|query| matches!(query, DirectoryQuery::Shards(..)));
        flushes.into_iter().for_each(|id| self.flush_everywhere(id));
        self.schedule_query_retry();
    }

    /// Flushes at all shards of the endpoint list, used while the map cannot be queried for the shards that
    /// hold the volume.
    ///
    /// Hazard: a flush that omitted a shard would acknowledge writes as durable that are not.
    pub(super) fn flush_everywhere(&mut self, id: u32) {
        let shards: Vec<u32> = self.stores.shards().into_iter().collect();
        self.flush_at_shards(id, &shards);
    }

    /// Schedules one flush operation for each shard that holds extents of the volume, whichever gateway wrote
    /// them.
    fn flush_at_shards(&mut self, id: u32, shards: &[u32]) {
        let Some(fragment) = self.fragments.get(&id) else { return };
        if fragment.state != FragmentState::Locating {
            return;
        }
        let request = fragment.request;
        let range = fragment.range;
        let Some((first, rest)) = shards.split_first() else {
            return self.complete(id, FinalResult::Succeeded);
        };
        // A flush applies to all writes that the shard has acknowledged, even if ranges have moved since; its
        // location needs no epoch.
        let location_at = |shard: u32| Some(Location { shard, epoch: 0 });
        self.schedule(id, location_at(*first));
        for shard in rest {
            let additional = self.add_fragment(request, range, Bytes::new());
            self.schedule(additional, location_at(*shard));
        }
    }
}
