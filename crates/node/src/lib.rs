//! The platform's front on sockets: clients, stores, discovery and signals around [`umbertray_platform::Core`]. It
//! moves bytes and decides nothing. All of it runs on one thread, in one `LocalSet`.
//!
//! One task owns the core's turns (`hub`), one each client's connection (`client`), one each dispatch (`store`), one
//! the watch of the list (`watch`). What each may hold is in `bounds`.

mod bounds;
mod client;
mod hub;
mod store;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch as watched;
use umbertray_clock::Clock;
use umbertray_platform::config::ConfigError;
use umbertray_platform::{Config, Core, Input};

use crate::bounds::Bounds;
use crate::hub::{Hub, Phase};

#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    #[error("{}: {error}", file.display())]
    Unread { file: PathBuf, error: io::Error },
    #[error("{}: {error}", file.display())]
    Config { file: PathBuf, error: ConfigError },
    #[error("{0}")]
    Settings(String),
    #[error("listening at {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("signals: {0}")]
    Signals(io::Error),
    #[error("the decisions cannot go on: {0}")]
    Fatal(String),
}

pub fn read(file: &Path) -> Result<Config, NodeError> {
    let text =
        std::fs::read_to_string(file).map_err(|error| NodeError::Unread { file: file.into(), error })?;
    Config::read(&text).map_err(|error| NodeError::Config { file: file.into(), error })
}

/// Runs one gateway until SIGTERM or SIGINT; to be awaited inside a `LocalSet`.
/// `listening` is told the address once it listens.
pub async fn run(file: PathBuf, listening: impl FnOnce(SocketAddr)) -> Result<(), NodeError> {
    let config = read(&file)?;
    let clock = Clock::start();
    let core = Core::start(&config, clock.now()).map_err(NodeError::Settings)?;
    let bounds = Bounds::of(&config).map_err(NodeError::Settings)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Signals)?;
    let listen = |error| NodeError::Listen { address: config.listen, error };
    let listener = TcpListener::bind(config.listen).await.map_err(listen)?;
    let address = listener.local_addr().map_err(listen)?;
    let hub = Rc::new(Hub::new(core, clock, bounds));
    let (to_watch, discovery) = watched::channel(config.discovery);
    let asked = config.settings.get("discovery").is_some_and(|word| word == "asked");
    tokio::task::spawn_local(watch::follow(hub.clone(), discovery, config.known.version, config.seed, asked));
    tokio::task::spawn_local(store::tidy(hub.clone()));
    tokio::task::spawn_local(client::accept(hub.clone(), listener));
    tracing::info!(name = config.name, listen = %address, discovery = %config.discovery, "serving");
    listening(address);
    let mut settings = config.settings;
    let mut turns = tokio::task::spawn_local(hub::run(hub.clone()));
    loop {
        tokio::select! {
            ended = &mut turns => return ended.unwrap_or_else(|e| Err(e.to_string())).map_err(NodeError::Fatal),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match read(&file) {
                Ok(new) => {
                    tracing::info!(discovery = %new.discovery, "configuration read again");
                    to_watch.send_if_modified(|address| std::mem::replace(address, new.discovery) != new.discovery);
                    if settings != new.settings {
                        settings = new.settings.clone();
                        hub.post(Input::Changed(new.settings));
                    }
                }
                // Danger: a half-written or wrong file must not end a gateway that serves.
                Err(error) => tracing::error!(%error, "configuration not read again, the former holds"),
            },
        }
    }
    tracing::info!(open = hub.open(), clients = hub.guests.len(), "stopping");
    tokio::select! {
        ended = &mut turns => ended.unwrap_or_else(|e| Err(e.to_string())).map_err(NodeError::Fatal),
        () = stop(&hub) => Ok(()),
    }
}

/// Goes on serving for as long as what comes can still be answered before SIGKILL: nobody else serves these clients
/// until the next run of this gateway. Then ends idle connections, and returns when all that was taken is answered.
async fn stop(hub: &Hub) {
    let end = hub.clock.now() + hub.bounds.leaving;
    hub.enter(Phase::Leaving(end));
    tokio::time::sleep(hub.bounds.taking).await;
    hub.enter(Phase::Closing(end));
    let late = tokio::time::timeout_at(hub.clock.instant(end).into(), hub.guests.empty()).await;
    if late.is_err() {
        tracing::warn!(open = hub.open(), "stopped with open connections");
    }
}
