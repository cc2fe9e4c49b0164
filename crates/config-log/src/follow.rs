//! Follows the change log, from its folder or from updates. Only safely committed entries are applied, in
//! order, and a follower never returns to an older version.
//!
//! [`FolderReader`] reads a folder without interpreting the entries. [`Replica`] applies updates from any
//! source. [`Follower`] combines the two.

mod folder_reader;
mod replica;

use std::collections::VecDeque;

use umbertray_snapshot::Storage;

use crate::chain::Entry;
use crate::log::LogError;
use crate::segment::{Hash, SegmentHeader, file_name};

pub use folder_reader::FolderReader;
pub use replica::{AppliedVersion, Replica};

/// Why a log is not followed. The gateway continues with the version that it has.
#[derive(Debug, thiserror::Error)]
pub enum FollowError {
    /// The folder is empty, or its writer has not synced a first version yet.
    #[error("the log has no version that is safely committed")]
    NoLog,
    /// The log ends before the version that this gateway applied.
    ///
    /// Hazard: an older log may hold a higher limit that was lowered since.
    #[error(
        "the log ends at version {found}, this gateway has applied version {applied}: \
         it is the log of another deployment or an older copy"
    )]
    LogOlder {
        /// The version that this gateway applied.
        applied: u64,
        /// The last version of the log.
        found: u64,
    },
    /// The log has a different change at the version that this gateway applied. It is the log of another
    /// deployment or a restored one.
    #[error("version {0} of the log differs from the version {0} that this gateway has applied")]
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

/// The next element of a history. It is safely committed.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The next change.
    Entry(Entry),
    /// The state at a version, if the entries before it are not available.
    Checkpoint(SegmentHeader),
}

impl Update {
    /// The version that the update leads to.
    pub fn version(&self) -> u64 {
        match self {
            Update::Entry(entry) => entry.version,
            Update::Checkpoint(header) => header.version,
        }
    }

    /// The hash of the version that the update leads to.
    pub fn hash(&self) -> Hash {
        match self {
            Update::Entry(entry) => entry.hash,
            Update::Checkpoint(header) => header.hash,
        }
    }
}

/// Follows the log of a folder for a gateway.
pub struct Follower {
    /// The version that the follower has reached.
    pub replica: Replica,
    reader: FolderReader,
    /// Updates that were read but not applied yet. An update that failed to apply stays first, and nothing
    /// more is read.
    pending: VecDeque<Update>,
}

impl Follower {
    /// Reads the newest segment up to the last safely committed version. `applied` is the version that an
    /// earlier run applied, and its hash. A log that ends before this version or differs from it is not
    /// followed.
    ///
    /// # Errors
    /// [`FollowError`] if there is no log or it must not be followed.
    pub fn open(storage: &dyn Storage, applied: Option<(u64, Hash)>) -> Result<Follower, FollowError> {
        let (reader, updates) = FolderReader::open(storage)?;
        let replica = replay_updates(&reader, &updates)?;
        if let Some((applied_version, applied_hash)) = applied {
            let found = replica.version.number;
            if found < applied_version {
                return Err(FollowError::LogOlder { applied: applied_version, found });
            }
            let read = updates.iter().map(|update| (update.version(), update.hash()));
            let unsynced = reader.unsynced().map(|entry| (entry.version, entry.hash));
            let mut versions = read.chain(unsynced);
            if versions.any(|(version, hash)| version == applied_version && hash != applied_hash) {
                return Err(FollowError::DivergentHistory(applied_version));
            }
        }
        Ok(Follower { replica, reader, pending: VecDeque::new() })
    }

    /// Applies and returns the versions committed since the last call, in order. If an update is invalid, the
    /// versions before it are returned, and the next call reports the error.
    ///
    /// # Errors
    /// [`FollowError`] if nothing could be applied. Every later call reports an invalid update again.
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

/// Replays the updates that a reader found when it was opened: a checkpoint and the entries after it.
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
