//! A hash-chained log of bodies that mean nothing to it: how its segments are read, begun and written.
//!
//! A segment is a magic and version, then records as state files have them (`umbertray_snapshot::record`): a head with
//! all that is known at its start, then the bodies since. Each carries the hash of the one before it, its own bytes
//! included, so that none can be left out, edited or moved unseen. A marker says up to which version the log is safe on
//! the disk.

use std::collections::VecDeque;
use std::io;

use serde::{Deserialize, Serialize};
use umbertray_snapshot::Storage;
use umbertray_snapshot::format::MAX_FILE_BYTES;
use umbertray_snapshot::record::{encode_record, next_record};
pub use umbertray_store_protocol::changes::{Hash, chain_hash};

pub const VERSION: u16 = 1;

/// A change's id, its version, and what tells it from another of that id.
pub type CompletedChange = (String, u64, u64);

/// What a new segment begins with: the state before its first body, and what was done lately.
pub type Checkpoint = (Vec<u8>, VecDeque<CompletedChange>);

/// How the files of a log begin and are named.
#[derive(Debug, PartialEq, Eq)]
pub struct LogFormat {
    pub magic: &'static [u8; 6],
    pub prefix: &'static str,
    pub suffix: &'static str,
    /// A segment has this name until it is whole.
    pub temporary: &'static str,
}

impl LogFormat {
    /// The file of the segment that begins after a version.
    pub fn file_name(&self, version: u64) -> String {
        format!("{}{version:020}{}", self.prefix, self.suffix)
    }

    pub fn version_in(&self, name: &str) -> Option<u64> {
        name.strip_prefix(self.prefix)?.strip_suffix(self.suffix)?.parse().ok()
    }

    fn opening(&self, head: SegmentHeader) -> Option<Vec<u8>> {
        let mut out = self.magic.to_vec();
        out.extend(VERSION.to_le_bytes());
        out.extend(encode_record(&LogRecord::Header(head))?);
        Some(out)
    }
}

/// A body's place in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub version: u64,
    pub hash: Hash,
    pub body: Vec<u8>,
}

/// What a reader takes an entry for. One that is wrong ends the reading there, and what follows is not looked at.
pub trait FromEntry: Sized {
    fn from_entry(entry: Entry) -> Result<Self, Corruption>;
}

impl FromEntry for Entry {
    fn from_entry(entry: Entry) -> Result<Entry, Corruption> {
        Ok(entry)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// The version that the checkpoint is of, and its hash in the chain.
    pub version: u64,
    pub hash: Hash,
    pub checkpoint: Vec<u8>,
    /// Changes done lately, for those sent again.
    pub completed: VecDeque<CompletedChange>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    Header(SegmentHeader),
    Change { body: Vec<u8>, hash: Hash },
    Synced { version: u64 },
}

/// What is wrong with a log. Nothing after that place is believed, and nothing is written to it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    #[error("not a log of changes")]
    NotALog,
    #[error("format version {0}, newer than {VERSION}")]
    NewerFormat(u16),
    #[error("no whole head")]
    NoHeader,
    #[error("the chain is broken at version {0}: its change does not follow on the one before")]
    BrokenChain(u64),
    #[error("bytes are damaged where version {0} should stand, and whole records follow")]
    DamagedRecord(u64),
    #[error("version {version} is wrong: {what}")]
    InvalidChange { version: u64, what: String },
    #[error("versions {from} to {to} are missing")]
    Missing { from: u64, to: u64 },
}

