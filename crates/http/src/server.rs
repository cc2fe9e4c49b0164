//! The server's side: requests off the bytes of a connection, answers onto it.

use bytes::{Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::{Headers, Limits, Malformed, head};

#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub method: Box<str>,
    pub target: Box<str>,
    pub headers: Headers,
    pub body: Bytes,
    /// The client will send more on this connection.
    pub persists: bool,
}

/// What can be had of the bytes so far.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// More bytes are needed.
    More,
    /// The client waits to be told to send its body (RFC 9110, 10.1.1).
    Continue,
    Request(Request),
}

struct Partial {
    request: Request,
    decoder: Decoder,
    body: BytesMut,
    expects: bool,
}

/// Reads the requests of one connection, one after the other.
pub struct RequestReader {
    limits: Limits,
    partial: Option<Partial>,
    /// What has come and was not taken yet.
    pub bytes: BytesMut,
}

impl RequestReader {
    pub fn new(limits: Limits) -> RequestReader {
        RequestReader { limits, partial: None, bytes: BytesMut::new() }
    }

    /// Part of a request has come.
    pub fn begun(&self) -> bool {
        self.partial.is_some() || !self.bytes.is_empty()
    }

    /// After an error nothing behind it can be told to be a request: the connection is to be closed.
    pub fn request(&mut self) -> Result<RequestEvent, Malformed> {
        if self.partial.is_none() {
            self.partial = self.begin()?;
        }
        let Some(partial) = &mut self.partial else { return Ok(RequestEvent::More) };
        let whole = partial.decoder.decode(&mut self.bytes, &mut partial.body)?;
        if partial.body.len() > self.limits.body {
            return Err(Malformed::BodyTooLong(self.limits.body));
        }
        if !whole {
            let told = std::mem::take(&mut partial.expects) && partial.body.is_empty();
            return Ok(if told { RequestEvent::Continue } else { RequestEvent::More });
        }
        let Some(Partial { mut request, body, .. }) = self.partial.take() else {
            return Ok(RequestEvent::More);
        };
        request.body = body.freeze();
        Ok(RequestEvent::Request(request))
    }

    fn begin(&mut self) -> Result<Option<Partial>, Malformed> {
        let head = head::take(&mut self.bytes, self.limits, |bytes| {
            let mut fields = [httparse::EMPTY_HEADER; head::MOST_FIELDS];
            let mut head = httparse::Request::new(&mut fields);
            let httparse::Status::Complete(length) = head.parse(bytes)? else { return Ok(None) };
            let headers = Headers::of(head.headers);
            let (method, target) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
            Ok(Some((length, (method.into(), target.into(), headers, head.version.unwrap_or_default()))))
        })?;
        let Some((method, target, headers, minor)) = head else { return Ok(None) };
        // Section 3.2; a request of HTTP/1.0 need not name one.
        let host = headers.all("Host").count();
        if host > 1 || host == 0 && minor >= 1 {
            return Err(Malformed::Host);
        }
        let framing = headers.framing()?.unwrap_or(Framing::Length(0));
        if matches!(framing, Framing::Length(length) if length > self.limits.body as u64) {
            return Err(Malformed::BodyTooLong(self.limits.body));
        }
        if minor == 0 && framing == Framing::Chunked {
            return Err(Malformed::Coding);
        }
        let (persists, expects) = (headers.persists(minor), headers.lists("Expect", "100-continue"));
        let request = Request { method, target, headers, body: Bytes::new(), persists };
        Ok(Some(Partial { request, decoder: Decoder::new(framing), body: BytesMut::new(), expects }))
    }
}

pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Section 15 of RFC 9110, as far as this project answers so.
fn reason(status: u16) -> &'static str {
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
    /// The status of the answer to a request that is so.
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

/// A whole answer; the names and values of fields are the caller's own or were read by [`RequestReader`] or
/// [`crate::client::ResponseReader`], so that they hold no end of line.
pub fn response(status: u16, fields: &[(&str, &[u8])], body: &[u8], close: bool) -> Bytes {
    let mut bytes = BytesMut::with_capacity(192 + body.len());
    bytes.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    crate::client::fields(&mut bytes, fields, body.len());
    if close {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes.freeze()
}
