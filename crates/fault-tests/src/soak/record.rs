//! The record of what clients, stores, discovery and proxies observed in a soak. Times count from the start
//! of the record.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How often an op of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Free,
    /// At most once.
    Once,
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response arrived.
    Responded {
        /// Status of the response.
        status: u16,
        /// Whether the body is the one that stores send for this request.
        is_own: bool,
    },
    /// The gateway closed the connection without a complete response.
    Closed,
    /// The client closed its connection.
    Cancelled,
    /// Neither a response nor a close arrived while the client waited, well beyond the request's time left.
    Silent,
}

/// A request of a well-behaved client, sent completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the gateway.
    pub gateway: u32,
    /// The request's id.
    pub id: u64,
    /// How often its op may run.
    pub effect: Effect,
    /// Time left that the client sent with the request.
    pub time_left: Duration,
    /// When its first byte was written.
    pub first_byte: Duration,
    /// When its last byte was written.
    pub last_byte: Duration,
    /// Whether it was the first request of its connection.
    pub is_first_on_connection: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_at: Duration,
}

/// A client that stopped in the middle of a request.
#[derive(Clone, Debug)]
pub struct StoppedClient {
    /// Number of the gateway.
    pub gateway: u32,
    /// When it stopped.
    pub stopped_at: Duration,
    /// When it received an error or a close.
    pub ended_at: Option<Duration>,
}

/// The head of an attempt as it left a gateway.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of the gateway.
    pub gateway: u32,
    /// Number of the store.
    pub store: u32,
    /// The request's id.
    pub id: u64,
    /// When it left the gateway.
    pub at: Duration,
    /// Time left that the gateway sent to the store.
    pub time_left: Duration,
}

/// An attempt that arrived completely at a store.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the store.
    pub store: u32,
    /// The request's id.
    pub id: u64,
    /// When it arrived.
    pub at: Duration,
    /// Whether it ran; false if the store rejected it without running it.
    pub ran: bool,
}

/// A period in which discovery listed a store as draining or gone.
#[derive(Clone, Debug)]
pub struct StoreDrain {
    /// Number of the store.
    pub store: u32,
    /// When discovery began to list it so.
    pub from: Duration,
    /// When discovery listed it as ready again.
    pub to: Duration,
}

/// A disturbance of a gateway, during which some rules are not checked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// The link to its clients, the process itself or the test's machine was disturbed.
    Clients,
    /// The link to discovery was disturbed.
    Discovery,
    /// The gateway was terminated and restarted: from SIGTERM until it was ready again.
    Drain,
    /// The gateway was killed and restarted: from SIGKILL until it was ready again.
    Killed,
    /// A crowd of clients used up its file descriptors: it may close new connections without reading from
    /// them.
    Crowd,
}

/// A disturbance with its time.
#[derive(Clone, Debug)]
pub struct DisturbanceWindow {
    /// Number of the gateway.
    pub gateway: u32,
    /// The disturbance.
    pub disturbance: Disturbance,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub to: Duration,
}

/// How a process ended after SIGTERM.
#[derive(Clone, Debug)]
pub struct Exit {
    /// Number of the gateway.
    pub gateway: u32,
    /// When SIGTERM was sent.
    pub sigterm_at: Duration,
    /// Time from SIGTERM to SIGKILL, which is sent if the process has not exited by then.
    pub kill_after: Duration,
    /// Whether it was stalled around SIGTERM, for no longer than a gateway must tolerate.
    pub held_up: bool,
    /// When it exited; `None` if it had not by the time of SIGKILL.
    pub ended_at: Option<Duration>,
    /// Whether the exit status was success.
    pub success: bool,
}

/// Everything that was observed in a soak.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests of well-behaved clients.
    pub requests: Vec<Request>,
    /// Clients that stopped in the middle of a request.
    pub stopped_clients: Vec<StoppedClient>,
    /// Attempts as they left gateways.
    pub attempts: Vec<Attempt>,
    /// Attempts as they arrived at stores.
    pub arrivals: Vec<Arrival>,
    /// Drains of stores.
    pub drains: Vec<StoreDrain>,
    /// Disturbances of gateways.
    pub windows: Vec<DisturbanceWindow>,
    /// Exits of processes after SIGTERM.
    pub exits: Vec<Exit>,
    /// Processes that failed to start or to become ready, or exited unexpectedly, and error lines in their
    /// logs.
    pub crashes: Vec<String>,
    /// Gateways that served no request after the last fault.
    pub unresponsive: Vec<u32>,
    /// Pauses of the test process: when each was detected, and how long it was.
    pub held_up: Vec<(Duration, Duration)>,
}

/// A record that several tasks write to.
pub struct SharedRecord {
    began: Instant,
    record: Mutex<Record>,
}

impl SharedRecord {
    /// An empty record whose clock starts now.
    pub fn start() -> SharedRecord {
        SharedRecord { began: Instant::now(), record: Mutex::default() }
    }

    /// Time since the start of the record.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Changes the record.
    pub fn update(&self, update: impl FnOnce(&mut Record)) {
        let mut record = self.record.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        update(&mut record);
    }

    /// A copy of the record.
    pub fn snapshot(&self) -> Record {
        self.record.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }
}
