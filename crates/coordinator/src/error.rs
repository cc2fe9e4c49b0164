//! Errors that keep a coordinator from starting or that stop it.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use umbertray_config_log::chain::ChainError;

/// Why a coordinator failed to start or stopped; each message says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum CoordinatorError {
    /// Another process has locked the folder.
    #[error(
        "{}: another coordinator has locked this folder; stop it, or take over if it is stalled",
        folder.display()
    )]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// Another process has locked the folder, and its lease has not expired.
    #[error(
        "{}: the coordinator of this folder renewed its lease {since_renewal:?} ago; \
         take over once {lease_duration:?} have passed since its last renewal",
        folder.display()
    )]
    LeaseNotExpired {
        /// The folder.
        folder: PathBuf,
        /// Time since the lease was renewed.
        since_renewal: Duration,
        /// Time after a renewal at which the lease expires.
        lease_duration: Duration,
    },
    /// The log is damaged, or cannot be read or written.
    #[error(
        "{}: the log cannot be read or written: {error}; restore the folder from a copy, \
         and never start with an empty folder while stores hold ranges that were moved",
        folder.display()
    )]
    Log {
        /// The folder.
        folder: PathBuf,
        /// The error of the log.
        error: ChainError,
    },
    /// A newer program wrote a record of the log.
    #[error(
        "{}: this program cannot read version {version} of the log; run the program version that wrote it",
        folder.display()
    )]
    UnreadableRecord {
        /// The folder.
        folder: PathBuf,
        /// The log version of the record.
        version: u64,
    },
    /// A file of the folder cannot be read or written.
    #[error("{}: {error}; check the disk and the folder, then start again", folder.display())]
    Disk {
        /// The folder.
        folder: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The listening socket cannot be opened.
    #[error(
        "cannot listen at {address}: {error}; configure another address, or stop the process that uses it"
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// A store has received an order of a later run.
    #[error(
        "a coordinator with the later term {later_term} is running; this one has term {own_term} and stops, \
         because stores reject its orders"
    )]
    Superseded {
        /// The term of this run.
        own_term: u64,
        /// The term of the later run.
        later_term: u64,
    },
    /// The lease has expired, or another process holds it.
    #[error(
        "the coordinator stops because its lease expired or was taken over; \
         start it again if no other one is running"
    )]
    LeaseLost,
    /// The event loop panicked or was aborted.
    #[error("the coordinator's event loop failed: {0}; start the coordinator again, and report the failure")]
    EventLoopFailed(tokio::task::JoinError),
}

impl CoordinatorError {
    /// A function that turns I/O errors of the folder's files into [`CoordinatorError::Disk`].
    pub(crate) fn disk(folder: &Path) -> impl Fn(io::Error) -> CoordinatorError {
        let folder = folder.to_path_buf();
        move |error| CoordinatorError::Disk { folder: folder.clone(), error }
    }
}
