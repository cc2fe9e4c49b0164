//! Messages between a gateway and the list service, which serves the endpoint list, or the coordinator, which
//! holds the extent map. docs/store-protocol.md describes the frames.

mod from_list;
mod to_list;

use std::net::SocketAddr;

pub use from_list::FromList;
pub use to_list::ToList;

/// State of a store in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// The store has left the list.
    Gone,
    /// The store accepts operations.
    Ready,
    /// The store completes the operations that it has, and accepts no new ones.
    Draining,
}

/// A store in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedStore {
    /// The store's id: it stays the same when the store's process restarts; a replacement store has another
    /// id.
    pub store: u64,
    /// The address that the store listens at.
    pub address: SocketAddr,
    /// The shard that it serves.
    pub shard: u32,
    /// The zone that it runs in.
    pub zone: u32,
    /// The store's state.
    pub state: EndpointState,
    /// Number of starts of the store.
    pub incarnation: u64,
    /// Microseconds since the store last started; absent if it started long ago.
    pub age: Option<u64>,
}

/// The location of an extent: the shard that holds it, and the epoch of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    /// The shard that holds the extent.
    pub shard: u32,
    /// Number of times the extent's range has moved.
    pub epoch: u64,
}
