//! Messages from a store.

use bytes::{BufMut, Bytes, BytesMut};

#[cfg(doc)]
use super::ToStore;
use super::{AttemptResult, DataRange, ResultCode};
use crate::fields::{FieldReader, put_list, put_magic_and_version, put_numbers, put_option, put_text};
use crate::orders::OrderReply;
use crate::{FrameError, Message};

/// A message from a store.
#[derive(Clone, Debug, PartialEq)]
pub enum FromStore {
    /// The response to [`ToStore::Hello`].
    Welcome {
        /// The store's id.
        store: u64,
        /// The shard that it serves.
        shard: u32,
        /// The store's clock, microseconds.
        clock: u64,
    },
    /// A part of the data of a read. The parts are sent in order, and the attempt's result after the last
    /// one.
    Data {
        /// The attempt's number.
        number: u64,
        /// Offset of the part in the extent, bytes.
        offset: u32,
        /// The data.
        data: Bytes,
    },
    /// As [`FromStore::Data`], but the part consists of zeros.
    Hole {
        /// The attempt's number.
        number: u64,
        /// Offset of the part in the extent, bytes.
        offset: u32,
        /// Length of the part, bytes.
        length: u32,
    },
    /// The response to an attempt.
    AttemptResult(AttemptResult),
    /// The response to [`ToStore::HealthCheck`].
    Healthy {
        /// The token of the health check.
        token: u64,
        /// The store's clock, microseconds.
        clock: u64,
        /// The load report: the store's load values by name.
        load_report: Vec<(String, f64)>,
    },
    /// The response to an order.
    OrderReply {
        /// The token of the order.
        token: u64,
        /// The reply.
        reply: OrderReply,
    },
}

fn put_load_report(out: &mut BytesMut, report: &[(String, f64)]) {
    put_list(out, report, |out, (name, value)| {
        put_text(out, name);
        out.put_f64(*value);
    });
}

fn read_load_report(fields: &mut FieldReader) -> Result<Vec<(String, f64)>, FrameError> {
    fields.list(|fields| Ok((fields.text()?, fields.non_negative_f64("report")?)))
}

impl Message for FromStore {
    fn kind(&self) -> u8 {
        match self {
            FromStore::Welcome { .. } => 65,
            FromStore::Data { .. } => 66,
            FromStore::Hole { .. } => 67,
            FromStore::AttemptResult(_) => 68,
            FromStore::Healthy { .. } => 69,
            FromStore::OrderReply { .. } => 70,
        }
    }

    fn payload(&self) -> Option<&Bytes> {
        let FromStore::Data { data, .. } = self else { return None };
        Some(data)
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            FromStore::Welcome { store, shard, clock } => {
                put_magic_and_version(out);
                out.put_u64(*store);
                out.put_u32(*shard);
                out.put_u64(*clock);
            }
            FromStore::Data { number, offset, .. } => {
                out.put_u64(*number);
                out.put_u32(*offset);
            }
            FromStore::Hole { number, offset, length } => {
                out.put_u64(*number);
                out.put_u32(*offset);
                out.put_u32(*length);
            }
            FromStore::AttemptResult(result) => put_result(out, result),
            FromStore::Healthy { token, clock, load_report } => {
                put_numbers(out, [*token, *clock]);
                put_load_report(out, load_report);
            }
            FromStore::OrderReply { token, reply } => {
                out.put_u64(*token);
                reply.put(out);
            }
        }
    }

    fn read(kind: u8, fields: &mut FieldReader) -> Result<FromStore, FrameError> {
        Ok(match kind {
            65 => {
                fields.magic_and_version()?;
                FromStore::Welcome { store: fields.u64()?, shard: fields.u32()?, clock: fields.u64()? }
            }
            66 => FromStore::Data { number: fields.u64()?, offset: fields.u32()?, data: fields.rest() },
            67 => FromStore::Hole { number: fields.u64()?, offset: fields.u32()?, length: fields.u32()? },
            68 => FromStore::AttemptResult(read_result(fields)?),
            69 => FromStore::Healthy {
                token: fields.u64()?,
                clock: fields.u64()?,
                load_report: read_load_report(fields)?,
            },
            70 => FromStore::OrderReply { token: fields.u64()?, reply: OrderReply::read(fields)? },
            _ => return Err(fields.unknown_kind()),
        })
    }
}

fn result_code_number(code: Result<ResultCode, u8>) -> u8 {
    match code {
        Ok(code) => ResultCode::ALL.iter().position(|known| *known == code).unwrap_or(0) as u8,
        Err(unknown) => unknown,
    }
}

fn put_result(out: &mut BytesMut, result: &AttemptResult) {
    out.put_u64(result.number);
    out.put_u8(result_code_number(result.code));
    put_numbers(out, [result.clock, result.epoch]);
    put_option(out, result.plan_rate_used.as_ref(), |out, ratio| out.put_f64(*ratio));
    out.put_f64(result.units_elsewhere);
    put_load_report(out, &result.load_report);
    put_list(out, &result.data_ranges, |out, range| {
        out.put_u32(range.length);
        out.put_u8(range.has_data.into());
    });
}

fn read_result(fields: &mut FieldReader) -> Result<AttemptResult, FrameError> {
    let number = fields.u64()?;
    let code = fields.u8()?;
    Ok(AttemptResult {
        number,
        code: ResultCode::ALL.get(usize::from(code)).copied().ok_or(code),
        clock: fields.u64()?,
        epoch: fields.u64()?,
        plan_rate_used: fields.option(|fields| fields.non_negative_f64("used"))?,
        units_elsewhere: fields.non_negative_f64("elsewhere")?,
        load_report: read_load_report(fields)?,
        data_ranges: fields.list(read_data_range)?,
    })
}

fn read_data_range(fields: &mut FieldReader) -> Result<DataRange, FrameError> {
    Ok(DataRange { length: fields.u32()?, has_data: fields.u8()? != 0 })
}
