//! Clients' connections, one task each: a request at a time, in order. What is done next, and when a connection may
//! end, [`Serving`] says; here its bytes are moved.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::ready;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::{unconstrained, yield_now};
use tokio::time::{sleep, timeout, timeout_at};
use umbertray_http::Malformed;
use umbertray_http::server::{self, Next, Request, Requests};
use umbertray_http::serving::{Answer, Event, Owed, Serving, State, Todo, Wanted};
use umbertray_platform::{ClientId, Refused, Reply, words};

use crate::bounds::Bounds;
use crate::hub::{Hub, Phase};

/// An open connection, as others see it.
struct Connection {
    owed: Owed,
    /// A whole request has come.
    heard: bool,
    /// Since when it is at this.
    since: Instant,
    wanted: Wanted,
    /// `wanted` has changed.
    told: Rc<Notify>,
}

impl Connection {
    /// Of those that may go for room the least is missed least: who has asked nothing yet, then who was answered long
    /// ago, whether its connection rests or is shut.
    fn missed(&self) -> Option<(bool, Instant)> {
        (self.owed != Owed::Answer && self.wanted < Wanted::Room)
            .then_some((self.heard || self.owed == Owed::Parting, self.since))
    }
}

/// The connections that are open.
pub struct Guests {
    open: RefCell<BTreeMap<u64, Connection>>,
    /// What is wanted of all.
    wanted: Cell<Wanted>,
    /// One has ended, or stands otherwise.
    changed: Notify,
}

impl Default for Guests {
    fn default() -> Guests {
        Guests { open: RefCell::default(), wanted: Cell::new(Wanted::Nothing), changed: Notify::new() }
    }
}

impl Guests {
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub async fn empty(&self) {
        self.until(|open| open.is_empty()).await;
    }

    /// Ends all that have sent no whole request, and returns once no other waits for its answer.
    pub async fn answered(&self) {
        self.wanted.set(Wanted::End);
        self.open.borrow().values().for_each(|connection| connection.told.notify_one());
        self.until(|open| open.values().all(|connection| connection.owed == Owed::Parting)).await;
    }

    async fn until(&self, so: impl Fn(&BTreeMap<u64, Connection>) -> bool) {
        loop {
            let changed = self.changed.notified();
            if so(&self.open.borrow()) {
                return;
            }
            changed.await;
        }
    }

    fn wanted(&self, id: u64) -> Wanted {
        self.open
            .borrow()
            .get(&id)
            .map_or(Wanted::Nothing, |connection| connection.wanted)
            .max(self.wanted.get())
    }

    /// Asks the connection that is missed least to end, and waits for what it does; false where there is none to ask.
    /// Danger: a request may lie unread in it; only its own task can tell. That waits for nobody then.
    async fn make_room(&self) -> bool {
        let least = {
            let mut open = self.open.borrow_mut();
            let able =
                open.iter_mut().filter_map(|(id, connection)| Some((connection.missed()?, *id, connection)));
            able.min_by_key(|(missed, id, _)| (*missed, *id)).map(|(_, id, connection)| {
                connection.wanted = Wanted::Room;
                connection.told.notify_one();
                id
            })
        };
        let Some(id) = least else { return false };
        self.until(|open| open.get(&id).is_none_or(|connection| connection.wanted < Wanted::Room)).await;
        true
    }

    /// Waits until one more connection can be had; false if only to be turned away.
    async fn room(&self, bounds: &Bounds) -> bool {
        loop {
            let changed = self.changed.notified();
            if self.len() < bounds.clients {
                return true;
            }
            if self.make_room().await {
                continue;
            }
            if self.len() < bounds.clients + bounds.turned_away {
                return false;
            }
            changed.await;
        }
    }
}

/// What is there already.
async fn at_once<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = unconstrained(future) => Some(value),
        () = ready(()) => None,
    }
}

/// Takes new connections until the gateway closes. Danger: those that the system has accepted by then are reset with
/// the listener, their requests lost.
pub async fn accept(hub: Rc<Hub>, listener: TcpListener) {
    let mut phases = hub.phases();
    for id in 0.. {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => Some(accepted),
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => {
                yield_now().await;
                at_once(listener.accept()).await
            }
        };
        let Some(accepted) = accepted else { return };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            // The client's doing: nobody has to go for it.
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
            // Out of descriptors, most likely: trying at once would spin.
            Err(error) => {
                tracing::warn!(%error, "no client accepted");
                if !hub.guests.make_room().await {
                    sleep(hub.bounds.connect).await;
                }
                continue;
            }
        };
        let turned_away = !hub.guests.room(&hub.bounds).await;
        _ = stream.set_nodelay(true);
        let client = Client::new(hub.clone(), id, stream, turned_away);
        tokio::task::spawn_local(client.serve());
    }
}

