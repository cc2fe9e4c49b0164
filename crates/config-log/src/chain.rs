//! A hash-chained log of bodies that mean nothing to it: how its segments are read, begun and written.
//!
//! A segment is a magic and version, then records as state files have them (`umbertray_snapshot::format`): a head with
//! all that is known at its start, then the bodies since. Each carries the hash of the one before it, its own bytes
//! included, so that none can be left out, edited or moved unseen. A marker says up to which version the log is safe on
//! the disk.

use std::collections::VecDeque;
use std::io;

use serde::{Deserialize, Serialize};
use umbertray_snapshot::Layer;
use umbertray_snapshot::format::{MOST_FILE, next, record};
pub use umbertray_store_protocol::changes::{Hash, chain_hash};

pub const VERSION: u16 = 1;

/// A change's id, its version, and what tells it from another of that id.
pub type Done = (String, u64, u64);

/// What a new segment begins with: the state before its first body, and what was done lately.
pub type Checkpoint = (Vec<u8>, VecDeque<Done>);

/// How the files of a log begin and are named.
#[derive(Debug, PartialEq, Eq)]
pub struct Kind {
    pub magic: &'static [u8; 6],
    pub prefix: &'static str,
    pub suffix: &'static str,
    /// A segment has this name until it is whole.
    pub fresh: &'static str,
}

impl Kind {
    /// The file of the segment that begins after a version.
    pub fn name(&self, version: u64) -> String {
        format!("{}{version:020}{}", self.prefix, self.suffix)
    }

    pub fn version_of(&self, name: &str) -> Option<u64> {
        name.strip_prefix(self.prefix)?.strip_suffix(self.suffix)?.parse().ok()
    }

