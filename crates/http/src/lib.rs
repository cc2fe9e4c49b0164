//! HTTP/1.1 (RFC 9112) without I/O: messages of servers and clients as bytes, and the states of a server's connection.
//! Section numbers are those of RFC 9112 unless another is named.
//!
//! Both sides are strict where leniency would let two readers see different messages (section 11): a message whose length
//! is given twice, or not at all where it must be, is an error, and nothing behind it is read.

pub mod body;
pub mod client;
pub mod connection;
mod head;
pub mod server;

pub use head::Headers;

/// The most that a reader holds of one message, bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Start line and fields.
    pub head: usize,
    /// Body, decoded.
    pub body: usize,
}

/// Why bytes are no message. The connection cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A part of the head that cannot be read.
    #[error("the head cannot be read: {0}")]
    Head(&'static str),
    /// The head exceeds its limit, in bytes, or the number of fields.
    #[error("the head is longer than {0} bytes or has too many fields")]
    HeadTooLong(usize),
    /// An HTTP version other than 1.0 and 1.1.
    #[error("the version is not HTTP/1.0 or HTTP/1.1")]
    Version,
    /// `Host` is not there exactly once.
    #[error("Host is missing or stands more than once")]
    Host,
    /// Two framings of one body (section 6.3).
    #[error("Content-Length stands with Transfer-Encoding")]
    LengthAndCoding,
    /// A `Content-Length` that is not one decimal number.
    #[error("Content-Length is not one decimal number")]
    Length,
    /// A transfer coding that is not supported.
    #[error("a Transfer-Encoding other than chunked")]
    Coding,
    /// A malformed chunk or trailer.
    #[error("a chunk cannot be read")]
    Chunk,
    /// The body exceeds its limit, in bytes.
    #[error("the body is longer than {0} bytes")]
    BodyTooLong(usize),
    /// Interim responses that are not expected, or too many.
    #[error("too many or unexpected interim answers")]
    Interim,
}
