//! Following the log, from its folder or as others tell of it: what is safely committed, in order, and never back.
//!
//! [`Tail`] reads a folder and knows nothing of what entries mean; [`Replica`] acts on what it is told, wherever that came
//! from; [`Follower`] is both.

use std::collections::VecDeque;
use std::io::ErrorKind;

use umbertray_snapshot::Layer;
use umbertray_snapshot::format::MOST_FILE;

use crate::chain::{self, Entry, Read, chain_hash};
use crate::log::{LogError, checkpoint, replay, segments};
use crate::segment::{Broken, CHANGES, Hash, Head, Past, Reader, name};
use crate::version::{SettingsChange, Version};

/// Why a log is not followed. The gateway goes on with what it has.
#[derive(Debug, thiserror::Error)]
pub enum NotFollowed {
    #[error("the log has no version that is safely committed")]
    Empty,
    /// Danger: an older log may hold a limit that was lowered since.
    #[error(
        "the log ends at version {found}, this gateway has acted on version {have}: it is another's or an older copy"
    )]
    Older { have: u64, found: u64 },
    #[error("version {0} of the log is not the one that this gateway has acted on")]
    Other(u64),
    #[error(transparent)]
    Log(#[from] LogError),
}

impl From<std::io::Error> for NotFollowed {
    fn from(error: std::io::Error) -> NotFollowed {
        NotFollowed::Log(error.into())
    }
}

/// What comes next in a history. All of it is safely committed.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Entry(Entry),
    /// The state at a version, where the entries before it are not to be had.
    Whole(Head),
}

impl Told {
    pub fn version(&self) -> u64 {
        match self {
            Told::Entry(entry) => entry.version,
            Told::Whole(head) => head.version,
        }
    }

    pub fn hash(&self) -> Hash {
        match self {
            Told::Entry(entry) => entry.hash,
            Told::Whole(head) => head.hash,
        }
    }
}

/// Where a reader is in the log of a folder.
pub struct Tail {
    version: u64,
    hash: Hash,
    segment: u64,
    reader: Reader,
    /// Read, but not said to be safe yet.
    waiting: VecDeque<Entry>,
}

impl Tail {
    /// Reads the newest segment: the state that it begins with, and what of it is safe.
    pub fn open(layer: &dyn Layer) -> Result<(Tail, Vec<Told>), NotFollowed> {
        let newest = *segments(layer)?.last().ok_or(NotFollowed::Empty)?;
        let chain::Segment { head, reader, entries, .. } = chain::read_segment(layer, &CHANGES, newest)?;
        let (version, hash, waiting) = (head.version, head.hash, VecDeque::from(entries));
        let mut tail = Tail { version, hash, segment: newest, reader, waiting };
        let mut told = vec![Told::Whole(head)];
        told.extend(tail.safe());
        if tail.version == 0 { Err(NotFollowed::Empty) } else { Ok((tail, told)) }
    }

    /// What was committed since the last look. Where that ends in trouble, what came before it is told first.
    pub fn poll(&mut self, layer: &dyn Layer) -> Result<Vec<Told>, NotFollowed> {
        let mut told = Vec::new();
        match self.read_to_end(layer, &mut told) {
            Err(error) if told.is_empty() => Err(error),
            _ => Ok(told),
        }
    }

