//! Following the log, from its folder or as others tell of it: what is safely committed, in order, and never back.
//!
//! [`FolderReader`] reads a folder and knows nothing of what entries mean; [`Replica`] acts on what it is told, wherever that came
//! from; [`Follower`] is both.

use std::collections::VecDeque;
use std::io::ErrorKind;

use umbertray_snapshot::Storage;
use umbertray_snapshot::format::MAX_FILE_BYTES;

use crate::chain::{self, Entry, FromEntry, chain_hash};
use crate::log::{LogError, checkpoint, replay, segments};
use crate::segment::{CHANGES, CommittedChange, Corruption, Hash, SegmentHeader, SegmentReader, file_name};
use crate::version::{SettingsChange, Version};

/// Why a log is not followed. The gateway goes on with what it has.
#[derive(Debug, thiserror::Error)]
pub enum FollowError {
    #[error("the log has no version that is safely committed")]
    NoLog,
    /// Danger: an older log may hold a limit that was lowered since.
    #[error(
        "the log ends at version {found}, this gateway has acted on version {have}: it is another's or an older copy"
    )]
    LogOlder { have: u64, found: u64 },
    #[error("version {0} of the log is not the one that this gateway has acted on")]
    DivergentHistory(u64),
    #[error(transparent)]
    Log(#[from] LogError),
}

impl From<std::io::Error> for FollowError {
    fn from(error: std::io::Error) -> FollowError {
        FollowError::Log(error.into())
    }
}

/// What comes next in a history. All of it is safely committed.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    Entry(Entry),
    /// The state at a version, where the entries before it are not to be had.
    Checkpoint(SegmentHeader),
}

impl Update {
    pub fn version(&self) -> u64 {
        match self {
            Update::Entry(entry) => entry.version,
            Update::Checkpoint(head) => head.version,
        }
    }

    pub fn hash(&self) -> Hash {
        match self {
            Update::Entry(entry) => entry.hash,
            Update::Checkpoint(head) => head.hash,
        }
    }
}

/// Where a reader is in the log of a folder.
pub struct FolderReader {
    version: u64,
    hash: Hash,
    segment: u64,
    reader: SegmentReader,
    /// Read, but not said to be safe yet.
    waiting: VecDeque<Entry>,
}

impl FolderReader {
    /// Reads the newest segment: the state that it begins with, and what of it is safe.
    pub fn open(layer: &dyn Storage) -> Result<(FolderReader, Vec<Update>), FollowError> {
        let newest = *segments(layer)?.last().ok_or(FollowError::NoLog)?;
        let chain::Segment { header: head, reader, entries, .. } =
            chain::read_segment(layer, &CHANGES, newest)?;
        let (version, hash, waiting) = (head.version, head.hash, VecDeque::from(entries));
        let mut tail = FolderReader { version, hash, segment: newest, reader, waiting };
        let mut told = vec![Update::Checkpoint(head)];
        told.extend(tail.safe());
        if tail.version == 0 { Err(FollowError::NoLog) } else { Ok((tail, told)) }
    }

    /// What was committed since the last look. Where that ends in trouble, what came before it is told first.
    pub fn poll(&mut self, layer: &dyn Storage) -> Result<Vec<Update>, FollowError> {
        let mut told = Vec::new();
        match self.read_to_end(layer, &mut told) {
            Err(error) if told.is_empty() => Err(error),
            _ => Ok(told),
        }
    }

    fn read_to_end(&mut self, layer: &dyn Storage, told: &mut Vec<Update>) -> Result<(), FollowError> {
        let newer = |than| Ok::<_, FollowError>(segments(layer)?.into_iter().find(|first| *first > than));
        match self.read_on(layer) {
            // Its segment was put away while nobody looked: a newer one tells the rest.
            Err(FollowError::Log(LogError::Disk(error)))
                if error.kind() == ErrorKind::NotFound && newer(self.segment)?.is_some() => {}
            read => told.extend(read?),
        }
        // A segment that begins where this one ends goes on from here.
        while let Some(next) = newer(self.segment)? {
            let segment = chain::read_segment(layer, &CHANGES, next)?;
            self.enter(segment, told)?;
            told.extend(self.read_on(layer)?);
        }
        Ok(())
    }

    fn read_on(&mut self, layer: &dyn Storage) -> Result<Vec<Update>, FollowError> {
        let file = file_name(self.segment);
        let bytes = layer.read_from(&file, self.reader.bytes_read, MAX_FILE_BYTES)?;
        let fed = self.reader.feed::<Entry>(&bytes);
        self.waiting.extend(fed.map_err(|why| LogError::Broken { file, why })?);
        Ok(self.safe())
    }

    fn safe(&mut self) -> Vec<Update> {
        self.up_to(self.reader.synced_version)
    }

    fn up_to(&mut self, last: u64) -> Vec<Update> {
        let count = self.waiting.iter().take_while(|entry| entry.version <= last).count();
        let taken: Vec<Entry> = self.waiting.drain(..count).collect();
        if let Some(entry) = taken.last() {
            (self.version, self.hash) = (entry.version, entry.hash);
        }
        taken.into_iter().map(Update::Entry).collect()
    }

