//! The running NBD gateway: sockets, tasks and timers around [`umbertray_routing::Core`]. It only moves
//! bytes; all decisions are made by the core.
//!
//! Tasks: one owns the core (`event_loop`), one runs each session (`session`), one each store connection
//! (`store_connection`), one each connection to the list service and to the coordinator
//! (`service_connection`), and one follows the change log (`changes`). A thread writes snapshots
//! (`snapshot_writer`). They communicate through channels. Invariant: the contents of the channels are
//! bounded by the bytes that sessions were granted before their requests were read. docs/hosting.md is the
//! design note.

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
pub use running::{GatewayOptions, RunningGateway, start, start_with_handler};
pub use umbertray_clock::Clock;
pub use umbertray_config_log::applied_version::read as read_applied_version;
