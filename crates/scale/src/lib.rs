//! Scale runs: what the size of a fleet costs each of its members, measured, fitted and drawn.
//!
//! A hollow gateway is [`umbertray_nbd_gateway`] itself, many in a process, with endpoint list, change log, map, connections
//! to stores, scheduler and snapshots, and without clients. Nothing here decides what a gateway does: [`hollow`] starts it
//! on the settings that the program reads, and counts the inputs of its core. [`worker`] is a process of hollow gateways,
//! of stand-in stores, or of the endpoint list; [`crew`] starts such processes and ends them by id; [`plan`] rejects what
//! the machine has no capacity for; [`point`] measures one size, [`sweep`] many, [`moments`] disruptions; [`fit`] has the
//! slopes; [`report`] writes them down.

pub mod crew;
pub mod fit;
pub mod hollow;
pub mod moments;
pub mod plan;
pub mod point;
pub mod relays;
pub mod report;
mod script;
pub mod sweep;
pub mod worker;

use std::io;
use std::path::PathBuf;

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
    /// The change log could not be written, or the fleet did not reach the expected state.
    #[error("the log of changes: {0}")]
    Changes(String),
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
