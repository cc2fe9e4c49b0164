//! The loop that hosts the core: one task, which alone accesses it, its log and its lease.

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
use crate::store_connection::{self, SentOrder};

/// What the other tasks tell the loop.
pub(crate) enum LoopEvent {
    /// A peer has sent its hello; messages for it go to `messages`, and dropping that closes its connection.
    PeerConnected { connection: ConnectionId, messages: mpsc::Sender<FromList> },
    /// A peer's connection has ended.
    PeerDisconnected(ConnectionId),
    /// A peer sent a message, its hello among them.
    RequestReceived { connection: ConnectionId, message: ToList },
    /// Stores were listed: all of them where `is_full`, otherwise those that have changed.
    StoresListed { stores: Vec<ListedStore>, is_full: bool },
    /// An order was answered, or has failed.
    OrderFinished { token: u64, reply: Option<OrderReply> },
}

/// Events handled in one step, at most; the records that they lead to are synced once.
const MAX_EVENTS_PER_STEP: usize = 256;

/// A connection to a store; dropping it ends the connection once the orders given are answered.
struct StoreConnection {
    address: SocketAddr,
    orders: mpsc::UnboundedSender<SentOrder>,
}

pub(crate) struct EventLoop {
    coordinator: Coordinator,
    log: Log,
    lease: Lease,
    clock: Clock,
    /// Identifies this run to stores.
    run_id: u64,
    events: mpsc::UnboundedSender<LoopEvent>,
    peers: HashMap<ConnectionId, mpsc::Sender<FromList>>,
    stores: StoreTable,
    /// By the store's number.
    store_connections: HashMap<u64, StoreConnection>,
    /// The tasks of store connections, also of those that are ending.
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

    /// Runs until the coordinator cannot go on.
    pub(crate) async fn run(
        mut self,
        first_outputs: Vec<Output>,
        mut receiver: mpsc::UnboundedReceiver<LoopEvent>,
    ) -> Result<(), CoordinatorError> {
        self.apply_outputs(first_outputs)?;
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        loop {
            // Hazard: a sleep that is made anew in each round is not ready at its first poll, even of no length. Where events
            // are always waiting it never is, and the lease would run out under steady load.
            if self.lease.renew_in().is_zero() {
                self.renew_lease()?;
            }
            let renewal = tokio::time::sleep(self.lease.renew_in());
            let until_timer = self.timer_at.map_or(Duration::MAX, |at| at.saturating_sub(self.clock.now()));
            // A cancelled branch loses nothing: the sleeps are computed anew, and events stay in the channel.
            tokio::select! {
                biased;
                () = renewal => self.renew_lease()?,
                count = receiver.recv_many(&mut events, MAX_EVENTS_PER_STEP) => {
                    if count == 0 {
                        return Ok(());
                    }
                    let inputs = events.drain(..).filter_map(|event| self.on_event(event)).collect();
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

    /// Takes what concerns connections; what concerns the core is returned.
    fn on_event(&mut self, event: LoopEvent) -> Option<Input> {
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
            LoopEvent::StoresListed { stores, is_full } => {
                self.stores.update(stores, is_full);
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

    /// Applies outputs in order. Invariant: before anything is sent, what was logged is durable, and this coordinator held
    /// the lease when it became so.
    fn apply_outputs(&mut self, outputs: Vec<Output>) -> Result<(), CoordinatorError> {
        self.timer_at = None;
        for output in outputs {
            match output {
                Output::Log(records) => self.append_to_log(&records)?,
                Output::SetTimer(at) => self.timer_at = Some(at),
                Output::Superseded { term } => {
                    let ours = self.coordinator.state().term;
                    return Err(CoordinatorError::Superseded { ours, theirs: term });
                }
                Output::Send { connection, message } => {
                    self.check_lease()?;
                    self.send(connection, message);
                }
                Output::Order { token, shard, term, number, order } => {
                    self.check_lease()?;
                    self.send_order(shard, SentOrder { token, term, number, order });
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
        tracing::error!(overdue = ?self.lease.renewal_overdue(), "lease over before a message");
        Err(CoordinatorError::TakenOver)
    }

    /// Sends a message to a peer. One that does not read loses its connection, and asks again on the next.
    fn send(&mut self, connection: ConnectionId, message: FromList) {
        let peer = self.peers.get(&connection);
        if peer.is_some_and(|peer| peer.try_send(message).is_err()) {
            self.peers.remove(&connection);
        }
    }

    fn send_order(&mut self, shard: u32, order: SentOrder) {
        tracing::debug!(shard, number = order.number, order = order.order.name(), "order sent");
        let token = order.token;
        let is_sent = self.orders_to(shard).is_some_and(|orders| orders.send(order).is_ok());
        if !is_sent {
            // The loop holds the receiver, so the event arrives.
            _ = self.events.send(LoopEvent::OrderFinished { token, reply: None });
        }
    }

    /// The connection to the store that serves a shard; none where no store does.
    fn orders_to(&mut self, shard: u32) -> Option<mpsc::UnboundedSender<SentOrder>> {
        let listed = self.stores.serving(shard)?;
        let store = listed.store;
        let address = listed.address;
        let open = self.store_connections.get(&store).filter(|connection| connection.address == address);
        if let Some(connection) = open {
            return Some(connection.orders.clone());
        }
        while self.store_tasks.try_join_next().is_some() {}
        let (orders, receiver) = mpsc::unbounded_channel();
        self.store_tasks.spawn(store_connection::run(address, self.run_id, receiver, self.events.clone()));
        self.store_connections.insert(store, StoreConnection { address, orders: orders.clone() });
        Some(orders)
    }
}
