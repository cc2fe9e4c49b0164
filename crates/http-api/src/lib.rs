//! The platform's HTTP interface without I/O: configuration, endpoint list, client requests, attempts at stores.
//!
//! [`Core`] hosts one scheduler: [`Input`]s become its events, and its actions become [`Effect`]s. No sockets, no clock, no
//! randomness: all that comes in is data with its time, and so is all that goes out.

mod active_settings;
pub mod boot_timestamp;
pub mod config;
mod core;
pub mod endpoint_list;
pub mod fields;
mod messages;
mod outcomes;
mod pending;
pub mod request;
mod stable_positions;
mod stores;

pub use active_settings::{SettingsError, StartError};
pub use config::Config;
pub use core::Core;
pub use messages::{AttemptId, AttemptOutcome, ClientId, Effect, FinalResponse, Input};
pub use request::{ClientRequest, RequestError};
pub use umbertray::interface::{OpId, Settings, StoreId};
