//! The NBD protocol as bytes and states, without I/O: fixed newstyle negotiation and transmission, for a server and a client.
//! Callers move the bytes and keep time.
//!
//! Sections cited are those of the public protocol text, "The NBD protocol" (doc/proto.md of the NBD project), whose words are
//! used here.

pub mod client;
mod error;
pub mod proto;
pub mod server;

pub use client::{Client, ClientEvent, Reply};
pub use error::ProtocolError;
pub use proto::{BlockSizes, Chunk, Command, Errno, Export, Extent, Request};
pub use server::{Exports, Limits, Session, SessionEvent};
