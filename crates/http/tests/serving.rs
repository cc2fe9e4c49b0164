//! Every order of events around the end of a client's connection, at small size: the product's states between a client,
//! a net, a hub and a process of the test. What comes is bounded, so the space is finite and searched whole.
//!
//! The client may send whole requests and halves at any moment, one behind the other, end or reset its connection, and
//! read late. Room may be wanted, the gateway close and the process end at any moment, and any time be over.

use std::collections::{HashSet, VecDeque};

use umbertray_http::serving::{Answer, Event, Owed, Serving, State, Todo, Wanted};

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
    Phase(Wanted),
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
    serving: Serving,
    todo: Todo,
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
    owed: u8,
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
    phase: Wanted,
    room: bool,
    /// Since the last request.
    room_asked: bool,
}

type Kept = Result<(), Property>;

impl World {
    fn new(plant: Plant, turned_away: bool, persists: bool, op: bool) -> World {
        World {
            plant,
            persists,
            op,
            serving: Serving::new(turned_away),
            todo: Todo::Read,
            requests: 2,
            half_out: false,
            unread: VecDeque::new(),
            gone: false,
            reset: false,
            ahead: 0,
            half: false,
            told: false,
            owed: 0,
            handed_on: false,
            op_open: false,
            untaken: false,
            takes_nothing: false,
            had_time: false,
            shut: false,
            closed: false,
            phase: Wanted::Nothing,
            room: false,
            room_asked: false,
        }
    }

    fn wanted(&self) -> Wanted {
        if self.room { Wanted::Room } else { self.phase }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.closed {
            return steps;
        }
        self.client_steps(&mut steps);
        if !self.room && self.serving.owed() != Owed::Answer {
            steps.push(Step::RoomWanted);
        }
        steps.extend(match self.phase {
            Wanted::Nothing => Some(Step::Phase(Wanted::Rest)),
            Wanted::Rest => Some(Step::Phase(Wanted::End)),
            _ => None,
        });
        // The process waits for connections to end; planted, only for answers.
        if self.plant == Plant::EndedOverParting
            && self.phase == Wanted::End
            && self.serving.owed() == Owed::Parting
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
        let told = (self.wanted() > self.serving.wanted()).then_some(Step::Tell(Event::Told));
        let found = match (self.ahead, self.half, self.serving.state()) {
            (1.., _, _) => Some(Event::Whole { op: self.op, persists: self.persists }),
            (0, true, State::Unheard | State::Idle) => Some(Event::Half),
            _ => None,
        };
        match self.todo {
            // What was read ahead is looked at first.
            Todo::Read if found.is_some() => steps.extend(found.map(Step::Tell)),
            Todo::Read if self.can_read() => {
                steps.push(Step::Read);
                steps.extend(told);
            }
            Todo::Read => {
                steps.push(Step::Tell(Event::TimeUp));
                steps.extend(told);
            }
            Todo::Look if self.can_read() => steps.push(Step::Read),
            Todo::Look => steps.push(Step::Tell(Event::Nothing)),
            Todo::Take => {
                let more = self.ahead > 0;
                steps.extend([Event::Answered { more }, Event::Refused].map(Step::Tell));
                steps.extend(self.can_read().then_some(Step::Read));
                if self.plant == Plant::ClosedWhileBusy {
                    steps.extend(told);
                }
            }
            Todo::Write { .. } => {
                steps.extend((!self.reset).then_some(Step::Tell(Event::Written)));
                steps.push(Step::Tell(Event::Unwritten));
            }
            Todo::Part if self.can_read() => steps.extend([Step::Read, Step::Tell(Event::TimeUp)]),
            Todo::Part => {
                steps.push(Step::Tell(Event::TimeUp));
                steps.extend((self.wanted() == Wanted::Room).then_some(Step::Tell(Event::Told)));
                steps.extend(told);
            }
            Todo::Leave | Todo::Close => steps.push(Step::Close),
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
                let owes = !self.gone && (self.untaken || self.owed > 0);
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
                self.todo = Todo::Take;
                return self.hand_on();
            }
            return Ok(());
        }
        match sent {
            Sent::Fin => return self.tell(Event::Gone),
            Sent::Half => (self.half, self.told) = (true, false),
            Sent::Whole | Sent::Rest => {
                self.half &= sent != Sent::Rest;
                self.ahead += 1;
                self.owed += 1;
            }
        }
        match (self.todo, self.ahead) {
            (Todo::Take, _) => Ok(()),
            (_, 0) => self.tell(Event::Half),
            _ => self.tell(Event::Whole { op: self.op, persists: self.persists }),
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
        self.serving.want(self.wanted());
        if matches!(event, Event::Whole { .. }) {
            self.ahead -= 1;
        }
        if let (Todo::Write { answer, last }, Event::Written) = (was, event) {
            self.written(answer, last);
        }
        self.takes_nothing |= event == Event::Unwritten;
        self.had_time |= state == State::Parting && (event == Event::TimeUp || self.room_asked);
        if matches!(event, Event::Answered { .. } | Event::Refused) {
            self.op_open = false;
        }
        self.room_asked &= !matches!(event, Event::Whole { .. });
        let was_open = self.op_open;
        self.todo = self.planted(state, event);
        self.room = self.serving.wanted() == Wanted::Room;
        if event == Event::Gone && was_open && self.todo != Todo::Leave {
            return Err(Property::LeftIsTold);
        }
        match self.todo {
            Todo::Part => self.shut = true,
            Todo::Take if was != Todo::Take => return self.hand_on(),
            _ => {}
        }
        Ok(())
    }

