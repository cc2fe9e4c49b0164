//! Errors of a connection to discovery.

use std::io;

use umbertray_http::Malformed;
use umbertray_http_api::endpoint_list::EndpointListError;

use crate::backoff::FailureKind;

/// Why an attempt to fetch or watch the endpoint list failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection could not be established.
    #[error("connect failed: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("connection lost: {0}")]
    ConnectionLost(io::Error),
    /// The connection was closed, or the response ended.
    #[error("connection closed")]
    Ended,
    /// Nothing was received in time.
    #[error("silent")]
    Silent,
    /// The response has a status other than 200.
    #[error("response status {0}")]
    Status(u16),
    /// The bytes are not valid HTTP.
    #[error(transparent)]
    Http(#[from] Malformed),
    /// The body is not an endpoint list.
    #[error(transparent)]
    Malformed(#[from] EndpointListError),
    /// The list received is older than the known one.
    #[error("received version {received}, older than the known version {known}")]
    OlderVersion { known: u64, received: u64 },
}

impl WatchError {
    /// The kind of the failure, which determines the backoff before the next attempt.
    pub(super) fn failure_kind(&self) -> FailureKind {
        match self {
            WatchError::Silent => FailureKind::TimedOut,
            WatchError::Connect(_) | WatchError::ConnectionLost(_) | WatchError::Ended => FailureKind::Closed,
            WatchError::Status(_)
            | WatchError::Http(_)
            | WatchError::Malformed(_)
            | WatchError::OlderVersion { .. } => FailureKind::Unusable,
        }
    }

    /// Whether the complete list has to be fetched again because the data received is not reliable.
    pub(super) fn invalidates_list(&self) -> bool {
        matches!(self, WatchError::Malformed(_) | WatchError::OlderVersion { .. } | WatchError::Status(_))
    }
}
