//! The binary frames: records of fixed size and a tail, little-endian.

use std::time::Duration;

pub const EVENT_BYTES: usize = 56;
pub const ACTION_BYTES: usize = 32;
const HEADER_BYTES: usize = 12;
const ENTRY_BYTES: usize = 24;

/// A store as the wire names it: four bytes of address and a port.
pub type Address = [u8; 6];

/// What is wrong with a frame, and where.
#[derive(Debug, PartialEq)]
pub struct Malformed(pub String);

#[derive(Debug, PartialEq)]
pub struct Entry {
    pub zone: u16,
    pub started: f64,
    pub shard: u16,
    pub address: Address,
    pub state: u8,
}

#[derive(Debug, PartialEq)]
pub struct Load(pub Vec<f32>);

#[derive(Debug, PartialEq)]
pub enum Record {
    OpenInstance { seed: u64, boot_info: String },
    Registry { scope: u8, page: u32 },
    Demand(Demand),
    Accepted { tid: u64 },
    ReportBack(ReportBack),
    ClientLeft { tid: u64 },
    Bell { label: u64 },
    Pong { address: Address, how: u16, load: Load },
    Datagram,
    Stop,
}

#[derive(Debug, PartialEq)]
pub struct Demand {
    pub tid: u64,
    pub price_units: f32,
    pub owner: u64,
    pub chunk: u64,
    pub home_cell: f32,
    pub budget: f64,
    pub policy: u32,
    pub qos: u16,
    pub writers: f32,
}

#[derive(Debug, PartialEq)]
pub struct ReportBack {
    pub tid: u64,
    pub n: u8,
    pub address: Address,
    pub how: u16,
    pub time_taken: f64,
    pub complete: bool,
    pub volume_use: u16,
    pub delta: u16,
    pub load: Load,
}

#[derive(Debug, PartialEq)]
pub enum Item {
    Sheet { page: u32, entries: Vec<Entry> },
    For { instance: u16, record: Record },
}

#[derive(Debug, PartialEq)]
pub struct Batch {
    pub now: f64,
    pub items: Vec<Item>,
}

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
        Load((0..usize::from(self.0[at]).min(4)).map(|i| self.f32(at + 1 + 4 * i)).collect())
    }
}

/// Reads what follows a frame's length field.
pub fn read_batch(frame: &[u8]) -> Result<Batch, Malformed> {
    if frame.len() < HEADER_BYTES {
        return Err(Malformed(format!("frame of {} bytes is shorter than its header", frame.len())));
    }
    let head = Fields(frame);
    let (count, now) = (head.u32(0) as usize, head.f64(4));
    if !(now.is_finite() && now >= 0.0) {
        return Err(Malformed(format!("clock {now} in the header")));
    }
    let tail_at = count
        .checked_mul(EVENT_BYTES)
        .and_then(|n| n.checked_add(HEADER_BYTES))
        .filter(|&n| n <= frame.len())
        .ok_or_else(|| Malformed(format!("{count} records do not fit a frame of {} bytes", frame.len())))?;
    let tail = &frame[tail_at..];
    let items = frame[HEADER_BYTES..tail_at]
        .chunks_exact(EVENT_BYTES)
        .enumerate()
        .map(|(i, record)| {
            read_item(record, tail).map_err(|Malformed(what)| Malformed(format!("record {i}: {what}")))
        })
        .collect::<Result<_, _>>()?;
    Ok(Batch { now, items })
}

fn in_tail<'a>(tail: &'a [u8], fields: &Fields, at: usize, width: usize) -> Result<&'a [u8], Malformed> {
    let (offset, length) = (fields.u32(at) as usize, fields.u32(at + 4) as usize);
    length.checked_mul(width).and_then(|n| tail.get(offset..offset.checked_add(n)?)).ok_or_else(|| {
        Malformed(format!("offset {offset}, length {length} lie outside the tail of {} bytes", tail.len()))
    })
}

