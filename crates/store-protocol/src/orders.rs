//! What a keeper has a store do for a move of a range. Each order may come again, and its repeat changes nothing more.

use bytes::{BufMut, Bytes, BytesMut};

use crate::{Malformed, Reader};

/// Bytes of a page; an extent's content travels in pages.
pub const PAGE: usize = 4096;

/// A run of a volume's extents, from the first up to, but without, the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Span {
    pub volume: u64,
    pub from: u64,
    pub to: u64,
}

impl Span {
    pub fn holds(&self, volume: u64, extent: u64) -> bool {
        self.volume == volume && (self.from..self.to).contains(&extent)
    }

    pub fn meets(&self, other: &Span) -> bool {
        self.volume == other.volume && self.from < other.to && other.from < self.to
    }
}

/// An extent as it stood at a moment; pages that are not named are holes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Content {
    pub extent: u64,
    /// Counts the extent's changes: told back once it is at the target, so that what was written meanwhile is copied anew.
    pub stamp: u64,
    pub pages: Vec<(u32, Bytes)>,
}

/// An op that has run: a repeat of it is acked without a second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Mark {
    pub run: u64,
    pub op: u64,
    pub extent: u64,
    /// Microseconds for which it is still to be kept.
    pub kept: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// To the target: what it holds of the range is void; it takes content, and no op until it is opened.
    Prepare {
        span: Span,
        epoch: u64,
    },
    /// To the source: all of the range is to be copied, and what is written from now on again.
    Follow {
        span: Span,
    },
    /// To the source: this copy has arrived; the next one.
    Fetch {
        span: Span,
        copied: Option<(u64, u64)>,
    },
    /// Danger: what is answered as done must be there after a crash too, or the range be answered as unfit from then on: the
    /// source counts it as copied.
    Put {
        span: Span,
        epoch: u64,
        content: Content,
    },
    /// To the source, for good: it answers no op of the range any more, and says what is left to copy.
    Raise {
        span: Span,
        epoch: u64,
    },
    /// To the source, raised: what ran there and may be repeated.
    Marks {
        span: Span,
    },
    Mark {
        span: Span,
        epoch: u64,
        marks: Vec<Mark>,
    },
    /// To the target: all it was given is to be safe on the medium before it answers.
    Seal {
        span: Span,
        epoch: u64,
    },
    /// To the target: the range is served here at this epoch from now on.
    Open {
        span: Span,
        epoch: u64,
    },
    /// To the source: the move is taken back, and the range served here again, at a higher epoch than was meant for the target.
    Reopen {
        span: Span,
        epoch: u64,
    },
    /// The range is not to be here: a target's part-copy, or a source's data once the target serves.
    Clear {
        span: Span,
        epoch: u64,
    },
    /// To the source: nothing of the range is copied any more.
    Leave {
        span: Span,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    Done,
    /// Extents left to copy.
    Left(u64),
    /// The next extent to copy; none is left for now.
    Next(Option<Content>),
    Marks(Vec<Mark>),
    /// The order is of a term that is over; the store has heard of this one.
    OldTerm(u64),
    /// What the store holds does not allow it: the range is not in the state that the order needs.
    Unfit,
}

fn put_span(out: &mut BytesMut, span: &Span) {
    [span.volume, span.from, span.to].into_iter().for_each(|number| out.put_u64(number));
}

fn span(fields: &mut Reader) -> Result<Span, Malformed> {
    let span = Span { volume: fields.u64()?, from: fields.u64()?, to: fields.u64()? };
    if span.from < span.to { Ok(span) } else { Err(fields.bad("range", span.to)) }
}

fn put_content(out: &mut BytesMut, content: &Content) {
    out.put_u64(content.extent);
    out.put_u64(content.stamp);
    out.put_u16(content.pages.len() as u16);
    for (page, bytes) in &content.pages {
        out.put_u32(*page);
        out.put_slice(bytes);
    }
}

fn content(fields: &mut Reader) -> Result<Content, Malformed> {
    let (extent, stamp) = (fields.u64()?, fields.u64()?);
    let pages = fields.list(|fields| Ok((fields.u32()?, fields.bytes(PAGE)?)))?;
    Ok(Content { extent, stamp, pages })
}

fn put_marks(out: &mut BytesMut, marks: &[Mark]) {
    out.put_u32(marks.len() as u32);
    for mark in marks {
        [mark.run, mark.op, mark.extent, mark.kept].into_iter().for_each(|number| out.put_u64(number));
    }
}

fn marks(fields: &mut Reader) -> Result<Vec<Mark>, Malformed> {
    let count = fields.u32()?;
    // Danger: the count is the peer's word; room is taken for what is there.
    let read = |fields: &mut Reader| {
        Ok(Mark { run: fields.u64()?, op: fields.u64()?, extent: fields.u64()?, kept: fields.u64()? })
    };
    (0..count).map(|_| read(fields)).collect()
}

