//! The coordinator's core: questions of gateways, moves under way, one order a move out at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use umbertray_store_protocol::list::{FromList, Location, ToList};
use umbertray_store_protocol::orders::{ExtentRange, Order, OrderReply};

use crate::moves::Phase;
use crate::state::{CoordinatorState, MoveRejected, Record};

/// Whoever has asked: a connection, never used twice in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

#[derive(Clone, Debug)]
pub enum Input {
    Request {
        link: ConnectionId,
        message: ToList,
    },
    Closed(ConnectionId),
    /// The shards that a store serves, be it draining.
    Shards(BTreeSet<u32>),
    /// A store's answer to an order; nothing where none could be had: not reached, lost, or too late.
    OrderFinished {
        token: u64,
        reply: Option<OrderReply>,
    },
    TimerExpired,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Danger: to be safe on the disk before anything that follows is done.
    Log(Vec<Record>),
    Send {
        link: ConnectionId,
        message: FromList,
    },
    Order {
        token: u64,
        shard: u32,
        term: u64,
        number: u64,
        order: Order,
    },
    SetTimer(Duration),
    /// A later run of the coordinator is at work: this one has nothing to say any more.
    Superseded {
        term: u64,
    },
}

/// An order without an answer is given again after so long.
const AGAIN: Duration = Duration::from_millis(250);
/// Moves that are not over, and lookups that wait for a newer map, at most.
const MOST_MOVES: usize = 4096;
const MOST_PARKED: usize = 1 << 16;

#[derive(Clone, Hash)]
struct Parked {
    link: ConnectionId,
    token: u64,
    volume: u64,
    extent: u64,
    least: u64,
}

/// What a move waits for.
#[derive(Clone, Hash)]
enum Wait {
    Answer { token: u64 },
    Again { at: Duration },
}

#[derive(Clone, Default, Hash)]
pub struct Coordinator {
    state: CoordinatorState,
    now: Duration,
    parked: Vec<Parked>,
    shards: BTreeSet<u32>,
    /// Moves that take part, by number; the others wait for their shards to be free.
    running: BTreeMap<u64, Wait>,
    next_token: u64,
    records: Vec<Record>,
    said: Vec<Output>,
    over: bool,
}

impl Coordinator {
    /// A new run on what the former runs left; its term is logged before it says a word.
    pub fn start(state: CoordinatorState) -> (Coordinator, Vec<Output>) {
        let mut core = Coordinator { state, ..Coordinator::default() };
        core.log(Record::Term(core.state.term + 1));
        let out = core.flush();
        (core, out)
    }

    pub fn state(&self) -> &CoordinatorState {
        &self.state
    }

