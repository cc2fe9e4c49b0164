//! The client's side: requests onto a connection, answers off its bytes.

use bytes::{Bytes, BytesMut};

use crate::body::{Decoder, Framing};
use crate::{Headers, Limits, Malformed, head};

/// So many interim answers (RFC 9110, 15.2) are skipped before one answer.
const MOST_INTERIM: usize = 8;

#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    pub status: u16,
    pub headers: Headers,
    /// The server will take another request on this connection.
    pub persists: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub head: Head,
    pub body: Bytes,
}

/// Reads one answer; what is behind it stays in `bytes`.
pub struct ResponseReader {
    limits: Limits,
    skipped: usize,
    decoder: Option<Decoder>,
    head: Option<Head>,
    body: BytesMut,
    pub bytes: BytesMut,
}

impl ResponseReader {
    pub fn new(limits: Limits) -> ResponseReader {
        let (body, bytes) = (BytesMut::new(), BytesMut::new());
        ResponseReader { limits, skipped: 0, decoder: None, head: None, body, bytes }
    }

    /// The head of the answer, once it has come. Interim answers ahead of it are skipped.
    pub fn head(&mut self) -> Result<Option<&Head>, Malformed> {
        while self.head.is_none() {
            let Some((head, minor)) = self.take_head()? else { return Ok(None) };
            match head.status {
                101 => return Err(Malformed::Interim),
                100..200 if self.skipped < MOST_INTERIM => self.skipped += 1,
                100..200 => return Err(Malformed::Interim),
                204 | 304 => self.begin(head, Framing::Length(0)),
                _ => {
                    let framing = head.headers.framing()?.unwrap_or(Framing::UntilClose);
                    if minor == 0 && framing == Framing::Chunked {
                        return Err(Malformed::Coding);
                    }
                    if matches!(framing, Framing::Length(length) if length > self.limits.body as u64) {
                        return Err(Malformed::BodyTooLong(self.limits.body));
                    }
                    self.begin(head, framing);
                }
            }
        }
        Ok(self.head.as_ref())
    }

    fn begin(&mut self, head: Head, framing: Framing) {
        self.head = Some(head);
        self.decoder = Some(Decoder::new(framing));
    }

    fn take_head(&mut self) -> Result<Option<(Head, u8)>, Malformed> {
        head::take(&mut self.bytes, self.limits, |bytes| {
            let mut fields = [httparse::EMPTY_HEADER; head::MOST_FIELDS];
            let mut head = httparse::Response::new(&mut fields);
            let httparse::Status::Complete(length) = head.parse(bytes)? else { return Ok(None) };
            let headers = Headers::of(head.headers);
            let minor = head.version.unwrap_or_default();
            let persists = headers.persists(minor);
            let head = Head { status: head.code.unwrap_or_default(), headers, persists };
            Ok(Some((length, (head, minor))))
        })
    }

    /// The connection has ended in good order: the answer, if its body was to go up to there (RFC 9112, 6.3). Danger: a
    /// reset is no end; after one, what has come of such an answer may have been cut.
    pub fn closed(&mut self) -> Result<Option<Response>, Malformed> {
        let ends = self.decoder.as_mut().is_some_and(Decoder::closed);
        if ends { self.answer() } else { Ok(None) }
    }

    /// For a body that is read as it comes: moves what there is of it, and tells whether it has ended.
    pub fn stream(&mut self, into: &mut BytesMut) -> Result<bool, Malformed> {
        if self.head()?.is_none() {
            return Ok(false);
        }
        self.decoder.as_mut().map_or(Ok(false), |decoder| decoder.decode(&mut self.bytes, into))
    }

    /// How much of the answer's body has come, or will come as far as its head says.
    pub fn size(&self) -> usize {
        self.decoder.as_ref().map_or(0, |decoder| self.body.len().saturating_add(decoder.left()))
    }

    /// The whole answer, once it has come.
    pub fn answer(&mut self) -> Result<Option<Response>, Malformed> {
        if self.head()?.is_none() {
            return Ok(None);
        }
        let Some(decoder) = &mut self.decoder else { return Ok(None) };
        let whole = decoder.decode(&mut self.bytes, &mut self.body)?;
        if self.body.len() > self.limits.body {
            return Err(Malformed::BodyTooLong(self.limits.body));
        }
        if !whole {
            return Ok(None);
        }
        self.decoder = None;
        let body = std::mem::take(&mut self.body).freeze();
        Ok(self.head.take().map(|head| Response { head, body }))
    }
}

/// A whole request; the caller has checked that the target and the fields hold no end of line.
pub fn request(method: &str, target: &str, host: &str, told: &[(&str, &[u8])], body: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(256 + body.len());
    bytes.extend_from_slice(format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n").as_bytes());
    fields(&mut bytes, told, body.len());
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes.freeze()
}

pub(crate) fn fields(bytes: &mut BytesMut, told: &[(&str, &[u8])], length: usize) {
    for (name, value) in told {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            bytes.extend_from_slice(part);
        }
    }
    bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
}
