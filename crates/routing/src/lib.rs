//! Routing of requests to stores: plain data in, plain data out; no I/O, no clock, no randomness.
//!
//! [`Core`] hosts one scheduler. It cuts a request at the borders of extents into fragments, locates each, hands each to the
//! scheduler as an operation, carries the scheduler's attempts to the stores and their results back, and gives every request
//! its one final reply. It decides nothing that the scheduler decides; what it has to decide itself (fences, locations, what
//! resumes where a range has moved, when a reply may be sent) stands in modules of its own: `fence`, `locations`,
//! `stale_epoch`, `reply`.

mod core;
mod extent_span;
mod fence;
mod fragment;
mod locations;
mod reply;
mod restore;
pub mod saved;
pub mod settings;
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
pub use saved::Snapshot;
pub use settings::{Settings, SettingsChange};
pub use umbertray::interface::StoreId;

/// A client's session at this gateway. An id is never used twice in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A request: its session and the client's cookie, unique among the session's open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub SessionId, pub u64);

/// Held for as long as anything of a request is: its drop tells the owner of the buffers that they are free.
pub type BufferGuard = Arc<dyn Any + Send + Sync>;

/// A client's request to a volume.
#[derive(Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of the volume in the settings.
    pub volume: usize,
    /// What it asks for.
    pub kind: OperationKind,
    /// Bytes from the volume's start; the range lies within the volume.
    pub offset: u64,
    /// Bytes.
    pub length: u32,
    /// Whether it must be on stable storage before the reply.
    pub durable: bool,
    /// A write's data.
    pub data: Bytes,
    /// When its first byte was read: the client's time counts from here.
    pub started_at: Duration,
    /// Its buffers.
    pub hold: BufferGuard,
}

/// Something that happened.
pub enum Input {
    /// A client's request was read.
    Request(Request),
    /// The client is gone: nobody waits for its replies.
    SessionClosed(SessionId),
    /// A connection to a store is up, and the store has identified itself.
    StoreConnected {
        /// The store that was to be connected.
        store: StoreId,
        /// The lasting id that it has told.
        lasting: u64,
        /// The shard that it has told.
        shard: u32,
        /// Its clock, microseconds.
        clock: u64,
    },
    /// No connection to a store could be made; nothing was sent.
    StoreUnreachable {
        /// The store.
        store: StoreId,
    },
    /// A connection broke; what was sent on it may have run.
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
        /// When it was received: time that it then waited in this gateway is not the store's latency.
        at: Duration,
    },
    /// A message from the list and directory service.
    FromList(FromList),
    /// The connection to the list service broke or could not be made.
    ListDisconnected,
    /// The same of the coordinator, where it has the map of extents.
    CoordinatorDisconnected,
    /// New settings. A long change may come in parts, each with the settings that hold after all of it.
    SettingsChanged {
        /// The settings from now on; indices of plans and volumes stay.
        settings: Arc<Settings>,
        /// What changed.
        steps: Vec<SettingsChange>,
    },
    /// Take a snapshot, returned by [`Output::SaveSnapshot`].
    TakeSnapshot {
        /// How long the tokens that it reserves hold.
        promise_duration: Duration,
    },
    /// The snapshot of an earlier run. Comes once, first.
    Restore {
        /// The snapshot.
        snapshot: Snapshot,
        /// How old it is, if that is known.
        age: Option<Duration>,
    },
    /// The time of the last [`Output::SetTimer`] has come.
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
    /// The reply to a status request: its whole range, in order.
    DataRanges(Vec<DataRange>),
    /// The final result; nothing follows it.
    Final(FinalResult),
}

/// What a gateway's event loop hosts: [`Core`], or a stand-in that it is measured against.
pub trait RequestHandler: Send + 'static {
    /// Takes everything that happened up to `now` and returns what to do about it, in order.
    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output>;

    /// Number of requests without their final reply.
    fn open_requests(&self) -> usize;
}

/// Something that the caller must do.
pub enum Output {
    /// Send a part of a reply.
    Reply {
        /// The request.
        id: RequestId,
        /// The part.
        part: ReplyPart,
        /// To be held until the part is sent.
        hold: BufferGuard,
    },
    /// Connect to a store; [`Input::StoreConnected`] or [`Input::StoreUnreachable`] follows.
    ConnectStore {
        /// The store.
        store: StoreId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Close the connection to a store, if one is up. No input follows.
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
        /// To be held until the message is sent.
        hold: Option<BufferGuard>,
    },
    /// Send a message to the list and directory service.
    ToList(ToList),
    /// Save a snapshot.
    SaveSnapshot(Snapshot),
    /// Report [`Input::TimerExpired`] at this time, in place of the time of an earlier request.
    SetTimer(Duration),
    /// Log a line.
    Log(String),
    /// The scheduler cannot run, and why.
    Fatal(String),
}
