//! Test doubles that work: scripted stores, the list service with its directory, discovery, clients and a proxy with
//! faults. Gateways are tested against them. No product package uses them; they listen and connect on loopback only.

pub mod book;
pub mod client;
pub mod disk;
pub mod fleet;
pub mod list;
pub mod model;
pub mod platform;
pub mod proxy;
pub mod shim;
pub mod store;
pub mod test_folder;
pub mod traffic;

pub use book::{Book, Entry};
