//! `umbertray fake`: a scripted list or store in a process of its own.

use std::net::SocketAddr;
use std::sync::Arc;

use umbertray_fakes::book::Book;
use umbertray_fakes::list::{self, Listed};
use umbertray_fakes::model::Power;
use umbertray_fakes::store::{self, Identity};
use umbertray_store_protocol::list::EndpointState;

use crate::output;

#[derive(clap::Subcommand)]
pub enum Command {
    /// The list of stores with the directory of extents.
    List {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Stores to list, in order of their shards and ids from 1.
        #[arg(long)]
        store: Vec<SocketAddr>,
    },
    /// One warm store.
    Store {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        #[arg(long)]
        id: u64,
        #[arg(long)]
        shard: u32,
    },
}

pub async fn run(command: Command) -> Result<(), String> {
    let address = |address: SocketAddr| {
        output::print_line(&serde_json::json!({ "address": address.to_string() }).to_string());
    };
    match command {
        Command::List { listen, store } => {
            let list = list::start(listen).await.map_err(|error| format!("{listen}: {error}"))?;
            for (shard, address) in store.into_iter().enumerate() {
                let shard = shard as u32;
                let listed =
                    Listed { address, shard, zone: 0, state: EndpointState::Ready, start: 1, started: None };
                list.list(u64::from(shard) + 1, listed);
            }
            address(list.address);
            crate::serve::told_to_stop().await
        }
        Command::Store { listen, id, shard } => {
            let (power, medium, book) = (Power::default(), Arc::default(), Book::default());
            let identity = Identity { store: id, shard, power, medium, book, seed: id };
            let store = store::start(identity, listen, false).await;
            let store = store.map_err(|error| format!("{listen}: {error}"))?;
            address(store.address);
            crate::serve::told_to_stop().await
        }
    }
}
