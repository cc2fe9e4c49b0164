//! The running NBD gateway: sockets, tasks and time around [`umbertray_routing::Core`]. It moves bytes and decides nothing.
//!
//! One task owns the core (`event_loop`), one each session (`session`), one each store connection (`store_connection`), one
//! each connection to the endpoint list and to the coordinator (`service_connection`), one the log of changes (`changes`); a
//! thread writes snapshots (`snapshot_writer`). They talk through channels. Invariant: what a channel holds is bounded by the
//! bytes that sessions were granted before their requests were read. docs/hosting.md is the design note.

mod buffer_budget;
mod buffer_queue;
mod changes;
mod error;
mod event_loop;
mod listener;
mod replies;
mod running;
mod service_connection;
mod session;
mod snapshot_writer;
mod store_connection;

pub use changes::{ChangeSource, RELAY_START_TIMEOUT, RelaySource, RelayedChanges};
pub use error::GatewayError;
pub use running::{GatewayOptions, RunningGateway, start, start_hosting};
pub use umbertray_clock::Clock;
pub use umbertray_config_log::applied_version::read as read_applied_version;
