//! The format of a state file: a magic and a format version, then records. The first record is the file's
//! header.
//!
//! Invariant: a file is read up to the first incomplete record, because the last append may be torn. Nothing
//! after that point is used.

use serde::{Deserialize, Serialize};
use umbertray_routing::Snapshot;

use crate::delta::{CurrentSnapshot, SnapshotDelta};
use crate::previous_formats::StampedSnapshotV1;
use crate::record::next_record;
use crate::stamp::Stamp;

/// The first bytes of every state file.
pub const MAGIC: &[u8; 6] = b"UMBSTA";

/// The format version that is written. Version 1 can still be read.
pub const VERSION: u16 = 2;

/// Limit on the bytes read from one file.
pub const MAX_FILE_BYTES: usize = 256 << 20;

/// The first record of a file: the gateway that wrote it, and its position in the folder's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileHeader {
    /// Seed of the gateway that wrote the file.
    pub gateway: u64,
    /// Digest of the gateway's settings. Reserved tokens that were saved under different settings are void,
    /// because the limits may differ.
    pub digest: u64,
    /// Number of the file in its folder, counting up. It is also part of the file's name.
    pub generation: u64,
}

/// A saved state and the time at which it was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedSnapshot {
    /// Taken before the scheduler was requested to return the state. The state is therefore never older than
    /// this timestamp indicates.
    #[serde(rename = "at")]
    pub taken_at: Stamp,
    /// The state.
    #[serde(rename = "saved")]
    pub state: Snapshot,
}

/// A record after the header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FileRecord {
    /// The complete state. This is the first record after the header.
    Snapshot(StampedSnapshot),
    /// The difference from the state of the previous records.
    Delta(SnapshotDelta),
}

/// Why a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The magic or the format version is unknown.
    #[error("not a state file")]
    NotASnapshot,
    /// The file was written by a newer program. That program can read it.
    #[error("format version {0}, newer than {VERSION}")]
    NewerVersion(u16),
    /// The header is torn or damaged, or does not match the file's name.
    #[error("the header is torn, damaged or of another file")]
    NoHeader,
    /// No complete snapshot follows the header.
    #[error("no complete snapshot follows the header")]
    Empty,
}

/// A parsed file.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedFile {
    /// The file's header.
    pub header: FileHeader,
    /// The state after the last complete record.
    pub snapshot: StampedSnapshot,
    /// Number of complete records after the header.
    pub record_count: usize,
    /// Bytes after the last complete record.
    pub torn_bytes: usize,
}

/// The preamble of a new file: the magic and the format version.
pub fn file_preamble() -> Vec<u8> {
    let mut preamble = MAGIC.to_vec();
    preamble.extend(VERSION.to_le_bytes());
    preamble
}

/// Parses a file of any known format version.
///
/// # Errors
/// [`FormatError`] if the file holds no usable state.
pub fn parse_file(bytes: &[u8]) -> Result<ParsedFile, FormatError> {
    let (version, mut bytes) = split_preamble(bytes)?;
    let header: FileHeader = next_record(&mut bytes).ok_or(FormatError::NoHeader)?;
    let mut current: Option<CurrentSnapshot> = None;
    let mut record_count = 0;
    while let Some(record) = next_file_record(version, &mut bytes) {
        match (record, &mut current) {
            (record, Some(current)) => current.apply_record(record),
            (FileRecord::Snapshot(snapshot), None) => current = Some(CurrentSnapshot::new(snapshot)),
            // A delta is meaningless without the snapshot that it refers to.
            (FileRecord::Delta(_), None) => return Err(FormatError::Empty),
        }
        record_count += 1;
    }
    let snapshot = current.ok_or(FormatError::Empty)?.into_stamped_snapshot();
    Ok(ParsedFile { header, snapshot, record_count, torn_bytes: bytes.len() })
}

/// Checks the magic and the format version. Returns the version and the bytes after it.
fn split_preamble(bytes: &[u8]) -> Result<(u16, &[u8]), FormatError> {
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
