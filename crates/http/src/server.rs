//! Server side: reads requests and encodes responses.

use bytes::{Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::{EncodedMessage, Headers, Limits, Malformed, head};

/// Initial capacity for an encoded head, in bytes.
const HEAD_CAPACITY: usize = 192;

/// A complete request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The method.
    pub method: Box<str>,
    /// The request target: path and query.
    pub target: Box<str>,
    /// Header fields.
    pub headers: Headers,
    /// The decoded body.
    pub body: Bytes,
    /// Whether the client may send further requests on this connection.
    pub persists: bool,
}

/// Result of parsing the bytes received so far.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// More bytes are needed.
    More,
    /// The client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1).
    Continue,
    /// A complete request.
    Request(Request),
    /// A complete request that was discarded ([`RequestReader::discard_partial`]).
    Discarded {
        /// Whether the client may send further requests on this connection.
        persists: bool,
    },
}

/// A request whose head has been parsed.
struct PartialRequest {
    request: Request,
    /// Memory of `request`, in bytes.
    head_memory: usize,
    decoder: Decoder,
    body: BytesMut,
    is_discarded: bool,
    /// Length of the part of the body that was discarded.
    discarded: usize,
    expects_continue: bool,
}

impl PartialRequest {
    /// Capacity of the body's buffer after `available` more bytes have been decoded.
    fn capacity_for(&self, available: usize) -> usize {
        let length = self.body.len() + self.decoder.max_output(available);
        match length {
            0 => 0,
            _ if length <= self.body.capacity() => self.body.capacity(),
            _ => length.next_power_of_two().max(MIN_BODY_CAPACITY),
        }
    }

    /// Length of the body decoded so far.
    fn decoded(&self) -> usize {
        self.discarded + self.body.len()
    }

    /// Drops the header fields and the part of the body received so far.
    fn discard(&mut self) {
        self.is_discarded = true;
        self.request.headers = Headers::default();
        self.head_memory = 0;
        self.discarded = self.decoded();
        self.body = BytesMut::new();
    }

    fn grow_for(&mut self, available: usize) {
        let additional = self.capacity_for(available).saturating_sub(self.body.len());
        self.body.reserve(additional);
    }
}

/// Minimum capacity of a buffer for a body that has begun, in bytes.
const MIN_BODY_CAPACITY: usize = 256;

/// Reads the requests of one connection in sequence.
pub struct RequestReader {
    limits: Limits,
    discards_requests: bool,
    partial: Option<PartialRequest>,
    /// Bytes received and not parsed yet.
    pub bytes: BytesMut,
}

impl RequestReader {
    /// Creates a reader for a new connection.
    pub fn new(limits: Limits) -> RequestReader {
        RequestReader { limits, discards_requests: false, partial: None, bytes: BytesMut::new() }
    }

    /// Discards the request whose body is being received, if there is one: its end is still detected, and
    /// [`RequestEvent::Discarded`] is returned then.
    pub fn discard_partial(&mut self) {
        if let Some(partial) = &mut self.partial {
            partial.discard();
        }
    }

    /// Whether every request from now on is discarded, beginning with the one that is being received.
    pub fn discard_requests(&mut self, discard: bool) {
        self.discards_requests = discard;
        if discard {
            self.discard_partial();
        }
    }

    /// Whether the head of a request has been parsed, and its body is being received and kept.
    pub fn is_receiving_body(&self) -> bool {
        self.partial.as_ref().is_some_and(|partial| !partial.is_discarded)
    }

    /// Memory held for received bytes and for a request that is being read, in bytes.
    pub fn memory(&self) -> usize {
        let partial = self.partial.as_ref();
        let held = partial.map_or(0, |partial| partial.head_memory + partial.body.capacity());
        self.bytes.capacity() + held
    }

    /// Maximum memory held after `count` more bytes were received and parsed, unless they contain a head.
    pub fn memory_to_receive(&self, count: usize) -> usize {
        let received = self.bytes.len() + count;
        let bytes = received.next_power_of_two().max(self.bytes.capacity());
        let body = |partial: &PartialRequest| partial.capacity_for(received).max(partial.body.capacity());
        bytes + self.partial.as_ref().map_or(0, |partial| partial.head_memory + body(partial))
    }

    /// Capacity for the next read that suits what is being received, at most `max` bytes: the rest of a head
    /// or body within its limit. A body of unknown length and one that is discarded are read in parts of
    /// `min` bytes.
    pub fn read_size(&self, min: usize, max: usize) -> usize {
        match &self.partial {
            None => min.min(self.limits.head.saturating_sub(self.bytes.len()).max(1)),
            Some(partial) if partial.is_discarded => min,
            Some(partial) => {
                partial.decoder.known_remaining().saturating_sub(self.bytes.len()).clamp(min, max)
            }
        }
    }

