//! What a coordinator has a store do for a move of a range. Each order may come again, and its repeat changes nothing more.

use bytes::{BufMut, Bytes, BytesMut};

use crate::{Malformed, Reader};

/// Bytes of a page; an extent's content travels in pages.
pub const PAGE: usize = 4096;

/// A run of a volume's extents, from the first up to, but without, the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct ExtentRange {
    pub volume: u64,
    pub start: u64,
    pub end: u64,
}

impl ExtentRange {
    pub fn contains(&self, volume: u64, extent: u64) -> bool {
        self.volume == volume && (self.start..self.end).contains(&extent)
    }

    pub fn overlaps(&self, other: &ExtentRange) -> bool {
        self.volume == other.volume && self.start < other.end && other.start < self.end
    }
}

/// An extent as it stood at a moment; pages that are not named are holes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExtentContent {
    pub extent: u64,
    /// Counts the extent's changes: told back once it is at the target, so that what was written meanwhile is copied anew.
    pub change_count: u64,
    pub pages: Vec<(u32, Bytes)>,
}

/// An op that has run: a repeat of it is acked without a second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExecutedOp {
    pub gateway_run: u64,
    pub op: u64,
    pub extent: u64,
    /// Microseconds for which it is still to be kept.
    pub remembered_for: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// To the target: what it holds of the range is void; it takes content, and no op until it is opened.
    Prepare {
        span: ExtentRange,
        epoch: u64,
    },
    /// To the source: all of the range is to be copied, and what is written from now on again.
    TrackChanges {
        span: ExtentRange,
    },
    /// To the source: this copy has arrived; the next one.
    FetchNext {
        span: ExtentRange,
        copied: Option<(u64, u64)>,
    },
    /// Danger: what is answered as done must be there after a crash too, or the range be answered as unfit from then on: the
    /// source counts it as copied.
    Put {
        span: ExtentRange,
        epoch: u64,
        content: ExtentContent,
    },
    /// To the source, for good: it answers no op of the range any more, and says what is left to copy.
    Fence {
        span: ExtentRange,
        epoch: u64,
    },
    /// To the source, raised: what ran there and may be repeated.
    FetchExecuted {
        span: ExtentRange,
    },
    RecordExecuted {
        span: ExtentRange,
        epoch: u64,
        marks: Vec<ExecutedOp>,
    },
    /// To the target: all it was given is to be safe on the medium before it answers.
    Sync {
        span: ExtentRange,
        epoch: u64,
    },
    /// To the target: the range is served here at this epoch from now on.
    Activate {
        span: ExtentRange,
        epoch: u64,
    },
    /// To the source: the move is taken back, and the range served here again, at a higher epoch than was meant for the target.
    Reactivate {
        span: ExtentRange,
        epoch: u64,
    },
    /// The range is not to be here: a target's part-copy, or a source's data once the target serves.
    Clear {
        span: ExtentRange,
        epoch: u64,
    },
    /// To the source: nothing of the range is copied any more.
    StopTracking {
        span: ExtentRange,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderReply {
    Done,
    /// Extents left to copy.
    ExtentsLeft(u64),
    /// The next extent to copy; none is left for now.
    NextExtent(Option<ExtentContent>),
    ExecutedOps(Vec<ExecutedOp>),
    /// The order is of a term that is over; the store has heard of this one.
    StaleTerm(u64),
    /// What the store holds does not allow it: the range is not in the state that the order needs.
    WrongState,
}

fn put_span(out: &mut BytesMut, span: &ExtentRange) {
    [span.volume, span.start, span.end].into_iter().for_each(|number| out.put_u64(number));
}

fn span(fields: &mut Reader) -> Result<ExtentRange, Malformed> {
    let span = ExtentRange { volume: fields.u64()?, start: fields.u64()?, end: fields.u64()? };
    if span.start < span.end { Ok(span) } else { Err(fields.bad("range", span.end)) }
}

fn put_content(out: &mut BytesMut, content: &ExtentContent) {
    out.put_u64(content.extent);
    out.put_u64(content.change_count);
    out.put_u16(content.pages.len() as u16);
    for (page, bytes) in &content.pages {
        out.put_u32(*page);
        out.put_slice(bytes);
    }
}

fn content(fields: &mut Reader) -> Result<ExtentContent, Malformed> {
    let (extent, stamp) = (fields.u64()?, fields.u64()?);
    let pages = fields.list(|fields| Ok((fields.u32()?, fields.bytes(PAGE)?)))?;
    Ok(ExtentContent { extent, change_count: stamp, pages })
}

fn put_marks(out: &mut BytesMut, marks: &[ExecutedOp]) {
    out.put_u32(marks.len() as u32);
    for mark in marks {
        [mark.gateway_run, mark.op, mark.extent, mark.remembered_for]
            .into_iter()
            .for_each(|number| out.put_u64(number));
    }
}

fn marks(fields: &mut Reader) -> Result<Vec<ExecutedOp>, Malformed> {
    let count = fields.u32()?;
    // Danger: the count is the peer's word; room is taken for what is there.
    let read = |fields: &mut Reader| {
        Ok(ExecutedOp {
            gateway_run: fields.u64()?,
            op: fields.u64()?,
            extent: fields.u64()?,
            remembered_for: fields.u64()?,
        })
    };
    (0..count).map(|_| read(fields)).collect()
}

impl Order {
    /// For people and records.
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

    pub(crate) fn put(&self, out: &mut BytesMut) {
        let code = match self {
            Order::Prepare { .. } => 0,
            Order::TrackChanges { .. } => 1,
            Order::FetchNext { .. } => 2,
            Order::Put { .. } => 3,
            Order::Fence { .. } => 4,
            Order::FetchExecuted { .. } => 5,
            Order::RecordExecuted { .. } => 6,
            Order::Sync { .. } => 7,
            Order::Activate { .. } => 8,
            Order::Clear { .. } => 9,
            Order::StopTracking { .. } => 10,
            Order::Reactivate { .. } => 11,
        };
        out.put_u8(code);
        put_span(out, self.span());
        match self {
            Order::Prepare { epoch, .. }
            | Order::Fence { epoch, .. }
            | Order::Sync { epoch, .. }
            | Order::Activate { epoch, .. }
            | Order::Reactivate { epoch, .. }
            | Order::Clear { epoch, .. } => out.put_u64(*epoch),
            Order::TrackChanges { .. } | Order::FetchExecuted { .. } | Order::StopTracking { .. } => {}
            Order::FetchNext { copied, .. } => {
                out.put_u8(copied.is_some().into());
                copied.iter().flat_map(|(extent, stamp)| [extent, stamp]).for_each(|n| out.put_u64(*n));
            }
            Order::Put { epoch, content, .. } => {
                out.put_u64(*epoch);
                put_content(out, content);
            }
            Order::RecordExecuted { epoch, marks, .. } => {
                out.put_u64(*epoch);
                put_marks(out, marks);
            }
        }
    }

    pub(crate) fn read(fields: &mut Reader) -> Result<Order, Malformed> {
        let (code, span) = (fields.u8()?, span(fields)?);
        Ok(match code {
            0 => Order::Prepare { span, epoch: fields.u64()? },
            1 => Order::TrackChanges { span },
            2 => {
                Order::FetchNext { span, copied: fields.option(|fields| Ok((fields.u64()?, fields.u64()?)))? }
            }
            3 => Order::Put { span, epoch: fields.u64()?, content: content(fields)? },
            4 => Order::Fence { span, epoch: fields.u64()? },
            5 => Order::FetchExecuted { span },
            6 => Order::RecordExecuted { span, epoch: fields.u64()?, marks: marks(fields)? },
            7 => Order::Sync { span, epoch: fields.u64()? },
            8 => Order::Activate { span, epoch: fields.u64()? },
            9 => Order::Clear { span, epoch: fields.u64()? },
            10 => Order::StopTracking { span },
            11 => Order::Reactivate { span, epoch: fields.u64()? },
            other => return Err(fields.bad("order", other.into())),
        })
    }
}

impl OrderReply {
    pub(crate) fn put(&self, out: &mut BytesMut) {
        match self {
            OrderReply::Done => out.put_u8(0),
            OrderReply::ExtentsLeft(count) => {
                out.put_u8(1);
                out.put_u64(*count);
            }
            OrderReply::NextExtent(content) => {
                out.put_u8(2);
                out.put_u8(content.is_some().into());
                content.iter().for_each(|content| put_content(out, content));
            }
            OrderReply::ExecutedOps(marks) => {
                out.put_u8(3);
                put_marks(out, marks);
            }
            OrderReply::StaleTerm(term) => {
                out.put_u8(4);
                out.put_u64(*term);
            }
            OrderReply::WrongState => out.put_u8(5),
        }
    }

    pub(crate) fn read(fields: &mut Reader) -> Result<OrderReply, Malformed> {
        Ok(match fields.u8()? {
            0 => OrderReply::Done,
            1 => OrderReply::ExtentsLeft(fields.u64()?),
            2 => OrderReply::NextExtent(fields.option(content)?),
            3 => OrderReply::ExecutedOps(marks(fields)?),
            4 => OrderReply::StaleTerm(fields.u64()?),
            5 => OrderReply::WrongState,
            other => return Err(fields.bad("reply", other.into())),
        })
    }
}
