//! Fleet-wide decisions: where data lies, how a range moves between shards, and how configuration changes
//! reach every gateway.
//!
//! All modules map plain data to plain data, without I/O, clock or randomness:
//!
//! - [`map`] holds the ranges of each volume with their shards and epochs.
//! - [`fence`] decides at a store which orders and which epochs are accepted.
//! - [`moves`] is the state machine of one move.
//! - [`state`] is the coordinator's durable state and the records that change it.
//! - [`Coordinator::handle`] combines them. Each step decides, logs, syncs and then acts, and the outputs are
//!   returned in that order.
//! - [`relay`] replicates the change log.

mod coordinator;
pub mod fence;
pub mod map;
pub mod moves;
mod ranges;
pub mod relay;
pub mod state;

pub use coordinator::{ConnectionId, Coordinator, Input, Output};
pub use fence::Fences;
pub use map::ExtentMap;
pub use moves::{Move, Phase};
pub use state::{CoordinatorState, Record};
