//! `umbertray serve`: one gateway process.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use umbertray_config::Document;
use umbertray_gateway::Changes;
use umbertray_state::Disk;
use umbertray_versions::Follower;

use crate::output;

#[derive(clap::Args)]
pub struct Arguments {
    /// The settings script.
    #[arg(long)]
    config: PathBuf,
}

pub fn document(file: &Path) -> Result<Document, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    let calls = umbertray_config::evaluate(&name, text.clone());
    let log = calls.iter().flatten().find_map(|call| {
        call.named.get("changes").filter(|_| call.function == "gateway")?.as_str().map(PathBuf::from)
    });
    let Some(log) = log else {
        return umbertray_config::read(&name, text).map_err(|problems| said(&problems));
    };
    let own = umbertray_config::read_own(&name, text).map_err(|problems| said(&problems))?;
    let follower = Follower::open(&Disk::look(&log), None);
    let follower = follower.map_err(|error| format!("{}: {error}", log.display()))?;
    let shared = follower.version.configuration.calls();
    umbertray_versions::version::document(&shared, &own).map_err(|problems| problems.join("\n"))
}

fn said(problems: &[umbertray_config::Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    format!("{} in the settings\n{}", count(lines.len(), "problem"), lines.join("\n"))
}

fn count(n: usize, what: &str) -> String {
    format!("{n} {what}{}", if n == 1 { "" } else { "s" })
}

/// Starts the gateway that a document describes; where it follows a log of changes, that has the shared settings.
pub async fn start(document: Document) -> Result<umbertray_gateway::Running, String> {
    let Document { listen, list, seed, state, changes, settings } = document;
    let state = state.map(PathBuf::from);
    let changes = changes.map(|folder| follow(folder.into(), state.clone())).transpose()?;
    let settings = match &changes {
        Some(changes) => changes.follower.version.settings(&settings),
        None => settings,
    };
    let options = umbertray_gateway::Options { listen, list, seed, state, changes };
    umbertray_gateway::start(Arc::new(settings), options).await.map_err(|error| format!("listen: {error}"))
}

fn follow(folder: PathBuf, state: Option<PathBuf>) -> Result<Changes, String> {
    let acted = state.as_deref().map(umbertray_gateway::acted).transpose();
    let acted = acted.map_err(|error| format!("the version acted on: {error}"))?.flatten();
    let follower = Follower::open(&Disk::look(&folder), acted);
    let follower = follower.map_err(|error| format!("{}: {error}", folder.display()))?;
    Ok(Changes { folder, follower, acted: state })
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
    let document = document(&arguments.config)?;
    let mut gateway = start(document).await?;
    let addresses: Vec<String> = gateway.addresses.iter().map(ToString::to_string).collect();
    let exports: Vec<String> = gateway.exports();
    output::print_line(&serde_json::json!({ "nbd": addresses, "exports": exports }).to_string());
    tokio::select! {
        told = told_to_stop() => told?,
        ended = gateway.ended() => return ended,
    }
    gateway.stop().await
}
