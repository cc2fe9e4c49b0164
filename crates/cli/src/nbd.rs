//! `umbertray nbd`: an NBD client with the project's own codec, for operators and tests.

use std::io::{Read, Write};
use std::net::SocketAddr;

use bytes::Bytes;
use serde_json::json;
use umbertray_fakes::client::{self, CompleteReply, Connection, RequestOutcome};
use umbertray_nbd::Command as NbdCommand;
use umbertray_nbd::proto::CMD_FLAG_FUA;

use crate::error::CommandError;
use crate::output;

/// Flag of an extent in a block status reply: the extent is a hole (`NBD_STATE_HOLE` of `base:allocation`).
const STATE_HOLE: u32 = 1;

#[derive(clap::Args)]
pub(crate) struct Target {
    /// The gateway, as HOST:PORT.
    address: SocketAddr,
    /// The export, a volume's name.
    export: String,
}

#[derive(clap::Args)]
pub(crate) struct Range {
    /// Offset from the start of the export, in bytes.
    #[arg(long, default_value_t = 0)]
    offset: u64,
    /// Length in bytes.
    #[arg(long)]
    length: u32,
}

#[derive(clap::Subcommand)]
pub(crate) enum Command {
    /// Prints the exports, or one export's properties, as JSON.
    Info { address: SocketAddr, export: Option<String> },
    /// Copies a range to standard output.
    Read {
        #[command(flatten)]
        target: Target,
        #[command(flatten)]
        range: Range,
    },
    /// Writes standard input to the export, starting at an offset.
    Write {
        #[command(flatten)]
        target: Target,
        #[arg(long, default_value_t = 0)]
        offset: u64,
        /// Makes the data durable before the write is acknowledged.
        #[arg(long)]
        fua: bool,
    },
    /// Makes all acknowledged writes durable.
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

pub(crate) async fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Info { address, export: None } => list_exports(address).await,
        Command::Info { address, export: Some(export) } => info(Target { address, export }).await,
        Command::Read { target, range } => read(target, range).await,
        Command::Write { target, offset, fua } => write(target, offset, fua).await,
        Command::Flush { target } => flush(target).await,
        Command::Status { target, range } => status(target, range).await,
    }
}

async fn list_exports(address: SocketAddr) -> Result<(), CommandError> {
    let names = client::export_names(address).await.map_err(CommandError::io(address))?;
    output::print_json(&json!({ "exports": names }));
    Ok(())
}

async fn info(target: Target) -> Result<(), CommandError> {
    let connection = connect(target).await?;
    let export = &connection.export;
    output::print_json(&json!({
        "name": export.name, "size": export.size, "flags": export.flags,
        "minimum_block": export.block_sizes.minimum, "preferred_block": export.block_sizes.preferred,
        "maximum_payload": export.block_sizes.maximum,
    }));
    Ok(())
}

async fn read(target: Target, range: Range) -> Result<(), CommandError> {
    let connection = connect(target).await?;
    let max_payload = u64::from(connection.export.block_sizes.maximum);
    let end = range.offset + u64::from(range.length);
    let mut offset = range.offset;
    while offset < end {
        let length = max_payload.min(end - offset) as u32;
        let reply = check_reply(connection.read(offset, length).await)?;
        let data = reply.bytes(offset, length).ok_or(CommandError::IncompleteReply)?;
        std::io::stdout().write_all(&data)?;
        offset += u64::from(length);
    }
    Ok(())
}

async fn write(target: Target, start: u64, fua: bool) -> Result<(), CommandError> {
    let connection = connect(target).await?;
    let max_payload = u64::from(connection.export.block_sizes.maximum);
    let flags = if fua { CMD_FLAG_FUA } else { 0 };
    let mut offset = start;
    loop {
        let mut data = Vec::new();
        std::io::stdin().lock().take(max_payload).read_to_end(&mut data)?;
        if data.is_empty() {
            return Ok(());
        }
        let length = data.len() as u32;
        let sent = connection.send(NbdCommand::Write, flags, offset, length, data.into());
        check_reply(sent.await.ok().flatten())?;
        offset += u64::from(length);
    }
}

async fn flush(target: Target) -> Result<(), CommandError> {
    let connection = connect(target).await?;
    check_reply(connection.flush().await)?;
    Ok(())
}

async fn status(target: Target, range: Range) -> Result<(), CommandError> {
    let connection = connect(target).await?;
    let sent = connection.send(NbdCommand::BlockStatus, 0, range.offset, range.length, Bytes::new());
    let reply = check_reply(sent.await.ok().flatten())?;
    let extents: Vec<(u32, bool)> =
        reply.extents.iter().map(|extent| (extent.length, extent.flags & STATE_HOLE == 0)).collect();
    output::print_json(&json!({ "stretches": extents }));
    Ok(())
}

async fn connect(target: Target) -> Result<Connection, CommandError> {
    let Target { address, export } = target;
    let connection = Connection::open(address, &export, true).await;
    connection.map_err(CommandError::io(format!("{address} {export}")))
}

/// Returns the reply; fails if there is none or if it is an error.
fn check_reply(reply: RequestOutcome) -> Result<CompleteReply, CommandError> {
    let reply = reply.ok_or(CommandError::NoReply)?;
    match reply.error {
        None => Ok(reply),
        Some((errno, text)) => Err(CommandError::Reply { errno, text }),
    }
}
