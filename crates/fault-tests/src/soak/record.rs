//! What clients, stores, discovery and proxies saw in a soak. Times are spans since its beginning.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How often an op of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Free,
    Once,
}

/// How a client's request ended, by what its client saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// `own`: the body is the one that stores give to this request.
    Answered { status: u16, own: bool },
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
    pub gateway: u32,
    pub id: u64,
    pub effect: Effect,
    /// How long its client said that it waits.
    pub left: Duration,
    pub first_byte: Duration,
    pub last_byte: Duration,
    /// It was the first of its connection.
    pub fresh: bool,
    pub end: End,
    pub ended: Duration,
}

/// A client that stopped in the middle of a request.
#[derive(Clone, Debug)]
pub struct Stopped {
    pub gateway: u32,
    pub stopped: Duration,
    /// When it had an error or a close.
    pub ended: Option<Duration>,
}

/// The head of an attempt as it left a gateway.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub gateway: u32,
    pub store: u32,
    pub id: u64,
    pub at: Duration,
    /// The time that it told its store.
    pub told: Duration,
}

/// An attempt that came whole to a store.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub store: u32,
    pub id: u64,
    pub at: Duration,
    /// It was not turned away unrun.
    pub ran: bool,
}

/// A store that began to drain, and until when the list said so.
#[derive(Clone, Debug)]
pub struct Drained {
    pub store: u32,
    pub from: Duration,
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
    pub gateway: u32,
    pub disturbance: Disturbance,
    pub from: Duration,
    pub to: Duration,
}

/// How a process ended that was told to.
#[derive(Clone, Debug)]
pub struct Exit {
    pub gateway: u32,
    pub told: Duration,
    /// SIGKILL came so long after SIGTERM, if it had not ended by then.
    pub kill_after: Duration,
    /// It was stopped around SIGTERM, as a process may be held up.
    pub held_up: bool,
    /// Nothing: it had not within the time to SIGKILL.
    pub ended: Option<Duration>,
    pub success: bool,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub requests: Vec<Request>,
    pub stopped: Vec<Stopped>,
    pub attempts: Vec<Attempt>,
    pub arrivals: Vec<Arrival>,
    pub drains: Vec<Drained>,
    pub windows: Vec<Window>,
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
