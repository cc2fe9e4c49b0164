//! State machine of one client connection on the server side: the pending obligation in each state, and the
//! next step. It has no sockets and no clock; the caller performs one [`NextStep`] at a time and reports the
//! [`Event`] that ended it.
//!
//! Every connection ends in the same way: sending is shut down, further input is discarded for a limited
//! time, then the connection is closed.
//!
//! Hazard: closing a connection with unread bytes resets it, and the reset can destroy a response in flight.

pub use umbertray_lifecycle::connection::Obligation;
use umbertray_lifecycle::reason::CloseReason;

/// How urgently a connection has to close. A higher demand overrides a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CloseDemand {
    /// The connection need not close.
    None,
    /// The listener is closing: a connection that is idle after a response has to close.
    Graceful,
    /// The process is exiting: connections without a complete request have to close as well.
    Immediate,
    /// As `Immediate`, and another connection is waiting for the file descriptor.
    ForCapacity,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// No complete request has been received.
    ///
    /// Hazard: the client may be about to send one, and may then find no listener to reconnect to.
    AwaitingFirstRequest,
    /// Idle between two requests.
    Idle,
    /// Part of a request has been read.
    ReadingRequest {
        /// Whether an earlier request was served on this connection.
        served_before: bool,
    },
    /// A complete request has been read and its response is pending.
    AwaitingResponse {
        /// Whether the client accepts another response on this connection.
        persists: bool,
    },
    /// A response is being written.
    WritingResponse {
        /// Whether this is the last response on this connection.
        is_last: bool,
    },
    /// Sending is shut down. The client must be given time to read what was written, until it closes the
    /// connection or the time limit expires. Further input is discarded.
    LingeringClose,
    /// The connection is closed, or about to be closed.
    Closed,
}

impl State {
    /// The pending obligation of a connection in this state.
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
    /// A complete request was read.
    RequestRead {
        /// Whether the request is an operation, which needs a store.
        is_op: bool,
        /// Whether the client accepts another response on this connection.
        persists: bool,
    },
    /// Bytes were read that do not form a complete request yet.
    PartialRead,
    /// The bytes read are not a valid request, or the request cannot be served.
    RequestInvalid,
    /// No bytes were available to read.
    NothingRead,
    /// The client closed or reset the connection.
    PeerClosed,
    /// The response is available.
    ResponseReady {
        /// Whether another complete request has already been read.
        has_next_request: bool,
    },
    /// The response was written.
    Written,
    /// The response could not be written, for example because the client does not read.
    WriteFailed,
    /// The [`CloseDemand`] changed.
    DemandChanged,
    /// The step timed out.
    TimedOut,
}

/// Kind of a response to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseKind {
    /// The response to the request that was read: the final response of an operation, or that of a health
    /// check.
    Final,
    /// An error response that describes what is wrong with the bytes read.
    Error,
    /// The request was not complete within its time limit.
    RequestTimeout,
    /// A rejection: the client may retry later or at another gateway.
    Rejection,
}

/// What the caller has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Read until the time limit, or until a close is demanded.
    Read,
    /// Read only bytes that are already available.
    ReadAvailable,
    /// Forward the request, then wait for its response or for the client to close.
    AwaitResponse,
    /// Write a response.
    Write {
        /// Kind of the response.
        response: ResponseKind,
        /// Whether this is the last response on this connection.
        is_last: bool,
    },
    /// Shut down sending, and discard further input until the time limit.
    LingeringClose,
    /// The client closed the connection while its request was in progress: cancel the request and close.
    CancelRequest,
    /// Close the connection.
    Close,
}

/// The state machine of one connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionState {
    state: State,
    demand: CloseDemand,
    /// Whether the connection was accepted without capacity for it, so that its operations are rejected.
    rejecting: bool,
}

