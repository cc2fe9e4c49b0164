//! A coordinator, two stores, two gateways and a network, and every event that can come next.

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
    Step, acked_writes_stay, at_most_one_serves, former_source_serves_nothing, old_order_changes_nothing,
    writes_apply_once,
};
use crate::search::Shared;
use crate::store::Store;
use crate::{EXTENT, FORMER, OPERATOR, PlantedBug, READ, SPAN, VOLUME};

pub(crate) use self::types::{CoordinatorEvent, Event, Faults, Op, Sent, Stage};

#[derive(Clone, Hash)]
pub(crate) struct World {
    pub planted_bug: PlantedBug,
    pub core: Shared<Coordinator>,
    /// The state that a new run finds in the log.
    pub log: Shared<CoordinatorState>,
    /// Records that were acted on and are not logged yet; empty without the planted bug.
    pub unlogged: Vec<Record>,
    pub hours: u32,
    pub wake: bool,
    pub order: Option<Sent>,
    pub replies: Vec<(u64, OrderReply)>,
    /// Orders that the coordinator no longer waits for, or a former run sent.
    pub late: Vec<Sent>,
    /// Orders of the former move.
    pub former: Arc<Vec<Sent>>,
    pub stores: [Shared<Store>; 2],
    /// The highest term and move number that each store has received.
    pub heard: [(u64, u64); 2],
    pub known_by_gateway: [Location; 2],
    pub ops: [Op; 3],
    pub stray_ops: Vec<(usize, Location)>,
    /// Every location that a gateway may have been told, or would be.
    pub known_locations: BTreeSet<Location>,
    pub last_write: Option<Location>,
    pub acked: BTreeSet<u64>,
    /// What the read has to return: what was acked before it was sent.
    pub due: BTreeSet<u64>,
    pub faults: Faults,
}

/// One of a step's outputs.
pub(crate) enum Act {
    Record(Record),
    Do(Output),
}

impl World {
    /// The range lies at shard 0 and moves to shard 1; both writes are on their way.
    pub(crate) fn new(planted_bug: PlantedBug, faults: Faults) -> World {
        let place = Location { shard: 0, epoch: 0 };
        let op = |gateway, stage| Op { gateway, stage };
        let mut world = World {
            planted_bug,
            core: Shared::new(Coordinator::default()),
            log: Shared::new(CoordinatorState::default()),
            unlogged: Vec::new(),
            hours: 0,
            wake: false,
            order: None,
            replies: Vec::new(),
            late: Vec::new(),
            former: Arc::default(),
            stores: [0, 1].map(|_| Shared::new(Store::default())),
            heard: Default::default(),
            known_by_gateway: [place; 2],
            ops: [op(0, Stage::Net(place)), op(1, Stage::Net(place)), op(0, Stage::Unsent)],
            stray_ops: Vec::new(),
            known_locations: BTreeSet::new(),
            last_write: None,
            acked: BTreeSet::new(),
            due: BTreeSet::new(),
            faults,
        };
        world.start();
        world.ask(ToList::Claim { token: 0, volume: VOLUME, extent: EXTENT, shard: 0 });
        world.ask(ToList::Move { token: 0, span: SPAN, shard: 1 });
        world
    }

    /// The range has moved to shard 1 and moves back; an order of the first move may still arrive.
    pub(crate) fn back(planted_bug: PlantedBug, faults: Faults) -> World {
        let mut world = World::new(planted_bug, faults);
        let ops = std::mem::replace(&mut world.ops, [Op { gateway: 0, stage: Stage::Done }; 3]);
        world.stores[0].change(|store| store.write(FORMER));
        let mut former = Vec::new();
        while let Some(event) = world.next_without_faults() {
            former.extend(world.order.clone());
            _ = world.step(&event);
        }
        former.dedup();
        (world.former, world.ops) = (Arc::new(former), ops);
        world.due.insert(FORMER);
        // One gateway knows of the first move, the other does not.
        world.known_by_gateway[0] = Location { shard: 1, epoch: 1 };
        world.ops[0].stage = Stage::Net(world.known_by_gateway[0]);
        world.ask(ToList::Move { token: 0, span: SPAN, shard: 0 });
        world
    }

    /// Leaves out the writes from this one on.
    pub(crate) fn with_writes(mut self, writes: usize) -> World {
        self.ops[writes..READ].iter_mut().for_each(|op| op.stage = Stage::Done);
        self
    }

