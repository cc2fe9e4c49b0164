//! The part of the log that a node holds: a checkpoint and the newest entries, both bounded.

use std::collections::VecDeque;

use bytes::Bytes;
use umbertray_store_protocol::changes::{Checkpoint, Hash, Position};

use super::{Entry, MAX_SUFFIX_BYTES, MAX_SUFFIX_ENTRIES};

/// Bytes that each entry counts in addition to its body.
pub(super) const ENTRY_OVERHEAD: usize = 96;
/// Maximum number of hashes held by a node without followers. It uses them to detect an upstream with another
/// history.
const MAX_HASHES: usize = 4096;

/// Why the entries after a position cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Gap {
    /// The entries are no longer held.
    Trimmed,
    /// The position is after the head.
    Ahead,
    /// This history has a different hash at the version of the position.
    Fork,
}

/// Whether entries are held with their bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Retention {
    /// Bodies and checkpoints are held, to send them to followers.
    Bodies,
    /// Only hashes are held.
    Hashes,
}

/// The newest part of the log.
///
/// Invariant: the entries have no gap, the newest is last, and each is chained to the previous one.
pub(super) struct LogSuffix {
    retention: Retention,
    checkpoint: Option<(Checkpoint, Bytes)>,
    /// The position before the first entry; `None` while no part of the log is known.
    base: Option<Position>,
    entries: VecDeque<Entry>,
    entry_bytes: usize,
}

impl LogSuffix {
    pub(super) fn new(retention: Retention) -> LogSuffix {
        LogSuffix { retention, checkpoint: None, base: None, entries: VecDeque::new(), entry_bytes: 0 }
    }

    pub(super) fn head(&self) -> Option<Position> {
        self.entries.back().map(|entry| entry.position).or(self.base)
    }

    /// The oldest version after which entries are held.
    pub(super) fn oldest_version(&self) -> u64 {
        self.base.map_or(0, |base| base.version)
    }

    pub(super) fn checkpoint(&self) -> Option<Checkpoint> {
        self.checkpoint.as_ref().map(|(checkpoint, _)| *checkpoint)
    }

    pub(super) fn checkpoint_bytes(&self) -> Option<&Bytes> {
        self.checkpoint.as_ref().map(|(_, bytes)| bytes)
    }

    pub(super) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of the checkpoint and all entries.
    pub(super) fn held_bytes(&self) -> usize {
        self.entry_bytes + self.checkpoint_bytes().map_or(0, Bytes::len)
    }

    pub(super) fn hash_at(&self, version: u64) -> Option<Hash> {
        let base = self.base?;
        match version.checked_sub(base.version)? {
            0 => Some(base.hash),
            distance => {
                let index = usize::try_from(distance - 1).ok()?;
                self.entries.get(index).map(|entry| entry.position.hash)
            }
        }
    }

    /// Whether this history has a different hash at the version of `position`; false if it holds no hash
    /// there.
    pub(super) fn contradicts(&self, position: Position) -> bool {
        self.hash_at(position.version).is_some_and(|hash| hash != position.hash)
    }

    /// The first entry after a version, if it is held.
    pub(super) fn entry_after(&self, version: u64) -> Option<&Entry> {
        let index = version.checked_sub(self.base?.version)?;
        self.entries.get(usize::try_from(index).ok()?)
    }

    /// Whether the entries after a position can be sent.
    ///
    /// # Errors
    /// The [`Gap`] that prevents it.
    pub(super) fn check_position(&self, position: &Position) -> Result<(), Gap> {
        let head = self.head().ok_or(Gap::Ahead)?;
        match self.hash_at(position.version) {
            Some(hash) if hash == position.hash => Ok(()),
            Some(_) => Err(Gap::Fork),
            None if position.version > head.version => Err(Gap::Ahead),
            None => Err(Gap::Trimmed),
        }
    }

    /// Discards everything held and starts again from a checkpoint.
    pub(super) fn reset(&mut self, checkpoint: Checkpoint, bytes: Bytes) {
        self.clear();
        self.base = Some(checkpoint.position);
        self.replace_checkpoint(checkpoint, bytes);
    }

    /// Starts at the position of a state that the owner already has.
    pub(super) fn resume_from(&mut self, position: Position) {
        self.base = Some(position);
    }

    pub(super) fn clear(&mut self) {
        *self = LogSuffix::new(self.retention);
    }

    /// Replaces the checkpoint by a newer one of the same history.
    pub(super) fn replace_checkpoint(&mut self, checkpoint: Checkpoint, bytes: Bytes) {
        if self.retention == Retention::Bodies {
            self.checkpoint = Some((checkpoint, bytes));
        }
        self.trim();
    }

    pub(super) fn append(&mut self, entry: Entry) {
        let body = match self.retention {
            Retention::Bodies => entry.body,
            Retention::Hashes => Bytes::new(),
        };
        self.entry_bytes += ENTRY_OVERHEAD + body.len();
        self.entries.push_back(Entry { position: entry.position, body });
        self.trim();
    }

    fn trim(&mut self) {
        let max_bytes = MAX_SUFFIX_BYTES.max(self.checkpoint_bytes().map_or(0, Bytes::len));
        let max_entries = match self.retention {
            Retention::Bodies => MAX_SUFFIX_ENTRIES,
            Retention::Hashes => MAX_HASHES,
        };
        while self.entries.len() > max_entries || self.entry_bytes > max_bytes && self.entries.len() > 1 {
            let Some(first) = self.entries.pop_front() else { return };
            self.entry_bytes -= ENTRY_OVERHEAD + first.body.len();
            self.base = Some(first.position);
        }
    }

    /// Whether entries right after the checkpoint were trimmed, so that a new follower cannot start from it.
    pub(super) fn has_outgrown_checkpoint(&self) -> bool {
        self.checkpoint().is_some_and(|checkpoint| checkpoint.position.version < self.oldest_version())
    }
}
