//! The open client connections: the obligation of each, the order of eviction, and notifications when they
//! close.

mod memory;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;
use umbertray_http::connection::{CloseDemand, ConnectionState, Obligation, State};
use umbertray_lifecycle::connection;

use crate::client_input::ClientInput;
use crate::resource_limits::ResourceLimits;

pub(crate) use self::memory::OutputDemand;

/// The shared state of an open connection.
struct ConnectionEntry {
    obligation: Obligation,
    /// Whether a complete request has been received.
    served_before: bool,
    /// When the connection became idle or its sending was shut down; before that, when it was accepted.
    since: Instant,
    demand: CloseDemand,
    input: Rc<RefCell<ClientInput>>,
    /// When the client last read part of a large response; `None` if no such response is being written.
    large_output_since: Option<Instant>,
    /// Whether the connection has to give up the response that it writes.
    must_stop_writing: bool,
    signals: Rc<ConnectionSignals>,
}

/// Notifications of a connection's task.
#[derive(Default)]
pub(crate) struct ConnectionSignals {
    /// The close demand has changed.
    pub(crate) demand_raised: Notify,
    /// The connection has to give up the response that it writes.
    pub(crate) memory_demanded: Notify,
}

impl ConnectionEntry {
    /// Key of the eviction order, lowest first: connections without a complete request, then all others by
    /// last use, whether idle or with sending shut down. `None` if the connection must not be evicted.
    fn eviction_order(&self) -> Option<(bool, Instant)> {
        connection::may_evict(self.obligation, self.demand == CloseDemand::ForCapacity)
            .then_some((self.served_before || self.obligation == Obligation::LingeringClose, self.since))
    }
}

/// All open client connections.
pub(crate) struct ClientConnections {
    open: RefCell<BTreeMap<u64, ConnectionEntry>>,
    /// Minimum close demand of every connection.
    common_demand: Cell<CloseDemand>,
    /// Notified when a connection has closed or its state has changed.
    changed: Notify,
}

impl Default for ClientConnections {
    fn default() -> ClientConnections {
        ClientConnections {
            open: RefCell::default(),
            common_demand: Cell::new(CloseDemand::None),
            changed: Notify::new(),
        }
    }
}

impl ClientConnections {
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub(crate) fn insert(&self, id: u64, input: Rc<RefCell<ClientInput>>, signals: Rc<ConnectionSignals>) {
        let entry = ConnectionEntry {
            obligation: Obligation::None,
            served_before: false,
            since: Instant::now(),
            demand: CloseDemand::None,
            input,
            large_output_since: None,
            must_stop_writing: false,
            signals,
        };
        self.open.borrow_mut().insert(id, entry);
    }

    pub(crate) fn remove(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
        self.changed.notify_waiters();
    }

    /// Records the state of a connection after a step; `state_changed` says whether the step changed it.
    pub(crate) fn update(&self, id: u64, connection: &ConnectionState, state_changed: bool) {
        if let Some(entry) = self.open.borrow_mut().get_mut(&id) {
            let state = connection.state();
            if state_changed && matches!(state, State::Idle | State::LingeringClose) {
                entry.since = Instant::now();
            }
            entry.served_before |= matches!(state, State::AwaitingResponse { .. } | State::Idle);
            entry.obligation = connection.obligation();
            entry.demand = connection.demand();
        }
        self.changed.notify_waiters();
    }

    /// The pending obligation of each connection.
    pub(crate) fn obligations(&self) -> Vec<Obligation> {
        self.open.borrow().values().map(|connection| connection.obligation).collect()
    }

    pub(crate) async fn wait_until_empty(&self) {
        self.wait_until(|open| open.is_empty()).await;
    }

    /// Demands that connections without a complete request close, and returns once no connection waits for
    /// its response.
    pub(crate) async fn close_unused_and_wait_until_answered(&self) {
        self.common_demand.set(CloseDemand::Immediate);
        self.open.borrow().values().for_each(|connection| connection.signals.demand_raised.notify_one());
        self.wait_until(|open| {
            open.values().all(|connection| connection.obligation == Obligation::LingeringClose)
        })
        .await;
    }

    async fn wait_until(&self, condition: impl Fn(&BTreeMap<u64, ConnectionEntry>) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(&self.open.borrow()) {
                return;
            }
            changed.await;
        }
    }

    pub(crate) fn demand(&self, id: u64) -> CloseDemand {
        self.open
            .borrow()
            .get(&id)
            .map_or(CloseDemand::None, |connection| connection.demand)
            .max(self.common_demand.get())
    }

    /// Demands that the first connection in eviction order closes, and waits until it has closed or declined.
    /// Returns false if no connection can be evicted.
    ///
    /// Hazard: the connection may have an unread request, which only its own task can detect.
    pub(crate) async fn evict_one(&self) -> bool {
        let evicted = {
            let mut open = self.open.borrow_mut();
            let evictable = open
                .iter_mut()
                .filter_map(|(id, connection)| Some((connection.eviction_order()?, *id, connection)));
            evictable.min_by_key(|(order, id, _)| (*order, *id)).map(|(_, id, connection)| {
                connection.demand = CloseDemand::ForCapacity;
                connection.signals.demand_raised.notify_one();
                id
            })
        };
        let Some(id) = evicted else { return false };
        self.wait_until(|open| {
            open.get(&id).is_none_or(|connection| connection.demand < CloseDemand::ForCapacity)
        })
        .await;
        true
    }

    /// Waits until there is capacity for one more connection. Returns false if its requests have to be
    /// rejected.
    pub(crate) async fn wait_for_capacity(&self, limits: &ResourceLimits) -> bool {
        loop {
            let changed = self.changed.notified();
            if self.len() < limits.clients {
                return true;
            }
            if self.evict_one().await {
                continue;
            }
            if self.len() < limits.clients + limits.rejected_clients {
                return false;
            }
            changed.await;
        }
    }
}
