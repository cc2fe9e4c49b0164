//! Applies updates from any source.

use super::Update;
use crate::chain::{Entry, FromEntry, chain_hash};
use crate::log::{checkpoint, invalid_change, replay};
use crate::segment::{CommittedChange, Corruption, Hash, SegmentHeader};
use crate::version::{SettingsChange, Version};

/// A version and the settings changes that a gateway must apply for it.
pub type AppliedVersion = (Version, Vec<SettingsChange>);

/// A version of the configuration and its position in the chain.
///
/// Invariant: it only moves to the next version, whose hash must follow from the current hash, or to a later
/// checkpoint.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The version.
    pub version: Version,
    /// Its hash in the chain.
    pub hash: Hash,
}

impl Replica {
    /// The version of a segment's checkpoint.
    ///
    /// # Errors
    /// [`Corruption`] if the checkpoint is invalid.
    pub fn from_header(header: &SegmentHeader) -> Result<Replica, Corruption> {
        Ok(Replica { version: checkpoint(header)?, hash: header.hash })
    }

    /// Applies the next update; `None` if it was applied before.
    ///
    /// # Errors
    /// [`Corruption`] if the update does not follow the current version or is invalid. Nothing changes then.
    pub fn apply(&mut self, update: &Update) -> Result<Option<AppliedVersion>, Corruption> {
        if self.is_already_applied(update)? {
            return Ok(None);
        }
        let (version, steps) = match update {
            Update::Entry(entry) => self.next_version(entry)?,
            Update::Checkpoint(header) => self.advance_to(header)?,
        };
        self.version = version.clone();
        self.hash = update.hash();
        Ok(Some((version, steps)))
    }

    /// Whether an update is not newer than the current version. An error if it has the number of the current
    /// version but a different hash.
    fn is_already_applied(&self, update: &Update) -> Result<bool, Corruption> {
        let current = self.version.number;
        if update.version() != current {
            return Ok(update.version() < current);
        }
        if update.hash() == self.hash { Ok(true) } else { Err(Corruption::BrokenChain(current)) }
    }

    fn next_version(&self, entry: &Entry) -> Result<AppliedVersion, Corruption> {
        let is_next = entry.version == self.version.number + 1;
        if !is_next || entry.hash != chain_hash(&self.hash, &entry.body) {
            return Err(Corruption::BrokenChain(entry.version));
        }
        replay(&self.version, &CommittedChange::from_entry(entry.clone())?)
    }

    /// Computes the step to a checkpoint any number of changes ahead. The indices of plans and volumes do not
    /// change.
    fn advance_to(&self, header: &SegmentHeader) -> Result<AppliedVersion, Corruption> {
        let edits = self.version.configuration.diff(&checkpoint(header)?.configuration);
        let next = self.version.next(&edits);
        let (mut version, steps) = next.map_err(|invalid| invalid_change(header.version, &invalid))?;
        version.number = header.version;
        Ok((version, steps))
    }
}
