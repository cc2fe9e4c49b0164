//! `umbertray node`: one gateway process on the platform.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::output;

#[derive(clap::Args)]
pub struct Arguments {
    /// The configuration; without it, the file that ROUTER_CONFIG names.
    #[arg(long)]
    config: Option<PathBuf>,
}

/// All of a gateway runs on one thread: its machine has one core.
pub fn run(arguments: Arguments) -> Result<(), String> {
    let file = arguments.config.or_else(|| std::env::var_os("ROUTER_CONFIG").map(PathBuf::from));
    let file = file.ok_or("neither --config nor ROUTER_CONFIG names a configuration")?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    let told =
        |address: SocketAddr| output::print_line(&json!({ "http": [address.to_string()] }).to_string());
    LocalSet::new()
        .block_on(&runtime, umbertray_http_gateway::run(file, told))
        .map_err(|error| error.to_string())
}
