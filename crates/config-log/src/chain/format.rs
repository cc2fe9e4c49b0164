//! The format of a segment: its file name, its preamble and its records, and the errors of damaged segments.

use std::collections::VecDeque;
use std::io;

use serde::{Deserialize, Serialize};
use umbertray_snapshot::record::encode_record;

use super::Hash;

/// The format version that is written and read.
pub const VERSION: u16 = 1;

/// A committed change, remembered to recognise when it is sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedChange {
    /// The change's id, chosen by its author.
    pub id: String,
    /// The version that it created.
    pub version: u64,
    /// Distinguishes it from a different change with the same id.
    pub fingerprint: u64,
}

/// The magic and the file names of one kind of log.
#[derive(Debug, PartialEq, Eq)]
pub struct LogFormat {
    /// The first bytes of every segment.
    pub magic: &'static [u8; 6],
    /// A segment's file name is this prefix, the version that it begins after in twenty digits, and the
    /// suffix.
    pub prefix: &'static str,
    /// The end of a segment's file name.
    pub suffix: &'static str,
    /// The file name of a new segment until it is completely written and synced.
    pub temporary_name: &'static str,
}

impl LogFormat {
    /// The file name of the segment that begins after a version.
    pub fn file_name(&self, version: u64) -> String {
        format!("{}{version:020}{}", self.prefix, self.suffix)
    }

    /// The version after which the segment with this file name begins; `None` if it is not the name of a
    /// segment.
    pub fn version_in(&self, name: &str) -> Option<u64> {
        name.strip_prefix(self.prefix)?.strip_suffix(self.suffix)?.parse().ok()
    }

    /// Encodes a segment without entries; `None` if the header is too long for a record.
    pub(super) fn encode_empty_segment(&self, header: SegmentHeader) -> Option<Vec<u8>> {
        let mut bytes = self.magic.to_vec();
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend(encode_record(&LogRecord::Header(header))?);
        Some(bytes)
    }

    /// Checks the magic and the format version, and returns the bytes after them.
    pub(super) fn strip_preamble<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], Corruption> {
        let rest = bytes.strip_prefix(self.magic).ok_or(Corruption::NotALog)?;
        let (version, rest) = rest.split_first_chunk::<2>().ok_or(Corruption::NoHeader)?;
        match u16::from_le_bytes(*version) {
            VERSION => Ok(rest),
            newer if newer > VERSION => Err(Corruption::NewerFormat(newer)),
            _ => Err(Corruption::NotALog),
        }
    }
}

/// A body and its position in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The version that the body creates: one more than that of the previous entry.
    pub version: u64,
    /// Hash of the previous entry's hash and this body.
    pub hash: Hash,
    /// The body, opaque to the chain.
    pub body: Vec<u8>,
}

/// A type that a reader decodes entries into.
pub trait FromEntry: Sized {
    /// Decodes an entry.
    ///
    /// # Errors
    /// [`Corruption`] if the body is invalid. Reading stops at this entry.
    fn from_entry(entry: Entry) -> Result<Self, Corruption>;
}

impl FromEntry for Entry {
    fn from_entry(entry: Entry) -> Result<Entry, Corruption> {
        Ok(entry)
    }
}

/// The first record of a segment: the complete state at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// The version of the checkpoint.
    pub version: u64,
    /// Hash of that version's entry in the chain.
    pub hash: Hash,
    /// The state at that version, opaque to the chain.
    pub checkpoint: Vec<u8>,
    /// Recently committed changes, oldest first.
    pub completed: VecDeque<CompletedChange>,
}

/// A record of a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// The segment's first record.
    Header(SegmentHeader),
    /// An entry. Its version is one more than that of the previous entry.
    Change {
        /// The entry's body.
        body: Vec<u8>,
        /// The entry's hash.
        hash: Hash,
    },
    /// A marker: everything up to this version is synced. The marker itself need not be synced.
    Synced {
        /// The last synced version.
        version: u64,
    },
}

/// Damage to a log. Nothing after the damage is used, and nothing is written to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The magic or the format version is unknown.
    #[error("not a log of the expected kind")]
    NotALog,
    /// The file was written by a newer program. That program can read it.
    #[error("format version {0}, newer than {VERSION}")]
    NewerFormat(u16),
    /// The header is torn or damaged, or does not match the file's name.
    #[error("the header is torn, damaged or of another segment")]
    NoHeader,
    /// The hash of this version's entry does not match the previous entry: an entry was omitted, edited or
    /// moved.
    #[error("the hash chain is broken at version {0}: its hash does not match the version before")]
    BrokenChain(u64),
    /// Bytes that are not a record are followed by complete records. This is damage and not a torn write.
    #[error("the record of version {0} is damaged, and complete records follow it")]
    DamagedRecord(u64),
    /// An entry or checkpoint was read completely, but its content is invalid.
    #[error("version {version} is invalid: {reason}")]
    InvalidChange {
        /// The version of the entry or checkpoint.
        version: u64,
        /// The error of the decoder of the content.
        reason: String,
    },
    /// Segments are missing. Restore them from a copy of the folder.
    #[error("versions {from} to {to} are missing")]
    Missing {
        /// The first missing version.
        from: u64,
        /// The last missing version.
        to: u64,
    },
}

/// An error of reading or writing a log.
#[derive(Debug, thiserror::Error)]
pub enum ChainError {
    /// A file of the log is damaged.
    #[error("{file}: {reason}")]
    Broken {
        /// Name of the file.
        file: String,
        /// The damage.
        reason: Corruption,
    },
    /// The file system failed.
    #[error(transparent)]
    Disk(#[from] io::Error),
}
