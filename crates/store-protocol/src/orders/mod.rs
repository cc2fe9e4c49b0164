//! The coordinator's orders to stores for the move of a range. An order may be repeated, and its repeat changes nothing more.
//! docs/store-protocol.md says what a store must do; docs/moves.md says why.

mod codec;

use bytes::Bytes;

/// Bytes of a page; an extent's content is sent in pages.
pub const PAGE: usize = 4096;

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

/// The content of an extent at a moment; pages that are not named are holes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExtentContent {
    /// The extent's index in the volume.
    pub extent: u64,
    /// Counts the extent's changes: returned once the copy is at the target, so that what was written meanwhile is copied
    /// again.
    pub change_count: u64,
    /// Pages with their numbers, [`PAGE`] bytes each.
    pub pages: Vec<(u32, Bytes)>,
}

/// An op that was executed: a repeat of it succeeds without a second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExecutedOp {
    /// The run of the gateway that sent it.
    pub gateway_run: u64,
    /// The op's id.
    pub op: u64,
    /// The extent that it changed.
    pub extent: u64,
    /// Microseconds for which it is still to be remembered.
    pub remembered_for: u64,
}

/// An order of the coordinator to the source or the target of a move.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// To the target: what it holds of the range is void; it accepts content, and no op until it is activated.
    Prepare {
        /// The range.
        span: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the source: all of the range is to be copied, and again what is written from now on.
    TrackChanges {
        /// The range.
        span: ExtentRange,
    },
    /// To the source: the next extent to copy is wanted.
    FetchNext {
        /// The range.
        span: ExtentRange,
        /// The extent, and its count of changes, whose copy has arrived at the target.
        copied: Option<(u64, u64)>,
    },
    /// To the target: the content of an extent. Hazard: the source counts what is answered as done as copied, so it must be
    /// there after a crash too, or the range be answered as in the wrong state from then on.
    Put {
        /// The range.
        span: ExtentRange,
        /// The epoch.
        epoch: u64,
        /// The content.
        content: ExtentContent,
    },
    /// To the source, for good: it serves no op of the range below this epoch, and answers how much is left to copy.
    Fence {
        /// The range.
        span: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the source, once fenced: the executed ops that may be repeated are wanted.
    FetchExecuted {
        /// The range.
        span: ExtentRange,
    },
    /// To the target: ops that were executed at the source.
    RecordExecuted {
        /// The range.
        span: ExtentRange,
        /// The epoch.
        epoch: u64,
        /// The ops.
        marks: Vec<ExecutedOp>,
    },
    /// To the target: all it was given must be safe on the medium before it answers.
    Sync {
        /// The range.
        span: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the target: it serves the range at this epoch from now on.
    Activate {
        /// The range.
        span: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the source: the move is taken back; it serves the range again, at a higher epoch than was meant for the target.
    Reactivate {
        /// The range.
        span: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To either: the range's data is deleted, a target's partial copy or a source's data once the target serves.
    Clear {
        /// The range.
        span: ExtentRange,
        /// The epoch.
        epoch: u64,
    },
    /// To the source: nothing of the range is to be copied any more.
    StopTracking {
        /// The range.
        span: ExtentRange,
    },
}

/// A store's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderReply {
    /// Done, now or before.
    Done,
    /// Extents left to copy.
    ExtentsLeft(u64),
    /// The next extent to copy, if one is left for now.
    NextExtent(Option<ExtentContent>),
    /// The answer to [`Order::FetchExecuted`].
    ExecutedOps(Vec<ExecutedOp>),
    /// The order is of an earlier term than this one, which the store has heard of.
    StaleTerm(u64),
    /// The range is not in the state that the order needs.
    WrongState,
}

impl Order {
    /// Its name in logs and records.
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

    /// The range that it concerns.
    pub fn span(&self) -> &ExtentRange {
        match self {
            Order::Prepare { span, .. }
            | Order::TrackChanges { span }
            | Order::FetchNext { span, .. }
            | Order::Put { span, .. }
            | Order::Fence { span, .. }
            | Order::FetchExecuted { span }
            | Order::RecordExecuted { span, .. }
            | Order::Sync { span, .. }
            | Order::Activate { span, .. }
            | Order::Reactivate { span, .. }
            | Order::Clear { span, .. }
            | Order::StopTracking { span } => span,
        }
    }
}
