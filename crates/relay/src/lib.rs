//! Relays: processes that carry the change log from the writer's folder to gateways and other relays; and the
//! gateway's side, which follows relays. This package does the I/O (sockets, the folder, the clock);
//! [`umbertray_control_plane::relay::RelayNode`] decides which upstream to follow, when to disconnect and
//! what to send. docs/relaying.md is the page for operators.
//!
//! One task owns the node (`event_loop`), one runs each connection (`connection`), one reads the folder
//! (`folder`), and one records commits (`commit_recorder`).
//!
//! Invariant: the channels between the tasks are bounded, and a peer that does not read or send in time is
//! disconnected.

pub mod client;
mod commit_recorder;
mod connection;
mod error;
mod event_loop;
mod folder;
mod log_events;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use umbertray_config::{ChangeSource, Upstream};
use umbertray_config_log::{Replica, Update, applied_version};
use umbertray_control_plane::relay::{self, Config, ConfigError, Origin, RelayNode};
use umbertray_store_protocol::changes::{Position, Role};

pub use error::RelayError;

use commit_recorder::CommitRecorder;
use event_loop::{EventLoop, LoopHandles};

/// Maximum number of connected followers; at this number no connection is accepted until one closes.
pub const MAX_FOLLOWERS: usize = 8192;

/// Options for [`start`].
pub struct RelayOptions {
    /// The address to listen at for followers; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The relay's name, unique among all relays and gateways.
    pub name: String,
    /// The zone that the relay runs in.
    pub zone: String,
    /// Where the change log comes from: the writer's folder, or other relays.
    pub changes: ChangeSource,
    /// The folder in which the relay persists its committed position across restarts. If it is `None`, the
    /// position is not persisted.
    pub folder: Option<PathBuf>,
    /// Seed of the random jitter.
    pub seed: u64,
}

/// A running relay. Dropping it aborts its tasks immediately, with the effect of killing the process.
pub struct RunningRelay {
    /// The address that it listens at.
    pub address: SocketAddr,
    /// The version that the relay has committed.
    pub relayed_version: watch::Receiver<u64>,
    event_loop: JoinHandle<()>,
    /// The tasks that record commits and read the folder.
    _background_tasks: JoinSet<()>,
}

impl RunningRelay {
    /// Waits until the relay stops.
    ///
    /// # Errors
    /// [`RelayError::EventLoopFailed`] if its event loop panicked.
    pub async fn wait_until_ended(&mut self) -> Result<(), RelayError> {
        (&mut self.event_loop).await.map_err(RelayError::EventLoopFailed)
    }
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.event_loop.abort();
    }
}

fn origin(changes: &ChangeSource) -> Origin {
    match changes {
        ChangeSource::Folder(_) => Origin::Folder,
        ChangeSource::Relays { upstreams, quorum } => {
            let upstreams = upstreams
                .iter()
                .map(|upstream| relay::Upstream { name: upstream.name.clone(), zone: upstream.zone.clone() });
            Origin::Upstreams { upstreams: upstreams.collect(), quorum: *quorum }
        }
    }
}

fn configured_upstreams(changes: &ChangeSource) -> &[Upstream] {
    match changes {
        ChangeSource::Folder(_) => &[],
        ChangeSource::Relays { upstreams, .. } => upstreams,
    }
}

/// The position in the change log that a replica's state corresponds to.
pub fn replica_position(state: &Replica) -> Position {
    Position { version: state.version.number, hash: state.hash }
}

/// Starts a relay on the current runtime.
///
/// # Errors
/// The configuration is rejected, the folder cannot be read, or listening at the address fails.
pub async fn start(options: RelayOptions) -> Result<RunningRelay, RelayError> {
    let RelayOptions { listen, name, zone, changes, folder, seed } = options;
    let committed = folder.as_deref().map(read_committed).transpose()?.flatten();
    let origin = origin(&changes);
    let config = Config { name, zone, role: Role::Relay, origin, seed, max_followers: MAX_FOLLOWERS };
    let node = RelayNode::new(config, committed)?;
    let listen_error = |error| RelayError::Listen { address: listen, error };
    let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let upstreams = configured_upstreams(&changes);
    if let Some(itself) = upstreams.iter().find(|upstream| upstream.address == address) {
        return Err(ConfigError::FollowsItself(itself.name.clone()).into());
    }
    let (event_loop, handles) = EventLoop::new(node, upstreams, Some(listener));
    let LoopHandles { updates, applied, folder_events } = handles;
    let (version, relayed_version) = watch::channel(0);
    let recorder = CommitRecorder { folder, version };
    let mut background_tasks = JoinSet::new();
    background_tasks.spawn(commit_recorder::record_commits(recorder.clone(), updates, applied));
    if let ChangeSource::Folder(writer_folder) = changes {
        background_tasks.spawn(folder::follow(writer_folder.into(), recorder, folder_events));
    }
    let event_loop = tokio::spawn(event_loop.run());
    tracing::info!(%address, "relay started");
    Ok(RunningRelay { address, relayed_version, event_loop, _background_tasks: background_tasks })
}

fn read_committed(folder: &Path) -> Result<Option<Position>, RelayError> {
    let committed =
        applied_version::read(folder).map_err(|error| RelayError::Folder { folder: folder.into(), error })?;
    Ok(committed.map(|(version, hash)| Position { version, hash }))
}

/// The updates that a gateway receives from relays, in log order. Dropping it closes the connections.
pub struct ReplicationSource {
    /// Batches of updates. The channel holds one batch: the next is sent once the previous one was received.
    pub updates: mpsc::Receiver<Vec<Update>>,
    /// The gateway sends the version up to which it has applied the updates over this channel.
    pub applied: mpsc::Sender<u64>,
    event_loop: JoinHandle<()>,
}

impl Drop for ReplicationSource {
    fn drop(&mut self) {
        self.event_loop.abort();
    }
}

/// Follows relays for a gateway on the current runtime, in one task for the event loop and one for each
/// connection. It resumes after `held`, the position of the state that the gateway holds, if any. Updates
/// before the position that an earlier run has committed (`held`, or else `committed`) are not delivered, nor
/// are updates of a different history.
///
/// # Errors
/// The configuration is rejected.
pub fn follow(
    (name, zone): (String, String),
    (upstreams, quorum): (Vec<Upstream>, usize),
    (held, committed): (Option<Position>, Option<Position>),
    seed: u64,
) -> Result<ReplicationSource, ConfigError> {
    let changes = ChangeSource::Relays { upstreams, quorum };
    let origin = origin(&changes);
    let config = Config { name, zone, role: Role::Gateway, origin, seed, max_followers: 0 };
    let node = match held {
        Some(held) => RelayNode::resume(config, held),
        None => RelayNode::new(config, committed),
    };
    let (event_loop, handles) = EventLoop::new(node?, configured_upstreams(&changes), None);
    let event_loop = tokio::spawn(event_loop.run());
    Ok(ReplicationSource { updates: handles.updates, applied: handles.applied, event_loop })
}
