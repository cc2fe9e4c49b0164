//! Writes the gateway's own copy of the change log in the background, after the changes received from relays
//! were applied.

use tokio::sync::mpsc;
use umbertray_config_log::{Replica, Update};

use super::log_copy::DurableLog;

/// Maximum number of batches that may wait for the disk. When the queue is full, the next batch is not
/// applied until there is capacity, so that memory stays bounded if the disk is stalled.
const MAX_WAITING_BATCHES: usize = 64;

/// An applied update, and the state before it.
pub(super) struct AppliedUpdate {
    pub(super) update: Update,
    pub(super) before: Replica,
}

/// Updates that were applied together.
pub(super) struct AppliedUpdates {
    pub(super) updates: Vec<AppliedUpdate>,
    /// The state after the last update.
    pub(super) state: Replica,
}

/// The task that writes the log, or the replication's event loop, has ended.
#[derive(Debug)]
pub(super) struct WriterEnded;

/// Stores applied updates durably, in order, and then notifies the relays of the applied version.
///
/// Hazard: as in [`PositionRecorder`](super::position_recorder::PositionRecorder), a change must not wait for
/// this disk. A version is reported to relays as applied only after it is on the disk: after a crash before
/// that, the gateway restarts from the previous state, and the relays bring it up to date again.
pub(super) struct LogWriter {
    batches: mpsc::Sender<AppliedUpdates>,
}

impl LogWriter {
    /// Starts the writing task, which ends once this is dropped and all queued updates are written.
    pub(super) fn start(log: DurableLog, applied: mpsc::Sender<u64>) -> LogWriter {
        let (batches, receiver) = mpsc::channel(MAX_WAITING_BATCHES);
        tokio::spawn(write_batches(log, receiver, applied));
        LogWriter { batches }
    }

    /// Queues applied updates to be written.
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
        let batches_to_write = std::mem::take(&mut waiting);
        let writing = tokio::task::spawn_blocking(move || {
            let version = write_all(&mut log, &batches_to_write);
            (log, version)
        });
        let Ok((returned_log, version)) = writing.await else { return };
        log = returned_log;
        if let Some(version) = version
            && applied.send(version).await.is_err()
        {
            return;
        }
    }
}

/// Writes batches; returns the version that is now both applied and on the disk.
fn write_all(log: &mut DurableLog, batches: &[AppliedUpdates]) -> Option<u64> {
    for AppliedUpdate { update, before } in batches.iter().flat_map(|batch| &batch.updates) {
        log.append(update, Some(before));
    }
    let state = &batches.last()?.state;
    // The position is recorded only once for all batches that waited together.
    if batches.iter().any(|batch| !batch.updates.is_empty()) {
        log.record_applied(state);
    }
    Some(state.version.number)
}
