//! `umbertray relay`: runs a relay, which forwards the change log, or queries the status of running relays.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{Value, json};
use umbertray_config::RelaySettings;
use umbertray_relay::{RelayOptions, client};
use umbertray_store_protocol::changes::Status;
use umbertray_store_protocol::volume_id;

use crate::error::CommandError;
use crate::{output, serve};

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// The relay's script: relay(listen = ..., changes = ...).
    #[arg(long)]
    config: PathBuf,
    /// Queries the running relay of this script, or the relays at these addresses, for their versions and for
    /// how many members have applied the newest version.
    #[arg(long, value_name = "HOST:PORT", num_args = 0..)]
    status: Option<Vec<SocketAddr>>,
    /// Counts the members that have applied this version instead of the newest one.
    #[arg(long, value_name = "VERSION", requires = "status")]
    in_force: Option<u64>,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let file = arguments.config.display().to_string();
    let text = std::fs::read_to_string(&arguments.config).map_err(CommandError::io(&file))?;
    let settings = umbertray_config::read_relay(&file, text).map_err(CommandError::Settings)?;
    match arguments.status {
        Some(addresses) if addresses.is_empty() => status(&[settings.listen], arguments.in_force).await,
        Some(addresses) => status(&addresses, arguments.in_force).await,
        None => run_relay(settings).await,
    }
}

/// Runs the relay until a stop signal or until it terminates by itself.
async fn run_relay(settings: RelaySettings) -> Result<(), CommandError> {
    let RelaySettings { listen, name, zone, changes, folder } = settings;
    let seed = volume_id(&name);
    let options =
        RelayOptions { listen, name: name.clone(), zone, changes, folder: folder.map(Into::into), seed };
    let mut relay = umbertray_relay::start(options).await?;
    output::print_json(&json!({ "relay": relay.address.to_string(), "name": name }));
    tokio::select! {
        signal = serve::stop_signal() => signal,
        ended = relay.wait_until_ended() => Ok(ended?),
    }
}

/// Queries each relay once and prints a line for each, then a line with the sums over all.
async fn status(addresses: &[SocketAddr], in_force: Option<u64>) -> Result<(), CommandError> {
    let mut statuses = Vec::new();
    for address in addresses {
        let status = client::status(*address).await?;
        print_status(*address, &status);
        statuses.push(status);
    }
    output::print_json(&summary(&statuses, in_force));
    Ok(())
}

fn print_status(address: SocketAddr, status: &Status) {
    output::print_json(&json!({
        "relay": status.name, "address": address.to_string(), "version": status.head.version,
        "path": status.path, "followers": status.followers, "held_bytes": status.held_bytes,
    }));
}

/// How many members have applied a version, the newest if none is given, and which members lag behind it.
fn summary(statuses: &[Status], in_force: Option<u64>) -> Value {
    let newest = statuses.iter().map(|status| status.head.version).max().unwrap_or_default();
    let version = in_force.unwrap_or(newest);
    let topmost = topmost(statuses);
    let lagging = topmost.iter().flat_map(|status| &status.progress.lagging);
    let behind: Vec<Value> = lagging
        .filter(|member| member.version < version)
        .map(|member| json!({ "name": member.name, "version": member.version, "for_s": member.lag_seconds }))
        .collect();
    json!({
        "version": version, "in_force": members_at(&topmost, version), "of": members_at(&topmost, 0),
        "behind": behind,
    })
}

/// The relays with none of the other relays upstream. The sums of a relay include those of the relays
/// downstream, so that each member is counted once.
fn topmost(statuses: &[Status]) -> Vec<&Status> {
    let is_downstream = |status: &Status| {
        statuses.iter().any(|other| other.name != status.name && status.path.contains(&other.name))
    };
    statuses.iter().filter(|status| !is_downstream(status)).collect()
}

/// Members that have applied at least this version.
fn members_at(statuses: &[&Status], version: u64) -> u64 {
    let counts = statuses.iter().flat_map(|status| &status.progress.version_counts);
    counts.filter(|count| count.version >= version).map(|count| u64::from(count.members)).sum()
}
