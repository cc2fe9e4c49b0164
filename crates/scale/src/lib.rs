//! What a fleet's size costs each of its members: hollow gateways beside real ones, measured, fitted and drawn.
//!
//! A hollow gateway is [`umbertray_nbd_gateway`] itself, many in a process, with list, changes, map, links, module, log and
//! state, and without clients. Nothing here decides what a gateway does: [`hollow`] starts it on the settings that the
//! program reads, and looks on where its loop hosts its core. [`worker`] is a process of them, or of stand-in stores, or
//! the list; [`crew`] starts processes and ends them by id; [`plan`] refuses what there is no room for; [`point`] measures
//! one size, [`sweep`] many; [`fit`] has the slopes; [`report`] writes them down.

pub mod crew;
pub mod fit;
pub mod hollow;
pub mod moments;
pub mod plan;
pub mod point;
pub mod relays;
pub mod report;
pub mod script;
pub mod sweep;
pub mod worker;

use std::io;
use std::path::PathBuf;

/// Why a run ended without its figures, and what may be done.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// Nothing was started.
    #[error(transparent)]
    Refused(#[from] plan::Refused),
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    /// A process of the run did not do what it was told; its log says why.
    #[error("{role}: {why}; its log is {}", log.display())]
    Worker { role: String, why: String, log: PathBuf },
    #[error("the log of changes: {0}")]
    Changes(String),
    #[error("told to stop; all that was started is ended")]
    Stopped,
}

impl ScaleError {
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.into();
        move |error| ScaleError::Io { what, error }
    }
}
