//! Client connections, each with its own task, which serves one request at a time, in order.
//! [`ConnectionState`] decides on the next step and on when a connection may close; this module performs the
//! I/O.

mod memory;
mod read_ahead;
mod reading;
mod responding;

use std::cell::RefCell;
use std::future::ready;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use tokio::task::unconstrained;
use umbertray_http::Malformed;
use umbertray_http::connection::{CloseDemand, ConnectionState, Event, NextStep, State};
use umbertray_http::server::{Request, RequestEvent, RequestReader};
use umbertray_http_api::{ClientId, FinalResponse, RequestError};
use umbertray_lifecycle::check::{assert_rule, record_violation};
use umbertray_lifecycle::connection::{self, Obligation, Peer};
use umbertray_lifecycle::limits::MAX_PROCESS_PAUSE;
use umbertray_lifecycle::reason::{CloseReason, RejectionReason, Violation};
use umbertray_lifecycle::{Decision, Timeouts};
use umbertray_socket::Socket;

use self::read_ahead::DiscardedRequests;
use crate::client_connections::ConnectionSignals;
use crate::client_input::ClientInput;
use crate::event_loop::EventLoop;

/// The result of a future if it is ready immediately, otherwise `None`.
pub(crate) async fn if_ready<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = unconstrained(future) => Some(value),
        () = ready(()) => None,
    }
}

/// An operation that waits for its final response. Dropping it before the response reports the client as
/// disconnected.
///
/// Hazard: however the wait ends, an attempt for a disconnected client must not start any more.
struct PendingOp {
    event_loop: Rc<EventLoop>,
    /// The request id as sent by the client.
    id: Box<str>,
    /// When the complete request was submitted. A slow client may spend more time writing the request than
    /// waiting for the response.
    submitted_at: Instant,
    /// How long the client waits.
    time_left: Duration,
    client: ClientId,
    response: oneshot::Receiver<FinalResponse>,
}

impl Drop for PendingOp {
    fn drop(&mut self) {
        if !self.response.is_terminated() {
            self.event_loop.client_disconnected(self.client);
        }
    }
}

/// A complete request that was read.
struct ReadRequest {
    request: Request,
    /// When its first byte was read.
    started_at: Duration,
}

/// The response prepared for the request that was read.
enum PreparedResponse {
    /// No response is prepared. The operation may have been executed, so the client gets
    /// [`FinalResponse::Failed`].
    Unknown,
    /// The response to a health check, with this status.
    Health(u16),
    /// The final response of an operation.
    Final(FinalResponse),
    /// An error response.
    Error(RequestError, RejectionReason),
}

/// The connection of one client.
pub(crate) struct ClientConnection {
    event_loop: Rc<EventLoop>,
    id: u64,
    stream: Socket,
    signals: Rc<ConnectionSignals>,
    state: ConnectionState,
    input: Rc<RefCell<ClientInput>>,
    /// Result of parsing ahead, found before the response to the current request was written.
    read_ahead: Option<Result<RequestEvent, Malformed>>,
    /// Requests that were read ahead beyond the limit.
    discarded: DiscardedRequests,
    /// The complete request that was read, until it is submitted.
    request: Option<ReadRequest>,
    op: Option<PendingOp>,
    prepared_response: PreparedResponse,
    /// When the first byte of the current or next request was read.
    request_started_at: Duration,
    state_since: Instant,
    /// When the wait for the rest of a partial request began.
    reading_since: Instant,
    /// When the time limit of the current state expires.
    state_deadline: Instant,
    /// The pending obligation before the last step.
    previous_obligation: Obligation,
    /// What the client was observed to do in the last step.
    peer: Peer,
    /// Why the connection closes, once that is known.
    close_reason: Option<CloseReason>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.event_loop.clients.remove(self.id);
    }
}

impl ClientConnection {
    /// Creates an accepted connection. If `reject` is set, its operations are rejected.
    pub(crate) fn new(event_loop: Rc<EventLoop>, id: u64, stream: Socket, reject: bool) -> ClientConnection {
        let signals = Rc::<ConnectionSignals>::default();
        let memory = event_loop.request_memory.reservation();
        let input = ClientInput::new(RequestReader::new(event_loop.limits().http), memory);
        let input = Rc::new(RefCell::new(input));
        event_loop.clients.insert(id, input.clone(), signals.clone());
        let limits = event_loop.limits();
        let timeouts = limits.timeouts;
        let first_request =
            if reject { timeouts.first_request_without_capacity } else { timeouts.first_request };
        let now = Instant::now();
        ClientConnection {
            event_loop,
            id,
            stream,
            signals,
            state: ConnectionState::new(reject),
            input,
            read_ahead: None,
            discarded: DiscardedRequests::default(),
            request: None,
            op: None,
            prepared_response: PreparedResponse::Unknown,
            request_started_at: Duration::ZERO,
            state_since: now,
            reading_since: now,
            state_deadline: now + first_request,
            previous_obligation: Obligation::None,
            peer: Peer::Open,
            close_reason: None,
        }
    }

