//! Following the writer's folder.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use umbertray_config_log::follow::FollowError;
use umbertray_config_log::{FolderReader, Update};
use umbertray_snapshot::Disk;

use crate::commit_recorder::CommitRecorder;
use crate::event_loop::LoopEvent;

/// Between two reads of the folder.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Between two log events that the folder cannot be read.
const ERROR_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The folder, and the reader of its log once it has been opened.
struct FolderPoller {
    disk: Disk,
    reader: Option<FolderReader>,
}

impl FolderPoller {
    fn poll(&mut self) -> Result<Vec<Update>, FollowError> {
        if let Some(reader) = &mut self.reader {
            return reader.poll(&self.disk);
        }
        let (reader, updates) = FolderReader::open(&self.disk)?;
        self.reader = Some(reader);
        Ok(updates)
    }
}

/// A poller, after a poll on another thread.
struct Polled {
    poller: FolderPoller,
    updates: Result<Vec<Update>, FollowError>,
}

/// Tells the event loop of all that is durably committed there, recorded as committed before, until the loop ends. A folder
/// that hangs holds a thread of those for blocking work, and none of the runtime's own.
pub(crate) async fn follow(folder: PathBuf, recorder: CommitRecorder, events: mpsc::Sender<LoopEvent>) {
    let mut poller = FolderPoller { disk: Disk::read_only(&folder), reader: None };
    let mut error_log = ErrorLog { logged_at: None };
    loop {
        let writer = recorder.clone();
        let polled = tokio::task::spawn_blocking(move || poll_and_persist(poller, &writer));
        let Ok(polled) = polled.await else { return };
        poller = polled.poller;
        match polled.updates {
            Ok(updates) => {
                if let Some(last) = updates.last() {
                    recorder.publish(last);
                    if events.send(LoopEvent::FolderRead(updates)).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => error_log.log(&folder, &error),
        }
        // A cancelled branch loses nothing: both only wait.
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = events.closed() => return,
        }
    }
}

fn poll_and_persist(mut poller: FolderPoller, recorder: &CommitRecorder) -> Polled {
    let updates = poller.poll();
    if let Some(last) = updates.as_ref().ok().and_then(|updates| updates.last()) {
        recorder.persist(last);
    }
    Polled { poller, updates }
}

/// Logs that the folder cannot be read, not at every poll.
struct ErrorLog {
    logged_at: Option<Instant>,
}

impl ErrorLog {
    fn log(&mut self, folder: &Path, error: &FollowError) {
        if self.logged_at.is_none_or(|at| at.elapsed() >= ERROR_LOG_INTERVAL) {
            tracing::error!(folder = %folder.display(), %error, "folder read failed");
            self.logged_at = Some(Instant::now());
        }
    }
}
