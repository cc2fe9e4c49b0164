//! A gateway's start and its end.

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

/// Where a gateway listens, and which services it uses.
pub struct GatewayOptions {
    /// Where NBD clients connect; port 0 lets the system choose.
    pub listen: Vec<SocketAddr>,
    /// The endpoint list of the stores.
    pub endpoint_list: SocketAddr,
    /// The coordinator of the map; absent: the endpoint list's service has the directory of extents too.
    pub coordinator: Option<SocketAddr>,
    /// Seed of the module's randomness, and the owner of a state folder; no two gateways may share one.
    pub seed: u64,
    /// Folder of the state that outlives a restart, if any.
    pub state: Option<PathBuf>,
    /// The log of changes that it follows, if any, read up to the settings that it starts with.
    pub changes: Option<ChangeSource>,
}

/// A running gateway. Dropping it aborts its event loop, its listeners and the follower of changes at once, as a kill would;
/// sessions and connections end when the event loop's channels close.
pub struct RunningGateway {
    /// Where it listens, in the order of [`GatewayOptions::listen`].
    pub addresses: Vec<SocketAddr>,
    stop: watch::Sender<bool>,
    event_loop: JoinHandle<Result<(), GatewayError>>,
    current_settings: Arc<ArcSwap<Settings>>,
    applied_version: watch::Receiver<u64>,
    listeners: Vec<JoinHandle<()>>,
    /// Goes on during a drain: changes are applied while what is open is answered.
    change_follower: Option<JoinHandle<()>>,
}

impl RunningGateway {
    /// Drains: stops listening, refuses new requests, and returns when all that is open has its final answer, or when the
    /// longest op timeout has passed.
    ///
    /// # Errors
    /// Those of [`RunningGateway::ended`].
    pub async fn stop(mut self) -> Result<(), String> {
        _ = self.stop.send(true);
        self.listeners.drain(..).for_each(|task| task.abort());
        self.ended().await
    }

    /// The volumes that clients can ask for now.
    pub fn exports(&self) -> Vec<String> {
        let settings = self.current_settings.load();
        settings
            .volumes
            .iter()
            .filter(|volume| !volume.is_removed)
            .map(|volume| volume.name.clone())
            .collect()
    }

    /// Whether [`RunningGateway::ended`] would return at once.
    pub fn has_ended(&self) -> bool {
        self.event_loop.is_finished()
    }

    /// The version of the log of changes that is applied, and each later one; 0 where none is followed.
    pub fn applied_version(&self) -> watch::Receiver<u64> {
        self.applied_version.clone()
    }

    /// Waits until the gateway cannot go on.
    ///
    /// # Errors
    /// The core cannot go on, or the event loop panicked: the text of a [`GatewayError`].
    pub async fn ended(&mut self) -> Result<(), String> {
        let ended = (&mut self.event_loop).await.unwrap_or_else(|error| Err(error.into()));
        ended.map_err(|error| error.to_string())
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        self.listeners.iter().chain(&self.change_follower).for_each(JoinHandle::abort);
        self.event_loop.abort();
    }
}

/// Starts a gateway on the present runtime.
///
/// # Errors
/// An address cannot be listened at.
pub async fn start(settings: Arc<Settings>, options: GatewayOptions) -> io::Result<RunningGateway> {
    let clock = Clock::start();
    let core = Core::new(settings.clone(), options.seed, clock.now());
    start_hosting(Box::new(core), clock, settings, options).await
}

/// Starts a gateway whose event loop hosts something else than [`Core`], to measure against.
///
/// # Errors
/// An address cannot be listened at.
pub async fn start_hosting(
    core: Box<dyn RequestHandler>,
    clock: Clock,
    settings: Arc<Settings>,
    options: GatewayOptions,
) -> io::Result<RunningGateway> {
    let (events, event_receiver) = mpsc::unbounded_channel();
    let (stop, is_stopping) = watch::channel(false);
    let run_id = run_id(clock, options.seed);
    let (change_sender, changes) = mpsc::channel(1);
    let snapshots = options
        .state
        .and_then(|folder| snapshot_writer::open(&folder, options.seed, &settings, events.clone()));
    let services =
        ServiceAddresses { endpoint_list: options.endpoint_list, coordinator: options.coordinator };
    let event_loop = EventLoop::new(core, clock, settings.clone(), services, run_id, events.clone());
    let event_loop = event_loop.with_snapshots(snapshots);
    let current_settings = Arc::new(ArcSwap::new(settings.clone()));
    let (removed_volumes, removed_volumes_receiver) = watch::channel(0);
    let first_version = options.changes.as_ref().map_or(0, |source| source.at().version.number);
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
        is_stopping: is_stopping.clone(),
    });
    let (addresses, listeners) = listen(&options.listen, &context, max_sessions).await?;
    drop(context);
    let channels = LoopChannels { events: event_receiver, changes, is_stopping };
    let event_loop = tokio::spawn(event_loop.run(channels));
    Ok(RunningGateway {
        addresses,
        stop,
        event_loop,
        current_settings,
        applied_version,
        listeners,
        change_follower,
    })
}

/// Hazard: a run's number is never used again, or a store would take its attempts for those of the run before.
fn run_id(clock: Clock, seed: u64) -> u64 {
    clock.now().as_nanos() as u64 ^ seed.rotate_left(32)
}

/// Listens at all addresses; they share one bound on sessions.
async fn listen(
    addresses: &[SocketAddr],
    context: &Arc<SessionContext>,
    max_sessions: usize,
) -> io::Result<(Vec<SocketAddr>, Vec<JoinHandle<()>>)> {
    let session_slots = Arc::new(Semaphore::new(max_sessions));
    let mut bound = Vec::new();
    let mut listeners = Vec::new();
    // Hazard: a task that accepts already would go on where a later address cannot be bound, for a gateway that has not
    // started.
    for address in addresses {
        let listener = TcpListener::bind(address).await?;
        bound.push(listener.local_addr()?);
        listeners.push(listener);
    }
    let accept =
        |listener| tokio::spawn(listener::accept_sessions(listener, context.clone(), session_slots.clone()));
    Ok((bound, listeners.into_iter().map(accept).collect()))
}
