//! A coordinator, two stores, two gateways and a net, and every event that can come next.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use umbertray_control_plane::fence::EpochCheck;
use umbertray_control_plane::{ConnectionId, Coordinator, CoordinatorState, Input, Output, Record};
use umbertray_store_protocol::list::{FromList, Location, ToList};
use umbertray_store_protocol::orders::{Order, OrderReply};

use crate::properties::{
    Step, acked_stays, old_home_is_silent, old_order_changes_nothing, one_serves, takes_effect_once,
};
use crate::search::Shared;
use crate::store::Store;
use crate::{EXTENT, FORMER, OPERATOR, Plant, READ, SPAN, VOLUME};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sent {
    pub token: u64,
    pub shard: u32,
    pub term: u64,
    pub number: u64,
    pub order: Order,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    Unsent,
    Net(Location),
    Queued(Location),
    /// An answer on its way: none is that the op has run.
    Answered {
        stale: Option<u64>,
    },
    Asking {
        least: u64,
    },
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Op {
    pub gateway: usize,
    pub stage: Stage,
}

/// The faults that may still come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    pub loss: bool,
    pub double: bool,
    pub keeper: bool,
    pub store: bool,
    pub give_up: bool,
}

#[derive(Clone, Debug)]
pub enum Event {
    Keeper(Heard, Option<usize>),
    KeeperCrash,
    Order { doubled: bool },
    Late(usize),
    Former(usize),
    Run { op: usize, doubled: bool },
    Stray(usize),
    Acked(usize),
    TimedOut(usize),
    Read { gateway: usize },
    StoreCrash(u32),
}

/// What the coordinator hears; at most this many of its outputs come about before it crashes, if it does.
#[derive(Clone, Copy, Debug)]
pub enum Heard {
    Reply(usize),
    ReplyLost(usize),
    OrderLost,
    Woken,
    GiveUp,
    Lookup(usize),
}

#[derive(Clone, Hash)]
pub struct World {
    pub plant: Plant,
    pub core: Shared<Coordinator>,
    /// What its log makes of a new run.
    pub log: Shared<CoordinatorState>,
    /// Empty unless planted: acted on, and not yet logged.
    pub unlogged: Vec<Record>,
    pub hours: u32,
    pub wake: bool,
    pub order: Option<Sent>,
    pub replies: Vec<(u64, OrderReply)>,
    /// Orders that the coordinator has given up on, or a former run gave.
    pub late: Vec<Sent>,
    /// Orders of the move before.
    pub former: Arc<Vec<Sent>>,
    pub stores: [Shared<Store>; 2],
    /// The highest term and number that each has heard of.
    pub heard: [(u64, u64); 2],
    pub places: [Location; 2],
    pub ops: [Op; 3],
    pub strays: Vec<(usize, Location)>,
    /// Every place that a gateway may have heard of, or would.
    pub told: BTreeSet<Location>,
    pub last_write: Option<Location>,
    pub acked: BTreeSet<u64>,
    /// What the read has to return: what was acked before it was sent.
    pub due: BTreeSet<u64>,
    pub faults: Faults,
}

/// One of a step's outputs.
pub enum Act {
    Record(Record),
    Do(Output),
}