    /// Serves the connection until it closes.
    pub(crate) async fn serve(mut self) {
        let mut step = NextStep::Read;
        loop {
            let event = match step {
                NextStep::Read => self.read().await,
                NextStep::ReadAvailable => self.read_available().await,
                NextStep::AwaitResponse => self.await_response().await,
                NextStep::Write { response, is_last } => self.respond(response, is_last).await,
                NextStep::LingeringClose => self.linger().await,
                NextStep::CancelRequest => {
                    drop(self.op.take());
                    return self.on_closed();
                }
                NextStep::Close => return self.on_closed(),
            };
            step = self.on_event(event);
        }
    }

    fn on_event(&mut self, event: Event) -> NextStep {
        self.state.raise_demand(self.demand());
        let before = self.state.state();
        let step = self.state.on_event(event);
        self.previous_obligation = before.obligation();
        self.peer = match event {
            Event::PeerClosed => Peer::Closed,
            Event::WriteFailed => Peer::NotReading,
            _ => Peer::Open,
        };
        let state = self.state.state();
        let has_changed = state != before;
        if has_changed {
            self.on_state_entered(state);
            tracing::debug!(
                connection_id = self.id, from = ?before, to = ?state, on = ?event,
                "connection state changed"
            );
        }
        self.close_reason = self.close_reason.or_else(|| self.state.close_reason(before, event, step));
        self.event_loop.clients.update(self.id, &self.state, has_changed);
        step
    }

    fn on_state_entered(&mut self, state: State) {
        let timeouts = self.event_loop.limits().timeouts;
        let now = Instant::now();
        self.state_since = now;
        if matches!(state, State::ReadingRequest { .. }) {
            self.reading_since = now;
        }
        self.state_deadline = match state {
            State::Idle => now + timeouts.client_idle,
            State::ReadingRequest { served_before: true } => self.request_read_deadline(now),
            State::LingeringClose => now + timeouts.linger,
            // The first request keeps the current deadline if that is earlier.
            State::ReadingRequest { served_before: false } => {
                self.state_deadline.min(self.request_read_deadline(now))
            }
            State::AwaitingFirstRequest
            | State::AwaitingResponse { .. }
            | State::WritingResponse { .. }
            | State::Closed => self.state_deadline,
        };
    }

    /// When a request whose first byte has been read must be complete.
    ///
    /// Hazard: that byte may have been read long ago, while an earlier request was open. What the client has
    /// sent since may still be in transit, held back by a receive window that was closed.
    fn request_read_deadline(&self, now: Instant) -> Instant {
        let started_at = self.event_loop.clock.instant(self.request_started_at);
        (started_at + self.event_loop.limits().timeouts.request_read).max(now + MAX_PROCESS_PAUSE)
    }

    /// Applies changed limits. An idle connection uses the new limits, a connection without a request uses
    /// the stricter of the old and the new ones, and a request that has begun keeps its deadline.
    fn on_limits_changed(&mut self, state: State) {
        let Timeouts { client_idle, first_request, .. } = self.event_loop.limits().timeouts;
        match state {
            State::Idle => self.state_deadline = self.state_since + client_idle,
            State::AwaitingFirstRequest => {
                self.state_deadline = self.state_deadline.min(self.state_since + first_request);
            }
            _ => {}
        }
    }

    /// Counts and logs why the connection closes, and checks that it is allowed to.
    fn on_closed(&self) {
        let reason = self.close_reason.unwrap_or(CloseReason::PeerClosed);
        self.check_rule(connection::may_close(self.previous_obligation, self.peer));
        self.event_loop.counters.count(reason);
        tracing::debug!(connection_id = self.id, %reason, "connection closed");
    }

    fn check_rule(&self, decision: Decision<Violation>) {
        assert_rule(&self.event_loop.counters, decision, |violation| {
            tracing::error!(connection_id = self.id, %violation, "lifecycle rule violated");
        });
    }

    fn observe_rule(&self, request_id: &str, decision: Decision<Violation>) {
        record_violation(&self.event_loop.counters, decision, |violation| {
            tracing::warn!(connection_id = self.id, request_id, %violation, "lifecycle rule violated");
        });
    }

    fn demand(&self) -> CloseDemand {
        demand(&self.event_loop, self.id)
    }

    /// Completes once the close demand is greater than the one that the state machine knows.
    fn greater_demand(&self) -> impl Future<Output = ()> + use<> {
        let event_loop = self.event_loop.clone();
        let signals = self.signals.clone();
        let id = self.id;
        let known = self.state.demand();
        async move {
            let mut phases = event_loop.phase_changes();
            while demand(&event_loop, id) <= known {
                tokio::select! {
                    _ = phases.changed() => {}
                    () = signals.demand_raised.notified() => {}
                }
            }
        }
    }
}

fn demand(event_loop: &EventLoop, id: u64) -> CloseDemand {
    let common_demand = if event_loop.is_closing() { CloseDemand::Graceful } else { CloseDemand::None };
    event_loop.clients.demand(id).max(common_demand)
}
