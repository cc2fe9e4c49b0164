//! The version acted on last, kept in a folder of one's own: nothing older is taken after a restart.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use umbertray_snapshot::{Disk, Storage};

use crate::chain::Hash;

const FILE: &str = "acted";
const TEMPORARY_FILE: &str = "acted.new";

/// More than the file ever has, bytes.
const MAX_FILE_BYTES: usize = 4096;

#[derive(Serialize, Deserialize)]
struct AppliedPosition {
    version: u64,
    hash: Hash,
}

/// The version that an earlier run acted on, and its hash; `None` where there was none.
///
/// # Errors
/// Where the file exists and cannot be read: without it an older log would be taken.
pub fn read(folder: &Path) -> io::Result<Option<(u64, Hash)>> {
    match Disk::read_only(folder).read(FILE, MAX_FILE_BYTES) {
        Ok(bytes) => {
            let position: AppliedPosition = serde_json::from_slice(&bytes)?;
            Ok(Some((position.version, position.hash)))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Writes the version that is acted on, synced when this returns.
///
/// Until then a crash lets the next run take an older log, if one was put in place of the newest meanwhile. It must not be
/// waited for before acting: a lowered limit would be open for as long as the disk takes.
///
/// # Errors
/// Those of the file system.
pub fn write(folder: &Path, version: u64, hash: Hash) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let bytes = serde_json::to_vec(&AppliedPosition { version, hash })?;
    Disk::read_only(folder).put(TEMPORARY_FILE, FILE, &bytes)
}
