//! Why a relay cannot start or go on.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use umbertray_control_plane::relay::ConfigError;

/// Why a relay cannot start or go on; each text says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The configuration is rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listening socket cannot be opened.
    #[error("{address}: cannot listen: {error}; see who has the address, and start again")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The position that was committed cannot be read.
    #[error("{}: what was carried cannot be read: {error}; mend the file `acted` there, or remove it, if it may carry an older log", folder.display())]
    Folder {
        /// The relay's own folder.
        folder: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The event loop panicked.
    #[error("the relay's loop ended: {0}; start it again, and tell of it")]
    Ended(tokio::task::JoinError),
}
