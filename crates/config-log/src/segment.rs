//! The stored form of the change log: its file names, and the encoding of a change as the body of an entry.

pub use crate::chain::{CompletedChange, Corruption, Hash, SegmentHeader, SegmentReader};
use crate::chain::{Entry, FromEntry, LogFormat, chain_hash};
use crate::change::Change;

/// The magic and the file names of the change log.
pub const CHANGES: LogFormat =
    LogFormat { magic: b"UMBCHG", prefix: "changes-", suffix: ".log", temporary_name: "changes.new" };

/// A change and its position in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedChange {
    /// The version that the change created.
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

/// The file name of the segment that begins after a version.
pub fn file_name(version: u64) -> String {
    CHANGES.file_name(version)
}

/// Encodes a change as the body of an entry, in JSON.
pub fn encode_body(change: &Change) -> Vec<u8> {
    // Serializing strings and numbers to memory cannot fail.
    serde_json::to_vec(change).unwrap_or_default()
}

/// A hash of a change without its time. It distinguishes a change that is sent again, possibly with another
/// time, from a different change under the same id.
pub fn fingerprint(change: &Change) -> u64 {
    let without_time = encode_body(&Change { at: 0, ..change.clone() });
    u64::from_le_bytes(*chain_hash(&[0; 32], &without_time).first_chunk().unwrap_or(&[0; 8]))
}
