//! The result of a measurement for one role.

use serde::{Deserialize, Serialize};

use crate::fit::Quantiles;

/// Role of a group of processes in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The real gateways: each is `umbertray serve` in its own process.
    Gateway,
    /// The coordinator.
    #[serde(rename = "keeper")]
    Coordinator,
    /// All relays together.
    Relay,
    /// The endpoint list.
    List,
    /// All stand-in stores together.
    Store,
}

/// The measured values of one role at one size of a fleet. Values of gateways are averages for one gateway;
/// those of other roles are sums over all their processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Name of the size: the factor and the position of the size in the sweep, or `one`.
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
    /// Volumes in the configuration.
    pub volumes: u32,
    /// Hollow gateways of the fleet.
    pub hollow: u32,
    /// Processes of the role.
    pub processes: u32,
    /// How long the fleet was measured, in seconds.
    pub seconds: f64,
    /// Changes of the configuration per second in the plan.
    pub changes_per_second: f64,
    /// Restarts of hollow gateways per hour in the plan, over the whole fleet.
    pub restarts_per_hour: f64,
    /// Seconds from the first gateway's start until all gateways held the complete list and had made or
    /// failed to make all their connections.
    pub start_seconds: f64,
    /// Bytes on list and store connections during the start, per gateway.
    pub start_bytes: f64,
    /// CPU time over `seconds`, in percent of one core.
    pub idle_core_percent: f64,
    /// Resident memory, in MiB.
    pub rss_mb: f64,
    /// Resident memory of all processes of the role, in MiB.
    pub rss_total_mb: f64,
    /// Bytes per second on the connections of list and stores, in both directions.
    pub control_bytes_per_second: f64,
    /// The part of `control_bytes_per_second` on list connections.
    pub list_bytes_per_second: f64,
    /// The part of `control_bytes_per_second` on store connections.
    #[serde(rename = "link_bytes_per_second")]
    pub store_bytes_per_second: f64,
    /// Calls of a gateway's core by its event loop, per second; 0 for other roles than the hollow gateways.
    #[serde(rename = "turns_per_second")]
    pub core_calls_per_second: f64,
    /// Changes of the configuration that were committed.
    pub changes: u32,
    /// Hollow gateways that were restarted.
    pub restarts: u32,
    /// Seconds from the commit of a change until a gateway applied it, over all changes and gateways.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    #[serde(rename = "in_force_seconds")]
    pub apply_delay_seconds: Option<Quantiles>,
    /// The machine's load average over the last minute, at the end of the measurement.
    pub load: f64,
    /// Messages about properties that did not hold.
    pub broken: Vec<String>,
}
