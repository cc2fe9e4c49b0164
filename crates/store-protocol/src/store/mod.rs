//! Messages between a gateway and a store. docs/store-protocol.md describes the frames; docs/fences.md says
//! what the fences are for.

mod from_store;
mod to_store;

use bytes::Bytes;

pub use from_store::FromStore;
pub use to_store::ToStore;

/// The kind of operation that an attempt executes on an extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Returns the range's data.
    Read,
    /// Writes the attempt's data to the range.
    Write,
    /// Makes the range read as zeros.
    Zero,
    /// Releases the range: the store need not keep its data, and it reads as zeros.
    Trim,
    /// Makes durable, before the response, all of the volume's writes that this store has reported as
    /// succeeded.
    Flush,
    /// Returns which parts of the range hold data.
    Status,
}

impl OperationKind {
    /// All kinds, in the order of their codes on the wire.
    pub(super) const ALL: [OperationKind; 6] = [
        OperationKind::Read,
        OperationKind::Write,
        OperationKind::Zero,
        OperationKind::Trim,
        OperationKind::Flush,
        OperationKind::Status,
    ];

    /// Whether the operation changes the extent.
    pub fn modifies_extent(self) -> bool {
        matches!(self, OperationKind::Write | OperationKind::Zero | OperationKind::Trim)
    }
}

/// One attempt to execute an op at a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The attempt's number: it increases within a gateway's run, and is never reused in the run.
    pub number: u64,
    /// The op's id: all attempts of an op have the same id, and no other op of the gateway's run has it. A
    /// store uses it to recognize a repeat of an op that it has executed.
    pub op: u64,
    /// The volume's id.
    pub volume: u64,
    /// The extent's index in the volume.
    pub extent: u64,
    /// The number of moves of the extent's range that the gateway knows of; 0 for a flush, which has no
    /// range.
    pub epoch: u64,
    /// The kind of operation.
    pub kind: OperationKind,
    /// Offset of the range in the extent, bytes.
    pub offset: u32,
    /// Length of the range, bytes.
    pub length: u32,
    /// The op's cost, units.
    pub units: f64,
    /// The time fence: a time on the store's clock, microseconds, after which the store neither begins nor
    /// applies the attempt.
    pub not_after: u64,
    /// The ordering fence: numbers of earlier attempts of this gateway's run that must have no effect from
    /// now on.
    pub supersedes: Vec<u64>,
    /// Whether the effect must be durable before the response.
    pub durable: bool,
    /// The data of a write, `length` bytes; otherwise empty.
    pub data: Bytes,
}

/// The outcome of an attempt, as the store reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultCode {
    /// The attempt succeeded; the effect of a durable op or a flush is durable.
    Succeeded,
    /// The attempt failed; it may have been executed.
    Failed,
    /// The attempt was rejected before execution: the queue is full or the store is draining.
    Rejected,
    /// The attempt was fenced: its time fence has passed or a later attempt supersedes it. It was not
    /// executed and never will be.
    Fenced,
    /// The store stopped working on the attempt; it may have been executed.
    Cancelled,
    /// This store does not hold the extent. The attempt was not executed.
    ExtentNotHeld,
    /// The range has moved; [`AttemptResult::epoch`] has the newer epoch. The attempt was not executed and
    /// never will be.
    StaleEpoch,
}

impl ResultCode {
    /// All codes, in the order of their numbers on the wire.
    pub(super) const ALL: [ResultCode; 7] = [
        ResultCode::Succeeded,
        ResultCode::Failed,
        ResultCode::Rejected,
        ResultCode::Fenced,
        ResultCode::Cancelled,
        ResultCode::ExtentNotHeld,
        ResultCode::StaleEpoch,
    ];
}

/// A part of an extent that either holds data, or holds none and reads as zeros.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataRange {
    /// Length of the part, bytes.
    pub length: u32,
    /// Whether the part holds data.
    pub has_data: bool,
}

/// A store's response to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The attempt's number.
    pub number: u64,
    /// The outcome; `Err` holds a code that this version does not know.
    pub code: Result<ResultCode, u8>,
    /// The store's clock, microseconds.
    pub clock: u64,
    /// For [`ResultCode::StaleEpoch`]: the map has, or will have, this epoch or a higher one for the range.
    pub epoch: u64,
    /// The volume's service through all gateways in a completed period, as a ratio to its plan's rate.
    pub plan_rate_used: Option<f64>,
    /// Units served for the volume through other gateways since the store's last response to this gateway.
    pub units_elsewhere: f64,
    /// The load report: the store's load values by name.
    pub load_report: Vec<(String, f64)>,
    /// For [`OperationKind::Status`]: the parts of the requested range, in order.
    pub data_ranges: Vec<DataRange>,
}
