//! `umbertray nbd`: a client of our own codec, for operators and tests.

use std::io::{Read, Write};
use std::net::SocketAddr;

use umbertray_fakes::client::{self, Connection, Ended};
use umbertray_nbd::Command as Kind;

use crate::output;

#[derive(clap::Args)]
pub struct Target {
    /// The gateway, as HOST:PORT.
    address: SocketAddr,
    /// The export, a volume's name.
    export: String,
}

#[derive(clap::Args)]
pub struct Range {
    /// Bytes from the export's start.
    #[arg(long, default_value_t = 0)]
    offset: u64,
    /// Bytes.
    #[arg(long)]
    length: u32,
}

#[derive(clap::Subcommand)]
pub enum Command {
    /// Prints the exports, or one export's facts, as JSON.
    Info { address: SocketAddr, export: Option<String> },
    /// Copies a range to standard output.
    Read {
        #[command(flatten)]
        target: Target,
        #[command(flatten)]
        range: Range,
    },
    /// Writes standard input at an offset.
    Write {
        #[command(flatten)]
        target: Target,
        #[arg(long, default_value_t = 0)]
        offset: u64,
        /// Make it safe before saying so.
        #[arg(long)]
        fua: bool,
    },
    /// Makes all acked writes safe.
    Flush {
        #[command(flatten)]
        target: Target,
    },
    /// Prints which parts of a range hold data, as JSON.
    Status {
        #[command(flatten)]
        target: Target,
        #[command(flatten)]
        range: Range,
    },
}

async fn open(target: &Target) -> Result<Connection, String> {
    let opened = Connection::open(target.address, &target.export, true).await;
    opened.map_err(|error| format!("{} {}: {error}", target.address, target.export))
}

fn reply(ended: Ended) -> Result<client::Whole, String> {
    let whole = ended.ok_or("the connection ended before the reply")?;
    match &whole.error {
        None => Ok(whole),
        Some((errno, text)) => Err(format!("{errno:?}: {text}")),
    }
}

pub async fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Info { address, export: None } => {
            let names = client::names(address).await.map_err(|error| format!("{address}: {error}"))?;
            output::print_line(&serde_json::json!({ "exports": names }).to_string());
        }
        Command::Info { address, export: Some(export) } => {
            let connection = open(&Target { address, export }).await?;
            let export = &connection.export;
            let facts = serde_json::json!({
                "name": export.name, "size": export.size, "flags": export.flags,
                "minimum_block": export.blocks.minimum, "preferred_block": export.blocks.preferred,
                "maximum_payload": export.blocks.maximum,
            });
            output::print_line(&facts.to_string());
        }
        Command::Read { target, range: Range { offset, length } } => {
            let connection = open(&target).await?;
            let step = connection.export.blocks.maximum;
            let (mut at, end) = (offset, offset + u64::from(length));
            while at < end {
                let part = u64::from(step).min(end - at) as u32;
                let whole = reply(connection.read(at, part).await)?;
                let bytes = whole.bytes(at, part).ok_or("the reply does not cover the range")?;
                std::io::stdout().write_all(&bytes).map_err(|error| error.to_string())?;
                at += u64::from(part);
            }
        }
        Command::Write { target, offset, fua } => {
            let connection = open(&target).await?;
            let (step, mut at) = (connection.export.blocks.maximum as u64, offset);
            let flags = if fua { umbertray_nbd::proto::CMD_FLAG_FUA } else { 0 };
            loop {
                let mut data = Vec::new();
                let mut input = std::io::stdin().lock().take(step);
                input.read_to_end(&mut data).map_err(|error| error.to_string())?;
                if data.is_empty() {
                    return Ok(());
                }
                let length = data.len() as u32;
                let sent = connection.send(Kind::Write, flags, at, length, data.into());
                reply(sent.await.ok().flatten())?;
                at += u64::from(length);
            }
        }
        Command::Flush { target } => _ = reply(open(&target).await?.flush().await)?,
        Command::Status { target, range: Range { offset, length } } => {
            let connection = open(&target).await?;
            let sent = connection.send(Kind::BlockStatus, 0, offset, length, bytes::Bytes::new());
            let whole = reply(sent.await.ok().flatten())?;
            let extents: Vec<_> = whole.extents.iter().map(|e| (e.length, e.flags & 1 == 0)).collect();
            output::print_line(&serde_json::json!({ "stretches": extents }).to_string());
        }
    }
    Ok(())
}
