//! Why a measurement failed.

use std::io;
use std::path::PathBuf;

use thiserror::Error;
use umbertray_config_log::InvalidConfiguration;
use umbertray_config_log::change::ChangeRejected;
use umbertray_config_log::follow::FollowError;
use umbertray_config_log::log::LogError;
use umbertray_snapshot::FolderError;

use crate::error::ScriptProblems;

#[derive(Debug, Error)]
pub(crate) enum MeasureError {
    #[error("stores: {0}")]
    Stores(#[source] io::Error),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("{}: {source}", folder.display())]
    FolderIo { folder: PathBuf, source: io::Error },
    #[error("{}: {source}", folder.display())]
    State { folder: PathBuf, source: FolderError },
    #[error(transparent)]
    Settings(#[from] ScriptProblems),
    #[error("{}", .0.join("; "))]
    Version(InvalidConfiguration),
    #[error(transparent)]
    Log(#[from] LogError),
    #[error(transparent)]
    Change(#[from] ChangeRejected),
    #[error(transparent)]
    Follow(#[from] FollowError),
    /// A task panicked while it held the lock of the change log.
    #[error("the lock of the change log is poisoned: a task panicked while holding it")]
    LogPoisoned,
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    #[error(transparent)]
    Latency(#[from] hdrhistogram::RecordError),
    #[error(transparent)]
    Latencies(#[from] hdrhistogram::AdditionError),
    #[error("the core produced no snapshot")]
    NoSnapshot,
    #[error("no state was restored from the folder where it had been saved")]
    NothingRestored,
    #[error("the gateway process has exited")]
    GatewayEnded,
    #[error("the resident size, the second field of /proc/PID/statm, is missing or not a number")]
    NoResidentSize,
}
