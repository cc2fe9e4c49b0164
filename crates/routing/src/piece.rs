//! The records of what is open: requests, their pieces, and what is out for them.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::StoreId;
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::store::{DataRange, OperationKind};

use crate::split::Cut;
use crate::verdict::PieceEnd;
use crate::{BufferGuard, FinalResult, RequestId};

pub(crate) struct OpenRequest {
    pub volume: usize,
    pub work: OperationKind,
    pub op_type: usize,
    pub durable: bool,
    /// When the client's own time is up.
    pub ends: Duration,
    pub hold: BufferGuard,
    pub open: usize,
    /// Its pieces, open or not.
    pub ops: Vec<u32>,
    pub pieces: Vec<PieceEnd>,
    /// A status reply's stretches, by offset in the volume.
    pub stretches: BTreeMap<u64, Vec<DataRange>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its place is being asked for; the module does not know of it.
    Placing,
    /// The module has it.
    Deciding,
    /// The final answer is known; a write's may wait for its fences.
    Answered(FinalResult),
    /// Answered, or nobody waits; only what is out keeps the record.
    Over,
}

/// The part of a request that lies in one extent: one op to the module.
pub(crate) struct Piece {
    pub request: RequestId,
    /// What stores know the op by; never used twice in a run, as the module's small ids are.
    pub mark: u64,
    pub volume: usize,
    pub work: OperationKind,
    pub cut: Cut,
    pub op_type: usize,
    /// Where it lies as far as this gateway knows; nothing for a new object.
    pub place: Option<Location>,
    pub data: Bytes,
    pub durable: bool,
    pub ends: Duration,
    pub stage: Stage,
    /// Bytes of a read that the client has been given.
    pub delivered: u32,
    /// The numbers of its dispatches, in the module's order.
    pub dispatches: Vec<u64>,
    /// What may still take effect: dispatches without a known outcome, and until when.
    pub unsettled: Vec<(u64, Duration)>,
    pub out: u32,
    /// When the first dispatch was sent that may have run, if any has.
    pub ran_at: Option<Duration>,
}

impl Piece {
    /// Until when something of it may still take effect at a store.
    pub fn may_run_until(&self) -> Option<Duration> {
        self.unsettled.iter().map(|(_, ends)| *ends).max()
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// The extent is being claimed for the store's shard; nothing is sent.
    Claiming,
    /// The link is being made; nothing is sent.
    Linking,
    Out,
}

/// A dispatch that the module waits for.
pub(crate) struct Sent {
    pub op: u32,
    pub index: u32,
    pub store: StoreId,
    pub at: Duration,
    pub ends: Duration,
    pub way: Way,
}
