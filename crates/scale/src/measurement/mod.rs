//! A fleet of one size: its start, its measurement from outside while it is idle or its configuration changes
//! or gateways restart, and its end.

mod applied_versions;
mod line;
mod line_builder;
mod measure;
mod processes;
mod sample;
mod schedule;
mod startup;
mod testbed;
mod usage;

pub use applied_versions::apply_delays;
pub use line::{Line, Role};
pub(crate) use processes::{start_coordinator, start_list, start_worker};
pub use testbed::Testbed;
pub(crate) use usage::{MIB, load_average};

use std::path::PathBuf;

use crate::plan::Limits;

/// Zones that stores, gateways and relays are spread over.
pub(crate) const ZONES: u32 = 6;

/// Program, folder and resources of a run.
pub struct Setup {
    /// The program `umbertray`.
    pub program: PathBuf,
    /// Folder for scripts, logs and state of the run's processes.
    pub scratch: PathBuf,
    /// Resources of this machine that the run may use.
    pub limits: Limits,
}

/// How the gateways of a worker process are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Each gateway after the previous one has tried its connections to all stores.
    OneByOne,
    /// All gateways as fast as the machine allows, which causes a thundering herd.
    AtOnce,
}
