//! Starting and stopping a gateway.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinHandle;
use umbertray_clock::Clock;
use umbertray_routing::{Core, RequestHandler, Settings};

use crate::buffer_budget::BufferBudget;
use crate::changes::{ChangePublisher, ChangeSource};
use crate::error::GatewayError;
use crate::event_loop::{EventLoop, LoopChannels, ServiceAddresses};
use crate::session::SessionContext;
use crate::{listener, snapshot_writer};

/// The addresses that a gateway listens on, and the services that it uses.
pub struct GatewayOptions {
    /// Addresses for NBD clients; with port 0 the system chooses the port.
    pub listen: Vec<SocketAddr>,
    /// Address of the list service, which has the endpoint list of the stores.
    pub endpoint_list: SocketAddr,
    /// Address of the coordinator that serves the extent map. If absent, the list service has the extent map
    /// too.
    pub coordinator: Option<SocketAddr>,
    /// Seed of the scheduler's randomness, and identity of the gateway as owner of its state folder. No two
    /// gateways may have the same seed.
    pub seed: u64,
    /// Folder for the state that is kept across restarts, if any.
    pub state_folder: Option<PathBuf>,
    /// The change log to follow, if any, read up to the settings that the gateway starts with.
    pub changes: Option<ChangeSource>,
}

/// A running gateway. Dropping it aborts its event loop, its listeners and the task that follows changes at
/// once, like killing the process. Sessions and connections end when the event loop's channels close.
pub struct RunningGateway {
    /// The addresses it listens on, in the order of [`GatewayOptions::listen`].
    pub addresses: Vec<SocketAddr>,
    stop_sender: watch::Sender<bool>,
    event_loop: JoinHandle<Result<(), GatewayError>>,
    current_settings: Arc<ArcSwap<Settings>>,
    applied_version: watch::Receiver<u64>,
    listeners: Vec<JoinHandle<()>>,
    /// Keeps running during a drain, so that changes are applied while open requests are completed.
    change_follower: Option<JoinHandle<()>>,
}

impl RunningGateway {
    /// Drains the gateway: stops listening, rejects new requests, and returns when all open requests have a
    /// final reply, or when the longest operation timeout has passed.
    ///
    /// # Errors
    /// Those of [`RunningGateway::wait_until_ended`].
    pub async fn stop(mut self) -> Result<(), String> {
        _ = self.stop_sender.send(true);
        self.listeners.drain(..).for_each(|task| task.abort());
        self.wait_until_ended().await
    }

    /// Names of the volumes that clients can attach to now.
    pub fn exports(&self) -> Vec<String> {
        let settings = self.current_settings.load();
        settings
            .volumes
            .iter()
            .filter(|volume| !volume.is_removed)
            .map(|volume| volume.name.clone())
            .collect()
    }

    /// Whether [`RunningGateway::wait_until_ended`] would return at once.
    pub fn has_ended(&self) -> bool {
        self.event_loop.is_finished()
    }

    /// A channel that holds the applied version of the change log and receives each later one; 0 if no log is
    /// followed.
    pub fn applied_version(&self) -> watch::Receiver<u64> {
        self.applied_version.clone()
    }

    /// Waits until the event loop has ended.
    ///
    /// # Errors
    /// The core cannot continue, or the event loop panicked: the text of a [`GatewayError`].
    pub async fn wait_until_ended(&mut self) -> Result<(), String> {
        let result = (&mut self.event_loop).await.unwrap_or_else(|error| Err(error.into()));
        result.map_err(|error| error.to_string())
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        self.listeners.iter().chain(&self.change_follower).for_each(JoinHandle::abort);
        self.event_loop.abort();
    }
}

/// Starts a gateway on the current runtime.
///
/// # Errors
/// Binding one of the listen addresses failed.
pub async fn start(settings: Arc<Settings>, options: GatewayOptions) -> io::Result<RunningGateway> {
    let clock = Clock::start();
    let core = Core::new(settings.clone(), options.seed, clock.now());
    start_with_handler(Box::new(core), clock, settings, options).await
}

/// Starts a gateway whose event loop hosts another handler than [`Core`], used as a baseline in measurements.
///
/// # Errors
/// Binding one of the listen addresses failed.
pub async fn start_with_handler(
    core: Box<dyn RequestHandler>,
    clock: Clock,
    settings: Arc<Settings>,
    options: GatewayOptions,
) -> io::Result<RunningGateway> {
    let (events, event_receiver) = mpsc::unbounded_channel();
    let (stop_sender, stop_signal) = watch::channel(false);
    let run_id = run_id(clock, options.seed);
    let (change_sender, changes) = mpsc::channel(1);
    let snapshots = options
        .state_folder
        .and_then(|folder| snapshot_writer::open(&folder, options.seed, &settings, events.clone()));
    let services =
        ServiceAddresses { endpoint_list: options.endpoint_list, coordinator: options.coordinator };
    let event_loop = EventLoop::new(core, clock, settings.clone(), services, run_id, events.clone());
    let event_loop = event_loop.with_snapshots(snapshots);
    let current_settings = Arc::new(ArcSwap::new(settings.clone()));
    let (removed_volumes, removed_volumes_receiver) = watch::channel(0);
    let first_version = options.changes.as_ref().map_or(0, |source| source.replica().version.number);
    let (applied_version_sender, applied_version) = watch::channel(first_version);
    let change_follower = options.changes.map(|source| {
        tokio::spawn(source.follow(ChangePublisher {
            own_settings: settings.clone(),
            current_settings: current_settings.clone(),
            removed_volumes,
            applied_version: applied_version_sender,
            changes: change_sender,
        }))
    });
    let max_sessions = settings.bounds.sessions;
    let context = Arc::new(SessionContext {
        current_settings: current_settings.clone(),
        removed_volumes: removed_volumes_receiver,
        budget: BufferBudget::new(&settings.bounds, settings.max_retry_after, clock),
        settings,
        clock,
        events,
        stop_signal: stop_signal.clone(),
    });
    let (addresses, listeners) = listen(&options.listen, &context, max_sessions).await?;
    drop(context);
    let channels = LoopChannels { events: event_receiver, changes, stop_signal };
    let event_loop = tokio::spawn(event_loop.run(channels));
    Ok(RunningGateway {
        addresses,
        stop_sender,
        event_loop,
        current_settings,
        applied_version,
        listeners,
        change_follower,
    })
}

/// A number that identifies this run of the gateway. Hazard: it must never repeat, or a store would treat
/// this run's attempts as those of an earlier run.
fn run_id(clock: Clock, seed: u64) -> u64 {
    clock.now().as_nanos() as u64 ^ seed.rotate_left(32)
}

/// Listens on all addresses, which share one session limit.
async fn listen(
    addresses: &[SocketAddr],
    context: &Arc<SessionContext>,
    max_sessions: usize,
) -> io::Result<(Vec<SocketAddr>, Vec<JoinHandle<()>>)> {
    let session_slots = Arc::new(Semaphore::new(max_sessions));
    let mut bound = Vec::new();
    let mut listeners = Vec::new();
    // Hazard: all addresses are bound before any task accepts. Otherwise, if binding a later address failed,
    // a task would go on accepting clients for a gateway that did not start.
    for address in addresses {
        let listener = TcpListener::bind(address).await?;
        bound.push(listener.local_addr()?);
        listeners.push(listener);
    }
    let accept =
        |listener| tokio::spawn(listener::accept_sessions(listener, context.clone(), session_slots.clone()));
    Ok((bound, listeners.into_iter().map(accept).collect()))
}
