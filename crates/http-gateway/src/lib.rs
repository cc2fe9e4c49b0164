//! The platform's front on sockets: clients, stores, discovery and signals around [`umbertray_http_api::Core`]. It
//! moves bytes and decides nothing. All of it runs on one thread, in one `LocalSet`.
//!
//! One task owns the core's turns (`hub`), one each client's connection (`client`), one each dispatch (`store`), one
//! the watch of the list (`watch`), which waits as `patience` says. What each may hold is in `bounds`.

mod bounds;
mod client;
mod client_connections;
mod event_loop;
mod listener;
mod patience;
mod response;
mod store;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch as watched};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use umbertray_clock::Clock;
use umbertray_http_api::config::ConfigError;
use umbertray_http_api::{Config, Core, Input};
use umbertray_lifecycle::{Timeouts, connection};
use umbertray_socket::Socket;

use crate::bounds::ResourceLimits;
use crate::event_loop::{EventLoop, Phase};
use crate::watch::DiscoverySource;

#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
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

pub fn read(file: &Path) -> Result<Config, GatewayError> {
    let text =
        std::fs::read_to_string(file).map_err(|error| GatewayError::Unread { file: file.into(), error })?;
    Config::read(&text).map_err(|error| GatewayError::Config { file: file.into(), error })
}

/// Runs one gateway until SIGTERM or SIGINT; to be awaited inside a `LocalSet`.
/// `listening` is told the address once it listens.
pub async fn run(file: PathBuf, listening: impl FnOnce(SocketAddr)) -> Result<(), GatewayError> {
    // Danger: a signal that comes before this ends the process at once.
    let mut hangup = signal(SignalKind::hangup()).map_err(GatewayError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(GatewayError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(GatewayError::Signals)?;
    let mut config = read(&file)?;
    let clock = Clock::start();
    let core =
        Core::start(&config, clock.now()).map_err(|error| GatewayError::Settings(error.to_string()))?;
    let bounds = ResourceLimits::from_config(&config).map_err(GatewayError::Settings)?;
    let listen = |error| GatewayError::Listen { address: config.listen, error };
    let listener = TcpListener::bind(config.listen).await.map_err(listen)?;
    let address = listener.local_addr().map_err(listen)?;
    let hub = Rc::new(EventLoop::new(core, clock, bounds));
    let (to_watch, source) = watched::channel(DiscoverySource::from_config(&config));
    let dial = Socket::connect;
    let followed = watch::follow(dial, hub.clone(), source, config.known.version, config.seed);
    tokio::task::spawn_local(followed);
    tokio::task::spawn_local(store::tidy(hub.clone()));
    tokio::task::spawn_local(report_counters(hub.clone()));
    tokio::task::spawn_local(listener::accept(hub.clone(), listener));
    tracing::info!(name = config.name, listen = %address, discovery = %config.discovery, "serving");
    listening(address);
    let mut turns = tokio::task::spawn_local(event_loop::run(hub.clone()));
    let told_to_end = Notify::new();
    let mut stopped = std::pin::pin!(stop(&hub, &told_to_end));
    loop {
        tokio::select! {
            // What has come together is taken in this order: a drain goes by the configuration before it.
            biased;
            ended = &mut turns => return ended.unwrap_or_else(|e| Err(e.to_string())).map_err(GatewayError::Fatal),
            () = &mut stopped => return Ok(()),
            _ = hangup.recv() => {
                if let Err(error) = reconfigure(&file, &mut config, &hub, &to_watch) {
                    // Hazard: a half-written or wrong file must not end a gateway that serves.
                    tracing::error!(%error, "configuration not read again, the former holds");
                }
            }
            _ = terminate.recv() => told_to_end.notify_one(),
            _ = interrupt.recv() => told_to_end.notify_one(),
        }
    }
}

/// Reads the configuration again and puts it in force as a whole, or not at all.
fn reconfigure(
    file: &Path,
    config: &mut Config,
    hub: &EventLoop,
    to_watch: &watched::Sender<DiscoverySource>,
) -> Result<(), GatewayError> {
    let new = read(file)?;
    if (new.listen, &new.name, new.seed) != (config.listen, &config.name, config.seed) {
        tracing::warn!(listen = %new.listen, name = new.name, "listen, name and seed need a restart");
    }
    if (&new.settings, new.limits) != (&config.settings, config.limits) {
        hub.reconfigure(&new).map_err(GatewayError::Settings)?;
    }
    let source = DiscoverySource::from_config(&new);
    to_watch.send_if_modified(|held| std::mem::replace(held, source) != source);
    tracing::info!(discovery = %new.discovery, counters = %hub.counters, "configuration read again");
    *config = new;
    Ok(())
}

/// How often the counts by reason are told, where they have changed.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(60);

/// Tells the counts by reason at an interval, for as long as the gateway runs.
async fn report_counters(hub: Rc<EventLoop>) {
    let mut last = String::new();
    loop {
        sleep(COUNTERS_INTERVAL).await;
        let now = hub.counters.to_string();
        if now != last {
            tracing::info!(counters = %now, "lifecycle counters");
            last = now;
        }
    }
}

/// Once told so, goes on serving for as long as what comes can still be answered before SIGKILL: nobody else serves
/// these clients until the next run of this gateway. Then ends idle connections, and returns when all that was taken
/// is answered.
async fn stop(hub: &EventLoop, told: &Notify) {
    told.notified().await;
    let Timeouts { accept_until, retry_until, drain_deadline, response_write, drain_close, .. } =
        hub.limits().timeouts;
    let at = |span| hub.clock.instant(hub.clock.now() + span).into();
    let (closing, end): (Instant, Instant) = (at(accept_until), at(drain_deadline));
    tracing::info!(open = hub.open_requests(), clients = hub.clients.len(), counters = %hub.counters, "stopping");
    hub.post(Input::ShuttingDown(hub.clock.now() + retry_until));
    hub.enter(Phase::Draining);
    sleep_until(closing).await;
    hub.enter(Phase::Closing);
    if timeout_at(end, hub.clients.empty()).await.is_ok() {
        tracing::info!(counters = %hub.counters, "lifecycle counters");
        return;
    }
    // Danger: what was taken is lost without its whole answer, and this process may have come to it late. Who has sent
    // no whole request by now is turned away.
    let answered = timeout(response_write, hub.clients.all_answered()).await.is_ok();
    // Danger: bytes that lie unread when the process ends reset their connections, and answers go with them.
    let parted = timeout(drain_close, hub.clients.empty()).await.is_ok();
    let clients = hub.clients.len();
    let may_exit = connection::may_exit(hub.clients.obligations());
    if let Err(violation) = may_exit {
        hub.counters.count(violation);
        tracing::error!(%violation, clients, "lifecycle rule violated");
    }
    tracing::info!(counters = %hub.counters, "lifecycle counters");
    match answered {
        true => tracing::info!(clients, parted, "stopped with open connections"),
        false => tracing::warn!(open = hub.open_requests(), clients, "stopped with requests unanswered"),
    }
}
