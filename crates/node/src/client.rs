//! Clients' connections, one task each: a request at a time, in order.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::{pending, ready};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{unconstrained, yield_now};
use tokio::time::{sleep, timeout, timeout_at};
use umbertray_http::Malformed;
use umbertray_http::server::{self, Next, Request, Requests};
use umbertray_platform::{Refused, Reply, words};

use crate::bounds::Bounds;
use crate::hub::{Hub, Phase};

/// What a connection is at; the smaller, the sooner it is closed where room is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// No whole request has come yet.
    Unheard(Instant),
    Idle(Instant),
    Busy,
}

/// Whether there is room for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stay {
    Welcome,
    /// Room is wanted: it ends after what it has asked by now.
    Asked,
    /// There was none when it came: it is told when to come back.
    TurnedAway,
}

struct Guest {
    standing: Standing,
    /// Asked to make room, once.
    asked: bool,
    ask: Rc<Notify>,
}

/// The connections that are open.
#[derive(Default)]
pub struct Guests {
    open: RefCell<BTreeMap<u64, Guest>>,
    /// One has ended, or stands otherwise.
    changed: Notify,
}

impl Guests {
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub async fn empty(&self) {
        self.until(|open| open.is_empty()).await;
    }

    /// Returns once no whole request waits for its answer.
    pub async fn answered(&self) {
        self.until(|open| open.values().all(|guest| guest.standing != Standing::Busy)).await;
    }

    async fn until(&self, so: impl Fn(&BTreeMap<u64, Guest>) -> bool) {
        loop {
            let changed = self.changed.notified();
            if so(&self.open.borrow()) {
                return;
            }
            changed.await;
        }
    }

    fn at(&self, id: u64, standing: Standing) {
        if let Some(guest) = self.open.borrow_mut().get_mut(&id) {
            guest.standing = standing;
        }
        self.changed.notify_waiters();
    }

    /// Asks the connection that is missed least to end, and waits for what it does; false where there is none to ask.
    /// Danger: a request may lie unread in it; only its own task can tell.
    async fn make_room(&self) -> bool {
        let least = {
            let mut open = self.open.borrow_mut();
            let may_go = |guest: &Guest| !guest.asked && guest.standing != Standing::Busy;
            let able = open.iter_mut().filter(|(_, guest)| may_go(guest));
            able.min_by_key(|(_, guest)| guest.standing).map(|(id, guest)| {
                guest.asked = true;
                guest.ask.notify_one();
                *id
            })
        };
        let Some(id) = least else { return false };
        self.until(|open| open.get(&id).is_none_or(|guest| guest.standing == Standing::Busy)).await;
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
            // Out of descriptors, most likely: trying at once would spin.
            Err(error) => {
                tracing::warn!(%error, "no client accepted");
                if !hub.guests.make_room().await {
                    sleep(hub.bounds.connect).await;
                }
                continue;
            }
        };
        let (own, ask, begun) = (hub.clone(), Rc::new(Notify::new()), Duration::ZERO);
        let stay = if hub.guests.room(&hub.bounds).await { Stay::Welcome } else { Stay::TurnedAway };
        _ = stream.set_nodelay(true);
        let standing = Standing::Unheard(Instant::now());
        hub.guests.open.borrow_mut().insert(id, Guest { standing, asked: false, ask: ask.clone() });
        let client = Client { hub: hub.clone(), id, stream, ask, stay, heard: false, begun };
        tokio::task::spawn_local(async move {
            client.serve().await;
            own.guests.open.borrow_mut().remove(&id);
            own.guests.changed.notify_waiters();
        });
    }
}

struct Client {
    hub: Rc<Hub>,
    id: u64,
    stream: TcpStream,
    /// Room is wanted.
    ask: Rc<Notify>,
    stay: Stay,
    /// A whole request has come.
    heard: bool,
    /// When the first byte of the request that is next, or now open, was read.
    begun: Duration,
}

