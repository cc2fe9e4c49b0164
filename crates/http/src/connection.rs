//! One client's connection from its first byte to its end, as states: what is owed in each, and what is done next. No
//! sockets and no clock; whoever moves the bytes does one [`NextStep`] at a time and tells the [`Event`] it ended with.
//!
//! A connection has one way to its end: its sending is shut, what still comes is passed over for a bounded time, then it
//! is closed. Danger: a close over unread bytes resets the connection and can take an answer with it.

pub use umbertray_lifecycle::connection::Obligation;
use umbertray_lifecycle::reason::CloseReason;

/// Who demands that a connection closes; a greater demand holds over a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CloseDemand {
    None,
    /// The listener closes: a connection that is idle after a response has to end.
    Graceful,
    /// The process ends: so has one with no whole request by now.
    Immediate,
    /// The same, and another connection waits for its descriptor.
    ForCapacity,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// No whole request has come yet. Hazard: its client is about to send one, and may find no listener any more.
    AwaitingFirstRequest,
    /// Between requests.
    Idle,
    /// Part of a request was read.
    ReadingRequest {
        served_before: bool,
    },
    /// A whole request was read: its response is owed.
    AwaitingResponse {
        persists: bool,
    },
    /// A response is being written, the last one or not.
    WritingResponse {
        last: bool,
    },
    /// Sending is shut down. What was written is owed until the client has closed or its time is over; what still
    /// comes is discarded.
    LingeringClose,
    Closed,
}

