//! Records the position that a relay has committed: the position is made durable, then published.

use std::path::PathBuf;

use tokio::sync::{mpsc, watch};
use umbertray_config_log::{Update, applied_version};

/// Persists a relay's committed position in `folder`, if there is one, and publishes its version to
/// `version`.
#[derive(Clone)]
pub(crate) struct CommitRecorder {
    pub(crate) folder: Option<PathBuf>,
    pub(crate) version: watch::Sender<u64>,
}

impl CommitRecorder {
    /// Makes the position of an update durable; it blocks on the disk. A failure is only logged.
    ///
    /// Hazard: it must be called before the update is sent to followers. Otherwise, after a crash in between,
    /// the next run could serve an older log.
    pub(crate) fn persist(&self, last: &Update) {
        let Some(folder) = &self.folder else { return };
        if let Err(error) = applied_version::write(folder, last.version(), last.hash()) {
            tracing::error!(%error, "committed position not written");
        }
    }

    /// Publishes the version of an update as committed.
    pub(crate) fn publish(&self, last: &Update) {
        self.version.send_replace(last.version());
    }
}

/// Records batches of committed updates from upstreams, until the event loop ends.
pub(crate) async fn record_commits(
    recorder: CommitRecorder,
    mut updates: mpsc::Receiver<Vec<Update>>,
    applied: mpsc::Sender<u64>,
) {
    while let Some(mut batch) = updates.recv().await {
        let Some(last) = batch.pop() else { continue };
        let blocking_recorder = recorder.clone();
        let persisted = tokio::task::spawn_blocking(move || {
            blocking_recorder.persist(&last);
            last
        });
        let Ok(last) = persisted.await else { return };
        recorder.publish(&last);
        if applied.send(last.version()).await.is_err() {
            return;
        }
    }
}
