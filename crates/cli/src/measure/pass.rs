//! The baseline: the same sockets, codecs and loop, and nothing decided. Each request goes at once to the store that its
//! first extent falls to by count; what a store says goes straight back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use umbertray_routing::{Hold, Host, Input, Output, Part, RequestId, Settings, StoreId, Verdict};
use umbertray_store_protocol::list::{FromList, State, ToList};
use umbertray_store_protocol::store::{Code, Dispatch, FromStore, ToStore, Work};
use umbertray_store_protocol::volume_id;

pub struct PassThrough {
    extent_bytes: u64,
    volumes: Vec<u64>,
    stores: Vec<StoreId>,
    out: HashMap<u64, (RequestId, u64, Hold)>,
    next: u64,
    begun: bool,
}

impl PassThrough {
    pub fn new(settings: &Settings) -> PassThrough {
        PassThrough {
            extent_bytes: settings.extent_bytes.into(),
            volumes: settings.volumes.iter().map(|volume| volume_id(&volume.name)).collect(),
            stores: Vec::new(),
            out: HashMap::new(),
            next: 0,
            begun: false,
        }
    }

    fn take(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::List(FromList::Full(entries)) => {
                for (n, entry) in entries.iter().filter(|entry| entry.state == State::Ready).enumerate() {
                    let store = StoreId(n as u32);
                    self.stores.push(store);
                    out.push(Output::Link { store, address: entry.address });
                }
            }
            Input::Request(request) => {
                self.next += 1;
                let (number, extent) = (self.next, request.offset / self.extent_bytes);
                let store = self.stores[extent as usize % self.stores.len()];
                self.out.insert(number, (request.id, request.offset, request.hold.clone()));
                let message = ToStore::Dispatch(Dispatch {
                    number,
                    op: number,
                    volume: self.volumes[request.volume],
                    extent,
                    epoch: 0,
                    work: request.work,
                    offset: (request.offset % self.extent_bytes) as u32,
                    length: request.length,
                    units: 1.0,
                    not_after: u64::MAX / 2,
                    voids: Vec::new(),
                    durable: request.durable,
                    data: request.data,
                });
                out.push(Output::Store { store, message, hold: Some(request.hold) });
            }
            Input::Store { message, .. } => self.answer(message, out),
            _ => {}
        }
    }

    fn answer(&mut self, message: FromStore, out: &mut Vec<Output>) {
        let (number, part) = match message {
            FromStore::Data { number, offset, data } => (number, Part::Data { offset: offset.into(), data }),
            FromStore::Hole { number, offset, length } => {
                (number, Part::Hole { offset: offset.into(), length })
            }
            FromStore::Answer(answer) if answer.code == Ok(Code::Acked) => {
                (answer.number, Part::Final(Verdict::Acked))
            }
            FromStore::Answer(answer) => (answer.number, Part::Final(Verdict::Aborted)),
            FromStore::Welcome { .. } | FromStore::Ordered { .. } | FromStore::Probed { .. } => return,
        };
        let Some((id, offset, hold)) = self.out.get(&number).cloned() else { return };
        let base = offset - offset % self.extent_bytes;
        let part = match part {
            Part::Data { offset, data } => Part::Data { offset: base + offset, data },
            Part::Hole { offset, length } => Part::Hole { offset: base + offset, length },
            part => part,
        };
        if matches!(part, Part::Final(_)) {
            self.out.remove(&number);
        }
        out.push(Output::Reply { id, part, hold });
    }
}

impl Host for PassThrough {
    fn handle(&mut self, _: Duration, inputs: Vec<Input>) -> Vec<Output> {
        let mut out = Vec::new();
        if !std::mem::replace(&mut self.begun, true) {
            out.push(Output::List(ToList::Subscribe));
            out.push(Output::Wake(Duration::MAX / 4));
        }
        inputs.into_iter().for_each(|input| self.take(input, &mut out));
        out
    }

    fn open(&self) -> usize {
        self.out.len()
    }
}

/// A host timed from outside: what it takes of the loop.
pub struct Timed<H> {
    pub host: H,
    pub spent: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

impl<H: Host> Host for Timed<H> {
    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        let began = Instant::now();
        let out = self.host.handle(now, inputs);
        self.spent.fetch_add(began.elapsed().as_nanos() as u64, std::sync::atomic::Ordering::Relaxed);
        out
    }

    fn open(&self) -> usize {
        self.host.open()
    }
}

/// Work kinds that the measurements use.
pub const WORKS: [(&str, Work); 2] = [("read", Work::Read), ("write", Work::Write)];
