//! Scale runs: what the size of a fleet costs each of its members, measured, fitted and drawn.
//!
//! A hollow gateway is [`umbertray_nbd_gateway`] itself, many in a process, with endpoint list, change log,
//! map, connections to stores, scheduler and snapshots, and without clients. Nothing here decides what a
//! gateway does: [`hollow`] starts it on the settings that the program reads, and counts the inputs of its
//! core. [`worker`] is a process of hollow gateways, of stand-in stores, or of the endpoint list;
//! [`worker_process`] starts such processes and ends them by id; [`plan`] rejects what the machine has no
//! capacity for; [`measurement`] measures one size, [`sweep`] many, [`moments`] disruptions; [`fit`] has the
//! slopes; [`report`] writes them down.

pub mod change_log;
mod error;
pub mod fit;
pub mod hollow;
pub mod measurement;
pub mod moments;
pub mod plan;
pub mod relays;
pub mod report;
mod script;
pub mod sweep;
pub mod worker;
pub mod worker_process;

pub use error::ScaleError;
/// The former name of [`measurement`], which the program uses.
pub use measurement as point;
