//! Messages of a store.

use bytes::{BufMut, Bytes, BytesMut};

#[cfg(doc)]
use super::ToStore;
use super::{AttemptResult, DataRange, ResultCode};
use crate::fields::{FieldReader, put_list, put_numbers, put_opening, put_option, put_text};
use crate::orders::OrderReply;
use crate::{Malformed, Message};

/// A message of a store.
#[derive(Clone, Debug, PartialEq)]
pub enum FromStore {
    /// The answer to [`ToStore::Hello`].
    Welcome {
        /// The store's id.
        store: u64,
        /// The shard that it serves.
        shard: u32,
        /// Its clock, microseconds.
        clock: u64,
    },
    /// Part of a read, in order; the answer follows the last.
    Data {
        /// The attempt's number.
        number: u64,
        /// Bytes within the extent.
        offset: u32,
        /// The data.
        data: Bytes,
    },
    /// As [`FromStore::Data`], of zeros.
    Hole {
        /// The attempt's number.
        number: u64,
        /// Bytes within the extent.
        offset: u32,
        /// Bytes.
        length: u32,
    },
    /// The answer to an attempt.
    AttemptResult(AttemptResult),
    /// The answer to [`ToStore::HealthCheck`].
    Healthy {
        /// That of the check.
        token: u64,
        /// The store's clock, microseconds.
        clock: u64,
        /// The store's load, by name.
        load_report: Vec<(String, f64)>,
    },
    /// The answer to an order.
    OrderReply {
        /// That of the order.
        token: u64,
        /// The answer.
        reply: OrderReply,
    },
}

fn put_report(out: &mut BytesMut, report: &[(String, f64)]) {
    put_list(out, report, |out, (name, value)| {
        put_text(out, name);
        out.put_f64(*value);
    });
}

fn report(fields: &mut FieldReader) -> Result<Vec<(String, f64)>, Malformed> {
    fields.list(|fields| Ok((fields.text()?, fields.amount("report")?)))
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
                put_opening(out);
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
                put_report(out, load_report);
            }
            FromStore::OrderReply { token, reply } => {
                out.put_u64(*token);
                reply.put(out);
            }
        }
    }

    fn read(kind: u8, fields: &mut FieldReader) -> Result<FromStore, Malformed> {
        Ok(match kind {
            65 => {
                fields.opening()?;
                FromStore::Welcome { store: fields.u64()?, shard: fields.u32()?, clock: fields.u64()? }
            }
            66 => FromStore::Data { number: fields.u64()?, offset: fields.u32()?, data: fields.rest() },
            67 => FromStore::Hole { number: fields.u64()?, offset: fields.u32()?, length: fields.u32()? },
            68 => FromStore::AttemptResult(result(fields)?),
            69 => FromStore::Healthy {
                token: fields.u64()?,
                clock: fields.u64()?,
                load_report: report(fields)?,
            },
            70 => FromStore::OrderReply { token: fields.u64()?, reply: OrderReply::read(fields)? },
            _ => return Err(fields.unknown_kind()),
        })
    }
}

fn result_code(code: Result<ResultCode, u8>) -> u8 {
    match code {
        Ok(code) => ResultCode::ALL.iter().position(|known| *known == code).unwrap_or(0) as u8,
        Err(unknown) => unknown,
    }
}

fn put_result(out: &mut BytesMut, result: &AttemptResult) {
    out.put_u64(result.number);
    out.put_u8(result_code(result.code));
    put_numbers(out, [result.clock, result.epoch]);
    put_option(out, result.plan_rate_used.as_ref(), |out, ratio| out.put_f64(*ratio));
    out.put_f64(result.units_elsewhere);
    put_report(out, &result.load_report);
    put_list(out, &result.data_ranges, |out, range| {
        out.put_u32(range.length);
        out.put_u8(range.has_data.into());
    });
}

fn result(fields: &mut FieldReader) -> Result<AttemptResult, Malformed> {
    let number = fields.u64()?;
    let code = fields.u8()?;
    Ok(AttemptResult {
        number,
        code: ResultCode::ALL.get(usize::from(code)).copied().ok_or(code),
        clock: fields.u64()?,
        epoch: fields.u64()?,
        plan_rate_used: fields.option(|fields| fields.amount("used"))?,
        units_elsewhere: fields.amount("elsewhere")?,
        load_report: report(fields)?,
        data_ranges: fields.list(data_range)?,
    })
}

fn data_range(fields: &mut FieldReader) -> Result<DataRange, Malformed> {
    Ok(DataRange { length: fields.u32()?, has_data: fields.u8()? != 0 })
}
