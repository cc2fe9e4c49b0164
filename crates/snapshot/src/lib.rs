//! What survives a restart: what a gateway learned, in files that are versioned, checksummed and never half written.
//!
//! `decide` holds what is believed, when to write a new file and when to try again, `change` what is written again, both
//! free of I/O; `format` the bytes, `older` those of earlier versions;
//! `layer` the few things asked of a disk, with a real one and, in `sim`, one that crashes; `folder` puts them together.
//! docs/state.md is the operators' page and the format's.

pub mod change;
pub mod decide;
pub mod folder;
pub mod format;
pub mod layer;
mod older;
pub mod sim;

pub use decide::{Age, LoadNote, Stamp};
pub use folder::{LoadResult, SnapshotStore};
pub use format::{FileHeader, VERSION};
pub use layer::{Disk, Storage};

/// Why a folder cannot be used. The gateway starts without it.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    #[error("another process works in the folder")]
    Locked,
    #[error("the folder is that of another gateway ({found:#x}, this one is {ours:#x})")]
    Foreign { found: u64, ours: u64 },
    #[error("{file} is of format version {version}, newer than {VERSION}: it is left alone")]
    Newer { file: String, version: u16 },
    #[error("the folder cannot be read: {0}")]
    Unreadable(#[from] std::io::Error),
}
