//! Connections to stores: one request at a time on each, the latest used first.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, watch};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};
use umbertray_http::client::{self, ResponseReader};
use umbertray_http_api::{AttemptId, AttemptOutcome, StoreId, fields};
use umbertray_lifecycle::attempt::propagated_deadline_holds;
use umbertray_lifecycle::check::observe;
use umbertray_lifecycle::reason::StoreCloseReason;
use umbertray_lifecycle::{Counters, Decision, store_connection};
use umbertray_socket::Socket;

use crate::bounds::ResourceLimits;
use crate::event_loop::EventLoop;

#[derive(Default)]
struct Pool {
    /// In the order in which they were put back.
    idle: Vec<(Socket, Instant)>,
    open: usize,
}

impl Pool {
    /// The one put back last of those that have been silent for so long. Danger: a second answer to what was asked
    /// before may come some milliseconds late; over a connection in use again it would be taken for another's.
    fn take_settled(&mut self, rest: Duration) -> Option<(Socket, Instant)> {
        let at =
            self.idle.iter().rposition(|(_, since)| store_connection::is_settled(since.elapsed(), rest))?;
        Some(self.idle.remove(at))
    }
}

/// All connections to stores, in use and idle.
pub struct StorePools {
    limits: Rc<watch::Sender<ResourceLimits>>,
    counters: Rc<Counters>,
    /// By where they lead: a store may move, and its connections do not.
    pools: RefCell<HashMap<SocketAddr, Pool>>,
    open: Cell<usize>,
    /// A connection came free, or room for one.
    capacity_freed: Notify,
}

/// A connection that is in use; dropped, it is closed and its room free.
struct PooledConnection<'a> {
    pools: &'a StorePools,
    address: SocketAddr,
    stream: Option<Socket>,
}

impl Drop for PooledConnection<'_> {
    fn drop(&mut self) {
        self.pools.on_closed(self.address, 1);
    }
}

impl StorePools {
    pub fn new(limits: Rc<watch::Sender<ResourceLimits>>, counters: Rc<Counters>) -> StorePools {
        StorePools {
            limits,
            counters,
            pools: RefCell::default(),
            open: Cell::new(0),
            capacity_freed: Notify::new(),
        }
    }

    fn limits(&self) -> ResourceLimits {
        *self.limits.borrow()
    }

