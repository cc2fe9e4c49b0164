//! Constants, data types and messages of the specification, for both sides.

mod constants;
mod messages;
mod types;

pub use constants::*;
pub use messages::{Chunk, put_request};
pub use types::{BlockSizes, Command, Errno, Export, Extent, Request};

pub(crate) use messages::{
    REQUEST_HEADER_BYTES, RequestHeader, parse_numbers, put_chunk, put_simple_reply, read_chunk,
    read_request_header,
};
