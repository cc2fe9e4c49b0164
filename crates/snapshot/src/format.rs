//! The bytes of a state file: a magic and version, then records, the first of which is the file's header.
//!
//! Invariant: a file is read up to the first record that is not whole, because the last append may be torn; nothing
//! after that record is used.

use serde::{Deserialize, Serialize};
use umbertray_routing::Snapshot;

use crate::delta::{CurrentSnapshot, SnapshotDelta};
use crate::previous_formats::StampedSnapshotV1;
use crate::record::next_record;
use crate::stamp::Stamp;

/// The first bytes of every state file.
pub const MAGIC: &[u8; 6] = b"UMBSTA";

/// The format version that is written. Version 1 is still read.
pub const VERSION: u16 = 2;

/// Limit on what is read of one file, bytes.
pub const MAX_FILE_BYTES: usize = 256 << 20;

/// The first record of a file: who wrote it, and when in the folder's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileHeader {
    /// Seed of the gateway that wrote the file.
    pub gateway: u64,
    /// Digest of the gateway's settings. Reserved tokens saved under other limits are void.
    pub digest: u64,
    /// Number of the file in its folder, counting up; part of the file's name too.
    pub generation: u64,
}

/// The saved state and the moment it was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedSnapshot {
    /// Taken before the scheduler was asked for the state, so that the state is never younger than this says.
    pub at: Stamp,
    /// The state.
    pub saved: Snapshot,
}

/// A record after the header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FileRecord {
    /// The whole state; the first record after the header.
    Snapshot(StampedSnapshot),
    /// What differs from the state of the records before.
    Delta(SnapshotDelta),
}

/// Why a file is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The magic or the version number is none of ours.
    #[error("not a state file")]
    NotASnapshot,
    /// Written by a newer program, which can read it.
    #[error("format version {0}, newer than {VERSION}")]
    NewerVersion(u16),
    /// The header is torn or damaged, or does not match the file's name.
    #[error("no whole head")]
    NoHeader,
    /// No whole snapshot follows the header.
    #[error("no whole entry")]
    Empty,
}

/// A file as read.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedFile {
    /// The file's header.
    pub head: FileHeader,
    /// The state after the last whole record.
    pub entry: StampedSnapshot,
    /// Whole records after the header.
    pub entries: usize,
    /// Bytes after the last whole record.
    pub torn_bytes: usize,
}

/// The magic and the version, with which a new file begins.
pub fn file_opening() -> Vec<u8> {
    let mut opening = MAGIC.to_vec();
    opening.extend(VERSION.to_le_bytes());
    opening
}

/// Reads a file of any known version.
///
/// # Errors
/// [`FormatError`] where the file holds no state that could be used.
pub fn parse_file(bytes: &[u8]) -> Result<ParsedFile, FormatError> {
    let (version, mut bytes) = split_opening(bytes)?;
    let head: FileHeader = next_record(&mut bytes).ok_or(FormatError::NoHeader)?;
    let mut current: Option<CurrentSnapshot> = None;
    let mut entries = 0;
    while let Some(record) = next_file_record(version, &mut bytes) {
        match (record, &mut current) {
            (record, Some(current)) => current.apply_record(record),
            (FileRecord::Snapshot(snapshot), None) => current = Some(CurrentSnapshot::new(snapshot)),
            // Without the snapshot that it refers to, a delta says nothing.
            (FileRecord::Delta(_), None) => return Err(FormatError::Empty),
        }
        entries += 1;
    }
    let entry = current.ok_or(FormatError::Empty)?.into_stamped_snapshot();
    Ok(ParsedFile { head, entry, entries, torn_bytes: bytes.len() })
}

/// Checks magic and version; the version and the bytes after it.
fn split_opening(bytes: &[u8]) -> Result<(u16, &[u8]), FormatError> {
    let rest = bytes.strip_prefix(MAGIC).ok_or(FormatError::NotASnapshot)?;
    let (version, rest) = rest.split_first_chunk::<2>().ok_or(FormatError::NoHeader)?;
    match u16::from_le_bytes(*version) {
        known @ 1..=VERSION => Ok((known, rest)),
        0 => Err(FormatError::NotASnapshot),
        newer => Err(FormatError::NewerVersion(newer)),
    }
}

fn next_file_record(version: u16, bytes: &mut &[u8]) -> Option<FileRecord> {
    if version == 1 {
        let snapshot = next_record::<StampedSnapshotV1>(bytes)?;
        return Some(FileRecord::Snapshot(snapshot.into()));
    }
    next_record(bytes)
}