    fn on_closed(&self, address: SocketAddr, connections: usize) {
        if connections == 0 {
            return;
        }
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&address) {
            pool.open -= connections;
            if pool.open == 0 {
                pools.remove(&address);
            }
        }
        self.open.set(self.open.get() - connections);
        self.capacity_freed.notify_waiters();
    }

    /// The connection used last of those that have rested. Danger: what can be read while nothing was asked is the end
    /// of the connection or an answer to something else; either way it is of no further use.
    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection<'_>> {
        let mut spoilt = 0;
        let stream = loop {
            let rested = self
                .pools
                .borrow_mut()
                .get_mut(&address)
                .and_then(|pool| pool.take_settled(self.limits().timeouts.reuse_delay));
            let Some((stream, since)) = rested else { break None };
            let Err(reason) = self.may_reuse(&stream, since) else { break Some(stream) };
            self.record_idle_close(address, reason, since.elapsed());
            spoilt += 1;
        };
        self.on_closed(address, spoilt);
        stream.map(|stream| PooledConnection { pools: self, address, stream: Some(stream) })
    }

    /// Until one of those that stand idle has rested.
    async fn until_settled(&self, address: SocketAddr) {
        let oldest = self.pools.borrow().get(&address).and_then(|pool| Some(pool.idle.first()?.1));
        match oldest {
            Some(since) => sleep_until((since + self.limits().timeouts.reuse_delay).into()).await,
            None => pending().await,
        }
    }

    /// Room for a new connection, at the cost of one that stands idle at another store if need be.
    fn reserve(&self, address: SocketAddr) -> Option<PooledConnection<'_>> {
        if self.open.get() >= self.limits().store_connections {
            let longest = {
                let pools = self.pools.borrow();
                let firsts = pools.iter().filter_map(|(at, pool)| Some((pool.idle.first()?.1, *at)));
                firsts.min().map(|(_, at)| at)
            };
            let oldest =
                longest.and_then(|at| self.pools.borrow_mut().get_mut(&at).map(|pool| pool.idle.remove(0)));
            if let Some((_, since)) = &oldest {
                self.record_idle_close(longest?, StoreCloseReason::Evicted, since.elapsed());
            }
            self.on_closed(longest?, usize::from(oldest.is_some()));
        }
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address).or_default();
        if pool.open >= self.limits().single_store_connections {
            return None;
        }
        pool.open += 1;
        self.open.set(self.open.get() + 1);
        Some(PooledConnection { pools: self, address, stream: None })
    }

    fn release(&self, mut link: PooledConnection) {
        let Some(stream) = link.stream.take() else { return };
        if let Some(pool) = self.pools.borrow_mut().get_mut(&link.address) {
            pool.idle.push((stream, Instant::now()));
            std::mem::forget(link);
        }
        self.capacity_freed.notify_waiters();
    }

    fn may_reuse(&self, stream: &Socket, since: Instant) -> Decision<StoreCloseReason> {
        let idle_timeout = self.limits().timeouts.store_idle;
        store_connection::may_reuse(since.elapsed(), idle_timeout, !is_silent(stream))
    }

    /// Counts and tells why an idle connection is closed.
    fn record_idle_close(&self, store: SocketAddr, reason: StoreCloseReason, idle_for: Duration) {
        self.counters.count(reason);
        tracing::debug!(%store, %reason, ?idle_for, "store connection closed");
    }

    /// Closes what stands idle at a store; how many that were.
    pub fn close_idle(&self, address: SocketAddr) -> usize {
        let idle = self.pools.borrow_mut().get_mut(&address).map(|pool| std::mem::take(&mut pool.idle));
        let closed = idle.map_or(0, |idle| idle.len());
        self.on_closed(address, closed);
        closed
    }

    /// Closes what has stood idle for long, or has ended.
    fn sweep(&self) {
        let addresses: Vec<SocketAddr> = self.pools.borrow().keys().copied().collect();
        for address in addresses {
            let closed = self.pools.borrow_mut().get_mut(&address).map_or(0, |pool| {
                let before = pool.idle.len();
                pool.idle.retain(|(stream, since)| {
                    let Err(reason) = self.may_reuse(stream, *since) else { return true };
                    self.record_idle_close(address, reason, since.elapsed());
                    false
                });
                before - pool.idle.len()
            });
            self.on_closed(address, closed);
        }
    }

    /// A connection to this address: one that stands idle, or a new one. Danger: this gateway may have stood still while
    /// it was waited for; what has come meanwhile, the end of a client among it, is seen by its task first.
    async fn acquire(&self, address: SocketAddr) -> Option<PooledConnection<'_>> {
        loop {
            let room = self.capacity_freed.notified();
            if let Some(link) = self.take_idle(address) {
                yield_now().await;
                if link.stream.as_ref().is_some_and(is_silent) {
                    return Some(link);
                }
                continue;
            }
            if let Some(mut link) = self.reserve(address) {
                let stream =
                    timeout(self.limits().timeouts.connect, Socket::connect(address)).await.ok()?.ok()?;
                _ = stream.set_nodelay(true);
                link.stream = Some(stream);
                yield_now().await;
                return Some(link);
            }
            tokio::select! {
                () = room => {}
                () = self.until_settled(address) => {}
            }
        }
    }
}

