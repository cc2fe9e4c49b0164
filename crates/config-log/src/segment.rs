//! The log of changes as bytes: what its files are called, and a change as the body of an entry of the chain.

pub use crate::chain::{CompletedChange, Corruption, Hash, SegmentHeader, SegmentReader};
use crate::chain::{Entry, FromEntry, LogFormat, chain_hash};
use crate::change::Change;

pub const CHANGES: LogFormat =
    LogFormat { magic: b"UMBCHG", prefix: "changes-", suffix: ".log", temporary: "changes.new" };

/// A change's place in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedChange {
    pub version: u64,
    pub hash: Hash,
    pub change: Change,
}

impl FromEntry for CommittedChange {
    fn from_entry(Entry { version, hash, body }: Entry) -> Result<CommittedChange, Corruption> {
        let wrong = |error: serde_json::Error| Corruption::InvalidChange { version, what: error.to_string() };
        Ok(CommittedChange { version, hash, change: serde_json::from_slice(&body).map_err(wrong)? })
    }
}

pub fn file_name(version: u64) -> String {
    CHANGES.file_name(version)
}

pub fn body(change: &Change) -> Vec<u8> {
    // Strings and numbers cannot fail to be written to memory.
    serde_json::to_vec(change).unwrap_or_default()
}

/// Tells a change sent again from another under the same id; its time may differ.
pub fn fingerprint(change: &Change) -> u64 {
    let alike = body(&Change { at: 0, ..change.clone() });
    u64::from_le_bytes(*chain_hash(&[0; 32], &alike).first_chunk().unwrap_or(&[0; 8]))
}
