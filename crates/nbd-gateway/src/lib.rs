//! The running gateway: sockets, tasks and time around [`umbertray_routing::Core`]. It moves bytes and decides nothing.
//!
//! One task owns the core (`hub`), one each session (`session`), two each store link (`link`), one the connection to
//! the list (`list`). They talk through channels; what a channel holds is bounded by the bytes that sessions were
//! granted before their requests were read.

mod budget;
mod changes;
mod event_loop;
mod link;
mod list;
mod relayed;
mod reply;
mod session;
mod snapshot_writer;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinHandle;
use umbertray_routing::{Core, RequestHandler, Settings};

pub use changes::ChangeSource;
pub use relayed::{PATIENCE, RelaySource, RelayedChanges, RelayedError};
pub use umbertray_clock::Clock;
pub use umbertray_config_log::acted::read as acted;

/// Where a gateway listens and whom it asks.
pub struct GatewayOptions {
    /// Where NBD clients connect; port 0 lets the system choose.
    pub listen: Vec<SocketAddr>,
    /// The list of stores.
    pub endpoint_list: SocketAddr,
    /// The coordinator of the map; absent: the list's service has the directory of extents too.
    pub coordinator: Option<SocketAddr>,
    /// Chance within the module, and whose state a folder holds; two gateways must not share one.
    pub seed: u64,
    /// Where state is kept over restarts, if anywhere.
    pub state: Option<PathBuf>,
    /// The log of changes that it follows, if any, read up to the settings that it starts with.
    pub changes: Option<ChangeSource>,
}

/// A gateway at work. Dropping it ends its tasks at once, as a kill would.
pub struct RunningGateway {
    pub addresses: Vec<SocketAddr>,
    stop: watch::Sender<bool>,
    hub: JoinHandle<Result<(), String>>,
    present: Arc<ArcSwap<Settings>>,
    applied_version: watch::Receiver<u64>,
    accepting: Vec<JoinHandle<()>>,
    /// Changes go on being followed while what is open is answered.
    following: Option<JoinHandle<()>>,
}

impl RunningGateway {
    /// Stops listening, refuses what is new, and returns when all that is open has its final answer, or when the
    /// longest op timeout has passed.
    pub async fn stop(mut self) -> Result<(), String> {
        _ = self.stop.send(true);
        self.accepting.drain(..).for_each(|task| task.abort());
        self.ended().await
    }

    /// The volumes that clients can ask for now.
    pub fn exports(&self) -> Vec<String> {
        let settings = self.present.load();
        settings
            .volumes
            .iter()
            .filter(|volume| !volume.is_removed)
            .map(|volume| volume.name.clone())
            .collect()
    }

    /// It has ended, as [`RunningGateway::ended`] tells.
    pub fn has_ended(&self) -> bool {
        self.hub.is_finished()
    }

    /// The version of the log of changes that it acts on, and each that it acts on later; 0 where it follows none.
    pub fn applied_version(&self) -> watch::Receiver<u64> {
        self.applied_version.clone()
    }

    /// Returns when the gateway cannot go on.
    pub async fn ended(&mut self) -> Result<(), String> {
        (&mut self.hub).await.unwrap_or_else(|error| Err(format!("the hub ended: {error}")))
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        self.accepting.iter().chain(&self.following).for_each(JoinHandle::abort);
        self.hub.abort();
    }
}

/// Starts a gateway on the present runtime.
pub async fn start(settings: Arc<Settings>, options: GatewayOptions) -> io::Result<RunningGateway> {
    let clock = Clock::start();
    let core = Core::new(settings.clone(), options.seed, clock.now());
    start_hosting(Box::new(core), clock, settings, options).await
}

/// Starts a gateway whose loop hosts something else than the core, to measure against.
pub async fn start_hosting(
    core: Box<dyn RequestHandler>,
    clock: Clock,
    settings: Arc<Settings>,
    options: GatewayOptions,
) -> io::Result<RunningGateway> {
    let (to_hub, from_all) = mpsc::unbounded_channel();
    let (stop, stopping) = watch::channel(false);
    // A run's number is never used again, or a store would take its dispatches for those of the run before.
    let run = clock.now().as_nanos() as u64 ^ options.seed.rotate_left(32);
    let (to_changes, changed) = mpsc::channel(1);
    let keeping = options
        .state
        .and_then(|folder| snapshot_writer::open(&folder, options.seed, &settings, to_hub.clone()));
    let (keeper, recalled) = keeping.unzip();
    let hub = event_loop::EventLoop::new(
        core,
        clock,
        settings.clone(),
        (options.endpoint_list, options.coordinator),
        run,
        to_hub.clone(),
    );
    let hub = hub.keeping(keeper, recalled.flatten());
    let present = Arc::new(ArcSwap::new(settings.clone()));
    let (removing, removed) = watch::channel(0);
    let starts_at = options.changes.as_ref().map_or(0, |changes| changes.at().version.number);
    let (acting, acted) = watch::channel(starts_at);
    let (mut addresses, mut accepting) = (Vec::new(), Vec::new());
    let following = options.changes.map(|changes| {
        let (own, present) = (settings.clone(), present.clone());
        let told = changes::Told { own, present, removing, acted: acting, to_hub: to_changes };
        tokio::spawn(changes.follow(told))
    });
    let shared = Arc::new(session::Shared {
        present: present.clone(),
        removed,
        budget: budget::Budget::new(&settings.bounds, settings.max_retry_after, clock),
        settings: settings.clone(),
        clock,
        to_hub,
        stopping: stopping.clone(),
    });
    let places = Arc::new(Semaphore::new(settings.bounds.sessions));
    for address in options.listen {
        let listener = TcpListener::bind(address).await?;
        addresses.push(listener.local_addr()?);
        accepting.push(tokio::spawn(accept(listener, shared.clone(), places.clone())));
    }
    drop(shared);
    let hub = tokio::spawn(hub.run(from_all, changed, stopping));
    Ok(RunningGateway { addresses, stop, hub, present, applied_version: acted, accepting, following })
}

/// At the bound on sessions nothing is accepted; clients wait in the system's backlog.
async fn accept(listener: TcpListener, shared: Arc<session::Shared>, places: Arc<Semaphore>) {
    while let Ok(place) = places.clone().acquire_owned().await {
        match umbertray_socket::accept(&listener).await {
            Ok((stream, peer)) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    session::run(shared, stream, peer).await;
                    drop(place);
                });
            }
            // Out of descriptors or memory, most likely: trying at once would spin.
            Err(error) => {
                tracing::warn!(%error, "no session accepted");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}
