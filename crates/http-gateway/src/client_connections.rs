//! The clients' open connections: what is owed on each, which may be evicted, and who waits for them to close.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;
use umbertray_http::connection::{CloseDemand, ConnectionState, Obligation, State};
use umbertray_lifecycle::connection;

use crate::resource_limits::ResourceLimits;

/// An open connection, as other tasks see it.
struct Registered {
    obligation: Obligation,
    /// Whether a whole request has come.
    served_before: bool,
    /// When it became idle or was shut down; until then, when it was accepted.
    since: Instant,
    demand: CloseDemand,
    /// Notified when `demand` has changed.
    demand_raised: Rc<Notify>,
}

impl Registered {
    /// The order of eviction, least first: connections without a request yet, then the least recently used, whether
    /// idle or shut down. Nothing for one that may not be evicted.
    fn eviction_order(&self) -> Option<(bool, Instant)> {
        connection::may_evict(self.obligation, self.demand == CloseDemand::ForCapacity)
            .then_some((self.served_before || self.obligation == Obligation::LingeringClose, self.since))
    }
}

/// The open connections.
pub(crate) struct ClientConnections {
    open: RefCell<BTreeMap<u64, Registered>>,
    /// What is demanded of every connection.
    demand_of_all: Cell<CloseDemand>,
    /// Notified when one has closed or its state has changed.
    changed: Notify,
}

impl Default for ClientConnections {
    fn default() -> ClientConnections {
        ClientConnections {
            open: RefCell::default(),
            demand_of_all: Cell::new(CloseDemand::None),
            changed: Notify::new(),
        }
    }
}

impl ClientConnections {
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub(crate) fn insert(&self, id: u64, demand_raised: Rc<Notify>) {
        let registered = Registered {
            obligation: Obligation::None,
            served_before: false,
            since: Instant::now(),
            demand: CloseDemand::None,
            demand_raised,
        };
        self.open.borrow_mut().insert(id, registered);
    }

    pub(crate) fn remove(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
        self.changed.notify_waiters();
    }

    /// Records the state of a connection after a step; `changed` says whether it differs from the one before.
    pub(crate) fn update(&self, id: u64, connection: &ConnectionState, changed: bool) {
        if let Some(registered) = self.open.borrow_mut().get_mut(&id) {
            let state = connection.state();
            if changed && matches!(state, State::Idle | State::LingeringClose) {
                registered.since = Instant::now();
            }
            registered.served_before |= matches!(state, State::AwaitingResponse { .. } | State::Idle);
            registered.obligation = connection.obligation();
            registered.demand = connection.demand();
        }
        self.changed.notify_waiters();
    }

    /// What is owed on each connection.
    pub(crate) fn obligations(&self) -> Vec<Obligation> {
        self.open.borrow().values().map(|connection| connection.obligation).collect()
    }

    pub(crate) async fn empty(&self) {
        self.until(|open| open.is_empty()).await;
    }

    /// Closes all that have sent no whole request, and returns once no other waits for its response.
    pub(crate) async fn all_answered(&self) {
        self.demand_of_all.set(CloseDemand::Immediate);
        self.open.borrow().values().for_each(|connection| connection.demand_raised.notify_one());
        self.until(|open| {
            open.values().all(|connection| connection.obligation == Obligation::LingeringClose)
        })
        .await;
    }

    async fn until(&self, condition: impl Fn(&BTreeMap<u64, Registered>) -> bool) {
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
            .max(self.demand_of_all.get())
    }

    /// Demands that the first connection in the order of eviction closes, and waits until it has or has declined; false
    /// where there is none.
    ///
    /// Hazard: a request may lie unread in it, which only its own task can tell.
    pub(crate) async fn make_room(&self) -> bool {
        let least = {
            let mut open = self.open.borrow_mut();
            let evictable = open
                .iter_mut()
                .filter_map(|(id, connection)| Some((connection.eviction_order()?, *id, connection)));
            evictable.min_by_key(|(order, id, _)| (*order, *id)).map(|(_, id, connection)| {
                connection.demand = CloseDemand::ForCapacity;
                connection.demand_raised.notify_one();
                id
            })
        };
        let Some(id) = least else { return false };
        self.until(|open| {
            open.get(&id).is_none_or(|connection| connection.demand < CloseDemand::ForCapacity)
        })
        .await;
        true
    }

    /// Waits until one more connection can be held; false if its requests have to be rejected.
    pub(crate) async fn room(&self, limits: &ResourceLimits) -> bool {
        loop {
            let changed = self.changed.notified();
            if self.len() < limits.clients {
                return true;
            }
            if self.make_room().await {
                continue;
            }
            if self.len() < limits.clients + limits.rejected_clients {
                return false;
            }
            changed.await;
        }
    }
}
