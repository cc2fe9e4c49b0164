//! Follows the change log in the writer's folder.

use std::path::PathBuf;
use std::time::Duration;

use umbertray_config_log::Follower;
use umbertray_snapshot::Disk;

use super::log_rate_limit::LogRateLimit;
use super::position_recorder::PositionRecorder;
use super::publisher::{ChangePublisher, EventLoopEnded};

/// Interval between reads of the folder.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a folder. Reading and decoding run on blocking threads, because a stalled disk must not block the
/// runtime's own threads.
pub(super) struct FolderPoller {
    disk: Disk,
    follower: Box<Follower>,
    /// The folder in which the applied version is recorded.
    applied_folder: Option<PathBuf>,
}

impl FolderPoller {
    pub(super) fn new(disk: Disk, follower: Box<Follower>, applied_folder: Option<PathBuf>) -> FolderPoller {
        FolderPoller { disk, follower, applied_folder }
    }

    /// Follows the log until the event loop ends.
    pub(super) async fn follow(mut self, publisher: &ChangePublisher) {
        let mut log_limit = LogRateLimit::default();
        let recorder = PositionRecorder::start(self.applied_folder.take());
        recorder.record(&self.follower.replica);
        loop {
            let polling = tokio::task::spawn_blocking(move || {
                let result = self.follower.poll(&self.disk);
                (self, result)
            });
            let Ok((poller, result)) = polling.await else { return };
            self = poller;
            match result {
                Ok(applied) if applied.is_empty() => {}
                Ok(applied) => {
                    if let Err(EventLoopEnded) = publisher.publish(applied).await {
                        return;
                    }
                    recorder.record(&self.follower.replica);
                }
                Err(error) if log_limit.allow() => {
                    let version = self.follower.replica.version.number;
                    tracing::error!(%error, version, "change log rejected");
                }
                Err(_) => {}
            }
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = publisher.event_loop_ended() => return,
            }
        }
    }
}
