//! Working test doubles for tests of gateways: scripted stores, the list service with its directory,
//! discovery, clients, and a proxy that injects faults.
//!
//! No product package uses them. They listen and connect on loopback only.

pub mod client;
pub mod disk;
pub mod event_log;
pub mod fleet;
pub mod list;
pub mod model;
pub mod platform;
pub mod proxy;
pub mod shim;
pub mod store;
pub mod test_folder;
pub mod traffic;

pub use event_log::{Entry, EventLog};
