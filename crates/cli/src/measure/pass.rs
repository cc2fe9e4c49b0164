//! The baseline: the same sockets, codecs and loop, and nothing decided. Each request goes at once to the store that its
//! first extent falls to by count; what a store says goes straight back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use umbertray_routing::{
    BufferGuard, FinalResult, Input, Output, ReplyPart, RequestHandler, RequestId, Settings, StoreId,
};
use umbertray_store_protocol::list::{EndpointState, FromList, ToList};
use umbertray_store_protocol::store::{Attempt, FromStore, OperationKind, ResultCode, ToStore};
use umbertray_store_protocol::volume_id;

pub struct PassThrough {
    extent_bytes: u64,
    volumes: Vec<u64>,
    stores: Vec<StoreId>,
    out: HashMap<u64, (RequestId, u64, BufferGuard)>,
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
            Input::FromList(FromList::Full(entries)) => {
                for (n, entry) in
                    entries.iter().filter(|entry| entry.state == EndpointState::Ready).enumerate()
                {
                    let store = StoreId(n as u32);
                    self.stores.push(store);
                    out.push(Output::ConnectStore { store, address: entry.address });
                }
            }
            Input::Request(request) => {
                self.next += 1;
                let (number, extent) = (self.next, request.offset / self.extent_bytes);
                let store = self.stores[extent as usize % self.stores.len()];
                self.out.insert(number, (request.id, request.offset, request.hold.clone()));
                let message = ToStore::Attempt(Attempt {
                    number,
                    op: number,
                    volume: self.volumes[request.volume],
                    extent,
                    epoch: 0,
                    kind: request.kind,
                    offset: (request.offset % self.extent_bytes) as u32,
                    length: request.length,
                    units: 1.0,
                    not_after: u64::MAX / 2,
                    supersedes: Vec::new(),
                    durable: request.durable,
                    data: request.data,
                });
                out.push(Output::ToStore { store, message, hold: Some(request.hold) });
            }
            Input::FromStore { message, .. } => self.answer(message, out),
            _ => {}
        }
    }

    fn answer(&mut self, message: FromStore, out: &mut Vec<Output>) {
        let (number, part) = match message {
            FromStore::Data { number, offset, data } => {
                (number, ReplyPart::Data { offset: offset.into(), data })
            }
            FromStore::Hole { number, offset, length } => {
                (number, ReplyPart::Hole { offset: offset.into(), length })
            }
            FromStore::AttemptResult(answer) if answer.code == Ok(ResultCode::Succeeded) => {
                (answer.number, ReplyPart::Final(FinalResult::Succeeded))
            }
            FromStore::AttemptResult(answer) => (answer.number, ReplyPart::Final(FinalResult::Failed)),
            FromStore::Welcome { .. } | FromStore::OrderReply { .. } | FromStore::Healthy { .. } => return,
        };
        let Some((id, offset, hold)) = self.out.get(&number).cloned() else { return };
        let base = offset - offset % self.extent_bytes;
        let part = match part {
            ReplyPart::Data { offset, data } => ReplyPart::Data { offset: base + offset, data },
            ReplyPart::Hole { offset, length } => ReplyPart::Hole { offset: base + offset, length },
            part => part,
        };
        if matches!(part, ReplyPart::Final(_)) {
            self.out.remove(&number);
        }
        out.push(Output::Reply { id, part, hold });
    }
}

impl RequestHandler for PassThrough {
    fn handle(&mut self, _: Duration, inputs: Vec<Input>) -> Vec<Output> {
        let mut out = Vec::new();
        if !std::mem::replace(&mut self.begun, true) {
            out.push(Output::ToList(ToList::Watch));
            out.push(Output::SetTimer(Duration::MAX / 4));
        }
        inputs.into_iter().for_each(|input| self.take(input, &mut out));
        out
    }

    fn open_requests(&self) -> usize {
        self.out.len()
    }
}

/// A host timed from outside: what it takes of the loop.
pub struct Timed<H> {
    pub host: H,
    pub spent: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

impl<H: RequestHandler> RequestHandler for Timed<H> {
    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        let began = Instant::now();
        let out = self.host.handle(now, inputs);
        self.spent.fetch_add(began.elapsed().as_nanos() as u64, std::sync::atomic::Ordering::Relaxed);
        out
    }

    fn open_requests(&self) -> usize {
        self.host.open_requests()
    }
}

/// Work kinds that the measurements use.
pub const WORKS: [(&str, OperationKind); 2] =
    [("read", OperationKind::Read), ("write", OperationKind::Write)];
