//! The state that a gateway saves across a restart, with lasting ids instead of the scheduler's small ids.
//! The names and the order of the fields are part of the stored format and must not change.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One store of the endpoint list, and the values learned of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Lasting id.
    pub store: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shard whose data it holds.
    pub shard: u32,
    /// The store's failure domain.
    pub zone: u32,
    /// State as in the wire format: 0 gone, 1 ready, 2 draining.
    pub state: u8,
    /// The store's incarnation: the number of its starts.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The values learned of the store, if any.
    #[serde(rename = "learned")]
    pub learned_values: Option<LearnedValues>,
}

/// The values learned of a store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedValues {
    /// Average latency, in seconds.
    pub latency: f64,
    /// Concurrency limit: the most units in flight.
    #[serde(rename = "cap")]
    pub concurrency_limit: f64,
    /// Virtual times of the volumes at the store, by lasting id.
    #[serde(rename = "tags")]
    pub virtual_times: Vec<(u64, f64)>,
}

/// The values learned of a volume.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VolumeRecord {
    /// Lasting id.
    pub volume: u64,
    /// Units per second that this gateway sent recently.
    pub rate: f64,
    /// Units per second of all gateways together, as reported by the stores.
    #[serde(rename = "told")]
    pub reported_rate: f64,
    /// Units of this gateway's part of the volume's rate limit that stay reserved while the promise lasts.
    #[serde(rename = "floor")]
    pub reserved_tokens: f64,
}

/// The complete state saved at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The endpoint list.
    pub stores: Vec<StoreRecord>,
    /// The volumes.
    pub volumes: Vec<VolumeRecord>,
    /// How long the reserved tokens stay reserved.
    #[serde(rename = "promised")]
    pub promise_duration: Duration,
}
