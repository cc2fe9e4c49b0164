//! Between a gateway and the endpoint list, or the coordinator of the map of extents. docs/store-protocol.md has the frames.

mod from_list;
mod to_list;

use std::net::SocketAddr;

pub use from_list::FromList;
pub use to_list::ToList;

/// State of a store in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// It has left the list.
    Gone,
    /// It serves.
    Ready,
    /// It finishes what it has, and accepts nothing new.
    Draining,
}

/// A store in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedStore {
    /// Its id: the same when the store's process restarts; a replacement has another.
    pub store: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shard that it serves.
    pub shard: u32,
    /// The zone that it runs in.
    pub zone: u32,
    /// Its state.
    pub state: EndpointState,
    /// Counts the store's starts.
    pub incarnation: u64,
    /// Microseconds since it last started; absent: long ago.
    pub age: Option<u64>,
}

/// Where an extent is, and how often its range has moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    /// The shard that holds it.
    pub shard: u32,
    /// Number of moves of its range.
    pub epoch: u64,
}
