//! The applied version on the gateway's own disk, written behind the changes.

use std::path::{Path, PathBuf};

use tokio::sync::watch;
use umbertray_config_log::{Replica, applied_version};
use umbertray_relay::position;
use umbertray_store_protocol::changes::Position;

/// Records positions in the background, the newest one where several came during a write.
///
/// Hazard: a change that waited for this disk would leave a lowered limit open for as long as a sync takes. So it is applied
/// first. A crash in between lets the next run start from the version before, and only where the log that it finds ends there
/// too: the log itself was synced before the change was applied.
pub(super) struct PositionRecorder {
    newest: watch::Sender<Option<Position>>,
}

impl PositionRecorder {
    /// A recorder for a folder, or one that records nothing. Its task ends once this is dropped and the newest position is
    /// written.
    pub(super) fn start(folder: Option<PathBuf>) -> PositionRecorder {
        let (newest, positions) = watch::channel(None);
        if let Some(folder) = folder {
            tokio::spawn(record_positions(folder, positions));
        }
        PositionRecorder { newest }
    }

    /// Has the version of a state recorded.
    pub(super) fn record(&self, state: &Replica) {
        self.newest.send_replace(Some(position(state)));
    }
}

async fn record_positions(folder: PathBuf, mut positions: watch::Receiver<Option<Position>>) {
    while positions.changed().await.is_ok() {
        let newest = *positions.borrow_and_update();
        let Some(newest) = newest else { continue };
        let folder = folder.clone();
        let writing = tokio::task::spawn_blocking(move || write_position(&folder, newest));
        if writing.await.is_err() {
            return;
        }
    }
}

/// Writes a position, synced when this returns.
pub(super) fn write_position(folder: &Path, position: Position) {
    if let Err(error) = applied_version::write(folder, position.version, position.hash) {
        // An older log would be accepted after a restart.
        tracing::error!(%error, version = position.version, "applied version write failed");
    }
}