impl World {
    /// The range lies at shard 0 and is to move to shard 1; both writes are on their way.
    pub fn new(plant: Plant, faults: Faults) -> World {
        let place = Location { shard: 0, epoch: 0 };
        let op = |gateway, stage| Op { gateway, stage };
        let mut world = World {
            plant,
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
            places: [place; 2],
            ops: [op(0, Stage::Net(place)), op(1, Stage::Net(place)), op(0, Stage::Unsent)],
            strays: Vec::new(),
            told: BTreeSet::new(),
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

    /// The range has moved to shard 1 and is to move back; an order of the first move may still come.
    pub fn back(plant: Plant, faults: Faults) -> World {
        let mut world = World::new(plant, faults);
        let ops = std::mem::replace(&mut world.ops, [Op { gateway: 0, stage: Stage::Done }; 3]);
        world.stores[0].change(|store| store.write(FORMER));
        let mut former = Vec::new();
        while let Some(event) = world.fair() {
            former.extend(world.order.clone());
            _ = world.step(&event);
        }
        former.dedup();
        (world.former, world.ops) = (Arc::new(former), ops);
        world.due.insert(FORMER);
        // One gateway knows of the first move, the other does not.
        world.places[0] = Location { shard: 1, epoch: 1 };
        world.ops[0].stage = Stage::Net(world.places[0]);
        world.ask(ToList::Move { token: 0, span: SPAN, shard: 0 });
        world
    }

    /// The writes from this one on are none.
    pub fn with_writes(mut self, writes: usize) -> World {
        self.ops[writes..READ].iter_mut().for_each(|op| op.stage = Stage::Done);
        self
    }

    pub fn ask(&mut self, message: ToList) {
        self.keeper(Input::Request { link: OPERATOR, message }, None);
    }

    pub fn start(&mut self) {
        let state = CoordinatorState::read(&self.log.bytes()).expect("a state reads what it wrote");
        let (core, out) = Coordinator::start(state);
        self.core = Shared::new(core);
        self.perform(out, None);
        self.keeper(Input::Shards([0, 1].into()), None);
    }

    pub fn crash(&mut self) {
        self.faults.keeper = false;
        self.unlogged.clear();
        self.replies.clear();
        self.late.extend(self.order.take());
        for op in &mut self.ops {
            if let Stage::Asking { least } = op.stage {
                op.stage = Stage::Answered { stale: Some(least) };
            }
        }
        self.start();
    }

    /// The coordinator's step, up to a crash after so many outputs; how many there were to be.
    pub fn keeper(&mut self, input: Input, crash: Option<usize>) -> usize {
        let records = std::mem::take(&mut self.unlogged);
        records.iter().for_each(|record| self.log.change(|log| log.apply(record)));
        let now = Duration::from_secs(3600) * self.hours;
        let out = self.core.change(|core| core.handle(now, vec![input]));
        self.perform(out, crash)
    }

    pub fn perform(&mut self, out: Vec<Output>, crash: Option<usize>) -> usize {
        let acts = |output| match output {
            Output::Log(records) => records.into_iter().map(Act::Record).collect(),
            output => vec![Act::Do(output)],
        };
        let acts: Vec<Act> = out.into_iter().flat_map(acts).collect();
        let count = acts.len();
        self.wake = false;
        acts.into_iter().take(crash.unwrap_or(count)).for_each(|act| self.act(act));
        self.told.extend(self.core.state().map.location(VOLUME, EXTENT));
        if crash.is_some() {
            self.crash();
        }
        count
    }

    pub fn act(&mut self, act: Act) {
        match act {
            Act::Record(record) if self.plant == Plant::ActedBeforeLogged => self.unlogged.push(record),
            Act::Record(record) => self.log.change(|log| log.apply(&record)),
            Act::Do(Output::Order { token, shard, term, number, order }) => {
                let sent = Sent { token, shard, term, number, order };
                self.late.extend(self.order.replace(sent));
            }
            Act::Do(Output::Send { link, message: FromList::Location { place: Some(place), .. } }) => {
                self.placed(link, place);
            }
            Act::Do(Output::SetTimer(_)) => self.wake = true,
            Act::Do(_) => {}
        }
    }

    pub fn placed(&mut self, link: ConnectionId, place: Location) {
        let Some(op) = self.ops.get_mut(link.0 as usize) else { return };
        if let Stage::Asking { .. } = op.stage {
            op.stage = Stage::Net(place);
            let known = &mut self.places[op.gateway];
            *known = if known.epoch < place.epoch { place } else { *known };
        }
    }

    pub fn hear(&mut self, heard: Heard, crash: Option<usize>) -> usize {
        let input = match heard {
            Heard::Reply(at) => {
                let (token, reply) = self.replies.remove(at);
                Input::OrderFinished { token, reply: Some(reply) }
            }
            Heard::ReplyLost(at) => {
                self.faults.loss = false;
                Input::OrderFinished { token: self.replies.remove(at).0, reply: None }
            }
            Heard::OrderLost => {
                self.faults.loss = false;
                self.late.extend(self.order.take());
                Input::OrderFinished { token: self.late.last().map_or(0, |sent| sent.token), reply: None }
            }
            Heard::Woken => {
                self.hours += 1;
                Input::TimerExpired
            }
            Heard::GiveUp => {
                self.faults.give_up = false;
                let number = self.core.state().planned;
                let message = ToList::MoveStatus { token: 0, number, abandon: true };
                Input::Request { link: OPERATOR, message }
            }
            Heard::Lookup(op) => self.lookup(op),
        };
        self.keeper(input, crash)
    }

    pub fn lookup(&mut self, op: usize) -> Input {
        let Stage::Answered { stale: Some(least) } = self.ops[op].stage else {
            unreachable!("only what is stale is looked up");
        };
        self.ops[op].stage = Stage::Asking { least };
        let message = ToList::Lookup { token: op as u64, volume: VOLUME, extent: EXTENT, min_epoch: least };
        Input::Request { link: ConnectionId(op as u64), message }
    }

    pub fn deliver(&mut self, sent: &Sent) -> Step<OrderReply> {
        let at = sent.shard as usize;
        let (store, plant) = (&mut self.stores[at], self.plant);
        let newest = if plant == Plant::TermNotChecked { store.fences.term } else { 0 };
        let before = store.clone();
        let reply = store.change(|store| store.order(newest.max(sent.term), sent.number, &sent.order, plant));
        old_order_changes_nothing(sent, self.heard[at], &before, store)?;
        let (term, number) = &mut self.heard[at];
        *term = sent.term.max(*term);
        if !matches!(reply, OrderReply::StaleTerm(_) | OrderReply::WrongState) {
            *number = sent.number.max(*number);
        }
        Ok(reply)
    }

    /// What the store makes of an op; nothing where it has to wait.
    pub fn run(&mut self, op: usize, place: Location) -> Step<Option<Stage>> {
        let store = &mut self.stores[place.shard as usize];
        let look = match store.look(place.epoch) {
            _ if op == READ && self.plant == Plant::ReadsNotFenced => EpochCheck::Current,
            look => look,
        };
        match look {
            EpochCheck::NotActiveYet => return Ok(None),
            EpochCheck::Stale(epoch) => return Ok(Some(Stage::Answered { stale: Some(epoch) })),
            EpochCheck::Current => old_home_is_silent(place, self.last_write)?,
        }
        if op == READ {
            acked_stays(&store.data, &self.due)?;
            return Ok(Some(Stage::Done));
        }
        store.change(|store| store.write(op as u64));
        takes_effect_once(&store.data)?;
        self.last_write = Some(place);
        Ok(Some(Stage::Answered { stale: None }))
    }

    pub fn run_op(&mut self, op: usize) -> Step<()> {
        if let Stage::Net(place) | Stage::Queued(place) = self.ops[op].stage {
            self.ops[op].stage = self.run(op, place)?.unwrap_or(Stage::Queued(place));
        }
        Ok(())
    }

    pub fn time_out(&mut self, op: usize) {
        self.faults.loss = false;
        let again = Stage::Net(self.places[self.ops[op].gateway]);
        if let Stage::Net(place) | Stage::Queued(place) = std::mem::replace(&mut self.ops[op].stage, again) {
            self.strays.push((op, place));
        }
    }

    pub fn double(&mut self, op: usize) {
        self.faults.double = false;
        if let Stage::Net(place) = self.ops[op].stage {
            self.strays.push((op, place));
        }
    }

    pub fn acked(&mut self, op: usize) {
        self.ops[op].stage = Stage::Done;
        self.acked.insert(op as u64);
    }

    pub fn read(&mut self, gateway: usize) {
        self.ops[READ] = Op { gateway, stage: Stage::Net(self.places[gateway]) };
        self.due.extend(&self.acked);
    }

    pub fn store_crash(&mut self, shard: u32) {
        self.faults.store = false;
        for op in &mut self.ops {
            if matches!(op.stage, Stage::Queued(place) if place.shard == shard) {
                op.stage = Stage::Net(self.places[op.gateway]);
            }
        }
    }

    /// The world after an event, and how many outputs the coordinator had.
    pub fn step(&mut self, event: &Event) -> Step<usize> {
        let mut outputs = 0;
        match event {
            Event::Keeper(heard, crash) => outputs = self.hear(*heard, *crash),
            Event::KeeperCrash => self.crash(),
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
                let (op, place) = self.strays.remove(*at);
                self.run(op, place)?;
            }
            Event::Acked(op) => self.acked(*op),
            Event::TimedOut(op) => self.time_out(*op),
            Event::Read { gateway } => self.read(*gateway),
            Event::StoreCrash(shard) => self.store_crash(*shard),
        }
        one_serves(self)?;
        Ok(outputs)
    }

    /// What can come next, but for crashes within the coordinator's step.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        self.keeper_events(&mut events);
        self.op_events(&mut events);
        events.extend((0..self.late.len()).map(Event::Late));
        if self.faults.double {
            events.extend((0..self.former.len()).map(Event::Former));
        }
        if self.faults.store {
            let queued =
                |shard| move |op: &Op| matches!(op.stage, Stage::Queued(place) if place.shard == shard);
            events.extend((0..2).filter(|shard| self.ops.iter().any(queued(*shard))).map(Event::StoreCrash));
        }
        events
    }

