//! The true log as its writer wrote it; lying relays use false logs of the same type.

use bytes::Bytes;
use umbertray_control_plane::relay::Entry;
use umbertray_store_protocol::changes::Position;

/// Number of changes in a segment.
pub(crate) const SEGMENT: u64 = 16;

#[derive(Clone)]
pub struct Log {
    pub entries: Vec<Entry>,
    /// Minimum size of a checkpoint in bytes.
    pub checkpoint_bytes: usize,
    /// Size of the longest body in bytes.
    pub longest_body: usize,
    /// A word in its checkpoints that distinguishes true from false ones.
    pub label: &'static str,
}

impl Log {
    pub fn new(checkpoint_bytes: usize) -> Log {
        Log { entries: Vec::new(), checkpoint_bytes, longest_body: 0, label: "true" }
    }

    pub fn head(&self) -> Position {
        self.entries.last().map_or(Position::START, |entry| entry.position)
    }

    pub fn position_at(&self, version: u64) -> Option<Position> {
        match version {
            0 => Some(Position::START),
            _ => self.entries.get(version as usize - 1).map(|entry| entry.position),
        }
    }

    pub fn write(&mut self, prefix: &str, length: usize) -> Entry {
        let mut body = format!("{prefix} {}", self.entries.len() + 1).into_bytes();
        body.resize(body.len().max(length), b'.');
        self.longest_body = self.longest_body.max(body.len());
        let position = self.head().after_change(&body);
        let entry = Entry { position, body: body.into() };
        self.entries.push(entry.clone());
        entry
    }

    /// The position and state after a version, as in a checkpoint.
    pub fn checkpoint(&self, version: u64) -> (Position, Bytes) {
        let position = self.position_at(version).expect("a version of the log");
        let mut bytes = format!("{} {version} {:?}", self.label, position.hash).into_bytes();
        bytes.resize(bytes.len().max(self.checkpoint_bytes), b'.');
        (position, bytes.into())
    }

    /// The version after which the newest segment begins.
    pub fn segment(&self) -> u64 {
        self.entries.len() as u64 / SEGMENT * SEGMENT
    }
}
