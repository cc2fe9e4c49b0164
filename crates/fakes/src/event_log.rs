//! Record of the events at all stores of a test: every attempt and its outcome, with timestamps of one clock
//! for the complete test.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// One event at a store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened, in microseconds since the record was started.
    pub at: u64,
    /// Id of the store at which it happened.
    pub store: u64,
    /// What happened.
    pub seen: StoreEvent,
}

/// An event at a store. The names of its variants and fields are part of the recorded JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// The store started to serve.
    Up {
        /// Units of work that it serves in a second when warm.
        units_a_second: f64,
        /// Whether it started cold, at reduced speed.
        cold: bool,
    },
    /// The store's process ended.
    Down,
    /// The store crashed because more work arrived than a cold store can handle; it stays down.
    Fell,
    /// An attempt arrived.
    Received {
        /// Run of the gateway that sent it.
        run: u64,
        /// Number of the attempt, unique within the run.
        number: u64,
        /// Operation that it belongs to.
        op: u64,
        /// Volume that it addresses.
        volume: u64,
        /// Extent within the volume.
        extent: u64,
        /// Name of the kind of operation, as it is recorded.
        work: String,
        /// Offset within the extent, in bytes.
        offset: u32,
        /// Length in bytes.
        length: u32,
        /// Estimated cost, in units of work.
        units: f64,
        /// The first eight bytes of the data as a big-endian number, by which test clients tell their writes
        /// apart; 0 if there are fewer bytes.
        mark: u64,
    },
    /// An attempt was executed: its change took effect, or its data was read.
    Ran {
        /// Run of the gateway that sent it.
        run: u64,
        /// Number of the attempt.
        number: u64,
    },
    /// A coordinator's order for a move arrived.
    Ordered {
        /// Term of the coordinator.
        term: u64,
        /// Number of the move.
        number: u64,
        /// Name of the order.
        order: String,
        /// Whether the store executed it.
        done: bool,
    },
    /// The store responded to an attempt. An injected fault may still drop the response.
    Answered {
        /// Run of the gateway that sent it.
        run: u64,
        /// Number of the attempt.
        number: u64,
        /// Name of the result code, as it is recorded.
        code: String,
    },
}

/// A record of events. All clones of it share the same entries.
#[derive(Clone)]
pub struct EventLog {
    started_at: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
    entry_added: Arc<Notify>,
}

impl Default for EventLog {
    fn default() -> EventLog {
        EventLog { started_at: Instant::now(), entries: Arc::default(), entry_added: Arc::default() }
    }
}

impl EventLog {
    /// Microseconds since the record was started.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Time since the record was started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// When the record was started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Appends an event of a store with the current time.
    pub fn record(&self, store: u64, seen: StoreEvent) {
        let at = self.now();
        if let Ok(mut entries) = self.entries.lock() {
            entries.push(Entry { at, store, seen });
        }
        self.entry_added.notify_waiters();
    }

    /// Waits until `count` entries match, and returns the last of these.
    pub async fn until(&self, count: usize, matches: impl Fn(&Entry) -> bool) -> Entry {
        loop {
            let entry_added = self.entry_added.notified();
            let found = self.entries().into_iter().filter(&matches).nth(count.saturating_sub(1));
            match found {
                Some(entry) => return entry,
                None => entry_added.await,
            }
        }
    }

    /// All entries so far, in the order in which they were added.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().map(|entries| entries.clone()).unwrap_or_default()
    }
}
