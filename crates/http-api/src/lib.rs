//! The platform's protocol between bytes and decisions: its words, its configuration, its list of stores, requests to
//! ops and answers to outcomes. [`Core`] hosts one decision module. Free of sockets, clock and chance: all that comes
//! in is data with its time, and so is all that goes out.

pub mod boot_timestamp;
pub mod config;
mod core;
pub mod endpoint_list;
pub mod fields;
pub mod request;
mod stable_positions;

pub use config::Config;
pub use core::{AttemptId, AttemptOutcome, ClientId, Core, Effect, FinalResponse, Input};
pub use request::{ClientRequest, RequestError};
pub use umbertray::interface::{OpId, StoreId};
