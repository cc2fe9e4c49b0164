//! Writing a log: recovery of what was found, appending, and new segments.

use std::collections::VecDeque;
use std::io;

use umbertray_snapshot::Storage;
use umbertray_snapshot::record::encode_record;

use super::format::{ChainError, CompletedChange, Entry, FromEntry, LogFormat, LogRecord, SegmentHeader};
use super::reader::{Segment, read_segment, segments};
use super::{Hash, chain_hash};

/// What a new segment begins with: the state before its first body, and the changes done lately, oldest first.
pub type Checkpoint = (Vec<u8>, VecDeque<CompletedChange>);

/// What a log held when it was opened: the newest segment.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedLog<T = Entry> {
    /// The state that the segment begins with.
    pub header: SegmentHeader,
    /// The entries since.
    pub entries: Vec<T>,
}

/// What is known of the end of the newest segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndState {
    /// As found when the log was opened, marked as synced up to this version.
    Unrecovered { synced_version: u64 },
    /// All that was written is synced.
    Clean,
    /// A write failed: what is on the disk is unknown until the log is opened again.
    Unknown,
}

/// The one writer of a log.
///
/// Invariant: nothing is appended unless everything before it is known to be synced (see `EndState`).
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
    end: EndState,
    torn_bytes: usize,
}

impl HashChain {
    /// Opens the newest segment of a folder that no other writer has; in a folder without one, the first is begun with
    /// the checkpoint `empty`. Nothing that was found is written to before [`recover`](HashChain::recover). A segment grows
    /// to `max_segment_bytes`, or to twice what it begins with if that is more.
    ///
    /// # Errors
    /// [`ChainError`] where the segment is damaged, or a disk operation fails.
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
            end: EndState::Unrecovered { synced_version: segment.reader.synced_version },
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
            end: EndState::Clean,
            torn_bytes: 0,
        };
        let header = chain.header((checkpoint, VecDeque::new()));
        chain.begin_segment(header.clone())?;
        Ok((chain, OpenedLog { header, entries: Vec::new() }))
    }

    /// Syncs what was found, once the caller has replayed it and found it valid. Nothing is appended before. The
    /// checkpoint, which is asked for where the end is torn, is the state after all entries.
    ///
    /// # Errors
    /// Those of the file system; the log must be opened again then.
    pub fn recover(&mut self, checkpoint: impl FnOnce() -> Checkpoint) -> io::Result<()> {
        if let EndState::Unrecovered { synced_version } = self.end {
            self.end = EndState::Unknown;
            if self.torn_bytes > 0 {
                // Whether the last whole entry was synced is unknown; the new segment, which holds it, is.
                self.begin_segment(self.header(checkpoint()))?;
            } else if synced_version < self.version {
                self.storage.sync(&self.segment_file())?;
                self.mark_synced()?;
            }
            self.end = EndState::Clean;
        }
        self.check_writable()
    }

    /// Whether the log may be appended to.
    ///
    /// # Errors
    /// Before [`recover`](HashChain::recover), and after a write that failed: the log must be opened again then.
    pub fn check_writable(&self) -> io::Result<()> {
        match self.end {
            EndState::Clean => Ok(()),
            EndState::Unrecovered { .. } => {
                Err(io::Error::other("what was found of the log is not settled yet"))
            }
            EndState::Unknown => Err(io::Error::other("an earlier write failed; open the log again")),
        }
    }

    /// Commits one body: when this returns it is synced, and marked so unless the marker failed, which the next call
    /// reports. The checkpoint, asked for where a new segment is begun first, is the state before this body.
    ///
    /// # Errors
    /// Those of the file system. Whether the body is committed is unknown then; the log must be opened again.
    pub fn append(&mut self, body: Vec<u8>, checkpoint: impl FnOnce() -> Checkpoint) -> io::Result<Hash> {
        self.check_writable()?;
        self.end = EndState::Unknown;
        if self.segment_bytes > self.max_segment_bytes.max(2 * self.base_bytes) {
            self.begin_segment(self.header(checkpoint()))?;
        }
        self.hash = self.write_entry(body)?;
        self.version += 1;
        // A marker that fails does not undo the commit.
        if self.mark_synced().is_ok() {
            self.end = EndState::Clean;
        }
        Ok(self.hash)
    }

    /// Begins a new segment with the state after all that was appended.
    ///
    /// # Errors
    /// Those of the file system; the log must be opened again then.
    pub fn roll(&mut self, checkpoint: Vec<u8>, completed: VecDeque<CompletedChange>) -> io::Result<()> {
        self.begin_segment_checked(self.header((checkpoint, completed)))
    }

    /// Begins a new segment with a later state of the log that this one is a copy of.
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

    /// Removes all segments but the newest, for a copy whose earlier versions are elsewhere.
    ///
    /// # Errors
    /// Those of the file system; some segments may have been removed.
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

    /// Marks the log as synced up to its end, so that its followers act on it.
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
        self.end = EndState::Unknown;
        self.begin_segment(header)?;
        self.end = EndState::Clean;
        Ok(())
    }

    fn begin_segment(&mut self, header: SegmentHeader) -> io::Result<()> {
        let start = header.version;
        let bytes = self.format.encode_opening(header).ok_or(io::ErrorKind::FileTooLarge)?;
        self.storage.put(self.format.temporary, &self.format.file_name(start), &bytes)?;
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

    /// The version that the newest segment begins after.
    pub fn segment_start(&self) -> u64 {
        self.segment_start
    }

    /// Bytes at the end that were no whole record when the log was opened: a write that was cut off.
    pub fn torn_bytes(&self) -> usize {
        self.torn_bytes
    }

    /// The folder, to read.
    pub fn storage(&self) -> &dyn Storage {
        &*self.storage
    }
}

fn encode(record: &LogRecord) -> io::Result<Vec<u8>> {
    encode_record(record).ok_or_else(|| io::ErrorKind::FileTooLarge.into())
}
