//! The log that changes are committed to, one after another. The commit point is the synced record.

mod history;

use std::collections::{HashMap, VecDeque};
use std::io;

use umbertray_snapshot::Storage;

pub use crate::chain::ChainError as LogError;
use crate::chain::{Checkpoint, HashChain};
use crate::change::{Change, ChangeRejected, conflicts, validate};
use crate::guard;
pub use crate::segment::CommittedChange;
use crate::segment::{self, CHANGES, CompletedChange, Hash, file_name};
use crate::version::{SettingsChange, Version};
pub(crate) use history::invalid_change;
pub use history::{Segment, checkpoint, history, read_segment, replay, segments, verify, version};

/// Size that a segment reaches before the next is begun, bytes, unless twice what it begins with is more.
pub const SEGMENT_BYTES: usize = 1 << 20;

/// How many changes are remembered by their ids, for recognising those sent again.
pub const MAX_COMPLETED: usize = 10_000;

/// What became of a change.
#[derive(Clone, Debug)]
pub struct Committed {
    /// The version that it made.
    pub version: u64,
    /// It was sent again: it had been committed before under the same id.
    pub was_committed_before: bool,
    /// What a gateway does about it; empty where it was committed before.
    pub steps: Vec<SettingsChange>,
}

/// What is remembered of a change by its id.
#[derive(Clone, Copy)]
struct CompletedId {
    version: u64,
    fingerprint: u64,
}

/// The one writer of the log.
///
/// Invariant: `head`, `completed` and `by_id` are what the chain's entries lead to.
pub struct Log {
    chain: HashChain,
    head: Version,
    /// The last changes, oldest first, at most [`MAX_COMPLETED`].
    completed: VecDeque<CompletedChange>,
    /// The same by their ids.
    by_id: HashMap<String, CompletedId>,
    /// Changes of the newest segment, in order.
    recent: Vec<CommittedChange>,
    /// Bytes at the end that were no whole record when the log was opened: a write that was cut off.
    pub torn_bytes: usize,
}

/// What a segment begins with after a version.
fn encode_checkpoint(head: &Version, completed: &VecDeque<CompletedChange>) -> Checkpoint {
    (head.configuration.bytes(), completed.clone())
}

impl Log {
    /// Opens the log of a folder that no other writer has; a folder without one has version 0. Segments grow to
    /// `max_segment_bytes`.
    ///
    /// # Errors
    /// [`LogError`] where the log is damaged or the file system fails.
    pub fn open(storage: Box<dyn Storage>, max_segment_bytes: usize) -> Result<Log, LogError> {
        let empty = || Version::empty().configuration.bytes();
        let opened = HashChain::open::<CommittedChange>(storage, &CHANGES, max_segment_bytes, empty)?;
        let (chain, found) = opened;
        let segment_start = found.header.version;
        let head = history::replay_segment(&found.header, &found.entries, u64::MAX)
            .map_err(|reason| LogError::Broken { file: file_name(segment_start), reason })?;
        let completed = found.header.completed;
        let mut log = Log {
            torn_bytes: chain.torn_bytes(),
            chain,
            head,
            by_id: completed.iter().map(by_id_entry).collect(),
            completed,
            recent: Vec::new(),
        };
        found.entries.iter().for_each(|committed| log.remember(completed_change(committed)));
        log.recent = found.entries;
        log.chain.recover(|| encode_checkpoint(&log.head, &log.completed))?;
        log.forget_before_segment(segment_start);
        Ok(log)
    }

    /// The newest version.
    pub fn head(&self) -> &Version {
        &self.head
    }

    /// The folder, to read.
    pub fn layer(&self) -> &dyn Storage {
        self.chain.storage()
    }

    /// The newest version's hash in the chain.
    pub fn hash(&self) -> Hash {
        self.chain.hash()
    }

    /// Where a segment was begun since `segment_start`, changes before it are left to the older segments.
    fn forget_before_segment(&mut self, segment_start: u64) {
        if self.chain.segment_start() > segment_start {
            self.recent.clear();
        }
    }

    fn remember(&mut self, completed: CompletedChange) {
        self.by_id.extend([by_id_entry(&completed)]);
        self.completed.push_back(completed);
        if self.completed.len() > MAX_COMPLETED
            && let Some(oldest) = self.completed.pop_front()
        {
            self.by_id.remove(&oldest.id);
        }
    }

