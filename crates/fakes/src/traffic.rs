//! Counts of the bytes that crossed a fake's sockets.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counters of a fake that reads from and writes to sockets.
#[derive(Debug, Default)]
pub struct Traffic {
    read: AtomicU64,
    written: AtomicU64,
    frames: AtomicU64,
}

/// Bytes both ways, and frames written, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crossed {
    /// Bytes read.
    pub read: u64,
    /// Bytes written.
    pub written: u64,
    /// Frames written.
    pub frames: u64,
}

impl Traffic {
    /// Counts bytes read.
    pub(crate) fn count_read(&self, bytes: usize) {
        self.read.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes and frames written.
    pub(crate) fn count_written(&self, bytes: usize, frames: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
        self.frames.fetch_add(frames as u64, Ordering::Relaxed);
    }

    /// The counts so far.
    pub fn crossed(&self) -> Crossed {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Crossed { read: load(&self.read), written: load(&self.written), frames: load(&self.frames) }
    }
}

impl Crossed {
    /// Bytes both ways.
    pub fn bytes(self) -> u64 {
        self.read + self.written
    }

    /// What was added since an earlier count.
    pub fn since(self, before: Crossed) -> Crossed {
        Crossed {
            read: self.read.saturating_sub(before.read),
            written: self.written.saturating_sub(before.written),
            frames: self.frames.saturating_sub(before.frames),
        }
    }
}

impl std::ops::Add for Crossed {
    type Output = Crossed;

    fn add(self, other: Crossed) -> Crossed {
        Crossed {
            read: self.read + other.read,
            written: self.written + other.written,
            frames: self.frames + other.frames,
        }
    }
}
