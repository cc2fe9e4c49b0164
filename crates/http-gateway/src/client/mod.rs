//! Connections of clients, one task each: a request at a time, in order. [`ConnectionState`] says what is done next and when a
//! connection may end; here its bytes are moved.

mod reading;
mod responding;

use std::future::ready;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot};
use tokio::task::unconstrained;
use umbertray_http::Malformed;
use umbertray_http::connection::{CloseDemand, ConnectionState, Event, NextStep, State};
use umbertray_http::server::{Request, RequestEvent, RequestReader};
use umbertray_http_api::{ClientId, FinalResponse, RequestError};
use umbertray_lifecycle::check::{check, observe};
use umbertray_lifecycle::connection::{self, Obligation, Peer};
use umbertray_lifecycle::limits::HOLD_UP;
use umbertray_lifecycle::reason::{CloseReason, RefusalReason, Violation};
use umbertray_lifecycle::{Decision, Timeouts};
use umbertray_socket::Socket;

use crate::event_loop::EventLoop;

/// The result of a future that is ready already.
pub(crate) async fn if_ready<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = unconstrained(future) => Some(value),
        () = ready(()) => None,
    }
}

/// An operation that waits for its final response. Dropping it before that reports its client as disconnected.
///
/// Hazard: an attempt for a client that has disconnected must not start any more, whatever ends the wait.
struct PendingOp {
    event_loop: Rc<EventLoop>,
    /// The request id, as the client wrote it.
    id: Box<str>,
    /// When it was submitted, whole. Slow clients write for longer than they wait.
    submitted_at: Instant,
    /// How long its client waits.
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

/// What the response to the request that was read will be.
enum OwnResponse {
    /// Not known: the operation may have been executed.
    Nothing,
    /// That of a health check, by its status.
    Health(u16),
    /// An operation's final response.
    Final(FinalResponse),
    /// An error.
    Error(RequestError, RefusalReason),
}

/// One client's connection.
pub(crate) struct ClientConnection {
    event_loop: Rc<EventLoop>,
    id: u64,
    stream: Socket,
    demand_raised: Rc<Notify>,
    state: ConnectionState,
    requests: RequestReader,
    /// What was found behind a request before its response was written.
    read_ahead: Option<Result<RequestEvent, Malformed>>,
    /// The request that was read whole, until it is submitted.
    request: Option<Request>,
    op: Option<PendingOp>,
    own_response: OwnResponse,
    /// When the first byte of the request was read that is next, or open.
    request_started_at: Duration,
    state_since: Instant,
    /// When the last part of a request began to be waited for.
    reading_since: Instant,
    /// When the time for the state is over.
    state_deadline: Instant,
    /// What was owed before the last step.
    owed_before: Obligation,
    /// What the client did at the last step.
    peer: Peer,
    /// Why the connection ends, once it does.
    close_reason: Option<CloseReason>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.event_loop.clients.remove(self.id);
    }
}

impl ClientConnection {
    /// A connection that was accepted, to be served or, with `reject`, to be rejected.
    pub(crate) fn new(event_loop: Rc<EventLoop>, id: u64, stream: Socket, reject: bool) -> ClientConnection {
        let demand_raised = Rc::new(Notify::new());
        event_loop.clients.insert(id, demand_raised.clone());
        let limits = event_loop.limits();
        let timeouts = limits.timeouts;
        let first_request = if reject { timeouts.first_request_rejecting } else { timeouts.first_request };
        let now = Instant::now();
        ClientConnection {
            event_loop,
            id,
            stream,
            demand_raised,
            state: ConnectionState::new(reject),
            requests: RequestReader::new(limits.http),
            read_ahead: None,
            request: None,
            op: None,
            own_response: OwnResponse::Nothing,
            request_started_at: Duration::ZERO,
            state_since: now,
            reading_since: now,
            state_deadline: now + first_request,
            owed_before: Obligation::None,
            peer: Peer::Open,
            close_reason: None,
        }
    }

    /// Serves the connection to its end.
    pub(crate) async fn serve(mut self) {
        let mut step = NextStep::Read;
        loop {
            let event = match step {
                NextStep::Read => self.read().await,
                NextStep::ReadAvailable => self.read_available().await,
                NextStep::AwaitResponse => self.await_response().await,
                NextStep::Write { response, last } => self.respond(response, last).await,
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
        self.owed_before = before.obligation();
        self.peer = match event {
            Event::PeerClosed => Peer::Closed,
            Event::WriteFailed => Peer::NotReading,
            _ => Peer::Open,
        };
        let state = self.state.state();
        let has_changed = state != before;
        if has_changed {
            self.on_state_entered(state);
            tracing::debug!(connection_id = self.id, from = ?before, to = ?state, on = ?event, "connection state changed");
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
            // The first request has the time that runs already, where that is shorter.
            State::ReadingRequest { served_before: false } => {
                self.state_deadline.min(self.request_read_deadline(now))
            }
            State::AwaitingFirstRequest
            | State::AwaitingResponse { .. }
            | State::WritingResponse { .. }
            | State::Closed => self.state_deadline,
        };
    }

    /// When the request whose first byte was read has to be whole.
    ///
    /// Hazard: that byte may have been read long ago, behind a request that was open; what the client has sent since may
    /// still be on its way through a window that was shut.
    fn request_read_deadline(&self, now: Instant) -> Instant {
        let started_at = self.event_loop.clock.instant(self.request_started_at);
        (started_at + self.event_loop.limits().timeouts.request_read).max(now + HOLD_UP)
    }

    /// An idle connection goes by the limits in force, one without a request by the stricter ones. A request that has begun
    /// keeps its time.
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

    /// Counts and logs why the connection closes, and checks that it may.
    fn on_closed(&self) {
        let reason = self.close_reason.unwrap_or(CloseReason::PeerClosed);
        self.check(connection::may_close(self.owed_before, self.peer));
        self.event_loop.counters.count(reason);
        tracing::debug!(connection_id = self.id, %reason, "connection closed");
    }

    fn check(&self, decision: Decision<Violation>) {
        check(&self.event_loop.counters, decision, |violation| {
            tracing::error!(connection_id = self.id, %violation, "lifecycle rule violated");
        });
    }

    fn observe(&self, request_id: &str, decision: Decision<Violation>) {
        observe(&self.event_loop.counters, decision, |violation| {
            tracing::warn!(connection_id = self.id, request_id, %violation, "lifecycle rule violated");
        });
    }

    fn demand(&self) -> CloseDemand {
        demand(&self.event_loop, self.id)
    }

    /// Returns once a greater demand is made of this connection than its state knows of.
    fn greater_demand(&self) -> impl Future<Output = ()> + use<> {
        let event_loop = self.event_loop.clone();
        let demand_raised = self.demand_raised.clone();
        let id = self.id;
        let known = self.state.demand();
        async move {
            let mut phases = event_loop.phases();
            while demand(&event_loop, id) <= known {
                tokio::select! {
                    _ = phases.changed() => {}
                    () = demand_raised.notified() => {}
                }
            }
        }
    }
}

fn demand(event_loop: &EventLoop, id: u64) -> CloseDemand {
    let of_all = if event_loop.is_closing() { CloseDemand::Graceful } else { CloseDemand::None };
    event_loop.clients.demand(id).max(of_all)
}
