//! HTTP/1.1 (RFC 9112) without I/O: parsing and encoding of requests and responses, and the state machine of
//! a server's connection. Section numbers refer to RFC 9112 unless another RFC is named.
//!
//! Both sides are strict where lenient parsing would let two readers disagree about message boundaries
//! (section 11): a message with ambiguous length, or without a length where one is required, is an error, and
//! nothing after it is read.

pub mod body;
pub mod client;
pub mod connection;
mod head;
pub mod server;

use bytes::{Buf, Bytes, BytesMut};

pub use head::Headers;

/// An encoded message. The body is shared with its owner, not copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedMessage {
    /// Start line and header fields, with the blank line that ends them.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

impl EncodedMessage {
    /// The bytes to be written.
    pub fn into_buf(self) -> impl Buf {
        self.head.chain(self.body)
    }

    /// All bytes in one buffer.
    pub fn to_bytes(&self) -> Bytes {
        let mut bytes = BytesMut::with_capacity(self.head.len() + self.body.len());
        bytes.extend_from_slice(&self.head);
        bytes.extend_from_slice(&self.body);
        bytes.freeze()
    }
}

/// Maximum size of one message that a reader buffers, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Start line and header fields.
    pub head: usize,
    /// Decoded body.
    pub body: usize,
}

/// Why bytes are not a valid message. The connection cannot be used afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A part of the head cannot be parsed.
    #[error("the head cannot be read: {0}")]
    Head(&'static str),
    /// The head exceeds its size limit, in bytes, or the maximum number of fields.
    #[error("the head is longer than {0} bytes or has too many fields")]
    HeadTooLong(usize),
    /// An HTTP version other than 1.0 and 1.1.
    #[error("the version is not HTTP/1.0 or HTTP/1.1")]
    Version,
    /// `Host` is missing or occurs more than once.
    #[error("Host is missing or stands more than once")]
    Host,
    /// The message specifies two framings of its body (section 6.3).
    #[error("Content-Length stands with Transfer-Encoding")]
    ConflictingFraming,
    /// A `Content-Length` that is not one decimal number.
    #[error("Content-Length is not one decimal number")]
    Length,
    /// A transfer coding that is not supported.
    #[error("a Transfer-Encoding other than chunked")]
    Coding,
    /// A chunk or trailer is malformed.
    #[error("a chunk cannot be read")]
    Chunk,
    /// The body exceeds its size limit, in bytes.
    #[error("the body is longer than {0} bytes")]
    BodyTooLong(usize),
    /// An interim response is not expected, or there are too many.
    #[error("too many or unexpected interim responses")]
    Interim,
}
