//! What survives a restart: a gateway's learned state in versioned, checksummed files that are never half written.
//!
//! Free of I/O and of clocks: [`stamp`] (how old a saved state is), [`selection`] (which file of a folder is used),
//! [`write_policy`] (when to append, begin a new file or back off) and [`delta`] (what differs from the state on
//! disk). The bytes: [`record`] (checksummed records), [`mod@format`] (state files) and `previous_formats` (earlier
//! versions). The disk: [`storage`] (the operations needed, on a real folder), [`sim`] (a simulated disk that
//! crashes) and [`folder`], which puts all of these together. `docs/state.md` specifies the format.

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

/// The decisions under one path, for callers outside this package.
pub mod decide {
    pub use crate::selection::{FoundFile, LoadNote};
    pub use crate::stamp::{Age, Stamp, age};
    pub use crate::write_policy::{EVERY, PROMISED};
}

pub use folder::{LoadResult, SnapshotStore};
pub use format::{FileHeader, VERSION};
pub use selection::LoadNote;
pub use stamp::{Age, Stamp};
pub use storage::{Disk, Storage};

/// Why a state folder cannot be used. The gateway starts without saved state and leaves the folder untouched.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// Another process holds the folder's lock; each gateway needs a folder of its own.
    #[error("another process works in the folder")]
    Locked,
    /// A file in the folder belongs to another gateway; configure a different folder.
    #[error("the folder is that of another gateway ({found:#x}, this one is {ours:#x})")]
    Foreign {
        /// Seed of the gateway that wrote the file.
        found: u64,
        /// Seed of the gateway that opened the folder.
        ours: u64,
    },
    /// A file was written by a newer program; run that program or configure a different folder.
    #[error("{file} is of format version {version}, newer than {VERSION}: it is left alone")]
    Newer {
        /// Name of the file.
        file: String,
        /// Format version that it states.
        version: u16,
    },
    /// The file system failed.
    #[error("the folder cannot be read: {0}")]
    Unreadable(#[from] std::io::Error),
}
