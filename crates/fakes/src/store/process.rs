//! The process of a scripted store: one task that handles events of its connections and commands of the test.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot};
use umbertray_store_protocol::orders::{Order, OrderReply};
use umbertray_store_protocol::store::{FromStore, ResultCode, ToStore};

use super::Identity;
use super::connection::{ConnectionSender, ToConnection};
use crate::event_log::StoreEvent;
use crate::model::{Fault, Job, Model};

/// How long a store that ends in the middle of a read waits for each connection to write its pending
/// messages.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of the random value at which a store's clock starts, in microseconds.
const MAX_CLOCK_OFFSET_US: u64 = 1 << 40;

/// An event of a connection, or a command of the test through [`super::Running`].
pub(super) enum ProcessEvent {
    /// A gateway has sent its hello message on a connection.
    GatewayConnected {
        connection: u64,
        run: u64,
        sender: ConnectionSender,
    },
    Frame {
        connection: u64,
        message: ToStore,
    },
    ConnectionClosed {
        connection: u64,
    },
    SetFault(Fault),
    Pause(Duration),
    /// Closes all connections. Attempts that were received on them are still executed.
    CloseConnections,
    /// Ends the store once it has sent this many more chunks of read data, which may be in the middle of a
    /// read.
    ExitAfterChunks(u32),
}

/// A connection on which a gateway has sent its hello message.
struct Connection {
    run: u64,
    sender: ConnectionSender,
}

/// A store's process. Dropping it records the end of the store, so that every kind of end is recorded once.
pub(super) struct Process {
    pub(super) identity: Identity,
    pub(super) model: Model,
    started_at: Instant,
    /// Random value at which the store's own clock starts, in microseconds.
    clock_offset: u64,
    connections: HashMap<u64, Connection>,
    pub(super) rng: StdRng,
    /// Chunks of read data to send before the store ends; `None` if it is not to end.
    pub(super) chunks_until_exit: Option<u32>,
    /// Whether the store has crashed or is to end.
    pub(super) is_down: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.record(StoreEvent::Down);
    }
}

impl Process {
    pub(super) fn new(identity: Identity, cold: bool) -> Process {
        let mut rng = StdRng::seed_from_u64(identity.seed ^ identity.store);
        Process {
            model: Model::new(identity.performance.clone(), Duration::ZERO, cold),
            started_at: Instant::now(),
            clock_offset: rng.random_range(0..MAX_CLOCK_OFFSET_US),
            connections: HashMap::new(),
            rng,
            chunks_until_exit: None,
            is_down: false,
            identity,
        }
    }

    /// Time since the process started.
    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Reading of the store's own clock, in microseconds.
    pub(super) fn clock(&self) -> u64 {
        self.clock_offset + self.now().as_micros() as u64
    }

    pub(super) fn record(&self, seen: StoreEvent) {
        self.identity.event_log.record(self.identity.store, seen);
    }

    /// Runs until the store is down, or no connection and no handle can send it events any more.
    pub(super) async fn run(mut self, mut events: mpsc::UnboundedReceiver<ProcessEvent>) {
        while !self.is_down {
            let due = self.model.next_event_at().map(|due| self.started_at + due);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = sleep_until(due) => {}
            }
            self.finish_due_attempts();
        }
        if self.chunks_until_exit == Some(0) {
            self.flush_connections().await;
        }
    }

    /// Waits until the connections have written all pending messages, so that a store that ends in the middle
    /// of a read has sent the data before that point.
    async fn flush_connections(&self) {
        for connection in self.connections.values() {
            let (sender, written) = oneshot::channel();
            _ = connection.sender.send(ToConnection::Flush(sender));
            _ = tokio::time::timeout(FINAL_FLUSH_TIMEOUT, written).await;
        }
    }

    fn handle_event(&mut self, event: ProcessEvent) {
        match event {
            ProcessEvent::GatewayConnected { connection, run, sender } => self.open(connection, run, sender),
            ProcessEvent::Frame { connection, message } => self.handle_frame(connection, message),
            ProcessEvent::ConnectionClosed { connection } => _ = self.connections.remove(&connection),
            ProcessEvent::SetFault(fault) => self.model.fault = fault,
            ProcessEvent::Pause(length) => {
                let now = self.now();
                self.model.pause(now, length);
            }
            ProcessEvent::CloseConnections => {
                for (_, connection) in self.connections.drain() {
                    _ = connection.sender.send(ToConnection::Close);
                }
            }
            ProcessEvent::ExitAfterChunks(chunks) => self.chunks_until_exit = Some(chunks),
        }
    }

    fn open(&mut self, connection: u64, run: u64, sender: ConnectionSender) {
        if !self.model.fault.is_mute {
            let (store, shard) = (self.identity.store, self.identity.shard);
            let welcome = FromStore::Welcome { store, shard, clock: self.clock() };
            _ = sender.send(ToConnection::Message(welcome));
        }
        self.connections.insert(connection, Connection { run, sender });
    }

    fn handle_frame(&mut self, connection: u64, message: ToStore) {
        let Some(run) = self.connections.get(&connection).map(|connection| connection.run) else { return };
        match message {
            ToStore::Hello { .. } => {}
            ToStore::Attempt(attempt) => {
                let arrived = self.now();
                self.receive(Job { connection, run, attempt, arrived });
            }
            ToStore::Cancel { number } => {
                if let Some(job) = self.model.cancel(run, number) {
                    self.send_result(&job, ResultCode::Cancelled);
                }
            }
            ToStore::Order { token, term, number, order } => {
                let Some(reply) = self.execute_order(term, number, &order) else { return };
                self.send(connection, FromStore::OrderReply { token, reply });
            }
            ToStore::HealthCheck { token } => {
                let (clock, load_report) = (self.clock(), self.model.load_report());
                self.send(connection, FromStore::Healthy { token, clock, load_report });
            }
        }
    }

    /// Executes and records a coordinator's order for a move; `None` when the disk's lock is poisoned.
    fn execute_order(&self, term: u64, number: u64, order: &Order) -> Option<OrderReply> {
        let clock = self.clock();
        let reply = self.identity.disk.lock().ok()?.execute_order(clock, term, number, order);
        let done = !matches!(reply, OrderReply::WrongState | OrderReply::StaleTerm(_));
        self.record(StoreEvent::Ordered { term, number, order: order.name().into(), done });
        Some(reply)
    }

    /// Sends a message on a connection if it is still open and the `mute` fault is not set.
    pub(super) fn send(&self, connection: u64, message: FromStore) {
        if self.model.fault.is_mute {
            return;
        }
        if let Some(connection) = self.connections.get(&connection) {
            _ = connection.sender.send(ToConnection::Message(message));
        }
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}
