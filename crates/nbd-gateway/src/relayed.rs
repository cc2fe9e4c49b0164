//! The log of changes as relays tell of it.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use umbertray_config::Upstream;
use umbertray_config_log::chain::Corruption;
use umbertray_config_log::follow::AppliedVersion;
use umbertray_config_log::log::LogError;
use umbertray_config_log::{LogCopy, Replica, Update, acted};
use umbertray_control_plane::relay::ConfigError;
use umbertray_relay::{ReplicationSource, follow, position};
use umbertray_snapshot::Disk;
use umbertray_store_protocol::changes::Position;
use umbertray_store_protocol::volume_id;

use crate::changes::{self, Seldom, note};

/// A gateway that has nothing of its own waits so long for what relays tell: the longest wait between two attempts, and a
/// checkpoint's way.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The folder in a gateway's own that holds a copy of the log.
const COPY: &str = "changes";

#[derive(Debug, thiserror::Error)]
pub enum RelayedError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("the version acted on: {0}")]
    Acted(io::Error),
    #[error(
        "no version that {vouch} of the relays {relays} agree on was heard within {patience:?}, and none is kept in a state folder: see whether they run and reach the writer's folder, and start again"
    )]
    NoQuorum { vouch: usize, relays: String, patience: Duration },
    #[error(
        "the relays' version {version} cannot be read by this program: {why}; run one as new as the writer of changes"
    )]
    Unreadable { version: u64, why: Corruption },
}

/// Whom a gateway follows, and as whom.
pub struct RelaySource {
    /// A name of its own among all relays and gateways.
    pub name: String,
    pub zone: String,
    pub upstreams: Vec<Upstream>,
    /// So many of them must say the same.
    pub quorum: usize,
    pub seed: u64,
    /// Without anything of its own it waits so long for what they tell.
    pub patience: Duration,
    /// Its own folder, with what it has acted on, and a copy of the log to start from when no relay is there.
    pub state: Option<PathBuf>,
}

/// A gateway's place in what relays tell.
pub struct RelayedChanges {
    pub at: Replica,
    following: ReplicationSource,
    own: Own,
}

/// What it keeps in its own folder, if it has one.
struct Own {
    copy: Option<LogCopy>,
    state: Option<PathBuf>,
}

impl Own {
    /// Danger: what is to be acted on is kept first. Otherwise a crash in between would let the next run start from an older
    /// state.
    fn keep(&mut self, told: &Update, state: Option<&Replica>) {
        let kept = self.copy.as_mut().map(|copy| copy.append(told, state));
        if let Some(Err(error)) = kept {
            tracing::error!(%error, version = told.version(), "copy of the log not written: relays are asked after a restart");
        }
    }
}

/// The copy in a gateway's own folder. Without one that can be used it asks relays.
fn copy(state: Option<&PathBuf>) -> (Option<LogCopy>, Option<Replica>) {
    let Some(folder) = state.map(|state| state.join(COPY)) else { return (None, None) };
    let disk = Disk::open(&folder).map_err(LogError::from);
    match disk.and_then(|disk| LogCopy::open(Box::new(disk))) {
        Ok((copy, found)) => (Some(copy), found),
        Err(error) => {
            tracing::error!(folder = %folder.display(), %error, "copy of the log not used: relays are asked for all of it");
            (None, None)
        }
    }
}

impl RelayedChanges {
    /// Follows relays; returns once there is a version to start with, that of its own copy or what they tell.
    pub async fn start(relays: RelaySource) -> Result<RelayedChanges, RelayedError> {
        let RelaySource { name, zone, upstreams, quorum: vouch, seed, patience, state } = relays;
        let acted = state.as_deref().map(acted::read).transpose().map_err(RelayedError::Acted)?;
        let acted = acted.flatten().map(|(version, hash)| Position { version, hash });
        let (copy, found) = copy(state.as_ref());
        // A copy that ends before what was acted on is an older one.
        let found = found.filter(|found| {
            acted.is_none_or(|acted| found.version.number > acted.version || position(found) == acted)
        });
        let held = found.as_ref().map(position);
        let names = || upstreams.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        let unheard = RelayedError::NoQuorum { vouch, relays: names(), patience };
        let seed = volume_id(&name) ^ seed;
        let mut following = follow((name, zone), (upstreams, vouch), (held, acted), seed)?;
        let mut own = Own { copy, state };
        let at = match found {
            Some(found) => found,
            None => {
                let first = first(&mut following, &mut own, acted.map_or(1, |acted| acted.version));
                tokio::time::timeout(patience, first).await.unwrap_or(Ok(None))?.ok_or(unheard)?
            }
        };
        note(own.state.as_deref(), &at);
        _ = following.applied.send(at.version.number).await;
        Ok(RelayedChanges { at, following, own })
    }

    /// Acts on what relays tell, until the hub ends. What it keeps and decodes is kept off the runtime's own threads.
    pub(crate) async fn follow(mut self: Box<Self>, told: &changes::Told) {
        let mut said = Seldom::default();
        loop {
            let batch = tokio::select! {
                batch = self.following.updates.recv() => batch,
                () = told.to_hub.closed() => return,
            };
            let Some(batch) = batch else { return };
            let taking = tokio::task::spawn_blocking(move || {
                let (taken, wrong) = self.take(&batch);
                (self, taken, wrong)
            });
            let Ok((relayed, taken, wrong)) = taking.await else { return };
            self = relayed;
            if let Some(why) = wrong.filter(|_| said.due()) {
                let version = self.at.version.number;
                tracing::error!(%why, version, "log of changes not followed");
            }
            if !taken.is_empty() && told.tell(taken).await.is_none() {
                return;
            }
            if self.following.applied.send(self.at.version.number).await.is_err() {
                return;
            }
        }
    }

    /// Takes what comes next as far as it is right, and writes it down before it is acted on.
    fn take(&mut self, batch: &[Update]) -> (Vec<AppliedVersion>, Option<Corruption>) {
        let (mut taken, mut wrong) = (Vec::new(), None);
        for told in batch {
            let before = self.at.clone();
            match self.at.apply(told) {
                Ok(Some(step)) => {
                    self.own.keep(told, Some(&before));
                    taken.push(step);
                }
                Ok(None) => {}
                // A state further on may be right.
                Err(why) => wrong = Some(why),
            }
        }
        if !taken.is_empty() {
            note(self.own.state.as_deref(), &self.at);
        }
        (taken, wrong)
    }
}

/// The first version that is not before `least`; nothing where the node has ended.
async fn first(
    following: &mut ReplicationSource,
    own: &mut Own,
    least: u64,
) -> Result<Option<Replica>, RelayedError> {
    let mut at: Option<Replica> = None;
    while let Some(batch) = following.updates.recv().await {
        for told in batch {
            let wrong = |why| RelayedError::Unreadable { version: told.version(), why };
            own.keep(&told, at.as_ref());
            match (&mut at, &told) {
                (Some(at), told) => _ = at.apply(told).map_err(wrong)?,
                (None, Update::Checkpoint(head)) => at = Some(Replica::from_header(head).map_err(wrong)?),
                (None, Update::Entry(_)) => {}
            }
        }
        if at.as_ref().is_some_and(|at| at.version.number >= least) {
            return Ok(at);
        }
    }
    Ok(None)
}
