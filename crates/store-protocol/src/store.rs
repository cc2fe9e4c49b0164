//! Between a gateway and a store.

use bytes::{BufMut, Bytes, BytesMut};

use crate::orders::{Order, OrderReply};
use crate::{MAGIC, Malformed, Message, Reader, VERSION, put_text};

/// What a dispatch asks of an extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperationKind {
    Read,
    Write,
    /// The range reads as zeros from now on.
    Zero,
    /// The range need not be kept; it reads as zeros.
    Trim,
    /// All of the volume's writes that this store has acked are safe before it answers.
    Flush,
    /// Which parts of the range hold data.
    Status,
}

impl OperationKind {
    const ALL: [OperationKind; 6] = [
        OperationKind::Read,
        OperationKind::Write,
        OperationKind::Zero,
        OperationKind::Trim,
        OperationKind::Flush,
        OperationKind::Status,
    ];

    pub fn writes(self) -> bool {
        matches!(self, OperationKind::Write | OperationKind::Zero | OperationKind::Trim)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Counts up within a gateway's run and is never used twice in it.
    pub number: u64,
    /// The op's mark, the same in all its dispatches and in no other op's of this gateway's run: by it a store knows a
    /// repeat of what it has done.
    pub op: u64,
    pub volume: u64,
    pub extent: u64,
    /// How often the extent's range has moved, as far as the gateway knows. A flush, which is about no range, has 0.
    pub epoch: u64,
    pub kind: OperationKind,
    /// Bytes within the extent.
    pub offset: u32,
    pub length: u32,
    pub units: f64,
    /// The fence in time: on its own clock (microseconds) the store neither begins nor applies it after this.
    pub not_after: u64,
    /// The fence in order: earlier dispatches of this gateway's run that must have no effect from now on.
    pub supersedes: Vec<u64>,
    /// Safe on the medium before the answer.
    pub durable: bool,
    /// A write's data, `length` bytes.
    pub data: Bytes,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ToStore {
    /// The first frame: the run of the gateway that speaks, drawn anew at each of its starts.
    Hello {
        run: u64,
    },
    Attempt(Attempt),
    Cancel {
        number: u64,
    },
    HealthCheck {
        token: u64,
    },
    /// A coordinator's, for the move of this number: refused where the store has heard of a later term.
    Order {
        token: u64,
        term: u64,
        number: u64,
        order: Order,
    },
}

/// What became of a dispatch, by the store's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultCode {
    Succeeded,
    /// It failed; it may have run.
    Failed,
    /// Turned away unseen: the queue is full or the store drains.
    Rejected,
    /// Fenced off: its time is up or a later dispatch has voided it. It has not run and will not.
    Fenced,
    Cancelled,
    /// This store does not hold the extent. It has not run.
    NotHere,
    /// The range has moved since, see the answer's epoch. It has not run and will not.
    StaleEpoch,
}

impl ResultCode {
    const ALL: [ResultCode; 7] = [
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
    pub length: u32,
    pub has_data: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    pub number: u64,
    /// A code that this version does not know is `Err`.
    pub code: Result<ResultCode, u8>,
    /// The store's clock, in microseconds.
    pub clock: u64,
    /// Of a stale dispatch: the map has, or will have, this epoch for the range, or a higher.
    pub epoch: u64,
    /// The volume's service everywhere in a finished period, as a ratio to its plan's rate.
    pub plan_rate_used: Option<f64>,
    /// Units served for the volume through other gateways since the last answer here.
    pub units_elsewhere: f64,
    pub load_report: Vec<(String, f64)>,
    /// For `Work::Status`: the range asked about, in order.
    pub data_ranges: Vec<DataRange>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FromStore {
    /// The answer to `Hello`.
    Welcome {
        store: u64,
        shard: u32,
        clock: u64,
    },
    /// Part of a read, in order; the answer follows the last.
    Data {
        number: u64,
        offset: u32,
        data: Bytes,
    },
    /// As `Data`, of zeros.
    Hole {
        number: u64,
        offset: u32,
        length: u32,
    },
    AttemptResult(AttemptResult),
    Healthy {
        token: u64,
        clock: u64,
        load_report: Vec<(String, f64)>,
    },
    OrderReply {
        token: u64,
        reply: OrderReply,
    },
}

fn put_report(out: &mut BytesMut, report: &[(String, f64)]) {
    out.put_u16(report.len() as u16);
    for (name, value) in report {
        put_text(out, name);
        out.put_f64(*value);
    }
}

fn report(fields: &mut Reader) -> Result<Vec<(String, f64)>, Malformed> {
    fields.list(|fields| Ok((fields.text()?, fields.amount("report")?)))
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
        let ToStore::Attempt(dispatch) = self else { return None };
        Some(&dispatch.data)
    }

    fn put_fields(&self, out: &mut BytesMut) {
        match self {
            ToStore::Hello { run } => {
                out.put_u32(MAGIC);
                out.put_u16(VERSION);
                out.put_u64(*run);
            }
            ToStore::Attempt(dispatch) => {
                out.put_u64(dispatch.number);
                out.put_u64(dispatch.op);
                out.put_u64(dispatch.volume);
                out.put_u64(dispatch.extent);
                out.put_u64(dispatch.epoch);
                out.put_u8(
                    OperationKind::ALL.iter().position(|work| *work == dispatch.kind).unwrap_or(0) as u8
                );
                out.put_u32(dispatch.offset);
                out.put_u32(dispatch.length);
                out.put_f64(dispatch.units);
                out.put_u64(dispatch.not_after);
                out.put_u16(dispatch.supersedes.len() as u16);
                dispatch.supersedes.iter().for_each(|number| out.put_u64(*number));
                out.put_u8(dispatch.durable.into());
            }
            ToStore::Cancel { number } => out.put_u64(*number),
            ToStore::HealthCheck { token } => out.put_u64(*token),
            ToStore::Order { token, term, number, order } => {
                [token, term, number].into_iter().for_each(|field| out.put_u64(*field));
                order.put(out);
            }
        }
    }

    fn read(kind: u8, fields: &mut Reader) -> Result<ToStore, Malformed> {
        Ok(match kind {
            1 => {
                fields.opening()?;
                ToStore::Hello { run: fields.u64()? }
            }
            2 => ToStore::Attempt(dispatch(fields)?),
            3 => ToStore::Cancel { number: fields.u64()? },
            4 => ToStore::HealthCheck { token: fields.u64()? },
            5 => ToStore::Order {
                token: fields.u64()?,
                term: fields.u64()?,
                number: fields.u64()?,
                order: Order::read(fields)?,
            },
            _ => return Err(fields.unknown()),
        })
    }
}

fn dispatch(fields: &mut Reader) -> Result<Attempt, Malformed> {
    let (number, op, volume, extent) = (fields.u64()?, fields.u64()?, fields.u64()?, fields.u64()?);
    let epoch = fields.u64()?;
    let work = fields.u8()?;
    let work = *OperationKind::ALL.get(usize::from(work)).ok_or_else(|| fields.bad("work", work.into()))?;
    let (offset, length, units) = (fields.u32()?, fields.u32()?, fields.amount("units")?);
    let (not_after, voids) = (fields.u64()?, fields.list(Reader::u64)?);
    let durable = fields.u8()? != 0;
    let data = fields.rest();
    let wanted = if work == OperationKind::Write { length as usize } else { 0 };
    if data.len() != wanted || offset.checked_add(length).is_none() {
        return Err(fields.bad("length", length.into()));
    }
    #[rustfmt::skip]
    let whole = Attempt {
        number, op, volume, extent, epoch, kind: work, offset, length, units, not_after, supersedes: voids, durable, data,
    };
    Ok(whole)
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
                out.put_u32(MAGIC);
                out.put_u16(VERSION);
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
            FromStore::AttemptResult(answer) => put_answer(out, answer),
            FromStore::Healthy { token, clock, load_report: report } => {
                out.put_u64(*token);
                out.put_u64(*clock);
                put_report(out, report);
            }
            FromStore::OrderReply { token, reply } => {
                out.put_u64(*token);
                reply.put(out);
            }
        }
    }