impl ConnectionState {
    /// Why the connection is closing. `step` was returned for `event` in the state `before`. `None` unless it
    /// is the first step of closing the connection.
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
            (NextStep::Write { response: ResponseKind::RequestTimeout, .. }, _) => {
                Some(CloseReason::RequestReadTimeout)
            }
            (NextStep::Write { response: ResponseKind::Error, .. }, _) => Some(CloseReason::RequestInvalid),
            (NextStep::Write { response: ResponseKind::Rejection, .. }, _) => {
                demanded().or(Some(CloseReason::NoCapacity))
            }
            (NextStep::Write { is_last: true, .. }, _) => demanded().or(Some(CloseReason::LastResponse)),
            (NextStep::LingeringClose, _) if before == State::Idle => {
                demanded().or(Some(CloseReason::IdleTimeout))
            }
            (NextStep::LingeringClose, _) if before == State::AwaitingFirstRequest => {
                demanded().or(Some(CloseReason::FirstRequestTimeout))
            }
            _ => None,
        }
    }

    /// Creates the state of a new connection, which starts with [`NextStep::Read`]. If `rejecting` is set,
    /// its operations are rejected.
    pub fn new(rejecting: bool) -> ConnectionState {
        ConnectionState { state: State::AwaitingFirstRequest, demand: CloseDemand::None, rejecting }
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The highest demand so far.
    pub fn demand(&self) -> CloseDemand {
        self.demand
    }

    /// The pending obligation of the connection.
    pub fn obligation(&self) -> Obligation {
        self.state.obligation()
    }

    /// Raises the demand. A step that waits for this ends with [`Event::DemandChanged`].
    pub fn raise_demand(&mut self, demand: CloseDemand) {
        self.demand = self.demand.max(demand);
    }

    /// Processes an event and returns the next step.
    pub fn on_event(&mut self, event: Event) -> NextStep {
        match (self.state, event) {
            (State::AwaitingResponse { .. }, Event::PeerClosed) => self.finish(NextStep::CancelRequest),
            (_, Event::PeerClosed | Event::WriteFailed) => self.finish(NextStep::Close),
            (State::AwaitingFirstRequest | State::Idle | State::ReadingRequest { .. }, event) => {
                self.on_event_without_request(event)
            }
            (State::AwaitingResponse { persists }, Event::ResponseReady { has_next_request }) => {
                let is_last =
                    !persists || !has_next_request && (self.rejecting || self.demand > CloseDemand::None);
                self.write(ResponseKind::Final, is_last)
            }
            (State::AwaitingResponse { .. }, Event::RequestInvalid) => self.write(ResponseKind::Error, true),
            (State::AwaitingResponse { .. }, _) => NextStep::AwaitResponse,
            (State::WritingResponse { is_last: true }, _) => self.shut_down(),
            (State::WritingResponse { is_last: false }, _) => {
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

    /// Handles an event while no complete request is pending.
    fn on_event_without_request(&mut self, event: Event) -> NextStep {
        match (self.state, event) {
            (_, Event::RequestRead { is_op, persists }) => self.await_response(is_op, persists),
            (_, Event::RequestInvalid) => self.write(ResponseKind::Error, true),
            (state, Event::PartialRead) => {
                self.state = State::ReadingRequest {
                    served_before: !matches!(
                        state,
                        State::AwaitingFirstRequest | State::ReadingRequest { served_before: false }
                    ),
                };
                self.next_read()
            }
            // Hazard: another request may have arrived in the meantime.
            (State::Idle, Event::TimedOut) => NextStep::ReadAvailable,
            (State::Idle, Event::NothingRead) => self.shut_down(),
            (State::AwaitingFirstRequest, Event::TimedOut) if !self.rejecting => self.shut_down(),
            (State::ReadingRequest { .. }, Event::TimedOut) => self.write(ResponseKind::RequestTimeout, true),
            // Hazard: the rest of the request may be in flight. The client gets a response, so that it does
            // not send the rest in vain.
            (_, Event::TimedOut | Event::NothingRead) => self.write(ResponseKind::Rejection, true),
            _ => self.next_read(),
        }
    }

    fn next_read(&self) -> NextStep {
        let minimum = if self.state == State::Idle { CloseDemand::Graceful } else { CloseDemand::Immediate };
        if self.demand >= minimum { NextStep::ReadAvailable } else { NextStep::Read }
    }

    fn await_response(&mut self, is_op: bool, persists: bool) -> NextStep {
        // A client that sent its request in time gets the usual time to read the response.
        self.demand = self.demand.min(CloseDemand::Immediate);
        if is_op && self.rejecting {
            return self.write(ResponseKind::Rejection, true);
        }
        self.state = State::AwaitingResponse { persists };
        NextStep::AwaitResponse
    }

    fn write(&mut self, response: ResponseKind, is_last: bool) -> NextStep {
        self.state = State::WritingResponse { is_last };
        NextStep::Write { response, is_last }
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
