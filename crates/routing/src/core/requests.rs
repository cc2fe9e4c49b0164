//! Splits requests into fragments, each of which becomes an operation of the scheduler once the location of
//! its extent is known.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{Event, Op, OpId, VolumeId};
use umbertray_store_protocol::list::{Location, ToList};
use umbertray_store_protocol::store::OperationKind;

use super::Core;
use crate::extent_range::{ExtentRange, extent_ranges};
use crate::fragment::{Fragment, FragmentState, OpenRequest};
use crate::locations::DirectoryQuery;
use crate::stale_epoch::may_resume_until;
use crate::timers::Timer;
use crate::{Request, RequestId, SessionId};

/// A fragment without a known location is rejected this many ticks before the request's deadline: one tick
/// for this gateway's timer, one for writing the reply, one for reading it, and one as reserve.
const RESPONSE_TICKS: u32 = 4;

impl Core {
    pub(super) fn on_request(&mut self, request: Request) {
        let op_type = self.settings.op_type(request.kind, request.length);
        let open_request = OpenRequest {
            volume: request.volume,
            kind: request.kind,
            op_type,
            durable: request.durable,
            deadline: request.started_at + self.settings.op_types[op_type].op_timeout,
            buffer_guard: request.buffer_guard.clone(),
            open_fragments: 0,
            fragments: Vec::new(),
            results: Vec::new(),
            data_ranges: BTreeMap::new(),
        };
        self.requests.insert(request.id, open_request);
        if request.kind == OperationKind::Flush {
            self.add_flush(&request);
        } else {
            self.add_fragments(request);
        }
    }

    /// A flush applies to the volume's shards, whatever range the request names. It starts as one fragment
    /// with an empty range.
    fn add_flush(&mut self, request: &Request) {
        let range = ExtentRange { extent: 0, offset: 0, length: 0 };
        let id = self.add_fragment(request.id, range, Bytes::new());
        if self.map_unavailable {
            return self.flush_everywhere(id);
        }
        let query = self.locations.query_shards(self.volumes[request.volume], id);
        self.wait_for_location(id, query);
    }

    fn add_fragments(&mut self, request: Request) {
        let volume = self.volumes[request.volume];
        let mut data = request.data;
        for range in extent_ranges(request.offset, request.length, self.settings.extent_bytes) {
            let is_write = request.kind == OperationKind::Write;
            let fragment_data = data.split_to(if is_write { range.length as usize } else { 0 });
            let id = self.add_fragment(request.id, range, fragment_data);
            let extent = (volume, range.extent);
            match self.locations.get(extent) {
                Some(location) => self.schedule(id, Some(location)),
                None => {
                    let query = self.locations.look_up(extent, id, 0);
                    self.wait_for_location(id, query);
                }
            }
        }
    }

    /// Adds a fragment to an open request and returns its id.
    pub(super) fn add_fragment(&mut self, request_id: RequestId, range: ExtentRange, data: Bytes) -> u32 {
        while self.fragments.contains_key(&self.next_fragment) {
            self.next_fragment = self.next_fragment.wrapping_add(1);
        }
        let id = self.next_fragment;
        self.next_fragment = id.wrapping_add(1);
        self.last_sequence += 1;
        let request = self.requests.get_mut(&request_id).expect("a fragment's request is open");
        request.open_fragments += 1;
        request.fragments.push(id);
        let fragment = Fragment {
            request: request_id,
            sequence: self.last_sequence,
            volume: request.volume,
            kind: request.kind,
            range,
            op_type: request.op_type,
            location: None,
            data,
            durable: request.durable,
            deadline: request.deadline,
            state: FragmentState::Locating,
            delivered_bytes: 0,
            attempts: Vec::new(),
            unknown_outcomes: Vec::new(),
            in_flight: 0,
            may_have_run_since: None,
        };
        self.fragments.insert(id, fragment);
        id
    }

