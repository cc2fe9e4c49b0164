//! Follows the change log in the writer's folder.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use umbertray_config_log::follow::FollowError;
use umbertray_config_log::{FolderReader, Update};
use umbertray_snapshot::Disk;

use crate::commit_recorder::CommitRecorder;
use crate::event_loop::LoopEvent;

/// Delay between two reads of the folder.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum time between two log events about failed reads of the folder.
const ERROR_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Polls the folder for updates; `reader` is set once the log has been opened.
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

/// The result of a poll on a blocking thread, with the poller for the next one.
struct PollResult {
    poller: FolderPoller,
    updates: Result<Vec<Update>, FollowError>,
}

/// Sends the event loop all updates that are durably committed in the folder, until the event loop ends.
/// Their position is recorded as committed first. A stalled folder blocks a thread of the blocking pool, but
/// none of the runtime's worker threads.
pub(crate) async fn follow(folder: PathBuf, recorder: CommitRecorder, events: mpsc::Sender<LoopEvent>) {
    let mut poller = FolderPoller { disk: Disk::read_only(&folder), reader: None };
    let mut error_log = RateLimitedErrorLog { logged_at: None };
    loop {
        let blocking_recorder = recorder.clone();
        let poll = tokio::task::spawn_blocking(move || poll_and_persist(poller, &blocking_recorder));
        let Ok(result) = poll.await else { return };
        poller = result.poller;
        match result.updates {
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
        // Cancel safety: both branches only wait.
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = events.closed() => return,
        }
    }
}

fn poll_and_persist(mut poller: FolderPoller, recorder: &CommitRecorder) -> PollResult {
    let updates = poller.poll();
    if let Some(last) = updates.as_ref().ok().and_then(|updates| updates.last()) {
        recorder.persist(last);
    }
    PollResult { poller, updates }
}

/// Logs failed reads of the folder, at most once per [`ERROR_LOG_INTERVAL`].
struct RateLimitedErrorLog {
    logged_at: Option<Instant>,
}

impl RateLimitedErrorLog {
    fn log(&mut self, folder: &Path, error: &FollowError) {
        if self.logged_at.is_none_or(|at| at.elapsed() >= ERROR_LOG_INTERVAL) {
            tracing::error!(folder = %folder.display(), %error, "folder read failed");
            self.logged_at = Some(Instant::now());
        }
    }
}