#[derive(Debug, thiserror::Error)]
pub enum ChainError {
    #[error("{file}: {why}")]
    Broken { file: String, why: Corruption },
    #[error(transparent)]
    Disk(#[from] io::Error),
}

/// Reads a segment as its bytes come; it stops where a record is not whole.
#[derive(Clone, Debug)]
pub struct SegmentReader {
    pub version: u64,
    pub hash: Hash,
    /// The log is safe up to this version.
    pub synced_version: u64,
    /// Bytes that were whole records.
    pub bytes_read: u64,
}

impl SegmentReader {
    /// Reads what comes before the entries; how the segment begins.
    pub fn open(kind: &LogFormat, bytes: &[u8]) -> Result<(SegmentReader, SegmentHeader), Corruption> {
        let rest = bytes.strip_prefix(kind.magic).ok_or(Corruption::NotALog)?;
        let (version, mut rest) = rest.split_first_chunk::<2>().ok_or(Corruption::NoHeader)?;
        match u16::from_le_bytes(*version) {
            VERSION => {}
            newer if newer > VERSION => return Err(Corruption::NewerFormat(newer)),
            _ => return Err(Corruption::NotALog),
        }
        let Some(LogRecord::Header(head)) = next_record(&mut rest) else { return Err(Corruption::NoHeader) };
        let read = (bytes.len() - rest.len()) as u64;
        // A segment is not there before its head is safe.
        Ok((
            SegmentReader {
                version: head.version,
                hash: head.hash,
                synced_version: head.version,
                bytes_read: read,
            },
            head,
        ))
    }

    /// Takes whole records off the bytes that follow what was read; the entries among them.
    pub fn feed<T: FromEntry>(&mut self, bytes: &[u8]) -> Result<Vec<T>, Corruption> {
        let (mut rest, mut entries) = (bytes, Vec::new());
        while let Some(item) = next_record::<LogRecord>(&mut rest) {
            match item {
                LogRecord::Change { body, hash } => {
                    let version = self.version + 1;
                    if hash != chain_hash(&self.hash, &body) {
                        return Err(Corruption::BrokenChain(version));
                    }
                    entries.push(T::from_entry(Entry { version, hash, body })?);
                    (self.version, self.hash) = (version, hash);
                }
                LogRecord::Synced { version } => {
                    self.synced_version = self.synced_version.max(version.min(self.version))
                }
                LogRecord::Header(_) => return Err(Corruption::BrokenChain(self.version + 1)),
            }
        }
        self.bytes_read += (bytes.len() - rest.len()) as u64;
        Ok(entries)
    }
}

/// Danger: bytes at the end that are no record may be a write that a crash cut off, or damage to one that was
/// committed. A whole record after them says that it is damage: cutting there would drop what was committed unseen.
fn whole_record_in(rest: &[u8]) -> bool {
    (1..rest.len()).any(|from| next_record::<LogRecord>(&mut &rest[from..]).is_some())
}

/// The segments there are, by the version that each begins after.
pub fn segments(layer: &dyn Storage, kind: &LogFormat) -> io::Result<Vec<u64>> {
    let mut all: Vec<u64> = layer.names()?.iter().filter_map(|name| kind.version_in(name)).collect();
    all.sort_unstable();
    Ok(all)
}

/// A segment as read: how it begins, its entries, and what follows the last whole record.
pub struct Segment<T = Entry> {
    pub header: SegmentHeader,
    pub reader: SegmentReader,
    pub entries: Vec<T>,
    pub trailing_bytes: usize,
    /// Bytes of all of it, and of what comes before its entries.
    size: usize,
    base: usize,
}

pub fn read_segment<T: FromEntry>(
    layer: &dyn Storage,
    kind: &LogFormat,
    first: u64,
) -> Result<Segment<T>, ChainError> {
    let file = kind.file_name(first);
    let broken = |why| ChainError::Broken { file: file.clone(), why };
    let bytes = layer.read(&file, MAX_FILE_BYTES)?;
    let (mut reader, head) = SegmentReader::open(kind, &bytes).map_err(broken)?;
    if head.version != first {
        return Err(broken(Corruption::NoHeader));
    }
    let base = reader.bytes_read as usize;
    let entries = reader.feed(&bytes[base..]).map_err(broken)?;
    let rest = &bytes[reader.bytes_read as usize..];
    if whole_record_in(rest) {
        return Err(broken(Corruption::DamagedRecord(reader.version + 1)));
    }
    Ok(Segment { header: head, entries, trailing_bytes: rest.len(), size: bytes.len(), base, reader })
}

/// What a log tells at its opening: the state that its newest segment begins with, and what came since.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedLog<T = Entry> {
    pub header: SegmentHeader,
    pub entries: Vec<T>,
}