/// An op that waits for its answer. Danger: an op whose client has left must not begin any more; whatever ends the
/// wait before the answer, dropping this tells so.
struct Op {
    hub: Rc<Hub>,
    client: ClientId,
    answer: oneshot::Receiver<Reply>,
}

impl Drop for Op {
    fn drop(&mut self) {
        if !self.answer.is_terminated() {
            self.hub.left(self.client);
        }
    }
}

/// What [`Answer::Own`] or [`Answer::Refusal`] will say.
enum Own {
    Nothing,
    Health(u16),
    Reply(Reply),
    Refused(Refused),
}

struct Client {
    hub: Rc<Hub>,
    id: u64,
    stream: TcpStream,
    told: Rc<Notify>,
    serving: Serving,
    requests: Requests,
    /// What was found behind a request before its answer was written.
    ahead: Option<Result<Next, Malformed>>,
    /// The request that was read whole, until it is handed on.
    request: Option<Request>,
    op: Option<Op>,
    own: Own,
    /// When the first byte of the request that is next, or now open, was read.
    begun: Duration,
    /// When the time for what is done now is over.
    until: Instant,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.hub.guests.open.borrow_mut().remove(&self.id);
        self.hub.guests.changed.notify_waiters();
    }
}

impl Client {
    fn new(hub: Rc<Hub>, id: u64, stream: TcpStream, turned_away: bool) -> Client {
        let (told, since) = (Rc::new(Notify::new()), Instant::now());
        let connection = Connection {
            owed: Owed::Nothing,
            heard: false,
            since,
            wanted: Wanted::Nothing,
            told: told.clone(),
        };
        hub.guests.open.borrow_mut().insert(id, connection);
        let until = since + if turned_away { hub.bounds.connect } else { hub.bounds.speak };
        let (serving, requests) = (Serving::new(turned_away), Requests::new(hub.bounds.http));
        let (ahead, request, op, own, begun) = (None, None, None, Own::Nothing, Duration::ZERO);
        Client { hub, id, stream, told, serving, requests, ahead, request, op, own, begun, until }
    }

    async fn serve(mut self) {
        let mut todo = Todo::Read;
        loop {
            let event = match todo {
                Todo::Read => self.read().await,
                Todo::Look => self.look().await,
                Todo::Take => self.take().await,
                Todo::Write { answer, last } => self.answer(answer, last).await,
                Todo::Part => self.part().await,
                Todo::Leave => {
                    tracing::debug!(id = self.id, "client left");
                    return drop(self.op.take());
                }
                Todo::Close => return,
            };
            todo = self.on(event);
        }
    }

    fn on(&mut self, event: Event) -> Todo {
        self.serving.want(self.wanted());
        let before = self.serving.state();
        let todo = self.serving.on(event);
        let (state, bounds, now) = (self.serving.state(), &self.hub.bounds, Instant::now());
        if state != before {
            match state {
                State::Idle => self.until = now + bounds.client_idle,
                State::Part { heard: true } => self.until = now + bounds.speak,
                State::Parting => self.until = now + bounds.linger,
                // The first request is to come whole in the time that runs already.
                State::Part { heard: false } | State::Unheard => {}
                State::Busy { .. } | State::Writing { .. } | State::Ended => {}
            }
        }
        if let Some(connection) = self.hub.guests.open.borrow_mut().get_mut(&self.id) {
            if matches!(state, State::Idle | State::Parting) && state != before {
                connection.since = now;
            }
            connection.heard |= matches!(state, State::Busy { .. } | State::Idle);
            connection.owed = self.serving.owed();
            connection.wanted = self.serving.wanted();
        }
        self.hub.guests.changed.notify_waiters();
        todo
    }

    fn wanted(&self) -> Wanted {
        wanted(&self.hub, self.id)
    }

