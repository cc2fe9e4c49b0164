//! Follows the change log: committed changes become the settings in force.

mod folder;
mod log_copy;
mod log_rate_limit;
mod log_writer;
mod position_recorder;
mod publisher;
mod relayed;

use std::path::PathBuf;

use umbertray_config_log::{Follower, Replica};
use umbertray_snapshot::Disk;

pub(crate) use self::publisher::ChangePublisher;
pub use self::relayed::{RELAY_START_TIMEOUT, RelaySource, RelayedChanges};

use self::folder::FolderPoller;

/// The change log that a gateway follows, read up to the settings that the gateway starts with.
pub enum ChangeSource {
    /// The folder of the log's writer.
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The follower, at the position up to which the log was read.
        follower: Box<Follower>,
        /// The folder in which the applied version is recorded across restarts.
        state_folder: Option<PathBuf>,
    },
    /// Relays.
    Relays(Box<RelayedChanges>),
}

impl ChangeSource {
    /// The configuration state that the gateway starts with.
    pub fn replica(&self) -> &Replica {
        match self {
            ChangeSource::Folder { follower, .. } => &follower.replica,
            ChangeSource::Relays(relayed) => &relayed.replica,
        }
    }

    /// Follows the log until the event loop ends.
    pub(crate) async fn follow(self, publisher: ChangePublisher) {
        match self {
            ChangeSource::Folder { folder, follower, state_folder } => {
                FolderPoller::new(Disk::read_only(&folder), follower, state_folder).follow(&publisher).await;
            }
            ChangeSource::Relays(relayed) => relayed.follow(&publisher).await,
        }
    }
}
