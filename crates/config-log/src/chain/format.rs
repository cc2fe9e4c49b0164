//! The bytes of a segment: its file's name, its opening and its records; and what may be wrong with them.

use std::collections::VecDeque;
use std::io;

use serde::{Deserialize, Serialize};
use umbertray_snapshot::record::encode_record;

use super::Hash;

/// The format version that is written and read.
pub const VERSION: u16 = 1;

/// A change that was done, for recognising one that is sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedChange {
    /// The change's id, chosen by its author.
    pub id: String,
    /// The version that it made.
    pub version: u64,
    /// Distinguishes it from another change under the same id.
    pub fingerprint: u64,
}

/// How the files of one kind of log begin and are named.
#[derive(Debug, PartialEq, Eq)]
pub struct LogFormat {
    /// The first bytes of every segment.
    pub magic: &'static [u8; 6],
    /// A segment's name is this, the version in twenty digits, and the suffix.
    pub prefix: &'static str,
    /// The end of a segment's name.
    pub suffix: &'static str,
    /// The name of a segment until it is whole and synced.
    pub temporary: &'static str,
}

impl LogFormat {
    /// The file of the segment that begins after a version.
    pub fn file_name(&self, version: u64) -> String {
        format!("{}{version:020}{}", self.prefix, self.suffix)
    }

    /// The version after which the segment of this file name begins; `None` where the file is no segment.
    pub fn version_in(&self, name: &str) -> Option<u64> {
        name.strip_prefix(self.prefix)?.strip_suffix(self.suffix)?.parse().ok()
    }

    /// The bytes of a segment without entries; `None` where the header is too long for a record.
    pub(super) fn encode_opening(&self, header: SegmentHeader) -> Option<Vec<u8>> {
        let mut bytes = self.magic.to_vec();
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend(encode_record(&LogRecord::Header(header))?);
        Some(bytes)
    }

    /// Checks magic and version, and returns the bytes after them.
    pub(super) fn strip_opening<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], Corruption> {
        let rest = bytes.strip_prefix(self.magic).ok_or(Corruption::NotALog)?;
        let (version, rest) = rest.split_first_chunk::<2>().ok_or(Corruption::NoHeader)?;
        match u16::from_le_bytes(*version) {
            VERSION => Ok(rest),
            newer if newer > VERSION => Err(Corruption::NewerFormat(newer)),
            _ => Err(Corruption::NotALog),
        }
    }
}

/// A body and its place in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The version that the body makes; one more than that of the entry before.
    pub version: u64,
    /// Hash of the entry before and of this body.
    pub hash: Hash,
    /// The bytes, opaque to the chain.
    pub body: Vec<u8>,
}

/// What a reader decodes entries into.
pub trait FromEntry: Sized {
    /// Decodes an entry.
    ///
    /// # Errors
    /// [`Corruption`] where the body is invalid; the reading ends there, and nothing that follows is decoded.
    fn from_entry(entry: Entry) -> Result<Self, Corruption>;
}

impl FromEntry for Entry {
    fn from_entry(entry: Entry) -> Result<Entry, Corruption> {
        Ok(entry)
    }
}

/// The first record of a segment: the whole state at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// The version that the checkpoint is of.
    pub version: u64,
    /// Hash of that version's entry in the chain.
    pub hash: Hash,
    /// The state at that version, opaque to the chain.
    pub checkpoint: Vec<u8>,
    /// Changes done lately, oldest first.
    pub completed: VecDeque<CompletedChange>,
}

/// A record of a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// The segment's first record.
    Header(SegmentHeader),
    /// An entry; its version is one more than that of the entry before.
    Change {
        /// The entry's body.
        body: Vec<u8>,
        /// The entry's hash.
        hash: Hash,
    },
    /// Everything up to this version is synced. The marker itself need not be.
    Synced {
        /// The last synced version.
        version: u64,
    },
}

/// What is wrong with a log. Nothing after that place is used, and nothing is written to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The magic or the version number is none of ours.
    #[error("not a log of changes")]
    NotALog,
    /// Written by a newer program, which can read it.
    #[error("format version {0}, newer than {VERSION}")]
    NewerFormat(u16),
    /// The header is torn or damaged, or does not match the file's name.
    #[error("no whole head")]
    NoHeader,
    /// The entry of this version does not carry the hash of the one before: an entry was left out, edited or moved.
    #[error("the chain is broken at version {0}: its change does not follow on the one before")]
    BrokenChain(u64),
    /// Bytes that are no record stand before whole records: damage, not a torn write.
    #[error("bytes are damaged where version {0} should stand, and whole records follow")]
    DamagedRecord(u64),
    /// An entry or checkpoint is whole, but its content is invalid.
    #[error("version {version} is wrong: {reason}")]
    InvalidChange {
        /// The version of the entry or checkpoint.
        version: u64,
        /// What is wrong, as the reader of the content words it.
        reason: String,
    },
    /// Segments are missing; restore them from a copy of the folder.
    #[error("versions {from} to {to} are missing")]
    Missing {
        /// The first missing version.
        from: u64,
        /// The last missing version.
        to: u64,
    },
}

/// Why a log cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ChainError {
    /// A file of the log is damaged.
    #[error("{file}: {reason}")]
    Broken {
        /// Name of the file.
        file: String,
        /// What is wrong with it.
        reason: Corruption,
    },
    /// The file system failed.
    #[error(transparent)]
    Disk(#[from] io::Error),
}
