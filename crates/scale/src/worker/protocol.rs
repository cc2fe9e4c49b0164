//! Protocol between a run and its worker processes: commands and replies, each a line with one JSON value.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use umbertray_fakes::traffic::TrafficCounts;

use crate::hollow::{AppliedVersion, CounterSnapshot};

/// Time limit for the execution of a command. The longest command starts hundreds of gateways on a busy
/// machine.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_secs(180);

/// A store's entry in the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Id of the store.
    pub store: u64,
    /// Address of the store.
    pub address: SocketAddr,
    /// Zone of the store.
    pub zone: u32,
}

/// A command to a worker process, sent as a line of JSON on its standard input.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Starts stand-in stores with consecutive ids, each with the shard of the same number.
    Stores {
        /// Id of the first store.
        from: u64,
        /// Number of stores.
        count: u32,
        /// Seed of the stores' random choices.
        seed: u64,
    },
    /// Starts the endpoint list.
    List {
        /// Address to listen at; port 0 lets the system choose.
        listen: SocketAddr,
        /// The stores in the list.
        stores: Vec<StoreEntry>,
    },
    /// Starts hollow gateways.
    Gateways {
        /// Number and script file of each gateway.
        files: Vec<(u32, PathBuf)>,
        /// `Some(stores)`: each gateway starts after the previous one has made or failed to make that many
        /// connections, so that the memory peaks of the starts do not coincide.
        #[serde(rename = "after")]
        connections_before_next: Option<u64>,
    },
    /// Restarts a hollow gateway.
    Restart {
        /// Number of the gateway.
        gateway: u32,
    },
    /// Lists all stores of a zone as gone, or as restarted and ready, with empty caches.
    Zone {
        /// The zone.
        zone: u32,
        /// Whether the stores are listed as restarted, not as gone.
        #[serde(rename = "there")]
        present: bool,
    },
    /// Requests the worker's observations.
    #[serde(rename = "look")]
    Observe,
}

/// The reply to a command, sent as a line of JSON on the worker's standard output.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The addresses of the stores that were started.
    Stores(Vec<SocketAddr>),
    /// The address at which the endpoint list listens.
    List(SocketAddr),
    /// The command was executed.
    Done,
    /// The worker's observations.
    #[serde(rename = "looked")]
    Observed(Observations),
    /// The command failed, with the error message.
    Failed(String),
}

/// Counters and records of a worker process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Observations {
    /// Traffic of its stand-in stores or its endpoint list since the start.
    pub traffic: TrafficCounts,
    /// Counters of its hollow gateways.
    pub gateways: Vec<CounterSnapshot>,
    /// Versions that its hollow gateways applied since the last observation.
    #[serde(rename = "acted")]
    pub applied: Vec<AppliedVersion>,
}
