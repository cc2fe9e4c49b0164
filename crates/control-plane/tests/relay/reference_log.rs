//! The log as its writer wrote it, and false logs.

use bytes::Bytes;
use umbertray_control_plane::relay::Entry;
use umbertray_store_protocol::changes::Position;

/// Changes in a segment.
pub(crate) const SEGMENT: u64 = 16;

#[derive(Clone)]
pub struct Log {
    pub entries: Vec<Entry>,
    /// Bytes of a checkpoint, at least.
    pub state: usize,
    /// Bytes of its longest body.
    pub longest: usize,
    /// A word in its checkpoints that tells true from false ones.
    pub says: &'static str,
}

impl Log {
    pub fn new(state: usize) -> Log {
        Log { entries: Vec::new(), state, longest: 0, says: "true" }
    }

    pub fn head(&self) -> Position {
        self.entries.last().map_or(Position::START, |entry| entry.at)
    }

    pub fn at(&self, version: u64) -> Option<Position> {
        match version {
            0 => Some(Position::START),
            _ => self.entries.get(version as usize - 1).map(|entry| entry.at),
        }
    }

    pub fn write(&mut self, words: &str, length: usize) -> Entry {
        let mut body = format!("{words} {}", self.entries.len() + 1).into_bytes();
        body.resize(body.len().max(length), b'.');
        self.longest = self.longest.max(body.len());
        let at = self.head().after_change(&body);
        let entry = Entry { at, body: body.into() };
        self.entries.push(entry.clone());
        entry
    }

    /// The state after a version, as a checkpoint has it.
    pub fn checkpoint(&self, version: u64) -> (Position, Bytes) {
        let at = self.at(version).expect("a version of the log");
        let mut bytes = format!("{} {version} {:?}", self.says, at.hash).into_bytes();
        bytes.resize(bytes.len().max(self.state), b'.');
        (at, bytes.into())
    }

    /// The version that the newest segment begins after.
    pub fn segment(&self) -> u64 {
        self.entries.len() as u64 / SEGMENT * SEGMENT
    }
}
