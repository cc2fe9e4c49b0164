//! Client side: encodes requests and reads responses.

use bytes::{Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::{EncodedMessage, Headers, Limits, Malformed, head};

/// Maximum number of interim responses (RFC 9110, 15.2) before one final response.
const MAX_INTERIM: usize = 8;
/// Unit in which the system assigns memory, in bytes.
const PAGE: usize = 4096;
/// Initial capacity for an encoded head, in bytes.
const HEAD_CAPACITY: usize = 256;

/// The head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Whether the server accepts another request on this connection.
    pub persists: bool,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Status and header fields.
    pub head: Head,
    /// The decoded body.
    pub body: Bytes,
}

/// Reads one response. Bytes that follow it stay in `bytes`.
pub struct ResponseReader {
    limits: Limits,
    interim_count: usize,
    decoder: Option<Decoder>,
    head: Option<Head>,
    body: BytesMut,
    /// Bytes received and not parsed yet.
    pub bytes: BytesMut,
}

impl ResponseReader {
    /// Creates a reader positioned at the start of a response.
    pub fn new(limits: Limits) -> ResponseReader {
        ResponseReader {
            limits,
            interim_count: 0,
            decoder: None,
            head: None,
            body: BytesMut::new(),
            bytes: BytesMut::new(),
        }
    }

    /// The head of the response, or `None` until it has been received. Interim responses before it are
    /// skipped.
    ///
    /// # Errors
    /// The bytes are not a valid response, or the response exceeds the limits.
    pub fn head(&mut self) -> Result<Option<&Head>, Malformed> {
        while self.head.is_none() {
            let Some((head, minor)) = self.parse_head()? else { return Ok(None) };
            match head.status {
                101 => return Err(Malformed::Interim),
                100..200 if self.interim_count < MAX_INTERIM => self.interim_count += 1,
                100..200 => return Err(Malformed::Interim),
                204 | 304 => self.begin_body(head, Framing::Length(0)),
                _ => {
                    let framing = head.headers.framing()?.unwrap_or(Framing::UntilClose);
                    if minor == 0 && framing == Framing::Chunked {
                        return Err(Malformed::Coding);
                    }
                    if matches!(framing, Framing::Length(length) if length > self.limits.body as u64) {
                        return Err(Malformed::BodyTooLong(self.limits.body));
                    }
                    self.begin_body(head, framing);
                }
            }
        }
        Ok(self.head.as_ref())
    }

    fn begin_body(&mut self, head: Head, framing: Framing) {
        if let Framing::Length(length) = framing {
            // The limit was checked. The part of the capacity that is not filled uses no memory.
            self.body = BytesMut::with_capacity(length as usize);
        }
        self.head = Some(head);
        self.decoder = Some(Decoder::new(framing));
    }

    fn parse_head(&mut self) -> Result<Option<(Head, u8)>, Malformed> {
        head::consume(&mut self.bytes, self.limits, |bytes| {
            let mut fields = [httparse::EMPTY_HEADER; head::MAX_FIELDS];
            let mut head = httparse::Response::new(&mut fields);
            let httparse::Status::Complete(length) = head.parse(bytes)? else { return Ok(None) };
            let headers = Headers::from_parsed(head.headers);
            let minor = head.version.unwrap_or_default();
            let persists = headers.persists(minor);
            let head = Head { status: head.code.unwrap_or_default(), headers, persists };
            Ok(Some((length, (head, minor))))
        })
    }

    /// Handles a connection close that was not a reset. Returns the response if the close ends its body
    /// (section 6.3).
    ///
    /// Hazard: a reset does not end a body. The part of such a response received before a reset may be
    /// truncated.
    ///
    /// # Errors
    /// The bytes are not a valid response, or the response exceeds the limits.
    pub fn on_close(&mut self) -> Result<Option<Response>, Malformed> {
        let is_end = self.decoder.as_mut().is_some_and(Decoder::on_close);
        if is_end { self.response() } else { Ok(None) }
    }

    /// Streams a body: moves the body bytes received so far to `destination`. Returns true once the body has
    /// ended.
    ///
    /// # Errors
    /// The bytes are not a valid response, or the response exceeds the limits.
    pub fn read_body(&mut self, destination: &mut BytesMut) -> Result<bool, Malformed> {
        if self.head()?.is_none() {
            return Ok(false);
        }
        self.decoder.as_mut().map_or(Ok(false), |decoder| decoder.decode(&mut self.bytes, destination))
    }

    /// Memory held for the part of the body received so far, in bytes.
    pub fn body_memory(&self) -> usize {
        self.body.len().next_multiple_of(PAGE).min(self.body.capacity())
    }

    /// The complete response, or `None` until it has been received.
    ///
    /// # Errors
    /// The bytes are not a valid response, or the response exceeds the limits.
    pub fn response(&mut self) -> Result<Option<Response>, Malformed> {
        if self.head()?.is_none() {
            return Ok(None);
        }
        let Some(decoder) = &mut self.decoder else { return Ok(None) };
        let is_complete = decoder.decode(&mut self.bytes, &mut self.body)?;
        if self.body.len() > self.limits.body {
            return Err(Malformed::BodyTooLong(self.limits.body));
        }
        if !is_complete {
            return Ok(None);
        }
        self.decoder = None;
        let body = std::mem::take(&mut self.body).freeze();
        Ok(self.head.take().map(|head| Response { head, body }))
    }
}

/// Encodes a request. The caller has checked that the target and the header fields contain no line break.
pub fn request(method: &str, target: &str, host: &str, headers: &[(&str, &[u8])], body: &[u8]) -> Bytes {
    encode_request(method, target, host, headers, Bytes::copy_from_slice(body)).to_bytes()
}

/// Encodes a request as [`request`] does, without copying its body.
pub fn encode_request(
    method: &str,
    target: &str,
    host: &str,
    headers: &[(&str, &[u8])],
    body: Bytes,
) -> EncodedMessage {
    let mut head = BytesMut::with_capacity(HEAD_CAPACITY);
    head.extend_from_slice(format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n").as_bytes());
    encode_fields(&mut head, headers, body.len());
    head.extend_from_slice(b"\r\n");
    EncodedMessage { head: head.freeze(), body }
}

/// Encodes header fields, followed by the `Content-Length` of the body.
pub(crate) fn encode_fields(bytes: &mut BytesMut, fields: &[(&str, &[u8])], body_length: usize) {
    for (name, value) in fields {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            bytes.extend_from_slice(part);
        }
    }
    bytes.extend_from_slice(format!("Content-Length: {body_length}\r\n").as_bytes());
}
