//! The change log, to which changes are committed one at a time. A change is committed once its record is
//! synced.

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

/// Size that a segment reaches before the next one is begun, bytes, or twice the size of its preamble and
/// header if that is more.
pub const SEGMENT_BYTES: usize = 1 << 20;

/// How many committed changes are remembered by id, to recognise changes that are sent again.
pub const MAX_COMPLETED: usize = 10_000;

/// The result of committing a change.
#[derive(Clone, Debug)]
pub struct Committed {
    /// The version that the change created.
    pub version: u64,
    /// Whether the change was sent again after it had been committed under the same id.
    pub was_committed_before: bool,
    /// The settings changes that a gateway must apply; empty if the change was committed before.
    pub settings_changes: Vec<SettingsChange>,
}

/// The data kept for a committed change, by which it is recognised when it is sent again.
#[derive(Clone, Copy)]
struct CompletedId {
    version: u64,
    fingerprint: u64,
}

/// The only writer of the change log.
///
/// Invariant: `head`, `completed` and `completed_by_id` equal the result of replaying the chain's entries.
pub struct Log {
    chain: HashChain,
    head: Version,
    /// The last committed changes, oldest first, at most [`MAX_COMPLETED`].
    completed: VecDeque<CompletedChange>,
    /// The same changes by id.
    completed_by_id: HashMap<String, CompletedId>,
    /// The changes of the newest segment, in order.
    newest_segment_changes: Vec<CommittedChange>,
    /// Bytes of an incomplete record at the end of the log when it was opened: the remains of a write that
    /// was cut off.
    pub torn_bytes: usize,
}

/// The content of the header of a segment that begins after the version `head`.
fn encode_checkpoint(head: &Version, completed: &VecDeque<CompletedChange>) -> Checkpoint {
    (head.configuration.to_bytes(), completed.clone())
}

impl Log {
    /// Opens the log of a folder that no other writer uses. The log of an empty folder is at version 0.
    /// Segments grow to `max_segment_bytes`, or to twice the size of their preamble and header if that is
    /// more.
    ///
    /// # Errors
    /// [`LogError`] if the log is damaged or the file system fails.
    pub fn open(storage: Box<dyn Storage>, max_segment_bytes: usize) -> Result<Log, LogError> {
        let empty = || Version::empty().configuration.to_bytes();
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
            completed_by_id: completed.iter().map(completed_by_id_entry).collect(),
            completed,
            newest_segment_changes: Vec::new(),
        };
        found.entries.iter().for_each(|committed| log.record_completed(completed_change(committed)));
        log.newest_segment_changes = found.entries;
        log.chain.recover(|| encode_checkpoint(&log.head, &log.completed))?;
        log.clear_changes_if_rolled(segment_start);
        Ok(log)
    }

    /// The newest version.
    pub fn head(&self) -> &Version {
        &self.head
    }

    /// The storage of the log's folder, for reading.
    pub fn storage(&self) -> &dyn Storage {
        self.chain.storage()
    }

    /// The newest version's hash in the chain.
    pub fn hash(&self) -> Hash {
        self.chain.hash()
    }

    /// Clears the changes held in memory if a new segment was begun after the one at `segment_start`. The
    /// changes remain available in the older segments.
    fn clear_changes_if_rolled(&mut self, segment_start: u64) {
        if self.chain.segment_start() > segment_start {
            self.newest_segment_changes.clear();
        }
    }

    fn record_completed(&mut self, completed: CompletedChange) {
        self.completed_by_id.extend([completed_by_id_entry(&completed)]);
        self.completed.push_back(completed);
        if self.completed.len() > MAX_COMPLETED
            && let Some(oldest) = self.completed.pop_front()
        {
            self.completed_by_id.remove(&oldest.id);
        }
    }

    /// Computes the version and the settings changes that a change would produce, without committing it.
    ///
    /// # Errors
    /// [`ChangeRejected`] if the change could not be committed.
    pub fn preview(&self, change: &Change) -> Result<(Version, Vec<SettingsChange>), ChangeRejected> {
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
        let committed = older.as_ref().unwrap_or(&self.newest_segment_changes);
        let since_base = committed.iter().filter(|committed| committed.version > change.base);
        let conflicts = conflicts(change, since_base.map(|committed| (committed.version, &committed.change)));
        if conflicts.is_empty() { Ok(()) } else { Err(ChangeRejected::Conflict(conflicts)) }
    }

    /// The base version of the change that was committed under this id; `None` if the change is not
    /// remembered or its segment no longer exists.
    ///
    /// # Errors
    /// Those of the file system, and an error if the log is damaged.
    pub fn committed_base(&self, id: &str) -> io::Result<Option<u64>> {
        let Some(completed) = self.completed_by_id.get(id) else { return Ok(None) };
        let since = self.history(completed.version - 1)?;
        let committed = since.into_iter().find(|committed| committed.version == completed.version);
        Ok(committed.map(|committed| committed.change.base))
    }

    /// Commits a change on top of the newest version, either completely or not at all. A change that was
    /// committed before under the same id is not committed again.
    ///
    /// # Errors
    /// [`ChangeRejected`] if the change is rejected. After [`ChangeRejected::Disk`] the log must be opened
    /// again.
    pub fn commit(&mut self, change: Change) -> Result<Committed, ChangeRejected> {
        self.chain.check_writable()?;
        if let Some(completed) = self.completed_by_id.get(&change.id) {
            let version = completed.version;
            return if completed.fingerprint == segment::fingerprint(&change) {
                Ok(Committed { version, was_committed_before: true, settings_changes: Vec::new() })
            } else {
                Err(ChangeRejected::IdTaken { id: change.id, version })
            };
        }
        let (next, settings_changes) = self.preview(&change)?;
        let hash = self.append_to_chain(&change)?;
        let committed = CommittedChange { version: next.number, hash, change };
        self.record_completed(completed_change(&committed));
        self.newest_segment_changes.push(committed);
        self.head = next;
        Ok(Committed { version: self.head.number, was_committed_before: false, settings_changes })
    }

    fn append_to_chain(&mut self, change: &Change) -> io::Result<Hash> {
        let segment_start = self.chain.segment_start();
        let checkpoint = || encode_checkpoint(&self.head, &self.completed);
        let written = self.chain.append(segment::encode_body(change), checkpoint);
        self.clear_changes_if_rolled(segment_start);
        written
    }

    /// Reads the changes after a version from all segments.
    ///
    /// # Errors
    /// Those of the file system, and an error if the log is damaged.
    pub fn history(&self, after: u64) -> io::Result<Vec<CommittedChange>> {
        history(self.storage(), after).map_err(|error| match error {
            LogError::Disk(error) => error,
            broken => io::Error::other(broken.to_string()),
        })
    }
}

fn completed_by_id_entry(completed: &CompletedChange) -> (String, CompletedId) {
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
