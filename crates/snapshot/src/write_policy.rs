//! Decides when to append, begin a new file or back off. Free of I/O and of clocks; callers provide both.

use std::time::Duration;

use crate::format::FileHeader;

#[cfg(test)]
mod tests;

/// Interval between saves.
///
/// Invariant: at most half of [`PROMISE_DURATION`]. A gateway keeps the reserved tokens of its last two
/// saves. They cover a save for the duration of its promise only if saves are no more frequent than this
/// interval.
pub const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long the reserved tokens of a save are promised.
pub const PROMISE_DURATION: Duration = Duration::from_secs(2);

/// Long-run limit on the rate of writing, bytes a second.
const MAX_WRITE_RATE: f64 = (2 << 20) as f64;

/// How far writing may run ahead of that limit, so that promises do not expire while a new file is begun.
const WRITE_BURST: Duration = Duration::from_secs(3);

const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// How the next state is saved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDecision {
    /// Append a delta to the current file.
    Append,
    /// Begin a new file of this generation with the complete state.
    NewFile(u64),
    /// Write nothing, because of the rate limit or the backoff after a failure.
    Wait,
}

/// Decides when and to which file to write. It limits the size of files and the rate of writing, and backs
/// off after failures.
///
/// Invariant: a file is appended to only if every earlier write to it succeeded.
#[derive(Clone, Debug)]
pub struct WritePolicy {
    /// Header of the current file, or of the next one if there is no current file.
    header: FileHeader,
    /// Bytes in the current file; `None` if there is no file that may be appended to.
    file_bytes: Option<usize>,
    /// Size that a file reaches before the next one is begun, bytes.
    max_file_bytes: usize,
    /// Bytes of the current file up to the first delta.
    base_bytes: usize,
    /// Failed writes since the last success.
    failures: u32,
    /// When everything written so far would have been written at the long-run rate.
    rate_limited_until: Duration,
    /// No write happens before this time.
    wait_until: Duration,
}

impl WritePolicy {
    /// A policy whose first file has this header and grows to `max_file_bytes`.
    pub fn new(header: FileHeader, max_file_bytes: usize) -> WritePolicy {
        WritePolicy {
            header,
            file_bytes: None,
            max_file_bytes,
            base_bytes: 0,
            failures: 0,
            rate_limited_until: Duration::ZERO,
            wait_until: Duration::ZERO,
        }
    }

    /// Header of the current file, or of the next one if there is no current file.
    pub fn header(&self) -> &FileHeader {
        &self.header
    }

    /// Decides what to do at `now`, the time of a monotonic clock.
    pub fn decide(&self, now: Duration) -> WriteDecision {
        if now < self.wait_until {
            return WriteDecision::Wait;
        }
        // A file may grow to twice its base. Otherwise a large state would be written completely again and
        // again.
        let max_bytes = self.max_file_bytes.max(2 * self.base_bytes);
        match self.file_bytes {
            Some(bytes) if bytes < max_bytes => WriteDecision::Append,
            Some(_) => WriteDecision::NewFile(self.header.generation + 1),
            None => WriteDecision::NewFile(self.header.generation),
        }
    }

    /// Records that `decision` was carried out and this number of bytes was written and synced.
    pub fn record_success(&mut self, now: Duration, decision: WriteDecision, bytes: usize) {
        self.failures = 0;
        let write_time = Duration::from_secs_f64(bytes as f64 / MAX_WRITE_RATE);
        self.rate_limited_until = self.rate_limited_until.max(now) + write_time;
        self.wait_until = self.rate_limited_until.saturating_sub(WRITE_BURST);
        if let WriteDecision::NewFile(generation) = decision {
            self.header.generation = generation;
            self.file_bytes = Some(bytes);
            self.base_bytes = bytes;
        } else {
            self.file_bytes = self.file_bytes.map(|file_bytes| file_bytes + bytes);
        }
    }

    /// Records that a write failed.
    ///
    /// Hazard: after a failed sync, the content of the file on the disk is unknown, and a second sync may
    /// report success although data was dropped. The file is therefore never written to again: the next write
    /// begins a new file, after a backoff.
    pub fn record_failure(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF * 2u32.pow(self.failures.min(6));
        self.failures += 1;
        self.wait_until = now + backoff.min(MAX_BACKOFF);
        self.header.generation += 1;
        self.file_bytes = None;
    }
}
