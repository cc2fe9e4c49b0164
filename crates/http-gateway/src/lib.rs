//! The HTTP gateway on sockets: clients, stores, discovery and signals around [`umbertray_http_api::Core`]. It moves bytes and
//! decides nothing. All of it runs on one thread, in one `LocalSet`.
//!
//! One task owns the core's turns (`event_loop`), one each client's connection (`client`), one each attempt (`attempt`), one
//! the watch on the endpoint list (`watch`), which waits as `backoff` says. What each may hold is in `resource_limits`.

mod attempt;
mod backoff;
mod client;
mod client_connections;
mod event_loop;
mod listener;
mod resource_limits;
mod response;
mod response_memory;
mod shutdown;
mod store_pool;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch as watched};
use tokio::task::JoinError;
use tokio::time::sleep;
use umbertray_clock::Clock;
use umbertray_http_api::config::ConfigError;
use umbertray_http_api::{Config, Core, StartError};
use umbertray_socket::Socket;

pub use crate::event_loop::{FatalError, ReconfigureError};
pub use crate::resource_limits::LimitsError;

use crate::event_loop::EventLoop;
use crate::resource_limits::ResourceLimits;
use crate::watch::DiscoverySource;

/// Why a gateway cannot start, or cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The configuration file cannot be read.
    #[error("{}: {error}", file.display())]
    Unread {
        /// The file.
        file: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The configuration cannot be parsed.
    #[error("{}: {error}", file.display())]
    Config {
        /// The file.
        file: PathBuf,
        /// Why.
        error: ConfigError,
    },
    /// The core cannot start with the settings.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Limits cannot be derived from the configuration.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// A configuration that was read again cannot be put in force.
    #[error(transparent)]
    Reconfigure(#[from] ReconfigureError),
    /// The gateway cannot listen.
    #[error("listening at {address}: {error}")]
    Listen {
        /// Where it should.
        address: SocketAddr,
        /// Why it cannot.
        error: io::Error,
    },
    /// Signals cannot be handled.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The scheduler cannot go on.
    #[error("the scheduler cannot go on: {0}")]
    Fatal(#[from] FatalError),
    /// The task that owns the core has panicked.
    #[error("the scheduler cannot go on: {0}")]
    TaskFailed(#[from] JoinError),
}

/// Reads a configuration file.
///
/// # Errors
/// The file cannot be read, or is no configuration.
pub fn read(file: &Path) -> Result<Config, GatewayError> {
    let text =
        std::fs::read_to_string(file).map_err(|error| GatewayError::Unread { file: file.into(), error })?;
    Config::read(&text).map_err(|error| GatewayError::Config { file: file.into(), error })
}

/// The signals that the gateway handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> Result<Signals, GatewayError> {
        let install = |kind| signal(kind).map_err(GatewayError::Signals);
        Ok(Signals {
            hangup: install(SignalKind::hangup())?,
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }

    /// Whether a signal to end has come that was not taken yet; it is taken.
    fn is_terminating(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        let terminate = self.terminate.poll_recv(&mut context).is_ready();
        self.interrupt.poll_recv(&mut context).is_ready() || terminate
    }
}

/// Runs one gateway until SIGTERM or SIGINT; to be awaited inside a `LocalSet`. `listening` gets the address once the gateway
/// listens.
///
/// # Errors
/// The gateway cannot start, or its scheduler cannot go on.
pub async fn run(file: PathBuf, listening: impl FnOnce(SocketAddr)) -> Result<(), GatewayError> {
    // Hazard: a signal that comes before this ends the process at once.
    let mut signals = Signals::install()?;
    let mut config = read(&file)?;
    let clock = Clock::start();
    let core = Core::start(&config, clock.now())?;
    let limits = ResourceLimits::from_config(&config)?;
    let listen_error = |error| GatewayError::Listen { address: config.listen, error };
    let listener = TcpListener::bind(config.listen).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let event_loop = Rc::new(EventLoop::new(core, clock, limits));
    let (to_watch, source) = watched::channel(DiscoverySource::from_config(&config));
    let connect = Socket::connect;
    let watch = watch::follow(connect, event_loop.clone(), source, config.known.version, config.seed);
    tokio::task::spawn_local(watch);
    tokio::task::spawn_local(store_pool::sweep_pools(event_loop.clone()));
    tokio::task::spawn_local(report_counters(event_loop.clone()));
    tokio::task::spawn_local(listener::accept(event_loop.clone(), listener));
    tracing::info!(name = config.name, listen = %address, discovery = %config.discovery, "gateway started");
    listening(address);
    let mut turns = tokio::task::spawn_local(event_loop::run(event_loop.clone()));
    let terminate = Notify::new();
    let mut shutdown = std::pin::pin!(shutdown::run(&event_loop, &terminate));
    loop {
        tokio::select! {
            // What has come together is taken in this order; a drain then ends by the earlier of both configurations.
            biased;
            ended = &mut turns => return Ok(ended??),
            () = &mut shutdown => return Ok(()),
            _ = signals.hangup.recv() => {
                // Hazard: signals that come together do not tell their order. SIGKILL may go by the configuration before.
                let is_terminating = signals.is_terminating();
                if is_terminating {
                    event_loop.bound_drain();
                }
                if let Err(error) = reconfigure(&file, &mut config, &event_loop, &to_watch) {
                    // Hazard: a half-written or wrong file must not end a gateway that serves.
                    tracing::error!(%error, "configuration rejected, the former holds");
                }
                if is_terminating {
                    terminate.notify_one();
                }
            }
            _ = signals.terminate.recv() => terminate.notify_one(),
            _ = signals.interrupt.recv() => terminate.notify_one(),
        }
    }
}

/// Reads the configuration again and puts it in force as a whole, or not at all.
fn reconfigure(
    file: &Path,
    config: &mut Config,
    event_loop: &EventLoop,
    to_watch: &watched::Sender<DiscoverySource>,
) -> Result<(), GatewayError> {
    let new = read(file)?;
    if (new.listen, &new.name, new.seed) != (config.listen, &config.name, config.seed) {
        tracing::warn!(listen = %new.listen, name = new.name, "listen, name and seed need a restart");
    }
    if (&new.settings, new.limits) != (&config.settings, config.limits) {
        event_loop.reconfigure(&new)?;
    }
    let source = DiscoverySource::from_config(&new);
    to_watch.send_if_modified(|current| std::mem::replace(current, source) != source);
    let counters = &event_loop.counters;
    tracing::info!(discovery = %new.discovery, %counters, "configuration applied");
    *config = new;
    Ok(())
}

/// How often the counters are logged, where they have changed.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(60);

/// Logs the counters at an interval, for as long as the gateway runs.
async fn report_counters(event_loop: Rc<EventLoop>) {
    let mut last = String::new();
    loop {
        sleep(COUNTERS_INTERVAL).await;
        let counters = event_loop.counters.to_string();
        if counters != last {
            tracing::info!(%counters, "lifecycle counters");
            last = counters;
        }
    }
}