impl Order {
    /// For people and records.
    pub fn name(&self) -> &'static str {
        match self {
            Order::Prepare { .. } => "prepare",
            Order::Follow { .. } => "follow",
            Order::Fetch { .. } => "fetch",
            Order::Put { .. } => "put",
            Order::Raise { .. } => "raise",
            Order::Marks { .. } => "marks",
            Order::Mark { .. } => "mark",
            Order::Seal { .. } => "seal",
            Order::Open { .. } => "open",
            Order::Reopen { .. } => "reopen",
            Order::Clear { .. } => "clear",
            Order::Leave { .. } => "leave",
        }
    }

    pub fn span(&self) -> &Span {
        match self {
            Order::Prepare { span, .. }
            | Order::Follow { span }
            | Order::Fetch { span, .. }
            | Order::Put { span, .. }
            | Order::Raise { span, .. }
            | Order::Marks { span }
            | Order::Mark { span, .. }
            | Order::Seal { span, .. }
            | Order::Open { span, .. }
            | Order::Reopen { span, .. }
            | Order::Clear { span, .. }
            | Order::Leave { span } => span,
        }
    }

    pub(crate) fn put(&self, out: &mut BytesMut) {
        let code = match self {
            Order::Prepare { .. } => 0,
            Order::Follow { .. } => 1,
            Order::Fetch { .. } => 2,
            Order::Put { .. } => 3,
            Order::Raise { .. } => 4,
            Order::Marks { .. } => 5,
            Order::Mark { .. } => 6,
            Order::Seal { .. } => 7,
            Order::Open { .. } => 8,
            Order::Clear { .. } => 9,
            Order::Leave { .. } => 10,
            Order::Reopen { .. } => 11,
        };
        out.put_u8(code);
        put_span(out, self.span());
        match self {
            Order::Prepare { epoch, .. }
            | Order::Raise { epoch, .. }
            | Order::Seal { epoch, .. }
            | Order::Open { epoch, .. }
            | Order::Reopen { epoch, .. }
            | Order::Clear { epoch, .. } => out.put_u64(*epoch),
            Order::Follow { .. } | Order::Marks { .. } | Order::Leave { .. } => {}
            Order::Fetch { copied, .. } => {
                out.put_u8(copied.is_some().into());
                copied.iter().flat_map(|(extent, stamp)| [extent, stamp]).for_each(|n| out.put_u64(*n));
            }
            Order::Put { epoch, content, .. } => {
                out.put_u64(*epoch);
                put_content(out, content);
            }
            Order::Mark { epoch, marks, .. } => {
                out.put_u64(*epoch);
                put_marks(out, marks);
            }
        }
    }

    pub(crate) fn read(fields: &mut Reader) -> Result<Order, Malformed> {
        let (code, span) = (fields.u8()?, span(fields)?);
        Ok(match code {
            0 => Order::Prepare { span, epoch: fields.u64()? },
            1 => Order::Follow { span },
            2 => Order::Fetch { span, copied: fields.option(|fields| Ok((fields.u64()?, fields.u64()?)))? },
            3 => Order::Put { span, epoch: fields.u64()?, content: content(fields)? },
            4 => Order::Raise { span, epoch: fields.u64()? },
            5 => Order::Marks { span },
            6 => Order::Mark { span, epoch: fields.u64()?, marks: marks(fields)? },
            7 => Order::Seal { span, epoch: fields.u64()? },
            8 => Order::Open { span, epoch: fields.u64()? },
            9 => Order::Clear { span, epoch: fields.u64()? },
            10 => Order::Leave { span },
            11 => Order::Reopen { span, epoch: fields.u64()? },
            other => return Err(fields.bad("order", other.into())),
        })
    }
}

impl Reply {
    pub(crate) fn put(&self, out: &mut BytesMut) {
        match self {
            Reply::Done => out.put_u8(0),
            Reply::Left(count) => {
                out.put_u8(1);
                out.put_u64(*count);
            }
            Reply::Next(content) => {
                out.put_u8(2);
                out.put_u8(content.is_some().into());
                content.iter().for_each(|content| put_content(out, content));
            }
            Reply::Marks(marks) => {
                out.put_u8(3);
                put_marks(out, marks);
            }
            Reply::OldTerm(term) => {
                out.put_u8(4);
                out.put_u64(*term);
            }
            Reply::Unfit => out.put_u8(5),
        }
    }

    pub(crate) fn read(fields: &mut Reader) -> Result<Reply, Malformed> {
        Ok(match fields.u8()? {
            0 => Reply::Done,
            1 => Reply::Left(fields.u64()?),
            2 => Reply::Next(fields.option(content)?),
            3 => Reply::Marks(marks(fields)?),
            4 => Reply::OldTerm(fields.u64()?),
            5 => Reply::Unfit,
            other => return Err(fields.bad("reply", other.into())),
        })
    }
}
