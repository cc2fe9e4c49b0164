//! Encoding of orders and their replies.

use bytes::{BufMut, BytesMut};

use super::{ExecutedOp, ExtentContent, ExtentRange, Order, OrderReply, PAGE_BYTES};
use crate::FrameError;
use crate::fields::{FieldReader, put_list, put_numbers, put_option};

fn put_range(out: &mut BytesMut, range: &ExtentRange) {
    put_numbers(out, [range.volume, range.start, range.end]);
}

fn read_range(fields: &mut FieldReader) -> Result<ExtentRange, FrameError> {
    let range = ExtentRange { volume: fields.u64()?, start: fields.u64()?, end: fields.u64()? };
    if range.start < range.end { Ok(range) } else { Err(fields.invalid("range", range.end)) }
}

fn put_content(out: &mut BytesMut, content: &ExtentContent) {
    put_numbers(out, [content.extent, content.change_count]);
    put_list(out, &content.pages, |out, (page, bytes)| {
        out.put_u32(*page);
        out.put_slice(bytes);
    });
}

fn read_content(fields: &mut FieldReader) -> Result<ExtentContent, FrameError> {
    Ok(ExtentContent {
        extent: fields.u64()?,
        change_count: fields.u64()?,
        pages: fields.list(|fields| Ok((fields.u32()?, fields.bytes(PAGE_BYTES)?)))?,
    })
}

fn put_executed_ops(out: &mut BytesMut, ops: &[ExecutedOp]) {
    out.put_u32(ops.len() as u32);
    for op in ops {
        put_numbers(out, [op.gateway_run, op.op, op.extent, op.remaining_micros]);
    }
}

fn read_executed_ops(fields: &mut FieldReader) -> Result<Vec<ExecutedOp>, FrameError> {
    let count = fields.u32()?;
    // Hazard: the peer may send a false count. Memory must not be reserved by the count, only for the ops
    // received.
    let read_op = |fields: &mut FieldReader| {
        Ok(ExecutedOp {
            gateway_run: fields.u64()?,
            op: fields.u64()?,
            extent: fields.u64()?,
            remaining_micros: fields.u64()?,
        })
    };
    (0..count).map(|_| read_op(fields)).collect()
}

impl Order {
    /// The order's code on the wire.
    fn code(&self) -> u8 {
        match self {
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
        }
    }

    pub(crate) fn put(&self, out: &mut BytesMut) {
        out.put_u8(self.code());
        put_range(out, self.range());
        match self {
            Order::Prepare { epoch, .. }
            | Order::Fence { epoch, .. }
            | Order::Sync { epoch, .. }
            | Order::Activate { epoch, .. }
            | Order::Reactivate { epoch, .. }
            | Order::Clear { epoch, .. } => out.put_u64(*epoch),
            Order::TrackChanges { .. } | Order::FetchExecuted { .. } | Order::StopTracking { .. } => {}
            Order::FetchNext { copied, .. } => {
                put_option(out, copied.as_ref(), |out, (extent, change_count)| {
                    put_numbers(out, [*extent, *change_count]);
                });
            }
            Order::Put { epoch, content, .. } => {
                out.put_u64(*epoch);
                put_content(out, content);
            }
            Order::RecordExecuted { epoch, executed_ops, .. } => {
                out.put_u64(*epoch);
                put_executed_ops(out, executed_ops);
            }
        }
    }

    pub(crate) fn read(fields: &mut FieldReader) -> Result<Order, FrameError> {
        let code = fields.u8()?;
        let range = read_range(fields)?;
        Ok(match code {
            0 => Order::Prepare { range, epoch: fields.u64()? },
            1 => Order::TrackChanges { range },
            2 => Order::FetchNext {
                range,
                copied: fields.option(|fields| Ok((fields.u64()?, fields.u64()?)))?,
            },
            3 => Order::Put { range, epoch: fields.u64()?, content: read_content(fields)? },
            4 => Order::Fence { range, epoch: fields.u64()? },
            5 => Order::FetchExecuted { range },
            6 => Order::RecordExecuted {
                range,
                epoch: fields.u64()?,
                executed_ops: read_executed_ops(fields)?,
            },
            7 => Order::Sync { range, epoch: fields.u64()? },
            8 => Order::Activate { range, epoch: fields.u64()? },
            9 => Order::Clear { range, epoch: fields.u64()? },
            10 => Order::StopTracking { range },
            11 => Order::Reactivate { range, epoch: fields.u64()? },
            other => return Err(fields.invalid("order", other.into())),
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
                put_option(out, content.as_ref(), put_content);
            }
            OrderReply::ExecutedOps(ops) => {
                out.put_u8(3);
                put_executed_ops(out, ops);
            }
            OrderReply::StaleTerm(term) => {
                out.put_u8(4);
                out.put_u64(*term);
            }
            OrderReply::WrongState => out.put_u8(5),
        }
    }

    pub(crate) fn read(fields: &mut FieldReader) -> Result<OrderReply, FrameError> {
        Ok(match fields.u8()? {
            0 => OrderReply::Done,
            1 => OrderReply::ExtentsLeft(fields.u64()?),
            2 => OrderReply::NextExtent(fields.option(read_content)?),
            3 => OrderReply::ExecutedOps(read_executed_ops(fields)?),
            4 => OrderReply::StaleTerm(fields.u64()?),
            5 => OrderReply::WrongState,
            other => return Err(fields.invalid("reply", other.into())),
        })
    }
}
