//! Stores, in a process's own folder, the version that the process applied last, so that it applies no older
//! version after a restart.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use umbertray_snapshot::{Disk, Storage};

use crate::chain::Hash;

const FILE: &str = "acted";
const TEMPORARY_FILE: &str = "acted.new";

/// Limit on the bytes read from the file. The file is always smaller.
const MAX_FILE_BYTES: usize = 4096;

#[derive(Serialize, Deserialize)]
struct AppliedPosition {
    version: u64,
    hash: Hash,
}

/// Reads the version that an earlier run applied last, and its hash; `None` if there is no such version.
///
/// # Errors
/// An error if the file exists but cannot be read. Ignoring it would permit an older log to be applied.
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

/// Writes the version that is being applied. It is synced when this returns.
///
/// If the process crashes before this returns, the next run may apply an older log that has replaced the
/// newest one in the meantime. Even so, the caller must not wait for this write before it applies the
/// version: a lowered limit would remain unenforced until the disk has finished.
///
/// # Errors
/// Those of the file system.
pub fn write(folder: &Path, version: u64, hash: Hash) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let bytes = serde_json::to_vec(&AppliedPosition { version, hash })?;
    Disk::read_only(folder).put(TEMPORARY_FILE, FILE, &bytes)
}
