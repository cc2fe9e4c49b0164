//! A worker process of a run: hollow gateways, stand-in stores or the endpoint list. It carries out orders
//! from its standard input and exits when that ends.

mod protocol;

pub(crate) use protocol::REPLY_TIMEOUT;
pub use protocol::{Look, NamedStore, Order, Reply};

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use umbertray_fakes::book::Book;
use umbertray_fakes::fleet::any_port;
use umbertray_fakes::list::{self, Listed};
use umbertray_fakes::model::Power;
use umbertray_fakes::store::{self, Identity};
use umbertray_fakes::traffic::TrafficCounts;
use umbertray_store_protocol::list::EndpointState;

use crate::hollow::{FleetError, HollowFleet, Prepare};

/// Why the pipe to the process that gives the orders cannot be used any more.
#[derive(Debug, thiserror::Error)]
enum PipeError {
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line is no order.
    #[error("an order: {0}")]
    Order(serde_json::Error),
    /// A reply cannot be written as JSON.
    #[error("{0}")]
    Reply(serde_json::Error),
}

/// Why an order was not carried out.
#[derive(Debug, thiserror::Error)]
enum OrderError {
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A stand-in store could not be started.
    #[error("store {store}: {error}")]
    Store { store: u64, error: io::Error },
    /// The endpoint list could not be started.
    #[error("list at {listen}: {error}")]
    List { listen: SocketAddr, error: io::Error },
    /// This process has no endpoint list.
    #[error("there is no list here")]
    NoList,
}

/// What a worker process runs.
struct WorkerState {
    fleet: HollowFleet,
    stores: Vec<store::Running>,
    list: Option<(list::Running, Vec<NamedStore>)>,
}

/// Carries out orders until standard input ends, which it does when the process that started this one ends,
/// however that ends.
///
/// # Errors
/// A message if an order cannot be read or its reply cannot be written.
pub async fn run(prepare: Arc<Prepare>) -> Result<(), String> {
    serve(prepare).await.map_err(|error| error.to_string())
}

async fn serve(prepare: Arc<Prepare>) -> Result<(), PipeError> {
    let mut worker = WorkerState { fleet: HollowFleet::new(prepare), stores: Vec::new(), list: None };
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let mut out = tokio::io::stdout();
    while let Some(line) = lines.next_line().await? {
        let order = serde_json::from_str(&line).map_err(PipeError::Order)?;
        let reply = worker.carry_out(order).await.unwrap_or_else(|error| Reply::Failed(error.to_string()));
        let mut text = serde_json::to_vec(&reply).map_err(PipeError::Reply)?;
        text.push(b'\n');
        out.write_all(&text).await?;
        out.flush().await?;
    }
    Ok(())
}

impl WorkerState {
    /// Carries out one order.
    async fn carry_out(&mut self, order: Order) -> Result<Reply, OrderError> {
        match order {
            Order::Stores { from, count, seed } => self.start_stores(from, count, seed).await,
            Order::List { listen, stores } => self.start_list(listen, stores).await,
            Order::Gateways { files, after } => {
                for (gateway, file) in files {
                    self.fleet.start(gateway, file).await?;
                    if let Some(stores) = after {
                        self.fleet.wait_until_connected(gateway, stores).await;
                    }
                }
                Ok(Reply::Done)
            }
            Order::Restart { gateway } => Ok(self.fleet.restart(gateway).await.map(|()| Reply::Done)?),
            Order::Zone { zone, there } => {
                let (list, stores) = self.list.as_ref().ok_or(OrderError::NoList)?;
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
                let traffic = stores.chain(list).fold(TrafficCounts::default(), std::ops::Add::add);
                let (gateways, acted) = (self.fleet.snapshots(), self.fleet.take_acted());
                Ok(Reply::Looked(Look { traffic, gateways, acted }))
            }
        }
    }

    /// Starts stand-in stores at ports that the system chooses.
    async fn start_stores(&mut self, from: u64, count: u32, seed: u64) -> Result<Reply, OrderError> {
        let mut addresses = Vec::new();
        for store in from..from + u64::from(count) {
            let (power, medium, book) = (Power::default(), Arc::default(), Book::default());
            let identity = Identity { store, shard: store as u32, power, medium, book, seed };
            let running = store::start(identity, any_port(), false).await;
            let running = running.map_err(|error| OrderError::Store { store, error })?;
            addresses.push(running.address);
            self.stores.push(running);
        }
        Ok(Reply::Stores(addresses))
    }

    /// Starts the endpoint list and adds the stores.
    async fn start_list(&mut self, listen: SocketAddr, stores: Vec<NamedStore>) -> Result<Reply, OrderError> {
        let list = list::start(listen).await.map_err(|error| OrderError::List { listen, error })?;
        for NamedStore { store, address, zone } in &stores {
            let (shard, state) = (*store as u32, EndpointState::Ready);
            let listed = Listed { address: *address, shard, zone: *zone, state, start: 1, started: None };
            list.list(*store, listed);
        }
        let address = list.address;
        self.list = Some((list, stores));
        Ok(Reply::List(address))
    }
}
