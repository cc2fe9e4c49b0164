//! Hosting: one module an instance, with the ids of the wire turned into small indices and back.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use umbertray::interface::{
    Action, AttemptResult, Endpoint, EndpointListUpdate, Event, Op, OpId, Outcome, Report, StoreId,
    StoreState, VolumeId,
};
use umbertray::scheduler::Scheduler;

use crate::codec::{Address, Batch, Demand, Entry, Item, Load, Malformed, Record, Reply};

/// The wire counts whole microseconds.
const MICROS: f64 = 1e6;

/// What the wire calls an op, and how many of its dispatches have no answer yet.
struct Door {
    tid: u64,
    out: u32,
    ended: bool,
}

#[derive(Default)]
struct Instance {
    gateway: Scheduler,
    fields: Vec<String>,
    ops: HashMap<OpId, Door>,
    op_ids: HashMap<u64, OpId>,
    next_op: u32,
    stores: Vec<Address>,
    store_ids: HashMap<Address, StoreId>,
    volume_ids: HashMap<u64, VolumeId>,
    events: Vec<Event>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    sheets: HashMap<u32, Vec<Entry>>,
}

fn span(seconds: f64) -> Duration {
    Duration::from_micros((seconds.max(0.0) * MICROS).round() as u64)
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

impl Instance {
    fn store(&mut self, address: Address) -> StoreId {
        *self.store_ids.entry(address).or_insert_with(|| {
            self.stores.push(address);
            StoreId(self.stores.len() as u32 - 1)
        })
    }

    fn report(&self, load: &Load) -> Report {
        self.fields.iter().cloned().zip(load.0.iter().map(|&value| f64::from(value))).collect()
    }

    fn listings(&mut self, entries: &[Entry]) -> Vec<Endpoint> {
        let listing = |entry: &Entry| Endpoint {
            store: self.store(entry.address),
            shard: entry.shard.into(),
            zone: entry.zone.into(),
            started_at: (entry.started > 0.0).then(|| span(entry.started)),
            state: match entry.state {
                1 => StoreState::Ready,
                2 => StoreState::Draining,
                _ => StoreState::Gone,
            },
        };
        entries.iter().map(listing).collect()
    }

    fn arrived(&mut self, demand: &Demand) -> Event {
        let id = OpId(self.next_op);
        self.next_op = self.next_op.wrapping_add(1);
        self.op_ids.insert(demand.tid, id);
        self.ops.insert(id, Door { tid: demand.tid, out: 0, ended: false });
        let next_volume = VolumeId(self.volume_ids.len() as u32);
        Event::OpArrived(Op {
            id,
            units: demand.price_units.into(),
            volume: *self.volume_ids.entry(demand.owner).or_insert(next_volume),
            volume_name: demand.owner,
            key: (demand.chunk != 0).then_some(demand.chunk),
            shard: (demand.home_cell >= 0.0).then_some(demand.home_cell as u32),
            time_left: span(demand.budget),
            plan: demand.policy as usize,
            op_type: demand.qos.into(),
            gateways: f64::from(demand.writers),
        })
    }

    /// Forgets an op once it has ended and nothing of it is out.
    fn part(&mut self, op: OpId, returned: u32, ended: bool) {
        if let Some(door) = self.ops.get_mut(&op) {
            door.out = door.out.saturating_sub(returned);
            door.ended |= ended;
            if door.ended && door.out == 0 {
                self.op_ids.remove(&door.tid);
                self.ops.remove(&op);
            }
        }
    }

    fn event(
        &mut self,
        record: &Record,
        sheets: &HashMap<u32, Vec<Entry>>,
    ) -> Result<Option<Event>, Malformed> {
        Ok(Some(match record {
            Record::OpenInstance { seed, boot_info } => {
                let settings = umbertray_setting_names::from_lines(boot_info);
                let fields = settings.get("telemetry.fields").map_or("", String::as_str);
                self.fields = fields.split(',').filter(|name| !name.is_empty()).map(String::from).collect();
                Event::Start { seed: *seed, settings }
            }
            Record::Registry { scope: 1, .. } => Event::EndpointList(EndpointListUpdate::Failed),
            Record::Registry { scope, page } => {
                let entries =
                    sheets.get(page).ok_or_else(|| Malformed(format!("no sheet numbered {page}")))?;
                let listings = self.listings(entries);
                Event::EndpointList(match scope {
                    0 => EndpointListUpdate::Changes(listings),
                    2 => EndpointListUpdate::Whole(listings),
                    3 => EndpointListUpdate::Cached(listings),
                    other => return Err(Malformed(format!("unknown scope {other}"))),
                })
            }
            Record::Demand(demand) => self.arrived(demand),
            Record::Accepted { tid } => match self.op_ids.get(tid) {
                Some(&op) => Event::StreamStarted { op },
                None => return Ok(None),
            },
            Record::ReportBack(back) => {
                let Some(&op) = self.op_ids.get(&back.tid) else {
                    return Ok(None);
                };
                self.part(op, 1, back.complete);
                Event::AttemptFinished(AttemptResult {
                    op,
                    attempt: back.n.into(),
                    store: self.store(back.address),
                    outcome: outcome(back.how),
                    latency: span(back.time_taken),
                    op_ended: back.complete,
                    plan_rate_used: (back.volume_use > 0).then(|| (f64::from(back.volume_use) - 1.0) / 100.0),
                    units_elsewhere: back.delta.into(),
                    report: self.report(&back.load),
                })
            }
            Record::ClientLeft { tid } => {
                let Some(&op) = self.op_ids.get(tid) else {
                    return Ok(None);
                };
                self.part(op, 0, true);
                Event::ClientDisconnected { op }
            }
            Record::Bell { label } => Event::Timer { token: *label },
            Record::Pong { address, how, load } => {
                let (store, report) = (self.store(*address), self.report(load));
                Event::HealthChecked { store, outcome: outcome(*how), report }
            }
            Record::Datagram | Record::Stop => return Ok(None),
        }))
    }

    fn act(&mut self, instance: u16, action: Action, reply: &mut Reply) {
        let tid = |op: &OpId| self.ops.get(op).map(|door| door.tid);
        match action {
            Action::StartAttempt { op, store, timeout } => {
                if let Some(door) = self.ops.get_mut(&op) {
                    door.out += 1;
                    reply.place(instance, door.tid, self.stores[store.0 as usize], timeout);
                }
            }
            Action::Reject { op, retry_after } => {
                if let Some(tid) = tid(&op) {
                    reply.bounce(instance, tid, retry_after);
                    self.part(op, 0, true);
                }
            }
            Action::Fail { op } => {
                if let Some(tid) = tid(&op) {
                    reply.fail(instance, tid);
                    self.part(op, 0, true);
                }
            }
            Action::Cancel { op, attempt: dispatch } => {
                if let Some(tid) = tid(&op) {
                    reply.undo_send(instance, tid, dispatch as u8);
                }
            }
            Action::SetTimer { token, at } => reply.after(instance, token, at),
            Action::WatchEndpoints => reply.observe(instance),
            Action::FetchEndpoints => reply.get_list(instance),
            Action::CheckHealth { store } => reply.ping(instance, self.stores[store.0 as usize]),
            // Instances here keep nothing: each is killed outright.
            Action::Snapshot { .. } => {}
            Action::Log(text) => reply.emit(instance, &text),
            Action::Fatal(text) => reply.fatal(instance, &text),
        }
    }
}

impl Host {
    /// Hands each instance its events of the batch and collects what they ask for.
    pub fn handle(&mut self, batch: Batch) -> Result<Reply, Malformed> {
        let mut reply = Reply::default();
        let mut touched = Vec::new();
        for item in batch.items {
            match item {
                Item::Sheet { page, entries } => {
                    self.sheets.insert(page, entries);
                }
                Item::For { instance, record: Record::Stop } => {
                    self.instances.remove(&instance);
                }
                Item::For { instance, record } => {
                    if let Record::OpenInstance { .. } = record {
                        self.instances.insert(instance, Instance::default());
                    }
                    let Some(host) = self.instances.get_mut(&instance) else {
                        continue;
                    };
                    if let Some(event) = host.event(&record, &self.sheets)? {
                        host.events.push(event);
                    }
                    if !touched.contains(&instance) {
                        touched.push(instance);
                    }
                }
            }
        }
        let now = span(batch.now);
        for id in touched {
            let Some(host) = self.instances.get_mut(&id) else {
                continue;
            };
            let events = std::mem::take(&mut host.events);
            let gateway = &mut host.gateway;
            match catch_unwind(AssertUnwindSafe(|| gateway.handle(now, events))) {
                Ok(actions) => actions.into_iter().for_each(|action| host.act(id, action, &mut reply)),
                Err(_) => reply.fatal(id, "the decision module panicked"),
            }
        }
        Ok(reply)
    }
}