/// What is known of the end of the newest segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// As it was found, marked safe up to a version.
    Found {
        safe: u64,
    },
    Sound,
    /// A write failed: what is on the disk is not known before the log is opened again.
    Doubtful,
}

/// The one writer of a log.
pub struct HashChain {
    layer: Box<dyn Storage>,
    kind: &'static LogFormat,
    version: u64,
    hash: Hash,
    since: u64,
    size: usize,
    base: usize,
    most_grown: usize,
    end: End,
    torn: usize,
}

impl HashChain {
    /// Opens the newest segment of a folder that no other writer has; in a folder without one, the first is begun with
    /// this checkpoint. Nothing found is written to before [`recover`](HashChain::recover).
    pub fn open<T: FromEntry>(
        layer: Box<dyn Storage>,
        kind: &'static LogFormat,
        most_grown: usize,
        empty: impl FnOnce() -> Vec<u8>,
    ) -> Result<(HashChain, OpenedLog<T>), ChainError> {
        match segments(&*layer, kind)?.last() {
            Some(newest) => HashChain::found(layer, kind, *newest, most_grown),
            None => Ok(HashChain::begun(layer, kind, most_grown, empty())?),
        }
    }

    fn found<T: FromEntry>(
        layer: Box<dyn Storage>,
        kind: &'static LogFormat,
        newest: u64,
        most_grown: usize,
    ) -> Result<(HashChain, OpenedLog<T>), ChainError> {
        let Segment { header: head, reader, entries, trailing_bytes: torn, size, base } =
            read_segment(&*layer, kind, newest)?;
        let SegmentReader { version, hash, synced_version: safe, .. } = reader;
        let (since, end) = (newest, End::Found { safe });
        let chain = HashChain { layer, kind, version, hash, since, size, base, most_grown, end, torn };
        Ok((chain, OpenedLog { header: head, entries }))
    }

    fn begun<T>(
        layer: Box<dyn Storage>,
        kind: &'static LogFormat,
        most_grown: usize,
        checkpoint: Vec<u8>,
    ) -> io::Result<(HashChain, OpenedLog<T>)> {
        let (version, hash, since, size, base, end, torn) = (0, [0; 32], 0, 0, 0, End::Sound, 0);
        let mut chain = HashChain { layer, kind, version, hash, since, size, base, most_grown, end, torn };
        let head = SegmentHeader { version, hash, checkpoint, completed: VecDeque::new() };
        chain.begin(head.clone())?;
        Ok((chain, OpenedLog { header: head, entries: Vec::new() }))
    }

    /// Makes what was found safe, once whoever opened the log has replayed it and believes it; the checkpoint, which is
    /// asked for where the end is torn, is the state after all entries. Nothing is appended before.
    pub fn recover(&mut self, checkpoint: impl FnOnce() -> Checkpoint) -> io::Result<()> {
        if let End::Found { safe } = self.end {
            self.end = End::Doubtful;
            if self.torn > 0 {
                // Whether the last whole entry was synced is not known; the new segment, which holds it, is.
                self.begin_with(checkpoint())?;
            } else if safe < self.version {
                self.layer.sync(&self.kind.file_name(self.since))?;
                self.mark()?;
            }
            self.end = End::Sound;
        }
        self.check_writable()
    }

