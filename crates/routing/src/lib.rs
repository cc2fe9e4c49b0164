//! From requests to ops and back, free of I/O, clock and chance: plain data in, plain data out.
//!
//! [`Core`] hosts one decision module. It splits a request at extent borders into pieces, finds where each lies,
//! hands each to the module as an op, carries the module's actions to the stores and the stores' answers back, and
//! gives every request its one final answer. It decides nothing that the module decides; what it must decide itself
//! (fences, places, what goes on where a range has moved, when an answer may go out) stands in modules of its own: `fence`,
//! `places`, `stale`, `verdict`.

mod core;
mod fence;
mod members;
mod piece;
mod places;
mod recall;
pub mod saved;
pub mod settings;
mod split;
mod stale;
mod timers;
mod verdict;

use std::any::Any;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::store::{DataRange, FromStore, OperationKind, ToStore};

pub use self::core::Core;
pub use saved::Snapshot;
pub use settings::{Settings, SettingsChange};
pub use umbertray::interface::StoreId;
pub use verdict::FinalResult;

/// A client's session at this gateway; never used twice in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A request: its session and the client's own mark, unique among the session's open ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub SessionId, pub u64);

/// Kept for as long as anything of a request is: whoever counts the bytes held learns of the end by its drop.
pub type BufferGuard = Arc<dyn Any + Send + Sync>;

/// What a client asks of a volume.
#[derive(Clone)]
pub struct Request {
    pub id: RequestId,
    /// Index of the volume in the settings.
    pub volume: usize,
    pub kind: OperationKind,
    /// Bytes from the volume's start; the range lies within the volume.
    pub offset: u64,
    pub length: u32,
    /// Safe on the stores' medium before the answer.
    pub durable: bool,
    /// A write's data.
    pub data: Bytes,
    /// When its first byte was read: the client's time counts from here.
    pub started_at: Duration,
    pub hold: BufferGuard,
}

/// What happened.
pub enum Input {
    Request(Request),
    /// The client is gone: nobody waits for its answers.
    SessionClosed(SessionId),
    /// A connection to the store stands, and the store has said who it is.
    StoreConnected {
        store: StoreId,
        lasting: u64,
        shard: u32,
        clock: u64,
    },
    /// No connection to the store could be made; nothing was sent.
    StoreUnreachable {
        store: StoreId,
    },
    /// The connection broke; what was out on it may have run.
    StoreDisconnected {
        store: StoreId,
    },
    /// What a store said, and when it came: what then waited in this gateway is not the store's doing.
    FromStore {
        store: StoreId,
        message: FromStore,
        at: Duration,
    },
    FromList(FromList),
    /// The connection to the list broke or could not be made.
    ListDisconnected,
    /// The same of the coordinator's, where another service than the list has the map.
    CoordinatorDisconnected,
    /// These settings hold from now on, and this is what changed; the places of what was there stay. What a long change
    /// does may come in parts, each with the settings that hold after all of it.
    SettingsChanged {
        settings: Arc<Settings>,
        steps: Vec<SettingsChange>,
    },
    /// What is known is to be saved; the answer is [`Output::SaveSnapshot`]. Its floors hold for so long.
    TakeSnapshot {
        promise_duration: Duration,
    },
    /// What an earlier run saved, and how long ago, if that can be told. Said once, before all else.
    Restore {
        snapshot: Snapshot,
        age: Option<Duration>,
    },
    /// The time asked for by the last [`Output::SetTimer`] has come.
    TimerExpired,
}

/// A part of a request's reply.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyPart {
    /// Read data; offsets are bytes from the volume's start. Parts of a reply never overlap.
    Data {
        offset: u64,
        data: Bytes,
    },
    Hole {
        offset: u64,
        length: u32,
    },
    /// The whole range asked about, in order.
    DataRanges(Vec<DataRange>),
    /// The one final answer; nothing follows it.
    Final(FinalResult),
}

/// What a gateway's loop hosts: [`Core`], or something that it is measured against.
pub trait RequestHandler: Send + 'static {
    /// Takes what happened at `now` and returns what is to be done, in order.
    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output>;

    /// Requests without their final answer.
    fn open_requests(&self) -> usize;
}

/// What is to be done, in order.
pub enum Output {
    Reply {
        id: RequestId,
        part: ReplyPart,
        hold: BufferGuard,
    },
    /// Connect to a store; say `Linked` or `NotLinked`.
    ConnectStore {
        store: StoreId,
        address: SocketAddr,
    },
    /// Close the connection to a store, if one stands; nothing need be said.
    DisconnectStore {
        store: StoreId,
    },
    ToStore {
        store: StoreId,
        message: ToStore,
        hold: Option<BufferGuard>,
    },
    ToList(ToList),
    SaveSnapshot(Snapshot),
    /// Say `Woken` at this time; replaces what was asked for before.
    SetTimer(Duration),
    Log(String),
    /// The module cannot run; the text says why.
    Fatal(String),
}
