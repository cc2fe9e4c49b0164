//! The simulated system: a coordinator, two stores, two gateways and a network.

mod events;
mod types;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use umbertray_control_plane::fence::EpochCheck;
use umbertray_control_plane::{ConnectionId, Coordinator, CoordinatorState, Input, Output, Record};
use umbertray_store_protocol::list::{FromList, Location, ToList};
use umbertray_store_protocol::orders::OrderReply;

use crate::properties::{
    Checked, acked_writes_stay, at_most_one_serves, former_source_serves_nothing, old_order_changes_nothing,
    writes_apply_once,
};
use crate::search::Shared;
use crate::store::Store;
use crate::{EXTENT, INITIAL_WRITE, OPERATOR, PlantedBug, RANGE, READ_OP, VOLUME};

pub(crate) use self::types::{CoordinatorEvent, Event, Faults, Op, SentOrder, Stage};

#[derive(Clone, Hash)]
pub(crate) struct World {
    pub planted_bug: PlantedBug,
    pub core: Shared<Coordinator>,
    /// The durable state, from which a new run of the coordinator starts.
    pub log: Shared<CoordinatorState>,
    /// Records that were acted on and are not logged yet; empty unless [`PlantedBug::ActedBeforeLogged`] is
    /// planted.
    pub unlogged: Vec<Record>,
    /// The coordinator's clock in hours; each expired timer advances it by one.
    pub hours: u32,
    pub is_timer_set: bool,
    /// The order in transit whose reply the coordinator waits for.
    pub order: Option<SentOrder>,
    /// Replies in transit to the coordinator, with the tokens of their orders.
    pub replies: Vec<(u64, OrderReply)>,
    /// Orders in transit that the coordinator no longer waits for, or that an earlier run sent.
    pub late_orders: Vec<SentOrder>,
    /// Orders of the first move, which may arrive again during the second one.
    pub former_orders: Arc<Vec<SentOrder>>,
    pub stores: [Shared<Store>; 2],
    /// The highest term and move number that each store has received.
    pub newest_received: [(u64, u64); 2],
    pub known_by_gateway: [Location; 2],
    pub ops: [Op; 3],
    pub late_ops: Vec<(usize, Location)>,
    /// Every location that the map has had: a gateway may still use any of them.
    pub known_locations: BTreeSet<Location>,
    /// The location at which the last write was applied.
    pub last_write: Option<Location>,
    pub acked: BTreeSet<u64>,
    /// The writes that were acknowledged before the read was sent, and that it has to return.
    pub acked_before_read: BTreeSet<u64>,
    pub faults: Faults,
}

/// One effect of a step of the coordinator. A step may crash between any two of them.
pub(crate) enum Effect {
    Record(Record),
    Output(Output),
}

impl World {
    /// The range lies at shard 0 and is being moved to shard 1; both writes are in transit.
    pub(crate) fn new(planted_bug: PlantedBug, faults: Faults) -> World {
        let location = Location { shard: 0, epoch: 0 };
        let op = |gateway, stage| Op { gateway, stage };
        let mut world = World {
            planted_bug,
            core: Shared::new(Coordinator::default()),
            log: Shared::new(CoordinatorState::default()),
            unlogged: Vec::new(),
            hours: 0,
            is_timer_set: false,
            order: None,
            replies: Vec::new(),
            late_orders: Vec::new(),
            former_orders: Arc::default(),
            stores: [0, 1].map(|_| Shared::new(Store::default())),
            newest_received: Default::default(),
            known_by_gateway: [location; 2],
            ops: [op(0, Stage::InTransit(location)), op(1, Stage::InTransit(location)), op(0, Stage::Unsent)],
            late_ops: Vec::new(),
            known_locations: BTreeSet::new(),
            last_write: None,
            acked: BTreeSet::new(),
            acked_before_read: BTreeSet::new(),
            faults,
        };
        world.start_coordinator();
        world.send_operator_request(ToList::Claim { token: 0, volume: VOLUME, extent: EXTENT, shard: 0 });
        world.send_operator_request(ToList::Move { token: 0, range: RANGE, shard: 1 });
        world
    }

