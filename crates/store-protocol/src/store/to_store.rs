//! Messages to a store.

use bytes::{BufMut, Bytes, BytesMut};

use super::{Attempt, OperationKind};
use crate::fields::{FieldReader, put_list, put_magic_and_version, put_numbers};
use crate::orders::Order;
use crate::{FrameError, Message};

/// A message to a store.
#[derive(Clone, Debug, PartialEq)]
pub enum ToStore {
    /// The first frame.
    Hello {
        /// Identifies the gateway's run; each start draws a new one.
        run: u64,
    },
    /// An attempt to execute an op.
    Attempt(Attempt),
    /// Cancels an attempt.
    Cancel {
        /// The attempt's number.
        number: u64,
    },
    /// Requests a response with the load report.
    HealthCheck {
        /// Identifies the response; 0 in the heartbeat of a connection.
        token: u64,
    },
    /// An order of the coordinator, as a step of a move.
    Order {
        /// Identifies the response.
        token: u64,
        /// The coordinator's term: the store rejects the order if it has received a later term.
        term: u64,
        /// The move's number.
        number: u64,
        /// The order.
        order: Order,
    },
}

impl Message for ToStore {
    fn kind(&self) -> u8 {
        match self {
            ToStore::Hello { .. } => 1,
            ToStore::Attempt(_) => 2,
            ToStore::Cancel { .. } => 3,
            ToStore::HealthCheck { .. } => 4,
            ToStore::Order { .. } => 5,
        }
    }

    fn payload(&self) -> Option<&Bytes> {
        let ToStore::Attempt(attempt) = self else { return None };
        Some(&attempt.data)
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            ToStore::Hello { run } => {
                put_magic_and_version(out);
                out.put_u64(*run);
            }
            ToStore::Attempt(attempt) => put_attempt(out, attempt),
            ToStore::Cancel { number } => out.put_u64(*number),
            ToStore::HealthCheck { token } => out.put_u64(*token),
            ToStore::Order { token, term, number, order } => {
                put_numbers(out, [*token, *term, *number]);
                order.put(out);
            }
        }
    }

    fn read(kind: u8, fields: &mut FieldReader) -> Result<ToStore, FrameError> {
        Ok(match kind {
            1 => {
                fields.magic_and_version()?;
                ToStore::Hello { run: fields.u64()? }
            }
            2 => ToStore::Attempt(read_attempt(fields)?),
            3 => ToStore::Cancel { number: fields.u64()? },
            4 => ToStore::HealthCheck { token: fields.u64()? },
            5 => ToStore::Order {
                token: fields.u64()?,
                term: fields.u64()?,
                number: fields.u64()?,
                order: Order::read(fields)?,
            },
            _ => return Err(fields.unknown_kind()),
        })
    }
}

/// Writes an attempt, except its data.
fn put_attempt(out: &mut BytesMut, attempt: &Attempt) {
    let kind = OperationKind::ALL.iter().position(|kind| *kind == attempt.kind);
    put_numbers(out, [attempt.number, attempt.op, attempt.volume, attempt.extent, attempt.epoch]);
    out.put_u8(kind.unwrap_or(0) as u8);
    out.put_u32(attempt.offset);
    out.put_u32(attempt.length);
    out.put_f64(attempt.units);
    out.put_u64(attempt.not_after);
    put_list(out, &attempt.supersedes, |out, number| out.put_u64(*number));
    out.put_u8(attempt.durable.into());
}

fn read_operation_kind(fields: &mut FieldReader) -> Result<OperationKind, FrameError> {
    let code = fields.u8()?;
    let kind = OperationKind::ALL.get(usize::from(code)).copied();
    kind.ok_or_else(|| fields.invalid("work", code.into()))
}

fn read_attempt(fields: &mut FieldReader) -> Result<Attempt, FrameError> {
    let attempt = Attempt {
        number: fields.u64()?,
        op: fields.u64()?,
        volume: fields.u64()?,
        extent: fields.u64()?,
        epoch: fields.u64()?,
        kind: read_operation_kind(fields)?,
        offset: fields.u32()?,
        length: fields.u32()?,
        units: fields.non_negative_f64("units")?,
        not_after: fields.u64()?,
        supersedes: fields.list(FieldReader::u64)?,
        durable: fields.u8()? != 0,
        data: fields.rest(),
    };
    let length = attempt.length;
    let data_length = if attempt.kind == OperationKind::Write { length as usize } else { 0 };
    if attempt.data.len() != data_length || attempt.offset.checked_add(length).is_none() {
        return Err(fields.invalid("length", length.into()));
    }
    Ok(attempt)
}
