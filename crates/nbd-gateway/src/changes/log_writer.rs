//! The gateway's own copy of the log, written behind the changes that relays tell.

use tokio::sync::mpsc;
use umbertray_config_log::{Replica, Update};

use super::log_copy::DurableLog;

/// Batches that may wait for the disk. Beyond that the next one is not applied before there is room: memory stays bounded
/// where a disk hangs.
const MAX_WAITING_BATCHES: usize = 64;

/// An update that was applied, and the state that it follows on.
pub(super) struct AppliedUpdate {
    pub(super) update: Update,
    pub(super) before: Replica,
}

/// What was applied together.
pub(super) struct AppliedUpdates {
    pub(super) updates: Vec<AppliedUpdate>,
    /// The state that they lead to.
    pub(super) state: Replica,
}

/// The event loop of the replication has ended.
#[derive(Debug)]
pub(super) struct WriterEnded;

/// Makes durable what was applied, in order, and then tells the relays of it.
///
/// Hazard: as in [`PositionRecorder`](super::position_recorder::PositionRecorder), a change must not wait for this disk. What
/// relays hear of as applied is on the disk: a crash before that leaves the state before, which they bring up to date again.
pub(super) struct LogWriter {
    batches: mpsc::Sender<AppliedUpdates>,
}

impl LogWriter {
    /// Starts the task that writes; it ends once this is dropped and all is written.
    pub(super) fn start(log: DurableLog, applied: mpsc::Sender<u64>) -> LogWriter {
        let (batches, receiver) = mpsc::channel(MAX_WAITING_BATCHES);
        tokio::spawn(write_batches(log, receiver, applied));
        LogWriter { batches }
    }

    /// Has updates written that were applied.
    pub(super) async fn write(&self, applied: AppliedUpdates) -> Result<(), WriterEnded> {
        self.batches.send(applied).await.map_err(|_| WriterEnded)
    }
}

async fn write_batches(
    mut log: DurableLog,
    mut batches: mpsc::Receiver<AppliedUpdates>,
    applied: mpsc::Sender<u64>,
) {
    let mut waiting = Vec::with_capacity(MAX_WAITING_BATCHES);
    while batches.recv_many(&mut waiting, MAX_WAITING_BATCHES).await > 0 {
        let written = std::mem::take(&mut waiting);
        let writing = tokio::task::spawn_blocking(move || {
            let version = write_all(&mut log, &written);
            (log, version)
        });
        let Ok((log_again, version)) = writing.await else { return };
        log = log_again;
        if let Some(version) = version
            && applied.send(version).await.is_err()
        {
            return;
        }
    }
}

/// The version that is applied and on the disk now.
fn write_all(log: &mut DurableLog, batches: &[AppliedUpdates]) -> Option<u64> {
    for AppliedUpdate { update, before } in batches.iter().flat_map(|batch| &batch.updates) {
        log.append(update, Some(before));
    }
    let state = &batches.last()?.state;
    // Several that waited together are recorded once.
    if batches.iter().any(|batch| !batch.updates.is_empty()) {
        log.record_applied(state);
    }
    Some(state.version.number)
}
