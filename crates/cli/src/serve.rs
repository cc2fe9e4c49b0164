//! `umbertray serve`: one gateway process.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use umbertray_config::{FunctionCall, SettingsDocument};
use umbertray_config_log::chain::Hash;
use umbertray_config_log::{Follower, Replica};
use umbertray_nbd_gateway::{ChangeSource, GatewayOptions, PATIENCE, RelaySource, RelayedChanges};
use umbertray_routing::Settings;
use umbertray_snapshot::Disk;

use crate::output;

#[derive(clap::Args)]
pub struct Arguments {
    /// The settings script.
    #[arg(long)]
    config: PathBuf,
}

/// What a script's calls are, and where it stands.
struct Script {
    name: String,
    calls: Vec<FunctionCall>,
}

impl Script {
    fn read(file: &Path) -> Result<Script, String> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
        let calls = umbertray_config::evaluate(&name, text).map_err(|problem| said(&[problem]))?;
        Ok(Script { name, calls })
    }

    /// It names a log of changes, which has what is shared.
    fn follows(&self) -> bool {
        let named = |call: &FunctionCall| {
            call.named.get("changes").is_some_and(|changes| *changes != "" && !changes.is_null())
        };
        self.calls.iter().any(|call| call.function == "gateway" && named(call))
    }

    fn whole(&self) -> Result<SettingsDocument, String> {
        umbertray_config::parse_whole(&self.name, &self.calls).map_err(|problems| said(&problems))
    }

    fn own_part(&self) -> Result<SettingsDocument, String> {
        umbertray_config::own_part(&self.name, &self.calls).map_err(|problems| said(&problems))
    }

    /// With what the log has.
    fn with(&self, at: &Replica) -> Result<SettingsDocument, String> {
        let shared = at.version.configuration.calls();
        umbertray_config_log::version::document(&shared, &self.calls).map_err(|problems| problems.join("\n"))
    }
}

fn follower(folder: &Path, acted: Option<(u64, Hash)>) -> Result<Follower, String> {
    Follower::open(&Disk::read_only(folder), acted).map_err(|error| format!("{}: {error}", folder.display()))
}

/// The settings that a script and the folder that it names, if any, come to. What relays tell is not asked for: the second is
/// false where it is missing.
pub fn document(file: &Path) -> Result<(SettingsDocument, bool), String> {
    let script = Script::read(file)?;
    if !script.follows() {
        return Ok((script.whole()?, true));
    }
    let own = script.own_part()?;
    match &own.changes {
        Some(umbertray_config::ChangeSource::Folder(folder)) => {
            Ok((script.with(&follower(Path::new(folder), None)?.replica)?, true))
        }
        _ => Ok((own, false)),
    }
}

/// Reads a script, and the log of changes that it names, if any, from what the gateway has acted on.
async fn read(file: &Path) -> Result<(SettingsDocument, Option<ChangeSource>), String> {
    let script = Script::read(file)?;
    if !script.follows() {
        return Ok((script.whole()?, None));
    }
    let own = script.own_part()?;
    let state: Option<PathBuf> = own.state.map(PathBuf::from);
    let changes = match own.changes {
        Some(umbertray_config::ChangeSource::Folder(folder)) => {
            let acted = state.as_deref().map(umbertray_nbd_gateway::acted).transpose();
            let acted = acted.map_err(|error| format!("the version acted on: {error}"))?.flatten();
            let follower = follower(Path::new(&folder), acted)?;
            ChangeSource::Folder { folder: folder.into(), follower: Box::new(follower), acted: state }
        }
        Some(umbertray_config::ChangeSource::Relays { upstreams, quorum: vouch }) => {
            let (name, zone, seed) = (own.name, own.zone, own.seed);
            let relays =
                RelaySource { name, zone, upstreams, quorum: vouch, seed, patience: PATIENCE, state };
            let relayed = RelayedChanges::start(relays).await.map_err(|error| error.to_string())?;
            ChangeSource::Relays(Box::new(relayed))
        }
        None => return Ok((script.whole()?, None)),
    };
    Ok((script.with(changes.at())?, Some(changes)))
}

pub fn said(problems: &[umbertray_config::Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    format!("{} in the settings\n{}", count(lines.len(), "problem"), lines.join("\n"))
}

fn count(n: usize, what: &str) -> String {
    format!("{n} {what}{}", if n == 1 { "" } else { "s" })
}

/// What a document says to start a gateway with; where it follows a log of changes, that has the shared settings.
fn options(document: SettingsDocument, changes: Option<ChangeSource>) -> (Arc<Settings>, GatewayOptions) {
    let SettingsDocument { listen, endpoint_list: list, coordinator: keeper, seed, state, settings, .. } =
        document;
    let settings = match &changes {
        Some(changes) => changes.at().version.settings(&settings),
        None => settings,
    };
    let options = GatewayOptions {
        listen,
        endpoint_list: list,
        coordinator: keeper,
        seed,
        state: state.map(Into::into),
        changes,
    };
    (Arc::new(settings), options)
}

/// Starts the gateway that a document describes.
pub async fn start(
    document: SettingsDocument,
    changes: Option<ChangeSource>,
) -> Result<umbertray_nbd_gateway::RunningGateway, String> {
    let (settings, options) = options(document, changes);
    umbertray_nbd_gateway::start(settings, options).await.map_err(|error| format!("listen: {error}"))
}

/// What a script says to start a gateway with, and what its state folder has of earlier runs.
pub async fn prepare(file: &Path) -> Result<(Arc<Settings>, GatewayOptions), String> {
    let (document, changes) = read(file).await?;
    Ok(options(document, changes))
}

/// Ends when the program is told to stop.
pub async fn told_to_stop() -> Result<(), String> {
    let listen = |kind| signal(kind).map_err(|error| format!("signals: {error}"));
    let (mut term, mut int) = (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

pub async fn run(arguments: Arguments) -> Result<(), String> {
    let (settings, options) = prepare(&arguments.config).await?;
    let gateway = umbertray_nbd_gateway::start(settings, options).await;
    let mut gateway = gateway.map_err(|error| format!("listen: {error}"))?;
    let addresses: Vec<String> = gateway.addresses.iter().map(ToString::to_string).collect();
    let exports: Vec<String> = gateway.exports();
    output::print_line(&serde_json::json!({ "nbd": addresses, "exports": exports }).to_string());
    tokio::select! {
        told = told_to_stop() => told?,
        ended = gateway.ended() => return ended,
    }
    gateway.stop().await
}
