//! What a relay commits: it makes the position durable before it publishes it.

use std::path::PathBuf;

use tokio::sync::{mpsc, watch};
use umbertray_config_log::{Update, applied_version};

/// Where a relay makes its committed position durable, if anywhere, and where it publishes its version.
#[derive(Clone)]
pub(crate) struct CommitRecorder {
    pub(crate) folder: Option<PathBuf>,
    pub(crate) version: watch::Sender<u64>,
}

impl CommitRecorder {
    /// Makes the position of an update durable; it blocks on the disk.
    ///
    /// Hazard: it has to be called before followers are told. Otherwise a crash in between would let the next run serve an
    /// older log.
    pub(crate) fn persist(&self, last: &Update) {
        let Some(folder) = &self.folder else { return };
        if let Err(error) = applied_version::write(folder, last.version(), last.hash()) {
            tracing::error!(%error, "committed position not written");
        }
    }

    pub(crate) fn publish(&self, last: &Update) {
        self.version.send_replace(last.version());
    }
}

/// Commits what upstreams told, batch by batch, until the event loop ends.
pub(crate) async fn record_commits(
    recorder: CommitRecorder,
    mut updates: mpsc::Receiver<Vec<Update>>,
    applied: mpsc::Sender<u64>,
) {
    while let Some(mut batch) = updates.recv().await {
        let Some(last) = batch.pop() else { continue };
        let writer = recorder.clone();
        let written = tokio::task::spawn_blocking(move || {
            writer.persist(&last);
            last
        });
        let Ok(last) = written.await else { return };
        recorder.publish(&last);
        if applied.send(last.version()).await.is_err() {
            return;
        }
    }
}
