//! Errors for which a gateway cannot start or cannot continue.

use std::io;
use std::time::Duration;

use umbertray_config_log::chain::Corruption;
use umbertray_control_plane::relay::ConfigError;

/// Why a gateway cannot start or cannot continue. Where the operator can act on it, the text says how.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The configuration of the relays to follow is rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The recorded version that an earlier run applied cannot be read.
    #[error("cannot read the applied version in the state folder: {0}")]
    AppliedVersion(io::Error),
    /// The relays did not agree on a version in time, and the gateway has no own copy of the log.
    #[error(
        "no version was confirmed by {quorum} of the relays {relays} within {timeout:?}, \
         and there is no copy of the log in a state folder; \
         check that the relays run and can reach the writer's folder, then start again"
    )]
    NoQuorum {
        /// Number of relays that must agree.
        quorum: usize,
        /// The relays that were contacted, by name and address.
        relays: String,
        /// How long the gateway waited for them.
        timeout: Duration,
    },
    /// A version received from the relays has a format that this program does not know.
    #[error(
        "version {version} received from the relays cannot be read by this program: {corruption}; \
         run a release at least as new as the log's writer"
    )]
    Unreadable {
        /// The version.
        version: u64,
        /// Why it cannot be read.
        corruption: Corruption,
    },
    /// The core cannot continue; the text is the core's reason.
    #[error("{0}")]
    Core(String),
    /// The event loop panicked, or its runtime was shut down.
    #[error("the event loop ended: {0}")]
    EventLoopEnded(#[from] tokio::task::JoinError),
}
