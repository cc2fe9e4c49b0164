//! `umbertray coordinator`: the process that holds the map of where data lies, and what operators ask of it.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use umbertray_coordinator::{CoordinatorOptions, Takeover, client};
use umbertray_store_protocol::orders::ExtentRange;
use umbertray_store_protocol::volume_id;

use crate::{output, serve};

#[derive(clap::Args)]
pub struct Arguments {
    /// The coordinator's script: keeper(listen = ..., list = ..., folder = ...).
    #[arg(long)]
    config: PathBuf,
    /// Takes over from a coordinator whose process stands still with the folder's lock.
    #[arg(long)]
    take_over: bool,
    /// Asks the coordinator that listens there to move extents: VOLUME:FROM..TO=SHARD, without TO itself. Waits for the end.
    #[arg(long, value_name = "MOVE", conflicts_with = "take_over")]
    r#move: Option<Wish>,
    /// Asks how far a move is.
    #[arg(long, value_name = "NUMBER", conflicts_with_all = ["take_over", "move"])]
    moving: Option<u64>,
    /// Gives a move up, where it has not come so far that it can only go on.
    #[arg(long, requires = "moving")]
    give_up: bool,
}

#[derive(Clone, Debug)]
struct Wish {
    span: ExtentRange,
    shard: u32,
}

impl FromStr for Wish {
    type Err = String;

    fn from_str(text: &str) -> Result<Wish, String> {
        let parts = || {
            let (volume, rest) = text.rsplit_once(':')?;
            let (range, shard) = rest.split_once('=')?;
            let (from, to) = range.split_once("..")?;
            let (from, to) = (from.parse().ok()?, to.parse().ok()?);
            let span = ExtentRange { volume: volume_id(volume), start: from, end: to };
            Some(Wish { span, shard: shard.parse().ok()? })
        };
        parts().ok_or_else(|| format!("{text:?} is not VOLUME:FROM..TO=SHARD, as in central:0..16=3"))
    }
}

/// How often a move is looked at that is waited for.
const LOOK: Duration = Duration::from_millis(200);

fn tell(number: u64, state: &str, over: bool) {
    output::print_line(&serde_json::json!({ "move": number, "state": state, "over": over }).to_string());
}

pub async fn run(arguments: Arguments) -> Result<(), String> {
    let name = arguments.config.display().to_string();
    let text = std::fs::read_to_string(&arguments.config).map_err(|error| format!("{name}: {error}"))?;
    let keeper =
        umbertray_config::read_coordinator(&name, text).map_err(|problems| serve::said(&problems))?;
    let said = |error: client::RequestError| error.to_string();
    if let Some(Wish { span, shard }) = arguments.r#move {
        let number = client::request_move(keeper.listen, span, shard).await.map_err(said)?;
        loop {
            let (state, over) = client::move_status(keeper.listen, number, false).await.map_err(said)?;
            tell(number, &state, over);
            if over {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    if let Some(number) = arguments.moving {
        let (state, over) =
            client::move_status(keeper.listen, number, arguments.give_up).await.map_err(said)?;
        tell(number, &state, over);
        return Ok(());
    }
    let takeover = if arguments.take_over { Takeover::FromStalled } else { Takeover::Never };
    let options = CoordinatorOptions {
        listen: keeper.listen,
        endpoint_list: keeper.endpoint_list,
        folder: keeper.folder.into(),
        takeover,
    };
    let mut running = umbertray_coordinator::start(options).await.map_err(|error| error.to_string())?;
    let said = serde_json::json!({ "keeper": running.address.to_string(), "term": running.term });
    output::print_line(&said.to_string());
    tokio::select! {
        told = serve::told_to_stop() => told,
        ended = running.ended() => ended.map_err(|error| error.to_string()),
    }
}
