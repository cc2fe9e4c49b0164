//! Scripted days on real sockets: gateways in processes of their own, stand-in stores and clients around them, and a judge
//! that reads only what clients and stores saw.

pub mod coordinator;
pub mod day;
pub mod judge;
pub mod load;
pub mod process;
pub mod record;
mod scenario;
pub mod soak;

pub use day::Day;
pub use judge::{Verdict, judge};
pub use record::Record;
pub use scenario::run_scenario;