    pub fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        if self.over {
            return Vec::new();
        }
        inputs.into_iter().for_each(|input| self.take(input));
        self.run();
        // The map changes by what is logged, and by nothing else.
        if !self.records.is_empty() {
            self.unpark();
        }
        self.flush()
    }

    fn flush(&mut self) -> Vec<Output> {
        let mut out = Vec::new();
        if !self.records.is_empty() {
            out.push(Output::Log(std::mem::take(&mut self.records)));
        }
        out.append(&mut self.said);
        let waits = self.running.values().filter_map(|wait| match wait {
            Wait::Again { at } => Some(*at),
            Wait::Answer { .. } => None,
        });
        out.extend(waits.min().map(Output::SetTimer));
        out
    }

    fn log(&mut self, record: Record) {
        self.state.apply(&record);
        self.records.push(record);
    }

    fn say(&mut self, link: ConnectionId, message: FromList) {
        self.said.push(Output::Send { link, message });
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request { link, message } => self.asked(link, message),
            Input::Closed(link) => self.parked.retain(|parked| parked.link != link),
            Input::Shards(shards) => self.shards = shards,
            Input::OrderFinished { token, reply } => self.ordered(token, reply),
            Input::TimerExpired => {}
        }
    }

    fn asked(&mut self, link: ConnectionId, message: ToList) {
        let answer = match message {
            ToList::Hello { .. } => FromList::Welcome { term: self.state.term },
            // The list of stores is another service.
            ToList::Watch | ToList::Fetch => FromList::Failed,
            ToList::Lookup { token, volume, extent, min_epoch: least } => {
                let place = self.state.map.location(volume, extent);
                if place.map_or(0, |place| place.epoch) < least {
                    return self.park(Parked { link, token, volume, extent, least });
                }
                FromList::Location { token, place }
            }
            ToList::Claim { token, volume, extent, shard } => {
                let (place, record) = self.state.claim(volume, extent, shard);
                record.into_iter().for_each(|record| self.log(record));
                FromList::Location { token, place: Some(place) }
            }
            ToList::Shards { token, volume } => {
                FromList::Shards { token, shards: self.state.map.shards(volume).into_iter().collect() }
            }
            ToList::Move { token, span, shard } => {
                let number = self.planned(span, shard).map_err(|refused| refused.to_string());
                FromList::Move { token, number }
            }
            ToList::MoveStatus { token, number, abandon: give_up } => {
                if give_up {
                    self.give_up(number);
                }
                let (state, over) = self.how_far(number);
                FromList::MoveStatus { token, state, over }
            }
        };
        self.say(link, answer);
    }

    /// Answered once the map is as new as a store has said; whoever has parked too much asks again later.
    fn park(&mut self, parked: Parked) {
        if self.parked.len() < MOST_PARKED {
            return self.parked.push(parked);
        }
        self.say(parked.link, FromList::Failed);
    }

    fn unpark(&mut self) {
        let map = &self.state.map;
        let known =
            |parked: &Parked| map.location(parked.volume, parked.extent).filter(|p| p.epoch >= parked.least);
        let mut ready: Vec<(ConnectionId, u64, Location)> = Vec::new();
        self.parked.retain(|parked| match known(parked) {
            Some(place) => {
                ready.push((parked.link, parked.token, place));
                false
            }
            None => true,
        });
        for (link, token, place) in ready {
            self.say(link, FromList::Location { token, place: Some(place) });
        }
    }

    fn planned(&mut self, span: ExtentRange, target: u32) -> Result<u64, MoveRejected> {
        let planned = self.state.plan(span, target)?;
        if let Some(shard) = [planned.source, target].into_iter().find(|shard| !self.shards.contains(shard)) {
            return Err(MoveRejected::NoStore(shard));
        }
        if self.state.moves.len() >= MOST_MOVES {
            return Err(MoveRejected::TooManyMoves(self.state.moves.len()));
        }
        let number = self.state.planned + 1;
        self.log(Record::Planned { number, planned });
        Ok(number)
    }

    fn give_up(&mut self, number: u64) {
        let phase = self.state.moves.get(&number).and_then(|moving| moving.given_up());
        if let Some(phase) = phase {
            self.enter(number, phase);
        }
    }

    fn how_far(&self, number: u64) -> (String, bool) {
        if let Some(moving) = self.state.moves.get(&number) {
            let waits = if self.running.contains_key(&number) { "" } else { "waiting for its shards; " };
            return (format!("{waits}{}", moving.state()), false);
        }
        let state = match self.state.ended.get(&number) {
            Some(Phase::Committed) => "moved, the source is cleared",
            Some(_) => "given up, the source serves",
            None => "no such move",
        };
        (state.into(), true)
    }

    // Moves.

    /// A phase is logged and then acted on; an answer to what was asked before it is not heard any more.
    fn enter(&mut self, number: u64, phase: Phase) {
        self.log(Record::Entered { number, phase });
        self.running.remove(&number);
    }

    fn ordered(&mut self, token: u64, reply: Option<OrderReply>) {
        let asked = |wait: &Wait| matches!(wait, Wait::Answer { token: asked } if *asked == token);
        let Some(number) = self.running.iter().find(|(_, wait)| asked(wait)).map(|(number, _)| *number)
        else {
            return;
        };
        match reply {
            Some(OrderReply::StaleTerm(term)) if term > self.state.term => {
                self.over = true;
                self.said.push(Output::Superseded { term });
            }
            // Danger: taken for done, an order that never came would open a target whose source still serves.
            None | Some(OrderReply::StaleTerm(_)) => {
                self.running.insert(number, Wait::Again { at: self.now + AGAIN });
            }
            Some(reply) => {
                let unfit = reply == OrderReply::WrongState;
                let Some(moving) = self.state.moves.get_mut(&number) else { return };
                match moving.heard(reply) {
                    Some(phase) => self.enter(number, phase),
                    None if unfit => _ = self.running.insert(number, Wait::Again { at: self.now + AGAIN }),
                    None => self.order(number),
                }
            }
        }
    }

    /// Begins what can begin: a shard takes part in one move at a time.
    fn run(&mut self) {
        let again = |wait: &Wait| matches!(wait, Wait::Again { at } if *at <= self.now);
        let due: Vec<u64> =
            self.running.iter().filter(|(_, wait)| again(wait)).map(|(number, _)| *number).collect();
        due.into_iter().for_each(|number| self.order(number));
        let moves = &self.state.moves;
        let ends = |number: &u64| moves.get(number).map(|moving| [moving.source, moving.target]);
        let mut busy: BTreeSet<u32> = self.running.keys().filter_map(ends).flatten().collect();
        let mut begin = Vec::new();
        for (number, moving) in moves.iter().filter(|(number, _)| !self.running.contains_key(number)) {
            let ends = [moving.source, moving.target];
            if ends.iter().all(|shard| !busy.contains(shard)) {
                busy.extend(ends);
                begin.push(*number);
            }
        }
        begin.into_iter().for_each(|number| self.order(number));
    }

    fn order(&mut self, number: u64) {
        let Some((shard, order)) = self.state.moves.get(&number).and_then(|moving| moving.order()) else {
            return;
        };
        self.next_token += 1;
        let (token, term) = (self.next_token, self.state.term);
        self.running.insert(number, Wait::Answer { token });
        self.said.push(Output::Order { token, shard, term, number, order });
    }
}
