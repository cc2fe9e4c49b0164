//! Inputs, effects and final responses of the [`Core`](crate::Core), and the ids that they use.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{OpId, Settings, StoreId};
use umbertray_http::client;

use crate::endpoint_list::EndpointList;
use crate::request::ClientRequest;

/// One request of one client connection. An id is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// One attempt of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The operation.
    pub op: OpId,
    /// Number of the operation's attempts before this one.
    pub attempt: u32,
}

/// How an attempt or a health check ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// A whole response was read.
    Response(client::Response),
    /// The request was not written whole: it was not executed.
    NeverWritten,
    /// The request was written whole, then the connection broke, ended, or carried bytes that cannot be read: it may have
    /// been executed.
    Broken,
    /// The request was written whole and no response came in time: it may have been executed, or may yet be.
    TimedOut,
    /// Cancelled after the request was written whole: it may have been executed.
    Cancelled,
    /// Cancelled by this gateway before the request was written whole: it was not executed, which says nothing of the
    /// store.
    Withheld,
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptOutcome::Response(client::Response { head, body }) => {
                write!(formatter, "answered {} with {} bytes", head.status, body.len())
            }
            AttemptOutcome::NeverWritten => write!(formatter, "never written"),
            AttemptOutcome::Broken => write!(formatter, "broken"),
            AttemptOutcome::TimedOut => write!(formatter, "timed out"),
            AttemptOutcome::Cancelled => write!(formatter, "cancelled"),
            AttemptOutcome::Withheld => write!(formatter, "withheld"),
        }
    }
}

/// Something that happened. Times count from the Unix epoch on the gateway's clock.
#[derive(Debug)]
pub enum Input {
    /// A client's request was read whole and checked.
    Request {
        /// Who waits for the response.
        client: ClientId,
        /// The operation.
        request: ClientRequest,
        /// When the first byte of the request was read: the client's time counts from here.
        started_at: Duration,
    },
    /// The client has closed its connection: nobody waits for the response.
    ClientDisconnected(ClientId),
    /// An attempt ended.
    AttemptFinished {
        /// Which attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// When it ended.
        finished_at: Duration,
    },
    /// A health check ended.
    HealthChecked {
        /// The store that was checked.
        store: StoreId,
        /// How the check ended.
        outcome: AttemptOutcome,
    },
    /// Discovery sent the whole endpoint list or changes to it.
    EndpointList(EndpointList),
    /// A call for the endpoint list failed, or the watch broke.
    EndpointListFailed,
    /// New settings, from now on.
    SettingsChanged(Settings),
    /// The gateway shuts down: each operation must have its final response by this time.
    ShuttingDown(Duration),
    /// The time returned by [`Core::next_deadline`](crate::Core::next_deadline) has come.
    TimerExpired,
}

/// The final response to an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The store executed it; its body is forwarded.
    Succeeded {
        /// Content type of the body, if the store named one.
        content_type: Option<Bytes>,
        /// The store's body.
        body: Bytes,
    },
    /// Not executed, or harmless to repeat: the client may retry.
    Rejected {
        /// When a retry is worthwhile.
        retry_after: Duration,
    },
    /// It may or may not have been executed.
    Failed,
}

impl fmt::Display for FinalResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FinalResponse::Succeeded { body, .. } => write!(formatter, "succeeded with {} bytes", body.len()),
            FinalResponse::Rejected { retry_after } => write!(formatter, "rejected for {retry_after:?}"),
            FinalResponse::Failed => write!(formatter, "failed"),
        }
    }
}

/// Something that the caller must do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send the final response to a client.
    Respond {
        /// The client.
        client: ClientId,
        /// Its response.
        response: FinalResponse,
    },
    /// Start an attempt now; [`Core::start_attempt`](crate::Core::start_attempt) returns its bytes once a connection is up.
    StartAttempt {
        /// Which attempt.
        attempt: AttemptId,
        /// The store to send it to.
        store: StoreId,
        /// Where the store listens.
        address: SocketAddr,
        /// When the attempt times out.
        deadline: Duration,
    },
    /// Cancel an attempt, written whole or not.
    Cancel {
        /// Which attempt.
        attempt: AttemptId,
    },
    /// Cancel an attempt unless it has been written whole.
    CancelUnlessWritten {
        /// Which attempt.
        attempt: AttemptId,
    },
    /// Call the store for its load report.
    CheckHealth {
        /// The store.
        store: StoreId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Close idle connections to an address: no store in use listens there any more.
    CloseIdleConnections {
        /// The address.
        address: SocketAddr,
    },
    /// Open a watch on the endpoint list.
    WatchEndpoints,
    /// Fetch the whole endpoint list.
    FetchEndpoints,
    /// Log a line.
    Log(String),
    /// The scheduler cannot run, and why.
    Fatal(String),
}
