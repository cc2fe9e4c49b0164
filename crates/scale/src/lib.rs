//! Scale runs: measure what the size of a fleet costs each of its members, fit the results and draw charts.
//!
//! A gateway of a run is real, in its own process, or hollow, with many others in a process. A hollow gateway
//! is [`umbertray_nbd_gateway`] itself, with endpoint list, change log, map, connections to stores, scheduler
//! and snapshots, but without clients. This package does not decide what a gateway does: [`hollow`] starts it
//! with the settings that the program reads, and counts the inputs of its core.
//!
//! - [`worker`] is a process that runs hollow gateways, stand-in stores or the endpoint list, and
//!   [`worker_process`] starts such processes and ends them by process id.
//! - [`plan`] rejects a fleet for which the machine has no capacity.
//! - [`measurement`] measures a fleet of one size, [`sweep`] fleets of many sizes, and [`disruptions`] the
//!   disruptions of a fleet.
//! - [`fit`] computes slopes, and [`report`] writes the results.

pub mod change_log;
pub mod disruptions;
mod error;
pub mod fit;
pub mod hollow;
pub mod measurement;
pub mod plan;
pub mod relays;
pub mod report;
mod script;
pub mod sweep;
pub mod worker;
pub mod worker_process;

pub use error::ScaleError;
