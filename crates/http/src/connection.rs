//! A client's connection at a server as a state machine: what is owed in each state, and the next step. No sockets and no
//! clock; the caller does one [`NextStep`] at a time and reports the [`Event`] that it ended with.
//!
//! Every connection ends the same way: sending is shut down, what still comes is discarded for a bounded time, then it is
//! closed. Hazard: a close over unread bytes resets the connection and can take a response with it.

pub use umbertray_lifecycle::connection::Obligation;
use umbertray_lifecycle::reason::CloseReason;

/// How urgently a connection has to close; a greater demand overrides a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CloseDemand {
    /// Not at all.
    None,
    /// The listener closes: a connection that is idle after a response has to end.
    Graceful,
    /// The process ends: so has one that has sent no whole request by now.
    Immediate,
    /// The same, and another connection waits for the descriptor.
    ForCapacity,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// No whole request has come yet. Hazard: the client is about to send one, and may find no listener any more.
    AwaitingFirstRequest,
    /// Between requests.
    Idle,
    /// Part of a request was read.
    ReadingRequest {
        /// Whether a request was served on this connection before.
        served_before: bool,
    },
    /// A whole request was read: its response is owed.
    AwaitingResponse {
        /// Whether the client accepts another response on this connection.
        persists: bool,
    },
    /// A response is being written.
    WritingResponse {
        /// Whether it is the last on this connection.
        last: bool,
    },
    /// Sending is shut down. What was written is owed until the client has closed or its time is over; what still
    /// comes is discarded.
    LingeringClose,
    /// At its end.
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

/// How a step ended, or what interrupted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A whole request was read.
    RequestRead {
        /// Whether it is an operation, which needs a store.
        op: bool,
        /// Whether the client accepts another response on this connection.
        persists: bool,
    },
    /// Bytes were read that are no whole request yet.
    PartialRead,
    /// Bytes were read that are no request, or the request cannot be served.
    RequestRefused,
    /// There were no bytes to read.
    NothingRead,
    /// The client has closed or reset its connection.
    PeerClosed,
    /// The response is there.
    ResponseReady {
        /// Whether a whole request was read behind this one.
        more: bool,
    },
    /// The response was written.
    Written,
    /// The client does not read what is written.
    WriteFailed,
    /// The [`CloseDemand`] has changed.
    DemandChanged,
    /// The step timed out.
    TimedOut,
}

/// Which response is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    /// That of the request that was read.
    Own,
    /// An error that says what is wrong with what was read.
    Refusal,
    /// The request did not come whole in its time.
    RequestTimeout,
    /// A rejection: the client may retry elsewhere or later.
    Rejection,
}

/// What the caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Read, for a time, until a close is demanded.
    Read,
    /// Read only what has come already.
    ReadAvailable,
    /// Forward the request, and wait for its response or for the client's close.
    AwaitResponse,
    /// Write a response.
    Write {
        /// Which one.
        response: Response,
        /// Whether it is the last on this connection.
        last: bool,
    },
    /// Shut down sending, and discard what comes, for a time.
    LingeringClose,
    /// The client of the request that was forwarded has closed: cancel it, and close.
    CancelRequest,
    /// Close.
    Close,
}

/// The state machine of one connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionState {
    state: State,
    demand: CloseDemand,
    /// There was no capacity for it when it was accepted.
    rejecting: bool,
}

impl ConnectionState {
    /// Why a connection ends by the step that was taken from the state `before` on this event. Nothing where it does not
    /// end, and for the steps that follow the first one towards the end.
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

    /// A new connection, to be rejected or not; [`NextStep::Read`] is first.
    pub fn new(rejecting: bool) -> ConnectionState {
        ConnectionState { state: State::AwaitingFirstRequest, demand: CloseDemand::None, rejecting }
    }

    /// The present state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The greatest demand so far.
    pub fn demand(&self) -> CloseDemand {
        self.demand
    }

    /// What is owed on the connection.
    pub fn obligation(&self) -> Obligation {
        self.state.obligation()
    }

    /// Raises the demand; [`Event::DemandChanged`] follows where a step waits for it.
    pub fn raise_demand(&mut self, demand: CloseDemand) {
        self.demand = self.demand.max(demand);
    }

    /// Takes an event and returns the next step.
    pub fn on_event(&mut self, event: Event) -> NextStep {
        match (self.state, event) {
            (State::AwaitingResponse { .. }, Event::PeerClosed) => self.finish(NextStep::CancelRequest),
            (_, Event::PeerClosed | Event::WriteFailed) => self.finish(NextStep::Close),
            (State::AwaitingFirstRequest | State::Idle | State::ReadingRequest { .. }, event) => {
                self.on_event_without_request(event)
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

    /// An event while no whole request is open.
    fn on_event_without_request(&mut self, event: Event) -> NextStep {
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
            // Hazard: another request may have come by now.
            (State::Idle, Event::TimedOut) => NextStep::ReadAvailable,
            (State::Idle, Event::NothingRead) => self.shut_down(),
            (State::AwaitingFirstRequest, Event::TimedOut) if !self.rejecting => self.shut_down(),
            (State::ReadingRequest { .. }, Event::TimedOut) => self.write(Response::RequestTimeout, true),
            // Hazard: the rest may be on its way; a client that gets a response does not send it in vain.
            (_, Event::TimedOut | Event::NothingRead) => self.write(Response::Rejection, true),
            _ => self.next_read(),
        }
    }

    fn next_read(&self) -> NextStep {
        let minimum = if self.state == State::Idle { CloseDemand::Graceful } else { CloseDemand::Immediate };
        if self.demand >= minimum { NextStep::ReadAvailable } else { NextStep::Read }
    }

    fn await_response(&mut self, op: bool, persists: bool) -> NextStep {
        // A client that sent its request in time has time to read the response, like any other.
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
