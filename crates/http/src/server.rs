//! Server side: reads requests and encodes responses.

use bytes::{Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::{Headers, Limits, Malformed, head};

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
}

/// A request whose head has been parsed.
struct PartialRequest {
    request: Request,
    decoder: Decoder,
    body: BytesMut,
    expects_continue: bool,
}

/// Reads the requests of one connection in sequence.
pub struct RequestReader {
    limits: Limits,
    partial: Option<PartialRequest>,
    /// Bytes received and not parsed yet.
    pub bytes: BytesMut,
}

impl RequestReader {
    /// Creates a reader for a new connection.
    pub fn new(limits: Limits) -> RequestReader {
        RequestReader { limits, partial: None, bytes: BytesMut::new() }
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
        let is_complete = partial.decoder.decode(&mut self.bytes, &mut partial.body)?;
        if partial.body.len() > self.limits.body {
            return Err(Malformed::BodyTooLong(self.limits.body));
        }
        if !is_complete {
            let send_continue = std::mem::take(&mut partial.expects_continue) && partial.body.is_empty();
            return Ok(if send_continue { RequestEvent::Continue } else { RequestEvent::More });
        }
        let Some(PartialRequest { mut request, body, .. }) = self.partial.take() else {
            return Ok(RequestEvent::More);
        };
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
        Ok(Some(PartialRequest { request, decoder, body: BytesMut::new(), expects_continue }))
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
    let mut bytes = BytesMut::with_capacity(192 + body.len());
    bytes.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    crate::client::encode_fields(&mut bytes, fields, body.len());
    if close {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes.freeze()
}
