//! `umbertray serve`: one gateway process.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use umbertray_config::Document;

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
    umbertray_config::read(&name, text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        format!("{} in the settings\n{}", count(lines.len(), "problem"), lines.join("\n"))
    })
}

fn count(n: usize, what: &str) -> String {
    format!("{n} {what}{}", if n == 1 { "" } else { "s" })
}

/// Starts the gateway that a document describes.
pub async fn start(document: Document) -> Result<umbertray_gateway::Running, String> {
    let Document { listen, list, seed, state, settings } = document;
    let options = umbertray_gateway::Options { listen, list, seed, state: state.map(Into::into) };
    umbertray_gateway::start(Arc::new(settings), options).await.map_err(|error| format!("listen: {error}"))
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
    let exports: Vec<String> = document.settings.volumes.iter().map(|volume| volume.name.clone()).collect();
    let mut gateway = start(document).await?;
    let addresses: Vec<String> = gateway.addresses.iter().map(ToString::to_string).collect();
    output::print_line(&serde_json::json!({ "nbd": addresses, "exports": exports }).to_string());
    tokio::select! {
        told = told_to_stop() => told?,
        ended = gateway.ended() => return ended,
    }
    gateway.stop().await
}
