//! Applying updates, from wherever they came.

use super::Update;
use crate::chain::{Entry, FromEntry, chain_hash};
use crate::log::{checkpoint, invalid_change, replay};
use crate::segment::{CommittedChange, Corruption, Hash, SegmentHeader};
use crate::version::{SettingsChange, Version};

/// A version and what a gateway does about it.
pub type AppliedVersion = (Version, Vec<SettingsChange>);

/// A version of the configuration and its place in the chain.
///
/// Invariant: it only ever moves to a later version whose hash follows on this one's, or to a later checkpoint.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The version.
    pub version: Version,
    /// Its hash in the chain.
    pub hash: Hash,
}

impl Replica {
    /// The version that a segment begins with.
    ///
    /// # Errors
    /// [`Corruption`] where the checkpoint is invalid.
    pub fn from_header(header: &SegmentHeader) -> Result<Replica, Corruption> {
        Ok(Replica { version: checkpoint(header)?, hash: header.hash })
    }

    /// Applies the next update; `None` where it was known.
    ///
    /// # Errors
    /// [`Corruption`] where it does not follow on this version or is invalid; nothing changes then.
    pub fn apply(&mut self, update: &Update) -> Result<Option<AppliedVersion>, Corruption> {
        if self.is_known(update)? {
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

    /// Whether an update holds nothing new; an error where it contradicts the version that this replica has.
    fn is_known(&self, update: &Update) -> Result<bool, Corruption> {
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

    /// The step to a state that is any number of changes ahead; indices of plans and volumes stay.
    fn advance_to(&self, header: &SegmentHeader) -> Result<AppliedVersion, Corruption> {
        let edits = self.version.configuration.diff(&checkpoint(header)?.configuration);
        let next = self.version.next(&edits);
        let (mut version, steps) = next.map_err(|invalid| invalid_change(header.version, &invalid))?;
        version.number = header.version;
        Ok((version, steps))
    }
}
