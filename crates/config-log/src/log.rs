//! The log: where changes are committed, one after another. The commit point is the synced record.

use std::collections::{HashMap, VecDeque};
use std::io;

use umbertray_snapshot::Storage;

pub use crate::chain::ChainError as LogError;
use crate::chain::{self, Checkpoint, HashChain};
use crate::change::{Change, ChangeRejected, conflicts, validate};
use crate::guard;
use crate::model::Configuration;
pub use crate::segment::CommittedChange;
use crate::segment::{self, CHANGES, CompletedChange, Corruption, Hash, SegmentHeader, file_name};
use crate::version::{SettingsChange, Version};

/// A segment grows to so many bytes, or to twice what it begins with if that is more, before a new one is begun.
pub const SEGMENT_BYTES: usize = 1 << 20;

/// So many changes are known by their ids, for those sent again.
pub const MAX_COMPLETED: usize = 10_000;

/// What became of a change.
#[derive(Clone, Debug)]
pub struct Committed {
    pub version: u64,
    /// It had been done before, under the same id.
    pub was_committed_before: bool,
    pub steps: Vec<SettingsChange>,
}

pub struct Log {
    chain: HashChain,
    head: Version,
    done: VecDeque<CompletedChange>,
    by_id: HashMap<String, (u64, u64)>,
    /// Changes of the present segment, in order.
    recent: Vec<CommittedChange>,
    /// Bytes cut off the end at the opening: a write that was never finished.
    pub torn_bytes: usize,
}

/// The segments there are, by the version that each begins after.
pub fn segments(layer: &dyn Storage) -> io::Result<Vec<u64>> {
    chain::segments(layer, &CHANGES)
}

pub type Segment = chain::Segment<CommittedChange>;

pub fn read_segment(layer: &dyn Storage, first: u64) -> Result<Segment, LogError> {
    chain::read_segment(layer, &CHANGES, first)
}

/// The version that a segment begins with.
pub fn checkpoint(head: &SegmentHeader) -> Result<Version, Corruption> {
    let wrong = |what: String| Corruption::InvalidChange { version: head.version, what };
    let configuration =
        Configuration::of_bytes(&head.checkpoint).ok_or_else(|| wrong("no checkpoint".into()))?;
    Version::read(head.version, &configuration).map_err(|problems| wrong(problems.join("; ")))
}

/// The last version that a segment tells of, up to one.
fn rebuilt(head: &SegmentHeader, changes: &[CommittedChange], last: u64) -> Result<Version, Corruption> {
    let mut version = checkpoint(head)?;
    for past in changes.iter().take_while(|past| past.version <= last) {
        version = replay(&version, past)?.0;
    }
    Ok(version)
}

/// The next version as a committed change makes it.
pub fn replay(
    version: &Version,
    past: &CommittedChange,
) -> Result<(Version, Vec<SettingsChange>), Corruption> {
    let wrong = |problems: Vec<String>| Corruption::InvalidChange {
        version: past.version,
        what: problems.join("; "),
    };
    version.next(&past.change.edits).map_err(wrong)
}

/// All that is known at a version, to begin a segment with.
fn known(head: &Version, done: &VecDeque<CompletedChange>) -> Checkpoint {
    (head.configuration.bytes(), done.clone())
}

impl Log {
    /// Opens the log of a folder that no other writer has; a folder without one has version 0.
    pub fn open(layer: Box<dyn Storage>, most_grown: usize) -> Result<Log, LogError> {
        let empty = || Version::empty().configuration.bytes();
        let (chain, opened) = HashChain::open::<CommittedChange>(layer, &CHANGES, most_grown, empty)?;
        let broken = |why| LogError::Broken { file: file_name(opened.header.version), why };
        let head = rebuilt(&opened.header, &opened.entries, u64::MAX).map_err(broken)?;
        let mut log = Log::at(chain, head, opened.header.completed);
        opened.entries.iter().for_each(|past| log.remember(past));
        log.recent = opened.entries;
        log.chain.recover(|| known(&log.head, &log.done))?;
        log.forget_earlier(opened.header.version);
        Ok(log)
    }

    fn at(chain: HashChain, head: Version, done: VecDeque<CompletedChange>) -> Log {
        let by_id = done.iter().map(|(id, version, like)| (id.clone(), (*version, *like))).collect();
        Log { torn_bytes: chain.torn_bytes(), chain, head, done, by_id, recent: Vec::new() }
    }

    pub fn head(&self) -> &Version {
        &self.head
    }

    /// Where it lies, to look at.
    pub fn layer(&self) -> &dyn Storage {
        self.chain.layer()
    }

    pub fn hash(&self) -> Hash {
        self.chain.hash()
    }

    /// A segment begun since then leaves the changes before it to the older ones.
    fn forget_earlier(&mut self, since: u64) {
        if self.chain.segment_start() > since {
            self.recent.clear();
        }
    }

    fn remember(&mut self, past: &CommittedChange) {
        let like = segment::fingerprint(&past.change);
        self.by_id.insert(past.change.id.clone(), (past.version, like));
        self.done.push_back((past.change.id.clone(), past.version, like));
        if self.done.len() > MAX_COMPLETED
            && let Some((id, ..)) = self.done.pop_front()
        {
            self.by_id.remove(&id);
        }
    }

