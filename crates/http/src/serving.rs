//! One client's connection from its first byte to its end, as states: what is owed in each, and what is done next. No
//! sockets and no clock; whoever moves the bytes does one [`Todo`] at a time and tells the [`Event`] it ended with.
//!
//! A connection has one way to its end: its sending is shut, what still comes is passed over for a bounded time, then it
//! is closed. Danger: a close over unread bytes resets the connection and can take an answer with it.

/// What is wanted of a connection; a greater one holds over a smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Wanted {
    Nothing,
    /// The gateway closes: who rests after an answer is to go.
    Rest,
    /// The process ends: so is who has sent no whole request by now.
    End,
    /// The same, and its descriptor is waited for.
    Room,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// No whole request has come yet. Danger: its client is about to send one, and may find no listener any more.
    Unheard,
    /// Between requests.
    Idle,
    /// Part of a request was read.
    Part {
        heard: bool,
    },
    /// A whole request was read: its answer is owed.
    Busy {
        persists: bool,
    },
    /// An answer is being written, the last one or not.
    Writing {
        last: bool,
    },
    /// Shut. What was written is owed until the client has closed or its time is over; what comes is passed over.
    Parting,
    Ended,
}

/// What is owed on a connection, so that its process does not end over it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Owed {
    Nothing,
    Answer,
    /// Time to read what was written.
    Parting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A whole request was read: an op, or one that needs no store.
    Whole {
        op: bool,
        persists: bool,
    },
    /// Bytes were read that are no whole request yet.
    Half,
    /// Bytes were read that are no request, or the request taken cannot be served.
    Refused,
    /// The look found no bytes.
    Nothing,
    /// The client has closed or reset its connection.
    Gone,
    /// The answer is there; whether a whole request was read behind this one.
    Answered {
        more: bool,
    },
    Written,
    /// The client takes nothing.
    Unwritten,
    /// What is wanted has changed.
    Told,
    /// The time for what was to be done is over.
    TimeUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// To the request that was taken.
    Own,
    /// What is wrong with what was read.
    Refusal,
    /// The request did not come whole in its time.
    TooSlow,
    /// Try again, elsewhere or later.
    TurnAway,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Todo {
    /// Read, for a time, until something is wanted.
    Read,
    /// Read what is there already.
    Look,
    /// Hand the request on, and wait for its answer or for the client's end.
    Take,
    Write {
        answer: Answer,
        last: bool,
    },
    /// Shut, and pass over what comes, for a time.
    Part,
    /// The client of the request that was handed on has left: tell so, and close.
    Leave,
    Close,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Serving {
    state: State,
    wanted: Wanted,
    /// There was no room for it when it came.
    turned_away: bool,
}

impl Serving {
    /// A new connection; [`Todo::Read`] is first.
    pub fn new(turned_away: bool) -> Serving {
        Serving { state: State::Unheard, wanted: Wanted::Nothing, turned_away }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn wanted(&self) -> Wanted {
        self.wanted
    }

    pub fn owed(&self) -> Owed {
        match self.state {
            State::Busy { .. } | State::Writing { .. } => Owed::Answer,
            State::Parting => Owed::Parting,
            State::Unheard | State::Idle | State::Part { .. } | State::Ended => Owed::Nothing,
        }
    }

    /// What is wanted from now on; [`Event::Told`] follows where somebody waits for it.
    pub fn want(&mut self, wanted: Wanted) {
        self.wanted = self.wanted.max(wanted);
    }

    /// What is to be done after this.
    pub fn on(&mut self, event: Event) -> Todo {
        match (self.state, event) {
            (State::Busy { .. }, Event::Gone) => self.end(Todo::Leave),
            (_, Event::Gone | Event::Unwritten) => self.end(Todo::Close),
            (State::Unheard | State::Idle | State::Part { .. }, event) => self.between(event),
            (State::Busy { persists }, Event::Answered { more }) => {
                let last = !persists || !more && (self.turned_away || self.wanted > Wanted::Nothing);
                self.write(Answer::Own, last)
            }
            (State::Busy { .. }, Event::Refused) => self.write(Answer::Refusal, true),
            (State::Busy { .. }, _) => Todo::Take,
            (State::Writing { last: true }, _) => self.part(),
            (State::Writing { last: false }, _) => {
                self.state = State::Idle;
                Todo::Read
            }
            (State::Parting, Event::TimeUp) => self.end(Todo::Close),
            (State::Parting, Event::Told) if self.wanted == Wanted::Room => self.end(Todo::Close),
            (State::Parting, _) => Todo::Part,
            (State::Ended, _) => Todo::Close,
        }
    }

    /// Between a whole request and the next.
    fn between(&mut self, event: Event) -> Todo {
        match (self.state, event) {
            (_, Event::Whole { op, persists }) => self.take(op, persists),
            (_, Event::Refused) => self.write(Answer::Refusal, true),
            (state, Event::Half) => {
                self.state =
                    State::Part { heard: !matches!(state, State::Unheard | State::Part { heard: false }) };
                self.wait()
            }
            // Danger: another request may have come by now.
            (State::Idle, Event::TimeUp) => Todo::Look,
            (State::Idle, Event::Nothing) => self.part(),
            (State::Unheard, Event::TimeUp) if !self.turned_away => self.part(),
            (State::Part { .. }, Event::TimeUp) => self.write(Answer::TooSlow, true),
            // Danger: the rest may be on its way. Who has an answer does not send it in vain.
            (_, Event::TimeUp | Event::Nothing) => self.write(Answer::TurnAway, true),
            _ => self.wait(),
        }
    }

    fn wait(&self) -> Todo {
        let least = if self.state == State::Idle { Wanted::Rest } else { Wanted::End };
        if self.wanted >= least { Todo::Look } else { Todo::Read }
    }

    fn take(&mut self, op: bool, persists: bool) -> Todo {
        // Who has asked in time has time to read its answer, like any other.
        self.wanted = self.wanted.min(Wanted::End);
        if op && self.turned_away {
            return self.write(Answer::TurnAway, true);
        }
        self.state = State::Busy { persists };
        Todo::Take
    }

    fn write(&mut self, answer: Answer, last: bool) -> Todo {
        self.state = State::Writing { last };
        Todo::Write { answer, last }
    }

    fn part(&mut self) -> Todo {
        self.state = State::Parting;
        Todo::Part
    }

    fn end(&mut self, todo: Todo) -> Todo {
        self.state = State::Ended;
        todo
    }
}
