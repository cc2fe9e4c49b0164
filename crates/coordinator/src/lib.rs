//! The coordinator process: it holds the extent map and carries out moves. This package does the I/O
//! (sockets, log, clock); [`umbertray_control_plane::Coordinator`] decides which responses and orders are
//! sent.
//!
//! One task owns the core (`event_loop`), one task serves each peer's connection (`peers`), one watches the
//! endpoint list (`endpoint_list`), and one runs each connection to a store (`store_connection`).
//!
//! Invariant: log records are durable before any message that depends on them is sent (`log`), and nothing is
//! sent while this process does not hold the lease of the folder (`lease`).

pub mod client;
mod endpoint_list;
mod error;
mod event_loop;
mod framed_socket;
mod lease;
mod log;
mod peers;
mod store_connection;

use std::net::SocketAddr;
use std::path::PathBuf;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

pub use error::CoordinatorError;
pub use lease::Takeover;

use event_loop::EventLoop;

/// Options for [`start`].
pub struct CoordinatorOptions {
    /// The address to listen at for gateways; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The address of the list service, which serves the endpoint list.
    pub endpoint_list: SocketAddr,
    /// The folder of the log and the lease.
    pub folder: PathBuf,
    /// Whether to take the folder over from another coordinator.
    pub takeover: Takeover,
}

/// A running coordinator. Dropping it aborts its tasks immediately, with the effect of killing the process.
pub struct RunningCoordinator {
    /// The address that it listens at.
    pub address: SocketAddr,
    /// The term of this run.
    pub term: u64,
    event_loop: JoinHandle<Result<(), CoordinatorError>>,
    /// The tasks that accept peers and watch the endpoint list.
    _background_tasks: JoinSet<()>,
}

impl RunningCoordinator {
    /// Waits until the coordinator stops.
    ///
    /// # Errors
    /// The reason why it stopped.
    pub async fn wait_until_ended(&mut self) -> Result<(), CoordinatorError> {
        match (&mut self.event_loop).await {
            Ok(result) => result,
            Err(error) => Err(CoordinatorError::EventLoopFailed(error)),
        }
    }
}

impl Drop for RunningCoordinator {
    fn drop(&mut self) {
        self.event_loop.abort();
    }
}

/// Starts a coordinator on the current runtime, which must be multi-threaded because log writes block a
/// thread. The event loop makes the new term durable before it handles any event.
///
/// # Errors
/// Another coordinator holds the folder, the folder is damaged or inaccessible, or listening at the address
/// fails.
pub async fn start(options: CoordinatorOptions) -> Result<RunningCoordinator, CoordinatorError> {
    let CoordinatorOptions { listen, endpoint_list, folder, takeover } = options;
    let lease::LeasedFolder { mut lease, disk } = lease::Lease::acquire(&folder, takeover)?;
    let opened =
        tokio::task::block_in_place(|| log::Log::open(Box::new(disk), &folder, || lease.renew_unless_lost()));
    let log::OpenLog { log, coordinator, first_outputs } = opened?;
    let term = coordinator.state().term;
    let listen_error = |error| CoordinatorError::Listen { address: listen, error };
    let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let (events, event_receiver) = mpsc::unbounded_channel();
    let mut background_tasks = JoinSet::new();
    background_tasks.spawn(peers::accept(listener, events.clone()));
    background_tasks.spawn(endpoint_list::follow(endpoint_list, events.clone()));
    let event_loop = EventLoop::new(coordinator, log, lease, events);
    let event_loop = tokio::spawn(event_loop.run(first_outputs, event_receiver));
    tracing::info!(%address, term, "coordinator started");
    Ok(RunningCoordinator { address, term, event_loop, _background_tasks: background_tasks })
}
