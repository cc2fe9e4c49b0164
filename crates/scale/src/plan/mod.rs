//! The size of a fleet, the resources that it needs, and the check that the machine has them, before any
//! process starts.

mod demand;
mod rejected;

pub use demand::{Demand, check_demand};
pub use rejected::PlanRejected;

use serde::{Deserialize, Serialize};

use crate::relays::Fault;

/// Limit on the memory of all processes of a run together, in bytes.
const MAX_BYTES: u64 = 12 << 30;

/// Limit on the number of processes of a run, including this one.
const MAX_PROCESSES: u32 = 300;

/// The size of a fleet, and the load and faults while it is measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// All gateways, real and hollow.
    pub gateways: u32,
    /// Real gateways, each in its own process.
    #[serde(rename = "real")]
    pub real_gateways: u32,
    /// Stores that the list names.
    pub stores: u32,
    /// Stores that accept connections; no process listens at the addresses of the others. `None` for as many
    /// as the default number of connections allows.
    pub answering: Option<u32>,
    /// Volumes in the configuration.
    pub volumes: u32,
    /// Changes of the configuration per second while the fleet is measured.
    pub changes_per_second: f64,
    /// Restarts of hollow gateways per hour, over the whole fleet, while it is measured.
    pub restarts_per_hour: f64,
    /// How long the fleet is measured, in seconds.
    pub seconds: f64,
    /// Seed of the random choices of the run, its gateways and its stores.
    pub seed: u64,
    /// Relays in each zone between the change log's folder and the gateways. With 0 the gateways read the
    /// folder.
    #[serde(default)]
    pub relays: u32,
    /// Fault of the first relay of each zone while the fleet is measured.
    #[serde(default)]
    pub fault: Option<Fault>,
}

impl Plan {
    /// Number of hollow gateways, which share processes.
    pub(crate) fn hollow_gateways(&self) -> u32 {
        self.gateways.saturating_sub(self.real_gateways)
    }
}

/// Resources of this machine that a run may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open file descriptors of one process.
    pub descriptors: u64,
    /// Bytes of memory of all processes together.
    pub bytes: u64,
    /// Number of processes.
    pub processes: u32,
}

impl Limits {
    /// The limits of a run on this machine, with the system's soft limit of file descriptors for a process.
    pub fn of_this_machine() -> Limits {
        let descriptor_limit = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
        Limits {
            descriptors: descriptor_limit.map_or(1024, |(soft, _)| soft),
            bytes: MAX_BYTES,
            processes: MAX_PROCESSES,
        }
    }
}
