//! The figures of a line that get a slope.

use crate::measurement::{Line, Role};

/// A figure that is read from lines.
pub(super) struct Figure {
    /// Its name in tables, charts and files.
    pub(super) name: &'static str,
    /// Its unit.
    pub(super) unit: &'static str,
    /// The role whose lines have it; `None` for the hollow gateways.
    pub(super) role: Option<Role>,
    /// Reads it from a line.
    pub(super) of: fn(&Line) -> Option<f64>,
}

macro_rules! figure {
    ($name:literal, $unit:literal, $role:expr, $of:expr) => {
        Figure { name: $name, unit: $unit, role: $role, of: $of }
    };
}

/// The figures that get a slope in each factor. Those of gateways are for each hollow gateway, except where
/// the name says all or real.
pub(super) const FIGURES: [Figure; 21] = [
    figure!("gateway, core", "% of a core", None, |line| Some(line.idle_core_percent)),
    figure!("gateway, memory", "MB", None, |line| Some(line.rss_mb)),
    figure!("gateway, control", "B/s", None, |line| Some(line.control_bytes_per_second)),
    figure!("gateway, control by the list", "B/s", None, |line| Some(line.list_bytes_per_second)),
    figure!("gateway, control by links", "B/s", None, |line| Some(line.link_bytes_per_second)),
    figure!("gateway, start", "bytes", None, |line| Some(line.start_bytes)),
    figure!("gateway, turns", "1/s", None, |line| Some(line.turns_per_second)),
    figure!("all gateways, core", "% of a core", None, |line| Some(
        line.idle_core_percent * f64::from(line.hollow)
    )),
    figure!("all gateways, memory", "MB", None, |line| Some(line.rss_total_mb)),
    figure!("all gateways, start", "s", None, |line| Some(line.start_seconds)),
    figure!("in force, median", "s", None, |line| line.in_force_seconds.map(|spans| spans.p50)),
    figure!("in force, 99 of 100", "s", None, |line| line.in_force_seconds.map(|spans| spans.p99)),
    figure!("in force, longest", "s", None, |line| line.in_force_seconds.map(|spans| spans.max)),
    figure!("real gateway, core", "% of a core", Some(Role::Gateway), |line| Some(line.idle_core_percent)),
    figure!("real gateway, memory", "MB", Some(Role::Gateway), |line| Some(line.rss_mb)),
    figure!("all stores, core", "% of a core", Some(Role::Store), |line| Some(line.idle_core_percent)),
    figure!("list, core", "% of a core", Some(Role::List), |line| Some(line.idle_core_percent)),
    figure!("list, memory", "MB", Some(Role::List), |line| Some(line.rss_mb)),
    figure!("list, control", "B/s", Some(Role::List), |line| Some(line.control_bytes_per_second)),
    figure!("keeper, core", "% of a core", Some(Role::Keeper), |line| Some(line.idle_core_percent)),
    figure!("keeper, memory", "MB", Some(Role::Keeper), |line| Some(line.rss_mb)),
];
