//! Writes snapshots in a separate thread, so that a slow or stalled disk does not block the event loop.

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

/// How long the shutdown of the gateway waits for a write in progress.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the checks whether the thread has ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A snapshot to write, sent to the thread.
struct SnapshotRequest {
    now: Duration,
    stamp: Stamp,
    snapshot: Snapshot,
}

/// The result of opening a snapshot folder.
pub(crate) struct OpenedSnapshots {
    /// Writes new snapshots.
    pub(crate) writer: SnapshotWriter,
    /// The snapshot saved by an earlier run, if any.
    pub(crate) loaded: Option<LoadResult>,
}

/// The event loop's handle to the writer thread. Invariant: the thread has at most one snapshot at a time.
pub(crate) struct SnapshotWriter {
    requests: Option<blocking::SyncSender<SnapshotRequest>>,
    thread: Option<JoinHandle<()>>,
    is_writing: bool,
}

/// Identifies the settings, to detect tokens that were reserved under other settings: FNV-1a of the
/// scheduler's settings and of the volumes' names and plans.
fn settings_digest(settings: &Settings) -> u64 {
    let mut text = format!("{:?}", settings.scheduler_settings());
    settings.volumes.iter().for_each(|volume| text.push_str(&format!("\n{} {}", volume.name, volume.plan)));
    umbertray_store_protocol::volume_id(&text)
}

/// Opens a folder for this gateway. If it cannot be used, the gateway runs without snapshots.
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

    /// Whether the thread has no snapshot to write.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_writing
    }

    /// Passes a snapshot to the thread; [`LoopEvent::SnapshotFinished`] follows. If the thread is busy, the
    /// snapshot is dropped.
    pub(crate) fn save(&mut self, now: Duration, stamp: Stamp, snapshot: Snapshot) {
        let request = SnapshotRequest { now, stamp, snapshot };
        let is_sent = self.requests.as_ref().is_some_and(|requests| requests.try_send(request).is_ok());
        self.is_writing |= is_sent;
    }

    /// Records that the thread has finished a snapshot.
    pub(crate) fn on_finished(&mut self) {
        self.is_writing = false;
    }
}

impl Drop for SnapshotWriter {
    /// Waits until the last snapshot is finished, but not longer than `FINISH_TIMEOUT` for a stalled disk.
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
