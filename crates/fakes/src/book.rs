//! What stores saw, for the judge: every dispatch and what became of it, on one clock for the whole rehearsal.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// One thing that a store saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Microseconds since the rehearsal began.
    pub at: u64,
    pub store: u64,
    pub seen: Seen,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Seen {
    /// It began to serve, able to do so many units a second when warm; cold or not.
    Up { units_a_second: f64, cold: bool },
    /// Its process ended.
    Down,
    /// More came than a cold store bears: it stays down.
    Fell,
    Received {
        run: u64,
        number: u64,
        op: u64,
        volume: u64,
        extent: u64,
        work: String,
        offset: u32,
        length: u32,
        units: f64,
        /// The first eight bytes of a write's data: clients mark what they write.
        mark: u64,
    },
    /// A dispatch took effect, or its data was read.
    Ran { run: u64, number: u64 },
    /// A coordinator's order for a move; whether the store took it.
    Ordered { term: u64, number: u64, order: String, done: bool },
    /// It was answered with this code, whether or not the answer arrived.
    Answered { run: u64, number: u64, code: String },
}

/// A shared record; cloning it shares it.
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
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn began(&self) -> Instant {
        self.began
    }

    pub fn write(&self, store: u64, seen: Seen) {
        let at = self.now();
        if let Ok(mut entries) = self.entries.lock() {
            entries.push(Entry { at, store, seen });
        }
        self.written.notify_waiters();
    }

    /// Waits until so many entries fit; the first that made it so.
    pub async fn until(&self, count: usize, fits: impl Fn(&Entry) -> bool) -> Entry {
        loop {
            let written = self.written.notified();
            let found = self.entries().into_iter().filter(&fits).nth(count.saturating_sub(1));
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
