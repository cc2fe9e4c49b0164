//! Errors of a scale run.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use crate::change_log::ChangeLogError;
use crate::plan;
use crate::worker::Reply;

/// Why a run ended without measurements.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The plan was rejected before any process was started.
    #[error(transparent)]
    PlanRejected(#[from] plan::PlanRejected),
    /// An operation on a file, a process or a socket failed.
    #[error("{what}: {error}")]
    Io {
        /// The file, process or other thing that the operation was on.
        what: String,
        /// The operation's error.
        error: io::Error,
    },
    /// A worker process of the run did not execute a command. Its log may have the cause.
    #[error("worker process {role}: {why}; see its log {}", log.display())]
    Worker {
        /// Role of the process.
        role: String,
        /// What went wrong.
        why: String,
        /// The log of the process.
        log: PathBuf,
    },
    /// The change log could not be written.
    #[error("change log: {0}")]
    ChangeLog(#[from] ChangeLogError),
    /// Some gateways did not receive the complete list or try all connections in time.
    #[error("{late} of {gateways} gateways did not become steady within {limit:?}")]
    NotSteady {
        /// Gateways that are not steady.
        late: usize,
        /// Hollow gateways of the fleet.
        gateways: usize,
        /// The time limit.
        limit: Duration,
    },
    /// The worker that starts the endpoint list replied with something else than the list's address.
    #[error("the endpoint list's process did not reply with its address but with {reply:?}")]
    NoListAddress {
        /// The reply.
        reply: Reply,
    },
    /// A worker replied to the command to restart a gateway with something else than success.
    #[error("a worker process replied to a restart command with {reply:?}")]
    NotRestarted {
        /// The reply.
        reply: Reply,
    },
    /// A signal stopped the run; every process that it started has been ended.
    #[error("stopped by a signal; all processes that the run started have been ended")]
    Stopped,
}

impl ScaleError {
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.into();
        move |error| ScaleError::Io { what, error }
    }
}
