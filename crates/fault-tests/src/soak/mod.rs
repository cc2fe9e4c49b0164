//! A randomized fault soak of `umbertray node`: real processes with a proxy on each link, signals, and faults
//! that overlap in time. An oracle checks the rules using only what clients, stores, discovery and the
//! proxies observed.
//!
//! A [`Plan`] is drawn from a seed and prints the command that replays it; [`run`] executes it;
//! [`oracle::judge`] lists the rules that were broken.

pub mod client;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod record;
mod testbed;

pub use oracle::{Finding, judge};
pub use plan::Plan;
pub use record::Record;
pub use testbed::run;