    /// Whether part of a request has been received.
    pub fn has_begun(&self) -> bool {
        self.partial.is_some() || !self.bytes.is_empty()
    }

    /// Parses the bytes received so far.
    ///
    /// # Errors
    /// The bytes are not a valid request, or the request exceeds the limits. The bytes after it cannot be
    /// interpreted, so the connection has to be closed.
    pub fn next_event(&mut self) -> Result<RequestEvent, Malformed> {
        if self.partial.is_none() {
            self.partial = self.parse_head()?;
        }
        let Some(partial) = &mut self.partial else { return Ok(RequestEvent::More) };
        partial.grow_for(self.bytes.len());
        let is_complete = partial.decoder.decode(&mut self.bytes, &mut partial.body)?;
        if partial.decoded() > self.limits.body {
            return Err(Malformed::BodyTooLong(self.limits.body));
        }
        if partial.is_discarded {
            partial.discard();
        }
        if !is_complete {
            let send_continue = std::mem::take(&mut partial.expects_continue) && partial.decoded() == 0;
            return Ok(if send_continue { RequestEvent::Continue } else { RequestEvent::More });
        }
        let Some(PartialRequest { mut request, body, is_discarded, .. }) = self.partial.take() else {
            return Ok(RequestEvent::More);
        };
        if is_discarded {
            return Ok(RequestEvent::Discarded { persists: request.persists });
        }
        request.body = body.freeze();
        Ok(RequestEvent::Request(request))
    }

    fn parse_head(&mut self) -> Result<Option<PartialRequest>, Malformed> {
        let head = head::consume(&mut self.bytes, self.limits, |bytes| {
            let mut fields = [httparse::EMPTY_HEADER; head::MAX_FIELDS];
            let mut head = httparse::Request::new(&mut fields);
            let httparse::Status::Complete(length) = head.parse(bytes)? else { return Ok(None) };
            let headers = Headers::from_parsed(head.headers);
            let request = Request {
                method: head.method.unwrap_or_default().into(),
                target: head.path.unwrap_or_default().into(),
                persists: headers.persists(head.version.unwrap_or_default()),
                headers,
                body: Bytes::new(),
            };
            Ok(Some((length, (request, head.version.unwrap_or_default()))))
        })?;
        let Some((request, minor_version)) = head else { return Ok(None) };
        let headers = &request.headers;
        // `Host` must occur exactly once (section 3.2); HTTP/1.0 requests may omit it.
        let hosts = headers.all("Host").count();
        if hosts > 1 || hosts == 0 && minor_version >= 1 {
            return Err(Malformed::Host);
        }
        let framing = headers.framing()?.unwrap_or(Framing::Length(0));
        if matches!(framing, Framing::Length(length) if length > self.limits.body as u64) {
            return Err(Malformed::BodyTooLong(self.limits.body));
        }
        if minor_version == 0 && framing == Framing::Chunked {
            return Err(Malformed::Coding);
        }
        let expects_continue = headers.list_contains("Expect", "100-continue");
        let decoder = Decoder::new(framing);
        let head_memory = headers.memory() + request.method.len() + request.target.len();
        let mut partial = PartialRequest {
            request,
            head_memory,
            decoder,
            body: BytesMut::new(),
            is_discarded: false,
            discarded: 0,
            expects_continue,
        };
        if self.discards_requests {
            partial.discard();
        }
        Ok(Some(partial))
    }
}

/// The interim response for [`RequestEvent::Continue`].
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Reason phrases (RFC 9110, 15) of the status codes that this project sends.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}

impl Malformed {
    /// The status code of the error response to a request with this error.
    pub fn status(&self) -> u16 {
        match self {
            Malformed::HeadTooLong(_) => 431,
            Malformed::Version => 505,
            Malformed::Coding => 501,
            Malformed::BodyTooLong(_) => 413,
            _ => 400,
        }
    }
}

/// Encodes a response. Field names and values are the caller's own or were parsed by [`RequestReader`] or
/// [`crate::client::ResponseReader`], so they contain no line break.
pub fn response(status: u16, fields: &[(&str, &[u8])], body: &[u8], close: bool) -> Bytes {
    encode_response(status, fields, Bytes::copy_from_slice(body), close).to_bytes()
}

/// Encodes a response as [`response`] does, without copying its body.
pub fn encode_response(status: u16, fields: &[(&str, &[u8])], body: Bytes, close: bool) -> EncodedMessage {
    let mut head = BytesMut::with_capacity(HEAD_CAPACITY);
    head.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    crate::client::encode_fields(&mut head, fields, body.len());
    if close {
        head.extend_from_slice(b"Connection: close\r\n");
    }
    head.extend_from_slice(b"\r\n");
    EncodedMessage { head: head.freeze(), body }
}
