//! The log of changes as bytes: its files' names, and a change as the body of an entry of the chain.

pub use crate::chain::{CompletedChange, Corruption, Hash, SegmentHeader, SegmentReader};
use crate::chain::{Entry, FromEntry, LogFormat, chain_hash};
use crate::change::Change;

/// The files of the log of changes.
pub const CHANGES: LogFormat =
    LogFormat { magic: b"UMBCHG", prefix: "changes-", suffix: ".log", temporary: "changes.new" };

/// A change and its place in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedChange {
    /// The version that the change made.
    pub version: u64,
    /// The version's hash in the chain.
    pub hash: Hash,
    /// The change.
    pub change: Change,
}

impl FromEntry for CommittedChange {
    fn from_entry(Entry { version, hash, body }: Entry) -> Result<CommittedChange, Corruption> {
        let change = serde_json::from_slice(&body)
            .map_err(|error| Corruption::InvalidChange { version, reason: error.to_string() })?;
        Ok(CommittedChange { version, hash, change })
    }
}

/// The file of the segment that begins after a version.
pub fn file_name(version: u64) -> String {
    CHANGES.file_name(version)
}

/// A change as the body of an entry: JSON.
pub fn body(change: &Change) -> Vec<u8> {
    // Strings and numbers cannot fail to be written to memory.
    serde_json::to_vec(change).unwrap_or_default()
}

/// Distinguishes a change that is sent again, perhaps with another time, from another change under the same id.
pub fn fingerprint(change: &Change) -> u64 {
    let without_time = body(&Change { at: 0, ..change.clone() });
    u64::from_le_bytes(*chain_hash(&[0; 32], &without_time).first_chunk().unwrap_or(&[0; 8]))
}
