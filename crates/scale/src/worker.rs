//! A process of a run: gateways, stand-in stores or the list of them. It does what it is told, a line of JSON each, and ends
//! when nobody tells it any more.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use umbertray_fakes::book::Book;
use umbertray_fakes::fleet::any_port;
use umbertray_fakes::list::{self, Listed};
use umbertray_fakes::model::Power;
use umbertray_fakes::store::{self, Identity};
use umbertray_fakes::traffic::Crossed;
use umbertray_store_protocol::list::EndpointState;

use crate::hollow::{Acted, Fleet, Prepare, Seen};

/// A store as the list must name it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Named {
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
        stores: Vec<Named>,
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
    pub traffic: Crossed,
    /// Its hollow gateways.
    pub gateways: Vec<Seen>,
    /// What they acted on since the last look.
    pub acted: Vec<Acted>,
}

/// What a worker process runs.
struct Worker {
    fleet: Fleet,
    stores: Vec<store::Running>,
    list: Option<(list::Running, Vec<Named>)>,
}

/// Carries out orders until standard input ends, which it does when the process that started this one ends,
/// however that ends.
///
/// # Errors
/// A message if an order cannot be read or its reply cannot be written.
pub async fn run(prepare: Arc<Prepare>) -> Result<(), String> {
    let mut worker = Worker { fleet: Fleet::new(prepare), stores: Vec::new(), list: None };
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let mut out = tokio::io::stdout();
    while let Some(line) = lines.next_line().await.map_err(|error| error.to_string())? {
        let order = serde_json::from_str(&line).map_err(|error| format!("an order: {error}"))?;
        let reply = worker.obey(order).await.unwrap_or_else(Reply::Failed);
        let mut text = serde_json::to_vec(&reply).map_err(|error| error.to_string())?;
        text.push(b'\n');
        out.write_all(&text).await.map_err(|error| error.to_string())?;
        out.flush().await.map_err(|error| error.to_string())?;
    }
    Ok(())
}

impl Worker {
    /// Carries out one order.
    async fn obey(&mut self, order: Order) -> Result<Reply, String> {
        match order {
            Order::Stores { from, count, seed } => self.start_stores(from, count, seed).await,
            Order::List { listen, stores } => self.start_list(listen, stores).await,
            Order::Gateways { files, after } => {
                for (gateway, file) in files {
                    self.fleet.start(gateway, file).await?;
                    if let Some(stores) = after {
                        self.fleet.linked(gateway, stores).await;
                    }
                }
                Ok(Reply::Done)
            }
            Order::Restart { gateway } => self.fleet.restart(gateway).await.map(|()| Reply::Done),
            Order::Zone { zone, there } => {
                let (list, stores) = self.list.as_ref().ok_or("there is no list here")?;
                for named in stores.iter().filter(|named| named.zone == zone) {
                    if there {
                        list.restarted(named.store, named.address);
                    } else {
                        list.state(named.store, EndpointState::Gone);
                    }
                }
                Ok(Reply::Done)
            }
            Order::Look => {
                let stores = self.stores.iter().map(|store| store.traffic.crossed());
                let list = self.list.iter().map(|(list, _)| list.traffic.crossed());
                let traffic = stores.chain(list).fold(Crossed::default(), std::ops::Add::add);
                let (gateways, acted) = (self.fleet.seen(), self.fleet.acted());
                Ok(Reply::Looked(Look { traffic, gateways, acted }))
            }
        }
    }

    /// Starts stand-in stores at ports that the system chooses.
    async fn start_stores(&mut self, from: u64, count: u32, seed: u64) -> Result<Reply, String> {
        let mut addresses = Vec::new();
        for store in from..from + u64::from(count) {
            let (power, medium, book) = (Power::default(), Arc::default(), Book::default());
            let identity = Identity { store, shard: store as u32, power, medium, book, seed };
            let running = store::start(identity, any_port(), false).await;
            let running = running.map_err(|error| format!("store {store}: {error}"))?;
            addresses.push(running.address);
            self.stores.push(running);
        }
        Ok(Reply::Stores(addresses))
    }

    /// Starts the endpoint list and adds the stores.
    async fn start_list(&mut self, listen: SocketAddr, stores: Vec<Named>) -> Result<Reply, String> {
        let list = list::start(listen).await.map_err(|error| format!("list at {listen}: {error}"))?;
        for Named { store, address, zone } in &stores {
            let (shard, state) = (*store as u32, EndpointState::Ready);
            let listed = Listed { address: *address, shard, zone: *zone, state, start: 1, started: None };
            list.list(*store, listed);
        }
        let address = list.address;
        self.list = Some((list, stores));
        Ok(Reply::List(address))
    }
}

/// Time that a worker process has for an order; starting hundreds of gateways on a busy machine takes
/// longest.
pub(crate) const PATIENCE: Duration = Duration::from_secs(180);
