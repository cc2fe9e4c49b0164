//! `umbertray node`: runs one HTTP gateway process on the platform.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::error::CommandError;
use crate::output;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// The configuration file; by default the one that the environment variable ROUTER_CONFIG names.
    #[arg(long)]
    config: Option<PathBuf>,
}

/// Runs the gateway on the calling thread only, since a gateway's machine has one core.
pub(crate) fn run(arguments: Arguments) -> Result<(), CommandError> {
    let file = arguments.config.or_else(|| std::env::var_os("ROUTER_CONFIG").map(PathBuf::from));
    let file = file.ok_or(CommandError::NoConfiguration)?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CommandError::io("cannot start the async runtime"))?;
    let on_listening = |address: SocketAddr| {
        output::print_json(&json!({ "http": [address.to_string()] }));
    };
    Ok(LocalSet::new().block_on(&runtime, umbertray_http_gateway::run(file, on_listening))?)
}
