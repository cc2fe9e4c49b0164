//! The thread that writes snapshots: whatever its disk does, the event loop goes on.

#[cfg(test)]
mod tests;

use std::path::Path;
use std::sync::mpsc as blocking;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use umbertray_routing::{Settings, Snapshot};
use umbertray_snapshot::folder::{self, FILE_BYTES, LoadResult, SnapshotStore};
use umbertray_snapshot::{Disk, FolderError, LoadNote, Stamp};

use crate::event_loop::LoopEvent;

/// How long the end of the gateway waits for what is being written.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two looks at whether the thread has ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A snapshot on its way to the thread.
struct SnapshotRequest {
    now: Duration,
    stamp: Stamp,
    snapshot: Snapshot,
}

/// What was opened in a folder.
pub(crate) struct OpenedSnapshots {
    /// Writes new snapshots.
    pub(crate) writer: SnapshotWriter,
    /// What an earlier run saved.
    pub(crate) loaded: Option<LoadResult>,
}

/// The event loop's end of the thread. Invariant: at most one snapshot is with the thread.
pub(crate) struct SnapshotWriter {
    requests: Option<blocking::SyncSender<SnapshotRequest>>,
    thread: Option<JoinHandle<()>>,
    is_writing: bool,
}

/// Identifies the settings, for tokens that were reserved under others: FNV-1a of the module's settings and the volumes' names.
fn settings_digest(settings: &Settings) -> u64 {
    let mut text = format!("{:?}", settings.scheduler_settings());
    settings.volumes.iter().for_each(|volume| text.push_str(&format!("\n{} {}", volume.name, volume.plan)));
    umbertray_store_protocol::volume_id(&text)
}

/// Opens a folder for this gateway; where it cannot be used the gateway runs without one.
pub(crate) fn open(
    folder: &Path,
    seed: u64,
    settings: &Settings,
    events: mpsc::UnboundedSender<LoopEvent>,
) -> Option<OpenedSnapshots> {
    let disk = Disk::open(folder).map_err(|error| match error.kind() {
        std::io::ErrorKind::WouldBlock => FolderError::Locked,
        _ => error.into(),
    });
    let opened = disk.and_then(|disk| {
        let digest = settings_digest(settings);
        SnapshotStore::open(Box::new(disk), seed, digest, folder::current_stamp(), FILE_BYTES)
    });
    let (store, loaded, notes) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            tracing::warn!(folder = %folder.display(), %error, "state not used");
            return None;
        }
    };
    log_loaded(folder, &notes, loaded.as_ref());
    Some(OpenedSnapshots { writer: SnapshotWriter::start(store, events), loaded })
}

fn log_loaded(folder: &Path, notes: &[LoadNote], loaded: Option<&LoadResult>) {
    let folder = folder.display();
    for note in notes {
        match note {
            LoadNote::NoSnapshot => tracing::info!(%folder, "no snapshot found"),
            note => tracing::warn!(%folder, ?note, "snapshot partly rejected"),
        }
    }
    if let Some(loaded) = loaded {
        let stores = loaded.snapshot.stores.len();
        let volumes = loaded.snapshot.volumes.len();
        tracing::info!(%folder, stores, volumes, age = ?loaded.age, "snapshot loaded");
    }
}

impl SnapshotWriter {
    fn start(mut store: SnapshotStore, events: mpsc::UnboundedSender<LoopEvent>) -> SnapshotWriter {
        let (requests, receiver) = blocking::sync_channel::<SnapshotRequest>(1);
        let thread = std::thread::spawn(move || {
            for SnapshotRequest { now, stamp, snapshot } in receiver {
                if let Err(error) = store.save(now, stamp, snapshot) {
                    tracing::warn!(%error, "state not saved");
                }
                _ = events.send(LoopEvent::SnapshotFinished);
            }
        });
        SnapshotWriter { requests: Some(requests), thread: Some(thread), is_writing: false }
    }

    /// Whether the thread has nothing to write.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_writing
    }

    /// Hands a snapshot to the thread; [`LoopEvent::SnapshotFinished`] follows. Dropped where the thread is busy.
    pub(crate) fn save(&mut self, now: Duration, stamp: Stamp, snapshot: Snapshot) {
        let request = SnapshotRequest { now, stamp, snapshot };
        let is_sent = self.requests.as_ref().is_some_and(|requests| requests.try_send(request).is_ok());
        self.is_writing |= is_sent;
    }

    /// The thread has finished a snapshot.
    pub(crate) fn on_finished(&mut self) {
        self.is_writing = false;
    }
}

impl Drop for SnapshotWriter {
    /// Lets the last snapshot be finished, but does not wait for a disk that hangs.
    fn drop(&mut self) {
        self.requests = None;
        let deadline = Instant::now() + FINISH_TIMEOUT;
        if let Some(thread) = self.thread.take() {
            while !thread.is_finished() && Instant::now() < deadline {
                std::thread::sleep(FINISH_POLL_INTERVAL);
            }
        }
    }
}