    pub fn keeper_events(&self, events: &mut Vec<Event>) {
        let hears = |heard| Event::Keeper(heard, None);
        events.extend((0..self.replies.len()).map(Heard::Reply).map(hears));
        events.extend(self.wake.then_some(hears(Heard::Woken)));
        if self.order.is_some() {
            events.push(Event::Order { doubled: false });
            events.extend(self.faults.double.then_some(Event::Order { doubled: true }));
            events.extend(self.faults.loss.then_some(hears(Heard::OrderLost)));
        }
        if self.faults.loss {
            events.extend((0..self.replies.len()).map(Heard::ReplyLost).map(hears));
        }
        let moving = |number| self.core.state().moves.get(number);
        let can_give_up =
            moving(&self.core.state().planned).is_some_and(|moving| moving.given_up().is_some());
        events.extend((self.faults.give_up && can_give_up).then_some(hears(Heard::GiveUp)));
        events.extend(self.faults.keeper.then_some(Event::KeeperCrash));
    }

    pub fn op_events(&self, events: &mut Vec<Event>) {
        let early =
            |place: Location| self.stores[place.shard as usize].look(place.epoch) == EpochCheck::NotActiveYet;
        for (op, Op { stage, .. }) in self.ops.iter().enumerate() {
            match *stage {
                Stage::Net(_) => {
                    events.push(Event::Run { op, doubled: false });
                    events
                        .extend((self.faults.double && op == 0).then_some(Event::Run { op, doubled: true }));
                }
                Stage::Queued(place) if !early(place) => events.push(Event::Run { op, doubled: false }),
                Stage::Answered { stale: Some(_) } => events.push(Event::Keeper(Heard::Lookup(op), None)),
                Stage::Answered { stale: None } => events.push(Event::Acked(op)),
                Stage::Unsent if !self.acked.is_empty() => {
                    events.extend([0, 1].map(|gateway| Event::Read { gateway }));
                }
                _ => {}
            }
        }
        // An op that is late is one that is doubled; its repeat is one that comes first.
        let waits = matches!(self.ops[0].stage, Stage::Queued(_) | Stage::Answered { stale: None });
        events.extend((self.faults.loss && waits).then_some(Event::TimedOut(0)));
        let waits = |at: &usize| early(self.strays[*at].1);
        events.extend((0..self.strays.len()).filter(|at| !waits(at)).map(Event::Stray));
    }

    /// The next event if all messages arrive and nothing crashes any more.
    pub fn fair(&self) -> Option<Event> {
        if self.order.is_some() {
            return Some(Event::Order { doubled: false });
        }
        let fair = |event: &Event| {
            let heard = |heard: &Heard| matches!(heard, Heard::Reply(_) | Heard::Woken | Heard::Lookup(_));
            match event {
                Event::Keeper(what, _) => heard(what),
                Event::Run { doubled, .. } => !doubled,
                Event::Acked(_) | Event::Read { .. } => true,
                _ => false,
            }
        };
        self.events().into_iter().find(fair)
    }
}
