//! One instance: its scheduler, and the mapping between ids of the wire and the scheduler's small indices.

use std::collections::HashMap;
use std::time::Duration;

use umbertray::interface::{
    Action, AttemptResult, Endpoint, EndpointListUpdate, Event, LoadReport, Op, OpId, Outcome, StoreId,
    StoreState, VolumeId,
};
use umbertray::scheduler::Scheduler;

use super::{Sheets, wire_duration};
use crate::codec::{Address, Demand, Entry, Load, Record, Reply, ReportBack};
use crate::error::Malformed;

/// A request: the wire id of an op and the number of its attempts in flight.
struct OpenRequest {
    tid: u64,
    in_flight: u32,
    has_ended: bool,
}

#[derive(Default)]
pub(super) struct Instance {
    scheduler: Scheduler,
    /// Field names of the values in a load report.
    report_fields: Vec<String>,
    requests: HashMap<OpId, OpenRequest>,
    op_ids: HashMap<u64, OpId>,
    next_op: u32,
    /// Addresses by store id.
    stores: Vec<Address>,
    store_ids: HashMap<Address, StoreId>,
    volume_ids: HashMap<u64, VolumeId>,
    events: Vec<Event>,
}

fn outcome(how: u16) -> Outcome {
    match how {
        100 => Outcome::Succeeded,
        301 => Outcome::Failed,
        302 => Outcome::Rejected,
        303 => Outcome::TimedOut,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}

fn store_state(state: u8) -> StoreState {
    match state {
        1 => StoreState::Ready,
        2 => StoreState::Draining,
        _ => StoreState::Gone,
    }
}

/// The wire carries 1 + a percentage, so that 0 can represent an absent report.
fn plan_rate_used(volume_use: u16) -> Option<f64> {
    (volume_use > 0).then(|| (f64::from(volume_use) - 1.0) / 100.0)
}

impl Instance {
    /// Queues a record as an event, to be processed with the others of its batch.
    pub(super) fn receive(&mut self, record: &Record, sheets: &Sheets) -> Result<(), Malformed> {
        let event = match record {
            Record::OpenInstance { seed, boot_info } => Some(self.on_open(*seed, boot_info)),
            Record::Registry { scope, page } => {
                Some(Event::EndpointList(self.list_update(*scope, *page, sheets)?))
            }
            Record::Demand(demand) => Some(self.on_demand(demand)),
            Record::Accepted { tid } => self.op_ids.get(tid).map(|&op| Event::StreamStarted { op }),
            Record::ReportBack(report) => self.on_report_back(report),
            Record::ClientLeft { tid } => self.on_client_left(*tid),
            Record::Bell { label } => Some(Event::Timer { token: *label }),
            Record::Pong { address, how, load } => Some(Event::HealthChecked {
                store: self.store_id(*address),
                outcome: outcome(*how),
                report: self.report(load),
            }),
            Record::Datagram | Record::Stop => None,
        };
        self.events.extend(event);
        Ok(())
    }

    /// Runs the scheduler on the events received since the last call.
    pub(super) fn decide(&mut self, now: Duration) -> Vec<Action> {
        let events = std::mem::take(&mut self.events);
        self.scheduler.handle(now, events)
    }

    fn store_id(&mut self, address: Address) -> StoreId {
        *self.store_ids.entry(address).or_insert_with(|| {
            self.stores.push(address);
            StoreId(self.stores.len() as u32 - 1)
        })
    }

    fn report(&self, load: &Load) -> LoadReport {
        let values = load.0.iter().map(|&value| f64::from(value));
        self.report_fields.iter().cloned().zip(values).collect()
    }

    fn on_open(&mut self, seed: u64, boot_info: &str) -> Event {
        let settings = umbertray_setting_names::from_lines(boot_info);
        let fields = settings.get("telemetry.fields").map_or("", String::as_str);
        self.report_fields = fields.split(',').filter(|name| !name.is_empty()).map(String::from).collect();
        Event::Start { seed, settings }
    }

    fn list_update(
        &mut self,
        scope: u8,
        page: u32,
        sheets: &Sheets,
    ) -> Result<EndpointListUpdate, Malformed> {
        const FAILURE: u8 = 1;
        if scope == FAILURE {
            return Ok(EndpointListUpdate::Failed);
        }
        let entries = sheets.get(&page).ok_or(Malformed::UnknownSheet(page))?;
        let endpoints = entries.iter().map(|entry| self.endpoint(entry)).collect();
        match scope {
            0 => Ok(EndpointListUpdate::Changes(endpoints)),
            2 => Ok(EndpointListUpdate::Complete(endpoints)),
            3 => Ok(EndpointListUpdate::Cached(endpoints)),
            other => Err(Malformed::UnknownScope(other)),
        }
    }

    fn endpoint(&mut self, entry: &Entry) -> Endpoint {
        Endpoint {
            store: self.store_id(entry.address),
            shard: entry.shard.into(),
            zone: entry.zone.into(),
            started_at: (entry.started > 0.0).then(|| wire_duration(entry.started)),
            state: store_state(entry.state),
        }
    }

    fn on_demand(&mut self, demand: &Demand) -> Event {
        let id = OpId(self.next_op);
        self.next_op = self.next_op.wrapping_add(1);
        self.op_ids.insert(demand.tid, id);
        self.requests.insert(id, OpenRequest { tid: demand.tid, in_flight: 0, has_ended: false });
        let next_volume = VolumeId(self.volume_ids.len() as u32);
        Event::OpArrived(Op {
            id,
            units: demand.price_units.into(),
            volume: *self.volume_ids.entry(demand.owner).or_insert(next_volume),
            volume_name: demand.owner,
            key: (demand.chunk != 0).then_some(demand.chunk),
            shard: (demand.home_cell >= 0.0).then_some(demand.home_cell as u32),
            time_left: wire_duration(demand.budget),
            plan: demand.policy as usize,
            op_type: demand.qos.into(),
            gateways: f64::from(demand.writers),
        })
    }

    fn on_report_back(&mut self, report: &ReportBack) -> Option<Event> {
        let op = *self.op_ids.get(&report.tid)?;
        if let Some(request) = self.requests.get_mut(&op) {
            request.in_flight = request.in_flight.saturating_sub(1);
            request.has_ended |= report.complete;
        }
        self.remove_if_finished(op);
        Some(Event::AttemptFinished(AttemptResult {
            op,
            attempt: report.n.into(),
            store: self.store_id(report.address),
            outcome: outcome(report.how),
            latency: wire_duration(report.time_taken),
            op_ended: report.complete,
            plan_rate_used: plan_rate_used(report.volume_use),
            units_elsewhere: report.delta.into(),
            report: self.report(&report.load),
        }))
    }

    fn on_client_left(&mut self, tid: u64) -> Option<Event> {
        let op = *self.op_ids.get(&tid)?;
        self.mark_ended(op);
        Some(Event::ClientDisconnected { op })
    }

    fn mark_ended(&mut self, op: OpId) {
        if let Some(request) = self.requests.get_mut(&op) {
            request.has_ended = true;
        }
        self.remove_if_finished(op);
    }

    /// Removes a request once it has ended and none of its attempts is in flight.
    fn remove_if_finished(&mut self, op: OpId) {
        let Some(request) = self.requests.get(&op) else { return };
        if request.has_ended && request.in_flight == 0 {
            self.op_ids.remove(&request.tid);
            self.requests.remove(&op);
        }
    }

    /// Writes an action to the reply; an action for a removed request is dropped.
    pub(super) fn apply_action(&mut self, instance: u16, action: Action, reply: &mut Reply) {
        match action {
            Action::StartAttempt { op, store, timeout } => {
                if let Some(request) = self.requests.get_mut(&op) {
                    request.in_flight += 1;
                    reply.place(instance, request.tid, self.stores[store.0 as usize], timeout);
                }
            }
            Action::Reject { op, retry_after } => {
                if let Some(tid) = self.tid(op) {
                    reply.bounce(instance, tid, retry_after);
                    self.mark_ended(op);
                }
            }
            Action::Fail { op } => {
                if let Some(tid) = self.tid(op) {
                    reply.fail(instance, tid);
                    self.mark_ended(op);
                }
            }
            Action::Cancel { op, attempt } => {
                if let Some(tid) = self.tid(op) {
                    reply.undo_send(instance, tid, attempt as u8);
                }
            }
            Action::SetTimer { token, at } => reply.after(instance, token, at),
            Action::WatchEndpoints => reply.observe(instance),
            Action::FetchEndpoints => reply.get_list(instance),
            Action::CheckHealth { store } => reply.ping(instance, self.stores[store.0 as usize]),
            // Instances store no snapshots: the simulator kills each of them outright.
            Action::Snapshot { .. } => {}
            Action::Log(text) => reply.emit(instance, &text),
            Action::Fatal(text) => reply.fatal(instance, &text),
        }
    }

    fn tid(&self, op: OpId) -> Option<u64> {
        self.requests.get(&op).map(|request| request.tid)
    }
}
