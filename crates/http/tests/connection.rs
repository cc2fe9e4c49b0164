//! Every order of events around the end of a client's connection, at small size: the product's states between a client,
//! a net, a hub and a process of the test. What comes is bounded, so the space is finite and searched whole.
//!
//! The client may send whole requests and halves at any moment, one behind the other, end or reset its connection, and
//! read late. Room may be wanted, the gateway close and the process end at any moment, and any time be over.

use std::collections::{HashSet, VecDeque};

use umbertray_http::connection::{
    CloseDemand, ConnectionState, Event, NextStep, Obligation, Response, State,
};

/// Bugs of the test's own making, each of which the search has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Plant {
    None,
    ClosedWhileBusy,
    HandedOnAfterTheShutdown,
    EndedOverParting,
    LeftNotTold,
    ClosedWithoutParting,
    HalfClosedWithoutAWord,
    ReadAheadForgotten,
    RoomKeptThoughAsked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Property {
    /// A whole request that was read before the shutdown has a whole answer, unless its client has gone.
    NoneLost,
    /// Nothing read after the shutdown is handed on.
    NothingAfterTheShutdown,
    /// Of an op whose client has gone the hub is told, once and at once.
    LeftIsTold,
    /// No answer is taken away by a close over unread bytes, unless its time is over or room is wanted.
    NoAnswerReset,
    /// Who sent half a request is answered before the connection ends.
    HalfIsAnswered,
    /// The process ends before its deadline only when nothing is owed.
    EndsOwingNothing,
    /// Once the process ends, a silent client does not keep a connection.
    ComesToAnEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Sent {
    Whole,
    Half,
    Rest,
    Fin,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Send(Sent),
    /// The client resets; unread bytes are gone.
    Reset,
    /// The client reads what was written.
    Taken,
    Phase(CloseDemand),
    RoomWanted,
    /// The gateway reads what is first.
    Read,
    /// What is done now ends so.
    Tell(Event),
    Close,
    /// Nothing is owed, as far as the gateway knows.
    ProcessEnds,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    plant: Plant,
    /// The client's requests persist, and are ops.
    persists: bool,
    op: bool,
    serving: ConnectionState,
    todo: NextStep,
    requests: u8,
    half_out: bool,
    /// Sent, and not read by the gateway.
    unread: VecDeque<Sent>,
    gone: bool,
    reset: bool,
    /// Read by the gateway, and not taken: whole requests, and a half.
    ahead: u8,
    half: bool,
    /// Of the half that was read, an error or a word that the connection ends was written.
    told: bool,
    /// Whole requests read before the shutdown and not answered.
    obligation: u8,
    handed_on: bool,
    op_open: bool,
    /// An answer was written that the client has not read.
    untaken: bool,
    /// It took no answer in its time.
    takes_nothing: bool,
    /// Its time to read its last answer is over, or was cut for room.
    had_time: bool,
    shut: bool,
    closed: bool,
    phase: CloseDemand,
    room: bool,
    /// Since the last request.
    room_asked: bool,
}

type Kept = Result<(), Property>;

impl World {
    fn new(plant: Plant, rejecting: bool, persists: bool, op: bool) -> World {
        World {
            plant,
            persists,
            op,
            serving: ConnectionState::new(rejecting),
            todo: NextStep::Read,
            requests: 2,
            half_out: false,
            unread: VecDeque::new(),
            gone: false,
            reset: false,
            ahead: 0,
            half: false,
            told: false,
            obligation: 0,
            handed_on: false,
            op_open: false,
            untaken: false,
            takes_nothing: false,
            had_time: false,
            shut: false,
            closed: false,
            phase: CloseDemand::None,
            room: false,
            room_asked: false,
        }
    }

    fn demand(&self) -> CloseDemand {
        if self.room { CloseDemand::ForCapacity } else { self.phase }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.closed {
            return steps;
        }
        self.client_steps(&mut steps);
        if !self.room && self.serving.obligation() != Obligation::Response {
            steps.push(Step::RoomWanted);
        }
        steps.extend(match self.phase {
            CloseDemand::None => Some(Step::Phase(CloseDemand::Graceful)),
            CloseDemand::Graceful => Some(Step::Phase(CloseDemand::Immediate)),
            _ => None,
        });
        // The process waits for connections to end; planted, only for answers.
        if self.plant == Plant::EndedOverParting
            && self.phase == CloseDemand::Immediate
            && self.serving.obligation() == Obligation::LingeringClose
        {
            steps.push(Step::ProcessEnds);
        }
        self.gateway_steps(&mut steps);
        steps
    }

    fn client_steps(&self, steps: &mut Vec<Step>) {
        if self.gone {
            return;
        }
        if self.half_out {
            steps.push(Step::Send(Sent::Rest));
        } else if self.requests > 0 {
            steps.extend([Sent::Whole, Sent::Half].map(Step::Send));
        }
        steps.extend([Step::Send(Sent::Fin), Step::Reset]);
        steps.extend(self.untaken.then_some(Step::Taken));
    }

    fn can_read(&self) -> bool {
        self.reset || !self.unread.is_empty()
    }

    fn gateway_steps(&self, steps: &mut Vec<Step>) {
        let told = (self.demand() > self.serving.demand()).then_some(Step::Tell(Event::DemandChanged));
        let found = match (self.ahead, self.half, self.serving.state()) {
            (1.., _, _) => Some(Event::RequestRead { op: self.op, persists: self.persists }),
            (0, true, State::AwaitingFirstRequest | State::Idle) => Some(Event::PartialRead),
            _ => None,
        };
        match self.todo {
            // What was read ahead is looked at first.
            NextStep::Read if found.is_some() => steps.extend(found.map(Step::Tell)),
            NextStep::Read if self.can_read() => {
                steps.push(Step::Read);
                steps.extend(told);
            }
            NextStep::Read => {
                steps.push(Step::Tell(Event::TimedOut));
                steps.extend(told);
            }
            NextStep::ReadAvailable if self.can_read() => steps.push(Step::Read),
            NextStep::ReadAvailable => steps.push(Step::Tell(Event::NothingRead)),
            NextStep::AwaitResponse => {
                let more = self.ahead > 0;
                steps.extend([Event::ResponseReady { more }, Event::RequestRefused].map(Step::Tell));
                steps.extend(self.can_read().then_some(Step::Read));
                if self.plant == Plant::ClosedWhileBusy {
                    steps.extend(told);
                }
            }
            NextStep::Write { .. } => {
                steps.extend((!self.reset).then_some(Step::Tell(Event::Written)));
                steps.push(Step::Tell(Event::WriteFailed));
            }
            NextStep::LingeringClose if self.can_read() => {
                steps.extend([Step::Read, Step::Tell(Event::TimedOut)]);
            }
            NextStep::LingeringClose => {
                steps.push(Step::Tell(Event::TimedOut));
                steps.extend(
                    (self.demand() == CloseDemand::ForCapacity).then_some(Step::Tell(Event::DemandChanged)),
                );
                steps.extend(told);
            }
            NextStep::CancelRequest | NextStep::Close => steps.push(Step::Close),
        }
    }

    fn step(&mut self, step: Step) -> Kept {
        match step {
            Step::Send(sent) => {
                self.requests -= u8::from(matches!(sent, Sent::Whole | Sent::Half));
                self.half_out = sent == Sent::Half;
                self.gone |= sent == Sent::Fin;
                self.unread.push_back(sent);
            }
            Step::Reset => {
                (self.gone, self.reset) = (true, true);
                self.unread.clear();
            }
            Step::Taken => self.untaken = false,
            Step::Phase(wanted) => self.phase = wanted,
            Step::RoomWanted => (self.room, self.room_asked) = (true, true),
            Step::Read => return self.read(),
            Step::Tell(event) => return self.tell(event),
            Step::Close => return self.close(),
            Step::ProcessEnds => {
                let owes = !self.gone && (self.untaken || self.obligation > 0);
                self.closed = true;
                return if owes { Err(Property::EndsOwingNothing) } else { Ok(()) };
            }
        }
        Ok(())
    }

    fn read(&mut self) -> Kept {
        let sent = if self.reset { Sent::Fin } else { self.unread.pop_front().expect("it can read") };
        if self.shut && sent != Sent::Fin {
            if self.plant == Plant::HandedOnAfterTheShutdown && sent != Sent::Half {
                self.todo = NextStep::AwaitResponse;
                return self.hand_on();
            }
            return Ok(());
        }
        match sent {
            Sent::Fin => return self.tell(Event::PeerClosed),
            Sent::Half => (self.half, self.told) = (true, false),
            Sent::Whole | Sent::Rest => {
                self.half &= sent != Sent::Rest;
                self.ahead += 1;
                self.obligation += 1;
            }
        }
        match (self.todo, self.ahead) {
            (NextStep::AwaitResponse, _) => Ok(()),
            (_, 0) => self.tell(Event::PartialRead),
            _ => self.tell(Event::RequestRead { op: self.op, persists: self.persists }),
        }
    }

    fn hand_on(&mut self) -> Kept {
        if self.shut {
            return Err(Property::NothingAfterTheShutdown);
        }
        (self.handed_on, self.op_open) = (true, self.op);
        Ok(())
    }

    fn tell(&mut self, event: Event) -> Kept {
        let (was, state) = (self.todo, self.serving.state());
        self.serving.raise_demand(self.demand());
        if matches!(event, Event::RequestRead { .. }) {
            self.ahead -= 1;
        }
        if let (NextStep::Write { response, last }, Event::Written) = (was, event) {
            self.written(response, last);
        }
        self.takes_nothing |= event == Event::WriteFailed;
        self.had_time |= state == State::LingeringClose && (event == Event::TimedOut || self.room_asked);
        if matches!(event, Event::ResponseReady { .. } | Event::RequestRefused) {
            self.op_open = false;
        }
        self.room_asked &= !matches!(event, Event::RequestRead { .. });
        let was_open = self.op_open;
        self.todo = self.planted(state, event);
        self.room = self.serving.demand() == CloseDemand::ForCapacity;
        if event == Event::PeerClosed && was_open && self.todo != NextStep::CancelRequest {
            return Err(Property::LeftIsTold);
        }
        match self.todo {
            NextStep::LingeringClose => self.shut = true,
            NextStep::AwaitResponse if was != NextStep::AwaitResponse => return self.hand_on(),
            _ => {}
        }
        Ok(())
    }

    fn written(&mut self, response: Response, last: bool) {
        self.untaken = !self.gone;
        self.told |= last;
        match response {
            Response::RequestTimeout => {}
            _ => self.obligation = self.obligation.saturating_sub(1),
        }
        if last && (!self.persists || response != Response::Own) {
            // The client has said that it sends no more, or what is behind an error is no request.
            self.obligation = 0;
        }
    }

    fn planted(&mut self, state: State, event: Event) -> NextStep {
        let before = self.serving.clone();
        let todo = self.serving.on_event(event);
        match (self.plant, state, todo) {
            (Plant::ClosedWhileBusy, State::AwaitingResponse { .. }, _) if event == Event::DemandChanged => {
                NextStep::Close
            }
            (Plant::LeftNotTold, _, NextStep::CancelRequest) => NextStep::Close,
            (Plant::ClosedWithoutParting, _, NextStep::LingeringClose) => NextStep::Close,
            (
                Plant::HalfClosedWithoutAWord,
                State::ReadingRequest { .. },
                NextStep::Write { response: Response::Rejection, .. },
            ) => NextStep::Close,
            (Plant::ReadAheadForgotten, State::AwaitingResponse { .. }, _)
                if event == (Event::ResponseReady { more: true }) =>
            {
                self.serving = before;
                self.serving.on_event(Event::ResponseReady { more: false })
            }
            (Plant::RoomKeptThoughAsked, _, _) if before.demand() == CloseDemand::ForCapacity => {
                self.serving.raise_demand(CloseDemand::ForCapacity);
                todo
            }
            _ => todo,
        }
    }

    fn close(&mut self) -> Kept {
        self.closed = true;
        if self.todo == NextStep::CancelRequest {
            let told = std::mem::take(&mut self.op_open);
            return if told || !self.op || !self.handed_on { Ok(()) } else { Err(Property::LeftIsTold) };
        }
        if self.op_open {
            return Err(if self.gone { Property::LeftIsTold } else { Property::NoneLost });
        }
        if self.gone || self.takes_nothing {
            return Ok(());
        }
        if self.obligation > 0 {
            return Err(Property::NoneLost);
        }
        if self.untaken && !self.had_time {
            return Err(Property::NoAnswerReset);
        }
        if self.half && !self.told { Err(Property::HalfIsAnswered) } else { Ok(()) }
    }

    /// The process ends, the client is silent: all that is left is the gateway's own.
    fn comes_to_an_end(&self) -> Kept {
        let mut world = self.clone();
        (world.phase, world.plant) = (CloseDemand::Immediate, Plant::None);
        for _ in 0..40 {
            if world.closed {
                return Ok(());
            }
            let mut steps = Vec::new();
            world.gateway_steps(&mut steps);
            let Some(step) = steps.first() else { return Err(Property::ComesToAnEnd) };
            world.step(*step)?;
        }
        Err(Property::ComesToAnEnd)
    }
}

struct Found {
    states: usize,
    broken: Option<(Property, Vec<Step>)>,
}

/// Breadth first, so that what is found is found by a shortest way.
fn explore(start: World) -> Found {
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([(start, Vec::new())]);
    while let Some((world, trace)) = queue.pop_front() {
        for step in world.steps() {
            let mut next = world.clone();
            let kept = next.step(step).and_then(|()| next.comes_to_an_end());
            let after = || trace.iter().copied().chain([step]).collect::<Vec<_>>();
            if let Err(property) = kept {
                return Found { states: seen.len(), broken: Some((property, after())) };
            }
            if seen.insert(next.clone()) {
                queue.push_back((next, after()));
            }
        }
    }
    Found { states: seen.len(), broken: None }
}

#[test]
fn every_order_of_events_ends_without_owed_response() {
    let mut states = 0;
    for rejecting in [false, true] {
        for persists in [true, false] {
            for op in [true, false] {
                let found = explore(World::new(Plant::None, rejecting, persists, op));
                assert_eq!(found.broken, None, "turned away: {rejecting}, persists: {persists}, op: {op}");
                states += found.states;
            }
        }
    }
    println!("{states} states");
    assert!(states > 10_000, "{states} states: the search has lost its way");
}

#[test]
fn planted_faults_are_detected() {
    for (plant, property) in [
        (Plant::ClosedWhileBusy, Property::NoneLost),
        (Plant::HandedOnAfterTheShutdown, Property::NothingAfterTheShutdown),
        (Plant::EndedOverParting, Property::EndsOwingNothing),
        (Plant::LeftNotTold, Property::LeftIsTold),
        (Plant::ClosedWithoutParting, Property::NoAnswerReset),
        (Plant::HalfClosedWithoutAWord, Property::HalfIsAnswered),
        (Plant::ReadAheadForgotten, Property::NoneLost),
        (Plant::RoomKeptThoughAsked, Property::NoAnswerReset),
    ] {
        let found = explore(World::new(plant, false, true, true));
        let (broken, trace) = found.broken.unwrap_or_else(|| panic!("{plant:?} is not found"));
        println!("{plant:?} breaks {broken:?}: {trace:?}");
        assert_eq!(broken, property, "{plant:?}: {trace:?}");
    }
}
