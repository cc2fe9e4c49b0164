//! Writes a log: recovers the existing segment, appends entries and begins new segments.

use std::collections::VecDeque;
use std::io;

use umbertray_snapshot::Storage;
use umbertray_snapshot::record::encode_record;

use super::format::{ChainError, CompletedChange, Entry, FromEntry, LogFormat, LogRecord, SegmentHeader};
use super::reader::{Segment, read_segment, segments};
use super::{Hash, chain_hash};

/// The content of a new segment's header: the state before the segment's first body, and the recently
/// committed changes, oldest first.
pub type Checkpoint = (Vec<u8>, VecDeque<CompletedChange>);

/// The newest segment of a log, as found when the log was opened.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedLog<T = Entry> {
    /// The segment's header, which holds the state at its start.
    pub header: SegmentHeader,
    /// The entries after the header.
    pub entries: Vec<T>,
}

/// Whether the end of the newest segment is known to be synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TailState {
    /// The log was opened but not recovered yet. Its markers state that it is synced up to this version.
    Unrecovered { synced_version: u64 },
    /// Everything that was written is synced.
    Clean,
    /// A write failed. The content on the disk is unknown until the log is opened again.
    Unknown,
}

/// The only writer of a log.
///
/// Invariant: an entry is appended only if everything before it is known to be synced (see `TailState`).
pub struct HashChain {
    storage: Box<dyn Storage>,
    format: &'static LogFormat,
    version: u64,
    hash: Hash,
    segment_start: u64,
    segment_bytes: usize,
    /// Bytes of the newest segment before its first entry.
    base_bytes: usize,
    max_segment_bytes: usize,
    tail: TailState,
    torn_bytes: usize,
}

impl HashChain {
    /// Opens the newest segment of a folder that no other writer uses. In a folder without segments it begins
    /// the first one with the checkpoint `empty`. An existing segment is not written to before
    /// [`recover`](HashChain::recover). A segment grows to `max_segment_bytes`, or to twice the size of its
    /// preamble and header if that is more.
    ///
    /// # Errors
    /// [`ChainError`] if the segment is damaged or a disk operation fails.
    pub fn open<T: FromEntry>(
        storage: Box<dyn Storage>,
        format: &'static LogFormat,
        max_segment_bytes: usize,
        empty: impl FnOnce() -> Vec<u8>,
    ) -> Result<(HashChain, OpenedLog<T>), ChainError> {
        match segments(&*storage, format)?.last() {
            Some(newest) => HashChain::open_segment(storage, format, max_segment_bytes, *newest),
            None => Ok(HashChain::create(storage, format, max_segment_bytes, empty())?),
        }
    }

    fn open_segment<T: FromEntry>(
        storage: Box<dyn Storage>,
        format: &'static LogFormat,
        max_segment_bytes: usize,
        segment_start: u64,
    ) -> Result<(HashChain, OpenedLog<T>), ChainError> {
        let segment: Segment<T> = read_segment(&*storage, format, segment_start)?;
        let chain = HashChain {
            storage,
            format,
            version: segment.reader.version,
            hash: segment.reader.hash,
            segment_start,
            segment_bytes: segment.file_bytes,
            base_bytes: segment.base_bytes,
            max_segment_bytes,
            tail: TailState::Unrecovered { synced_version: segment.reader.synced_version },
            torn_bytes: segment.trailing_bytes,
        };
        Ok((chain, OpenedLog { header: segment.header, entries: segment.entries }))
    }

    fn create<T>(
        storage: Box<dyn Storage>,
        format: &'static LogFormat,
        max_segment_bytes: usize,
        checkpoint: Vec<u8>,
    ) -> io::Result<(HashChain, OpenedLog<T>)> {
        let mut chain = HashChain {
            storage,
            format,
            version: 0,
            hash: [0; 32],
            segment_start: 0,
            segment_bytes: 0,
            base_bytes: 0,
            max_segment_bytes,
            tail: TailState::Clean,
            torn_bytes: 0,
        };
        let header = chain.header((checkpoint, VecDeque::new()));
        chain.begin_segment(header.clone())?;
        Ok((chain, OpenedLog { header, entries: Vec::new() }))
    }

    /// Syncs the existing segment. The caller must have replayed and validated its entries. Nothing can be
    /// appended before this call. If the last write was torn, a new segment is begun with `checkpoint`, which
    /// returns the state after all entries.
    ///
    /// # Errors
    /// Those of the file system; the log must be opened again then.
    pub fn recover(&mut self, checkpoint: impl FnOnce() -> Checkpoint) -> io::Result<()> {
        if let TailState::Unrecovered { synced_version } = self.tail {
            self.tail = TailState::Unknown;
            if self.torn_bytes > 0 {
                // It is unknown whether the last complete entry is synced. The new segment is synced and its
                // checkpoint includes that entry.
                self.begin_segment(self.header(checkpoint()))?;
            } else if synced_version < self.version {
                self.storage.sync(&self.segment_file())?;
                self.mark_synced()?;
            }
            self.tail = TailState::Clean;
        }
        self.check_writable()
    }

