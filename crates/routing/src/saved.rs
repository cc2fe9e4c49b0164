//! What a gateway saves of its knowledge, with lasting ids in place of small ones.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One store of the list, and what was learned of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedStore {
    pub store: u64,
    pub address: SocketAddr,
    pub shard: u32,
    pub zone: u32,
    /// 0 gone, 1 ready, 2 draining, as on the wire.
    pub state: u8,
    pub start: u64,
    pub learned: Option<Learned>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// Seconds of an average answer.
    pub latency: f64,
    /// Units out at most.
    pub cap: f64,
    /// Volumes' tags there, by lasting id.
    pub tags: Vec<(u64, f64)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedVolume {
    pub volume: u64,
    /// Units a second, lately sent from here, and told as the whole.
    pub rate: f64,
    pub told: f64,
    /// Units of its limit that are not drawn below while the promise lasts.
    pub floor: f64,
}

/// All that is saved at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    pub stores: Vec<SavedStore>,
    pub volumes: Vec<SavedVolume>,
    /// How long the floors hold.
    pub promised: Duration,
}