/// Nothing can be read: the connection stands, and nothing was sent over it unasked.
fn is_silent(stream: &Socket) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sends one dispatch and waits for what comes back; `written` is set once its last byte is out.
pub async fn run_attempt(
    hub: &Rc<EventLoop>,
    call: AttemptId,
    store: StoreId,
    address: SocketAddr,
    until: Duration,
    written: &Cell<bool>,
) -> (AttemptOutcome, Duration) {
    let (due, asked) = (hub.clock.instant(until).into(), hub.clock.now());
    let id = hub.request_id(call).unwrap_or_default();
    let attempt = call.attempt;
    tracing::debug!(id, op = call.op.0, attempt, store = store.0, until = ?until.saturating_sub(asked), "attempt");
    if let Some(reason) = hub.retry_reason(call) {
        hub.counters.count(reason);
        tracing::debug!(id, op = call.op.0, attempt, %reason, "retry");
    }
    let (returned, at) = send_and_receive(hub, call, address, due, written).await;
    let took = at.saturating_sub(asked);
    tracing::debug!(id, op = call.op.0, attempt, store = store.0, ?took, %returned, "returned");
    (returned, at)
}

async fn send_and_receive(
    hub: &Rc<EventLoop>,
    call: AttemptId,
    address: SocketAddr,
    due: tokio::time::Instant,
    written: &Cell<bool>,
) -> (AttemptOutcome, Duration) {
    let sent = timeout_at(due, async {
        let mut link = hub.pools.acquire(address).await.ok_or(AttemptOutcome::NeverWritten)?;
        let bytes = match hub.start_attempt(call) {
            Ok(bytes) => bytes,
            Err(reason) => {
                hub.counters.count(reason);
                tracing::debug!(op = call.op.0, attempt = call.attempt, %reason, "attempt denied");
                // Nothing went over it: the next attempt has it.
                hub.pools.release(link);
                return Err(AttemptOutcome::Withheld);
            }
        };
        let told = hub.clock.now();
        write(&mut link, &bytes, written).await.ok_or(AttemptOutcome::NeverWritten)?;
        let took = hub.clock.now().saturating_sub(told);
        check_propagated_deadline(hub, call, took);
        Ok(link)
    });
    let link = match sent.await {
        Ok(Ok(link)) => link,
        Ok(Err(returned)) => return (returned, hub.clock.now()),
        Err(_) => return (AttemptOutcome::NeverWritten, hub.clock.now()),
    };
    match timeout_at(due, receive_response(hub, link)).await {
        Ok(returned) => returned,
        Err(_) => {
            hub.counters.count(StoreCloseReason::AttemptEnded);
            tracing::debug!(op = call.op.0, attempt = call.attempt, store = %address, reason = %StoreCloseReason::AttemptEnded, "store connection closed");
            (AttemptOutcome::TimedOut, hub.clock.now())
        }
    }
}

/// A process that was held up, or a store that reads slowly, may make the told time untrue.
fn check_propagated_deadline(hub: &EventLoop, call: AttemptId, took: Duration) {
    observe(&hub.counters, propagated_deadline_holds(took), |violation| {
        let id = hub.request_id(call).unwrap_or_default();
        tracing::warn!(id, op = call.op.0, ?took, %violation, "lifecycle rule violated");
    });
}

/// Nothing, if not all was written: a store begins with the last byte.
async fn write(link: &mut PooledConnection<'_>, bytes: &Bytes, written: &Cell<bool>) -> Option<()> {
    link.stream.as_mut()?.write_all(bytes).await.ok()?;
    written.set(true);
    Some(())
}

