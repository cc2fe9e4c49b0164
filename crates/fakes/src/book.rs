//! The record of what stores saw: every attempt and what became of it, on one clock for the whole test.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// One event at a store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Microseconds since the record began.
    pub at: u64,
    /// Id of the store that saw it.
    pub store: u64,
    /// What it saw.
    pub seen: Seen,
}

/// An event at a store. The names of its variants and fields are part of the recorded JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Seen {
    /// The store began to serve.
    Up {
        /// Units of work a second when warm.
        units_a_second: f64,
        /// Whether it started cold.
        cold: bool,
    },
    /// The store ended.
    Down,
    /// The store crashed under more work than a cold store bears, and stays down.
    Fell,
    /// An attempt arrived.
    Received {
        /// Run of the gateway that sent it.
        run: u64,
        /// Number of the attempt, unique within the run.
        number: u64,
        /// Operation that it is an attempt of.
        op: u64,
        /// Volume addressed.
        volume: u64,
        /// Extent within the volume.
        extent: u64,
        /// Recorded name of the kind of operation.
        work: String,
        /// Offset within the extent, in bytes.
        offset: u32,
        /// Length in bytes.
        length: u32,
        /// Estimated cost, in units of work.
        units: f64,
        /// The first eight bytes of a write's data: clients mark what they write.
        mark: u64,
    },
    /// An attempt took effect, or its data was read.
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
        /// Whether the store took it.
        done: bool,
    },
    /// An attempt was answered, whether or not the answer arrived.
    Answered {
        /// Run of the gateway that sent it.
        run: u64,
        /// Number of the attempt.
        number: u64,
        /// Recorded name of the result code.
        code: String,
    },
}

/// A record of events; its clones share it.
#[derive(Clone)]
pub struct Book {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
    written: Arc<Notify>,
}

impl Default for Book {
    fn default() -> Book {
        Book { began: Instant::now(), entries: Arc::default(), written: Arc::default() }
    }
}

impl Book {
    /// Microseconds since the record began.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// Time since the record began.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// When the record began.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// Appends an event of a store, stamped with the present time.
    pub fn write(&self, store: u64, seen: Seen) {
        let at = self.now();
        if let Ok(mut entries) = self.entries.lock() {
            entries.push(Entry { at, store, seen });
        }
        self.written.notify_waiters();
    }

    /// Waits until `count` entries match; the last of these.
    pub async fn until(&self, count: usize, matches: impl Fn(&Entry) -> bool) -> Entry {
        loop {
            let written = self.written.notified();
            let found = self.entries().into_iter().filter(&matches).nth(count.saturating_sub(1));
            match found {
                Some(entry) => return entry,
                None => written.await,
            }
        }
    }

    /// All that was written so far, in order.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().map(|entries| entries.clone()).unwrap_or_default()
    }
}
