//! Why a connection to discovery failed.

use std::io;

use umbertray_http::Malformed;
use umbertray_http_api::endpoint_list::EndpointListError;

use crate::backoff::FailureKind;

/// Why an attempt to fetch or watch the endpoint list failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// No connection came up.
    #[error("not reached: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("lost: {0}")]
    ConnectionLost(io::Error),
    /// The connection was closed, or the response ended.
    #[error("ended")]
    Ended,
    /// Nothing came in time.
    #[error("silent")]
    Silent,
    /// A response of another status than 200.
    #[error("answered {0}")]
    Status(u16),
    /// Bytes that are no HTTP.
    #[error(transparent)]
    Http(#[from] Malformed),
    /// A body that is no endpoint list.
    #[error(transparent)]
    Malformed(#[from] EndpointListError),
    /// A list older than the one that is known.
    #[error("version {received} came after {known}")]
    OlderVersion { known: u64, received: u64 },
}

impl WatchError {
    /// The kind of the failure, by which the next attempt waits.
    pub(super) fn failure_kind(&self, is_polled: bool) -> FailureKind {
        match self {
            WatchError::Silent => FailureKind::TimedOut,
            WatchError::Connect(_) | WatchError::ConnectionLost(_) | WatchError::Ended if !is_polled => {
                FailureKind::ClosedLocally
            }
            _ => FailureKind::Immediate,
        }
    }

    /// Whether the whole list has to be fetched anew: what was received cannot be relied on.
    pub(super) fn invalidates_list(&self) -> bool {
        matches!(self, WatchError::Malformed(_) | WatchError::OlderVersion { .. } | WatchError::Status(_))
    }
}
