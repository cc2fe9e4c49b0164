//! The coordinator's orders to stores for the move of a range. Orders are idempotent: the coordinator may
//! repeat them. docs/store-protocol.md says what a store must do; docs/moves.md says why.

mod codec;

use bytes::Bytes;

/// Size of a page, bytes; an extent's content is sent in pages.
pub const PAGE_BYTES: usize = 4096;

/// A range of a volume's extents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct ExtentRange {
    /// The volume's id.
    pub volume: u64,
    /// The first extent.
    pub start: u64,
    /// The first extent after the range.
    pub end: u64,
}

impl ExtentRange {
    /// Whether an extent of a volume is in the range.
    pub fn contains(&self, volume: u64, extent: u64) -> bool {
        self.volume == volume && (self.start..self.end).contains(&extent)
    }

    /// Whether the ranges have an extent in common.
    pub fn overlaps(&self, other: &ExtentRange) -> bool {
        self.volume == other.volume && self.start < other.end && other.start < self.end
    }
}

/// The content of an extent at a point in time; pages that are not listed are holes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExtentContent {
    /// The extent's index in the volume.
    pub extent: u64,
    /// The extent's change count. The coordinator returns it to the source once the copy has arrived at the
    /// target; if the extent has changed since, the source has it copied again.
    pub change_count: u64,
    /// Page numbers and contents, [`PAGE_BYTES`] bytes each.
    pub pages: Vec<(u32, Bytes)>,
}

/// An op that a store has executed: if it is repeated, it succeeds without a second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExecutedOp {
    /// The run of the gateway that sent the op.
    pub gateway_run: u64,
    /// The op's id.
    pub op: u64,
    /// The extent that the op changed.
    pub extent: u64,
    /// How much longer the op must be remembered, microseconds.
    pub remaining_micros: u64,
}

/// An order of the coordinator to the source or the target store of a move.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// To the target: discard the data of the range, and accept content for it; execute no op of the range
    /// before [`Order::Activate`].
    Prepare {
        /// The range.
        range: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the source: mark all extents of the range as to be copied, and from now on each extent that is
    /// written.
    TrackChanges {
        /// The range.
        range: ExtentRange,
    },
    /// To the source: return the next extent to copy.
    FetchNext {
        /// The range.
        range: ExtentRange,
        /// The extent whose copy has arrived at the target, and the change count of that copy.
        copied: Option<(u64, u64)>,
    },
    /// To the target: store the content of an extent. Hazard: once the target has responded
    /// [`OrderReply::Done`], the source treats the extent as copied. The content must therefore survive a
    /// crash of the target, or the target must respond [`OrderReply::WrongState`] for the range from then on.
    Put {
        /// The range.
        range: ExtentRange,
        /// The epoch.
        epoch: u64,
        /// The content.
        content: ExtentContent,
    },
    /// To the source, permanently: execute no op of the range with a lower epoch; respond with the number of
    /// extents that are left to copy.
    Fence {
        /// The range.
        range: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the source, after the fence: return the executed ops that may be repeated.
    FetchExecuted {
        /// The range.
        range: ExtentRange,
    },
    /// To the target: remember ops that were executed at the source.
    RecordExecuted {
        /// The range.
        range: ExtentRange,
        /// The epoch.
        epoch: u64,
        /// The executed ops.
        executed_ops: Vec<ExecutedOp>,
    },
    /// To the target: make everything that it has received for the range durable before the response.
    Sync {
        /// The range.
        range: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the target: serve the range at this epoch from now on.
    Activate {
        /// The range.
        range: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the source: the move is rolled back; serve the range again, at a higher epoch than the one that was
    /// intended for the target.
    Reactivate {
        /// The range.
        range: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To either: delete the data of the range. At a target this is a partial copy; at a source it is the
    /// original data after the target serves the range.
    Clear {
        /// The range.
        range: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the source: stop tracking changes of the range; no extent is to be copied any more.
    StopTracking {
        /// The range.
        range: ExtentRange,
    },
}

/// A store's reply to an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderReply {
    /// The order is executed, now or by an earlier copy of it.
    Done,
    /// Number of extents left to copy.
    ExtentsLeft(u64),
    /// The next extent to copy; `None` if none is left at present.
    NextExtent(Option<ExtentContent>),
    /// The reply to [`Order::FetchExecuted`].
    ExecutedOps(Vec<ExecutedOp>),
    /// The order is rejected: its term is older than this one, the latest that the store has received.
    StaleTerm(u64),
    /// The order is rejected: the range is not in the state that the order requires.
    WrongState,
}

impl Order {
    /// The order's name in logs and records.
    pub fn name(&self) -> &'static str {
        match self {
            Order::Prepare { .. } => "prepare",
            Order::TrackChanges { .. } => "follow",
            Order::FetchNext { .. } => "fetch",
            Order::Put { .. } => "put",
            Order::Fence { .. } => "raise",
            Order::FetchExecuted { .. } => "marks",
            Order::RecordExecuted { .. } => "mark",
            Order::Sync { .. } => "seal",
            Order::Activate { .. } => "open",
            Order::Reactivate { .. } => "reopen",
            Order::Clear { .. } => "clear",
            Order::StopTracking { .. } => "leave",
        }
    }

    /// The range that the order is about.
    pub fn range(&self) -> &ExtentRange {
        match self {
            Order::Prepare { range, .. }
            | Order::TrackChanges { range }
            | Order::FetchNext { range, .. }
            | Order::Put { range, .. }
            | Order::Fence { range, .. }
            | Order::FetchExecuted { range }
            | Order::RecordExecuted { range, .. }
            | Order::Sync { range, .. }
            | Order::Activate { range, .. }
            | Order::Reactivate { range, .. }
            | Order::Clear { range, .. }
            | Order::StopTracking { range } => range,
        }
    }
}
