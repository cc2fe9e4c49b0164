//! Counters of the traffic on a fake's sockets.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counters of the traffic on all sockets of a fake.
#[derive(Debug, Default)]
pub struct Traffic {
    read: AtomicU64,
    written: AtomicU64,
    frames: AtomicU64,
}

/// Bytes in both directions and frames written, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficCounts {
    /// Bytes read.
    pub read: u64,
    /// Bytes written.
    pub written: u64,
    /// Frames written.
    pub frames: u64,
}

impl Traffic {
    /// Adds to the bytes read.
    pub(crate) fn count_read(&self, bytes: usize) {
        self.read.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds to the bytes and frames written.
    pub(crate) fn count_written(&self, bytes: usize, frames: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
        self.frames.fetch_add(frames as u64, Ordering::Relaxed);
    }

    /// The counts so far.
    pub fn counts(&self) -> TrafficCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TrafficCounts { read: load(&self.read), written: load(&self.written), frames: load(&self.frames) }
    }
}

impl TrafficCounts {
    /// Bytes in both directions.
    pub fn bytes(self) -> u64 {
        self.read + self.written
    }

    /// The difference to earlier counts.
    pub fn since(self, before: TrafficCounts) -> TrafficCounts {
        TrafficCounts {
            read: self.read.saturating_sub(before.read),
            written: self.written.saturating_sub(before.written),
            frames: self.frames.saturating_sub(before.frames),
        }
    }
}

impl std::ops::Add for TrafficCounts {
    type Output = TrafficCounts;

    fn add(self, other: TrafficCounts) -> TrafficCounts {
        TrafficCounts {
            read: self.read + other.read,
            written: self.written + other.written,
            frames: self.frames + other.frames,
        }
    }
}
