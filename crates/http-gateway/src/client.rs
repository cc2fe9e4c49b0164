//! Clients' connections, one task each: a request at a time, in order. What is done next, and when a connection may
//! end, [`ConnectionState`] says; here its bytes are moved.

use std::future::ready;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::sync::{Notify, oneshot};
use tokio::task::{unconstrained, yield_now};
use tokio::time::{timeout, timeout_at};
use umbertray_http::Malformed;
use umbertray_http::connection::{CloseDemand, ConnectionState, Event, NextStep, Response, State};
use umbertray_http::server::{self, Request, RequestEvent, RequestReader};
use umbertray_http_api::{ClientId, FinalResponse, RequestError, fields};
use umbertray_lifecycle::check::{check, observe};
use umbertray_lifecycle::connection::{self, Obligation, Peer};
use umbertray_lifecycle::limits::HOLD_UP;
use umbertray_lifecycle::reason::{CloseReason, RefusalReason, Violation};
use umbertray_lifecycle::{Decision, Timeouts, request};
use umbertray_socket::Socket;

use crate::event_loop::EventLoop;
use crate::response::{refusal, refused, rendered};

/// The status of a request that has the id of an open one.
const DUPLICATE_ID: u16 = 409;

/// What is there already.
pub async fn if_ready<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = unconstrained(future) => Some(value),
        () = ready(()) => None,
    }
}

/// An op that waits for its answer. Hazard: an op whose client has left must not begin any more; whatever ends the
/// wait before the answer, dropping this tells so.
struct PendingOp {
    event_loop: Rc<EventLoop>,
    /// As its client named it.
    id: Box<str>,
    /// When it was handed on, whole, and how long its client waits. Slow clients write for longer than that.
    submitted_at: Instant,
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

/// What [`Response::Own`] or [`Response::Refusal`] will say.
enum OwnResponse {
    Nothing,
    Health(u16),
    Final(FinalResponse),
    Error(RequestError, RefusalReason),
}

pub struct ClientConnection {
    event_loop: Rc<EventLoop>,
    id: u64,
    stream: Socket,
    demand_raised: Rc<Notify>,
    state: ConnectionState,
    requests: RequestReader,
    /// What was found behind a request before its answer was written.
    read_ahead: Option<Result<RequestEvent, Malformed>>,
    /// The request that was read whole, until it is handed on.
    request: Option<Request>,
    op: Option<PendingOp>,
    own_response: OwnResponse,
    /// When the first byte of the request that is next, or now open, was read.
    request_started_at: Duration,
    /// When the state it is in began, when the last part of a request began to be waited for, and when the time for the
    /// state is over.
    state_since: Instant,
    reading_since: Instant,
    state_deadline: Instant,
    /// What was owed before the last step, and what the client did at it.
    owed_before: Obligation,
    peer: Peer,
    /// Why the connection comes to its end, once it does.
    close_reason: Option<CloseReason>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.event_loop.clients.remove(self.id);
    }
}

impl ClientConnection {
    pub fn new(event_loop: Rc<EventLoop>, id: u64, stream: Socket, reject: bool) -> ClientConnection {
        let demand_raised = Rc::new(Notify::new());
        event_loop.clients.insert(id, demand_raised.clone());
        let timeouts = &event_loop.limits().timeouts;
        let state_since = Instant::now();
        let state_deadline =
            state_since + if reject { timeouts.first_request_rejecting } else { timeouts.first_request };
        let (state, requests) = (ConnectionState::new(reject), RequestReader::new(event_loop.limits().http));
        let (read_ahead, request, op, own_response, request_started_at) =
            (None, None, None, OwnResponse::Nothing, Duration::ZERO);
        ClientConnection {
            event_loop,
            id,
            stream,
            demand_raised,
            state,
            requests,
            read_ahead,
            request,
            op,
            own_response,
            request_started_at,
            state_since,
            reading_since: state_since,
            state_deadline,
            owed_before: Obligation::None,
            peer: Peer::Open,
            close_reason: None,
        }
    }

