//! The bytes of a state file: a magic and version, then records; the first is the head.
//!
//! A record is a length (u32, little-endian), a CRC-32C of the length's bytes and the payload, and the payload
//! (postcard). A file is read up to the first record that is not whole: what was appended last may be torn.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use umbertray_routing::Snapshot;

use crate::change::{CurrentSnapshot, SnapshotDelta};
use crate::decide::Stamp;
use crate::older;

pub const MAGIC: &[u8; 6] = b"UMBSTA";

/// The version that this text writes. Older ones are read, see `older`.
pub const VERSION: u16 = 2;

/// No record is longer, bytes; nor does a reader take more of a file than so many.
pub const MAX_RECORD_BYTES: usize = 64 << 20;
pub const MAX_FILE_BYTES: usize = 256 << 20;

/// Whose file it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileHeader {
    pub gateway: u64,
    /// Of the settings: floors of other limits mean nothing.
    pub digest: u64,
    pub generation: u64,
}

/// What was known at a moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: Stamp,
    pub saved: Snapshot,
}

/// What follows the head: all that is known first, then what changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FileRecord {
    Snapshot(Entry),
    Change(SnapshotDelta),
}

/// Why a file, or what follows in it, is not believed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    #[error("not a state file")]
    NotASnapshot,
    #[error("format version {0}, newer than {VERSION}")]
    NewerVersion(u16),
    #[error("no whole head")]
    NoHeader,
    #[error("no whole entry")]
    Empty,
}

/// A file as read: its head, what its whole entries come to, and how many bytes after them are not whole.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedFile {
    pub head: FileHeader,
    pub entry: Entry,
    pub entries: usize,
    pub torn_bytes: usize,
}

pub fn file_opening() -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(VERSION.to_le_bytes());
    out
}

fn sum(length: [u8; 4], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&length), payload)
}

/// A record's bytes; nothing where it would be longer than a reader takes.
pub fn encode_record(value: &impl Serialize) -> Option<Vec<u8>> {
    let payload = postcard::to_stdvec(value).ok().filter(|payload| payload.len() <= MAX_RECORD_BYTES)?;
    let length = (payload.len() as u32).to_le_bytes();
    let mut out = length.to_vec();
    out.extend(sum(length, &payload).to_le_bytes());
    out.extend(payload);
    Some(out)
}

/// Takes the next whole record off `bytes`; nothing where it is not whole, and then `bytes` stays.
pub fn next_record<T: DeserializeOwned>(bytes: &mut &[u8]) -> Option<T> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (crc, rest) = rest.split_first_chunk::<4>()?;
    let size = u32::from_le_bytes(*length) as usize;
    let (payload, rest) = rest.split_at_checked(size).filter(|_| size <= MAX_RECORD_BYTES)?;
    if sum(*length, payload) != u32::from_le_bytes(*crc) {
        return None;
    }
    let value = postcard::from_bytes(payload).ok()?;
    *bytes = rest;
    Some(value)
}

pub fn parse_file(bytes: &[u8]) -> Result<ParsedFile, FormatError> {
    let bytes = bytes.strip_prefix(MAGIC).ok_or(FormatError::NotASnapshot)?;
    let (version, mut bytes) = bytes.split_first_chunk::<2>().ok_or(FormatError::NoHeader)?;
    let version = u16::from_le_bytes(*version);
    match version {
        1..=VERSION => {}
        newer if newer > VERSION => return Err(FormatError::NewerVersion(newer)),
        _ => return Err(FormatError::NotASnapshot),
    }
    let head: FileHeader = next_record(&mut bytes).ok_or(FormatError::NoHeader)?;
    let (mut picture, mut entries) = (None, 0);
    loop {
        let rest = bytes;
        let item = match version {
            1 => next_record::<older::Entry1>(&mut bytes).map(|entry| FileRecord::Snapshot(entry.into())),
            _ => next_record::<FileRecord>(&mut bytes),
        };
        match (item, &mut picture) {
            (Some(FileRecord::Snapshot(entry)), _) => picture = Some(CurrentSnapshot::new(entry)),
            (Some(FileRecord::Change(change)), Some(picture)) => picture.apply(change),
            // A change of nothing means nothing: what it stands on is missing.
            (Some(FileRecord::Change(_)), None) => return Err(FormatError::Empty),
            (None, _) => {
                let entry = picture.ok_or(FormatError::Empty)?.entry();
                return Ok(ParsedFile { head, entry, entries, torn_bytes: rest.len() });
            }
        }
        entries += 1;
    }
}