    /// A new segment is safe with all before it: what this one still has up to there is told, and the state, which those who
    /// have that much know.
    fn enter(&mut self, segment: chain::Segment, told: &mut Vec<Update>) -> Result<(), FollowError> {
        let chain::Segment { header: head, reader, entries, .. } = segment;
        told.extend(self.up_to(head.version));
        // What was told under that number must be what the log has there.
        if head.version == self.version && head.hash != self.hash {
            return Err(FollowError::DivergentHistory(head.version));
        }
        self.segment = head.version;
        self.reader = reader;
        if self.version <= head.version {
            (self.version, self.hash) = (head.version, head.hash);
            told.push(Update::Checkpoint(head));
        }
        let after = self.version;
        self.waiting = entries.into_iter().filter(|entry| entry.version > after).collect();
        Ok(())
    }
}

/// A version and what a gateway does about it.
pub type AppliedVersion = (Version, Vec<SettingsChange>);

/// One who acts on the log: what of it, and its place in the chain.
#[derive(Clone, Debug)]
pub struct Replica {
    pub version: Version,
    pub hash: Hash,
}

impl Replica {
    pub fn from_header(head: &SegmentHeader) -> Result<Replica, Corruption> {
        Ok(Replica { version: checkpoint(head)?, hash: head.hash })
    }

    /// Takes what comes next; nothing where it was known. What does not follow on what was acted on, or is wrong, is not taken,
    /// and nothing changes.
    pub fn apply(&mut self, told: &Update) -> Result<Option<AppliedVersion>, Corruption> {
        let have = self.version.number;
        let (version, steps) = match told {
            Update::Entry(entry) if entry.version < have => return Ok(None),
            Update::Entry(entry) if entry.version == have && entry.hash == self.hash => return Ok(None),
            Update::Entry(entry) => {
                if entry.version != have + 1 || entry.hash != chain_hash(&self.hash, &entry.body) {
                    return Err(Corruption::BrokenChain(entry.version));
                }
                replay(&self.version, &CommittedChange::from_entry(entry.clone())?)?
            }
            Update::Checkpoint(head) if head.version > have => self.reach(head)?,
            Update::Checkpoint(head) if head.version == have && head.hash != self.hash => {
                return Err(Corruption::BrokenChain(have));
            }
            Update::Checkpoint(_) => return Ok(None),
        };
        (self.version, self.hash) = (version.clone(), told.hash());
        Ok(Some((version, steps)))
    }

    /// The step to a state that lies any number of changes ahead: places stay.
    fn reach(&self, head: &SegmentHeader) -> Result<AppliedVersion, Corruption> {
        let edits = self.version.configuration.diff(&checkpoint(head)?.configuration);
        let wrong = |problems: Vec<String>| Corruption::InvalidChange {
            version: head.version,
            what: problems.join("; "),
        };
        let (mut version, steps) = self.version.next(&edits).map_err(wrong)?;
        version.number = head.version;
        Ok((version, steps))
    }
}

/// A gateway's reading of a folder.
pub struct Follower {
    pub replica: Replica,
    tail: FolderReader,
    /// Told and not taken yet: what is wrong stands first.
    pending: VecDeque<Update>,
}

impl Follower {
    /// Reads the newest segment up to what is safe. `acted` is what an earlier run had acted on: nothing before it is
    /// taken.
    pub fn open(layer: &dyn Storage, acted: Option<(u64, Hash)>) -> Result<Follower, FollowError> {
        let (tail, told) = FolderReader::open(layer)?;
        let file = file_name(tail.segment);
        let broken = |why| FollowError::Log(LogError::Broken { file: file.clone(), why });
        let mut known: Vec<(u64, Hash)> = told.iter().map(|told| (told.version(), told.hash())).collect();
        known.extend(tail.waiting.iter().map(|entry| (entry.version, entry.hash)));
        let mut told = told.into_iter();
        let Some(Update::Checkpoint(head)) = told.next() else { return Err(FollowError::NoLog) };
        let mut at = Replica::from_header(&head).map_err(broken)?;
        for next in told {
            at.apply(&next).map_err(broken)?;
        }
        if let Some((have, hash)) = acted {
            let found = at.version.number;
            if found < have {
                return Err(FollowError::LogOlder { have, found });
            }
            if known.iter().any(|(version, other)| *version == have && *other != hash) {
                return Err(FollowError::DivergentHistory(have));
            }
        }
        Ok(Follower { replica: at, tail, pending: VecDeque::new() })
    }

    /// What was committed since the last look: a version and what to do about it, one after another. Where that ends in
    /// trouble, what came before it is taken first.
    pub fn poll(&mut self, layer: &dyn Storage) -> Result<Vec<AppliedVersion>, FollowError> {
        // What is wrong stays so, and nothing after it is looked at.
        if self.pending.is_empty() {
            self.pending.extend(self.tail.poll(layer)?);
        }
        let mut taken = Vec::new();
        while let Some(told) = self.pending.front() {
            match self.replica.apply(told) {
                Ok(step) => taken.extend(step),
                Err(why) if taken.is_empty() => {
                    return Err(LogError::Broken { file: file_name(self.tail.segment), why }.into());
                }
                Err(_) => break,
            }
            self.pending.pop_front();
        }
        Ok(taken)
    }
}
