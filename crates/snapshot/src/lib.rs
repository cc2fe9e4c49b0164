//! Saves a gateway's learned state across restarts, in versioned, checksummed files. A new file is put in
//! place only once it is complete, and an incomplete record at the end of a file is ignored.
//!
//! These modules are free of I/O and of clocks: [`stamp`] (the age of a saved state), [`selection`] (which
//! file of a folder is used), [`write_policy`] (when to append, begin a new file or back off) and [`delta`]
//! (the difference from the state on disk). These define the format: [`record`] (checksummed records),
//! [`mod@format`] (state files) and `previous_formats` (earlier versions). These access the disk: [`storage`]
//! (the required operations, and a folder on a real disk), [`sim`] (a simulated disk that crashes) and
//! [`folder`], which combines all of the above. `docs/state.md` specifies the format.

pub mod delta;
pub mod folder;
pub mod format;
mod previous_formats;
pub mod record;
pub mod selection;
pub mod sim;
pub mod stamp;
pub mod storage;
pub mod write_policy;

/// Re-exports of the decision functions and their types, for callers outside this package.
pub mod decide {
    pub use crate::selection::{FoundFile, LoadNote};
    pub use crate::stamp::{Age, Stamp, age};
    pub use crate::write_policy::{PROMISE_DURATION, SAVE_INTERVAL};
}

pub use folder::{LoadResult, SnapshotStore};
pub use format::{FileHeader, VERSION};
pub use selection::LoadNote;
pub use stamp::{Age, Stamp};
pub use storage::{Disk, Storage};

/// Why a state folder cannot be used. The gateway then starts without saved state and leaves the folder
/// untouched.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// Another process holds the folder's lock. Each gateway needs a separate folder.
    #[error("another process holds the lock of the folder")]
    Locked,
    /// A file in the folder belongs to another gateway. Configure a different folder.
    #[error("the folder belongs to another gateway (seed {found:#x}, this gateway has seed {expected:#x})")]
    Foreign {
        /// Seed of the gateway that wrote the file.
        found: u64,
        /// Seed of the gateway that opened the folder.
        expected: u64,
    },
    /// A file was written by a newer program. Run that program or configure a different folder.
    #[error("{file} has format version {version}, newer than {VERSION}; it is left unchanged")]
    Newer {
        /// Name of the file.
        file: String,
        /// Format version of the file.
        version: u16,
    },
    /// The file system failed.
    #[error("the folder cannot be read: {0}")]
    Unreadable(#[from] std::io::Error),
}
