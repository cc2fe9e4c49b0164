//! Transmission: requests and their replies.

use bytes::{Buf, Bytes, BytesMut};

use super::{Session, SessionEvent, State};
use crate::ProtocolError;
use crate::proto::{
    Chunk, Command, Errno, Export, REQUEST_HEADER_BYTES, REQUEST_MAGIC, Request, RequestHeader, put_chunk,
    put_simple_reply, read_request_header,
};

/// Why a request is rejected.
struct Rejection {
    errno: Errno,
    reason: &'static str,
}

impl Rejection {
    fn invalid(reason: &'static str) -> Rejection {
        Rejection { errno: Errno::Inval, reason }
    }
}

impl RequestHeader {
    fn is_write(&self) -> bool {
        self.command == Command::Write.number()
    }

    /// Length of the payload after the header, bytes.
    fn payload_length(&self) -> usize {
        if self.is_write() { self.length as usize } else { 0 }
    }
}

impl Session {
    /// Rejects the request whose header was received, instead of waiting for a buffer: its error reply is
    /// written now, and its payload is discarded as it is received. Returns false if the request cannot be
    /// rejected: a disconnect has no reply, and if the cookie is already open, the reply to its request is
    /// still pending.
    pub fn reject(&mut self, errno: Errno, message: String) -> bool {
        let can_reject = |header: &RequestHeader| {
            header.command != Command::Disc.number() && !self.open_cookies.contains(&header.cookie)
        };
        let Some(header) = self.pending_header.take_if(|header| can_reject(header)) else { return false };
        self.payload_to_discard = header.payload_length();
        self.put_error(header.cookie, errno, message);
        true
    }

    /// Reads a request in two steps: first its header; then, in the next calls, which the caller makes once
    /// it has a buffer, its payload.
    pub(super) fn receive_request(&mut self, input: &mut BytesMut) -> Result<SessionEvent, ProtocolError> {
        self.discard_payload(input);
        match self.pending_header {
            None => self.receive_header(input),
            Some(_) => self.receive_payload(input),
        }
    }

    fn discard_payload(&mut self, input: &mut BytesMut) {
        let discarded = self.payload_to_discard.min(input.len());
        input.advance(discarded);
        self.payload_to_discard -= discarded;
    }

    fn receive_header(&mut self, input: &mut BytesMut) -> Result<SessionEvent, ProtocolError> {
        let State::Transmission(export) = &self.state else { return Ok(SessionEvent::Incomplete) };
        let Some(bytes) = input.first_chunk::<REQUEST_HEADER_BYTES>() else {
            return Ok(SessionEvent::Incomplete);
        };
        let header = read_request_header(bytes);
        if header.magic != REQUEST_MAGIC {
            return Err(ProtocolError::WrongMagic { message: "a request", found: header.magic.into() });
        }
        let limit = export.block_sizes.maximum;
        // A payload over the limit is not discarded, since receiving it could take arbitrarily long. The
        // specification permits the server to disconnect.
        if header.is_write() && header.length > limit {
            return Err(ProtocolError::PayloadTooLong { length: header.length, limit });
        }
        input.advance(REQUEST_HEADER_BYTES);
        let needs_buffer =
            matches!(Command::from_number(header.command), Some(Command::Write | Command::Read));
        let bytes = if needs_buffer { header.length.min(limit) } else { 0 };
        self.pending_header = Some(header);
        Ok(SessionEvent::HeaderReceived { bytes })
    }

    fn receive_payload(&mut self, input: &mut BytesMut) -> Result<SessionEvent, ProtocolError> {
        let State::Transmission(export) = &self.state else { return Ok(SessionEvent::Incomplete) };
        let Some(header) = &self.pending_header else { return Ok(SessionEvent::Incomplete) };
        if input.len() < header.payload_length() {
            return Ok(SessionEvent::Incomplete);
        }
        if self.open_cookies.contains(&header.cookie) {
            return Err(ProtocolError::ReusedCookie(header.cookie));
        }
        let payload = input.split_to(header.payload_length()).freeze();
        let command = self.validate(header, export);
        let RequestHeader { cookie, flags, offset, length, .. } = *header;
        self.pending_header = None;
        Ok(match command {
            Ok(Command::Disc) => {
                self.state = State::Ended;
                SessionEvent::Disconnected
            }
            Ok(command) => {
                self.open_cookies.insert(cookie);
                SessionEvent::Request(Request { cookie, command, flags, offset, length, payload })
            }
            Err(Rejection { errno, reason }) => {
                self.put_error(cookie, errno, reason.into());
                SessionEvent::Rejected { cookie, errno, reason }
            }
        })
    }

    /// Checks a request, and returns its command.
    fn validate(&self, header: &RequestHeader, export: &Export) -> Result<Command, Rejection> {
        let command = Command::from_number(header.command).ok_or(Rejection::invalid("unknown command"))?;
        if command == Command::Disc {
            return Ok(command);
        }
        if self.is_shutting_down {
            return Err(Rejection { errno: Errno::Shutdown, reason: "the server is shutting down" });
        }
        if header.flags & !command.allowed_flags() != 0 {
            return Err(Rejection::invalid("flags that do not go with the command"));
        }
        if command == Command::BlockStatus && self.allocation_export.is_none() {
            return Err(Rejection::invalid("no metadata context was selected"));
        }
        if command == Command::Flush {
            let is_empty = header.offset == 0 && header.length == 0;
            return if is_empty { Ok(command) } else { Err(Rejection::invalid("a flush names no range")) };
        }
        validate_range(command, header, export)?;
        Ok(command)
    }

    /// Writes one chunk of a structured reply, except the bytes of a data chunk. These are returned, so that
    /// the caller can send them after the output without copying them.
    pub fn put_chunk(&mut self, cookie: u64, chunk: Chunk, is_last: bool) -> Option<Bytes> {
        if is_last {
            self.open_cookies.remove(&cookie);
        }
        put_chunk(&mut self.output, cookie, chunk, is_last)
    }

    /// Writes a successful simple reply; for a read, the caller must send the data after it.
    pub fn put_simple_reply(&mut self, cookie: u64) {
        self.open_cookies.remove(&cookie);
        put_simple_reply(&mut self.output, cookie, 0);
    }

    /// Writes the final reply of a failed request, as a structured reply if these were negotiated.
    pub fn put_error(&mut self, cookie: u64, errno: Errno, message: String) {
        self.open_cookies.remove(&cookie);
        if self.has_structured_replies {
            put_chunk(&mut self.output, cookie, Chunk::Error { errno, message, offset: None }, true);
        } else {
            put_simple_reply(&mut self.output, cookie, errno.number());
        }
    }
}

fn validate_range(command: Command, header: &RequestHeader, export: &Export) -> Result<(), Rejection> {
    let minimum = u64::from(export.block_sizes.minimum);
    let length = u64::from(header.length);
    if length == 0 {
        return Err(Rejection::invalid("an empty range"));
    }
    if !header.offset.is_multiple_of(minimum) || !length.is_multiple_of(minimum) {
        return Err(Rejection::invalid("a range that is not a multiple of the minimum block size"));
    }
    if header.offset.checked_add(length).is_none_or(|end| end > export.size) {
        let errno = if command.modifies_export() { Errno::NoSpc } else { Errno::Inval };
        return Err(Rejection { errno, reason: "a range beyond the export's end" });
    }
    if command == Command::Read && header.length > export.block_sizes.maximum {
        return Err(Rejection::invalid("a read over the maximum block size"));
    }
    Ok(())
}
