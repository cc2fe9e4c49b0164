//! One size of a fleet: started, measured from outside while it is idle, changed or restarted, and ended.

mod in_force;
mod line;
mod line_builder;
mod measure;
mod processes;
mod sample;
mod schedule;
mod stage;
mod startup;
mod usage;

pub use in_force::spans;
pub use line::{Line, Role};
pub(crate) use processes::{start_coordinator, start_list, start_worker};
pub use stage::Stage;
pub(crate) use usage::{MB, load};

use std::path::PathBuf;

use crate::plan::Limits;

/// Zones that stores, gateways and relays are spread over.
pub(crate) const ZONES: u32 = 6;

/// Where a run is made.
pub struct Setup {
    /// The program `umbertray`.
    pub program: PathBuf,
    /// Folder for scripts, logs and state of the processes that are started.
    pub scratch: PathBuf,
    /// What the run may use of this machine.
    pub limits: Limits,
}

/// The order in which the gateways of a process are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Each once the one before it is steady.
    OneByOne,
    /// As fast as the machine can: a thundering herd.
    AtOnce,
}