    fn written(&mut self, answer: Answer, last: bool) {
        self.untaken = !self.gone;
        self.told |= last;
        match answer {
            Answer::TooSlow => {}
            _ => self.owed = self.owed.saturating_sub(1),
        }
        if last && (!self.persists || answer != Answer::Own) {
            // The client has said that it sends no more, or what is behind an error is no request.
            self.owed = 0;
        }
    }

    fn planted(&mut self, state: State, event: Event) -> Todo {
        let before = self.serving.clone();
        let todo = self.serving.on(event);
        match (self.plant, state, todo) {
            (Plant::ClosedWhileBusy, State::Busy { .. }, _) if event == Event::Told => Todo::Close,
            (Plant::LeftNotTold, _, Todo::Leave) => Todo::Close,
            (Plant::ClosedWithoutParting, _, Todo::Part) => Todo::Close,
            (
                Plant::HalfClosedWithoutAWord,
                State::Part { .. },
                Todo::Write { answer: Answer::TurnAway, .. },
            ) => Todo::Close,
            (Plant::ReadAheadForgotten, State::Busy { .. }, _)
                if event == (Event::Answered { more: true }) =>
            {
                self.serving = before;
                self.serving.on(Event::Answered { more: false })
            }
            (Plant::RoomKeptThoughAsked, _, _) if before.wanted() == Wanted::Room => {
                self.serving.want(Wanted::Room);
                todo
            }
            _ => todo,
        }
    }

    fn close(&mut self) -> Kept {
        self.closed = true;
        if self.todo == Todo::Leave {
            let told = std::mem::take(&mut self.op_open);
            return if told || !self.op || !self.handed_on { Ok(()) } else { Err(Property::LeftIsTold) };
        }
        if self.op_open {
            return Err(if self.gone { Property::LeftIsTold } else { Property::NoneLost });
        }
        if self.gone || self.takes_nothing {
            return Ok(());
        }
        if self.owed > 0 {
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
        (world.phase, world.plant) = (Wanted::End, Plant::None);
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
fn every_order_of_events_around_an_end_owes_nothing() {
    let mut states = 0;
    for turned_away in [false, true] {
        for persists in [true, false] {
            for op in [true, false] {
                let found = explore(World::new(Plant::None, turned_away, persists, op));
                assert_eq!(found.broken, None, "turned away: {turned_away}, persists: {persists}, op: {op}");
                states += found.states;
            }
        }
    }
    println!("{states} states");
    assert!(states > 10_000, "{states} states: the search has lost its way");
}

#[test]
fn planted_bugs_are_found() {
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
