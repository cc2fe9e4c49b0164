//! Relays: processes that carry the log of changes from the writer's folder to gateways and other relays, and a gateway's end
//! of it. They move bytes and keep time; whom to follow, when to disconnect and what to send is decided by
//! [`umbertray_control_plane::relay::RelayNode`]. docs/relaying.md is the operators' page.
//!
//! One task owns the node (`event_loop`), one each connection (`connection`), one the folder (`folder`), one what is committed
//! (`commit_recorder`). Invariant: the channels between them are bounded; a peer that does not read or send in time is
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

/// Followers at once, at most; beyond it no connection is accepted until one ends.
pub const MAX_FOLLOWERS: usize = 8192;

/// How a relay is started.
pub struct RelayOptions {
    /// Where followers connect; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Its name among all relays and gateways.
    pub name: String,
    /// The zone it runs in.
    pub zone: String,
    /// The writer's folder, or other relays.
    pub changes: ChangeSource,
    /// Where it makes the position it has committed durable, over its restarts.
    pub folder: Option<PathBuf>,
    /// Seed of its jitter.
    pub seed: u64,
}

/// A running relay. Dropping it ends its tasks at once, as a kill would.
pub struct RunningRelay {
    /// Where it listens.
    pub address: SocketAddr,
    /// The version that it has committed.
    pub relayed_version: watch::Receiver<u64>,
    event_loop: JoinHandle<()>,
    /// The recorder of commits, and the reader of the folder.
    _background: JoinSet<()>,
}

impl RunningRelay {
    /// Waits until the relay cannot go on.
    ///
    /// # Errors
    /// [`RelayError::Ended`] where its event loop panicked.
    pub async fn ended(&mut self) -> Result<(), RelayError> {
        (&mut self.event_loop).await.map_err(RelayError::Ended)
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
            let named = upstreams
                .iter()
                .map(|upstream| relay::Upstream { name: upstream.name.clone(), zone: upstream.zone.clone() });
            Origin::Upstreams { upstreams: named.collect(), quorum: *quorum }
        }
    }
}

fn configured_upstreams(changes: &ChangeSource) -> &[Upstream] {
    match changes {
        ChangeSource::Folder(_) => &[],
        ChangeSource::Relays { upstreams, .. } => upstreams,
    }
}

/// The position of a state.
pub fn position(state: &Replica) -> Position {
    Position { version: state.version.number, hash: state.hash }
}

/// Starts a relay on the present runtime.
///
/// # Errors
/// The configuration is rejected, the folder cannot be read, or the address cannot be listened at.
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
    let mut background = JoinSet::new();
    background.spawn(commit_recorder::record_commits(recorder.clone(), updates, applied));
    if let ChangeSource::Folder(writer_folder) = changes {
        background.spawn(folder::follow(writer_folder.into(), recorder, folder_events));
    }
    let event_loop = tokio::spawn(event_loop.run());
    tracing::info!(%address, "relay started");
    Ok(RunningRelay { address, relayed_version, event_loop, _background: background })
}

fn read_committed(folder: &Path) -> Result<Option<Position>, RelayError> {
    let committed =
        applied_version::read(folder).map_err(|error| RelayError::Folder { folder: folder.into(), error })?;
    Ok(committed.map(|(version, hash)| Position { version, hash }))
}

/// What relays tell a gateway, in order. Dropping it ends its connections.
pub struct ReplicationSource {
    /// Batches of what comes next; the next one is not sent before this one was taken.
    pub updates: mpsc::Receiver<Vec<Update>>,
    /// For the gateway to tell up to which version it has applied them.
    pub applied: mpsc::Sender<u64>,
    event_loop: JoinHandle<()>,
}

impl Drop for ReplicationSource {
    fn drop(&mut self) {
        self.event_loop.abort();
    }
}

/// Follows relays for a gateway on the present runtime, in one task and one a connection. It continues from the state that
/// the gateway holds, if any; nothing before what it has committed is given out, and no other history.
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
