//! Between a gateway and a store. docs/store-protocol.md has the frames; docs/fences.md says what the fences are for.

mod from_store;
mod to_store;

use bytes::Bytes;

pub use from_store::FromStore;
pub use to_store::ToStore;

/// What an attempt asks of an extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// The range's data.
    Read,
    /// The range holds the attempt's data from now on.
    Write,
    /// The range reads as zeros from now on.
    Zero,
    /// The range need not be kept; it reads as zeros.
    Trim,
    /// All of the volume's writes that this store has answered as succeeded are safe before it answers.
    Flush,
    /// Which parts of the range hold data.
    Status,
}

impl OperationKind {
    /// By their codes on the wire.
    pub(super) const ALL: [OperationKind; 6] = [
        OperationKind::Read,
        OperationKind::Write,
        OperationKind::Zero,
        OperationKind::Trim,
        OperationKind::Flush,
        OperationKind::Status,
    ];

    /// Whether it changes the extent.
    pub fn writes(self) -> bool {
        matches!(self, OperationKind::Write | OperationKind::Zero | OperationKind::Trim)
    }
}

/// One attempt to execute an op at a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Counts up within a gateway's run and is never used twice in it.
    pub number: u64,
    /// The op's id, the same in all its attempts and in no other op's of this gateway's run: by it a store recognizes a
    /// repeat of what it has executed.
    pub op: u64,
    /// The volume's id.
    pub volume: u64,
    /// The extent's index in the volume.
    pub extent: u64,
    /// How often the extent's range has moved, as far as the gateway knows. A flush, which is about no range, has 0.
    pub epoch: u64,
    /// What is asked.
    pub kind: OperationKind,
    /// Bytes within the extent.
    pub offset: u32,
    /// Bytes.
    pub length: u32,
    /// The op's cost, units.
    pub units: f64,
    /// The fence in time: on its own clock (microseconds) the store neither begins nor applies it after this.
    pub not_after: u64,
    /// The fence in order: earlier attempts of this gateway's run that must have no effect from now on.
    pub supersedes: Vec<u64>,
    /// Whether the effect must be safe on the medium before the answer.
    pub durable: bool,
    /// A write's data, `length` bytes.
    pub data: Bytes,
}

/// The outcome of an attempt, as the store tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultCode {
    /// Done, and for a durable op or a flush safe on the medium.
    Succeeded,
    /// It failed; it may have run.
    Failed,
    /// Rejected before execution: the queue is full or the store drains.
    Rejected,
    /// Fenced off: its time is up or a later attempt supersedes it. It has not run and will not.
    Fenced,
    /// No longer worked on; it may have run.
    Cancelled,
    /// This store does not hold the extent. It has not run.
    NotHere,
    /// The range has moved since, see the answer's epoch. It has not run and will not.
    StaleEpoch,
}

impl ResultCode {
    /// By their codes on the wire.
    pub(super) const ALL: [ResultCode; 7] = [
        ResultCode::Succeeded,
        ResultCode::Failed,
        ResultCode::Rejected,
        ResultCode::Fenced,
        ResultCode::Cancelled,
        ResultCode::NotHere,
        ResultCode::StaleEpoch,
    ];
}

/// A part of an extent that holds data, or holds none and reads as zeros.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataRange {
    /// Bytes.
    pub length: u32,
    /// Whether it holds data.
    pub has_data: bool,
}

/// A store's answer to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The attempt's number.
    pub number: u64,
    /// The outcome. A code that this version does not know is `Err`.
    pub code: Result<ResultCode, u8>,
    /// The store's clock, in microseconds.
    pub clock: u64,
    /// Of an attempt with a stale epoch: the map has, or will have, this epoch for the range, or a higher.
    pub epoch: u64,
    /// The volume's service everywhere in a finished period, as a ratio to its plan's rate.
    pub plan_rate_used: Option<f64>,
    /// Units served for the volume through other gateways since the last answer here.
    pub units_elsewhere: f64,
    /// The store's load, by name.
    pub load_report: Vec<(String, f64)>,
    /// For [`OperationKind::Status`]: the range asked about, in order.
    pub data_ranges: Vec<DataRange>,
}