    /// Checks that the log may be appended to.
    ///
    /// # Errors
    /// An error before [`recover`](HashChain::recover), and after a failed write; in the latter case the log
    /// must be opened again.
    pub fn check_writable(&self) -> io::Result<()> {
        match self.tail {
            TailState::Clean => Ok(()),
            TailState::Unrecovered { .. } => {
                Err(io::Error::other("the log has not been recovered since it was opened"))
            }
            TailState::Unknown => Err(io::Error::other("an earlier write failed; open the log again")),
        }
    }

    /// Commits one body. When this returns, the body is synced and a marker states so. If writing the marker
    /// failed, the next call reports an error. If a new segment is begun first, `checkpoint` must return the
    /// state before this body.
    ///
    /// # Errors
    /// Those of the file system. It is then unknown whether the body is committed, and the log must be opened
    /// again.
    pub fn append(&mut self, body: Vec<u8>, checkpoint: impl FnOnce() -> Checkpoint) -> io::Result<Hash> {
        self.check_writable()?;
        self.tail = TailState::Unknown;
        if self.segment_bytes > self.max_segment_bytes.max(2 * self.base_bytes) {
            self.begin_segment(self.header(checkpoint()))?;
        }
        self.hash = self.write_entry(body)?;
        self.version += 1;
        // A failure to write the marker does not undo the commit.
        if self.mark_synced().is_ok() {
            self.tail = TailState::Clean;
        }
        Ok(self.hash)
    }

    /// Begins a new segment with the state after everything that was appended.
    ///
    /// # Errors
    /// Those of the file system; the log must be opened again then.
    pub fn roll(&mut self, checkpoint: Vec<u8>, completed: VecDeque<CompletedChange>) -> io::Result<()> {
        self.begin_segment_checked(self.header((checkpoint, completed)))
    }

    /// Begins a new segment with a later state of the original log, for a log that is a copy.
    ///
    /// # Errors
    /// Those of the file system; the log must be opened again then.
    pub fn adopt_checkpoint(&mut self, header: SegmentHeader) -> io::Result<()> {
        let SegmentHeader { version, hash, .. } = header;
        self.begin_segment_checked(header)?;
        self.version = version;
        self.hash = hash;
        Ok(())
    }

    /// Removes all segments but the newest, for a copy whose earlier versions are kept elsewhere.
    ///
    /// # Errors
    /// Those of the file system. Some segments may have been removed before the error.
    pub fn remove_earlier_segments(&mut self) -> io::Result<()> {
        for start in segments(&*self.storage, self.format)? {
            if start < self.segment_start {
                self.storage.remove(&self.format.file_name(start))?;
            }
        }
        Ok(())
    }

    fn write_entry(&mut self, body: Vec<u8>) -> io::Result<Hash> {
        let hash = chain_hash(&self.hash, &body);
        let record = encode(&LogRecord::Change { body, hash })?;
        let file = self.segment_file();
        self.storage.append(&file, &record)?;
        self.storage.sync(&file)?;
        self.segment_bytes += record.len();
        Ok(hash)
    }

    /// Writes a marker that the log is synced up to its end, so that followers apply the entries.
    fn mark_synced(&mut self) -> io::Result<()> {
        let record = encode(&LogRecord::Synced { version: self.version })?;
        self.segment_bytes += record.len();
        self.storage.append(&self.segment_file(), &record)
    }

    fn header(&self, (checkpoint, completed): Checkpoint) -> SegmentHeader {
        SegmentHeader { version: self.version, hash: self.hash, checkpoint, completed }
    }

    fn begin_segment_checked(&mut self, header: SegmentHeader) -> io::Result<()> {
        self.check_writable()?;
        self.tail = TailState::Unknown;
        self.begin_segment(header)?;
        self.tail = TailState::Clean;
        Ok(())
    }

    fn begin_segment(&mut self, header: SegmentHeader) -> io::Result<()> {
        let start = header.version;
        let bytes = self.format.encode_empty_segment(header).ok_or(io::ErrorKind::FileTooLarge)?;
        self.storage.put(self.format.temporary_name, &self.format.file_name(start), &bytes)?;
        self.segment_start = start;
        self.segment_bytes = bytes.len();
        self.base_bytes = bytes.len();
        Ok(())
    }

    fn segment_file(&self) -> String {
        self.format.file_name(self.segment_start)
    }

    /// The last version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The last version's hash.
    pub fn hash(&self) -> Hash {
        self.hash
    }

    /// The version after which the newest segment begins.
    pub fn segment_start(&self) -> u64 {
        self.segment_start
    }

    /// Bytes of an incomplete record at the end of the log when it was opened: the remains of a write that
    /// was cut off.
    pub fn torn_bytes(&self) -> usize {
        self.torn_bytes
    }

    /// The storage of the log's folder, for reading.
    pub fn storage(&self) -> &dyn Storage {
        &*self.storage
    }
}

fn encode(record: &LogRecord) -> io::Result<Vec<u8>> {
    encode_record(record).ok_or_else(|| io::ErrorKind::FileTooLarge.into())
}
