//! Replies to requests: assembled from their chunks, and passed to the callers that wait for them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use tokio::sync::oneshot;
use umbertray_nbd::{Chunk, Errno, Extent, Reply};

/// Represents the offset of the request, which a simple reply does not contain.
const IMPLIED_OFFSET: u64 = u64::MAX;

/// A complete reply, assembled from all its chunks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompleteReply {
    /// Error that the server reported, with its message; a simple reply has none.
    pub error: Option<(Errno, String)>,
    /// Data of a read, with the offset of each part. The offset is [`u64::MAX`] for data of a simple reply,
    /// which does not contain it.
    pub data: Vec<(u64, Bytes)>,
    /// Holes of a read: offset and length in bytes.
    pub holes: Vec<(u64, u32)>,
    /// Extents of a block status reply.
    pub extents: Vec<Extent>,
    /// Number of chunks in the reply; 1 for a simple reply.
    pub chunks: u32,
}

impl CompleteReply {
    /// A read's data in one buffer, with zeros in place of holes. `None` if parts are missing or overlap, so
    /// that their lengths do not add up to `length`, or if one lies outside the range.
    pub fn bytes(&self, offset: u64, length: u32) -> Option<Vec<u8>> {
        let mut buffer = vec![0; length as usize];
        let mut covered = 0;
        for (data_offset, data) in &self.data {
            let data_offset = if *data_offset == IMPLIED_OFFSET { offset } else { *data_offset };
            let from = usize::try_from(data_offset.checked_sub(offset)?).ok()?;
            buffer.get_mut(from..from + data.len())?.copy_from_slice(data);
            covered += data.len() as u64;
        }
        covered += self.holes.iter().map(|(_, length)| u64::from(*length)).sum::<u64>();
        (covered == u64::from(length)).then_some(buffer)
    }
}

/// How a request ended: with its complete reply, or `None` because the connection ended first.
pub type RequestOutcome = Option<CompleteReply>;

/// A request whose reply is not complete yet.
struct PendingRequest {
    reply: CompleteReply,
    sender: oneshot::Sender<RequestOutcome>,
}

/// The pending requests of a connection.
#[derive(Default)]
pub(super) struct PendingRequests {
    /// Requests whose reply is not complete yet, by their cookie.
    by_cookie: HashMap<u64, PendingRequest>,
    unmatched_replies: Vec<String>,
    is_closed: bool,
}

pub(super) type SharedRequests = Arc<Mutex<PendingRequests>>;

pub(super) fn lock(requests: &SharedRequests) -> MutexGuard<'_, PendingRequests> {
    requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl PendingRequests {
    /// Adds a request, and returns whether it is to be sent. Once the connection has ended it is not:
    /// `sender` receives `None` immediately.
    pub(super) fn add(&mut self, cookie: u64, sender: oneshot::Sender<RequestOutcome>) -> bool {
        if self.is_closed {
            _ = sender.send(None);
            return false;
        }
        self.by_cookie.insert(cookie, PendingRequest { reply: CompleteReply::default(), sender });
        true
    }

    /// Ends all pending requests without a reply, because the connection has ended. Later replies are
    /// ignored.
    pub(super) fn close(&mut self) {
        self.is_closed = true;
        for (_, request) in self.by_cookie.drain() {
            _ = request.sender.send(None);
        }
    }

    /// Messages about replies that matched no pending request, and about malformed data.
    pub(super) fn unmatched_replies(&self) -> &[String] {
        &self.unmatched_replies
    }

    pub(super) fn add_unmatched_reply(&mut self, message: String) {
        self.unmatched_replies.push(message);
    }

    /// Adds a simple reply or a chunk to the pending request's reply; once that is complete, passes it to the
    /// caller.
    pub(super) fn receive(&mut self, reply: Reply) {
        if self.is_closed {
            return;
        }
        let (cookie, is_last) = match &reply {
            Reply::Simple { cookie, .. } => (*cookie, true),
            Reply::Chunk { cookie, is_last, .. } => (*cookie, *is_last),
        };
        let Some(request) = self.by_cookie.get_mut(&cookie) else {
            return self
                .add_unmatched_reply(format!("reply to cookie {cookie}, which has no pending request"));
        };
        request.reply.add(reply);
        if is_last && let Some(PendingRequest { reply, sender }) = self.by_cookie.remove(&cookie) {
            _ = sender.send(Some(reply));
        }
    }
}

impl CompleteReply {
    fn add(&mut self, reply: Reply) {
        self.chunks += 1;
        match reply {
            Reply::Simple { error, data, .. } => {
                self.error = error.map(|errno| (errno, String::new()));
                self.data = if data.is_empty() { Vec::new() } else { vec![(IMPLIED_OFFSET, data)] };
            }
            Reply::Chunk { chunk, .. } => self.add_chunk(chunk),
        }
    }

    fn add_chunk(&mut self, chunk: Chunk) {
        match chunk {
            Chunk::Data { offset, data } => self.data.push((offset, data)),
            Chunk::Hole { offset, length } => self.holes.push((offset, length)),
            Chunk::BlockStatus { extents, .. } => self.extents = extents,
            Chunk::Error { errno, message, .. } => self.error = Some((errno, message)),
            Chunk::None => {}
        }
    }
}
