//! What one client connection has received and not submitted yet, and the memory for it.
//!
//! It is shared with the table of connections, so that a request that is not complete can be discarded at
//! once when its memory is needed.

use std::io::ErrorKind;
use std::time::Instant;

use bytes::BytesMut;
use umbertray_http::Malformed;
use umbertray_http::server::{RequestEvent, RequestReader};
use umbertray_socket::Socket;

use crate::memory_budget::{ALWAYS_AVAILABLE, Reservation};

/// Minimum capacity for one read, in bytes.
const MIN_READ_SIZE: usize = 2048;
/// Maximum capacity for one read, in bytes.
const MAX_READ_SIZE: usize = 16 * 1024;

/// What is read behind requests that are not answered yet gets this part of the memory for requests: a half.
const READ_AHEAD_SHARE: usize = 2;

/// What came of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// Bytes, which are in the reader's buffer.
    Bytes,
    /// The client has closed the connection.
    Closed,
}

/// Position in the order in which partial requests are discarded, lowest first: those that wait for their
/// client, by how long they have, then those whose next bytes are there, by how long they have been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    has_unread_bytes: bool,
    since: Instant,
}

/// Received bytes and requests of one connection.
///
/// Invariant: outside of a method, `memory` is the memory of `requests`, or what is reserved for the next
/// read.
pub(crate) struct ClientInput {
    requests: RequestReader,
    memory: Reservation,
    /// Since when much memory is held for a request whose body is being received.
    large_since: Option<Instant>,
    /// Since when the client has sent nothing more; `None` if more may be there.
    waiting_since: Option<Instant>,
}

impl ClientInput {
    pub(crate) fn new(requests: RequestReader, memory: Reservation) -> ClientInput {
        ClientInput { requests, memory, large_since: None, waiting_since: None }
    }

    /// Whether part of a request has been received.
    pub(crate) fn has_begun(&self) -> bool {
        self.requests.has_begun()
    }

    /// Number of bytes that are received and not parsed.
    pub(crate) fn unparsed(&self) -> usize {
        self.requests.bytes.len()
    }

    /// The rank for eviction; `None` if that would free little memory.
    pub(crate) fn eviction_rank(&self) -> Option<EvictionRank> {
        let since = self.large_since?;
        Some(EvictionRank {
            has_unread_bytes: self.waiting_since.is_none(),
            since: self.waiting_since.unwrap_or(since),
        })
    }

    /// Reserves memory for the next read. Returns false if the budget is used up. For a head, whose length is
    /// limited, there is always memory.
    pub(crate) fn try_reserve(&mut self) -> bool {
        let size = self.requests.memory_to_receive(self.read_size());
        if self.requests.is_receiving_body() {
            return self.memory.try_resize(size);
        }
        self.memory.resize(size);
        true
    }

    /// Reads bytes that are available; `None` if there are none. A connection without bytes holds no buffer.
    pub(crate) fn receive(&mut self, stream: &Socket) -> Option<Received> {
        self.receive_up_to(stream, self.read_size())
    }

    fn receive_up_to(&mut self, stream: &Socket, size: usize) -> Option<Received> {
        self.requests.bytes.reserve(size);
        let received = match stream.try_read_buf(&mut self.requests.bytes) {
            Ok(1..) => Some(Received::Bytes),
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            _ => Some(Received::Closed),
        };
        let waiting_since = self.waiting_since.unwrap_or_else(Instant::now);
        self.waiting_since = received.is_none().then_some(waiting_since);
        self.release_unused();
        received
    }

    /// As [`ClientInput::try_reserve`], for a read behind a request that is not answered yet: at most
    /// `max_length` bytes are kept unparsed. They cannot be evicted, so they get only a part of the budget.
    pub(crate) fn try_reserve_behind(&mut self, max_length: usize) -> bool {
        let size = self.requests.memory_to_receive(self.read_ahead_size());
        self.unparsed() < max_length && self.memory.try_resize_part(size, READ_AHEAD_SHARE)
    }

    /// As [`ClientInput::receive`], for a read behind a request that is not answered yet.
    pub(crate) fn receive_behind(&mut self, stream: &Socket) -> Option<Received> {
        self.receive_up_to(stream, self.read_ahead_size())
    }

    /// Whether every request from now on is discarded, beginning with the one that is being received.
    pub(crate) fn discard_requests(&mut self, discard: bool) {
        self.requests.discard_requests(discard);
        self.account();
    }

    /// Drops the bytes that are not parsed.
    pub(crate) fn drop_unparsed(&mut self) {
        self.requests.bytes.clear();
        self.release_unused();
    }

    /// Drops everything received; no request is read any more.
    pub(crate) fn clear(&mut self) {
        self.requests.discard_partial();
        self.drop_unparsed();
    }

    /// The next complete request, or the error in the bytes received.
    pub(crate) fn next_event(&mut self) -> Result<RequestEvent, Malformed> {
        let next = self.requests.next_event();
        self.account();
        next
    }

    /// Frees the buffer if it holds no bytes.
    pub(crate) fn release_unused(&mut self) {
        if self.requests.bytes.is_empty() {
            self.requests.bytes = BytesMut::new();
        }
        self.account();
    }

    /// Discards the request whose body is being received, for its memory.
    pub(crate) fn evict(&mut self) {
        self.requests.discard_partial();
        self.release_unused();
    }

    fn read_size(&self) -> usize {
        self.requests.read_size(MIN_READ_SIZE, MAX_READ_SIZE)
    }

    /// Few bytes follow an ordinary request. If there are more, they are read in larger parts.
    fn read_ahead_size(&self) -> usize {
        self.unparsed().clamp(MIN_READ_SIZE, MAX_READ_SIZE)
    }

    fn account(&mut self) {
        let size = self.requests.memory();
        self.memory.resize(size);
        let is_large = size > ALWAYS_AVAILABLE && self.requests.is_receiving_body();
        let since = self.large_since.unwrap_or_else(Instant::now);
        self.large_since = is_large.then_some(since);
    }
}