    pub(crate) fn ask(&mut self, message: ToList) {
        self.coordinator_step(Input::Request { connection: OPERATOR, message }, None);
    }

    pub(crate) fn start(&mut self) {
        let state = CoordinatorState::decode(&self.log.encode()).expect("a state reads what it wrote");
        let (core, out) = Coordinator::start(state);
        self.core = Shared::new(core);
        self.perform(out, None);
        self.coordinator_step(Input::Shards([0, 1].into()), None);
    }

    pub(crate) fn crash(&mut self) {
        self.faults.coordinator = false;
        self.unlogged.clear();
        self.replies.clear();
        self.late.extend(self.order.take());
        for op in &mut self.ops {
            if let Stage::Asking { min_epoch } = op.stage {
                op.stage = Stage::Answered { stale: Some(min_epoch) };
            }
        }
        self.start();
    }

    /// Runs a step of the coordinator, up to a crash after so many outputs; how many there would have been.
    pub(crate) fn coordinator_step(&mut self, input: Input, crash: Option<usize>) -> usize {
        let records = std::mem::take(&mut self.unlogged);
        records.iter().for_each(|record| self.log.change(|log| log.apply(record)));
        let now = Duration::from_secs(3600) * self.hours;
        let out = self.core.change(|core| core.handle(now, vec![input]));
        self.perform(out, crash)
    }

    pub(crate) fn perform(&mut self, out: Vec<Output>, crash: Option<usize>) -> usize {
        let acts = |output| match output {
            Output::Log(records) => records.into_iter().map(Act::Record).collect(),
            output => vec![Act::Do(output)],
        };
        let acts: Vec<Act> = out.into_iter().flat_map(acts).collect();
        let count = acts.len();
        self.wake = false;
        acts.into_iter().take(crash.unwrap_or(count)).for_each(|act| self.act(act));
        self.known_locations.extend(self.core.state().map.location(VOLUME, EXTENT));
        if crash.is_some() {
            self.crash();
        }
        count
    }

    pub(crate) fn act(&mut self, act: Act) {
        match act {
            Act::Record(record) if self.planted_bug == PlantedBug::ActedBeforeLogged => {
                self.unlogged.push(record);
            }
            Act::Record(record) => self.log.change(|log| log.apply(&record)),
            Act::Do(Output::Order { token, shard, term, number, order }) => {
                let sent = Sent { token, shard, term, number, order };
                self.late.extend(self.order.replace(sent));
            }
            Act::Do(Output::Send { connection, message: FromList::Location { place: Some(place), .. } }) => {
                self.placed(connection, place);
            }
            Act::Do(Output::SetTimer(_)) => self.wake = true,
            Act::Do(_) => {}
        }
    }

    pub(crate) fn placed(&mut self, connection: ConnectionId, place: Location) {
        let Some(op) = self.ops.get_mut(connection.0 as usize) else { return };
        if let Stage::Asking { .. } = op.stage {
            op.stage = Stage::Net(place);
            let known = &mut self.known_by_gateway[op.gateway];
            *known = if known.epoch < place.epoch { place } else { *known };
        }
    }

    pub(crate) fn on_coordinator_event(&mut self, heard: CoordinatorEvent, crash: Option<usize>) -> usize {
        let input = match heard {
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
                self.late.extend(self.order.take());
                Input::OrderFinished { token: self.late.last().map_or(0, |sent| sent.token), reply: None }
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
            unreachable!("only what is stale is looked up");
        };
        self.ops[op].stage = Stage::Asking { min_epoch };
        let message = ToList::Lookup { token: op as u64, volume: VOLUME, extent: EXTENT, min_epoch };
        Input::Request { connection: ConnectionId(op as u64), message }
    }

    pub(crate) fn deliver(&mut self, sent: &Sent) -> Step<OrderReply> {
        let at = sent.shard as usize;
        let planted_bug = self.planted_bug;
        let store = &mut self.stores[at];
        let newest = if planted_bug == PlantedBug::TermNotChecked { store.fences.term } else { 0 };
        let before = store.clone();
        let reply =
            store.change(|store| store.order(newest.max(sent.term), sent.number, &sent.order, planted_bug));
        old_order_changes_nothing(sent, self.heard[at], &before, store)?;
        let (term, number) = &mut self.heard[at];
        *term = sent.term.max(*term);
        if !matches!(reply, OrderReply::StaleTerm(_) | OrderReply::WrongState) {
            *number = sent.number.max(*number);
        }
        Ok(reply)
    }