    fn read(kind: u8, fields: &mut Reader) -> Result<FromStore, Malformed> {
        Ok(match kind {
            65 => {
                fields.opening()?;
                FromStore::Welcome { store: fields.u64()?, shard: fields.u32()?, clock: fields.u64()? }
            }
            66 => FromStore::Data { number: fields.u64()?, offset: fields.u32()?, data: fields.rest() },
            67 => FromStore::Hole { number: fields.u64()?, offset: fields.u32()?, length: fields.u32()? },
            68 => FromStore::AttemptResult(answer(fields)?),
            70 => FromStore::OrderReply { token: fields.u64()?, reply: OrderReply::read(fields)? },
            69 => FromStore::Healthy {
                token: fields.u64()?,
                clock: fields.u64()?,
                load_report: report(fields)?,
            },
            _ => return Err(fields.unknown()),
        })
    }
}

fn put_answer(out: &mut BytesMut, answer: &AttemptResult) {
    out.put_u64(answer.number);
    out.put_u8(match answer.code {
        Ok(code) => ResultCode::ALL.iter().position(|known| *known == code).unwrap_or(0) as u8,
        Err(unknown) => unknown,
    });
    out.put_u64(answer.clock);
    out.put_u64(answer.epoch);
    out.put_u8(answer.plan_rate_used.is_some().into());
    answer.plan_rate_used.iter().for_each(|used| out.put_f64(*used));
    out.put_f64(answer.units_elsewhere);
    put_report(out, &answer.load_report);
    out.put_u16(answer.data_ranges.len() as u16);
    for stretch in &answer.data_ranges {
        out.put_u32(stretch.length);
        out.put_u8(stretch.has_data.into());
    }
}

fn answer(fields: &mut Reader) -> Result<AttemptResult, Malformed> {
    let (number, code) = (fields.u64()?, fields.u8()?);
    Ok(AttemptResult {
        number,
        code: ResultCode::ALL.get(usize::from(code)).copied().ok_or(code),
        clock: fields.u64()?,
        epoch: fields.u64()?,
        plan_rate_used: fields.option(|fields| fields.amount("used"))?,
        units_elsewhere: fields.amount("elsewhere")?,
        load_report: report(fields)?,
        data_ranges: fields
            .list(|fields| Ok(DataRange { length: fields.u32()?, has_data: fields.u8()? != 0 }))?,
    })
}