    /// The range was moved to shard 1 and is being moved back; an order of the first move may still arrive.
    pub(crate) fn moving_back(planted_bug: PlantedBug, faults: Faults) -> World {
        let mut world = World::new(planted_bug, faults);
        let ops = std::mem::replace(&mut world.ops, [Op { gateway: 0, stage: Stage::Done }; 3]);
        world.stores[0].change(|store| store.write(INITIAL_WRITE));
        let mut former = Vec::new();
        while let Some(event) = world.next_without_faults() {
            former.extend(world.order.clone());
            _ = world.step(&event);
        }
        former.dedup();
        (world.former_orders, world.ops) = (Arc::new(former), ops);
        world.acked_before_read.insert(INITIAL_WRITE);
        // Gateway 0 knows the location after the first move, gateway 1 does not.
        world.known_by_gateway[0] = Location { shard: 1, epoch: 1 };
        world.ops[0].stage = Stage::InTransit(world.known_by_gateway[0]);
        world.send_operator_request(ToList::Move { token: 0, range: RANGE, shard: 0 });
        world
    }

    /// Keeps only the first `writes` writes; the others count as done.
    pub(crate) fn with_writes(mut self, writes: usize) -> World {
        self.ops[writes..READ_OP].iter_mut().for_each(|op| op.stage = Stage::Done);
        self
    }

    pub(crate) fn send_operator_request(&mut self, message: ToList) {
        self.coordinator_step(Input::Request { connection: OPERATOR, message }, None);
    }

    pub(crate) fn start_coordinator(&mut self) {
        let state = CoordinatorState::decode(&self.log.encode()).expect("a state reads what it wrote");
        let (core, outputs) = Coordinator::start(state);
        self.core = Shared::new(core);
        self.perform(outputs, None);
        self.coordinator_step(Input::Shards([0, 1].into()), None);
    }

    pub(crate) fn crash_coordinator(&mut self) {
        self.faults.coordinator = false;
        self.unlogged.clear();
        self.replies.clear();
        self.late_orders.extend(self.order.take());
        for op in &mut self.ops {
            if let Stage::LookingUp { min_epoch } = op.stage {
                op.stage = Stage::Answered { stale: Some(min_epoch) };
            }
        }
        self.start_coordinator();
    }

    /// Runs a step of the coordinator, up to a crash after `crash` effects. Returns the number of effects of
    /// the complete step.
    pub(crate) fn coordinator_step(&mut self, input: Input, crash: Option<usize>) -> usize {
        let records = std::mem::take(&mut self.unlogged);
        records.iter().for_each(|record| self.log.change(|log| log.apply(record)));
        let now = Duration::from_secs(3600) * self.hours;
        let outputs = self.core.change(|core| core.handle(now, vec![input]));
        self.perform(outputs, crash)
    }

    pub(crate) fn perform(&mut self, outputs: Vec<Output>, crash: Option<usize>) -> usize {
        let effects_of = |output| match output {
            Output::Log(records) => records.into_iter().map(Effect::Record).collect(),
            output => vec![Effect::Output(output)],
        };
        let effects: Vec<Effect> = outputs.into_iter().flat_map(effects_of).collect();
        let count = effects.len();
        self.is_timer_set = false;
        effects.into_iter().take(crash.unwrap_or(count)).for_each(|effect| self.apply_effect(effect));
        self.known_locations.extend(self.core.state().map.location(VOLUME, EXTENT));
        if crash.is_some() {
            self.crash_coordinator();
        }
        count
    }

