//! The size of a fleet, what it needs, and whether the machine has the capacity: decided before anything
//! starts.

mod demand;
mod refused;

pub use demand::{Demand, demand};
pub use refused::Refused;

use serde::{Deserialize, Serialize};

use crate::relays::Fault;

/// Bytes of memory that all processes of a run may hold together.
const MAX_BYTES: u64 = 12 << 30;

/// Processes of a run, this one among them.
const MAX_PROCESSES: u32 = 300;

/// One size of a fleet, and what is done with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// All gateways, real and hollow.
    pub gateways: u32,
    /// Real gateways, each in a process of its own.
    pub real: u32,
    /// Stores that the list names.
    pub stores: u32,
    /// Stores that accept connections; nobody listens at the others' addresses. `None`: as many as the
    /// default number of connections allows.
    pub answering: Option<u32>,
    /// Volumes of the configuration.
    pub volumes: u32,
    /// Changes of the configuration while the fleet is measured.
    pub changes_per_second: f64,
    /// Restarts of hollow gateways in the whole fleet while it is measured.
    pub restarts_per_hour: f64,
    /// How long the fleet is measured.
    pub seconds: f64,
    /// Seed of the random choices of the run, its gateways and its stores.
    pub seed: u64,
    /// Relays in each zone, between the change log's folder and the gateways; 0: gateways read the folder.
    #[serde(default)]
    pub relays: u32,
    /// What happens to one relay of each zone while the fleet is measured.
    #[serde(default)]
    pub fault: Option<Fault>,
}

impl Plan {
    /// Gateways that share processes.
    pub(crate) fn hollow(&self) -> u32 {
        self.gateways.saturating_sub(self.real)
    }
}

/// What a run may use of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open descriptors of one process.
    pub descriptors: u64,
    /// Bytes of memory of all processes together.
    pub bytes: u64,
    /// Processes.
    pub processes: u32,
}

impl Limits {
    /// The limits of a run on this machine, with the descriptors that the system allows a process.
    pub fn here() -> Limits {
        let most = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
        Limits {
            descriptors: most.map_or(1024, |(soft, _)| soft),
            bytes: MAX_BYTES,
            processes: MAX_PROCESSES,
        }
    }
}