    /// What a change would lead to, without committing it.
    ///
    /// # Errors
    /// [`ChangeRejected`] where it could not be committed.
    pub fn plan(&self, change: &Change) -> Result<(Version, Vec<SettingsChange>), ChangeRejected> {
        validate(change)?;
        let head = self.head.number;
        if change.base > head {
            return Err(ChangeRejected::NoSuchBase { base: change.base, head });
        }
        self.check_conflicts(change)?;
        let (next, steps) = self.head.next(&change.edits).map_err(ChangeRejected::Invalid)?;
        let mut guarded = guard::guarded(&self.head, &next, &steps);
        guarded.retain(|effect| !change.allow.contains(&effect.guard));
        if guarded.is_empty() { Ok((next, steps)) } else { Err(ChangeRejected::Guarded(guarded)) }
    }

    fn check_conflicts(&self, change: &Change) -> Result<(), ChangeRejected> {
        let is_base_recent = change.base >= self.chain.segment_start();
        let older = if is_base_recent { None } else { Some(self.history(change.base)?) };
        let committed = older.as_ref().unwrap_or(&self.recent);
        let since_base = committed.iter().filter(|committed| committed.version > change.base);
        let conflicts = conflicts(change, since_base.map(|committed| (committed.version, &committed.change)));
        if conflicts.is_empty() { Ok(()) } else { Err(ChangeRejected::Conflict(conflicts)) }
    }

    /// The version that a change was written from that was committed under this id, if it is remembered and its segment is
    /// there.
    ///
    /// # Errors
    /// Those of the file system, and of a log that is damaged.
    pub fn base_of(&self, id: &str) -> io::Result<Option<u64>> {
        let Some(completed) = self.by_id.get(id) else { return Ok(None) };
        let since = self.history(completed.version - 1)?;
        let committed = since.into_iter().find(|committed| committed.version == completed.version);
        Ok(committed.map(|committed| committed.change.base))
    }

    /// Commits a change on the newest version, or nothing of it. One that was committed before under its id is not
    /// committed again.
    ///
    /// # Errors
    /// [`ChangeRejected`]. After [`ChangeRejected::Disk`] the log must be opened again.
    pub fn commit(&mut self, change: Change) -> Result<Committed, ChangeRejected> {
        self.chain.check_writable()?;
        if let Some(completed) = self.by_id.get(&change.id) {
            let version = completed.version;
            return if completed.fingerprint == segment::fingerprint(&change) {
                Ok(Committed { version, was_committed_before: true, steps: Vec::new() })
            } else {
                Err(ChangeRejected::IdTaken { id: change.id, version })
            };
        }
        let (next, steps) = self.plan(&change)?;
        let hash = self.write(&change)?;
        let committed = CommittedChange { version: next.number, hash, change };
        self.remember(completed_change(&committed));
        self.recent.push(committed);
        self.head = next;
        Ok(Committed { version: self.head.number, was_committed_before: false, steps })
    }

    fn write(&mut self, change: &Change) -> io::Result<Hash> {
        let segment_start = self.chain.segment_start();
        let checkpoint = || encode_checkpoint(&self.head, &self.completed);
        let written = self.chain.append(segment::body(change), checkpoint);
        self.forget_before_segment(segment_start);
        written
    }

    /// The changes after a version, from all segments.
    ///
    /// # Errors
    /// Those of the file system, and of a log that is damaged.
    pub fn history(&self, after: u64) -> io::Result<Vec<CommittedChange>> {
        history(self.layer(), after).map_err(|error| match error {
            LogError::Disk(error) => error,
            broken => io::Error::other(broken.to_string()),
        })
    }
}

fn by_id_entry(completed: &CompletedChange) -> (String, CompletedId) {
    let CompletedChange { id, version, fingerprint } = completed.clone();
    (id, CompletedId { version, fingerprint })
}

fn completed_change(committed: &CommittedChange) -> CompletedChange {
    CompletedChange {
        id: committed.change.id.clone(),
        version: committed.version,
        fingerprint: segment::fingerprint(&committed.change),
    }
}