    fn read_to_end(&mut self, layer: &dyn Layer, told: &mut Vec<Told>) -> Result<(), NotFollowed> {
        let newer = |than| Ok::<_, NotFollowed>(segments(layer)?.into_iter().find(|first| *first > than));
        match self.read_on(layer) {
            // Its segment was put away while nobody looked: a newer one tells the rest.
            Err(NotFollowed::Log(LogError::Disk(error)))
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

    fn read_on(&mut self, layer: &dyn Layer) -> Result<Vec<Told>, NotFollowed> {
        let file = name(self.segment);
        let bytes = layer.read_on(&file, self.reader.read, MOST_FILE)?;
        let fed = self.reader.feed::<Entry>(&bytes);
        self.waiting.extend(fed.map_err(|why| LogError::Broken { file, why })?);
        Ok(self.safe())
    }

    fn safe(&mut self) -> Vec<Told> {
        self.up_to(self.reader.safe)
    }

    fn up_to(&mut self, last: u64) -> Vec<Told> {
        let count = self.waiting.iter().take_while(|entry| entry.version <= last).count();
        let taken: Vec<Entry> = self.waiting.drain(..count).collect();
        if let Some(entry) = taken.last() {
            (self.version, self.hash) = (entry.version, entry.hash);
        }
        taken.into_iter().map(Told::Entry).collect()
    }

    /// A new segment is safe with all before it: what this one still has up to there is told, and the state, which those who
    /// have that much know.
    fn enter(&mut self, segment: chain::Segment, told: &mut Vec<Told>) -> Result<(), NotFollowed> {
        let chain::Segment { head, reader, entries, .. } = segment;
        told.extend(self.up_to(head.version));
        // What was told under that number must be what the log has there.
        if head.version == self.version && head.hash != self.hash {
            return Err(NotFollowed::Other(head.version));
        }
        self.segment = head.version;
        self.reader = reader;
        if self.version <= head.version {
            (self.version, self.hash) = (head.version, head.hash);
            told.push(Told::Whole(head));
        }
        let after = self.version;
        self.waiting = entries.into_iter().filter(|entry| entry.version > after).collect();
        Ok(())
    }
}

/// A version and what a gateway does about it.
pub type Taken = (Version, Vec<SettingsChange>);

/// One who acts on the log: what of it, and its place in the chain.
#[derive(Clone, Debug)]
pub struct Replica {
    pub version: Version,
    pub hash: Hash,
}

impl Replica {
    pub fn read(head: &Head) -> Result<Replica, Broken> {
        Ok(Replica { version: checkpoint(head)?, hash: head.hash })
    }

    /// Takes what comes next; nothing where it was known. What does not follow on what was acted on, or is wrong, is not taken,
    /// and nothing changes.
    pub fn take(&mut self, told: &Told) -> Result<Option<Taken>, Broken> {
        let have = self.version.number;
        let (version, steps) = match told {
            Told::Entry(entry) if entry.version < have => return Ok(None),
            Told::Entry(entry) if entry.version == have && entry.hash == self.hash => return Ok(None),
            Told::Entry(entry) => {
                if entry.version != have + 1 || entry.hash != chain_hash(&self.hash, &entry.body) {
                    return Err(Broken::Chain(entry.version));
                }
                replay(&self.version, &Past::of(entry.clone())?)?
            }
            Told::Whole(head) if head.version > have => self.reach(head)?,
            Told::Whole(head) if head.version == have && head.hash != self.hash => {
                return Err(Broken::Chain(have));
            }
            Told::Whole(_) => return Ok(None),
        };
        (self.version, self.hash) = (version.clone(), told.hash());
        Ok(Some((version, steps)))
    }

    /// The step to a state that lies any number of changes ahead: places stay.
    fn reach(&self, head: &Head) -> Result<Taken, Broken> {
        let edits = self.version.configuration.diff(&checkpoint(head)?.configuration);
        let wrong =
            |problems: Vec<String>| Broken::Wrong { version: head.version, what: problems.join("; ") };
        let (mut version, steps) = self.version.next(&edits).map_err(wrong)?;
        version.number = head.version;
        Ok((version, steps))
    }
}

/// A gateway's reading of a folder.
pub struct Follower {
    pub at: Replica,
    tail: Tail,
    /// Told and not taken yet: what is wrong stands first.
    pending: VecDeque<Told>,
}

impl Follower {
    /// Reads the newest segment up to what is safe. `acted` is what an earlier run had acted on: nothing before it is
    /// taken.
    pub fn open(layer: &dyn Layer, acted: Option<(u64, Hash)>) -> Result<Follower, NotFollowed> {
        let (tail, told) = Tail::open(layer)?;
        let file = name(tail.segment);
        let broken = |why| NotFollowed::Log(LogError::Broken { file: file.clone(), why });
        let mut known: Vec<(u64, Hash)> = told.iter().map(|told| (told.version(), told.hash())).collect();
        known.extend(tail.waiting.iter().map(|entry| (entry.version, entry.hash)));
        let mut told = told.into_iter();
        let Some(Told::Whole(head)) = told.next() else { return Err(NotFollowed::Empty) };
        let mut at = Replica::read(&head).map_err(broken)?;
        for next in told {
            at.take(&next).map_err(broken)?;
        }
        if let Some((have, hash)) = acted {
            let found = at.version.number;
            if found < have {
                return Err(NotFollowed::Older { have, found });
            }
            if known.iter().any(|(version, other)| *version == have && *other != hash) {
                return Err(NotFollowed::Other(have));
            }
        }
        Ok(Follower { at, tail, pending: VecDeque::new() })
    }

    /// What was committed since the last look: a version and what to do about it, one after another. Where that ends in
    /// trouble, what came before it is taken first.
    pub fn poll(&mut self, layer: &dyn Layer) -> Result<Vec<Taken>, NotFollowed> {
        // What is wrong stays so, and nothing after it is looked at.
        if self.pending.is_empty() {
            self.pending.extend(self.tail.poll(layer)?);
        }
        let mut taken = Vec::new();
        while let Some(told) = self.pending.front() {
            match self.at.take(told) {
                Ok(step) => taken.extend(step),
                Err(why) if taken.is_empty() => {
                    return Err(LogError::Broken { file: name(self.tail.segment), why }.into());
                }
                Err(_) => break,
            }
            self.pending.pop_front();
        }
        Ok(taken)
    }
}
