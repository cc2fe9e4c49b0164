//! The bytes of the log: segments, each with all that is known at its start and the changes since.
//!
//! A segment is a magic and version, then records as state files have them (`umbertray_state::format`). A change carries
//! the hash of the change before it, its own bytes included, so that none can be left out, edited or moved unseen. A
//! marker says up to which version the log is safe on the disk.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use umbertray_state::format::{next, record};

use crate::change::Change;

pub const MAGIC: &[u8; 6] = b"UMBCHG";
pub const VERSION: u16 = 1;

const PREFIX: &str = "changes-";
const SUFFIX: &str = ".log";

pub type Hash = [u8; 32];

/// A change's id, its version, and what tells it from another of that id.
pub type Done = (String, u64, u64);

/// A change's place in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct Past {
    pub version: u64,
    pub hash: Hash,
    pub change: Change,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The version that the checkpoint is of, and its hash in the chain.
    pub version: u64,
    pub hash: Hash,
    pub checkpoint: Vec<u8>,
    /// Changes done lately, for those sent again.
    pub done: VecDeque<Done>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    Head(Head),
    Change { body: Vec<u8>, hash: Hash },
    Safe { version: u64 },
}

/// What is wrong with a log. Nothing after that place is believed, and nothing is written to it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    #[error("not a log of changes")]
    Magic,
    #[error("format version {0}, newer than {VERSION}")]
    Newer(u16),
    #[error("no whole head")]
    Head,
    #[error("the chain is broken at version {0}: its change does not follow on the one before")]
    Chain(u64),
    #[error("bytes are damaged where version {0} should stand, and whole records follow")]
    Middle(u64),
    #[error("version {version} is wrong: {what}")]
    Wrong { version: u64, what: String },
    #[error("versions {from} to {to} are missing")]
    Missing { from: u64, to: u64 },
}

pub fn name(version: u64) -> String {
    format!("{PREFIX}{version:020}{SUFFIX}")
}

pub fn version_of(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?.parse().ok()
}

pub fn chained(before: &Hash, body: &[u8]) -> Hash {
    Sha256::new().chain_update(before).chain_update(body).finalize().into()
}

pub fn body(change: &Change) -> Vec<u8> {
    // Strings and numbers cannot fail to be written to memory.
    serde_json::to_vec(change).unwrap_or_default()
}

/// Tells a change sent again from another under the same id; its time may differ.
pub fn likeness(change: &Change) -> u64 {
    let alike = body(&Change { at: 0, ..change.clone() });
    u64::from_le_bytes(*chained(&[0; 32], &alike).first_chunk().unwrap_or(&[0; 8]))
}

pub fn opening(head: Head) -> Option<Vec<u8>> {
    let mut out = MAGIC.to_vec();
    out.extend(VERSION.to_le_bytes());
    out.extend(record(&Item::Head(head))?);
    Some(out)
}

/// Reads a segment as its bytes come; it stops where a record is not whole.
#[derive(Clone, Debug)]
pub struct Reader {
    pub version: u64,
    pub hash: Hash,
    /// The log is safe up to this version.
    pub safe: u64,
    /// Bytes that were whole records.
    pub read: u64,
}

impl Reader {
    /// Reads what comes before the changes; how the segment begins.
    pub fn open(bytes: &[u8]) -> Result<(Reader, Head), Broken> {
        let rest = bytes.strip_prefix(MAGIC).ok_or(Broken::Magic)?;
        let (version, mut rest) = rest.split_first_chunk::<2>().ok_or(Broken::Head)?;
        match u16::from_le_bytes(*version) {
            VERSION => {}
            newer if newer > VERSION => return Err(Broken::Newer(newer)),
            _ => return Err(Broken::Magic),
        }
        let Some(Item::Head(head)) = next(&mut rest) else { return Err(Broken::Head) };
        let read = (bytes.len() - rest.len()) as u64;
        // A segment is not there before its head is safe.
        Ok((Reader { version: head.version, hash: head.hash, safe: head.version, read }, head))
    }

    /// Takes whole records off the bytes that follow what was read; the changes among them.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Past>, Broken> {
        let (mut rest, mut changes) = (bytes, Vec::new());
        while let Some(item) = next::<Item>(&mut rest) {
            match item {
                Item::Change { body, hash } => {
                    let version = self.version + 1;
                    if hash != chained(&self.hash, &body) {
                        return Err(Broken::Chain(version));
                    }
                    let change = serde_json::from_slice(&body)
                        .map_err(|error| Broken::Wrong { version, what: error.to_string() })?;
                    (self.version, self.hash) = (version, hash);
                    changes.push(Past { version, hash, change });
                }
                Item::Safe { version } => self.safe = self.safe.max(version.min(self.version)),
                Item::Head(_) => return Err(Broken::Chain(self.version + 1)),
            }
        }
        self.read += (bytes.len() - rest.len()) as u64;
        Ok(changes)
    }
}

/// Danger: bytes at the end that are no record may be a write that a crash cut off, or damage to a change that was committed. A
/// whole record after them says that it is damage: cutting there would drop changes unseen.
pub fn whole_record_in(rest: &[u8]) -> bool {
    (1..rest.len()).any(|from| next::<Item>(&mut &rest[from..]).is_some())
}
