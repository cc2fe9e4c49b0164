//! A gateway's own copy of the log, to start from when no relay can be reached.

use std::path::{Path, PathBuf};

use umbertray_config_log::log::LogError;
use umbertray_config_log::{LogCopy, Replica, Update};
use umbertray_relay::position;
use umbertray_snapshot::Disk;

use super::position_recorder::write_position;

/// The folder in a gateway's own that holds the copy.
const COPY_FOLDER: &str = "changes";

/// What a gateway makes durable of the log, if it has a folder.
pub(super) struct DurableLog {
    copy: Option<LogCopy>,
    folder: Option<PathBuf>,
}

/// What was opened in a gateway's folder.
pub(super) struct OpenedLog {
    /// For what follows.
    pub(super) log: DurableLog,
    /// The state that the copy ends with.
    pub(super) state: Option<Replica>,
}

impl DurableLog {
    /// Opens the copy; without one that can be used the relays are asked for all of the log.
    pub(super) fn open(folder: Option<PathBuf>) -> OpenedLog {
        let (copy, state) = folder.as_deref().and_then(open_copy).unzip();
        OpenedLog { log: DurableLog { copy, folder }, state: state.flatten() }
    }

    /// Appends an update, synced when this returns; `state` is the one that it follows on.
    pub(super) fn append(&mut self, update: &Update, state: Option<&Replica>) {
        let appended = self.copy.as_mut().map(|copy| copy.append(update, state));
        if let Some(Err(error)) = appended {
            // The relays are asked after a restart.
            tracing::error!(%error, version = update.version(), "log copy write failed");
        }
    }

    /// Records the version that is applied, synced when this returns.
    pub(super) fn record_applied(&self, state: &Replica) {
        if let Some(folder) = &self.folder {
            write_position(folder, position(state));
        }
    }
}

fn open_copy(folder: &Path) -> Option<(LogCopy, Option<Replica>)> {
    let folder = folder.join(COPY_FOLDER);
    let disk = Disk::open(&folder).map_err(LogError::from);
    let opened = disk.and_then(|disk| LogCopy::open(Box::new(disk)));
    opened
        .inspect_err(|error| tracing::error!(folder = %folder.display(), %error, "log copy open failed"))
        .ok()
}
