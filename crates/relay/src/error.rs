//! Errors that keep a relay from starting or that stop it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use umbertray_control_plane::relay::ConfigError;

/// Why a relay failed to start or stopped; each message says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The configuration is rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listening socket cannot be opened.
    #[error("{address}: cannot listen: {error}; stop the process that uses the address, then start again")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The committed position cannot be read.
    #[error(
        "{}: the committed position cannot be read: {error}; repair the file `acted` in this folder, \
         or remove it if the relay may serve an older log",
        folder.display()
    )]
    Folder {
        /// The relay's own folder.
        folder: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The event loop panicked or was aborted.
    #[error("the relay's event loop failed: {0}; start the relay again, and report the failure")]
    EventLoopFailed(tokio::task::JoinError),
}
