//! Plans that are rejected before anything starts.

use super::Plan;
use super::demand::MAX_RELAYS;

/// Why a plan is rejected before anything is started.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Refused {
    /// More relays in a zone than a run may have.
    #[error("{relays} relays a zone, the limit is {MAX_RELAYS}")]
    TooManyRelays {
        /// Relays of a zone in the plan.
        relays: u32,
    },
    /// A fault of relays in a plan without relays.
    #[error("a fault of relays, and no relays")]
    FaultWithoutRelays,
    /// A plan without gateways, stores or volumes.
    #[error("{gateways} gateways, {stores} stores, {volumes} volumes: one of each is the least")]
    Empty {
        /// Gateways of the plan.
        gateways: u32,
        /// Stores of the plan.
        stores: u32,
        /// Volumes of the plan.
        volumes: u32,
    },
    /// More real gateways than gateways.
    #[error("{real} real gateways of {gateways} in all")]
    TooManyReal {
        /// Real gateways of the plan.
        real: u32,
        /// All gateways of the plan.
        gateways: u32,
    },
    /// More stores that accept connections than stores.
    #[error("{answering} answering stores of {stores} listed")]
    TooManyAnswering {
        /// Stores of the plan that accept connections.
        answering: u32,
        /// Stores of the plan.
        stores: u32,
    },
    /// A figure of the plan is out of its range.
    #[error("{figure} {what} is not within {least} to {most}")]
    OutOfRange {
        /// The figure in the plan.
        figure: f64,
        /// What it is the figure of.
        what: &'static str,
        /// The least that it may be.
        least: f64,
        /// The most that it may be.
        most: f64,
    },
    /// The plan needs more memory than the limit, both in MiB.
    #[error(
        "the plan needs {need} MB of memory, the limit is {limit} MB: fewer gateways, stores or answering stores"
    )]
    Memory {
        /// What the plan needs.
        need: u64,
        /// What the run may use.
        limit: u64,
    },
    /// The plan needs more processes than the limit.
    #[error(
        "the plan needs {need} processes, the limit is {limit}: fewer real gateways or answering stores ({links} links of gateways to stores)"
    )]
    Processes {
        /// What the plan needs.
        need: u32,
        /// What the run may use.
        limit: u32,
        /// Connections of gateways to stores in the plan.
        links: u64,
    },
    /// One process of the plan needs more descriptors than the system allows.
    #[error(
        "a {role} needs {need} descriptors, the limit is {limit} (ulimit -n): fewer gateways or answering stores, or a higher limit"
    )]
    Descriptors {
        /// What the process is for.
        role: &'static str,
        /// What the process needs.
        need: u64,
        /// What the system allows it.
        limit: u64,
    },
    /// The folder of results cannot be written.
    #[error("--out {folder}: cannot be written: {why}")]
    Out {
        /// The folder.
        folder: String,
        /// The system's error.
        why: String,
    },
}

/// Range of the measured time in seconds, both ends allowed.
const SECONDS: (f64, f64) = (0.1, 3600.0);

/// Range of the changes of the configuration in a second, both ends allowed.
const CHANGES_PER_SECOND: (f64, f64) = (0.0, 1000.0);

/// Range of the restarts of gateways in an hour, both ends allowed.
const RESTARTS_PER_HOUR: (f64, f64) = (0.0, 360_000.0);

/// Rejects a plan that contradicts itself or is out of range.
pub(super) fn check_consistency(plan: &Plan) -> Result<(), Refused> {
    let Plan { gateways, real, stores, volumes, relays, .. } = *plan;
    if relays > MAX_RELAYS {
        return Err(Refused::TooManyRelays { relays });
    }
    if plan.fault.is_some() && relays == 0 {
        return Err(Refused::FaultWithoutRelays);
    }
    if gateways == 0 || stores == 0 || volumes == 0 {
        return Err(Refused::Empty { gateways, stores, volumes });
    }
    if real > gateways {
        return Err(Refused::TooManyReal { real, gateways });
    }
    if let Some(answering) = plan.answering.filter(|answering| *answering > stores) {
        return Err(Refused::TooManyAnswering { answering, stores });
    }
    check_range("seconds", plan.seconds, SECONDS)?;
    check_range("changes a second", plan.changes_per_second, CHANGES_PER_SECOND)?;
    check_range("restarts an hour", plan.restarts_per_hour, RESTARTS_PER_HOUR)
}

/// Rejects a figure out of its range; NaN is in none.
fn check_range(what: &'static str, figure: f64, (least, most): (f64, f64)) -> Result<(), Refused> {
    if (least..=most).contains(&figure) {
        return Ok(());
    }
    Err(Refused::OutOfRange { figure, what, least, most })
}
