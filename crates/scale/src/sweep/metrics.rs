//! The metrics of a line for which slopes are computed.

use crate::measurement::{Line, Role};

/// A metric that is read from lines.
pub(super) struct Metric {
    /// Its name in tables, charts and files.
    pub(super) name: &'static str,
    /// Its unit.
    pub(super) unit: &'static str,
    /// The role whose lines contain it; `None` for the hollow gateways.
    pub(super) role: Option<Role>,
    /// Reads its value from a line.
    pub(super) value: fn(&Line) -> Option<f64>,
}

macro_rules! metric {
    ($name:literal, $unit:literal, $role:expr, $value:expr) => {
        Metric { name: $name, unit: $unit, role: $role, value: $value }
    };
}

/// The metrics for which a slope is computed in each factor. Those of gateways are per hollow gateway, unless
/// the name contains "all" or "real".
pub(super) const METRICS: [Metric; 21] = [
    metric!("gateway, core", "% of a core", None, |line| Some(line.idle_core_percent)),
    metric!("gateway, memory", "MB", None, |line| Some(line.rss_mb)),
    metric!("gateway, control", "B/s", None, |line| Some(line.control_bytes_per_second)),
    metric!("gateway, control by the list", "B/s", None, |line| Some(line.list_bytes_per_second)),
    metric!("gateway, control by links", "B/s", None, |line| Some(line.store_bytes_per_second)),
    metric!("gateway, start", "bytes", None, |line| Some(line.start_bytes)),
    metric!("gateway, turns", "1/s", None, |line| Some(line.core_calls_per_second)),
    metric!("all gateways, core", "% of a core", None, |line| Some(
        line.idle_core_percent * f64::from(line.hollow)
    )),
    metric!("all gateways, memory", "MB", None, |line| Some(line.rss_total_mb)),
    metric!("all gateways, start", "s", None, |line| Some(line.start_seconds)),
    metric!("in force, median", "s", None, |line| line.apply_delay_seconds.map(|delays| delays.p50)),
    metric!("in force, 99 of 100", "s", None, |line| line.apply_delay_seconds.map(|delays| delays.p99)),
    metric!("in force, longest", "s", None, |line| line.apply_delay_seconds.map(|delays| delays.max)),
    metric!("real gateway, core", "% of a core", Some(Role::Gateway), |line| Some(line.idle_core_percent)),
    metric!("real gateway, memory", "MB", Some(Role::Gateway), |line| Some(line.rss_mb)),
    metric!("all stores, core", "% of a core", Some(Role::Store), |line| Some(line.idle_core_percent)),
    metric!("list, core", "% of a core", Some(Role::List), |line| Some(line.idle_core_percent)),
    metric!("list, memory", "MB", Some(Role::List), |line| Some(line.rss_mb)),
    metric!("list, control", "B/s", Some(Role::List), |line| Some(line.control_bytes_per_second)),
    metric!("keeper, core", "% of a core", Some(Role::Coordinator), |line| Some(line.idle_core_percent)),
    metric!("keeper, memory", "MB", Some(Role::Coordinator), |line| Some(line.rss_mb)),
];
