//! What clients, stores, discovery and proxies saw in a soak. Times are spans since its beginning.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How often an op of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Free,
    /// Once at most.
    Once,
}

/// How a client's request ended, by what its client saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer came.
    Answered {
        /// Its status.
        status: u16,
        /// Whether its body is the one that stores give to this request.
        own: bool,
    },
    /// The gateway closed the connection, with no whole answer.
    Closed,
    /// The client closed its connection.
    Cancelled,
    /// Nothing came for as long as the client waited, well beyond its time.
    Silent,
}

/// A request of a good client, written whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the gateway.
    pub gateway: u32,
    /// The request's id.
    pub id: u64,
    /// How often its op may run.
    pub effect: Effect,
    /// How long its client said that it waits.
    pub left: Duration,
    /// When its first byte was written.
    pub first_byte: Duration,
    /// When its last byte was written.
    pub last_byte: Duration,
    /// It was the first of its connection.
    pub fresh: bool,
    /// How it ended.
    pub end: End,
    /// When it ended.
    pub ended: Duration,
}

/// A client that stopped in the middle of a request.
#[derive(Clone, Debug)]
pub struct Stopped {
    /// Number of the gateway.
    pub gateway: u32,
    /// When it stopped.
    pub stopped: Duration,
    /// When it had an error or a close.
    pub ended: Option<Duration>,
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
    /// When it left.
    pub at: Duration,
    /// The time that it told its store.
    pub told: Duration,
}

/// An attempt that came whole to a store.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the store.
    pub store: u32,
    /// The request's id.
    pub id: u64,
    /// When it came.
    pub at: Duration,
    /// It was not turned away unrun.
    pub ran: bool,
}

/// A store that began to drain, and until when the list said so.
#[derive(Clone, Debug)]
pub struct Drained {
    /// Number of the store.
    pub store: u32,
    /// When the list began to say so.
    pub from: Duration,
    /// When the list no longer said so.
    pub to: Duration,
}

/// What disturbed a gateway, so that some rules are not asked of it for the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Its link to its clients, the process or the machine of this test was disturbed.
    Clients,
    /// Its link to discovery was.
    Discovery,
    /// It drained, from SIGTERM until it was ready again.
    Drain,
    /// It was killed, until it was ready again.
    Killed,
    /// A crowd of clients filled its descriptors: new connections may be shut unread.
    Crowd,
}

/// A disturbance in its time.
#[derive(Clone, Debug)]
pub struct Window {
    /// Number of the gateway.
    pub gateway: u32,
    /// What it was.
    pub disturbance: Disturbance,
    /// When it began.
    pub from: Duration,
    /// When it was over.
    pub to: Duration,
}

/// How a process ended that was told to.
#[derive(Clone, Debug)]
pub struct Exit {
    /// Number of the gateway.
    pub gateway: u32,
    /// When SIGTERM was sent.
    pub told: Duration,
    /// SIGKILL came so long after SIGTERM, if it had not ended by then.
    pub kill_after: Duration,
    /// It was stopped around SIGTERM, as a process may be held up.
    pub held_up: bool,
    /// Nothing: it had not within the time to SIGKILL.
    pub ended: Option<Duration>,
    /// It ended with success.
    pub success: bool,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests of good clients.
    pub requests: Vec<Request>,
    /// Clients that stopped in the middle of a request.
    pub stopped: Vec<Stopped>,
    /// Attempts as they left gateways.
    pub attempts: Vec<Attempt>,
    /// Attempts as they came to stores.
    pub arrivals: Vec<Arrival>,
    /// Stores that drained.
    pub drains: Vec<Drained>,
    /// What disturbed gateways.
    pub windows: Vec<Window>,
    /// Processes that were told to end.
    pub exits: Vec<Exit>,
    /// Processes that ended unasked, and panics that processes wrote to standard error.
    pub crashes: Vec<String>,
    /// Gateways that served nothing after the last fault.
    pub unserving: Vec<u32>,
    /// When this test itself was held up, and for how long.
    pub stalls: Vec<(Duration, Duration)>,
}

/// A record that is being written.
pub struct Book {
    began: Instant,
    record: Mutex<Record>,
}

impl Book {
    /// An empty one; its clock begins now.
    pub fn open() -> Book {
        Book { began: Instant::now(), record: Mutex::default() }
    }

    /// The span since its beginning.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes into it.
    pub fn write(&self, write: impl FnOnce(&mut Record)) {
        let mut record = self.record.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        write(&mut record);
    }

    /// A copy of all that was written.
    pub fn read(&self) -> Record {
        self.record.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }
}
