//! The NBD protocol without I/O: fixed newstyle negotiation and transmission, for a server and a client.
//! Callers read and write the bytes and handle timeouts.
//!
//! The comments cite sections of the NBD specification, "The NBD protocol" (doc/proto.md of the NBD project),
//! and use its terms.

pub mod client;
mod error;
pub mod proto;
pub mod server;

pub use client::{Client, ClientEvent, Reply};
pub use error::ProtocolError;
pub use proto::{BlockSizes, Chunk, Command, Errno, Export, Extent, Request};
pub use server::{Exports, Limits, Session, SessionEvent};
