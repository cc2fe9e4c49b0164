//! Commands that read the change log; they take no lock and work while another process writes.

use std::path::Path as FsPath;
use std::time::UNIX_EPOCH;

use umbertray_config_log::log::{self, CommittedChange, LogError};
use umbertray_config_log::{Path, Version};
use umbertray_snapshot::Disk;

use super::error::ConfigError;
use super::{LogArguments, print};

pub(super) fn verify(log: &LogArguments) -> Result<(), ConfigError> {
    newest_version(&log.changes)?;
    let versions = log::verify(&Disk::read_only(&log.changes))?;
    print::verified(log, versions);
    Ok(())
}

pub(super) fn list(log: &LogArguments, after: u64) -> Result<(), ConfigError> {
    newest_version(&log.changes)?;
    for committed in log::history(&Disk::read_only(&log.changes), after)? {
        print::committed_change(log, &committed);
    }
    Ok(())
}

/// Prints a version, given by its number or a time; the newest one if neither is given.
pub(super) fn show(log: &LogArguments, at: Option<&str>) -> Result<(), ConfigError> {
    let number = at.map(|at| version_number(&log.changes, at)).transpose()?;
    print::version(log, &read_version(&log.changes, number)?);
    Ok(())
}

pub(super) fn diff(log: &LogArguments, from: u64, to: u64) -> Result<(), ConfigError> {
    let old = read_version(&log.changes, Some(from))?;
    let new = read_version(&log.changes, Some(to))?;
    for edit in old.configuration.diff(&new.configuration) {
        print::edit(log, &edit, &old.configuration, &old);
    }
    Ok(())
}

pub(super) fn blame(log: &LogArguments, path: &Path) -> Result<(), ConfigError> {
    newest_version(&log.changes)?;
    let history = log::history(&Disk::read_only(&log.changes), 0)?;
    let affects_path =
        |committed: &&CommittedChange| committed.change.edits.iter().any(|edit| edit.path().overlaps(path));
    let last = history.iter().rev().find(affects_path);
    let last = last.ok_or_else(|| ConfigError::NeverChanged(path.clone()))?;
    print::committed_change(log, last);
    Ok(())
}

fn newest_version(folder: &FsPath) -> Result<u64, ConfigError> {
    let disk = Disk::read_only(folder);
    let segments = log::segments(&disk).map_err(LogError::from)?;
    let last = segments.last().ok_or_else(|| ConfigError::NoLog { folder: folder.into() })?;
    Ok(log::read_segment(&disk, *last)?.reader.synced_version)
}

fn read_version(folder: &FsPath, number: Option<u64>) -> Result<Version, ConfigError> {
    let newest = newest_version(folder)?;
    let version = number.unwrap_or(newest);
    if version == 0 || version > newest {
        return Err(ConfigError::UnknownVersion { version, newest });
    }
    Ok(log::version(&Disk::read_only(folder), version)?)
}

/// Parses a version number, or finds the last version committed by a time, according to its author's clock.
fn version_number(folder: &FsPath, at: &str) -> Result<u64, ConfigError> {
    if let Ok(number) = at.parse() {
        return Ok(number);
    }
    let time = humantime::parse_rfc3339_weak(at)
        .map_err(|source| ConfigError::InvalidTime { text: at.into(), source })?;
    let history = log::history(&Disk::read_only(folder), 0)?;
    let before = history.iter().filter(|committed| UNIX_EPOCH + committed.change.at() <= time);
    let last = before.map(|committed| committed.version).max();
    last.ok_or_else(|| ConfigError::NoVersionBefore { text: at.into() })
}
