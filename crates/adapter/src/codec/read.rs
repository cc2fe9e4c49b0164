//! Decoding of batches.

use super::{Batch, Demand, EVENT_BYTES, Entry, Item, Load, Record, ReportBack};
use crate::error::Malformed;

const HEADER_BYTES: usize = 12;
const ENTRY_BYTES: usize = 24;
/// Maximum number of values in a load report.
const MAX_LOAD_VALUES: usize = 4;

/// The bytes of a record or of a sheet entry, whose fields are read by offset.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        self.0[at..at + N].try_into().expect("a field lies inside its record")
    }

    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }

    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }

    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }

    fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.bytes(at))
    }

    fn f64(&self, at: usize) -> f64 {
        f64::from_le_bytes(self.bytes(at))
    }

    fn load(&self, at: usize) -> Load {
        let count = usize::from(self.0[at]).min(MAX_LOAD_VALUES);
        let first = at + 1;
        Load((0..count).map(|index| self.f32(first + 4 * index)).collect())
    }

    /// The part of the tail given by the offset and the length at `at`; the length counts items of `width`
    /// bytes.
    fn tail_slice<'t>(&self, tail: &'t [u8], at: usize, width: usize) -> Result<&'t [u8], Malformed> {
        let (offset, length) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let end = length.checked_mul(width).and_then(|bytes| offset.checked_add(bytes));
        let bytes = end.and_then(|end| tail.get(offset..end));
        bytes.ok_or(Malformed::OutsideTail { offset, length, tail: tail.len() })
    }
}

/// Decodes a frame without its length field.
///
/// # Errors
///
/// [`Malformed`] states where the frame violates the wire protocol, with the index of the record.
pub fn read_batch(frame: &[u8]) -> Result<Batch, Malformed> {
    if frame.len() < HEADER_BYTES {
        return Err(Malformed::ShorterThanHeader { bytes: frame.len() });
    }
    let header = Fields(frame);
    let (count, now) = (header.u32(0) as usize, header.f64(4));
    if !(now.is_finite() && now >= 0.0) {
        return Err(Malformed::Clock(now));
    }
    let tail_at = count.checked_mul(EVENT_BYTES).and_then(|bytes| bytes.checked_add(HEADER_BYTES));
    let tail_at = tail_at.filter(|at| *at <= frame.len());
    let tail_at = tail_at.ok_or(Malformed::RecordCount { count, bytes: frame.len() })?;
    let tail = &frame[tail_at..];
    let mut items = Vec::with_capacity(count);
    for (index, record) in frame[HEADER_BYTES..tail_at].chunks_exact(EVENT_BYTES).enumerate() {
        let in_record = |error| Malformed::Record { index, error: Box::new(error) };
        items.push(read_item(record, tail).map_err(in_record)?);
    }
    Ok(Batch { now, items })
}

fn read_item(record: &[u8], tail: &[u8]) -> Result<Item, Malformed> {
    let fields = Fields(record);
    let record = match record[0] {
        1 => Record::OpenInstance { seed: fields.u64(3), boot_info: read_settings(&fields, tail)? },
        2 => Record::Registry { scope: record[3], page: fields.u32(12) },
        3 => Record::Demand(read_demand(&fields)),
        4 => Record::Accepted { tid: fields.u64(3) },
        5 => Record::ReportBack(read_report_back(&fields)),
        6 => Record::ClientLeft { tid: fields.u64(3) },
        7 => Record::Bell { label: fields.u64(3) },
        8 => Record::Pong { address: fields.bytes(3), how: fields.u16(9), load: fields.load(19) },
        9 => Record::Datagram,
        10 => Record::Stop,
        11 => return read_sheet(&fields, tail),
        code => return Err(Malformed::UnknownEventCode(code)),
    };
    Ok(Item::Event { instance: fields.u16(1), record })
}

fn read_settings(fields: &Fields<'_>, tail: &[u8]) -> Result<String, Malformed> {
    let bytes = fields.tail_slice(tail, 11, 1)?;
    String::from_utf8(bytes.to_vec()).map_err(|_| Malformed::SettingsEncoding)
}

fn read_demand(fields: &Fields<'_>) -> Demand {
    Demand {
        tid: fields.u64(3),
        price_units: fields.f32(11),
        owner: fields.u64(15),
        chunk: fields.u64(23),
        home_cell: fields.f32(31),
        budget: fields.f64(35),
        policy: fields.u32(43),
        qos: fields.u16(47),
        writers: fields.f32(49),
    }
}

fn read_report_back(fields: &Fields<'_>) -> ReportBack {
    ReportBack {
        tid: fields.u64(3),
        n: fields.0[11],
        address: fields.bytes(12),
        how: fields.u16(18),
        time_taken: fields.f64(20),
        complete: fields.0[28] != 0,
        volume_use: fields.u16(29),
        delta: fields.u16(31),
        load: fields.load(33),
    }
}

fn read_sheet(fields: &Fields<'_>, tail: &[u8]) -> Result<Item, Malformed> {
    let entries = fields.tail_slice(tail, 5, ENTRY_BYTES)?.chunks_exact(ENTRY_BYTES);
    Ok(Item::Sheet { page: fields.u32(1), entries: entries.map(read_entry).collect() })
}

fn read_entry(entry: &[u8]) -> Entry {
    let fields = Fields(entry);
    Entry {
        zone: fields.u16(0),
        started: fields.f64(2),
        shard: fields.u16(14),
        address: fields.bytes(16),
        state: entry[23],
    }
}
