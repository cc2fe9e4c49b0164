//! What a relay puts in force: it writes down what it carries on, before it does.

use std::io;
use std::path::{Path, PathBuf};

use tokio::sync::{mpsc, watch};
use umbertray_config_log::{Update, acted};

/// Where a relay writes down what it has carried, if anywhere, and whom it tells.
#[derive(Clone)]
pub struct Carried {
    pub folder: Option<PathBuf>,
    pub version: watch::Sender<u64>,
}

impl Carried {
    /// Danger: to be called before any of it is told on. Otherwise a crash in between would let the next run tell of less.
    pub fn write(&self, last: &Update) {
        let written = self
            .folder
            .as_deref()
            .map(|folder: &Path| -> io::Result<()> { acted::write(folder, last.version(), last.hash()) });
        if let Some(Err(error)) = written {
            tracing::error!(%error, "what was carried could not be kept: an older log would be carried after a restart");
        }
    }

    pub fn told(&self, last: &Update) {
        self.version.send_replace(last.version());
    }
}

/// Puts in force what upstreams tell.
pub async fn carry(carried: Carried, mut told: mpsc::Receiver<Vec<Update>>, in_force: mpsc::Sender<u64>) {
    while let Some(mut batch) = told.recv().await {
        let Some(last) = batch.pop() else { continue };
        let writer = carried.clone();
        let written = tokio::task::spawn_blocking(move || {
            writer.write(&last);
            last
        });
        let Ok(last) = written.await else { return };
        carried.told(&last);
        if in_force.send(last.version()).await.is_err() {
            return;
        }
    }
}
