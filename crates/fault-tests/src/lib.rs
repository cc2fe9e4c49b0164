//! Fault tests on real sockets. Gateways run as separate processes between stand-in stores and clients,
//! faults are injected, and a judge checks the rules using only what clients and stores recorded.

pub mod coordinator;
pub mod judge;
pub mod load;
pub mod process;
pub mod record;
mod scenario;
pub mod script;
pub mod soak;

pub use judge::{Verdict, judge};
pub use record::Record;
pub use scenario::run_scenario;
pub use script::Scenario;
