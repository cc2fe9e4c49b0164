//! The log of changes as bytes: what its files are called, and a change as the body of an entry of the chain.

pub use crate::chain::{Broken, Done, Hash, Head, Reader};
use crate::chain::{Entry, Kind, Read, chain_hash};
use crate::change::Change;

pub const CHANGES: Kind = Kind { magic: b"UMBCHG", prefix: "changes-", suffix: ".log", fresh: "changes.new" };

/// A change's place in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct Past {
    pub version: u64,
    pub hash: Hash,
    pub change: Change,
}

impl Read for Past {
    fn of(Entry { version, hash, body }: Entry) -> Result<Past, Broken> {
        let wrong = |error: serde_json::Error| Broken::Wrong { version, what: error.to_string() };
        Ok(Past { version, hash, change: serde_json::from_slice(&body).map_err(wrong)? })
    }
}

pub fn name(version: u64) -> String {
    CHANGES.name(version)
}

pub fn body(change: &Change) -> Vec<u8> {
    // Strings and numbers cannot fail to be written to memory.
    serde_json::to_vec(change).unwrap_or_default()
}

/// Tells a change sent again from another under the same id; its time may differ.
pub fn likeness(change: &Change) -> u64 {
    let alike = body(&Change { at: 0, ..change.clone() });
    u64::from_le_bytes(*chain_hash(&[0; 32], &alike).first_chunk().unwrap_or(&[0; 8]))
}
