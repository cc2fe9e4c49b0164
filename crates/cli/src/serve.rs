//! `umbertray serve`: runs one NBD gateway process. Other commands read settings and start gateways through
//! this module too.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};
use umbertray_config::{FunctionCall, SettingsDocument};
use umbertray_config_log::chain::Hash;
use umbertray_config_log::{Follower, Replica};
use umbertray_nbd_gateway::{
    ChangeSource, GatewayOptions, RELAY_START_TIMEOUT, RelaySource, RelayedChanges, RunningGateway,
};
use umbertray_routing::Settings;
use umbertray_snapshot::Disk;

use crate::error::CommandError;
use crate::output;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// The settings script.
    #[arg(long)]
    config: PathBuf,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let PreparedGateway { settings, options } = prepare(&arguments.config).await?;
    let gateway = umbertray_nbd_gateway::start(settings, options).await;
    let mut gateway = gateway.map_err(CommandError::io("cannot listen"))?;
    let addresses: Vec<String> = gateway.addresses.iter().map(ToString::to_string).collect();
    output::print_json(&json!({ "nbd": addresses, "exports": gateway.exports() }));
    tokio::select! {
        signal = stop_signal() => signal?,
        ended = gateway.wait_until_ended() => return ended.map_err(CommandError::Ended),
    }
    gateway.stop().await.map_err(CommandError::Ended)
}

/// A gateway's settings, as far as they are known without a query to its relays.
pub(crate) enum Document {
    /// The script's settings, with the shared ones of the change log if the script names its folder.
    Complete(SettingsDocument),
    /// Only the script's own settings: the shared ones must come from relays.
    OwnPart(SettingsDocument),
}

/// Reads a script and the change log in the folder that it names, if any. Relays are not queried.
pub(crate) fn read_document(file: &Path) -> Result<Document, CommandError> {
    let script = Script::read(file)?;
    if !script.follows_log() {
        return Ok(Document::Complete(script.complete()?));
    }
    let own = script.own_part()?;
    match &own.changes {
        Some(umbertray_config::ChangeSource::Folder(folder)) => {
            let follower = open_follower(Path::new(folder), None)?;
            Ok(Document::Complete(script.with_log(&follower.replica)?))
        }
        _ => Ok(Document::OwnPart(own)),
    }
}

/// What a gateway is started with.
pub(crate) struct PreparedGateway {
    pub(crate) settings: Arc<Settings>,
    pub(crate) options: GatewayOptions,
}

impl PreparedGateway {
    /// Uses the shared settings of the change log if the gateway follows one.
    fn new(document: SettingsDocument, changes: Option<ChangeSource>) -> PreparedGateway {
        let settings = match &changes {
            Some(changes) => changes.replica().version.settings(&document.settings),
            None => document.settings,
        };
        let options = GatewayOptions {
            listen: document.listen,
            endpoint_list: document.endpoint_list,
            coordinator: document.coordinator,
            seed: document.seed,
            state_folder: document.state.map(Into::into),
            changes,
        };
        PreparedGateway { settings: Arc::new(settings), options }
    }
}

/// Reads a script and, if it names a change log, opens that log. The log in a folder is rejected if it ends
/// before the version that the gateway applied last, or has another change as that version.
pub(crate) async fn prepare(file: &Path) -> Result<PreparedGateway, CommandError> {
    let script = Script::read(file)?;
    if !script.follows_log() {
        return Ok(PreparedGateway::new(script.complete()?, None));
    }
    let Some(changes) = open_changes(script.own_part()?).await? else {
        return Ok(PreparedGateway::new(script.complete()?, None));
    };
    let document = script.with_log(changes.replica())?;
    Ok(PreparedGateway::new(document, Some(changes)))
}

/// Starts the gateway that a document describes.
pub(crate) async fn start(
    document: SettingsDocument,
    changes: Option<ChangeSource>,
) -> Result<RunningGateway, CommandError> {
    let PreparedGateway { settings, options } = PreparedGateway::new(document, changes);
    umbertray_nbd_gateway::start(settings, options).await.map_err(CommandError::io("cannot listen"))
}

/// Returns once the program receives SIGTERM or SIGINT.
pub(crate) async fn stop_signal() -> Result<(), CommandError> {
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<Signal, CommandError> {
    signal(kind).map_err(CommandError::io("cannot register signal handlers"))
}

/// An evaluated settings script.
struct Script {
    file: String,
    calls: Vec<FunctionCall>,
}

impl Script {
    fn read(file: &Path) -> Result<Script, CommandError> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(CommandError::io(&name))?;
        let calls = umbertray_config::evaluate(&name, text)
            .map_err(|problem| CommandError::Settings(vec![problem]))?;
        Ok(Script { file: name, calls })
    }

    /// Whether the script names a change log, which then has the shared settings.
    fn follows_log(&self) -> bool {
        self.calls.iter().any(names_log)
    }

    fn complete(&self) -> Result<SettingsDocument, CommandError> {
        umbertray_config::parse_settings(&self.file, &self.calls).map_err(CommandError::Settings)
    }

    fn own_part(&self) -> Result<SettingsDocument, CommandError> {
        umbertray_config::parse_local_settings(&self.file, &self.calls).map_err(CommandError::Settings)
    }

    /// The script's own settings with the shared settings of the change log.
    fn with_log(&self, log: &Replica) -> Result<SettingsDocument, CommandError> {
        let shared = log.version.configuration.calls();
        umbertray_config_log::version::document(&shared, &self.calls).map_err(CommandError::Configuration)
    }
}

fn names_log(call: &FunctionCall) -> bool {
    let changes = call.named.get("changes").filter(|changes| !changes.is_null());
    call.function == "gateway" && changes.is_some_and(|changes| *changes != "")
}

async fn open_changes(own: SettingsDocument) -> Result<Option<ChangeSource>, CommandError> {
    let state_folder: Option<PathBuf> = own.state.map(PathBuf::from);
    let source = match own.changes {
        Some(umbertray_config::ChangeSource::Folder(folder)) => {
            let applied =
                state_folder.as_deref().map(umbertray_nbd_gateway::read_applied_version).transpose();
            let applied = applied.map_err(CommandError::io("cannot read the applied version"))?.flatten();
            let follower = Box::new(open_follower(Path::new(&folder), applied)?);
            ChangeSource::Folder { folder: folder.into(), follower, state_folder }
        }
        Some(umbertray_config::ChangeSource::Relays { upstreams, quorum }) => {
            let relays = RelaySource {
                name: own.name,
                zone: own.zone,
                upstreams,
                quorum,
                seed: own.seed,
                start_timeout: RELAY_START_TIMEOUT,
                state_folder,
            };
            ChangeSource::Relays(Box::new(RelayedChanges::start(relays).await?))
        }
        None => return Ok(None),
    };
    Ok(Some(source))
}

fn open_follower(folder: &Path, applied: Option<(u64, Hash)>) -> Result<Follower, CommandError> {
    Follower::open(&Disk::read_only(folder), applied)
        .map_err(|source| CommandError::FollowFolder { folder: folder.display().to_string(), source })
}
