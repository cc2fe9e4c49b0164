//! Pooled connections to stores: one request at a time on each, the most recently used first.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout};
use umbertray_lifecycle::reason::StoreCloseReason;
use umbertray_lifecycle::{Counters, Decision, store_connection};
use umbertray_socket::Socket;

use crate::event_loop::EventLoop;
use crate::resource_limits::ResourceLimits;

/// A connection that is not in use.
struct IdleConnection {
    stream: Socket,
    idle_since: Instant,
}

/// The connections to one address.
#[derive(Default)]
struct Pool {
    /// In the order in which they were released.
    idle: Vec<IdleConnection>,
    open: usize,
}

impl Pool {
    /// The connection released last of those that have been silent for the reuse delay.
    ///
    /// Hazard: a second response to the request before may come some milliseconds late; on a connection in use again it would
    /// be taken for that of the next.
    fn take_settled(&mut self, reuse_delay: Duration) -> Option<IdleConnection> {
        let is_settled = |connection: &IdleConnection| {
            store_connection::is_settled(connection.idle_since.elapsed(), reuse_delay)
        };
        let position = self.idle.iter().rposition(is_settled)?;
        Some(self.idle.remove(position))
    }
}

/// All connections to stores, in use and idle.
///
/// Invariant: `open` is the sum over the pools, within the limits; a pool without open connections is removed.
pub(crate) struct StorePools {
    limits: Rc<watch::Sender<ResourceLimits>>,
    counters: Rc<Counters>,
    /// By address: a store may move, and its connections do not.
    pools: RefCell<HashMap<SocketAddr, Pool>>,
    open: Cell<usize>,
    /// A connection was released, or one was closed.
    capacity_freed: Notify,
}

/// A connection that is in use. Dropping it closes it and frees its capacity.
pub(crate) struct PooledConnection<'a> {
    pools: &'a StorePools,
    /// Where it leads.
    pub(crate) address: SocketAddr,
    /// Absent until it is up.
    pub(crate) stream: Option<Socket>,
}

impl Drop for PooledConnection<'_> {
    fn drop(&mut self) {
        self.pools.on_closed(self.address, 1);
    }
}

impl StorePools {
    pub(crate) fn new(limits: Rc<watch::Sender<ResourceLimits>>, counters: Rc<Counters>) -> StorePools {
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

    /// Counts connections to an address as closed.
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

    /// A settled idle connection that may be reused, the most recently used first; others are closed on the way.
    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection<'_>> {
        let mut closed = 0;
        let stream = loop {
            let reuse_delay = self.limits().timeouts.reuse_delay;
            let settled =
                self.pools.borrow_mut().get_mut(&address).and_then(|pool| pool.take_settled(reuse_delay));
            let Some(connection) = settled else { break None };
            let Err(reason) = self.may_reuse(&connection) else { break Some(connection.stream) };
            self.record_idle_close(address, reason, connection.idle_since.elapsed());
            closed += 1;
        };
        self.on_closed(address, closed);
        stream.map(|stream| PooledConnection { pools: self, address, stream: Some(stream) })
    }

    /// Waits until an idle connection to an address has settled; for ever where there is none.
    async fn until_settled(&self, address: SocketAddr) {
        let oldest = self.pools.borrow().get(&address).and_then(|pool| Some(pool.idle.first()?.idle_since));
        match oldest {
            Some(since) => sleep_until((since + self.limits().timeouts.reuse_delay).into()).await,
            None => pending().await,
        }
    }

