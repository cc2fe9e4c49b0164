//! The baseline: the same sockets, codecs and event loop, without scheduling. Each request is forwarded at
//! once, to the store whose index is that of the request's first extent modulo the number of stores, and the
//! store's reply is returned unchanged.

use std::collections::HashMap;
use std::time::Duration;

use umbertray_routing::{
    BufferGuard, FinalResult, Input, Output, ReplyPart, Request, RequestHandler, RequestId, Settings, StoreId,
};
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, ToList};
use umbertray_store_protocol::store::{Attempt, FromStore, ResultCode, ToStore};
use umbertray_store_protocol::volume_id;

pub(super) struct PassThrough {
    extent_bytes: u64,
    volumes: Vec<u64>,
    stores: Vec<StoreId>,
    /// Forwarded requests by the number of their attempt.
    forwarded: HashMap<u64, ForwardedRequest>,
    last_number: u64,
    is_started: bool,
}

#[derive(Clone)]
struct ForwardedRequest {
    id: RequestId,
    offset: u64,
    buffer_guard: BufferGuard,
}

impl PassThrough {
    pub(super) fn new(settings: &Settings) -> PassThrough {
        PassThrough {
            extent_bytes: settings.extent_bytes.into(),
            volumes: settings.volumes.iter().map(|volume| volume_id(&volume.name)).collect(),
            stores: Vec::new(),
            forwarded: HashMap::new(),
            last_number: 0,
            is_started: false,
        }
    }

    fn on_input(&mut self, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::FromList(FromList::Complete(entries)) => self.connect_stores(&entries, outputs),
            Input::Request(request) => outputs.push(self.forward(request)),
            Input::FromStore { message, .. } => outputs.extend(self.reply(message)),
            _ => {}
        }
    }

    fn connect_stores(&mut self, entries: &[ListedStore], outputs: &mut Vec<Output>) {
        let ready = entries.iter().filter(|entry| entry.state == EndpointState::Ready);
        for (index, entry) in ready.enumerate() {
            let store = StoreId(index as u32);
            self.stores.push(store);
            outputs.push(Output::ConnectStore { store, address: entry.address });
        }
    }

    fn forward(&mut self, request: Request) -> Output {
        self.last_number += 1;
        let number = self.last_number;
        let extent = request.offset / self.extent_bytes;
        let store = self.stores[extent as usize % self.stores.len()];
        let forwarded = ForwardedRequest {
            id: request.id,
            offset: request.offset,
            buffer_guard: request.buffer_guard.clone(),
        };
        self.forwarded.insert(number, forwarded);
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
        Output::ToStore { store, message, buffer_guard: Some(request.buffer_guard) }
    }

    /// Converts a store's message to a part of the reply to its request. Stores count offsets from the
    /// extent's start.
    fn reply(&mut self, message: FromStore) -> Option<Output> {
        let number = attempt_number(&message)?;
        let ForwardedRequest { id, offset, buffer_guard } = self.forwarded.get(&number).cloned()?;
        let extent_start = offset - offset % self.extent_bytes;
        let part = match message {
            FromStore::Data { offset, data, .. } => {
                ReplyPart::Data { offset: extent_start + u64::from(offset), data }
            }
            FromStore::Hole { offset, length, .. } => {
                ReplyPart::Hole { offset: extent_start + u64::from(offset), length }
            }
            FromStore::AttemptResult(result) => {
                self.forwarded.remove(&number);
                ReplyPart::Final(final_result(result.code == Ok(ResultCode::Succeeded)))
            }
            FromStore::Welcome { .. } | FromStore::OrderReply { .. } | FromStore::Healthy { .. } => {
                return None;
            }
        };
        Some(Output::Reply { id, part, buffer_guard })
    }
}

/// The number of the attempt that a message belongs to, if any.
fn attempt_number(message: &FromStore) -> Option<u64> {
    match message {
        FromStore::Data { number, .. } | FromStore::Hole { number, .. } => Some(*number),
        FromStore::AttemptResult(result) => Some(result.number),
        FromStore::Welcome { .. } | FromStore::OrderReply { .. } | FromStore::Healthy { .. } => None,
    }
}

fn final_result(has_succeeded: bool) -> FinalResult {
    if has_succeeded { FinalResult::Succeeded } else { FinalResult::Failed }
}

impl RequestHandler for PassThrough {
    fn handle(&mut self, _: Duration, inputs: Vec<Input>) -> Vec<Output> {
        let mut outputs = Vec::new();
        if !self.is_started {
            self.is_started = true;
            outputs.push(Output::ToList(ToList::Watch));
            outputs.push(Output::SetTimer(Duration::MAX / 4));
        }
        for input in inputs {
            self.on_input(input, &mut outputs);
        }
        outputs
    }

    fn open_requests(&self) -> usize {
        self.forwarded.len()
    }
}