    /// Waits for a request. Cancelled nowhere: bytes that `fill` has read are in `requests` by then.
    async fn read(&mut self) -> Event {
        if let Some(event) = self.parsed().await {
            return event;
        }
        loop {
            if self.requests.begun() && !matches!(self.serving.state(), State::Part { .. }) {
                return Event::Half;
            }
            let (until, told) = (self.until, self.told.clone());
            let more_wanted = more_wanted(self.hub.clone(), self.id, told, self.serving.wanted());
            tokio::select! {
                biased;
                filled = timeout_at(until.into(), self.fill()) => match filled {
                    Ok(true) => {}
                    Ok(false) => return Event::Gone,
                    Err(_) => return Event::TimeUp,
                },
                () = more_wanted => return Event::Told,
            }
            if let Some(event) = self.parsed().await {
                return event;
            }
        }
    }

    /// What has come by now and was not read yet.
    async fn look(&mut self) -> Event {
        yield_now().await;
        match at_once(self.fill()).await {
            None => Event::Nothing,
            Some(false) => Event::Gone,
            Some(true) => self.parsed().await.unwrap_or(Event::Half),
        }
    }

    async fn parsed(&mut self) -> Option<Event> {
        loop {
            match self.ahead.take().unwrap_or_else(|| self.requests.request()) {
                Ok(Next::More) => return None,
                Ok(Next::Continue) => _ = self.write(Bytes::from_static(server::CONTINUE)).await,
                Ok(Next::Request(request)) => {
                    let (op, persists) = (self.health(&request).is_none(), request.persists);
                    self.request = Some(request);
                    return Some(Event::Whole { op, persists });
                }
                Err(error) => {
                    self.own = Own::Refused(refused(&error));
                    return Some(Event::Refused);
                }
            }
        }
    }

    /// Reads what there is; false once the client has gone.
    async fn fill(&mut self) -> bool {
        let fresh = !self.requests.begun();
        self.requests.bytes.reserve(self.hub.bounds.http.head / 2);
        let read = self.stream.read_buf(&mut self.requests.bytes).await;
        if fresh {
            self.begun = self.hub.clock.now();
        }
        matches!(read, Ok(1..))
    }

    /// Hands the request on and waits for its answer, or for its client's end.
    async fn take(&mut self) -> Event {
        if let Some(request) = self.request.take()
            && let Some(event) = self.hand_on(&request)
        {
            return event;
        }
        let Some(mut op) = self.op.take() else { return self.answered() };
        let reply = tokio::select! {
            biased;
            // The op is put back for who tells that its client left.
            () = self.gone() => None,
            reply = &mut op.answer => Some(reply),
        };
        let Some(reply) = reply else {
            self.op = Some(op);
            return Event::Gone;
        };
        let took = self.hub.clock.now().saturating_sub(self.begun);
        // Danger: without a word from the core it may have run.
        let reply = reply.unwrap_or(Reply::Aborted);
        tracing::debug!(id = self.id, client = ?op.client, ?took, %reply, "answered");
        self.own = Own::Reply(reply);
        self.answered()
    }

    /// Danger: what is behind an error cannot be told to be a request; it is kept as it was found.
    fn answered(&mut self) -> Event {
        let ahead = self.ahead.take().unwrap_or_else(|| self.requests.request());
        let more = matches!(ahead, Ok(Next::Request(_)));
        self.ahead = (ahead != Ok(Next::More)).then_some(ahead);
        Event::Answered { more }
    }

    /// What becomes of a request at once, if it needs no store.
    fn hand_on(&mut self, request: &Request) -> Option<Event> {
        if let Some(status) = self.health(request) {
            self.own = Own::Health(status);
            return Some(self.answered());
        }
        let ask = match self.hub.check(request) {
            Ok(ask) => ask,
            Err(refused) => {
                self.own = Own::Refused(refused);
                return Some(Event::Refused);
            }
        };
        let (id, target, shard, left) = (ask.id.clone(), &request.target, ask.shard, ask.left);
        let (client, answer) = self.hub.ask(ask, self.begun);
        tracing::debug!(id, ?client, %target, shard, ?left, phase = ?self.hub.phase(), "taken");
        self.op = Some(Op { hub: self.hub.clone(), client, answer });
        None
    }

