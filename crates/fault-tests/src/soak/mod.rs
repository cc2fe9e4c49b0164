//! A randomized fault soak of `umbertray node`: real processes, a proxy on each link, signals, faults that overlap in
//! time, and an oracle that reads only what clients, stores, discovery and the proxies saw.
//!
//! [`Plan`] is drawn from a seed and has one line that replays it; [`run`] plays it; [`oracle::judge`] computes what was
//! broken.

pub mod client;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod record;
mod stage;

pub use oracle::{Finding, judge};
pub use plan::Plan;
pub use record::Record;
pub use stage::run;
