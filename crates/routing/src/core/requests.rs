//! Requests: cut into fragments, each of which becomes an operation of the scheduler once its extent is located.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{Event, Op, OpId, VolumeId};
use umbertray_store_protocol::list::{Location, ToList};
use umbertray_store_protocol::store::OperationKind;

use super::Core;
use crate::extent_span::{ExtentSpan, spans};
use crate::fragment::{Fragment, FragmentState, OpenRequest};
use crate::locations::DirectoryQuery;
use crate::stale_epoch::may_resume_until;
use crate::timers::Timer;
use crate::{Request, RequestId, SessionId};

/// A fragment that is not located is answered this many ticks before its client's time is up: one for this gateway's timer,
/// one for the reply to be written, one for it to be read, one to spare.
const RESPONSE_TICKS: u32 = 4;

impl Core {
    pub(super) fn on_request(&mut self, request: Request) {
        let op_type = self.settings.op_type(request.kind, request.length);
        let open = OpenRequest {
            volume: request.volume,
            kind: request.kind,
            op_type,
            durable: request.durable,
            deadline: request.started_at + self.settings.op_types[op_type].op_timeout,
            buffer_guard: request.hold.clone(),
            open_fragments: 0,
            fragments: Vec::new(),
            results: Vec::new(),
            data_ranges: BTreeMap::new(),
        };
        self.requests.insert(request.id, open);
        if request.kind == OperationKind::Flush {
            self.add_flush(&request);
        } else {
            self.add_fragments(request);
        }
    }

    /// A flush concerns a volume's shards, whatever extents it names.
    fn add_flush(&mut self, request: &Request) {
        let span = ExtentSpan { extent: 0, offset: 0, length: 0 };
        let id = self.add_fragment(request.id, span, Bytes::new());
        if self.map_unavailable {
            return self.flush_everywhere(id);
        }
        let query = self.locations.query_shards(self.volumes[request.volume], id);
        self.wait_for_location(id, query);
    }

    fn add_fragments(&mut self, request: Request) {
        let volume = self.volumes[request.volume];
        let mut data = request.data;
        for span in spans(request.offset, request.length, self.settings.extent_bytes) {
            let is_write = request.kind == OperationKind::Write;
            let part = data.split_to(if is_write { span.length as usize } else { 0 });
            let id = self.add_fragment(request.id, span, part);
            let extent = (volume, span.extent);
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
    pub(super) fn add_fragment(&mut self, request_id: RequestId, span: ExtentSpan, data: Bytes) -> u32 {
        while self.fragments.contains_key(&self.next_fragment) {
            self.next_fragment = self.next_fragment.wrapping_add(1);
        }
        let id = self.next_fragment;
        self.next_fragment = id.wrapping_add(1);
        self.next_sequence += 1;
        let request = self.requests.get_mut(&request_id).expect("a fragment's request is open");
        request.open_fragments += 1;
        request.fragments.push(id);
        let fragment = Fragment {
            request: request_id,
            sequence: self.next_sequence,
            volume: request.volume,
            kind: request.kind,
            span,
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

    /// When a fragment that is not located is answered without an attempt.
    fn location_deadline(&self, deadline: Duration) -> Duration {
        deadline.saturating_sub(self.settings.tick * RESPONSE_TICKS)
    }

    /// Lets a fragment wait for its location, and sends the query for it, unless one is open already.
    pub(super) fn wait_for_location(&mut self, id: u32, query: Option<ToList>) {
        let deadline = self.location_deadline(self.fragments[&id].deadline);
        self.timers.set(deadline, Timer::Fragment(id));
        if let Some(query) = query {
            self.send_query(query);
        }
    }

    /// Hands a located fragment to the scheduler as an operation; without a location it is a new object.
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
        let has_order = fragment.kind != OperationKind::Flush;
        let op = Op {
            id: OpId(id),
            units: self.settings.units(fragment.span.length),
            volume: VolumeId(fragment.volume as u32),
            volume_name: volume_id,
            key: has_order.then(|| order_key(volume_id, fragment.span.extent)),
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

    /// The client is gone: its requests end without a reply.
    pub(super) fn on_session_closed(&mut self, session: SessionId) {
        let of_session = RequestId(session, 0)..=RequestId(session, u64::MAX);
        let ids: Vec<RequestId> = self.requests.range(of_session).map(|(id, _)| *id).collect();
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
            // The claim may have won: its answer is worth knowing.
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

    /// Where an offset within an extent lies in its volume, bytes.
    pub(super) fn volume_offset(&self, extent: u64, offset: u32) -> u64 {
        extent * u64::from(self.settings.extent_bytes) + u64::from(offset)
    }
}

/// The key by which operations on an extent are ordered; the same at every gateway.
fn order_key(volume: u64, extent: u64) -> u64 {
    (volume ^ extent).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31) ^ extent
}
