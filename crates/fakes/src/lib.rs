//! Scripted stores, the list with its directory, and clients: what a gateway is tried against. No product package uses
//! them; they listen and connect on loopback only.

pub mod book;
pub mod client;
pub mod fleet;
pub mod list;
pub mod medium;
pub mod model;
pub mod platform;
pub mod proxy;
pub mod shim;
pub mod store;
pub mod traffic;

pub use book::{Book, Entry};
