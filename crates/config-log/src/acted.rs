//! What was acted on last, written down in a folder of one's own: nothing before it is believed after a restart.

use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use umbertray_snapshot::{Disk, Storage};

use crate::chain::Hash;

const FILE: &str = "acted";
const FRESH: &str = "acted.new";

#[derive(Serialize, Deserialize)]
struct Acted {
    version: u64,
    hash: Hash,
}

/// The version that an earlier run had acted on. A file that is there and cannot be read is an error: without it an older
/// log would be believed.
pub fn read(folder: &Path) -> io::Result<Option<(u64, Hash)>> {
    match Disk::read_only(folder).read(FILE, 4096) {
        Ok(bytes) => {
            let acted: Acted = serde_json::from_slice(&bytes)?;
            Ok(Some((acted.version, acted.hash)))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Danger: what was acted on is written down, for sure, before it is acted on. Otherwise a crash in between would let the next
/// run take an older log, with a limit that was lowered since.
pub fn write(folder: &Path, version: u64, hash: Hash) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    Disk::read_only(folder).put(FRESH, FILE, &serde_json::to_vec(&Acted { version, hash })?)
}
