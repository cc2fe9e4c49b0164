//! The event loop that drives the core: a single task owns the core, its log and its lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use umbertray_clock::Clock;
use umbertray_control_plane::{ConnectionId, Coordinator, Input, Output, Record};
use umbertray_store_protocol::list::{FromList, ListedStore, ToList};
use umbertray_store_protocol::orders::OrderReply;

use crate::CoordinatorError;
use crate::endpoint_list::StoreTable;
use crate::lease::Lease;
use crate::log::Log;
use crate::store_connection::{self, OrderRequest};

/// An event that another task sends to the event loop.
pub(crate) enum LoopEvent {
    /// A peer has sent its hello. Messages for it go to `messages`; dropping the sender closes the
    /// connection.
    PeerConnected { connection: ConnectionId, messages: mpsc::Sender<FromList> },
    /// A peer's connection has ended.
    PeerDisconnected(ConnectionId),
    /// A peer has sent a message; this event is also sent for its hello.
    RequestReceived { connection: ConnectionId, message: ToList },
    /// The list service has sent stores: the complete list if `is_complete`, otherwise the changed entries.
    StoresListed { stores: Vec<ListedStore>, is_complete: bool },
    /// An order has received its reply, or has failed (`reply` is `None`).
    OrderFinished { token: u64, reply: Option<OrderReply> },
}

/// Maximum number of events handled in one step; the records that a step logs are synced together.
const MAX_EVENTS_PER_STEP: usize = 256;

/// A connection to a store. Dropping it closes the connection once the queued orders have received their
/// replies.
struct StoreConnection {
    address: SocketAddr,
    orders: mpsc::UnboundedSender<OrderRequest>,
}

pub(crate) struct EventLoop {
    coordinator: Coordinator,
    log: Log,
    lease: Lease,
    clock: Clock,
    /// Identifies this run of the coordinator to stores.
    run_id: u64,
    events: mpsc::UnboundedSender<LoopEvent>,
    peers: HashMap<ConnectionId, mpsc::Sender<FromList>>,
    stores: StoreTable,
    /// Connections by the store's id.
    store_connections: HashMap<u64, StoreConnection>,
    /// The tasks of all store connections, including those that are closing.
    store_tasks: JoinSet<()>,
    timer_at: Option<Duration>,
}

impl EventLoop {
    pub(crate) fn new(
        coordinator: Coordinator,
        log: Log,
        lease: Lease,
        events: mpsc::UnboundedSender<LoopEvent>,
    ) -> EventLoop {
        let clock = Clock::start();
        EventLoop {
            coordinator,
            log,
            lease,
            run_id: clock.now().as_nanos() as u64,
            clock,
            events,
            peers: HashMap::new(),
            stores: StoreTable::default(),
            store_connections: HashMap::new(),
            store_tasks: JoinSet::new(),
            timer_at: None,
        }
    }

    /// Runs until an error stops the coordinator.
    pub(crate) async fn run(
        mut self,
        first_outputs: Vec<Output>,
        mut receiver: mpsc::UnboundedReceiver<LoopEvent>,
    ) -> Result<(), CoordinatorError> {
        self.apply_outputs(first_outputs)?;
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        loop {
            // Hazard: a sleep that is created in each iteration is not ready at its first poll, even with a
            // zero duration. While events are always queued it would never become ready, and the lease would
            // expire under steady load. Therefore the renewal is also checked here.
            if self.lease.time_until_renewal().is_zero() {
                self.renew_lease()?;
            }
            let renewal = tokio::time::sleep(self.lease.time_until_renewal());
            let until_timer = self.timer_at.map_or(Duration::MAX, |at| at.saturating_sub(self.clock.now()));
            // Cancel safety: the sleeps are recomputed in each iteration, and events stay in the channel.
            tokio::select! {
                biased;
                () = renewal => self.renew_lease()?,
                count = receiver.recv_many(&mut events, MAX_EVENTS_PER_STEP) => {
                    if count == 0 {
                        return Ok(());
                    }
                    let inputs = events.drain(..).filter_map(|event| self.handle_event(event)).collect();
                    self.step(inputs)?;
                }
                () = tokio::time::sleep(until_timer), if self.timer_at.is_some() => {
                    self.step(vec![Input::TimerExpired])?;
                }
            }
        }
    }

    fn renew_lease(&mut self) -> Result<(), CoordinatorError> {
        tokio::task::block_in_place(|| self.lease.renew_unless_lost())
    }