    /// Why nothing can be appended, if so.
    pub fn check_writable(&self) -> io::Result<()> {
        match self.end {
            End::Sound => Ok(()),
            End::Found { .. } => Err(io::Error::other("what was found of the log is not settled yet")),
            End::Doubtful => Err(io::Error::other("an earlier write failed; open the log again")),
        }
    }

    /// Commits one body: when this returns it is synced, and marked safe unless that failed, which the next one tells.
    /// The checkpoint, asked for where a new segment is begun first, is the state before this body.
    pub fn append(&mut self, body: Vec<u8>, checkpoint: impl FnOnce() -> Checkpoint) -> io::Result<Hash> {
        self.check_writable()?;
        self.end = End::Doubtful;
        if self.size > self.most_grown.max(2 * self.base) {
            self.begin_with(checkpoint())?;
        }
        self.hash = self.write(body)?;
        self.version += 1;
        // What follows the commit point may fail without undoing it.
        if self.mark().is_ok() {
            self.end = End::Sound;
        }
        Ok(self.hash)
    }

    /// Begins a new segment with the state after all that was appended.
    pub fn roll(&mut self, checkpoint: Vec<u8>, done: VecDeque<CompletedChange>) -> io::Result<()> {
        self.check_writable()?;
        self.end = End::Doubtful;
        self.begin_with((checkpoint, done))?;
        self.end = End::Sound;
        Ok(())
    }

    /// Begins a new segment with a state further on, of a log that this one is a copy of.
    pub fn adopt_checkpoint(&mut self, head: SegmentHeader) -> io::Result<()> {
        self.check_writable()?;
        self.end = End::Doubtful;
        let (version, hash) = (head.version, head.hash);
        self.begin(head)?;
        (self.version, self.hash, self.end) = (version, hash, End::Sound);
        Ok(())
    }

    /// Removes all segments but the newest: a copy has what was before elsewhere.
    pub fn forget_earlier(&mut self) -> io::Result<()> {
        let earlier = segments(&*self.layer, self.kind)?.into_iter().filter(|first| *first < self.since);
        earlier.into_iter().try_for_each(|first| self.layer.remove(&self.kind.file_name(first)))
    }

    fn write(&mut self, body: Vec<u8>) -> io::Result<Hash> {
        let hash = chain_hash(&self.hash, &body);
        let bytes = encode_record(&LogRecord::Change { body, hash }).ok_or(io::ErrorKind::FileTooLarge)?;
        let file = self.kind.file_name(self.since);
        self.layer.append(&file, &bytes)?;
        self.layer.sync(&file)?;
        self.size += bytes.len();
        Ok(hash)
    }

    /// Says that the log is safe up to its end, so that its followers act on it.
    fn mark(&mut self) -> io::Result<()> {
        let bytes =
            encode_record(&LogRecord::Synced { version: self.version }).ok_or(io::ErrorKind::FileTooLarge)?;
        self.size += bytes.len();
        self.layer.append(&self.kind.file_name(self.since), &bytes)
    }

    fn begin_with(&mut self, (checkpoint, done): Checkpoint) -> io::Result<()> {
        self.begin(SegmentHeader { version: self.version, hash: self.hash, checkpoint, completed: done })
    }

    fn begin(&mut self, head: SegmentHeader) -> io::Result<()> {
        let version = head.version;
        let bytes = self.kind.opening(head).ok_or(io::ErrorKind::FileTooLarge)?;
        self.layer.put(self.kind.temporary, &self.kind.file_name(version), &bytes)?;
        (self.since, self.size, self.base) = (version, bytes.len(), bytes.len());
        Ok(())
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn hash(&self) -> Hash {
        self.hash
    }

    /// The version that the newest segment begins after.
    pub fn segment_start(&self) -> u64 {
        self.since
    }

    /// Bytes cut off the end at the opening: a write that was never finished.
    pub fn torn_bytes(&self) -> usize {
        self.torn
    }

    /// Where it lies, to look at.
    pub fn layer(&self) -> &dyn Storage {
        &*self.layer
    }
}
