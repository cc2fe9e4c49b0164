//! Why a gateway cannot start or go on.

use std::io;
use std::time::Duration;

use umbertray_config_log::chain::Corruption;
use umbertray_control_plane::relay::ConfigError;

/// Why a gateway cannot start or go on; each text says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The configuration of the relays that it follows is rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The version that an earlier run applied cannot be read.
    #[error("the version acted on: {0}")]
    AppliedVersion(io::Error),
    /// The relays did not agree on a version in time, and there is no own copy of the log.
    #[error(
        "no version that {quorum} of the relays {relays} agree on was heard within {timeout:?}, and none is kept in a state folder: see whether they run and reach the writer's folder, and start again"
    )]
    NoQuorum {
        /// Number of relays that must agree.
        quorum: usize,
        /// The relays that were asked, by name and address.
        relays: String,
        /// How long they were waited for.
        timeout: Duration,
    },
    /// A version of the relays is of a format that this program does not know.
    #[error(
        "the relays' version {version} cannot be read by this program: {corruption}; run one as new as the writer of changes"
    )]
    Unreadable {
        /// The version.
        version: u64,
        /// What is wrong with it.
        corruption: Corruption,
    },
    /// The core found that it cannot go on; the text is its own.
    #[error("{0}")]
    Core(String),
    /// The event loop panicked, or its runtime was shut down.
    #[error("the event loop ended: {0}")]
    EventLoopEnded(#[from] tokio::task::JoinError),
}
