//! Routing of requests to stores, as a state machine without I/O, clock or randomness: inputs and outputs are
//! plain data.
//!
//! [`Core`] hosts one scheduler. It splits each request at extent boundaries into fragments, looks up the
//! location of each fragment, passes it to the scheduler as an operation, sends the scheduler's attempts to
//! the stores, reports their results back to the scheduler, and delivers one final reply for each request.
//! Scheduling decisions are made by the scheduler alone. The decisions that routing makes itself are in
//! separate modules: until when an attempt may take effect (`fence`), what is cached of the extent map
//! (`locations`), whether an operation may resume after its range has moved (`stale_epoch`), and how the
//! results of fragments combine (`reply`).

mod core;
mod extent_range;
mod fence;
mod fragment;
mod locations;
mod reply;
mod restore;
pub mod settings;
pub mod snapshot_records;
mod stale_epoch;
mod store_membership;
mod timers;

use std::any::Any;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::store::{DataRange, FromStore, OperationKind, ToStore};

pub use self::core::Core;
pub use reply::FinalResult;
pub use settings::{Settings, SettingsChange};
pub use snapshot_records::Snapshot;
pub use umbertray::interface::StoreId;

/// A client's session at this gateway. Ids are not reused within a run of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Identifies a request by its session and the client's cookie, which is unique among the session's open
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub SessionId, pub u64);

/// Keeps a request's buffers reserved. The buffers are released when the last clone is dropped, so every
/// holder of request data keeps a clone.
pub type BufferGuard = Arc<dyn Any + Send + Sync>;

/// A client's request to a volume.
#[derive(Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of the volume in the settings.
    pub volume: usize,
    /// The kind of operation.
    pub kind: OperationKind,
    /// Offset in the volume, bytes; the whole range lies within the volume.
    pub offset: u64,
    /// Bytes.
    pub length: u32,
    /// Whether the effect must be on stable storage before the reply (FUA).
    pub durable: bool,
    /// A write's data.
    pub data: Bytes,
    /// When the request's first byte was read; the operation timeout counts from here.
    pub started_at: Duration,
    /// Keeps the request's buffers reserved.
    pub buffer_guard: BufferGuard,
}

/// An input of the core: an event from a client, a store, a service or the caller.
pub enum Input {
    /// A client's request was read.
    Request(Request),
    /// The client's session has ended; no replies are needed for its open requests.
    SessionClosed(SessionId),
    /// A connection to a store was established, and the store has identified itself.
    StoreConnected {
        /// The store, as given in [`Output::ConnectStore`].
        store: StoreId,
        /// The lasting id that the store reported.
        lasting_id: u64,
        /// The shard that the store reported.
        shard: u32,
        /// The store's clock, microseconds.
        clock: u64,
    },
    /// Connecting to a store failed; nothing was sent.
    StoreUnreachable {
        /// The store.
        store: StoreId,
    },
    /// An established connection broke; attempts that were sent on it may have been executed.
    StoreDisconnected {
        /// The store.
        store: StoreId,
    },
    /// A message from a store.
    FromStore {
        /// The store.
        store: StoreId,
        /// The message.
        message: FromStore,
        /// When it was received. The time that the message then waits in this gateway does not count as the
        /// store's latency.
        received_at: Duration,
    },
    /// A message from the list service, or from the coordinator about the extent map.
    FromList(FromList),
    /// The connection to the list service broke or could not be established.
    ListDisconnected,
    /// The connection to the coordinator broke or could not be established. Only for deployments where the
    /// coordinator serves the extent map.
    CoordinatorDisconnected,
    /// New settings. A large change may be split into several inputs, each of which carries the settings that
    /// apply once all parts are applied.
    SettingsChanged {
        /// The settings from now on. Indices of plans and volumes do not change.
        settings: Arc<Settings>,
        /// What changed.
        changes: Vec<SettingsChange>,
    },
    /// Request for a snapshot, which is returned by [`Output::SaveSnapshot`].
    TakeSnapshot {
        /// How long the tokens reserved by the snapshot stay reserved.
        promise_duration: Duration,
    },
    /// The snapshot of an earlier run. Given at most once, as the first input.
    Restore {
        /// The snapshot.
        snapshot: Snapshot,
        /// Age of the snapshot, if known.
        age: Option<Duration>,
    },
    /// The time of the latest [`Output::SetTimer`] has passed.
    TimerExpired,
}

/// A part of a request's reply.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyPart {
    /// Read data. Parts of a reply never overlap.
    Data {
        /// Bytes from the volume's start.
        offset: u64,
        /// The data.
        data: Bytes,
    },
    /// A range of a read that is all zeros.
    Hole {
        /// Bytes from the volume's start.
        offset: u64,
        /// Bytes.
        length: u32,
    },
    /// The reply to a status request: consecutive ranges that cover the request's full range.
    DataRanges(Vec<DataRange>),
    /// The final result, always the last part of a reply.
    Final(FinalResult),
}

/// The state machine that a gateway's event loop drives: [`Core`], or a stand-in used as a baseline in
/// measurements.
pub trait RequestHandler: Send + 'static {
    /// Processes the inputs that occurred up to `now` and returns the outputs, to be carried out in order.
    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output>;

    /// Number of requests that have no final reply yet.
    fn open_requests(&self) -> usize;
}

/// An action that the caller must carry out.
pub enum Output {
    /// Send a part of a reply.
    Reply {
        /// The request.
        id: RequestId,
        /// The part.
        part: ReplyPart,
        /// To be kept until the part is sent.
        buffer_guard: BufferGuard,
    },
    /// Connect to a store; [`Input::StoreConnected`] or [`Input::StoreUnreachable`] follows.
    ConnectStore {
        /// The store.
        store: StoreId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Close the connection to a store, if there is one. No input follows.
    DisconnectStore {
        /// The store.
        store: StoreId,
    },
    /// Send a message to a store.
    ToStore {
        /// The store.
        store: StoreId,
        /// The message.
        message: ToStore,
        /// To be kept until the message is sent.
        buffer_guard: Option<BufferGuard>,
    },
    /// Send a message to the list service, or to the coordinator if it serves the extent map and the message
    /// concerns the map.
    ToList(ToList),
    /// Save a snapshot.
    SaveSnapshot(Snapshot),
    /// Report [`Input::TimerExpired`] at this time. Replaces the time of an earlier `SetTimer`.
    SetTimer(Duration),
    /// Log a line.
    Log(String),
    /// The scheduler cannot continue; the text is the reason.
    Fatal(String),
}