    /// When a fragment without a known location is rejected without an attempt.
    fn location_deadline(&self, deadline: Duration) -> Duration {
        deadline.saturating_sub(self.settings.tick * RESPONSE_TICKS)
    }

    /// Waits for a fragment's location, and sends the query for it if there is one to send (none where a
    /// lookup of the same extent is already open).
    pub(super) fn wait_for_location(&mut self, id: u32, query: Option<ToList>) {
        let deadline = self.location_deadline(self.fragments[&id].deadline);
        self.timers.set(deadline, Timer::Fragment(id));
        if let Some(query) = query {
            self.send_query(query);
        }
    }

    /// Passes a fragment to the scheduler as an operation. A fragment without a location is the first write
    /// to a new object.
    pub(super) fn schedule(&mut self, id: u32, location: Option<Location>) {
        let Some(fragment) = self.fragments.get_mut(&id) else { return };
        if fragment.state != FragmentState::Locating {
            return;
        }
        fragment.state = FragmentState::Scheduled;
        fragment.location = location;
        let idempotency = self.settings.op_types[fragment.op_type].idempotency;
        let resume_until = may_resume_until(idempotency, fragment.may_have_run_since, self.settings.tick);
        let volume_id = self.volumes[fragment.volume];
        let volume = &self.settings.volumes[fragment.volume];
        let is_ordered = fragment.kind != OperationKind::Flush;
        let op = Op {
            id: OpId(id),
            units: self.settings.units(fragment.range.length),
            volume: VolumeId(fragment.volume as u32),
            volume_name: volume_id,
            key: is_ordered.then(|| order_key(volume_id, fragment.range.extent)),
            shard: location.map(|location| location.shard),
            time_left: fragment.deadline.min(resume_until.unwrap_or_default()).saturating_sub(self.now),
            plan: volume.plan,
            op_type: fragment.op_type,
            gateways: f64::from(volume.gateways),
        };
        let deadline = fragment.deadline;
        self.timers.unset(self.location_deadline(deadline), Timer::Fragment(id));
        self.events.push(Event::OpArrived(op));
    }

    /// Removes the requests of a session that has ended; no replies are sent for them.
    pub(super) fn on_session_closed(&mut self, session: SessionId) {
        let session_requests = RequestId(session, 0)..=RequestId(session, u64::MAX);
        let ids: Vec<RequestId> = self.requests.range(session_requests).map(|(id, _)| *id).collect();
        for request_id in ids {
            let Some(request) = self.requests.remove(&request_id) else { continue };
            request.fragments.into_iter().for_each(|id| self.abandon_fragment(id));
        }
        let fragments = &self.fragments;
        self.locations.drop_queries(|query| match query {
            DirectoryQuery::Lookup(_, waiting, _) => {
                waiting.retain(|id| fragments.contains_key(id));
                waiting.is_empty()
            }
            DirectoryQuery::Shards(_, id) => !fragments.contains_key(id),
            // Kept: the claim may have succeeded, and its response contains the extent's location.
            DirectoryQuery::Claim(..) => false,
        });
    }

    fn abandon_fragment(&mut self, id: u32) {
        let Some(fragment) = self.fragments.get_mut(&id) else { return };
        if fragment.state == FragmentState::Scheduled {
            self.events.push(Event::ClientDisconnected { op: OpId(id) });
        }
        fragment.data = Bytes::new();
        fragment.state = FragmentState::Finished;
        self.remove_if_finished(id);
    }

    /// Converts an offset within an extent to an offset in the volume, bytes.
    pub(super) fn volume_offset(&self, extent: u64, offset: u32) -> u64 {
        extent * u64::from(self.settings.extent_bytes) + u64::from(offset)
    }
}

/// The key by which operations on one extent are ordered. Every gateway computes the same key.
fn order_key(volume: u64, extent: u64) -> u64 {
    (volume ^ extent).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31) ^ extent
}