impl Client {
    async fn serve(mut self) {
        let mut requests = Requests::new(self.hub.bounds.http);
        let bounds = self.hub.bounds;
        let first = if self.stay == Stay::TurnedAway { bounds.connect } else { bounds.speak };
        let mut patience = Instant::now() + first;
        loop {
            match self.next(&mut requests, patience).await {
                Ok(None) => return self.part().await,
                Err(refused) => return self.refuse(refused).await,
                Ok(Some(request)) => {
                    self.heard = true;
                    self.hub.guests.at(self.id, Standing::Busy);
                    let persists = match self.answer(&mut requests, request).await {
                        Ok(Some(persists)) => persists,
                        Ok(None) => return,
                        Err(refused) => return self.refuse(refused).await,
                    };
                    if !persists {
                        return self.linger().await;
                    }
                    if requests.bytes.is_empty() {
                        requests.bytes = BytesMut::new();
                    }
                    self.hub.guests.at(self.id, Standing::Idle(Instant::now()));
                    patience = Instant::now() + bounds.client_idle;
                }
            }
        }
    }

    /// The next request; nothing, if the client has gone or said nothing for too long.
    async fn next(&mut self, requests: &mut Requests, patience: Instant) -> Result<Option<Request>, Refused> {
        let mut phases = self.hub.phases();
        let mut part: Option<Instant> = None;
        loop {
            match requests.request().map_err(|error| refused(&error))? {
                Next::Request(request) => return Ok(Some(request)),
                Next::Continue => self.write(Bytes::from_static(server::CONTINUE)).await.unwrap_or_default(),
                Next::More => {}
            }
            if self.stay == Stay::Asked {
                match self.last_look(requests).await {
                    true => continue,
                    false => return Ok(None),
                }
            }
            // Danger: who connected and has asked nothing yet is about to, and finds no listener any more.
            let stays = requests.begun() || !self.heard;
            let begun = requests.begun();
            if begun && part.is_none() {
                part = Some(patience.min(Instant::now() + self.hub.bounds.speak));
            }
            let closing = async {
                match stays {
                    true => pending().await,
                    false => _ = phases.wait_for(|phase| *phase == Phase::Closing).await,
                }
            };
            let ask = self.ask.clone();
            let read = self.read(requests);
            let read = tokio::select! {
                biased;
                read = timeout_at(part.unwrap_or(patience).into(), read) => Some(read),
                () = closing => None,
                () = ask.notified() => {
                    self.stay = Stay::Asked;
                    continue;
                }
            };
            let Some(read) = read else {
                match self.last_look(requests).await {
                    true => continue,
                    false => return Ok(None),
                }
            };
            match read {
                Ok(Some(())) => {}
                Ok(None) => return Ok(None),
                Err(_) if begun => {
                    return Err(Refused {
                        status: 408,
                        what: "the request did not come whole in its time".into(),
                    });
                }
                Err(_) => return Ok(None),
            }
        }
    }

    /// Before a connection is closed between requests: whether another has come that was not read yet.
    async fn last_look(&mut self, requests: &mut Requests) -> bool {
        yield_now().await;
        at_once(self.read(requests)).await.flatten().is_some()
    }

    /// Reads what there is; nothing once the client has gone.
    async fn read(&mut self, requests: &mut Requests) -> Option<()> {
        let fresh = !requests.begun();
        requests.bytes.reserve(self.hub.bounds.http.head / 2);
        let read = self.stream.read_buf(&mut requests.bytes).await;
        if fresh {
            self.begun = self.hub.clock.now();
        }
        matches!(read, Ok(1..)).then_some(())
    }

