//! The thread that follows the log of changes and hands its hub what is safely committed.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use umbertray_routing::{Input, Settings, Step};
use umbertray_state::{Disk, Layer};
use umbertray_versions::{Follower, Version};

use crate::hub::ToHub;

/// How often the folder is looked at.
const EVERY: Duration = Duration::from_millis(20);

/// How often it is said that a log cannot be followed.
const SAY: Duration = Duration::from_secs(10);

/// So many volumes are told of in one turn of the hub.
const TOLD: usize = 256;

/// The file in a gateway's own folder that says what it has acted on.
const ACTED: &str = "acted";

/// A log that a gateway follows.
pub struct Changes {
    pub folder: PathBuf,
    pub follower: Follower,
    /// Where it keeps what it has acted on, over its restarts.
    pub acted: Option<PathBuf>,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct Acted {
    version: u64,
    hash: [u8; 32],
}

/// The version that an earlier run had acted on. A file that is there and cannot be read is an error: without it an older
/// log would be believed.
pub fn acted(folder: &Path) -> io::Result<Option<(u64, [u8; 32])>> {
    match Disk::look(folder).read(ACTED, 4096) {
        Ok(bytes) => {
            let acted: Acted = serde_json::from_slice(&bytes)?;
            Ok(Some((acted.version, acted.hash)))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Danger: what was acted on is written down, for sure, before it is acted on. Otherwise a crash in between would let the next
/// run take an older log, with a limit that was lowered since.
fn write_acted(folder: &Path, follower: &Follower) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let acted = Acted { version: follower.version.number, hash: follower.hash };
    let (mut disk, fresh) = (Disk::look(folder), format!("{ACTED}.new"));
    disk.put(&fresh, ACTED, &serde_json::to_vec(&acted)?)
}

/// Whom the thread tells.
struct Told {
    own: Arc<Settings>,
    present: Arc<ArcSwap<Settings>>,
    removing: watch::Sender<u64>,
    to_hub: mpsc::Sender<Input>,
}

/// Starts the thread; it ends with the hub.
pub(crate) fn follow(
    mut changes: Changes,
    own: Arc<Settings>,
    present: Arc<ArcSwap<Settings>>,
    removing: watch::Sender<u64>,
    to_hub: mpsc::Sender<Input>,
    hub: mpsc::WeakUnboundedSender<ToHub>,
) {
    let told = Told { own, present, removing, to_hub };
    std::thread::spawn(move || {
        let disk = Disk::look(&changes.folder);
        let mut said: Option<Instant> = None;
        changes.note();
        while hub.upgrade().is_some() && !told.to_hub.is_closed() {
            match changes.follower.poll(&disk) {
                Ok(taken) if taken.is_empty() => {}
                Ok(taken) => {
                    changes.note();
                    if told.tell(taken).is_none() {
                        return;
                    }
                }
                Err(error) if said.is_none_or(|at| at.elapsed() >= SAY) => {
                    let version = changes.follower.version.number;
                    tracing::error!(%error, version, "log of changes not followed");
                    said = Some(Instant::now());
                }
                Err(_) => {}
            }
            std::thread::sleep(EVERY);
        }
    });
}

impl Changes {
    fn note(&self) {
        if let Some(Err(error)) = self.acted.as_ref().map(|folder| write_acted(folder, &self.follower)) {
            tracing::error!(%error, "what was acted on could not be kept: an older log would be taken after a restart");
        }
    }
}

impl Told {
    /// All that was committed since the last look at once: the newest settings, and what any of the changes touched.
    fn tell(&self, taken: Vec<(Version, Vec<Step>)>) -> Option<()> {
        let (mut figures, mut removed, mut volumes) = (false, 0, BTreeSet::new());
        for step in taken.iter().flat_map(|(_, steps)| steps) {
            match step {
                Step::Figures | Step::Plan(_) => figures = true,
                Step::Volume(place) => _ = volumes.insert(*place),
                Step::Removed(_) => removed += 1,
            }
        }
        let newest = &taken.last()?.0;
        let settings = Arc::new(newest.settings(&self.own));
        self.present.store(settings.clone());
        let mut steps: Vec<Step> = figures.then_some(Step::Figures).into_iter().collect();
        steps.extend(volumes.into_iter().map(Step::Volume));
        // Settings alone, where nothing but a removal happened.
        let parts = if steps.is_empty() {
            vec![Vec::new()]
        } else {
            steps.chunks(TOLD).map(<[Step]>::to_vec).collect()
        };
        for steps in parts {
            self.to_hub.blocking_send(Input::Changed { settings: settings.clone(), steps }).ok()?;
        }
        if removed > 0 {
            self.removing.send_modify(|count| *count += removed);
        }
        tracing::info!(version = newest.number, changes = taken.len(), "changes acted on");
        Some(())
    }
}
