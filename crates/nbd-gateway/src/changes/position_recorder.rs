//! Records the applied version on the gateway's own disk, in the background after changes were applied.

use std::path::{Path, PathBuf};

use tokio::sync::watch;
use umbertray_config_log::{Replica, applied_version};
use umbertray_relay::replica_position;
use umbertray_store_protocol::changes::Position;

/// Records positions in the background. If several positions arrive during a write, only the newest is
/// written.
///
/// Hazard: if a change waited for this disk, a lowered limit would not be enforced for as long as a sync
/// takes. Changes are therefore applied first. After a crash between the two, the next run may start from the
/// previous version, but only if the log that it finds also ends there, because the log itself was synced
/// before the change was applied.
pub(super) struct PositionRecorder {
    newest: watch::Sender<Option<Position>>,
}

impl PositionRecorder {
    /// Starts a recorder for a folder; without a folder it records nothing. Its task ends once the recorder
    /// is dropped and the newest position is written.
    pub(super) fn start(folder: Option<PathBuf>) -> PositionRecorder {
        let (newest, positions) = watch::channel(None);
        if let Some(folder) = folder {
            tokio::spawn(record_positions(folder, positions));
        }
        PositionRecorder { newest }
    }

    /// Queues the position of a state to be recorded.
    pub(super) fn record(&self, state: &Replica) {
        self.newest.send_replace(Some(replica_position(state)));
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

/// Writes a position, which is synced when this returns.
pub(super) fn write_position(folder: &Path, position: Position) {
    if let Err(error) = applied_version::write(folder, position.version, position.hash) {
        // Without the record, an older log would be accepted after a restart.
        tracing::error!(%error, version = position.version, "applied version write failed");
    }
}
