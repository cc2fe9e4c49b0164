//! Relays: processes that carry the log of changes from the writer's folder to gateways and other relays, and a gateway's end
//! of it. They move bytes and keep time; whom to follow, when to leave and what to send is decided by
//! [`umbertray_control_plane::relay::RelayNode`]. docs/relaying.md is the operators' page.
//!
//! One task owns the node (`hub`), one each connection (`link`), one the folder (`folder`), one what is put in force
//! (`carry`). They talk through bounded channels; what a peer does not read or say in time ends its connection.

mod carry;
pub mod client;
mod event_loop;
mod folder;
mod link;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use umbertray_config::{ChangeSource, Upstream};
use umbertray_config_log::{Replica, Update, acted};
use umbertray_control_plane::relay::{self, Config, ConfigError, Origin, RelayNode};
use umbertray_store_protocol::changes::{Position, Role};

/// Followers at once, at most; beyond it no connection is accepted until one ends.
pub const MAX_FOLLOWERS: usize = 8192;

#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{address}: cannot listen: {error}; see who has the address, and start again")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("{}: what was carried cannot be read: {error}; mend the file `acted` there, or remove it, if it may carry an older log", folder.display())]
    Folder { folder: PathBuf, error: io::Error },
    #[error("the relay's loop ended: {0}; start it again, and tell of it")]
    Ended(tokio::task::JoinError),
}

/// What a relay is to be.
pub struct RelayOptions {
    /// Where followers connect; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// A name of its own among all relays and gateways.
    pub name: String,
    pub zone: String,
    pub changes: ChangeSource,
    /// Where it writes down what it has carried, over its restarts.
    pub folder: Option<PathBuf>,
    /// Where its chance begins.
    pub seed: u64,
}

/// A relay at work. Dropping it ends its tasks at once, as a kill would.
pub struct RunningRelay {
    pub address: SocketAddr,
    /// The version that it has carried on.
    pub relayed_version: watch::Receiver<u64>,
    hub: JoinHandle<()>,
    others: Vec<JoinHandle<()>>,
}

impl RunningRelay {
    /// Returns when the relay cannot go on.
    pub async fn ended(&mut self) -> Result<(), RelayError> {
        (&mut self.hub).await.map_err(RelayError::Ended)
    }
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.hub.abort();
        self.others.iter().for_each(JoinHandle::abort);
    }
}

fn origin(changes: &ChangeSource) -> (Origin, Vec<Upstream>) {
    match changes {
        ChangeSource::Folder(_) => (Origin::Folder, Vec::new()),
        ChangeSource::Relays { upstreams, quorum: vouch } => {
            let named = upstreams
                .iter()
                .map(|upstream| relay::Upstream { name: upstream.name.clone(), zone: upstream.zone.clone() });
            (Origin::Upstreams { upstreams: named.collect(), quorum: *vouch }, upstreams.clone())
        }
    }
}

/// Where a state stands.
pub fn position(state: &Replica) -> Position {
    Position { version: state.version.number, hash: state.hash }
}

/// Starts a relay on the present runtime.
pub async fn start(options: RelayOptions) -> Result<RunningRelay, RelayError> {
    let RelayOptions { listen, name, zone, changes, folder, seed } = options;
    let wrong = |error| RelayError::Folder { folder: folder.clone().unwrap_or_default(), error };
    let acted = folder.as_deref().map(acted::read).transpose().map_err(wrong)?.flatten();
    let acted = acted.map(|(version, hash)| Position { version, hash });
    let (origin, upstreams) = origin(&changes);
    let config = Config { name, zone, role: Role::Relay, origin, seed, max_followers: MAX_FOLLOWERS };
    let node = RelayNode::new(config, acted)?;
    let wrong = |error| RelayError::Listen { address: listen, error };
    let listener = TcpListener::bind(listen).await.map_err(wrong)?;
    let address = listener.local_addr().map_err(wrong)?;
    if let Some(itself) = upstreams.iter().find(|upstream| upstream.address == address) {
        return Err(ConfigError::FollowsItself(itself.name.clone()).into());
    }
    let (hub, ends) = event_loop::EventLoop::new(node, &upstreams, Some(listener));
    let (carrying, carried) = watch::channel(0);
    let carried_on = carry::Carried { folder, version: carrying };
    let mut others = vec![tokio::spawn(carry::carry(carried_on.clone(), ends.told, ends.in_force))];
    if let ChangeSource::Folder(folder) = changes {
        others.push(tokio::spawn(folder::follow(folder.into(), carried_on, ends.folder)));
    }
    let hub = tokio::spawn(hub.run());
    tracing::info!(%address, "relay at work");
    Ok(RunningRelay { address, relayed_version: carried, hub, others })
}

/// What relays tell a gateway, in order.
pub struct ReplicationSource {
    /// Batches of what comes next; the next one is not sent before this one was taken.
    pub updates: mpsc::Receiver<Vec<Update>>,
    /// Told back once it is in force: up to which version.
    pub applied: mpsc::Sender<u64>,
    hub: JoinHandle<()>,
}

impl Drop for ReplicationSource {
    fn drop(&mut self) {
        self.hub.abort();
    }
}

/// Follows relays for a gateway on the present runtime, in one task and one a connection. It goes on from what it holds, if
/// anything; nothing before what it has acted on is told, and no other history.
pub fn follow(
    (name, zone): (String, String),
    (upstreams, vouch): (Vec<Upstream>, usize),
    (held, acted): (Option<Position>, Option<Position>),
    seed: u64,
) -> Result<ReplicationSource, ConfigError> {
    let (origin, upstreams) = origin(&ChangeSource::Relays { upstreams, quorum: vouch });
    let config = Config { name, zone, role: Role::Gateway, origin, seed, max_followers: 0 };
    let node = match held {
        Some(held) => RelayNode::resume(config, held),
        None => RelayNode::new(config, acted),
    };
    let (hub, ends) = event_loop::EventLoop::new(node?, &upstreams, None);
    let hub = tokio::spawn(hub.run());
    Ok(ReplicationSource { updates: ends.told, applied: ends.in_force, hub })
}
