//! `umbertray serve`: one gateway process.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use umbertray_config::Document;
use umbertray_gateway::{Changes, Options};
use umbertray_routing::Settings;
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
    read(file, |_| Ok(None)).map(|(document, _)| document)
}

/// What a gateway acted on last, and which.
type Acted = Option<(u64, [u8; 32])>;

/// Reads a script, and the log of changes that it names, if any, from what `acted` finds in the gateway's state folder on.
fn read(
    file: &Path,
    acted: impl Fn(&Path) -> Result<Acted, String>,
) -> Result<(Document, Option<Changes>), String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    let calls = umbertray_config::evaluate(&name, text).map_err(|problem| said(&[problem]))?;
    let named = |field: &str| {
        let gateway = calls.iter().filter(|call| call.function == "gateway");
        let mut values = gateway.filter_map(|call| call.named.get(field)?.as_str());
        values.find(|folder| !folder.is_empty()).map(PathBuf::from)
    };
    let Some(folder) = named("changes") else {
        let document = umbertray_config::whole(&name, &calls).map_err(|problems| said(&problems))?;
        return Ok((document, None));
    };
    umbertray_config::own(&calls).map_err(|problems| said(&problems))?;
    let state = named("state");
    let last = state.as_deref().map(acted).transpose()?.flatten();
    let follower = Follower::open(&Disk::look(&folder), last);
    let follower = follower.map_err(|error| format!("{}: {error}", folder.display()))?;
    let shared = follower.version.configuration.calls();
    let document = umbertray_versions::version::document(&shared, &calls);
    let document = document.map_err(|problems| problems.join("\n"))?;
    Ok((document, Some(Changes { folder, follower, acted: state })))
}

pub fn said(problems: &[umbertray_config::Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    format!("{} in the settings\n{}", count(lines.len(), "problem"), lines.join("\n"))
}

fn count(n: usize, what: &str) -> String {
    format!("{n} {what}{}", if n == 1 { "" } else { "s" })
}

/// What a document says to start a gateway with; where it follows a log of changes, that has the shared settings.
fn options(document: Document, changes: Option<Changes>) -> (Arc<Settings>, Options) {
    let Document { listen, list, keeper, seed, state, settings, .. } = document;
    let settings = match &changes {
        Some(changes) => changes.follower.version.settings(&settings),
        None => settings,
    };
    let options = Options { listen, list, keeper, seed, state: state.map(Into::into), changes };
    (Arc::new(settings), options)
}

/// Starts the gateway that a document describes.
pub async fn start(
    document: Document,
    changes: Option<Changes>,
) -> Result<umbertray_gateway::Running, String> {
    let (settings, options) = options(document, changes);
    umbertray_gateway::start(settings, options).await.map_err(|error| format!("listen: {error}"))
}

/// What a script says to start a gateway with, and what its state folder has of earlier runs.
pub fn prepare(file: &Path) -> Result<(Arc<Settings>, Options), String> {
    let acted = |folder: &Path| {
        umbertray_gateway::acted(folder).map_err(|error| format!("the version acted on: {error}"))
    };
    let (document, changes) = read(file, acted)?;
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
    let (settings, options) = prepare(&arguments.config)?;
    let gateway = umbertray_gateway::start(settings, options).await;
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