    pub(crate) fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Record(record) if self.planted_bug == PlantedBug::ActedBeforeLogged => {
                self.unlogged.push(record);
            }
            Effect::Record(record) => self.log.change(|log| log.apply(&record)),
            Effect::Output(Output::Order { token, shard, term, number, order }) => {
                let sent = SentOrder { token, shard, term, number, order };
                self.late_orders.extend(self.order.replace(sent));
            }
            Effect::Output(Output::Send {
                connection,
                message: FromList::Location { location: Some(location), .. },
            }) => {
                self.on_location(connection, location);
            }
            Effect::Output(Output::SetTimer(_)) => self.is_timer_set = true,
            Effect::Output(_) => {}
        }
    }

    pub(crate) fn on_location(&mut self, connection: ConnectionId, location: Location) {
        let Some(op) = self.ops.get_mut(connection.0 as usize) else { return };
        if let Stage::LookingUp { .. } = op.stage {
            op.stage = Stage::InTransit(location);
            let known = &mut self.known_by_gateway[op.gateway];
            *known = if known.epoch < location.epoch { location } else { *known };
        }
    }

    pub(crate) fn on_coordinator_event(&mut self, event: CoordinatorEvent, crash: Option<usize>) -> usize {
        let input = match event {
            CoordinatorEvent::Reply(at) => {
                let (token, reply) = self.replies.remove(at);
                Input::OrderFinished { token, reply: Some(reply) }
            }
            CoordinatorEvent::ReplyLost(at) => {
                self.faults.loss = false;
                Input::OrderFinished { token: self.replies.remove(at).0, reply: None }
            }
            CoordinatorEvent::OrderLost => {
                self.faults.loss = false;
                self.late_orders.extend(self.order.take());
                Input::OrderFinished {
                    token: self.late_orders.last().map_or(0, |sent| sent.token),
                    reply: None,
                }
            }
            CoordinatorEvent::TimerExpired => {
                self.hours += 1;
                Input::TimerExpired
            }
            CoordinatorEvent::Abandon => {
                self.faults.abandon = false;
                let number = self.core.state().last_move_number;
                let message = ToList::MoveStatus { token: 0, number, abandon: true };
                Input::Request { connection: OPERATOR, message }
            }
            CoordinatorEvent::Lookup(op) => self.lookup(op),
        };
        self.coordinator_step(input, crash)
    }

    pub(crate) fn lookup(&mut self, op: usize) -> Input {
        let Stage::Answered { stale: Some(min_epoch) } = self.ops[op].stage else {
            unreachable!("only an op that was rejected as stale leads to a lookup");
        };
        self.ops[op].stage = Stage::LookingUp { min_epoch };
        let message = ToList::Lookup { token: op as u64, volume: VOLUME, extent: EXTENT, min_epoch };
        Input::Request { connection: ConnectionId(op as u64), message }
    }

    pub(crate) fn deliver(&mut self, sent: &SentOrder) -> Checked<OrderReply> {
        let shard = sent.shard as usize;
        let planted_bug = self.planted_bug;
        let store = &mut self.stores[shard];
        let min_term = if planted_bug == PlantedBug::TermNotChecked { store.fences.term } else { 0 };
        let before = store.clone();
        let reply =
            store.change(|store| store.order(min_term.max(sent.term), sent.number, &sent.order, planted_bug));
        old_order_changes_nothing(sent, self.newest_received[shard], &before, store)?;
        let (term, number) = &mut self.newest_received[shard];
        *term = sent.term.max(*term);
        if !matches!(reply, OrderReply::StaleTerm(_) | OrderReply::WrongState) {
            *number = sent.number.max(*number);
        }
        Ok(reply)
    }

    /// Runs an op at its store. Returns its next stage, or `None` if it has to wait.
    pub(crate) fn run_at_store(&mut self, op: usize, location: Location) -> Checked<Option<Stage>> {
        let store = &mut self.stores[location.shard as usize];
        let check = match store.check_epoch(location.epoch) {
            _ if op == READ_OP && self.planted_bug == PlantedBug::ReadsNotFenced => EpochCheck::Current,
            check => check,
        };
        match check {
            EpochCheck::NotActiveYet => return Ok(None),
            EpochCheck::Stale(epoch) => return Ok(Some(Stage::Answered { stale: Some(epoch) })),
            EpochCheck::Current => former_source_serves_nothing(location, self.last_write)?,
        }
        if op == READ_OP {
            acked_writes_stay(&store.data, &self.acked_before_read)?;
            return Ok(Some(Stage::Done));
        }
        store.change(|store| store.write(op as u64));
        writes_apply_once(&store.data)?;
        self.last_write = Some(location);
        Ok(Some(Stage::Answered { stale: None }))
    }

    pub(crate) fn run_op(&mut self, op: usize) -> Checked<()> {
        if let Stage::InTransit(location) | Stage::Queued(location) = self.ops[op].stage {
            self.ops[op].stage = self.run_at_store(op, location)?.unwrap_or(Stage::Queued(location));
        }
        Ok(())
    }

    pub(crate) fn time_out(&mut self, op: usize) {
        self.faults.loss = false;
        let again = Stage::InTransit(self.known_by_gateway[self.ops[op].gateway]);
        if let Stage::InTransit(location) | Stage::Queued(location) =
            std::mem::replace(&mut self.ops[op].stage, again)
        {
            self.late_ops.push((op, location));
        }
    }

    pub(crate) fn duplicate(&mut self, op: usize) {
        self.faults.duplication = false;
        if let Stage::InTransit(location) = self.ops[op].stage {
            self.late_ops.push((op, location));
        }
    }

    pub(crate) fn on_ack(&mut self, op: usize) {
        self.ops[op].stage = Stage::Done;
        self.acked.insert(op as u64);
    }

    pub(crate) fn send_read(&mut self, gateway: usize) {
        self.ops[READ_OP] = Op { gateway, stage: Stage::InTransit(self.known_by_gateway[gateway]) };
        self.acked_before_read.extend(&self.acked);
    }

    pub(crate) fn crash_store(&mut self, shard: u32) {
        self.faults.store = false;
        for op in &mut self.ops {
            if matches!(op.stage, Stage::Queued(location) if location.shard == shard) {
                op.stage = Stage::InTransit(self.known_by_gateway[op.gateway]);
            }
        }
    }

    /// Applies an event. Returns the number of effects of the coordinator's step, 0 for other events.
    pub(crate) fn step(&mut self, event: &Event) -> Checked<usize> {
        let mut outputs = 0;
        match event {
            Event::Coordinator(event, crash) => outputs = self.on_coordinator_event(*event, *crash),
            Event::CoordinatorCrash => self.crash_coordinator(),
            Event::DeliverOrder { duplicated } => {
                let sent = self.order.take().expect("an order is in transit");
                let reply = self.deliver(&sent)?;
                self.replies.push((sent.token, reply));
                if *duplicated {
                    self.faults.duplication = false;
                    self.late_orders.push(sent);
                }
            }
            Event::DeliverLateOrder(at) => {
                let sent = self.late_orders.remove(*at);
                self.deliver(&sent)?;
            }
            Event::DeliverFormerOrder(at) => {
                self.faults.duplication = false;
                let former = self.former_orders.clone();
                self.deliver(&former[*at])?;
            }
            Event::RunOp { op, duplicated } => {
                if *duplicated {
                    self.duplicate(*op);
                }
                self.run_op(*op)?;
            }
            Event::RunLateOp(at) => {
                let (op, location) = self.late_ops.remove(*at);
                self.run_at_store(op, location)?;
            }
            Event::Acked(op) => self.on_ack(*op),
            Event::TimedOut(op) => self.time_out(*op),
            Event::Read { gateway } => self.send_read(*gateway),
            Event::StoreCrash(shard) => self.crash_store(*shard),
        }
        at_most_one_serves(self)?;
        Ok(outputs)
    }
}
