//! The platform's HTTP interface without I/O: configuration, endpoint list, client requests and attempts at
//! stores.
//!
//! [`Core`] runs one scheduler: it converts [`Input`]s to scheduler events, and scheduler actions to
//! [`Effect`]s. It has no sockets, no clock and no source of randomness: inputs and effects are plain data
//! with timestamps.

mod active_settings;
pub mod boot_timestamp;
pub mod config;
mod core;
pub mod endpoint_list;
mod messages;
mod outcomes;
mod pending;
pub mod protocol;
pub mod request;
mod request_ids;
mod stable_positions;
mod stores;
mod volumes;

pub use active_settings::{SettingsError, StartError};
pub use config::Config;
pub use core::Core;
pub use messages::{
    AdmissionError, AdmittedRequest, AttemptId, AttemptOutcome, ClientId, Effect, FinalResponse, Input,
    TableLimits,
};
pub use request::{ClientRequest, RequestError};
pub use umbertray::interface::{OpId, Settings, StoreId};