    /// Updates the connection tables, and returns the input for the core, if the event has one.
    fn handle_event(&mut self, event: LoopEvent) -> Option<Input> {
        match event {
            LoopEvent::PeerConnected { connection, messages } => {
                self.peers.insert(connection, messages);
                None
            }
            LoopEvent::PeerDisconnected(connection) => {
                self.peers.remove(&connection);
                Some(Input::Closed(connection))
            }
            LoopEvent::RequestReceived { connection, message } => {
                Some(Input::Request { connection, message })
            }
            LoopEvent::StoresListed { stores, is_complete } => {
                self.stores.update(stores, is_complete);
                self.store_connections.retain(|store, _| self.stores.contains(*store));
                Some(Input::Shards(self.stores.shards()))
            }
            LoopEvent::OrderFinished { token, reply } => Some(Input::OrderFinished { token, reply }),
        }
    }

    fn step(&mut self, inputs: Vec<Input>) -> Result<(), CoordinatorError> {
        let outputs = self.coordinator.handle(self.clock.now(), inputs);
        self.apply_outputs(outputs)
    }

    /// Applies outputs in order. Invariant: before anything is sent, all preceding log records are durable,
    /// and this coordinator still held the lease after they became durable.
    fn apply_outputs(&mut self, outputs: Vec<Output>) -> Result<(), CoordinatorError> {
        self.timer_at = None;
        for output in outputs {
            match output {
                Output::Log(records) => self.append_to_log(&records)?,
                Output::SetTimer(at) => self.timer_at = Some(at),
                Output::Superseded { term } => {
                    let own_term = self.coordinator.state().term;
                    return Err(CoordinatorError::Superseded { own_term, later_term: term });
                }
                Output::Send { connection, message } => {
                    self.check_lease()?;
                    self.send(connection, message);
                }
                Output::Order { token, shard, term, number, order } => {
                    self.check_lease()?;
                    self.send_order(shard, OrderRequest { token, term, move_number: number, order });
                }
            }
        }
        Ok(())
    }

    fn append_to_log(&mut self, records: &[Record]) -> Result<(), CoordinatorError> {
        let written = tokio::task::block_in_place(|| self.log.append(records, self.coordinator.state()));
        written.map_err(|error| {
            tracing::error!(%error, "log write failed");
            CoordinatorError::disk(self.lease.folder())(error)
        })
    }

    fn check_lease(&self) -> Result<(), CoordinatorError> {
        if self.lease.is_held() {
            return Ok(());
        }
        tracing::error!(overdue = ?self.lease.renewal_overdue(), "lease expired before a message was sent");
        Err(CoordinatorError::LeaseLost)
    }

    /// Queues a message for a peer. If the peer does not read and its queue is full, its connection is
    /// closed; the peer repeats its requests on its next connection.
    fn send(&mut self, connection: ConnectionId, message: FromList) {
        let peer = self.peers.get(&connection);
        if peer.is_some_and(|peer| peer.try_send(message).is_err()) {
            self.peers.remove(&connection);
        }
    }

    fn send_order(&mut self, shard: u32, order: OrderRequest) {
        tracing::debug!(shard, number = order.move_number, order = order.order.name(), "order sent");
        let token = order.token;
        let is_queued = self.order_sender(shard).is_some_and(|orders| orders.send(order).is_ok());
        if !is_queued {
            // The event loop holds the receiver, so the send succeeds.
            _ = self.events.send(LoopEvent::OrderFinished { token, reply: None });
        }
    }

    /// The order queue of the store that serves a shard, connecting to the store if necessary; `None` if no
    /// store serves the shard.
    fn order_sender(&mut self, shard: u32) -> Option<mpsc::UnboundedSender<OrderRequest>> {
        let listed = self.stores.store_for_shard(shard)?;
        let store = listed.store;
        let address = listed.address;
        let existing = self.store_connections.get(&store).filter(|connection| connection.address == address);
        if let Some(connection) = existing {
            return Some(connection.orders.clone());
        }
        while self.store_tasks.try_join_next().is_some() {}
        let (orders, receiver) = mpsc::unbounded_channel();
        self.store_tasks.spawn(store_connection::run(address, self.run_id, receiver, self.events.clone()));
        self.store_connections.insert(store, StoreConnection { address, orders: orders.clone() });
        Some(orders)
    }
}