    fn health(&self, request: &Request) -> Option<u16> {
        match (&*request.method, &*request.target) {
            ("GET", words::READY) => Some(if self.hub.ready() { 200 } else { 503 }),
            ("GET", words::LIVE) => Some(200),
            _ => None,
        }
    }

    /// Returns when the client has gone. What it sends meanwhile is read ahead up to a bound; beyond that only the end
    /// of its connection is waited for, which shows although there is more to be read: tokio's interest in what is
    /// urgent is woken by that, and not by bytes.
    async fn gone(&mut self) {
        while self.requests.bytes.len() < self.hub.bounds.ahead {
            if !self.fill().await {
                return;
            }
        }
        _ = self.stream.ready(Interest::PRIORITY).await;
    }

    async fn write(&mut self, bytes: Bytes) -> Event {
        let write = timeout(self.hub.bounds.speak, self.stream.write_all(&bytes));
        let written = match self.serving.wanted() {
            // Others wait for its room; so few bytes go out at once, unless it has not read what it had before.
            Wanted::Room => at_once(write).await,
            _ => Some(write.await),
        };
        if matches!(written, Some(Ok(Ok(())))) { Event::Written } else { Event::Unwritten }
    }

    async fn answer(&mut self, answer: Answer, last: bool) -> Event {
        let own = std::mem::replace(&mut self.own, Own::Nothing);
        let bytes = match (answer, own) {
            (Answer::TurnAway, _) => {
                tracing::debug!(open = self.hub.guests.len(), wanted = ?self.serving.wanted(), "client turned away");
                rendered(&Reply::Throttled { retry_after: self.hub.bounds.retry_after }, last)
            }
            (Answer::TooSlow, _) => {
                refusal(&Refused { status: 408, what: "the request did not come whole in its time".into() })
            }
            (_, Own::Refused(refused)) => refusal(&refused),
            (_, Own::Health(status)) => server::answer(status, &[], b"", last),
            (_, Own::Reply(reply)) => rendered(&reply, last),
            (_, Own::Nothing) => rendered(&Reply::Aborted, last),
        };
        let event = self.write(bytes).await;
        if self.requests.bytes.is_empty() {
            self.requests.bytes = BytesMut::new();
        }
        event
    }

    /// Shuts, and passes over what still comes, so that the client can read what was written. What is there is read
    /// first, also where room is wanted.
    async fn part(&mut self) -> Event {
        _ = self.stream.shutdown().await;
        let (told, wanted) = (self.told.clone(), self.serving.wanted());
        let more_wanted = more_wanted(self.hub.clone(), self.id, told, wanted);
        let mut passed_over = [0; 4096];
        let drain = async { while matches!(self.stream.read(&mut passed_over).await, Ok(1..)) {} };
        tokio::select! {
            biased;
            drained = timeout_at(self.until.into(), drain) => match drained {
                Ok(()) => Event::Gone,
                Err(_) => Event::TimeUp,
            },
            () = ready(()), if wanted == Wanted::Room => Event::Told,
            () = more_wanted => Event::Told,
        }
    }
}

fn wanted(hub: &Hub, id: u64) -> Wanted {
    hub.guests.wanted(id).max(if hub.closing() { Wanted::Rest } else { Wanted::Nothing })
}

/// Returns once more is wanted of a connection than it knows of.
async fn more_wanted(hub: Rc<Hub>, id: u64, told: Rc<Notify>, known: Wanted) {
    let mut phases = hub.phases();
    while wanted(&hub, id) <= known {
        tokio::select! {
            _ = phases.changed() => {}
            () = told.notified() => {}
        }
    }
}

fn refused(error: &Malformed) -> Refused {
    Refused { status: error.status(), what: error.to_string() }
}

fn rendered(reply: &Reply, close: bool) -> Bytes {
    match reply {
        Reply::Acked { kind, body } => {
            let kind = kind.as_ref().map(|kind| ("Content-Type", &kind[..]));
            server::answer(200, kind.as_slice(), body, close)
        }
        Reply::Throttled { retry_after } => {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            server::answer(503, &[(words::RETRY_AFTER, seconds.as_bytes())], b"", close)
        }
        Reply::Aborted => server::answer(500, &[], b"", close),
    }
}

fn refusal(Refused { status, what }: &Refused) -> Bytes {
    tracing::debug!(status, what, "request refused");
    server::answer(*status, &[("Content-Type", b"text/plain")], format!("{what}\n").as_bytes(), true)
}
