//! Inputs, effects and final responses of the [`Core`](crate::Core), and the ids that they use.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::{OpId, Settings, StoreId};
use umbertray_http::client;

use crate::endpoint_list::EndpointList;
use crate::request::RequestError;

/// Identifies one request of one client connection. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Identifies one attempt of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The operation.
    pub op: OpId,
    /// Number of earlier attempts of the operation.
    pub attempt: u32,
}

/// How an attempt or a health check ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// A complete response was received.
    Response(client::Response),
    /// The request was not written completely, so it was not executed.
    NeverWritten,
    /// The request was written completely, then the connection broke, was closed, or carried malformed bytes:
    /// the request may have been executed.
    Broken,
    /// The request was written completely and no response arrived in time: it may have been executed, or may
    /// still be.
    TimedOut,
    /// The attempt was cancelled after the request was written completely: it may have been executed.
    Cancelled,
    /// This gateway cancelled or denied the attempt before the request was written completely: it was not
    /// executed, and the outcome says nothing about the store.
    Withheld,
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptOutcome::Response(client::Response { head, body }) => {
                write!(formatter, "response {} with {} bytes", head.status, body.len())
            }
            AttemptOutcome::NeverWritten => write!(formatter, "never written"),
            AttemptOutcome::Broken => write!(formatter, "broken"),
            AttemptOutcome::TimedOut => write!(formatter, "timed out"),
            AttemptOutcome::Cancelled => write!(formatter, "cancelled"),
            AttemptOutcome::Withheld => write!(formatter, "withheld"),
        }
    }
}

/// What the caller has to know of an admitted request.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedRequest {
    /// The request id, in hexadecimal.
    pub id: Box<str>,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<u32>,
    /// How long the client waits, counted from the first byte of the request.
    pub time_left: Duration,
}

/// A request that is not admitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AdmissionError {
    /// The request is not a valid operation, or its request id is in use.
    #[error(transparent)]
    Invalid(#[from] RequestError),
    /// The request ids that must not be forgotten yet need all the memory for them.
    #[error("too many request ids in use")]
    TooManyIds,
    /// The volumes that must not be forgotten yet need all the memory for them, and this one is new.
    #[error("too many volumes in use")]
    TooManyVolumes,
}

/// Maximum sizes of the tables that grow with what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Number of request ids in use.
    pub request_ids: usize,
    /// Number of volumes above which those that owe nothing are forgotten. Four times as many are known at
    /// most.
    pub volumes: usize,
}

/// An input of the core. Times are since the Unix epoch, on the gateway's clock.
#[derive(Debug)]
pub enum Input {
    /// A client's request was admitted by [`Core::admit`](crate::Core::admit).
    Request {
        /// The client that waits for the response.
        client: ClientId,
        /// When the first byte of the request was read. The client's waiting time counts from here.
        started_at: Duration,
    },
    /// The client closed its connection, so the response is not needed any more.
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
    /// Discovery sent the complete endpoint list, or changes to it.
    EndpointList(EndpointList),
    /// Fetching the endpoint list failed, or the watch broke.
    EndpointListFailed,
    /// New settings, which apply from now on.
    SettingsChanged(Settings),
    /// The gateway is shutting down: each operation must have its final response by this time.
    ShuttingDown(Duration),
    /// The time returned by [`Core::next_deadline`](crate::Core::next_deadline) has been reached.
    TimerExpired,
}

/// The final response to an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The store executed the operation; its response body is forwarded.
    Succeeded {
        /// Content type of the body, if the store sent one.
        content_type: Option<Bytes>,
        /// Body of the store's response.
        body: Bytes,
    },
    /// The operation was not executed, or may safely be repeated: the client may retry.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// The operation may or may not have been executed.
    Failed,
}

impl fmt::Display for FinalResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FinalResponse::Succeeded { body, .. } => write!(formatter, "succeeded with {} bytes", body.len()),
            FinalResponse::Rejected { retry_after } => {
                write!(formatter, "rejected, retry after {retry_after:?}")
            }
            FinalResponse::Failed => write!(formatter, "failed"),
        }
    }
}

/// An action for the caller to perform.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send the final response to a client.
    Respond {
        /// The client.
        client: ClientId,
        /// Its response.
        response: FinalResponse,
    },
    /// Start an attempt now. [`Core::start_attempt`](crate::Core::start_attempt) returns its bytes once a
    /// connection is established.
    StartAttempt {
        /// Which attempt.
        attempt: AttemptId,
        /// The store to send it to.
        store: StoreId,
        /// Address that the store listens on.
        address: SocketAddr,
        /// When the attempt times out.
        deadline: Duration,
    },
    /// Cancel an attempt, whether or not its request has been written completely.
    Cancel {
        /// Which attempt.
        attempt: AttemptId,
    },
    /// Cancel an attempt unless its request has been written completely.
    CancelUnlessWritten {
        /// Which attempt.
        attempt: AttemptId,
    },
    /// Request the load report of a store.
    CheckHealth {
        /// The store.
        store: StoreId,
        /// Address that the store listens on.
        address: SocketAddr,
    },
    /// Close the idle connections to an address, because no store in use listens there any more.
    CloseIdleConnections {
        /// The address.
        address: SocketAddr,
    },
    /// Open a watch on the endpoint list.
    WatchEndpoints,
    /// Fetch the complete endpoint list.
    FetchEndpoints,
    /// Log a message.
    Log(String),
    /// The scheduler cannot continue, for this reason.
    Fatal(String),
}
