//! The process of a scripted store: one task that takes in events of its connections and of its script.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot};
use umbertray_store_protocol::orders::{Order, OrderReply};
use umbertray_store_protocol::store::{FromStore, ResultCode, ToStore};

use super::Identity;
use super::connection::{ConnectionSender, ToConnection};
use crate::book::Seen;
use crate::model::{Fault, Job, Model};

/// How long a store that ends in the midst of a read waits for each connection to write what it has.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Bound of the random start of a store's own clock, in microseconds.
const MAX_CLOCK_OFFSET_US: u64 = 1 << 40;

/// What the process is told by its connections and its script.
pub(super) enum ProcessEvent {
    /// A gateway said hello.
    Opened {
        connection: u64,
        run: u64,
        sender: ConnectionSender,
    },
    Frame {
        connection: u64,
        message: ToStore,
    },
    Closed {
        connection: u64,
    },
    SetFault(Fault),
    Pause(Duration),
    /// Attempts that came over them are worked on all the same.
    CloseConnections,
    /// Ends the store after so many more data chunks, in the midst of a read.
    DieAfterChunks(u32),
}

/// A connection over which a gateway said hello.
struct Connection {
    run: u64,
    sender: ConnectionSender,
}

/// A store's process; its end, however it comes, is recorded once.
pub(super) struct Process {
    pub(super) identity: Identity,
    pub(super) model: Model,
    began: Instant,
    /// The store's own clock starts anywhere.
    clock_offset: u64,
    connections: HashMap<u64, Connection>,
    pub(super) rng: StdRng,
    pub(super) chunks_to_live: Option<u32>,
    pub(super) down: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.record(Seen::Down);
    }
}

impl Process {
    pub(super) fn new(identity: Identity, cold: bool) -> Process {
        let mut rng = StdRng::seed_from_u64(identity.seed ^ identity.store);
        Process {
            model: Model::new(identity.power.clone(), Duration::ZERO, cold),
            began: Instant::now(),
            clock_offset: rng.random_range(0..MAX_CLOCK_OFFSET_US),
            connections: HashMap::new(),
            rng,
            chunks_to_live: None,
            down: false,
            identity,
        }
    }

    /// Time since the process began.
    pub(super) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// The store's own clock, in microseconds.
    pub(super) fn clock(&self) -> u64 {
        self.clock_offset + self.now().as_micros() as u64
    }

    pub(super) fn record(&self, seen: Seen) {
        self.identity.book.write(self.identity.store, seen);
    }

    /// Runs until the store is down or nobody can tell it anything more.
    pub(super) async fn run(mut self, mut events: mpsc::UnboundedReceiver<ProcessEvent>) {
        while !self.down {
            let due = self.model.next().map(|due| self.began + due);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = sleep_until(due) => {}
            }
            self.advance();
        }
        if self.chunks_to_live == Some(0) {
            self.flush_connections().await;
        }
    }

    /// A store that ends in the midst of a read has sent what it read so far.
    async fn flush_connections(&self) {
        for connection in self.connections.values() {
            let (sender, written) = oneshot::channel();
            _ = connection.sender.send(ToConnection::Flush(sender));
            _ = tokio::time::timeout(FINAL_FLUSH_TIMEOUT, written).await;
        }
    }

    fn handle_event(&mut self, event: ProcessEvent) {
        match event {
            ProcessEvent::Opened { connection, run, sender } => self.open(connection, run, sender),
            ProcessEvent::Frame { connection, message } => self.handle_frame(connection, message),
            ProcessEvent::Closed { connection } => _ = self.connections.remove(&connection),
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
            ProcessEvent::DieAfterChunks(chunks) => self.chunks_to_live = Some(chunks),
        }
    }

    fn open(&mut self, connection: u64, run: u64, sender: ConnectionSender) {
        if !self.model.fault.mute {
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
                    self.answer(&job, ResultCode::Cancelled);
                }
            }
            ToStore::Order { token, term, number, order } => {
                let Some(reply) = self.execute_order(term, number, &order) else { return };
                self.send(connection, FromStore::OrderReply { token, reply });
            }
            ToStore::HealthCheck { token } => {
                let (clock, load_report) = (self.clock(), self.model.report());
                self.send(connection, FromStore::Healthy { token, clock, load_report });
            }
        }
    }

    /// Executes and records a coordinator's order for a move; absent when the disk's lock is poisoned.
    fn execute_order(&self, term: u64, number: u64, order: &Order) -> Option<OrderReply> {
        let clock = self.clock();
        let reply = self.identity.medium.lock().ok()?.order(clock, term, number, order);
        let done = !matches!(reply, OrderReply::WrongState | OrderReply::StaleTerm(_));
        self.record(Seen::Ordered { term, number, order: order.name().into(), done });
        Some(reply)
    }

    /// Sends a message over a connection that is still open, unless the store is mute.
    pub(super) fn send(&self, connection: u64, message: FromStore) {
        if self.model.fault.mute {
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
