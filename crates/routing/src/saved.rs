//! What a gateway saves of its knowledge, with lasting ids in place of small ones.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One store of the list, and what was learned of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreRecord {
    pub store: u64,
    pub address: SocketAddr,
    pub shard: u32,
    pub zone: u32,
    /// 0 gone, 1 ready, 2 draining, as on the wire.
    pub state: u8,
    #[serde(rename = "start")]
    pub incarnation: u64,
    pub learned: Option<LearnedFigures>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedFigures {
    /// Seconds of an average answer.
    pub latency: f64,
    /// Units out at most.
    #[serde(rename = "cap")]
    pub concurrency_limit: f64,
    /// Volumes' tags there, by lasting id.
    #[serde(rename = "tags")]
    pub virtual_times: Vec<(u64, f64)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VolumeRecord {
    pub volume: u64,
    /// Units a second, lately sent from here, and told as the whole.
    pub rate: f64,
    #[serde(rename = "told")]
    pub reported_rate: f64,
    /// Units of its limit that are not drawn below while the promise lasts.
    #[serde(rename = "floor")]
    pub reserved_tokens: f64,
}

/// All that is saved at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub stores: Vec<StoreRecord>,
    pub volumes: Vec<VolumeRecord>,
    /// How long the floors hold.
    #[serde(rename = "promised")]
    pub promise_duration: Duration,
}
