//! A gateway's own copy of the change log, from which it starts when no relay can be reached.

use std::path::{Path, PathBuf};

use umbertray_config_log::log::LogError;
use umbertray_config_log::{LogCopy, Replica, Update};
use umbertray_relay::replica_position;
use umbertray_snapshot::Disk;

use super::position_recorder::write_position;

/// The subfolder of a gateway's state folder that holds the copy.
const COPY_FOLDER: &str = "changes";

/// The parts of the log that a gateway stores durably, if it has a state folder: a copy of the log and the
/// applied version.
pub(super) struct DurableLog {
    copy: Option<LogCopy>,
    folder: Option<PathBuf>,
}

/// The result of opening a gateway's state folder.
pub(super) struct OpenedLog {
    /// Takes the updates that follow.
    pub(super) log: DurableLog,
    /// The state at the end of the copy, if there is one.
    pub(super) state: Option<Replica>,
}

impl DurableLog {
    /// Opens the copy. Without a usable copy, the full log is requested from the relays.
    pub(super) fn open(folder: Option<PathBuf>) -> OpenedLog {
        let (copy, state) = folder.as_deref().and_then(open_copy).unzip();
        OpenedLog { log: DurableLog { copy, folder }, state: state.flatten() }
    }

    /// Appends an update, which is synced when this returns. `state` is the state before the update.
    pub(super) fn append(&mut self, update: &Update, state: Option<&Replica>) {
        let result = self.copy.as_mut().map(|copy| copy.append(update, state));
        if let Some(Err(error)) = result {
            // After a restart the missing updates are requested from the relays.
            tracing::error!(%error, version = update.version(), "log copy write failed");
        }
    }

    /// Records the applied version, which is synced when this returns.
    pub(super) fn record_applied(&self, state: &Replica) {
        if let Some(folder) = &self.folder {
            write_position(folder, replica_position(state));
        }
    }
}

fn open_copy(folder: &Path) -> Option<(LogCopy, Option<Replica>)> {
    let folder = folder.join(COPY_FOLDER);
    let disk = Disk::open(&folder).map_err(LogError::from);
    let copy = disk.and_then(|disk| LogCopy::open(Box::new(disk)));
    copy.inspect_err(|error| tracing::error!(folder = %folder.display(), %error, "log copy open failed")).ok()
}
