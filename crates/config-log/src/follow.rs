//! Following the log, from its folder or from updates: what is safely committed, in order, and never back.
//!
//! [`FolderReader`] reads a folder and knows nothing of what entries mean; [`Replica`] applies updates, wherever they
//! came from; [`Follower`] is both.

mod folder_reader;
mod replica;

use std::collections::VecDeque;

use umbertray_snapshot::Storage;

use crate::chain::Entry;
use crate::log::LogError;
use crate::segment::{Hash, SegmentHeader, file_name};

pub use folder_reader::FolderReader;
pub use replica::{AppliedVersion, Replica};

/// Why a log is not followed. The gateway goes on with what it has.
#[derive(Debug, thiserror::Error)]
pub enum FollowError {
    /// The folder is empty, or its writer has not synced a first version yet.
    #[error("the log has no version that is safely committed")]
    NoLog,
    /// Hazard: an older log may hold a limit that was lowered since.
    #[error(
        "the log ends at version {found}, this gateway has acted on version {have}: it is another's or an older copy"
    )]
    LogOlder {
        /// The version that this gateway acted on.
        have: u64,
        /// The last version of the log.
        found: u64,
    },
    /// The log has another change under a version that was acted on: it is another deployment's, or a restored one.
    #[error("version {0} of the log is not the one that this gateway has acted on")]
    DivergentHistory(u64),
    /// The log is damaged or cannot be read.
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
    /// The next change.
    Entry(Entry),
    /// The state at a version, where the entries before it are not available.
    Checkpoint(SegmentHeader),
}

impl Update {
    /// The version that it leads to.
    pub fn version(&self) -> u64 {
        match self {
            Update::Entry(entry) => entry.version,
            Update::Checkpoint(header) => header.version,
        }
    }

    /// That version's hash.
    pub fn hash(&self) -> Hash {
        match self {
            Update::Entry(entry) => entry.hash,
            Update::Checkpoint(header) => header.hash,
        }
    }
}

/// A gateway's following of a folder.
pub struct Follower {
    /// The version that it has reached.
    pub replica: Replica,
    reader: FolderReader,
    /// Read and not applied yet. Where applying one failed, it stays first, and nothing more is read.
    pending: VecDeque<Update>,
}

impl Follower {
    /// Reads the newest segment up to what is safely committed. `applied` is the version that an earlier run acted on, and
    /// its hash: no log that ends before it or differs from it is followed.
    ///
    /// # Errors
    /// [`FollowError`] where there is no log, or it must not be followed.
    pub fn open(storage: &dyn Storage, applied: Option<(u64, Hash)>) -> Result<Follower, FollowError> {
        let (reader, updates) = FolderReader::open(storage)?;
        let replica = replay_updates(&reader, &updates)?;
        if let Some((applied_version, applied_hash)) = applied {
            let found = replica.version.number;
            if found < applied_version {
                return Err(FollowError::LogOlder { have: applied_version, found });
            }
            let read = updates.iter().map(|update| (update.version(), update.hash()));
            let unsynced = reader.unsynced().map(|entry| (entry.version, entry.hash));
            let mut known = read.chain(unsynced);
            if known.any(|(version, hash)| version == applied_version && hash != applied_hash) {
                return Err(FollowError::DivergentHistory(applied_version));
            }
        }
        Ok(Follower { replica, reader, pending: VecDeque::new() })
    }

    /// What was committed since the last call: each version and what to do about it, in order. Where an update in it is
    /// invalid, those before it are returned first, and the next call reports the error.
    ///
    /// # Errors
    /// [`FollowError`] where nothing could be applied. An invalid update is reported by every later call.
    pub fn poll(&mut self, storage: &dyn Storage) -> Result<Vec<AppliedVersion>, FollowError> {
        if self.pending.is_empty() {
            self.pending.extend(self.reader.poll(storage)?);
        }
        let mut applied = Vec::new();
        while let Some(update) = self.pending.front() {
            match self.replica.apply(update) {
                Ok(version) => applied.extend(version),
                Err(reason) if applied.is_empty() => {
                    let file = file_name(self.reader.segment_start());
                    return Err(LogError::Broken { file, reason }.into());
                }
                Err(_) => break,
            }
            self.pending.pop_front();
        }
        Ok(applied)
    }
}

/// The state after all that a reader found at its opening: a checkpoint and the entries after it.
fn replay_updates(reader: &FolderReader, updates: &[Update]) -> Result<Replica, FollowError> {
    let broken = |reason| LogError::Broken { file: file_name(reader.segment_start()), reason };
    let Some((Update::Checkpoint(header), entries)) = updates.split_first() else {
        return Err(FollowError::NoLog);
    };
    let mut replica = Replica::from_header(header).map_err(broken)?;
    for entry in entries {
        replica.apply(entry).map_err(broken)?;
    }
    Ok(replica)
}
