//! `umbertray coordinator`: runs the process that holds the extent map, or sends it an operator's request.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use serde_json::json;
use thiserror::Error;
use umbertray_config::CoordinatorSettings;
use umbertray_coordinator::{CoordinatorOptions, Takeover, client};
use umbertray_store_protocol::orders::ExtentRange;
use umbertray_store_protocol::volume_id;

use crate::error::CommandError;
use crate::{output, serve};

/// Interval at which a move is polled until it has finished.
const MOVE_POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// The coordinator's script: keeper(listen = ..., list = ..., folder = ...).
    #[arg(long)]
    config: PathBuf,
    /// Takes over from a coordinator whose process is stalled and still holds the folder's lock.
    #[arg(long)]
    take_over: bool,
    /// Requests a move of extents from the running coordinator of this script: VOLUME:FROM..TO=SHARD, where
    /// TO is exclusive. Waits until the move has finished.
    #[arg(long, value_name = "MOVE", conflicts_with = "take_over")]
    r#move: Option<MoveRequest>,
    /// Queries the progress of a move.
    #[arg(long, value_name = "NUMBER", conflicts_with_all = ["take_over", "move"])]
    moving: Option<u64>,
    /// Abandons the move, unless it has reached the stage from which it can only be completed.
    #[arg(long, requires = "moving")]
    give_up: bool,
}

/// An extent range and the shard to move it to.
#[derive(Clone, Debug, PartialEq)]
struct MoveRequest {
    range: ExtentRange,
    shard: u32,
}

#[derive(Debug, Error)]
#[error("{text:?} is not VOLUME:FROM..TO=SHARD, as in central:0..16=3")]
struct InvalidMoveRequest {
    text: String,
}

impl FromStr for MoveRequest {
    type Err = InvalidMoveRequest;

    fn from_str(text: &str) -> Result<MoveRequest, InvalidMoveRequest> {
        MoveRequest::parse(text).ok_or_else(|| InvalidMoveRequest { text: text.into() })
    }
}

impl MoveRequest {
    fn parse(text: &str) -> Option<MoveRequest> {
        let (volume, rest) = text.rsplit_once(':')?;
        let (extents, shard) = rest.split_once('=')?;
        let (start, end) = extents.split_once("..")?;
        let range =
            ExtentRange { volume: volume_id(volume), start: start.parse().ok()?, end: end.parse().ok()? };
        Some(MoveRequest { range, shard: shard.parse().ok()? })
    }
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let file = arguments.config.display().to_string();
    let text = std::fs::read_to_string(&arguments.config).map_err(CommandError::io(&file))?;
    let settings = umbertray_config::read_coordinator(&file, text).map_err(CommandError::Settings)?;
    if let Some(request) = arguments.r#move {
        return move_extents(settings.listen, request).await;
    }
    if let Some(number) = arguments.moving {
        print_move_status(settings.listen, number, arguments.give_up).await?;
        return Ok(());
    }
    let takeover = if arguments.take_over { Takeover::FromStalled } else { Takeover::Never };
    run_coordinator(settings, takeover).await
}

/// Runs the coordinator until a stop signal or until it terminates by itself.
async fn run_coordinator(settings: CoordinatorSettings, takeover: Takeover) -> Result<(), CommandError> {
    let options = CoordinatorOptions {
        listen: settings.listen,
        endpoint_list: settings.endpoint_list,
        folder: settings.folder.into(),
        takeover,
    };
    let mut coordinator = umbertray_coordinator::start(options).await?;
    output::print_json(&json!({ "keeper": coordinator.address.to_string(), "term": coordinator.term }));
    tokio::select! {
        signal = serve::stop_signal() => signal,
        ended = coordinator.wait_until_ended() => Ok(ended?),
    }
}

/// Starts a move and prints its progress until it has finished.
async fn move_extents(coordinator: SocketAddr, request: MoveRequest) -> Result<(), CommandError> {
    let number = client::request_move(coordinator, request.range, request.shard).await?;
    while !print_move_status(coordinator, number, false).await? {
        tokio::time::sleep(MOVE_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Prints the state of a move; returns whether it has finished.
async fn print_move_status(
    coordinator: SocketAddr,
    number: u64,
    abandon: bool,
) -> Result<bool, CommandError> {
    let (state, is_finished) = client::move_status(coordinator, number, abandon).await?;
    output::print_json(&json!({ "move": number, "state": state, "over": is_finished }));
    Ok(is_finished)
}