impl State {
    /// What is owed on a connection in this state.
    pub fn obligation(self) -> Obligation {
        match self {
            State::AwaitingResponse { .. } | State::WritingResponse { .. } => Obligation::Response,
            State::LingeringClose => Obligation::LingeringClose,
            State::AwaitingFirstRequest | State::Idle | State::ReadingRequest { .. } | State::Closed => {
                Obligation::None
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A whole request was read: an op, or one that needs no store.
    RequestRead {
        op: bool,
        persists: bool,
    },
    /// Bytes were read that are no whole request yet.
    PartialRead,
    /// Bytes were read that are no request, or the request cannot be served.
    RequestRefused,
    /// No bytes were there to read.
    NothingRead,
    /// The client has closed or reset its connection.
    PeerClosed,
    /// The response is there; whether a whole request was read behind this one.
    ResponseReady {
        more: bool,
    },
    Written,
    /// The client does not read what is written.
    WriteFailed,
    /// The [`CloseDemand`] has changed.
    DemandChanged,
    /// The time for the step is over.
    TimedOut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    /// To the request that was read.
    Own,
    /// What is wrong with what was read.
    Refusal,
    /// The request did not come whole in its time.
    RequestTimeout,
    /// Try again, elsewhere or later.
    Rejection,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Read, for a time, until a close is demanded.
    Read,
    /// Read what is there already.
    ReadAvailable,
    /// Hand the request on, and wait for its response or for the client's close.
    AwaitResponse,
    Write {
        response: Response,
        last: bool,
    },
    /// Shut down sending, and discard what comes, for a time.
    LingeringClose,
    /// The client of the request that was handed on has closed: cancel it, and close.
    CancelRequest,
    Close,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionState {
    state: State,
    demand: CloseDemand,
    /// There was no capacity for it when it was accepted.
    rejecting: bool,
}

impl ConnectionState {
    /// Why a connection comes to its end by a step that was taken from the state before on this event. Nothing where it
    /// does not, and for the steps that follow the first one towards the end.
    pub fn close_reason(&self, before: State, event: Event, step: NextStep) -> Option<CloseReason> {
        let demanded = || match self.demand {
            _ if self.rejecting => Some(CloseReason::NoCapacity),
            CloseDemand::None => None,
            CloseDemand::ForCapacity => Some(CloseReason::NoCapacity),
            CloseDemand::Graceful | CloseDemand::Immediate => Some(CloseReason::Draining),
        };
        match (step, event) {
            (NextStep::CancelRequest, _) => Some(CloseReason::RequestCancelled),
            (_, Event::PeerClosed) => Some(CloseReason::PeerClosed),
            (_, Event::WriteFailed) => Some(CloseReason::PeerNotReading),
            (NextStep::Write { response: Response::RequestTimeout, .. }, _) => {
                Some(CloseReason::RequestReadTimeout)
            }
            (NextStep::Write { response: Response::Refusal, .. }, _) => Some(CloseReason::RequestRefused),
            (NextStep::Write { response: Response::Rejection, .. }, _) => {
                demanded().or(Some(CloseReason::NoCapacity))
            }
            (NextStep::Write { last: true, .. }, _) => demanded().or(Some(CloseReason::LastResponse)),
            (NextStep::LingeringClose, _) if before == State::Idle => {
                demanded().or(Some(CloseReason::IdleTimeout))
            }
            (NextStep::LingeringClose, _) if before == State::AwaitingFirstRequest => {
                demanded().or(Some(CloseReason::FirstRequestTimeout))
            }
            _ => None,
        }
    }

    /// A new connection; [`NextStep::Read`] is first.
    pub fn new(rejecting: bool) -> ConnectionState {
        ConnectionState { state: State::AwaitingFirstRequest, demand: CloseDemand::None, rejecting }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn demand(&self) -> CloseDemand {
        self.demand
    }

    pub fn obligation(&self) -> Obligation {
        self.state.obligation()
    }

    /// What is demanded from now on; [`Event::DemandChanged`] follows where somebody waits for it.
    pub fn raise_demand(&mut self, demand: CloseDemand) {
        self.demand = self.demand.max(demand);
    }

    /// What is to be done after this.
    pub fn on(&mut self, event: Event) -> NextStep {
        match (self.state, event) {
            (State::AwaitingResponse { .. }, Event::PeerClosed) => self.finish(NextStep::CancelRequest),
            (_, Event::PeerClosed | Event::WriteFailed) => self.finish(NextStep::Close),
            (State::AwaitingFirstRequest | State::Idle | State::ReadingRequest { .. }, event) => {
                self.without_request(event)
            }
            (State::AwaitingResponse { persists }, Event::ResponseReady { more }) => {
                let last = !persists || !more && (self.rejecting || self.demand > CloseDemand::None);
                self.write(Response::Own, last)
            }
            (State::AwaitingResponse { .. }, Event::RequestRefused) => self.write(Response::Refusal, true),
            (State::AwaitingResponse { .. }, _) => NextStep::AwaitResponse,
            (State::WritingResponse { last: true }, _) => self.shut_down(),
            (State::WritingResponse { last: false }, _) => {
                self.state = State::Idle;
                NextStep::Read
            }
            (State::LingeringClose, Event::TimedOut) => self.finish(NextStep::Close),
            (State::LingeringClose, Event::DemandChanged) if self.demand == CloseDemand::ForCapacity => {
                self.finish(NextStep::Close)
            }
            (State::LingeringClose, _) => NextStep::LingeringClose,
            (State::Closed, _) => NextStep::Close,
        }
    }

    /// Between a whole request and the next.
    fn without_request(&mut self, event: Event) -> NextStep {
        match (self.state, event) {
            (_, Event::RequestRead { op, persists }) => self.await_response(op, persists),
            (_, Event::RequestRefused) => self.write(Response::Refusal, true),
            (state, Event::PartialRead) => {
                self.state = State::ReadingRequest {
                    served_before: !matches!(
                        state,
                        State::AwaitingFirstRequest | State::ReadingRequest { served_before: false }
                    ),
                };
                self.next_read()
            }
            // Danger: another request may have come by now.
            (State::Idle, Event::TimedOut) => NextStep::ReadAvailable,
            (State::Idle, Event::NothingRead) => self.shut_down(),
            (State::AwaitingFirstRequest, Event::TimedOut) if !self.rejecting => self.shut_down(),
            (State::ReadingRequest { .. }, Event::TimedOut) => self.write(Response::RequestTimeout, true),
            // Danger: the rest may be on its way. Who has an answer does not send it in vain.
            (_, Event::TimedOut | Event::NothingRead) => self.write(Response::Rejection, true),
            _ => self.next_read(),
        }
    }

    fn next_read(&self) -> NextStep {
        let least = if self.state == State::Idle { CloseDemand::Graceful } else { CloseDemand::Immediate };
        if self.demand >= least { NextStep::ReadAvailable } else { NextStep::Read }
    }

    fn await_response(&mut self, op: bool, persists: bool) -> NextStep {
        // Who has asked in time has time to read its answer, like any other.
        self.demand = self.demand.min(CloseDemand::Immediate);
        if op && self.rejecting {
            return self.write(Response::Rejection, true);
        }
        self.state = State::AwaitingResponse { persists };
        NextStep::AwaitResponse
    }

    fn write(&mut self, response: Response, last: bool) -> NextStep {
        self.state = State::WritingResponse { last };
        NextStep::Write { response, last }
    }

    fn shut_down(&mut self) -> NextStep {
        self.state = State::LingeringClose;
        NextStep::LingeringClose
    }

    fn finish(&mut self, step: NextStep) -> NextStep {
        self.state = State::Closed;
        step
    }
}