    /// Reserves capacity for a new connection, by closing an idle one to another store if need be.
    fn reserve(&self, address: SocketAddr) -> Option<PooledConnection<'_>> {
        if self.open.get() >= self.limits().store_connections {
            self.evict_oldest()?;
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

    /// Closes the connection that has been idle for longest; nothing where none is idle.
    fn evict_oldest(&self) -> Option<()> {
        let address = {
            let pools = self.pools.borrow();
            let oldest =
                pools.iter().filter_map(|(address, pool)| Some((pool.idle.first()?.idle_since, *address)));
            oldest.min().map(|(_, address)| address)?
        };
        let evicted = self.pools.borrow_mut().get_mut(&address).map(|pool| pool.idle.remove(0));
        if let Some(connection) = &evicted {
            self.record_idle_close(address, StoreCloseReason::Evicted, connection.idle_since.elapsed());
        }
        self.on_closed(address, usize::from(evicted.is_some()));
        Some(())
    }

    /// Puts a connection back, to be used again.
    pub(crate) fn release(&self, mut connection: PooledConnection) {
        let Some(stream) = connection.stream.take() else { return };
        if let Some(pool) = self.pools.borrow_mut().get_mut(&connection.address) {
            pool.idle.push(IdleConnection { stream, idle_since: Instant::now() });
            // It stays open: its drop would count it as closed.
            std::mem::forget(connection);
        }
        self.capacity_freed.notify_waiters();
    }

    fn may_reuse(&self, connection: &IdleConnection) -> Decision<StoreCloseReason> {
        let idle_timeout = self.limits().timeouts.store_idle;
        let is_readable = !is_silent(&connection.stream);
        store_connection::may_reuse(connection.idle_since.elapsed(), idle_timeout, is_readable)
    }

    /// Counts and logs why an idle connection is closed.
    fn record_idle_close(&self, store: SocketAddr, reason: StoreCloseReason, idle_for: Duration) {
        self.counters.count(reason);
        tracing::debug!(%store, %reason, ?idle_for, "store connection closed");
    }

    /// Closes the idle connections to an address; returns how many there were.
    pub(crate) fn close_idle(&self, address: SocketAddr) -> usize {
        let idle = self.pools.borrow_mut().get_mut(&address).map(|pool| std::mem::take(&mut pool.idle));
        let closed = idle.map_or(0, |idle| idle.len());
        self.on_closed(address, closed);
        closed
    }

    /// Closes the connections that have been idle for too long, or that have ended.
    fn sweep(&self) {
        let addresses: Vec<SocketAddr> = self.pools.borrow().keys().copied().collect();
        for address in addresses {
            let closed = self.pools.borrow_mut().get_mut(&address).map_or(0, |pool| {
                let before = pool.idle.len();
                pool.idle.retain(|connection| self.is_kept(address, connection));
                before - pool.idle.len()
            });
            self.on_closed(address, closed);
        }
    }

    fn is_kept(&self, address: SocketAddr, connection: &IdleConnection) -> bool {
        let Err(reason) = self.may_reuse(connection) else { return true };
        self.record_idle_close(address, reason, connection.idle_since.elapsed());
        false
    }

    /// A connection to an address: an idle one, or a new one; nothing where none could be made. Waits for capacity.
    ///
    /// Hazard: this gateway may have been held up while it waited; what came meanwhile, the disconnect of a client among it,
    /// is seen by its own task first.
    ///
    /// Cancel safe: a connection that is being made is closed.
    pub(crate) async fn acquire(&self, address: SocketAddr) -> Option<PooledConnection<'_>> {
        loop {
            let capacity_freed = self.capacity_freed.notified();
            if let Some(connection) = self.take_idle(address) {
                yield_now().await;
                if connection.stream.as_ref().is_some_and(is_silent) {
                    return Some(connection);
                }
                continue;
            }
            if let Some(mut connection) = self.reserve(address) {
                let connect = timeout(self.limits().timeouts.connect, Socket::connect(address));
                let stream = connect.await.ok()?.ok()?;
                // Without it small writes may be delayed, which is no reason to fail.
                _ = stream.set_nodelay(true);
                connection.stream = Some(stream);
                yield_now().await;
                return Some(connection);
            }
            tokio::select! {
                () = capacity_freed => {}
                () = self.until_settled(address) => {}
            }
        }
    }
}

/// Whether nothing can be read. What can be read while nothing was requested is the end of the connection or a response to
/// something else; either way it cannot be used any more.
fn is_silent(stream: &Socket) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sweeps the idle connections at an interval, and when the limits change, for as long as the gateway runs.
pub(crate) async fn sweep_pools(event_loop: Rc<EventLoop>) {
    let mut changes = event_loop.limits_changes();
    loop {
        let interval = sleep(event_loop.limits().timeouts.store_sweep);
        tokio::select! {
            () = interval => {}
            _ = changes.changed() => {}
        }
        event_loop.pools.sweep();
    }
}
