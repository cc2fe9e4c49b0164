//! `umbertray relay`: a process that carries the log of changes, and what operators ask of it.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::json;
use umbertray_relay::{RelayOptions, client};
use umbertray_store_protocol::changes::Status;
use umbertray_store_protocol::volume_id;

use crate::{output, serve};

#[derive(clap::Args)]
pub struct Arguments {
    /// The relay's script: relay(listen = ..., changes = ...).
    #[arg(long)]
    config: PathBuf,
    /// Asks the relay that listens there, or those at these addresses, where they stand and how many have acted on the newest
    /// version.
    #[arg(long, value_name = "HOST:PORT", num_args = 0..)]
    status: Option<Vec<SocketAddr>>,
    /// Asks how many have acted on this version instead of the newest.
    #[arg(long, value_name = "VERSION", requires = "status")]
    in_force: Option<u64>,
}

pub async fn run(arguments: Arguments) -> Result<(), String> {
    let file = arguments.config.display().to_string();
    let text = std::fs::read_to_string(&arguments.config).map_err(|error| format!("{file}: {error}"))?;
    let relay = umbertray_config::read_relay(&file, text).map_err(|problems| serve::said(&problems))?;
    let umbertray_config::RelaySettings { listen, name, zone, changes, folder } = relay;
    if let Some(addresses) = arguments.status {
        let addresses = if addresses.is_empty() { vec![listen] } else { addresses };
        return status(&addresses, arguments.in_force).await;
    }
    let seed = volume_id(&name);
    let options =
        RelayOptions { listen, name: name.clone(), zone, changes, folder: folder.map(Into::into), seed };
    let mut running = umbertray_relay::start(options).await.map_err(|error| error.to_string())?;
    output::print_line(&json!({ "relay": running.address.to_string(), "name": name }).to_string());
    tokio::select! {
        told = serve::told_to_stop() => told,
        ended = running.ended() => ended.map_err(|error| error.to_string()),
    }
}

/// Asks each relay once; a line of each, and the sum over those that are not below another of them: members count once.
async fn status(addresses: &[SocketAddr], in_force: Option<u64>) -> Result<(), String> {
    let mut all = Vec::new();
    for address in addresses {
        let status = client::status(*address).await.map_err(|error| error.to_string())?;
        output::print_line(
            &json!({
                "relay": status.name, "address": address.to_string(), "version": status.head.version,
                "path": status.path, "followers": status.followers, "held_bytes": status.held_bytes,
            })
            .to_string(),
        );
        all.push(status);
    }
    let newest = all.iter().map(|status| status.head.version).max().unwrap_or_default();
    let version = in_force.unwrap_or(newest);
    let below = |status: &Status| {
        all.iter().any(|other| other.name != status.name && status.path.contains(&other.name))
    };
    let tops = || all.iter().filter(|status| !below(status));
    let levels = || tops().flat_map(|status| &status.progress.levels);
    let count = |least: u64| -> u64 {
        levels().filter(|level| level.version >= least).map(|level| u64::from(level.members)).sum()
    };
    let behind = tops().flat_map(|status| &status.progress.lagging).filter(|behind| behind.version < version);
    let behind: Vec<_> = behind
        .map(|behind| json!({ "name": behind.name, "version": behind.version, "for_s": behind.lag_seconds }))
        .collect();
    output::print_line(
        &json!({ "version": version, "in_force": count(version), "of": count(0), "behind": behind })
            .to_string(),
    );
    Ok(())
}