    fn opening(&self, head: Head) -> Option<Vec<u8>> {
        let mut out = self.magic.to_vec();
        out.extend(VERSION.to_le_bytes());
        out.extend(record(&Item::Head(head))?);
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
pub trait Read: Sized {
    fn of(entry: Entry) -> Result<Self, Broken>;
}

impl Read for Entry {
    fn of(entry: Entry) -> Result<Entry, Broken> {
        Ok(entry)
    }
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

#[derive(Debug, thiserror::Error)]
pub enum ChainError {
    #[error("{file}: {why}")]
    Broken { file: String, why: Broken },
    #[error(transparent)]
    Disk(#[from] io::Error),
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
    /// Reads what comes before the entries; how the segment begins.
    pub fn open(kind: &Kind, bytes: &[u8]) -> Result<(Reader, Head), Broken> {
        let rest = bytes.strip_prefix(kind.magic).ok_or(Broken::Magic)?;
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

    /// Takes whole records off the bytes that follow what was read; the entries among them.
    pub fn feed<T: Read>(&mut self, bytes: &[u8]) -> Result<Vec<T>, Broken> {
        let (mut rest, mut entries) = (bytes, Vec::new());
        while let Some(item) = next::<Item>(&mut rest) {
            match item {
                Item::Change { body, hash } => {
                    let version = self.version + 1;
                    if hash != chain_hash(&self.hash, &body) {
                        return Err(Broken::Chain(version));
                    }
                    entries.push(T::of(Entry { version, hash, body })?);
                    (self.version, self.hash) = (version, hash);
                }
                Item::Safe { version } => self.safe = self.safe.max(version.min(self.version)),
                Item::Head(_) => return Err(Broken::Chain(self.version + 1)),
            }
        }
        self.read += (bytes.len() - rest.len()) as u64;
        Ok(entries)
    }
}

/// Danger: bytes at the end that are no record may be a write that a crash cut off, or damage to one that was
/// committed. A whole record after them says that it is damage: cutting there would drop what was committed unseen.
fn whole_record_in(rest: &[u8]) -> bool {
    (1..rest.len()).any(|from| next::<Item>(&mut &rest[from..]).is_some())
}

/// The segments there are, by the version that each begins after.
pub fn segments(layer: &dyn Layer, kind: &Kind) -> io::Result<Vec<u64>> {
    let mut all: Vec<u64> = layer.names()?.iter().filter_map(|name| kind.version_of(name)).collect();
    all.sort_unstable();
    Ok(all)
}

/// A segment as read: how it begins, its entries, and what follows the last whole record.
pub struct Segment<T = Entry> {
    pub head: Head,
    pub reader: Reader,
    pub entries: Vec<T>,
    pub rest: usize,
    /// Bytes of all of it, and of what comes before its entries.
    size: usize,
    base: usize,
}

pub fn read_segment<T: Read>(layer: &dyn Layer, kind: &Kind, first: u64) -> Result<Segment<T>, ChainError> {
    let file = kind.name(first);
    let broken = |why| ChainError::Broken { file: file.clone(), why };
    let bytes = layer.read(&file, MOST_FILE)?;
    let (mut reader, head) = Reader::open(kind, &bytes).map_err(broken)?;
    if head.version != first {
        return Err(broken(Broken::Head));
    }
    let base = reader.read as usize;
    let entries = reader.feed(&bytes[base..]).map_err(broken)?;
    let rest = &bytes[reader.read as usize..];
    if whole_record_in(rest) {
        return Err(broken(Broken::Middle(reader.version + 1)));
    }
    Ok(Segment { head, entries, rest: rest.len(), size: bytes.len(), base, reader })
}

/// What a log tells at its opening: the state that its newest segment begins with, and what came since.
#[derive(Clone, Debug, PartialEq)]
pub struct Opened<T = Entry> {
    pub head: Head,
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
pub struct Chain {
    layer: Box<dyn Layer>,
    kind: &'static Kind,
    version: u64,
    hash: Hash,
    since: u64,
    size: usize,
    base: usize,
    most_grown: usize,
    end: End,
    torn: usize,
}

impl Chain {
    /// Opens the newest segment of a folder that no other writer has; in a folder without one, the first is begun with
    /// this checkpoint. Nothing found is written to before [`settle`](Chain::settle).
    pub fn open<T: Read>(
        layer: Box<dyn Layer>,
        kind: &'static Kind,
        most_grown: usize,
        empty: impl FnOnce() -> Vec<u8>,
    ) -> Result<(Chain, Opened<T>), ChainError> {
        match segments(&*layer, kind)?.last() {
            Some(newest) => Chain::found(layer, kind, *newest, most_grown),
            None => Ok(Chain::begun(layer, kind, most_grown, empty())?),
        }
    }

    fn found<T: Read>(
        layer: Box<dyn Layer>,
        kind: &'static Kind,
        newest: u64,
        most_grown: usize,
    ) -> Result<(Chain, Opened<T>), ChainError> {
        let Segment { head, reader, entries, rest: torn, size, base } = read_segment(&*layer, kind, newest)?;
        let Reader { version, hash, safe, .. } = reader;
        let (since, end) = (newest, End::Found { safe });
        let chain = Chain { layer, kind, version, hash, since, size, base, most_grown, end, torn };
        Ok((chain, Opened { head, entries }))
    }

    fn begun<T>(
        layer: Box<dyn Layer>,
        kind: &'static Kind,
        most_grown: usize,
        checkpoint: Vec<u8>,
    ) -> io::Result<(Chain, Opened<T>)> {
        let (version, hash, since, size, base, end, torn) = (0, [0; 32], 0, 0, 0, End::Sound, 0);
        let mut chain = Chain { layer, kind, version, hash, since, size, base, most_grown, end, torn };
        let head = Head { version, hash, checkpoint, done: VecDeque::new() };
        chain.begin(head.clone())?;
        Ok((chain, Opened { head, entries: Vec::new() }))
    }

    /// Makes what was found safe, once whoever opened the log has replayed it and believes it; the checkpoint, which is
    /// asked for where the end is torn, is the state after all entries. Nothing is appended before.
    pub fn settle(&mut self, checkpoint: impl FnOnce() -> Checkpoint) -> io::Result<()> {
        if let End::Found { safe } = self.end {
            self.end = End::Doubtful;
            if self.torn > 0 {
                // Whether the last whole entry was synced is not known; the new segment, which holds it, is.
                self.begin_with(checkpoint())?;
            } else if safe < self.version {
                self.layer.sync(&self.kind.name(self.since))?;
                self.mark()?;
            }
            self.end = End::Sound;
        }
        self.ready()
    }

    /// Why nothing can be appended, if so.
    pub fn ready(&self) -> io::Result<()> {
        match self.end {
            End::Sound => Ok(()),
            End::Found { .. } => Err(io::Error::other("what was found of the log is not settled yet")),
            End::Doubtful => Err(io::Error::other("an earlier write failed; open the log again")),
        }
    }

    /// Commits one body: when this returns it is synced, and marked safe unless that failed, which the next one tells.
    /// The checkpoint, asked for where a new segment is begun first, is the state before this body.
    pub fn append(&mut self, body: Vec<u8>, checkpoint: impl FnOnce() -> Checkpoint) -> io::Result<Hash> {
        self.ready()?;
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
    pub fn roll(&mut self, checkpoint: Vec<u8>, done: VecDeque<Done>) -> io::Result<()> {
        self.ready()?;
        self.end = End::Doubtful;
        self.begin_with((checkpoint, done))?;
        self.end = End::Sound;
        Ok(())
    }

    /// Begins a new segment with a state further on, of a log that this one is a copy of.
    pub fn adopt(&mut self, head: Head) -> io::Result<()> {
        self.ready()?;
        self.end = End::Doubtful;
        let (version, hash) = (head.version, head.hash);
        self.begin(head)?;
        (self.version, self.hash, self.end) = (version, hash, End::Sound);
        Ok(())
    }

    /// Removes all segments but the newest: a copy has what was before elsewhere.
    pub fn forget_earlier(&mut self) -> io::Result<()> {
        let earlier = segments(&*self.layer, self.kind)?.into_iter().filter(|first| *first < self.since);
        earlier.into_iter().try_for_each(|first| self.layer.remove(&self.kind.name(first)))
    }

    fn write(&mut self, body: Vec<u8>) -> io::Result<Hash> {
        let hash = chain_hash(&self.hash, &body);
        let bytes = record(&Item::Change { body, hash }).ok_or(io::ErrorKind::FileTooLarge)?;
        let file = self.kind.name(self.since);
        self.layer.append(&file, &bytes)?;
        self.layer.sync(&file)?;
        self.size += bytes.len();
        Ok(hash)
    }

    /// Says that the log is safe up to its end, so that its followers act on it.
    fn mark(&mut self) -> io::Result<()> {
        let bytes = record(&Item::Safe { version: self.version }).ok_or(io::ErrorKind::FileTooLarge)?;
        self.size += bytes.len();
        self.layer.append(&self.kind.name(self.since), &bytes)
    }

    fn begin_with(&mut self, (checkpoint, done): Checkpoint) -> io::Result<()> {
        self.begin(Head { version: self.version, hash: self.hash, checkpoint, done })
    }

    fn begin(&mut self, head: Head) -> io::Result<()> {
        let version = head.version;
        let bytes = self.kind.opening(head).ok_or(io::ErrorKind::FileTooLarge)?;
        self.layer.put(self.kind.fresh, &self.kind.name(version), &bytes)?;
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
    pub fn since(&self) -> u64 {
        self.since
    }

    /// Bytes cut off the end at the opening: a write that was never finished.
    pub fn torn(&self) -> usize {
        self.torn
    }

    /// Where it lies, to look at.
    pub fn layer(&self) -> &dyn Layer {
        &*self.layer
    }
}
