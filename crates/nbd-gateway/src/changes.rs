//! Following the log of changes: what is safely committed goes to the hub.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use umbertray_config_log::follow::{AppliedVersion, FollowError};
use umbertray_config_log::{Follower, Replica, acted};
use umbertray_routing::{Input, Settings, SettingsChange};
use umbertray_snapshot::Disk;

use crate::relayed::RelayedChanges;

/// How often the folder is looked at.
const EVERY: Duration = Duration::from_millis(20);

/// How often it is said that a log cannot be followed.
const SAY: Duration = Duration::from_secs(10);

/// So many volumes are told of in one turn of the hub.
const TOLD: usize = 256;

/// The log of changes that a gateway follows, read up to the settings that it starts with.
pub enum ChangeSource {
    /// In the writer's folder.
    Folder {
        folder: PathBuf,
        follower: Box<Follower>,
        /// Where it keeps what it has acted on, over its restarts.
        acted: Option<PathBuf>,
    },
    /// As relays tell of it.
    Relays(Box<RelayedChanges>),
}

/// Writes down what is about to be acted on.
pub(crate) fn note(folder: Option<&Path>, at: &Replica) {
    if let Some(Err(error)) = folder.map(|folder| acted::write(folder, at.version.number, at.hash)) {
        tracing::error!(%error, "what was acted on could not be kept: an older log would be taken after a restart");
    }
}

/// Whom a follower of changes tells.
pub(crate) struct Told {
    pub own: Arc<Settings>,
    pub present: Arc<ArcSwap<Settings>>,
    pub removing: watch::Sender<u64>,
    pub acted: watch::Sender<u64>,
    pub to_hub: mpsc::Sender<Input>,
}

impl ChangeSource {
    /// The state that it starts with.
    pub fn at(&self) -> &Replica {
        match self {
            ChangeSource::Folder { follower, .. } => &follower.replica,
            ChangeSource::Relays(relayed) => &relayed.at,
        }
    }

    /// Follows until the hub ends.
    pub(crate) async fn follow(self, told: Told) {
        match self {
            ChangeSource::Folder { folder, follower, acted } => {
                Looks { disk: Disk::read_only(&folder), follower, acted }.follow(&told).await;
            }
            ChangeSource::Relays(relayed) => relayed.follow(&told).await,
        }
    }
}

/// One line a while, however often there is cause.
#[derive(Default)]
pub(crate) struct Seldom(Option<Instant>);

impl Seldom {
    pub fn due(&mut self) -> bool {
        let due = self.0.is_none_or(|at| at.elapsed() >= SAY);
        if due {
            self.0 = Some(Instant::now());
        }
        due
    }
}

/// What looks at a folder. What it reads and decodes is kept off the runtime's own threads, which a disk that hangs must not
/// hold.
struct Looks {
    disk: Disk,
    follower: Box<Follower>,
    acted: Option<PathBuf>,
}

impl Looks {
    fn look(&mut self) -> Result<Vec<AppliedVersion>, FollowError> {
        let taken = self.follower.poll(&self.disk)?;
        if !taken.is_empty() {
            note(self.acted.as_deref(), &self.follower.replica);
        }
        Ok(taken)
    }

    async fn follow(mut self, told: &Told) {
        let mut said = Seldom::default();
        note(self.acted.as_deref(), &self.follower.replica);
        loop {
            let looked = tokio::task::spawn_blocking(move || {
                let taken = self.look();
                (self, taken)
            });
            let Ok((looks, taken)) = looked.await else { return };
            self = looks;
            match taken {
                Ok(taken) if taken.is_empty() => {}
                Ok(taken) => {
                    if told.tell(taken).await.is_none() {
                        return;
                    }
                }
                Err(error) if said.due() => {
                    let version = self.follower.replica.version.number;
                    tracing::error!(%error, version, "log of changes not followed");
                }
                Err(_) => {}
            }
            tokio::select! {
                () = tokio::time::sleep(EVERY) => {}
                () = told.to_hub.closed() => return,
            }
        }
    }
}

impl Told {
    /// All that was committed since the last time at once: the newest settings, and what any of the changes touched.
    pub async fn tell(&self, taken: Vec<AppliedVersion>) -> Option<()> {
        let (mut figures, mut removed, mut volumes) = (false, 0, BTreeSet::new());
        for step in taken.iter().flat_map(|(_, steps)| steps) {
            match step {
                SettingsChange::Figures | SettingsChange::Plan(_) => figures = true,
                SettingsChange::Volume(place) => _ = volumes.insert(*place),
                SettingsChange::Removed(_) => removed += 1,
            }
        }
        let newest = &taken.last()?.0;
        let settings = Arc::new(newest.settings(&self.own));
        self.present.store(settings.clone());
        let mut steps: Vec<SettingsChange> = figures.then_some(SettingsChange::Figures).into_iter().collect();
        steps.extend(volumes.into_iter().map(SettingsChange::Volume));
        // Settings alone, where nothing but a removal happened.
        let parts = if steps.is_empty() {
            vec![Vec::new()]
        } else {
            steps.chunks(TOLD).map(<[SettingsChange]>::to_vec).collect()
        };
        for steps in parts {
            self.to_hub.send(Input::SettingsChanged { settings: settings.clone(), steps }).await.ok()?;
        }
        if removed > 0 {
            self.removing.send_modify(|count| *count += removed);
        }
        self.acted.send_replace(newest.number);
        tracing::info!(version = newest.number, changes = taken.len(), "changes acted on");
        Some(())
    }
}
