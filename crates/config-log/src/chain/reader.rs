//! Reads a segment, either completely or incrementally as bytes are appended.

use std::io;

use umbertray_snapshot::Storage;
use umbertray_snapshot::format::MAX_FILE_BYTES;
use umbertray_snapshot::record::next_record;

use super::format::{ChainError, Corruption, Entry, FromEntry, LogFormat, LogRecord, SegmentHeader};
use super::{Hash, chain_hash};

/// Reads a segment incrementally. It stops at the first incomplete record.
///
/// Invariant: the bytes counted by `bytes_read` are complete records, and the hash of each entry matches the
/// previous entry.
#[derive(Clone, Debug)]
pub struct SegmentReader {
    /// The last version read.
    pub version: u64,
    /// That version's hash.
    pub hash: Hash,
    /// The log is known to be synced up to this version.
    pub synced_version: u64,
    /// Bytes from the start of the segment to the end of the last complete record.
    pub bytes_read: u64,
}

impl SegmentReader {
    /// Reads the preamble and the header of a segment.
    ///
    /// # Errors
    /// [`Corruption`] if the bytes do not begin with a complete header of this format.
    pub fn open(format: &LogFormat, bytes: &[u8]) -> Result<(SegmentReader, SegmentHeader), Corruption> {
        let mut rest = format.strip_preamble(bytes)?;
        let Some(LogRecord::Header(header)) = next_record(&mut rest) else {
            return Err(Corruption::NoHeader);
        };
        let reader = SegmentReader {
            version: header.version,
            hash: header.hash,
            // A segment is renamed to its final name only after its header is synced.
            synced_version: header.version,
            bytes_read: (bytes.len() - rest.len()) as u64,
        };
        Ok((reader, header))
    }

    /// Reads the bytes that follow those read before, and returns the entries among their complete records.
    ///
    /// # Errors
    /// [`Corruption`] if the hash of a complete record does not match the previous entry, or its content is
    /// invalid.
    pub fn feed<T: FromEntry>(&mut self, bytes: &[u8]) -> Result<Vec<T>, Corruption> {
        let mut rest = bytes;
        let mut entries = Vec::new();
        while let Some(record) = next_record::<LogRecord>(&mut rest) {
            match record {
                LogRecord::Change { body, hash } => entries.push(self.read_entry(body, hash)?),
                LogRecord::Synced { version } => {
                    self.synced_version = self.synced_version.max(version.min(self.version));
                }
                LogRecord::Header(_) => return Err(Corruption::BrokenChain(self.version + 1)),
            }
        }
        self.bytes_read += (bytes.len() - rest.len()) as u64;
        Ok(entries)
    }

    fn read_entry<T: FromEntry>(&mut self, body: Vec<u8>, hash: Hash) -> Result<T, Corruption> {
        let version = self.version + 1;
        if hash != chain_hash(&self.hash, &body) {
            return Err(Corruption::BrokenChain(version));
        }
        let entry = T::from_entry(Entry { version, hash, body })?;
        self.version = version;
        self.hash = hash;
        Ok(entry)
    }
}

/// A completely read segment.
pub struct Segment<T = Entry> {
    /// The segment's header.
    pub header: SegmentHeader,
    /// The reader, positioned after the last complete record. It can read the bytes that are appended later.
    pub reader: SegmentReader,
    /// The entries after the header.
    pub entries: Vec<T>,
    /// Bytes after the last complete record.
    pub trailing_bytes: usize,
    /// Size of the file, bytes.
    pub(super) file_bytes: usize,
    /// Bytes before the first entry.
    pub(super) base_bytes: usize,
}

/// Lists the segments of a folder in ascending order, each by the version that it begins after.
///
/// # Errors
/// Those of the file system.
pub fn segments(storage: &dyn Storage, format: &LogFormat) -> io::Result<Vec<u64>> {
    let names = storage.names()?;
    let mut starts: Vec<u64> = names.iter().filter_map(|name| format.version_in(name)).collect();
    starts.sort_unstable();
    Ok(starts)
}

/// Reads the segment that begins after version `start`.
///
/// # Errors
/// [`ChainError::Broken`] if the segment is damaged in any way other than a torn write at its end.
pub fn read_segment<T: FromEntry>(
    storage: &dyn Storage,
    format: &LogFormat,
    start: u64,
) -> Result<Segment<T>, ChainError> {
    let file = format.file_name(start);
    let bytes = storage.read(&file, MAX_FILE_BYTES)?;
    parse_segment(format, start, &bytes).map_err(|reason| ChainError::Broken { file, reason })
}

fn parse_segment<T: FromEntry>(
    format: &LogFormat,
    start: u64,
    bytes: &[u8],
) -> Result<Segment<T>, Corruption> {
    let (mut reader, header) = SegmentReader::open(format, bytes)?;
    if header.version != start {
        return Err(Corruption::NoHeader);
    }
    let base_bytes = reader.bytes_read as usize;
    let entries = reader.feed(&bytes[base_bytes..])?;
    let trailing = &bytes[reader.bytes_read as usize..];
    if contains_complete_record(trailing) {
        return Err(Corruption::DamagedRecord(reader.version + 1));
    }
    Ok(Segment {
        header,
        reader,
        entries,
        trailing_bytes: trailing.len(),
        file_bytes: bytes.len(),
        base_bytes,
    })
}

/// Whether a complete record begins after the first of these bytes. The bytes do not begin with a record
/// themselves.
///
/// Hazard: trailing bytes that are not a record are either a write that a crash cut off, or a committed
/// record that was damaged. A complete record after them shows that they are damage. Truncating the log there
/// would silently drop committed entries.
fn contains_complete_record(trailing: &[u8]) -> bool {
    (1..trailing.len()).any(|from| next_record::<LogRecord>(&mut &trailing[from..]).is_some())
}
