//! What a measurement says of one role.

use serde::{Deserialize, Serialize};

use crate::fit::Quantiles;

/// What a group of processes of a run is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A real gateway: `umbertray serve` in a process of its own.
    Gateway,
    /// The coordinator.
    Keeper,
    /// All relays together.
    Relay,
    /// The endpoint list.
    List,
    /// All stand-in stores together.
    Store,
}

/// The measurements of one role at one size. Figures of gateways are for each gateway; those of other roles
/// are for all their processes together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Name of the size: the factor and its position in the sweep, or `one`.
    pub point: String,
    /// Number of the repeat, from 0.
    pub repeat: u32,
    /// The role; `None` for the hollow gateways.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub role: Option<Role>,
    /// Gateways of the fleet, real and hollow.
    pub gateways: u32,
    /// Stores that the list names.
    pub stores: u32,
    /// Of those stores, the ones that accept connections.
    pub answering: u32,
    /// Volumes of the configuration.
    pub volumes: u32,
    /// Hollow gateways of the fleet.
    pub hollow: u32,
    /// Processes of the role.
    pub processes: u32,
    /// How long the fleet was measured.
    pub seconds: f64,
    /// Changes of the configuration by the plan.
    pub changes_per_second: f64,
    /// Restarts of hollow gateways by the plan.
    pub restarts_per_hour: f64,
    /// From the first gateway's start until all held the full list and their connections were made or
    /// refused.
    pub start_seconds: f64,
    /// Bytes of list and store connections that the start took, for each gateway.
    pub start_bytes: f64,
    /// CPU time over `seconds`, in percent of one core.
    pub idle_core_percent: f64,
    /// Resident memory, in MiB.
    pub rss_mb: f64,
    /// Resident memory of all processes of the role, in MiB.
    pub rss_total_mb: f64,
    /// Bytes at the sockets of list and stores, both directions.
    pub control_bytes_per_second: f64,
    /// Of those, the list's.
    pub list_bytes_per_second: f64,
    /// Of those, the stores'.
    pub link_bytes_per_second: f64,
    /// Calls of a gateway's core by its event loop; 0 for other roles than the hollow gateways.
    pub turns_per_second: f64,
    /// Changes of the configuration that were committed.
    pub changes: u32,
    /// Hollow gateways that were restarted.
    pub restarts: u32,
    /// Seconds until a change was in force at each gateway.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub in_force_seconds: Option<Quantiles>,
    /// The machine's load average over a minute, at the end.
    pub load: f64,
    /// Properties that did not hold.
    pub broken: Vec<String>,
}
