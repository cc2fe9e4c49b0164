//! The NBD protocol as bytes and states: fixed newstyle negotiation and transmission, for a server and a
//! client. Nothing here opens a socket or keeps time; callers move the bytes.
//!
//! Sections cited are those of the public protocol text, "The NBD protocol" (doc/proto.md of the NBD project).
//! Words here are that text's; what a request becomes is the caller's affair.

pub mod client;
pub mod proto;
pub mod server;

pub use client::{Client, ClientEvent, Reply};
pub use proto::{BlockSizes, Chunk, Command, Errno, Export, Extent, Request};
pub use server::{Exports, Limits, Session, SessionEvent};

/// Why a session cannot go on; the peer's bytes are at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    #[error("wrong magic {found:#x} in {place}")]
    Magic { place: &'static str, found: u64 },
    #[error("client flags {0:#x} are unknown or lack fixed newstyle")]
    ClientFlags(u32),
    #[error("option {option} carries {length} bytes, over the bound of {bound}")]
    LongOption { option: u32, length: u32, bound: u32 },
    #[error("{0} options without entering transmission")]
    ManyOptions(u32),
    #[error("export {0:?} does not exist, and the option used cannot say so")]
    NoSuchExport(String),
    #[error("payload of {length} bytes, over the bound of {bound}")]
    LongPayload { length: u32, bound: u32 },
    #[error("cookie {0:#x} is still in use")]
    ReusedCookie(u64),
    #[error("reply of unknown shape: {0}")]
    Reply(&'static str),
    #[error("the server refused: {0}")]
    Refused(String),
}
