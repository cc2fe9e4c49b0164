//! Reads the log of a folder: its changes, any of its versions, and the verification of the complete log.

use std::io;

use umbertray_snapshot::Storage;

use super::LogError;
use crate::chain;
use crate::model::Configuration;
use crate::problem::InvalidConfiguration;
use crate::segment::{CHANGES, CommittedChange, Corruption, Hash, SegmentHeader, file_name};
use crate::version::{SettingsChange, Version};

/// A completely read segment of the change log.
pub type Segment = chain::Segment<CommittedChange>;

/// Lists the segments of a folder in ascending order, each by the version that it begins after.
///
/// # Errors
/// Those of the file system.
pub fn segments(storage: &dyn Storage) -> io::Result<Vec<u64>> {
    chain::segments(storage, &CHANGES)
}

/// Reads the segment that begins after version `start`.
///
/// # Errors
/// [`LogError`] if the segment is damaged or cannot be read.
pub fn read_segment(storage: &dyn Storage, start: u64) -> Result<Segment, LogError> {
    chain::read_segment(storage, &CHANGES, start)
}

/// The version of a segment's checkpoint.
///
/// # Errors
/// [`Corruption::InvalidChange`] if the checkpoint is invalid.
pub fn checkpoint(header: &SegmentHeader) -> Result<Version, Corruption> {
    let Some(configuration) = Configuration::from_bytes(&header.checkpoint) else {
        let reason = "its checkpoint cannot be decoded".into();
        return Err(Corruption::InvalidChange { version: header.version, reason });
    };
    Version::from_configuration(header.version, &configuration)
        .map_err(|invalid| invalid_change(header.version, &invalid))
}

/// Applies a committed change to the version before it.
///
/// # Errors
/// [`Corruption::InvalidChange`] if the change is not valid for this version.
pub fn replay(
    version: &Version,
    committed: &CommittedChange,
) -> Result<(Version, Vec<SettingsChange>), Corruption> {
    let next = version.next(&committed.change.edits);
    next.map_err(|invalid| invalid_change(committed.version, &invalid))
}

pub(crate) fn invalid_change(version: u64, invalid: &InvalidConfiguration) -> Corruption {
    Corruption::InvalidChange { version, reason: invalid.join("; ") }
}

/// Replays the changes of a segment up to the version `last`.
pub(super) fn replay_segment(
    header: &SegmentHeader,
    changes: &[CommittedChange],
    last: u64,
) -> Result<Version, Corruption> {
    let mut version = checkpoint(header)?;
    for committed in changes.iter().take_while(|committed| committed.version <= last) {
        version = replay(&version, committed)?.0;
    }
    Ok(version)
}

/// The last version of a segment and its hash.
struct SegmentEnd {
    version: u64,
    hash: Hash,
}

/// Reads the changes after a version, in order and without a gap.
///
/// # Errors
/// [`LogError`] if a segment is damaged or missing, or cannot be read.
pub fn history(storage: &dyn Storage, after: u64) -> Result<Vec<CommittedChange>, LogError> {
    let starts = segments(storage)?;
    let first = starts.partition_point(|start| *start <= after).saturating_sub(1);
    let mut changes: Vec<CommittedChange> = Vec::new();
    let mut previous: Option<SegmentEnd> = None;
    for start in &starts[first..] {
        let segment = read_segment(storage, *start)?;
        if let Some(previous) = &previous {
            check_continuity(previous, &segment.header)
                .map_err(|reason| LogError::Broken { file: file_name(*start), reason })?;
            // The next segment may begin before the end of this one, because a crash left this end uncertain.
            changes.retain(|committed| committed.version <= *start);
        }
        previous = Some(SegmentEnd { version: segment.reader.version, hash: segment.reader.hash });
        changes.extend(segment.entries);
    }
    changes.retain(|committed| committed.version > after);
    Ok(changes)
}

fn check_continuity(previous: &SegmentEnd, next: &SegmentHeader) -> Result<(), Corruption> {
    if previous.version < next.version {
        return Err(Corruption::Missing { from: previous.version + 1, to: next.version });
    }
    if previous.version == next.version && previous.hash != next.hash {
        return Err(Corruption::BrokenChain(next.version));
    }
    Ok(())
}

/// Rebuilds any version from the nearest checkpoint before it.
///
/// # Errors
/// [`LogError`] if the version is not in the log, or the log is damaged or cannot be read.
pub fn version(storage: &dyn Storage, number: u64) -> Result<Version, LogError> {
    let starts = segments(storage)?;
    let Some(start) = starts.into_iter().rev().find(|start| *start <= number) else {
        let reason = Corruption::Missing { from: 0, to: number };
        return Err(LogError::Broken { file: file_name(0), reason });
    };
    let segment = read_segment(storage, start)?;
    let broken = |reason| LogError::Broken { file: file_name(start), reason };
    let version = replay_segment(&segment.header, &segment.entries, number).map_err(broken)?;
    if version.number < number {
        return Err(broken(Corruption::Missing { from: version.number + 1, to: number }));
    }
    Ok(version)
}

/// Rebuilds every version from the oldest segment on and compares it with every checkpoint, byte for byte.
/// Returns the newest version.
///
/// # Errors
/// [`LogError`] if the log is damaged or cannot be read.
pub fn verify(storage: &dyn Storage) -> Result<u64, LogError> {
    let starts = segments(storage)?;
    let Some((oldest, later)) = starts.split_first() else { return Ok(0) };
    let segment = read_segment(storage, *oldest)?;
    let mut version = checkpoint(&segment.header)
        .map_err(|reason| LogError::Broken { file: file_name(*oldest), reason })?;
    let changes = history(storage, *oldest)?;
    let mut changes = changes.iter();
    for start in later {
        replay_up_to(*start, &mut version, &mut changes)?;
        verify_checkpoint(storage, *start, &version)?;
    }
    replay_up_to(u64::MAX, &mut version, &mut changes)?;
    Ok(version.number)
}

fn replay_up_to<'a>(
    last: u64,
    version: &mut Version,
    changes: &mut impl Iterator<Item = &'a CommittedChange>,
) -> Result<(), LogError> {
    while version.number < last {
        let Some(committed) = changes.next() else { break };
        let next = replay(version, committed)
            .map_err(|reason| LogError::Broken { file: "the chain".into(), reason })?;
        *version = next.0;
    }
    Ok(())
}

fn verify_checkpoint(storage: &dyn Storage, start: u64, rebuilt: &Version) -> Result<(), LogError> {
    let segment = read_segment(storage, start)?;
    if segment.header.checkpoint == rebuilt.configuration.to_bytes() {
        return Ok(());
    }
    let reason = "its checkpoint differs from the state rebuilt from the changes before it".into();
    let reason = Corruption::InvalidChange { version: start, reason };
    Err(LogError::Broken { file: file_name(start), reason })
}