    /// Answers one request and tells whether the connection is of further use; nothing, if the client has gone.
    async fn answer(&mut self, requests: &mut Requests, request: Request) -> Result<Option<bool>, Refused> {
        let persists = request.persists;
        if let Some(status) = self.health(&request) {
            let bytes = server::answer(status, &[], b"", !self.stays(persists));
            return Ok(self.write(bytes).await.map(|()| self.stays(persists)));
        }
        let ask = self.hub.check(&request)?;
        if self.stay == Stay::TurnedAway {
            return Ok(self.turn_away().await.map(|()| false));
        }
        let (id, target, shard, left) = (ask.id.clone(), request.target, ask.shard, ask.left);
        tracing::debug!(id, %target, shard, ?left, phase = ?self.hub.phase(), "taken");
        let (client, mut answered) = self.hub.ask(ask, self.begun);
        let reply = tokio::select! {
            reply = &mut answered => reply,
            () = self.gone(requests) => {
                tracing::debug!(id, "client left");
                self.hub.left(client);
                return Ok(None);
            }
        };
        let Ok(reply) = reply else { return Ok(None) };
        let took = self.hub.clock.now().saturating_sub(self.begun);
        tracing::debug!(id, %target, shard, ?left, ?took, %reply, "answered");
        let bytes = rendered(&reply, !self.stays(persists));
        Ok(self.write(bytes).await.map(|()| self.stays(persists)))
    }

    fn stays(&self, persists: bool) -> bool {
        persists && self.stay == Stay::Welcome && !self.hub.closing()
    }

    fn health(&self, request: &Request) -> Option<u16> {
        match (&*request.method, &*request.target) {
            ("GET", words::READY) => Some(if self.hub.ready() { 200 } else { 503 }),
            ("GET", words::LIVE) => Some(200),
            _ => None,
        }
    }

    /// Returns when the client has gone. What it sends meanwhile is read ahead up to a bound; beyond that only the end
    /// of its connection is looked for, which shows although there is more to be read.
    async fn gone(&mut self, requests: &mut Requests) {
        loop {
            if requests.bytes.len() < self.hub.bounds.ahead {
                if self.read(requests).await.is_none() {
                    return;
                }
                continue;
            }
            match self.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(self.hub.bounds.connect).await,
                _ => return,
            }
        }
    }

    async fn write(&mut self, bytes: Bytes) -> Option<()> {
        timeout(self.hub.bounds.speak, self.stream.write_all(&bytes)).await.ok()?.ok()
    }

    async fn turn_away(&mut self) -> Option<()> {
        tracing::debug!(open = self.hub.guests.len(), stay = ?self.stay, "client turned away");
        let reply = Reply::Throttled { retry_after: self.hub.bounds.retry_after };
        self.write(rendered(&reply, true)).await
    }

    /// Ends a connection that nothing more is read from. Danger: the first request of one that there is no room for may
    /// be on its way.
    async fn part(&mut self) {
        if self.stay == Stay::Welcome || self.heard || self.turn_away().await.is_none() {
            return;
        }
        match self.stay {
            // Its room is waited for.
            Stay::Asked => _ = self.stream.shutdown().await,
            _ => self.linger().await,
        }
    }

    async fn refuse(&mut self, Refused { status, what }: Refused) {
        tracing::debug!(status, what, "request refused");
        self.hub.guests.at(self.id, Standing::Busy);
        let body = format!("{what}\n");
        let kind: (&str, &[u8]) = ("Content-Type", b"text/plain");
        if self.write(server::answer(status, &[kind], body.as_bytes(), true)).await.is_some() {
            self.linger().await;
        }
    }

    /// Closes so that the client can read what was written: bytes of its that were not read would take that from it.
    /// Where room is wanted, it has had its time to.
    async fn linger(&mut self) {
        self.hub.guests.at(self.id, Standing::Unheard(Instant::now()));
        let mut passed_over = [0; 4096];
        let drain = async {
            _ = self.stream.shutdown().await;
            while matches!(self.stream.read(&mut passed_over).await, Ok(1..)) {}
        };
        tokio::select! {
            _ = timeout(self.hub.bounds.linger, drain) => {}
            () = self.ask.notified() => {}
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
