//! Measures what a long change log costs: the time to open it, and the memory of versions that are kept.

use std::io;
use std::path::Path;
use std::time::Instant;

use serde_json::json;
use umbertray_config_log::log::SEGMENT_BYTES;
use umbertray_config_log::{Follower, Log, Version};
use umbertray_snapshot::sim::SimulatedDisk;
use umbertray_snapshot::{Disk, Storage};

use super::VOLUMES;
use super::stream::{commit_edit, new_log, stream_edit};
use crate::measure::error::MeasureError;
use crate::measure::memory::resident_bytes;
use crate::output;

/// Versions kept at once. With far fewer, they would fit into memory that was freed before, which would hide
/// their cost.
const VERSIONS_HELD: u64 = 100_000;

/// Measures how long a writer and a gateway take to open a log of this many changes.
pub(super) fn measure_opening(folder: &Path, changes: u64) -> Result<(), MeasureError> {
    let mut log = new_log(Box::new(UnsyncedDisk(Disk::open(folder)?)), VOLUMES)?;
    let commits_started = Instant::now();
    for number in 0..changes {
        commit_edit(&mut log, format!("s{number}"), stream_edit(number))?;
    }
    let commits_duration = commits_started.elapsed();
    let newest = log.head().number;
    drop(log);
    let follow_started = Instant::now();
    let followed_to = Follower::open(&Disk::read_only(folder), None)?.replica.version.number;
    let follow_duration = follow_started.elapsed();
    let open_started = Instant::now();
    drop(Log::open(Box::new(Disk::open(folder)?), SEGMENT_BYTES)?);
    let open_duration = open_started.elapsed();
    output::print_json(&json!({
        "changes": changes, "volumes": VOLUMES, "newest": newest, "followed_to": followed_to,
        "us_a_commit_without_sync": commits_duration.as_micros() as f64 / changes.max(1) as f64,
        "s_to_follow": follow_duration.as_secs_f64(), "s_to_open_to_write": open_duration.as_secs_f64(),
    }));
    Ok(())
}

/// Measures the memory that each further version takes while all earlier ones are kept.
pub(super) fn measure_versions_held() -> Result<(), MeasureError> {
    let log = new_log(Box::new(SimulatedDisk::default()), VOLUMES)?;
    let mut versions: Vec<Version> = vec![log.head().clone()];
    let before = resident_bytes(std::process::id())?;
    for number in 0..VERSIONS_HELD {
        let last = &versions[versions.len() - 1];
        let (next, _) = last.next(&[stream_edit(number)]).map_err(MeasureError::Version)?;
        versions.push(next);
    }
    let grown = resident_bytes(std::process::id())?.saturating_sub(before);
    let bytes_a_version = grown / versions.len() as u64;
    output::print_json(&json!({ "versions_held": versions.len(), "bytes_a_version": bytes_a_version }));
    Ok(())
}

/// A disk whose syncs do nothing. Long logs are written faster with it, and need not survive a crash here.
struct UnsyncedDisk(Disk);

impl Storage for UnsyncedDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        self.0.names()
    }

    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        self.0.read(name, max_bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.write(name, bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.append(name, bytes)
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }
}