    pub async fn serve(mut self) {
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
            step = self.on(event);
        }
    }

    fn on(&mut self, event: Event) -> NextStep {
        self.state.raise_demand(self.demand());
        let before = self.state.state();
        let step = self.state.on_event(event);
        self.owed_before = before.obligation();
        self.peer = match event {
            Event::PeerClosed => Peer::Closed,
            Event::WriteFailed => Peer::NotReading,
            _ => Peer::Open,
        };
        let (state, bounds, now) = (self.state.state(), self.event_loop.limits(), Instant::now());
        if state != before {
            self.state_since = now;
            if matches!(state, State::ReadingRequest { .. }) {
                self.reading_since = now;
            }
            match state {
                State::Idle => self.state_deadline = now + bounds.timeouts.client_idle,
                State::ReadingRequest { served_before: true } => {
                    self.state_deadline = self.request_read_deadline(now)
                }
                State::LingeringClose => self.state_deadline = now + bounds.timeouts.linger,
                // The first request has the time that runs already, where that is shorter.
                State::ReadingRequest { served_before: false } => {
                    self.state_deadline = self.state_deadline.min(self.request_read_deadline(now))
                }
                State::AwaitingFirstRequest
                | State::AwaitingResponse { .. }
                | State::WritingResponse { .. }
                | State::Closed => {}
            }
        }
        if state != before {
            tracing::debug!(connection = self.id, from = ?before, to = ?state, on = ?event, "connection state");
        }
        self.close_reason = self.close_reason.or_else(|| self.state.close_reason(before, event, step));
        self.event_loop.clients.update(self.id, &self.state, state != before);
        step
    }

    /// Until when the request has to be whole whose first byte has been read. Hazard: it may have been read long ago,
    /// behind a request that was open; what its client has sent since may still be on its way through a window that
    /// was shut.
    fn request_read_deadline(&self, now: Instant) -> Instant {
        let begun = self.event_loop.clock.instant(self.request_started_at);
        (begun + self.event_loop.limits().timeouts.request_read).max(now + HOLD_UP)
    }

    /// An idle connection goes by the bounds in force, one without a request by the stricter ones. A request that has
    /// begun keeps its time.
    fn on_limits_changed(&mut self, state: State) {
        let Timeouts { client_idle, first_request, .. } = self.event_loop.limits().timeouts;
        match state {
            State::Idle => self.state_deadline = self.state_since + client_idle,
            State::AwaitingFirstRequest => {
                self.state_deadline = self.state_deadline.min(self.state_since + first_request)
            }
            _ => {}
        }
    }

    /// Counts and tells why the connection closes, and checks that it may.
    fn on_closed(&self) {
        let reason = self.close_reason.unwrap_or(CloseReason::PeerClosed);
        self.check(connection::may_close(self.owed_before, self.peer));
        self.event_loop.counters.count(reason);
        tracing::debug!(connection = self.id, %reason, "connection closed");
    }

    fn check(&self, decision: Decision<Violation>) {
        check(&self.event_loop.counters, decision, |violation| {
            tracing::error!(connection = self.id, %violation, "lifecycle rule violated");
        });
    }

    fn observe(&self, id: &str, decision: Decision<Violation>) {
        observe(&self.event_loop.counters, decision, |violation| {
            tracing::warn!(connection = self.id, id, %violation, "lifecycle rule violated");
        });
    }

    fn error_response(&self, refused: &RequestError, reason: RefusalReason) -> Bytes {
        self.event_loop.counters.count(reason);
        let RequestError { status, message: what } = refused;
        tracing::debug!(connection = self.id, status, what, %reason, "request refused");
        refusal(refused)
    }

    fn demand(&self) -> CloseDemand {
        demand(&self.event_loop, self.id)
    }

    /// Waits for a request. Cancelled nowhere: bytes that `fill` has read are in `requests` by then.
    async fn read(&mut self) -> Event {
        if let Some(event) = self.next_request().await {
            return event;
        }
        loop {
            if self.requests.has_begun() && !matches!(self.state.state(), State::ReadingRequest { .. }) {
                return Event::PartialRead;
            }
            let (mut changes, reading) = (self.event_loop.limits_changes(), self.state.state());
            let (until, demand_raised) = (self.state_deadline, self.demand_raised.clone());
            let raised = greater_demand(self.event_loop.clone(), self.id, demand_raised, self.state.demand());
            tokio::select! {
                biased;
                filled = timeout_at(until.into(), self.read_some()) => match filled {
                    Ok(true) => {}
                    Ok(false) => return Event::PeerClosed,
                    Err(_) => return Event::TimedOut,
                },
                () = raised => return Event::DemandChanged,
                _ = changes.changed() => self.on_limits_changed(reading),
            }
            if let Some(event) = self.next_request().await {
                return event;
            }
        }
    }

    /// What has come by now and was not read yet.
    async fn read_available(&mut self) -> Event {
        yield_now().await;
        match if_ready(self.read_some()).await {
            None => Event::NothingRead,
            Some(false) => Event::PeerClosed,
            Some(true) => self.next_request().await.unwrap_or(Event::PartialRead),
        }
    }

    async fn next_request(&mut self) -> Option<Event> {
        loop {
            match self.read_ahead.take().unwrap_or_else(|| self.requests.next_event()) {
                Ok(RequestEvent::More) => return None,
                Ok(RequestEvent::Continue) => _ = self.write(Bytes::from_static(server::CONTINUE)).await,
                Ok(RequestEvent::Request(request)) => {
                    let (op, persists) = (self.health_status(&request).is_none(), request.persists);
                    self.request = Some(request);
                    return Some(Event::RequestRead { op, persists });
                }
                Err(error) => {
                    self.own_response = OwnResponse::Error(refused(&error), RefusalReason::Malformed);
                    return Some(Event::RequestRefused);
                }
            }
        }
    }

    /// Reads what there is; false once the client has gone.
    async fn read_some(&mut self) -> bool {
        let fresh = !self.requests.has_begun();
        self.requests.bytes.reserve(self.event_loop.limits().http.head / 2);
        let read = self.stream.read_buf(&mut self.requests.bytes).await;
        if fresh {
            self.request_started_at = self.event_loop.clock.now();
        }
        matches!(read, Ok(1..))
    }

    /// Hands the request on and waits for its answer, or for its client's end.
    async fn await_response(&mut self) -> Event {
        if let Some(request) = self.request.take()
            && let Some(event) = self.submit(&request)
        {
            return event;
        }
        let Some(mut op) = self.op.take() else { return self.response_ready() };
        let reply = tokio::select! {
            biased;
            // The op is put back for who tells that its client left.
            () = self.client_disconnected() => None,
            reply = &mut op.response => Some(reply),
        };
        let Some(reply) = reply else {
            self.op = Some(op);
            return Event::PeerClosed;
        };
        let took = self.event_loop.clock.now().saturating_sub(self.request_started_at);
        // Hazard: without a word from the core it may have run.
        let reply = reply.unwrap_or(FinalResponse::Failed);
        tracing::debug!(connection = self.id, id = %op.id, client = ?op.client, ?took, %reply, "answered");
        self.observe(&op.id, request::answered_in_time(op.submitted_at.elapsed(), op.time_left));
        self.own_response = OwnResponse::Final(reply);
        self.response_ready()
    }

    /// Hazard: what is behind an error cannot be told to be a request; it is kept as it was found.
    fn response_ready(&mut self) -> Event {
        let ahead = self.read_ahead.take().unwrap_or_else(|| self.requests.next_event());
        let more = matches!(ahead, Ok(RequestEvent::Request(_)));
        self.read_ahead = (ahead != Ok(RequestEvent::More)).then_some(ahead);
        Event::ResponseReady { more }
    }

    /// What becomes of a request at once, if it needs no store.
    fn submit(&mut self, request: &Request) -> Option<Event> {
        if let Some(status) = self.health_status(request) {
            self.own_response = OwnResponse::Health(status);
            return Some(self.response_ready());
        }
        let ask = match self.event_loop.check(request) {
            Ok(ask) => ask,
            Err(refused) => {
                let duplicate = refused.status == DUPLICATE_ID;
                let reason =
                    if duplicate { RefusalReason::DuplicateId } else { RefusalReason::NotAnOperation };
                self.own_response = OwnResponse::Error(refused, reason);
                return Some(Event::RequestRefused);
            }
        };
        let (id, target, shard, left) = (ask.id.clone(), &request.target, ask.shard, ask.time_left);
        let (client, answer) = self.event_loop.submit(ask, self.request_started_at);
        tracing::debug!(connection = self.id, id, ?client, %target, shard, ?left, phase = ?self.event_loop.phase(), "taken");
        self.op = Some(PendingOp {
            event_loop: self.event_loop.clone(),
            id,
            submitted_at: Instant::now(),
            time_left: left,
            client,
            response: answer,
        });
        None
    }

    fn health_status(&self, request: &Request) -> Option<u16> {
        match (&*request.method, &*request.target) {
            ("GET", fields::READY) => Some(if self.event_loop.is_ready() { 200 } else { 503 }),
            ("GET", fields::LIVE) => Some(200),
            _ => None,
        }
    }

    /// Returns when the client has gone. What it sends meanwhile is read ahead up to a bound; beyond that only the end
    /// of its connection is waited for, which shows although there is more to be read: tokio's interest in what is
    /// urgent is woken by that, and not by bytes.
    async fn client_disconnected(&mut self) {
        while self.requests.bytes.len() < self.event_loop.limits().read_ahead {
            if !self.read_some().await {
                return;
            }
        }
        _ = self.stream.ready(Interest::PRIORITY).await;
    }

    async fn write(&mut self, bytes: Bytes) -> Event {
        let write = timeout(self.event_loop.limits().timeouts.response_write, self.stream.write_all(&bytes));
        let written = match self.state.demand() {
            // Others wait for its room; so few bytes go out at once, unless it has not read what it had before.
            CloseDemand::ForCapacity => if_ready(write).await,
            _ => Some(write.await),
        };
        if matches!(written, Some(Ok(Ok(())))) { Event::Written } else { Event::WriteFailed }
    }

    async fn respond(&mut self, response: Response, last: bool) -> Event {
        let own = std::mem::replace(&mut self.own_response, OwnResponse::Nothing);
        let bytes = match (response, own) {
            (Response::Rejection, _) => {
                let draining = self.close_reason == Some(CloseReason::Draining);
                let reason = if draining { RefusalReason::Draining } else { RefusalReason::NoCapacity };
                self.event_loop.counters.count(reason);
                let (open, demand) = (self.event_loop.clients.len(), self.state.demand());
                tracing::debug!(connection = self.id, open, ?demand, %reason, "request refused");
                rendered(&FinalResponse::Rejected { retry_after: self.event_loop.limits().retry_after }, last)
            }
            (Response::RequestTimeout, _) => {
                self.observe("", connection::bad_client_wait_holds(self.reading_since.elapsed()));
                let what = "the request did not come whole in its time".into();
                self.error_response(
                    &RequestError { status: 408, message: what },
                    RefusalReason::RequestReadTimeout,
                )
            }
            (_, OwnResponse::Error(refused, reason)) => self.error_response(&refused, reason),
            (_, OwnResponse::Health(status)) => server::response(status, &[], b"", last),
            (_, OwnResponse::Final(reply)) => rendered(&reply, last),
            (_, OwnResponse::Nothing) => rendered(&FinalResponse::Failed, last),
        };
        let event = self.write(bytes).await;
        if self.requests.bytes.is_empty() {
            self.requests.bytes = BytesMut::new();
        }
        event
    }

    /// Shuts, and passes over what still comes, so that the client can read what was written. What is there is read
    /// first, also where room is wanted.
    async fn linger(&mut self) -> Event {
        _ = self.stream.shutdown().await;
        let (demand_raised, demand) = (self.demand_raised.clone(), self.state.demand());
        let raised = greater_demand(self.event_loop.clone(), self.id, demand_raised, demand);
        let mut passed_over = [0; 4096];
        let drain = async { while matches!(self.stream.read(&mut passed_over).await, Ok(1..)) {} };
        tokio::select! {
            biased;
            drained = timeout_at(self.state_deadline.into(), drain) => match drained {
                Ok(()) => Event::PeerClosed,
                Err(_) => Event::TimedOut,
            },
            () = ready(()), if demand == CloseDemand::ForCapacity => Event::DemandChanged,
            () = raised => Event::DemandChanged,
        }
    }
}

fn demand(hub: &EventLoop, id: u64) -> CloseDemand {
    hub.clients.demand(id).max(if hub.is_closing() { CloseDemand::Graceful } else { CloseDemand::None })
}

/// Returns once a greater demand is made of a connection than it knows of.
async fn greater_demand(hub: Rc<EventLoop>, id: u64, demand_raised: Rc<Notify>, known: CloseDemand) {
    let mut phases = hub.phases();
    while demand(&hub, id) <= known {
        tokio::select! {
            _ = phases.changed() => {}
            () = demand_raised.notified() => {}
        }
    }
}
