//! Replies to requests: put together from their parts, and handed to those who wait.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use tokio::sync::oneshot;
use umbertray_nbd::{Chunk, Errno, Extent, Reply};

/// Stands for the request's own offset, which a simple reply does not repeat.
const REQUEST_OFFSET: u64 = u64::MAX;

/// A whole reply, put together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Whole {
    /// Error that the server reported, with its message.
    pub error: Option<(Errno, String)>,
    /// A read's data by offset; holes have none. A simple reply does not say its offset: it has [`u64::MAX`].
    pub data: Vec<(u64, Bytes)>,
    /// Holes of a read: offset and length in bytes.
    pub holes: Vec<(u64, u32)>,
    /// Extents of a block status reply.
    pub extents: Vec<Extent>,
    /// Chunks that came, the last included.
    pub chunks: u32,
}

impl Whole {
    /// A read's data in one buffer, zeros where there are holes; absent where parts are missing or overlap.
    pub fn bytes(&self, offset: u64, length: u32) -> Option<Vec<u8>> {
        let mut whole = vec![0; length as usize];
        let mut covered = 0;
        for (at, data) in &self.data {
            let at = if *at == REQUEST_OFFSET { offset } else { *at };
            let from = usize::try_from(at.checked_sub(offset)?).ok()?;
            whole.get_mut(from..from + data.len())?.copy_from_slice(data);
            covered += data.len() as u64;
        }
        covered += self.holes.iter().map(|(_, length)| u64::from(*length)).sum::<u64>();
        (covered == u64::from(length)).then_some(whole)
    }
}

/// How a request ended for the client: the reply, or none since the connection ended.
pub type Ended = Option<Whole>;

/// A request without its whole reply yet.
struct PendingRequest {
    whole: Whole,
    sender: oneshot::Sender<Ended>,
}

/// The requests of a connection that have no whole reply yet, by their cookies.
#[derive(Default)]
pub(super) struct PendingRequests {
    by_cookie: HashMap<u64, PendingRequest>,
    strays: Vec<String>,
    closed: bool,
}

pub(super) type SharedRequests = Arc<Mutex<PendingRequests>>;

pub(super) fn lock(requests: &SharedRequests) -> MutexGuard<'_, PendingRequests> {
    requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl PendingRequests {
    /// Adds a request; once the connection has ended, its sender gets that at once and the request is not to be sent.
    pub(super) fn add(&mut self, cookie: u64, sender: oneshot::Sender<Ended>) -> bool {
        if self.closed {
            _ = sender.send(None);
            return false;
        }
        self.by_cookie.insert(cookie, PendingRequest { whole: Whole::default(), sender });
        true
    }

    /// Tells all that wait that the connection has ended; replies that still come in are ignored.
    pub(super) fn close(&mut self) {
        self.closed = true;
        for (_, request) in self.by_cookie.drain() {
            _ = request.sender.send(None);
        }
    }

    /// Replies that answered nothing.
    pub(super) fn strays(&self) -> &[String] {
        &self.strays
    }

    pub(super) fn add_stray(&mut self, stray: String) {
        self.strays.push(stray);
    }

    /// Takes a simple reply or a chunk in, and hands over a reply that is whole with it.
    pub(super) fn receive(&mut self, reply: Reply) {
        if self.closed {
            return;
        }
        let (cookie, done) = match &reply {
            Reply::Simple { cookie, .. } => (*cookie, true),
            Reply::Chunk { cookie, done, .. } => (*cookie, *done),
        };
        let Some(request) = self.by_cookie.get_mut(&cookie) else {
            return self.add_stray(format!("reply to cookie {cookie}, which is not open"));
        };
        request.whole.add(reply);
        if done && let Some(PendingRequest { whole, sender }) = self.by_cookie.remove(&cookie) {
            _ = sender.send(Some(whole));
        }
    }
}

impl Whole {
    fn add(&mut self, reply: Reply) {
        self.chunks += 1;
        match reply {
            Reply::Simple { error, data, .. } => {
                self.error = error.map(|errno| (errno, String::new()));
                self.data = if data.is_empty() { Vec::new() } else { vec![(REQUEST_OFFSET, data)] };
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
