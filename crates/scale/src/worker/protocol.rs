//! Orders to a worker process and its replies, one JSON value on each line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use umbertray_fakes::traffic::TrafficCounts;

use crate::hollow::{Acted, Seen};

/// Time that a worker process has for an order; starting hundreds of gateways on a busy machine takes
/// longest.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_secs(180);

/// A store as the list must name it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NamedStore {
    /// Id of the store.
    pub store: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
}

/// What a worker process is told to do, as a line of JSON on its standard input.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Starts stand-in stores with consecutive ids, each with the shard of the same number.
    Stores {
        /// The first id.
        from: u64,
        /// How many.
        count: u32,
        /// Seed of their random choices.
        seed: u64,
    },
    /// Starts the endpoint list.
    List {
        /// Address to listen at; port 0 lets the system choose.
        listen: SocketAddr,
        /// The stores that it names.
        stores: Vec<NamedStore>,
    },
    /// Starts gateways.
    Gateways {
        /// Number and script of each.
        files: Vec<(u32, PathBuf)>,
        /// `Some(stores)`: each gateway starts once the one before it has made or failed to make that many
        /// connections, so that the peak memory of a start occurs once at a time.
        after: Option<u64>,
    },
    /// Restarts a gateway.
    Restart {
        /// Its number.
        gateway: u32,
    },
    /// Marks all stores of a zone as gone, or as back with empty caches.
    Zone {
        /// The zone.
        zone: u32,
        /// Whether they are back.
        there: bool,
    },
    /// Asks for what the worker has observed.
    Look,
}

/// The answer to an order, as a line of JSON on the worker's standard output.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The addresses of the stores that were started.
    Stores(Vec<SocketAddr>),
    /// The address at which the list listens.
    List(SocketAddr),
    /// The order was carried out.
    Done,
    /// What the worker has observed.
    Looked(Look),
    /// The order was not carried out, and why.
    Failed(String),
}

/// What a worker process has observed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Look {
    /// Bytes at the sockets of its stand-ins since the start.
    pub traffic: TrafficCounts,
    /// Its hollow gateways.
    pub gateways: Vec<Seen>,
    /// What they acted on since the last look.
    pub acted: Vec<Acted>,
}
