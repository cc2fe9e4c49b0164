//! What a node holds of the log: a checkpoint and the entries before its newest, bounded.

use std::collections::VecDeque;

use bytes::Bytes;
use umbertray_store_protocol::changes::{Checkpoint, Hash, Position};

use super::{Entry, MAX_SUFFIX_BYTES, MAX_SUFFIX_ENTRIES};

/// Bytes that an entry takes besides its body's.
pub const ENTRY: usize = 96;
/// A node without followers holds so many hashes, by which it knows an upstream of another history.
const HASHES: usize = 4096;

/// Why entries after a position cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// They are not held any more.
    Gone,
    /// The version is not there yet.
    Ahead,
    /// The version has another hash.
    Fork,
}

/// Entries without a gap, the newest last, each chained to the one before.
pub struct Tail {
    /// Bodies are kept only for followers.
    bodies: bool,
    checkpoint: Option<(Checkpoint, Bytes)>,
    /// The position before the first entry; none: nothing is known yet.
    before: Option<Position>,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Tail {
    pub fn new(bodies: bool) -> Tail {
        Tail { bodies, checkpoint: None, before: None, entries: VecDeque::new(), bytes: 0 }
    }

    pub fn head(&self) -> Option<Position> {
        self.entries.back().map(|entry| entry.at).or(self.before)
    }

    /// The oldest version that its entries go on from.
    pub fn from(&self) -> u64 {
        self.before.map_or(0, |before| before.version)
    }

    pub fn checkpoint(&self) -> Option<Checkpoint> {
        self.checkpoint.as_ref().map(|(checkpoint, _)| *checkpoint)
    }

    pub fn checkpoint_bytes(&self) -> Option<&Bytes> {
        self.checkpoint.as_ref().map(|(_, bytes)| bytes)
    }

    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Of the checkpoint and all entries.
    pub fn bytes(&self) -> usize {
        self.bytes + self.checkpoint_bytes().map_or(0, Bytes::len)
    }

    pub fn hash_at(&self, version: u64) -> Option<Hash> {
        let before = self.before?;
        match version.checked_sub(before.version)? {
            0 => Some(before.hash),
            after => self.entries.get(usize::try_from(after - 1).ok()?).map(|entry| entry.at.hash),
        }
    }

    pub fn after(&self, version: u64) -> Option<&Entry> {
        let after = version.checked_sub(self.before?.version)?;
        self.entries.get(usize::try_from(after).ok()?)
    }

    /// Whether entries can be sent after a position.
    pub fn follows(&self, position: &Position) -> Result<(), Missing> {
        let head = self.head().ok_or(Missing::Ahead)?;
        match self.hash_at(position.version) {
            Some(hash) if hash == position.hash => Ok(()),
            Some(_) => Err(Missing::Fork),
            None if position.version > head.version => Err(Missing::Ahead),
            None => Err(Missing::Gone),
        }
    }

    /// Begins anew with a state.
    pub fn reset(&mut self, checkpoint: Checkpoint, bytes: Bytes) {
        self.clear();
        self.before = Some(checkpoint.at);
        self.renew(checkpoint, bytes);
    }

    /// Begins with a state that the owner has.
    pub fn go_on_from(&mut self, at: Position) {
        self.before = Some(at);
    }

    pub fn clear(&mut self) {
        *self = Tail::new(self.bodies);
    }

    /// Takes a newer checkpoint of the history that is held.
    pub fn renew(&mut self, checkpoint: Checkpoint, bytes: Bytes) {
        if self.bodies {
            self.checkpoint = Some((checkpoint, bytes));
        }
        self.trim();
    }

    pub fn push(&mut self, entry: Entry) {
        let body = if self.bodies { entry.body } else { Bytes::new() };
        self.bytes += ENTRY + body.len();
        self.entries.push_back(Entry { at: entry.at, body });
        self.trim();
    }

    fn trim(&mut self) {
        let bytes = MAX_SUFFIX_BYTES.max(self.checkpoint_bytes().map_or(0, Bytes::len));
        let count = if self.bodies { MAX_SUFFIX_ENTRIES } else { HASHES };
        while self.entries.len() > count || self.bytes > bytes && self.entries.len() > 1 {
            let Some(first) = self.entries.pop_front() else { return };
            self.bytes -= ENTRY + first.body.len();
            self.before = Some(first.at);
        }
    }

    /// Whether a new follower could go on from the checkpoint.
    pub fn outgrown(&self) -> bool {
        self.checkpoint().is_some_and(|checkpoint| checkpoint.at.version < self.from())
    }
}
