//! The error of a run.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use crate::change_log::ChangeLogError;
use crate::plan;
use crate::worker::Reply;

/// Why a run ended without its measurements.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The plan was rejected before anything was started.
    #[error(transparent)]
    Refused(#[from] plan::Refused),
    /// An operation on a file, a process or a socket failed.
    #[error("{what}: {error}")]
    Io {
        /// The file, process or other thing that the operation was on.
        what: String,
        /// The operation's error.
        error: io::Error,
    },
    /// A worker process of the run failed to carry out an order; its log has the cause.
    #[error("{role}: {why}; its log is {}", log.display())]
    Worker {
        /// What the process was for.
        role: String,
        /// What went wrong.
        why: String,
        /// The log of the process.
        log: PathBuf,
    },
    /// The change log could not be written.
    #[error("the log of changes: {0}")]
    ChangeLog(#[from] ChangeLogError),
    /// The fleet did not become steady in time.
    #[error("the log of changes: {late} of {gateways} gateways are not steady in {limit:?}")]
    NotSteady {
        /// Gateways that are not steady.
        late: usize,
        /// Hollow gateways of the fleet.
        gateways: usize,
        /// The time that they had.
        limit: Duration,
    },
    /// The endpoint list was started, and its worker replied with something else than its address.
    #[error("the log of changes: the list did not say where it listens but {reply:?}")]
    NoListAddress {
        /// The reply.
        reply: Reply,
    },
    /// A worker replied to a restart with something else than its completion.
    #[error("the log of changes: {reply:?} is no restart")]
    NotRestarted {
        /// The reply.
        reply: Reply,
    },
    /// The run was asked to stop; every process that it started has been ended.
    #[error("told to stop; all that was started is ended")]
    Stopped,
}

impl ScaleError {
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.into();
        move |error| ScaleError::Io { what, error }
    }
}
