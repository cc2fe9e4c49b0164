//! Why a coordinator cannot start or go on.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use umbertray_config_log::chain::ChainError;

/// Why a coordinator cannot start or go on; each text says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum CoordinatorError {
    /// Another process has locked the folder.
    #[error("{}: another coordinator works in this folder; stop it, or take over from one that stands still", folder.display())]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// Another process has locked the folder, and its lease is not over.
    #[error("{}: the coordinator there was at work {ago:?} ago; it may be taken over from once that is {wait:?}", folder.display())]
    Leased {
        /// The folder.
        folder: PathBuf,
        /// How long ago its lease was renewed.
        ago: Duration,
        /// How long ago that has to be.
        wait: Duration,
    },
    /// The log is damaged, or cannot be read or written.
    #[error("{}: the log cannot be used: {error}; restore the folder from a copy, and never start with an empty one while stores hold ranges that were moved", folder.display())]
    Log {
        /// The folder.
        folder: PathBuf,
        /// What is wrong with it.
        error: ChainError,
    },
    /// A record of the log is of a later program.
    #[error("{}: version {version} of the log cannot be read by this program; run the one that wrote it", folder.display())]
    UnreadableRecord {
        /// The folder.
        folder: PathBuf,
        /// The version of the record.
        version: u64,
    },
    /// A file of the folder cannot be read or written.
    #[error("{}: {error}; see to the disk, then start again", folder.display())]
    Disk {
        /// The folder.
        folder: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The listening socket cannot be opened.
    #[error("listening at {address}: {error}; name another address, or stop who has it")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// A store has received an order of a later run.
    #[error(
        "a coordinator of term {theirs} is at work, this one has term {ours}: it ends, as it may give no orders any more"
    )]
    Superseded {
        /// The term of this run.
        ours: u64,
        /// The term of the later run.
        theirs: u64,
    },
    /// The lease is over, or another process has it.
    #[error(
        "its lease ran out while it stood still: it ends, since another may have taken over; start it again if none has"
    )]
    TakenOver,
    /// The event loop panicked.
    #[error("the coordinator's loop ended: {0}; start it again, and tell of it")]
    Ended(tokio::task::JoinError),
}

impl CoordinatorError {
    /// Makes errors of a folder's files.
    pub(crate) fn disk(folder: &Path) -> impl Fn(io::Error) -> CoordinatorError {
        let folder = folder.to_path_buf();
        move |error| CoordinatorError::Disk { folder: folder.clone(), error }
    }
}
