//! The HTTP gateway on sockets: connects clients, stores, discovery and signals to
//! [`umbertray_http_api::Core`]. It transfers bytes and makes no decisions. Everything runs on one thread, in
//! one `LocalSet`.
//!
//! One task runs the turns of the core (`event_loop`), one serves each client connection (`client`), one runs
//! each attempt (`attempt`), and one watches the endpoint list (`watch`), with the timeouts of `backoff`.
//! `resource_limits` defines the limits of each.

mod attempt;
mod backoff;
mod client;
mod client_connections;
mod client_input;
mod event_loop;
mod listener;
mod memory_budget;
mod resource_limits;
mod response;
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
use tokio::sync::{Notify, watch as watch_channel};
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

/// A gateway cannot start, or cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The configuration file cannot be read.
    #[error("{}: {error}", file.display())]
    ConfigUnreadable {
        /// The configuration file.
        file: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The configuration cannot be parsed.
    #[error("{}: {error}", file.display())]
    ConfigInvalid {
        /// The configuration file.
        file: PathBuf,
        /// The cause.
        error: ConfigError,
    },
    /// The core cannot start with the settings.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Limits cannot be derived from the configuration.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// A changed configuration cannot be put in force.
    #[error(transparent)]
    Reconfigure(#[from] ReconfigureError),
    /// The gateway cannot listen.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// The scheduler cannot continue.
    #[error("the scheduler cannot continue: {0}")]
    Fatal(#[from] FatalError),
    /// The task that owns the core has panicked.
    #[error("the event loop task failed: {0}")]
    TaskFailed(#[from] JoinError),
}

/// Reads a configuration file.
///
/// # Errors
/// The file cannot be read, or is not a valid configuration.
pub fn read_config(file: &Path) -> Result<Config, GatewayError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| GatewayError::ConfigUnreadable { file: file.into(), error })?;
    Config::parse(&text).map_err(|error| GatewayError::ConfigInvalid { file: file.into(), error })
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

    /// Consumes pending termination signals. Returns whether there were any.
    fn is_terminating(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        let terminate = self.terminate.poll_recv(&mut context).is_ready();
        self.interrupt.poll_recv(&mut context).is_ready() || terminate
    }
}

/// Runs a gateway until SIGTERM or SIGINT. Must be awaited inside a `LocalSet`. `listening` is called with
/// the address once the gateway listens.
///
/// # Errors
/// The gateway cannot start, or its scheduler cannot continue.
pub async fn run(file: PathBuf, listening: impl FnOnce(SocketAddr)) -> Result<(), GatewayError> {
    // Hazard: a signal that arrives before the handlers are installed terminates the process immediately.
    let mut signals = Signals::install()?;
    let mut config = read_config(&file)?;
    let clock = Clock::start();
    let limits = ResourceLimits::from_config(&config)?;
    let core = Core::start(&config, limits.tables, clock.now())?;
    let listen_error = |error| GatewayError::Listen { address: config.listen, error };
    let listener = TcpListener::bind(config.listen).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let event_loop = Rc::new(EventLoop::new(core, clock, limits));
    let (source_sender, source) = watch_channel::channel(DiscoverySource::from_config(&config));
    let connect = Socket::connect;
    let watch =
        watch::follow(connect, event_loop.clone(), source, config.cached_endpoints.version, config.seed);
    tokio::task::spawn_local(watch);
    tokio::task::spawn_local(store_pool::sweep_pools(event_loop.clone()));
    tokio::task::spawn_local(report_counters(event_loop.clone()));
    tokio::task::spawn_local(listener::accept(event_loop.clone(), listener));
    tracing::info!(name = config.name, listen = %address, discovery = %config.discovery, "gateway started");
    listening(address);
    let mut event_loop_task = tokio::task::spawn_local(event_loop::run(event_loop.clone()));
    let terminate = Notify::new();
    let mut shutdown = std::pin::pin!(shutdown::run(&event_loop, &terminate));
    loop {
        tokio::select! {
            // Events that are ready together are handled in this order. If SIGHUP and SIGTERM arrive
            // together, the drain ends by the earlier deadline of both configurations.
            biased;
            ended = &mut event_loop_task => return Ok(ended??),
            () = &mut shutdown => return Ok(()),
            _ = signals.hangup.recv() => {
                // Hazard: the order of signals that arrive together is unknown. SIGKILL may be timed by the
                // former configuration.
                let is_terminating = signals.is_terminating();
                if is_terminating {
                    event_loop.bound_drain();
                }
                if let Err(error) = reconfigure(&file, &mut config, &event_loop, &source_sender) {
                    // Hazard: a half-written or invalid file must not stop a gateway that is serving.
                    tracing::error!(%error, "configuration rejected; the previous one stays in force");
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

/// Reads the configuration again and puts it in force completely, or not at all.
fn reconfigure(
    file: &Path,
    config: &mut Config,
    event_loop: &EventLoop,
    source_sender: &watch_channel::Sender<DiscoverySource>,
) -> Result<(), GatewayError> {
    let new = read_config(file)?;
    if (new.listen, &new.name, new.seed) != (config.listen, &config.name, config.seed) {
        tracing::warn!(listen = %new.listen, name = new.name, "changed listen, name or seed needs a restart");
    }
    if (&new.settings, new.limits) != (&config.settings, config.limits) {
        event_loop.reconfigure(&new)?;
    }
    let source = DiscoverySource::from_config(&new);
    source_sender.send_if_modified(|current| std::mem::replace(current, source) != source);
    let counters = &event_loop.counters;
    tracing::info!(discovery = %new.discovery, %counters, "configuration applied");
    *config = new;
    Ok(())
}

/// Interval at which the counters are logged, if they have changed.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(60);

/// Logs changed counters at an interval, for as long as the gateway runs.
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
