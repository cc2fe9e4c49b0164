//! A worker process of a run, which runs hollow gateways, stand-in stores or the endpoint list. It executes
//! commands from its standard input and exits at the end of the input.

mod protocol;

pub(crate) use protocol::REPLY_TIMEOUT;
pub use protocol::{Observations, Reply, StoreEntry, WorkerCommand};

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use umbertray_fakes::event_log::EventLog;
use umbertray_fakes::fleet::any_port;
use umbertray_fakes::list::{self, ListEntry};
use umbertray_fakes::model::StorePerformance;
use umbertray_fakes::store::{self, Identity};
use umbertray_fakes::traffic::TrafficCounts;
use umbertray_store_protocol::list::EndpointState;

use crate::hollow::{FleetError, HollowFleet, PrepareGateway};

/// An error of the pipes to the process that sends the commands, after which the worker ends.
#[derive(Debug, thiserror::Error)]
enum PipeError {
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line is not a valid command.
    #[error("invalid command on standard input: {0}")]
    InvalidCommand(serde_json::Error),
    /// A reply cannot be written as JSON.
    #[error("reply could not be encoded: {0}")]
    Reply(serde_json::Error),
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A stand-in store could not be started.
    #[error("store {store} could not be started: {error}")]
    Store { store: u64, error: io::Error },
    /// The endpoint list could not be started.
    #[error("endpoint list could not be started at {listen}: {error}")]
    List { listen: SocketAddr, error: io::Error },
    /// This process has no endpoint list.
    #[error("this worker process has no endpoint list")]
    NoList,
}

/// The hollow gateways, stand-in stores and endpoint list of a worker process.
struct WorkerState {
    fleet: HollowFleet,
    stores: Vec<store::Running>,
    /// The endpoint list and its stores, once it has been started.
    list: Option<(list::Running, Vec<StoreEntry>)>,
}

/// Executes commands until standard input ends. Standard input also ends when the process that started this
/// one exits or is killed.
///
/// # Errors
/// A message if a command cannot be read or its reply cannot be written.
pub async fn run(prepare: Arc<PrepareGateway>) -> Result<(), String> {
    serve(prepare).await.map_err(|error| error.to_string())
}

async fn serve(prepare: Arc<PrepareGateway>) -> Result<(), PipeError> {
    let mut worker = WorkerState { fleet: HollowFleet::new(prepare), stores: Vec::new(), list: None };
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let mut out = tokio::io::stdout();
    while let Some(line) = lines.next_line().await? {
        let command = serde_json::from_str(&line).map_err(PipeError::InvalidCommand)?;
        let reply = worker.execute(command).await.unwrap_or_else(|error| Reply::Failed(error.to_string()));
        let mut text = serde_json::to_vec(&reply).map_err(PipeError::Reply)?;
        text.push(b'\n');
        out.write_all(&text).await?;
        out.flush().await?;
    }
    Ok(())
}

impl WorkerState {
    /// Executes one command.
    async fn execute(&mut self, command: WorkerCommand) -> Result<Reply, CommandError> {
        match command {
            WorkerCommand::Stores { from, count, seed } => self.start_stores(from, count, seed).await,
            WorkerCommand::List { listen, stores } => self.start_list(listen, stores).await,
            WorkerCommand::Gateways { files, connections_before_next } => {
                for (gateway, file) in files {
                    self.fleet.start(gateway, file).await?;
                    if let Some(stores) = connections_before_next {
                        self.fleet.wait_until_connected(gateway, stores).await;
                    }
                }
                Ok(Reply::Done)
            }
            WorkerCommand::Restart { gateway } => {
                Ok(self.fleet.restart(gateway).await.map(|()| Reply::Done)?)
            }
            WorkerCommand::Zone { zone, present } => {
                let (list, stores) = self.list.as_ref().ok_or(CommandError::NoList)?;
                for entry in stores.iter().filter(|entry| entry.zone == zone) {
                    if present {
                        list.restarted(entry.store, entry.address);
                    } else {
                        list.set_state(entry.store, EndpointState::Gone);
                    }
                }
                Ok(Reply::Done)
            }
            WorkerCommand::Observe => {
                let stores = self.stores.iter().map(|store| store.traffic.counts());
                let list = self.list.iter().map(|(list, _)| list.traffic.counts());
                let traffic = stores.chain(list).fold(TrafficCounts::default(), std::ops::Add::add);
                let (gateways, applied) = (self.fleet.snapshots(), self.fleet.take_applied());
                Ok(Reply::Observed(Observations { traffic, gateways, applied }))
            }
        }
    }

    /// Starts stand-in stores on ports that the system chooses.
    async fn start_stores(&mut self, from: u64, count: u32, seed: u64) -> Result<Reply, CommandError> {
        let mut addresses = Vec::new();
        for store in from..from + u64::from(count) {
            let (performance, disk, event_log) =
                (StorePerformance::default(), Arc::default(), EventLog::default());
            let identity = Identity { store, shard: store as u32, performance, disk, event_log, seed };
            let running = store::start(identity, any_port(), false).await;
            let running = running.map_err(|error| CommandError::Store { store, error })?;
            addresses.push(running.address);
            self.stores.push(running);
        }
        Ok(Reply::Stores(addresses))
    }

    /// Starts the endpoint list with these stores.
    async fn start_list(
        &mut self,
        listen: SocketAddr,
        stores: Vec<StoreEntry>,
    ) -> Result<Reply, CommandError> {
        let list = list::start(listen).await.map_err(|error| CommandError::List { listen, error })?;
        for StoreEntry { store, address, zone } in &stores {
            let (shard, state) = (*store as u32, EndpointState::Ready);
            let listed =
                ListEntry { address: *address, shard, zone: *zone, state, incarnation: 1, started_at: None };
            list.set_entry(*store, listed);
        }
        let address = list.address;
        self.list = Some((list, stores));
        Ok(Reply::List(address))
    }
}
