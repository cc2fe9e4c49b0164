//! The coordinator: one process that holds the map of where data lies and sees moves through. It moves bytes, keeps the log and
//! time; what it says and orders is decided by [`umbertray_control_plane::Coordinator`].
//!
//! One task owns the core (`hub`), one each peer's connection (`peers`), one the list of stores (`stores`), one each link to a
//! store. What is logged is synced before what follows it is said or ordered (`log`).

pub mod client;
mod event_loop;
mod lease;
mod log;
mod peers;
mod stores;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use umbertray_config_log::chain::ChainError;

pub use lease::Takeover;

#[derive(Debug, thiserror::Error)]
pub enum CoordinatorError {
    #[error("{}: another keeper works in this folder; stop it, or take over from one that stands still", folder.display())]
    Locked { folder: PathBuf },
    #[error("{}: the keeper there was at work {ago:?} ago; it may be taken over from once that is {wait:?}", folder.display())]
    Leased { folder: PathBuf, ago: std::time::Duration, wait: std::time::Duration },
    #[error("{}: the log cannot be used: {error}; restore the folder from a copy, and never start with an empty one while stores hold ranges that were moved", folder.display())]
    Log { folder: PathBuf, error: ChainError },
    #[error("{}: version {version} of the log cannot be read by this program; run the one that wrote it", folder.display())]
    UnreadableRecord { folder: PathBuf, version: u64 },
    #[error("{}: {error}; see to the disk, then start again", folder.display())]
    Disk { folder: PathBuf, error: io::Error },
    #[error("listening at {address}: {error}; name another address, or stop who has it")]
    Listen { address: SocketAddr, error: io::Error },
    #[error(
        "a keeper of term {theirs} is at work, this one has term {ours}: it ends, as it has nothing to say any more"
    )]
    Superseded { ours: u64, theirs: u64 },
    #[error(
        "its lease ran out while it stood still: it ends, since another may have taken over; start it again if none has"
    )]
    TakenOver,
    #[error("the keeper's loop ended: {0}; start it again, and tell of it")]
    Ended(tokio::task::JoinError),
}

pub struct CoordinatorOptions {
    /// Where gateways connect; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The list of stores.
    pub endpoint_list: SocketAddr,
    /// Its log, and whoever works in it.
    pub folder: PathBuf,
    pub takeover: Takeover,
}

/// A coordinator at work. Dropping it ends its tasks at once, as a kill would.
pub struct RunningCoordinator {
    pub address: SocketAddr,
    pub term: u64,
    hub: JoinHandle<Result<(), CoordinatorError>>,
    others: Vec<JoinHandle<()>>,
}

impl RunningCoordinator {
    /// Returns when the coordinator cannot go on.
    pub async fn ended(&mut self) -> Result<(), CoordinatorError> {
        match (&mut self.hub).await {
            Ok(ended) => ended,
            Err(error) => Err(CoordinatorError::Ended(error)),
        }
    }
}

impl Drop for RunningCoordinator {
    fn drop(&mut self) {
        self.hub.abort();
        self.others.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a coordinator on the present runtime: its term is on the disk before it listens.
pub async fn start(options: CoordinatorOptions) -> Result<RunningCoordinator, CoordinatorError> {
    let CoordinatorOptions { listen, endpoint_list: list, folder, takeover } = options;
    let (lease, disk) = lease::Lease::take(&folder, takeover)?;
    let (log, core, first) = log::Log::open(Box::new(disk), &folder)?;
    let term = core.state().term;
    let wrong = |error| CoordinatorError::Listen { address: listen, error };
    let listener = TcpListener::bind(listen).await.map_err(wrong)?;
    let address = listener.local_addr().map_err(wrong)?;
    let (to_hub, from_all) = mpsc::unbounded_channel();
    let others = vec![
        tokio::spawn(peers::accept(listener, to_hub.clone())),
        tokio::spawn(stores::follow(list, to_hub.clone())),
    ];
    let hub = event_loop::EventLoop::new(core, log, lease, to_hub);
    let hub = tokio::spawn(hub.run(first, from_all));
    tracing::info!(%address, term, "keeper at work");
    Ok(RunningCoordinator { address, term, hub, others })
}

fn disk(folder: &Path) -> impl Fn(io::Error) -> CoordinatorError {
    let folder = folder.to_path_buf();
    move |error| CoordinatorError::Disk { folder: folder.clone(), error }
}
