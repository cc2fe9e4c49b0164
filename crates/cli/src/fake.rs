//! `umbertray fake`: runs a fake endpoint list or a fake store in its own process.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;
use umbertray_fakes::event_log::EventLog;
use umbertray_fakes::list::{self, ListEntry};
use umbertray_fakes::model::StorePerformance;
use umbertray_fakes::store::{self, Identity};
use umbertray_store_protocol::list::EndpointState;

use crate::error::CommandError;
use crate::{output, serve};

#[derive(clap::Subcommand)]
pub(crate) enum Command {
    /// The endpoint list with the directory of extents.
    List {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Address of a store to list; repeated for each store. Shards are numbered from 0 and ids from 1, in
        /// this order.
        #[arg(long)]
        store: Vec<SocketAddr>,
    },
    /// One store, which is already warm.
    Store {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        #[arg(long)]
        id: u64,
        #[arg(long)]
        shard: u32,
    },
}

pub(crate) async fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::List { listen, store: stores } => run_list(listen, stores).await,
        Command::Store { listen, id, shard } => run_store(listen, id, shard).await,
    }
}

async fn run_list(listen: SocketAddr, stores: Vec<SocketAddr>) -> Result<(), CommandError> {
    let list = list::start(listen).await.map_err(CommandError::io(listen))?;
    for (shard, address) in (0u32..).zip(stores) {
        let listed = ListEntry {
            address,
            shard,
            zone: 0,
            state: EndpointState::Ready,
            incarnation: 1,
            started_at: None,
        };
        list.set_entry(u64::from(shard) + 1, listed);
    }
    print_address(list.address);
    serve::stop_signal().await
}

async fn run_store(listen: SocketAddr, id: u64, shard: u32) -> Result<(), CommandError> {
    let identity = Identity {
        store: id,
        shard,
        performance: StorePerformance::default(),
        disk: Arc::default(),
        event_log: EventLog::default(),
        seed: id,
    };
    let store = store::start(identity, listen, false).await.map_err(CommandError::io(listen))?;
    print_address(store.address);
    serve::stop_signal().await
}

fn print_address(address: SocketAddr) {
    output::print_json(&json!({ "address": address.to_string() }));
}
