//! Connection pools for stores. Each connection carries one request at a time; the most recently used one is
//! reused first.

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
    /// Idle connections, ordered by the time of their release.
    idle: Vec<IdleConnection>,
    open: usize,
}

impl Pool {
    /// Removes the most recently released connection that has been silent for the reuse delay.
    ///
    /// Hazard: a store may send a second response to the previous request some milliseconds late. On a reused
    /// connection it would be taken for the response to the next request.
    fn take_settled(&mut self, reuse_delay: Duration) -> Option<IdleConnection> {
        let is_settled = |connection: &IdleConnection| {
            store_connection::is_settled(connection.idle_since.elapsed(), reuse_delay)
        };
        let position = self.idle.iter().rposition(is_settled)?;
        Some(self.idle.remove(position))
    }
}

/// All connections to stores, both in use and idle.
///
/// Invariant: `open` is the sum over all pools and within the limits; pools without open connections are
/// removed.
pub(crate) struct StorePools {
    limits: Rc<watch::Sender<ResourceLimits>>,
    counters: Rc<Counters>,
    /// Pools by address: a store may move to another address, but its connections do not.
    pools: RefCell<HashMap<SocketAddr, Pool>>,
    open: Cell<usize>,
    /// Notified when a connection was released or closed.
    capacity_freed: Notify,
}

/// A connection that is in use. Dropping it closes the connection and frees its capacity.
pub(crate) struct PooledConnection<'a> {
    pools: &'a StorePools,
    /// The store's address.
    pub(crate) address: SocketAddr,
    /// `None` until the connection is established.
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

    /// Updates the counts after connections to an address were closed.
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

    /// Removes the most recently used idle connection that is settled and reusable; closes unusable ones that
    /// it finds.
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

    /// Waits until an idle connection to an address is settled; never returns if there is none.
    async fn until_settled(&self, address: SocketAddr) {
        let oldest = self.pools.borrow().get(&address).and_then(|pool| Some(pool.idle.first()?.idle_since));
        match oldest {
            Some(since) => sleep_until((since + self.limits().timeouts.reuse_delay).into()).await,
            None => pending().await,
        }
    }

    /// Reserves capacity for a new connection, closing an idle one to another store if necessary. `None` if
    /// the limits leave no capacity.
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

    /// Closes the connection that has been idle for the longest time; `None` if no connection is idle.
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

    /// Returns a connection to its pool for reuse.
    pub(crate) fn release(&self, mut connection: PooledConnection) {
        let Some(stream) = connection.stream.take() else { return };
        if let Some(pool) = self.pools.borrow_mut().get_mut(&connection.address) {
            pool.idle.push(IdleConnection { stream, idle_since: Instant::now() });
            // The connection stays open; dropping it would count it as closed.
            std::mem::forget(connection);
        }
        self.capacity_freed.notify_waiters();
    }

    fn may_reuse(&self, connection: &IdleConnection) -> Decision<StoreCloseReason> {
        let idle_timeout = self.limits().timeouts.store_idle;
        let is_readable = !is_silent(&connection.stream);
        store_connection::may_reuse(connection.idle_since.elapsed(), idle_timeout, is_readable)
    }

    /// Counts and logs the reason for closing an idle connection.
    fn record_idle_close(&self, store: SocketAddr, reason: StoreCloseReason, idle_for: Duration) {
        self.counters.count(reason);
        tracing::debug!(%store, %reason, ?idle_for, "store connection closed");
    }

    /// Closes the idle connections to an address and returns their number.
    pub(crate) fn close_idle(&self, address: SocketAddr) -> usize {
        let idle = self.pools.borrow_mut().get_mut(&address).map(|pool| std::mem::take(&mut pool.idle));
        let closed = idle.map_or(0, |idle| idle.len());
        self.on_closed(address, closed);
        closed
    }

    /// Closes idle connections that must not be reused: those idle for too long, and those on which the end
    /// of the connection or unexpected data can be read.
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

    /// Returns an idle or new connection to an address, or `None` if connecting failed. Waits for capacity.
    ///
    /// Hazard: this process may have been paused during the wait. Other tasks therefore run before this
    /// returns, so that they process events that arrived meanwhile, such as the disconnect of a client.
    ///
    /// Cancel safe: a connection that is being established is closed.
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
                // Without this option small writes may be delayed, which is no reason to fail.
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

/// Whether nothing can be read from an idle connection. Readable data without a request is the end of the
/// connection or a response to something else; in both cases the connection is unusable.
fn is_silent(stream: &Socket) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sweeps idle connections at an interval and whenever the limits change, for as long as the gateway runs.
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
