//! HTTP/1.1 (RFC 9112) as bytes and states: what a server reads and writes, and what a client does. No sockets.
//!
//! Both sides are strict where leniency would let two readers see different messages (section 11): a message whose
//! length is told twice, or not at all where it must be, is refused, and nothing behind it is read.

pub mod body;
pub mod client;
pub mod connection;
mod head;
pub mod server;

pub use head::Headers;

/// What a reader holds of one message at most.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub head: usize,
    pub body: usize,
}

/// Why bytes are no message. The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    #[error("the head cannot be read: {0}")]
    Head(&'static str),
    #[error("the head is longer than {0} bytes or has too many fields")]
    HeadTooLong(usize),
    #[error("the version is not HTTP/1.0 or HTTP/1.1")]
    Version,
    #[error("Host is missing or stands more than once")]
    Host,
    #[error("Content-Length stands with Transfer-Encoding")]
    LengthAndCoding,
    #[error("Content-Length is not one decimal number")]
    Length,
    #[error("a Transfer-Encoding other than chunked")]
    Coding,
    #[error("a chunk cannot be read")]
    Chunk,
    #[error("the body is longer than {0} bytes")]
    BodyTooLong(usize),
    #[error("too many or unexpected interim answers")]
    Interim,
}
