//! The directory: the endpoint list of stores, and the map of extents with its queries.

use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{Endpoint, EndpointListUpdate, Event, OpId, Outcome, StoreState};
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

    /// Schedules open queries to be sent again.
    ///
    /// Hazard: each query may come back as failed. If each failure sent all of them again, queries would multiply until the
    /// directory does nothing else and news of drains is stuck behind them; all are sent again together, once.
    fn schedule_query_retry(&mut self) {
        if self.locations.has_open_queries() && !self.retry_scheduled {
            self.retry_scheduled = true;
            self.timers.set(self.now + self.settings.connect_timeout, Timer::RetryQueries);
        }
    }

    pub(super) fn on_list_message(&mut self, message: FromList) {
        match message {
            FromList::Welcome { .. } | FromList::Move { .. } | FromList::MoveStatus { .. } => {}
            FromList::Full(stores) => self.on_endpoint_list(&stores, true),
            FromList::Changes(stores) => self.on_endpoint_list(&stores, false),
            FromList::Failed => self.on_list_failed(),
            FromList::Location { token, place } => {
                self.map_unavailable = false;
                match self.locations.take_query(token) {
                    Some(DirectoryQuery::Lookup(extent, waiting, _)) => {
                        self.on_lookup(extent, waiting, place);
                    }
                    Some(DirectoryQuery::Claim(extent, shard, number)) => {
                        self.on_claim(extent, shard, number, place);
                    }
                    Some(DirectoryQuery::Shards(..)) | None => {}
                }
            }
            FromList::Shards { token, shards } => {
                self.map_unavailable = false;
                if let Some(DirectoryQuery::Shards(_, id)) = self.locations.take_query(token) {
                    self.flush_at(id, &shards);
                }
            }
        }
    }

    /// Without the endpoint list, the one that an earlier run saved has to do until it can be had.
    pub(super) fn on_list_failed(&mut self) {
        let saved = self.pending_restore.as_mut().and_then(|pending| pending.take_saved_list(self.now));
        if let Some(stores) = saved {
            let cached = EndpointListUpdate::Cached(self.apply_endpoints(&stores));
            self.events.push(Event::EndpointList(cached));
        }
        self.events.push(Event::EndpointList(EndpointListUpdate::Failed));
        self.schedule_query_retry();
    }

    fn on_endpoint_list(&mut self, stores: &[ListedStore], is_whole: bool) {
        let endpoints = self.apply_endpoints(stores);
        if is_whole {
            self.stores.remove_unlisted(self.now, &endpoints);
        }
        let forget_at = self.now + self.gone_store_retention() + self.settings.tick;
        self.timers.set(forget_at, Timer::ForgetStores);
        let pending = self.pending_restore.as_mut();
        let restored = pending.and_then(|pending| pending.on_list(self.now, stores, &endpoints));
        let update = if is_whole {
            EndpointListUpdate::Whole(endpoints)
        } else {
            EndpointListUpdate::Changes(endpoints)
        };
        self.events.push(Event::EndpointList(update));
        self.events.extend(restored);
    }

    /// Takes the stores of a list and connects to those that are ready: a connection made ahead saves the first operation
    /// its time.
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

    /// How long a store that is gone is remembered: what it was sent counts against its next start, and an attempt at it may
    /// still be in flight.
    pub(super) fn gone_store_retention(&self) -> Duration {
        let rules = &self.settings.rules;
        let longest = self.settings.op_types.iter().map(|op_type| op_type.op_timeout).max();
        2 * (rules.slow_start_duration + rules.slow_start_window) + longest.unwrap_or_default()
    }

    /// The map has answered a lookup.
    ///
    /// Hazard: some of the fragments that wait were rejected before and are older than others that came meanwhile; out of
    /// order they would undo each other.
    fn on_lookup(&mut self, extent: ExtentId, mut waiting: Vec<u32>, location: Option<Location>) {
        if let Some(location) = location {
            self.locations.record(extent, location);
        }
        waiting.sort_by_key(|id| self.fragments.get(id).map(|fragment| fragment.sequence));
        waiting.into_iter().for_each(|id| self.on_location(id, location));
    }

    /// The map has said where a fragment's extent lies, if anywhere.
    fn on_location(&mut self, id: u32, location: Option<Location>) {
        let Some(fragment) = self.fragments.get(&id) else { return };
        if fragment.state != FragmentState::Locating {
            return;
        }
        let request = fragment.request;
        let span = fragment.span;
        match (location, fragment.kind) {
            // Nothing was ever written there: no store is needed to say so.
            (None, OperationKind::Read) => {
                let offset = self.volume_offset(span.extent, span.offset);
                self.reply(request, ReplyPart::Hole { offset, length: span.length });
            }
            (None, OperationKind::Status) => {
                let hole = DataRange { length: span.length, has_data: false };
                self.record_data_ranges(request, span, vec![hole]);
            }
            (None, OperationKind::Trim) => {}
            (location, _) => return self.schedule(id, location),
        }
        self.complete(id, FinalResult::Succeeded);
    }

    /// The map has answered a claim: the extent lies where this gateway's first write was to go, or where an earlier claim put
    /// it.
    fn on_claim(&mut self, extent: ExtentId, wanted_shard: u32, number: u64, location: Option<Location>) {
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
        if shard == wanted_shard {
            self.send(number);
        } else {
            self.finish_attempt(number, Outcome::NotSent, StoreReply::default());
        }
    }

    /// What is known goes on being served; new locations and moves wait for the coordinator.
    pub(super) fn on_coordinator_disconnected(&mut self) {
        self.map_unavailable = true;
        let flushes = self.locations.waiting_flushes();
        self.locations.drop_queries(|query| matches!(query, DirectoryQuery::Shards(..)));
        flushes.into_iter().for_each(|id| self.flush_everywhere(id));
        self.schedule_query_retry();
    }

    /// Flushes at all shards of the endpoint list, where the map cannot say at which ones the volume lies.
    ///
    /// Hazard: a flush that leaves out a shard promises what is not kept.
    pub(super) fn flush_everywhere(&mut self, id: u32) {
        let shards: Vec<u32> = self.stores.shards().into_iter().collect();
        self.flush_at(id, &shards);
    }

    /// A flush is one operation at each shard that holds extents of the volume, whichever gateway wrote them.
    fn flush_at(&mut self, id: u32, shards: &[u32]) {
        let Some(fragment) = self.fragments.get(&id) else { return };
        if fragment.state != FragmentState::Locating {
            return;
        }
        let request = fragment.request;
        let span = fragment.span;
        let Some((first, rest)) = shards.split_first() else {
            return self.complete(id, FinalResult::Succeeded);
        };
        // A flush concerns all that a shard has acknowledged, whatever has moved.
        let at_shard = |shard: u32| Some(Location { shard, epoch: 0 });
        self.schedule(id, at_shard(*first));
        for shard in rest {
            let other = self.add_fragment(request, span, Bytes::new());
            self.schedule(other, at_shard(*shard));
        }
    }
}