async fn receive_response(hub: &Rc<EventLoop>, mut link: PooledConnection<'_>) -> (AttemptOutcome, Duration) {
    let mut answers = ResponseReader::new(hub.limits().response);
    let mut room = ResponseMemory::new(hub);
    let Some(stream) = &mut link.stream else { return (AttemptOutcome::NeverWritten, hub.clock.now()) };
    loop {
        answers.bytes.reserve(hub.limits().http.head);
        let read = stream.read_buf(&mut answers.bytes).await;
        let at = hub.clock.now();
        let (read, ended) = match read {
            Ok(1..) => (answers.response(), false),
            Ok(0) => (answers.on_close(), true),
            Err(error) => {
                closed(hub, &link, StoreCloseReason::AnswerBroken, &error);
                return (AttemptOutcome::Broken, at);
            }
        };
        if !room.reserve(answers.known_body_size()) {
            hub.counters.count(StoreCloseReason::AnswerTooLarge);
            tracing::warn!(store = %link.address, size = answers.known_body_size(), reason = %StoreCloseReason::AnswerTooLarge, "no room for an answer");
            return (AttemptOutcome::Broken, at);
        }
        match read {
            Ok(None) if ended => {
                closed(hub, &link, StoreCloseReason::AnswerBroken, &"ended before the answer was whole");
                return (AttemptOutcome::Broken, at);
            }
            Ok(None) => {}
            Ok(Some(mut answer)) => {
                answer.body = room.attach_to(answer.body);
                // Danger: what came behind the answer belongs to no request; the next would be answered with it.
                if !ended && answer.head.persists && answers.bytes.is_empty() {
                    hub.pools.release(link);
                } else {
                    closed(hub, &link, StoreCloseReason::LastAnswer, &"not to be used again");
                }
                return (AttemptOutcome::Response(answer), at);
            }
            Err(error) => {
                closed(hub, &link, StoreCloseReason::AnswerBroken, &error);
                return (AttemptOutcome::Broken, at);
            }
        }
    }
}

/// Counts and tells why a connection to a store that was in use is closed.
fn closed(
    hub: &EventLoop,
    link: &PooledConnection,
    reason: StoreCloseReason,
    detail: &dyn std::fmt::Display,
) {
    hub.counters.count(reason);
    tracing::debug!(store = %link.address, %reason, %detail, "store connection closed");
}

/// Room for one answer in what all may hold; given back when the last of its bytes is let go.
struct ResponseMemory {
    total: Arc<AtomicUsize>,
    max_total: usize,
    reserved: usize,
}

impl ResponseMemory {
    fn new(hub: &Rc<EventLoop>) -> ResponseMemory {
        ResponseMemory {
            total: hub.response_bytes.clone(),
            max_total: hub.limits().all_responses,
            reserved: 0,
        }
    }

    /// There is room for so many bytes. Those that any answer may have need none.
    fn reserve(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(fields::MAX_BODY).saturating_sub(self.reserved);
        let held = self.total.load(Relaxed).saturating_add(more);
        let fits = more == 0 || held <= self.max_total;
        if fits {
            self.reserved += more;
            self.total.store(held, Relaxed);
        }
        fits
    }

    fn attach_to(self, body: Bytes) -> Bytes {
        if self.reserved == 0 { body } else { Bytes::from_owner(Kept { body, _room: self }) }
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.total.fetch_sub(self.reserved, Relaxed);
    }
}

struct Kept {
    body: Bytes,
    _room: ResponseMemory,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Asks a store for its load.
pub async fn check_health(hub: &Rc<EventLoop>, address: SocketAddr) -> AttemptOutcome {
    let written = Cell::new(false);
    let asked = timeout(hub.limits().timeouts.connect, async {
        let mut link = hub.pools.acquire(address).await?;
        let bytes = client::request("GET", fields::LOAD_REPORT_PATH, &address.to_string(), &[], b"");
        write(&mut link, &bytes, &written).await?;
        Some(receive_response(hub, link).await.0)
    });
    match asked.await {
        Ok(Some(returned)) => returned,
        Err(_) if written.get() => AttemptOutcome::TimedOut,
        _ => AttemptOutcome::NeverWritten,
    }
}

/// Looks after idle connections, for as long as the gateway runs: at an interval, and when the bounds change.
pub async fn tidy(hub: Rc<EventLoop>) {
    let mut changes = hub.limits_changes();
    loop {
        let sweep = sleep(hub.limits().timeouts.store_sweep);
        tokio::select! {
            () = sweep => {}
            _ = changes.changed() => {}
        }
        hub.pools.sweep();
    }
}
