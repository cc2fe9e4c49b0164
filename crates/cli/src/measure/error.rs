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
    /// A task that holds the log panicked.
    #[error("poisoned lock: another task failed inside")]
    LogPoisoned,
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    #[error(transparent)]
    Latency(#[from] hdrhistogram::RecordError),
    #[error(transparent)]
    Latencies(#[from] hdrhistogram::AdditionError),
    #[error("the core told nothing")]
    NoSnapshot,
    #[error("nothing was recalled")]
    NothingRestored,
    #[error("the gateway has ended")]
    GatewayEnded,
    #[error("statm has no second figure")]
    NoResidentSize,
}
