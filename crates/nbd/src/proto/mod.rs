//! Numbers, records and messages of the protocol text, for both sides.

mod constants;
mod messages;
mod types;

pub use constants::*;
pub use messages::{Chunk, put_request};
pub use types::{BlockSizes, Command, Errno, Export, Extent, Request};

pub(crate) use messages::{
    REQUEST_HEADER_BYTES, RequestHeader, numbers, put_chunk, put_simple, read_chunk, request_header,
};
