//! What a gateway saves over a restart, with lasting ids in place of small ones. Keys and order of the fields are stored:
//! they stay.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One store of the endpoint list, and what was learned of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Lasting id.
    pub store: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shard whose data it holds.
    pub shard: u32,
    /// Its failure domain.
    pub zone: u32,
    /// 0 gone, 1 ready, 2 draining, as on the wire.
    pub state: u8,
    /// Number of the store's starts.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// What was learned of it, if anything.
    pub learned: Option<LearnedFigures>,
}

/// What was learned of a store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedFigures {
    /// Average latency, seconds.
    pub latency: f64,
    /// Most units in flight.
    #[serde(rename = "cap")]
    pub concurrency_limit: f64,
    /// Virtual times of the volumes at the store, by lasting id.
    #[serde(rename = "tags")]
    pub virtual_times: Vec<(u64, f64)>,
}

/// What was learned of a volume.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VolumeRecord {
    /// Lasting id.
    pub volume: u64,
    /// Units per second sent from this gateway lately.
    pub rate: f64,
    /// Units per second that stores reported for all gateways.
    #[serde(rename = "told")]
    pub reported_rate: f64,
    /// Units of its limit that stay reserved while the promise lasts.
    #[serde(rename = "floor")]
    pub reserved_tokens: f64,
}

/// Everything that is saved at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The endpoint list.
    pub stores: Vec<StoreRecord>,
    /// The volumes.
    pub volumes: Vec<VolumeRecord>,
    /// How long the reserved tokens hold.
    #[serde(rename = "promised")]
    pub promise_duration: Duration,
}
