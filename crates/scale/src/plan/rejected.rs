//! Reasons to reject a plan before any process starts, and the checks that need only the plan.

use super::Plan;
use super::demand::MAX_RELAYS;

/// Why a plan was rejected before any process was started.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum PlanRejected {
    /// The plan has more relays in a zone than a run may have.
    #[error("{relays} relays in a zone, the limit is {MAX_RELAYS}")]
    TooManyRelays {
        /// Relays in each zone of the plan.
        relays: u32,
    },
    /// The plan has a fault of relays but no relays.
    #[error("a relay fault needs at least one relay in each zone")]
    FaultWithoutRelays,
    /// The plan has no gateways, no stores or no volumes.
    #[error("{gateways} gateways, {stores} stores, {volumes} volumes: at least one of each is needed")]
    Empty {
        /// Gateways of the plan.
        gateways: u32,
        /// Stores of the plan.
        stores: u32,
        /// Volumes of the plan.
        volumes: u32,
    },
    /// The plan has more real gateways than gateways in all.
    #[error("{real_gateways} real gateways of {gateways} in all")]
    TooManyReal {
        /// Real gateways of the plan.
        real_gateways: u32,
        /// All gateways of the plan.
        gateways: u32,
    },
    /// The plan has more stores that accept connections than stores in all.
    #[error("{answering} answering stores of {stores} listed")]
    TooManyAnswering {
        /// Stores of the plan that accept connections.
        answering: u32,
        /// Stores of the plan.
        stores: u32,
    },
    /// A value of the plan is out of its range.
    #[error("{value} {name} is not within {min} to {max}")]
    OutOfRange {
        /// The value in the plan.
        value: f64,
        /// Name of the value.
        name: &'static str,
        /// Smallest allowed value.
        min: f64,
        /// Largest allowed value.
        max: f64,
    },
    /// The plan needs more memory than the limit.
    #[error(
        "the plan needs {need} MB of memory, the limit is {limit} MB: \
         use fewer gateways, stores or answering stores"
    )]
    Memory {
        /// Memory that the plan needs, in MiB.
        need: u64,
        /// Memory that the run may use, in MiB.
        limit: u64,
    },
    /// The plan needs more processes than the limit.
    #[error(
        "the plan needs {need} processes, the limit is {limit}: \
         use fewer real gateways or answering stores ({connections} connections of gateways to stores)"
    )]
    Processes {
        /// Processes that the plan needs.
        need: u32,
        /// Processes that the run may start, including this one.
        limit: u32,
        /// Connections of gateways to stores in the plan.
        connections: u64,
    },
    /// A process of the plan needs more file descriptors than the system allows.
    #[error(
        "a {role} process needs {need} file descriptors, the limit is {limit} (ulimit -n): \
         use fewer gateways or answering stores, or raise the limit"
    )]
    Descriptors {
        /// Role of the process.
        role: &'static str,
        /// File descriptors that the process needs.
        need: u64,
        /// File descriptors that the system allows it.
        limit: u64,
    },
    /// The folder for the results cannot be written.
    #[error("--out {folder}: cannot be written: {why}")]
    ResultsFolder {
        /// The folder.
        folder: String,
        /// The system's error.
        why: String,
    },
}

/// Allowed range of the measured time in seconds, including both ends.
const SECONDS: (f64, f64) = (0.1, 3600.0);

/// Allowed range of the changes of the configuration per second, including both ends.
const CHANGES_PER_SECOND: (f64, f64) = (0.0, 1000.0);

/// Allowed range of the restarts of gateways per hour, including both ends.
const RESTARTS_PER_HOUR: (f64, f64) = (0.0, 360_000.0);

/// Rejects a plan that contradicts itself or has values out of range.
pub(super) fn check_consistency(plan: &Plan) -> Result<(), PlanRejected> {
    let Plan { gateways, real_gateways, stores, volumes, relays, .. } = *plan;
    if relays > MAX_RELAYS {
        return Err(PlanRejected::TooManyRelays { relays });
    }
    if plan.fault.is_some() && relays == 0 {
        return Err(PlanRejected::FaultWithoutRelays);
    }
    if gateways == 0 || stores == 0 || volumes == 0 {
        return Err(PlanRejected::Empty { gateways, stores, volumes });
    }
    if real_gateways > gateways {
        return Err(PlanRejected::TooManyReal { real_gateways, gateways });
    }
    if let Some(answering) = plan.answering.filter(|answering| *answering > stores) {
        return Err(PlanRejected::TooManyAnswering { answering, stores });
    }
    check_range("seconds", plan.seconds, SECONDS)?;
    check_range("changes a second", plan.changes_per_second, CHANGES_PER_SECOND)?;
    check_range("restarts an hour", plan.restarts_per_hour, RESTARTS_PER_HOUR)
}

/// Rejects a value out of its range. NaN is out of every range.
fn check_range(name: &'static str, value: f64, (min, max): (f64, f64)) -> Result<(), PlanRejected> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(PlanRejected::OutOfRange { value, name, min, max })
}