fn read_item(record: &[u8], tail: &[u8]) -> Result<Item, Malformed> {
    let f = Fields(record);
    let text = |at| {
        let bytes = in_tail(tail, &f, at, 1)?;
        String::from_utf8(bytes.to_vec()).map_err(|_| Malformed("settings are not UTF-8".into()))
    };
    let record = match record[0] {
        1 => Record::OpenInstance { seed: f.u64(3), boot_info: text(11)? },
        2 => Record::Registry { scope: record[3], page: f.u32(12) },
        3 => {
            let demand = Demand {
                tid: f.u64(3),
                price_units: f.f32(11),
                owner: f.u64(15),
                chunk: f.u64(23),
                home_cell: f.f32(31),
                budget: f.f64(35),
                policy: f.u32(43),
                qos: f.u16(47),
                writers: f.f32(49),
            };
            Record::Demand(demand)
        }
        4 => Record::Accepted { tid: f.u64(3) },
        5 => Record::ReportBack(ReportBack {
            tid: f.u64(3),
            n: record[11],
            address: f.bytes(12),
            how: f.u16(18),
            time_taken: f.f64(20),
            complete: record[28] != 0,
            volume_use: f.u16(29),
            delta: f.u16(31),
            load: f.load(33),
        }),
        6 => Record::ClientLeft { tid: f.u64(3) },
        7 => Record::Bell { label: f.u64(3) },
        8 => Record::Pong { address: f.bytes(3), how: f.u16(9), load: f.load(19) },
        9 => Record::Datagram,
        10 => Record::Stop,
        11 => {
            let entries =
                in_tail(tail, &f, 5, ENTRY_BYTES)?.chunks_exact(ENTRY_BYTES).map(read_entry).collect();
            return Ok(Item::Sheet { page: f.u32(1), entries });
        }
        code => return Err(Malformed(format!("unknown event code {code}"))),
    };
    Ok(Item::For { instance: f.u16(1), record })
}

fn read_entry(entry: &[u8]) -> Entry {
    let f = Fields(entry);
    Entry { zone: f.u16(0), started: f.f64(2), shard: f.u16(14), address: f.bytes(16), state: entry[23] }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        self.records.extend(instance.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
        self.count += 1;
    }
    fn text(&mut self, code: u8, instance: u16, text: &str) {
        let place = [(self.tail.len() as u32).to_le_bytes(), (text.len() as u32).to_le_bytes()].concat();
        self.tail.extend(text.as_bytes());
        self.record(code, instance, &[&place]);
    }
    pub fn observe(&mut self, instance: u16) {
        self.record(1, instance, &[&[1]]);
    }
    pub fn bounce(&mut self, instance: u16, tid: u64, come_back: Duration) {
        self.record(2, instance, &[&tid.to_le_bytes(), &come_back.as_secs_f64().to_le_bytes()]);
    }
    pub fn after(&mut self, instance: u16, label: u64, at: Duration) {
        self.record(3, instance, &[&label.to_le_bytes(), &at.as_secs_f64().to_le_bytes()]);
    }
    pub fn place(&mut self, instance: u16, tid: u64, address: Address, allow: Duration) {
        self.record(4, instance, &[&tid.to_le_bytes(), &address, &allow.as_secs_f64().to_le_bytes()]);
    }
    pub fn ping(&mut self, instance: u16, address: Address) {
        self.record(5, instance, &[&address]);
    }
    pub fn get_list(&mut self, instance: u16) {
        self.record(7, instance, &[]);
    }
    pub fn emit(&mut self, instance: u16, text: &str) {
        self.text(8, instance, text);
    }
    pub fn fatal(&mut self, instance: u16, text: &str) {
        self.text(9, instance, text);
    }
    pub fn fail(&mut self, instance: u16, tid: u64) {
        self.record(10, instance, &[&tid.to_le_bytes()]);
    }
    pub fn undo_send(&mut self, instance: u16, tid: u64, n: u8) {
        self.record(11, instance, &[&tid.to_le_bytes(), &[n]]);
    }
    /// The whole frame, with its length.
    pub fn frame(&self) -> Vec<u8> {
        let length = (4 + self.records.len() + self.tail.len()) as u32;
        [&length.to_le_bytes()[..], &self.count.to_le_bytes(), &self.records, &self.tail].concat()
    }
}