    /// What a change would come to, without doing it.
    pub fn plan(&self, change: &Change) -> Result<(Version, Vec<SettingsChange>), ChangeRejected> {
        validate(change)?;
        let head = self.head.number;
        if change.base > head {
            return Err(ChangeRejected::NoSuchBase { base: change.base, head });
        }
        let all =
            (change.base < self.chain.segment_start()).then(|| self.history(change.base)).transpose()?;
        let past = all.as_ref().unwrap_or(&self.recent);
        let since = past.iter().filter(|past| past.version > change.base);
        let met = conflicts(change, since.map(|past| (past.version, &past.change)));
        if !met.is_empty() {
            return Err(ChangeRejected::Conflict(met));
        }
        let (next, steps) = self.head.next(&change.edits).map_err(ChangeRejected::Invalid)?;
        let mut guarded = guard::guarded(&self.head, &next, &steps);
        guarded.retain(|found| !change.allow.contains(&found.guard));
        if guarded.is_empty() { Ok((next, steps)) } else { Err(ChangeRejected::Guarded(guarded)) }
    }

    /// Commits a change on the newest version, or does nothing of it. One that was done before is not done again.
    pub fn commit(&mut self, change: Change) -> Result<Committed, ChangeRejected> {
        self.chain.check_writable()?;
        if let Some((version, like)) = self.by_id.get(&change.id).copied() {
            let steps = Vec::new();
            return if like == segment::fingerprint(&change) {
                Ok(Committed { version, was_committed_before: true, steps })
            } else {
                Err(ChangeRejected::IdTaken { id: change.id, version })
            };
        }
        let (next, steps) = self.plan(&change)?;
        let hash = self.write(&change)?;
        let past = CommittedChange { version: next.number, hash, change };
        self.remember(&past);
        self.recent.push(past);
        self.head = next;
        Ok(Committed { version: self.head.number, was_committed_before: false, steps })
    }

    fn write(&mut self, change: &Change) -> io::Result<Hash> {
        let since = self.chain.segment_start();
        let checkpoint = || known(&self.head, &self.done);
        let written = self.chain.append(segment::body(change), checkpoint);
        self.forget_earlier(since);
        written
    }

    /// The changes after a version, from all segments.
    pub fn history(&self, after: u64) -> io::Result<Vec<CommittedChange>> {
        history(self.layer(), after).map_err(|error| match error {
            LogError::Disk(error) => error,
            broken => io::Error::other(broken.to_string()),
        })
    }
}

/// The changes after a version, in order, with no gap.
pub fn history(layer: &dyn Storage, after: u64) -> Result<Vec<CommittedChange>, LogError> {
    let all = segments(layer)?;
    let begin = all.partition_point(|first| *first <= after).saturating_sub(1);
    let mut past: Vec<CommittedChange> = Vec::new();
    let mut known: Option<(u64, Hash)> = None;
    for first in &all[begin..] {
        let segment = read_segment(layer, *first)?;
        let broken = |why| LogError::Broken { file: file_name(*first), why };
        if let Some((version, hash)) = known {
            if version < *first {
                return Err(broken(Corruption::Missing { from: version + 1, to: *first }));
            }
            // A segment may have been followed by one that begins before its end: what a crash left unsure.
            past.retain(|past| past.version <= *first);
            if version == *first && hash != segment.header.hash {
                return Err(broken(Corruption::BrokenChain(*first)));
            }
        }
        known = Some((segment.reader.version, segment.reader.hash));
        past.extend(segment.entries);
    }
    past.retain(|past| past.version > after);
    Ok(past)
}

/// The configuration of any version, rebuilt from the nearest checkpoint before it.
pub fn version(layer: &dyn Storage, number: u64) -> Result<Version, LogError> {
    let all = segments(layer)?;
    let Some(first) = all.iter().rev().find(|first| **first <= number) else {
        return Err(LogError::Broken {
            file: file_name(0),
            why: Corruption::Missing { from: 0, to: number },
        });
    };
    let segment = read_segment(layer, *first)?;
    let broken = |why| LogError::Broken { file: file_name(*first), why };
    let version = rebuilt(&segment.header, &segment.entries, number).map_err(broken)?;
    if version.number < number {
        return Err(broken(Corruption::Missing { from: version.number + 1, to: number }));
    }
    Ok(version)
}

/// Rebuilds all from the oldest segment on and compares every checkpoint, byte for byte; the newest version.
pub fn verify(layer: &dyn Storage) -> Result<u64, LogError> {
    let all = segments(layer)?;
    let Some(first) = all.first().copied() else { return Ok(0) };
    let segment = read_segment(layer, first)?;
    let mut version =
        checkpoint(&segment.header).map_err(|why| LogError::Broken { file: file_name(first), why })?;
    let past = history(layer, first)?;
    let mut changes = past.iter();
    for first in all.into_iter().skip(1).chain([u64::MAX]) {
        while version.number < first {
            let Some(past) = changes.next() else { break };
            let broken = |why| LogError::Broken { file: "the chain".into(), why };
            version = replay(&version, past).map_err(broken)?.0;
        }
        if first < u64::MAX && read_segment(layer, first)?.header.checkpoint != version.configuration.bytes()
        {
            let what = "its checkpoint is not what the changes before it make".to_string();
            return Err(LogError::Broken {
                file: file_name(first),
                why: Corruption::InvalidChange { version: first, what },
            });
        }
    }
    Ok(version.number)
}