    /// The result of an op at its store; none where it has to wait.
    pub(crate) fn run(&mut self, op: usize, place: Location) -> Step<Option<Stage>> {
        let store = &mut self.stores[place.shard as usize];
        let check_epoch = match store.check_epoch(place.epoch) {
            _ if op == READ && self.planted_bug == PlantedBug::ReadsNotFenced => EpochCheck::Current,
            check_epoch => check_epoch,
        };
        match check_epoch {
            EpochCheck::NotActiveYet => return Ok(None),
            EpochCheck::Stale(epoch) => return Ok(Some(Stage::Answered { stale: Some(epoch) })),
            EpochCheck::Current => former_source_serves_nothing(place, self.last_write)?,
        }
        if op == READ {
            acked_writes_stay(&store.data, &self.due)?;
            return Ok(Some(Stage::Done));
        }
        store.change(|store| store.write(op as u64));
        writes_apply_once(&store.data)?;
        self.last_write = Some(place);
        Ok(Some(Stage::Answered { stale: None }))
    }

    pub(crate) fn run_op(&mut self, op: usize) -> Step<()> {
        if let Stage::Net(place) | Stage::Queued(place) = self.ops[op].stage {
            self.ops[op].stage = self.run(op, place)?.unwrap_or(Stage::Queued(place));
        }
        Ok(())
    }

    pub(crate) fn time_out(&mut self, op: usize) {
        self.faults.loss = false;
        let again = Stage::Net(self.known_by_gateway[self.ops[op].gateway]);
        if let Stage::Net(place) | Stage::Queued(place) = std::mem::replace(&mut self.ops[op].stage, again) {
            self.stray_ops.push((op, place));
        }
    }

    pub(crate) fn double(&mut self, op: usize) {
        self.faults.double = false;
        if let Stage::Net(place) = self.ops[op].stage {
            self.stray_ops.push((op, place));
        }
    }

    pub(crate) fn acked(&mut self, op: usize) {
        self.ops[op].stage = Stage::Done;
        self.acked.insert(op as u64);
    }

    pub(crate) fn read(&mut self, gateway: usize) {
        self.ops[READ] = Op { gateway, stage: Stage::Net(self.known_by_gateway[gateway]) };
        self.due.extend(&self.acked);
    }

    pub(crate) fn store_crash(&mut self, shard: u32) {
        self.faults.store = false;
        for op in &mut self.ops {
            if matches!(op.stage, Stage::Queued(place) if place.shard == shard) {
                op.stage = Stage::Net(self.known_by_gateway[op.gateway]);
            }
        }
    }

    /// Applies an event; how many outputs the coordinator had.
    pub(crate) fn step(&mut self, event: &Event) -> Step<usize> {
        let mut outputs = 0;
        match event {
            Event::Coordinator(heard, crash) => outputs = self.on_coordinator_event(*heard, *crash),
            Event::CoordinatorCrash => self.crash(),
            Event::Order { doubled } => {
                let sent = self.order.take().expect("an order is on its way");
                let reply = self.deliver(&sent)?;
                self.replies.push((sent.token, reply));
                if *doubled {
                    self.faults.double = false;
                    self.late.push(sent);
                }
            }
            Event::Late(at) => {
                let sent = self.late.remove(*at);
                self.deliver(&sent)?;
            }
            Event::Former(at) => {
                self.faults.double = false;
                let former = self.former.clone();
                self.deliver(&former[*at])?;
            }
            Event::Run { op, doubled } => {
                if *doubled {
                    self.double(*op);
                }
                self.run_op(*op)?;
            }
            Event::Stray(at) => {
                let (op, place) = self.stray_ops.remove(*at);
                self.run(op, place)?;
            }
            Event::Acked(op) => self.acked(*op),
            Event::TimedOut(op) => self.time_out(*op),
            Event::Read { gateway } => self.read(*gateway),
            Event::StoreCrash(shard) => self.store_crash(*shard),
        }
        at_most_one_serves(self)?;
        Ok(outputs)
    }
}
