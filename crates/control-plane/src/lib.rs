//! Decisions for all gateways and stores together: where data lies, how a range moves, and how configuration changes reach
//! every gateway.
//!
//! Plain data in, plain data out; no I/O, no clock, no randomness. [`map`] holds ranges with their epochs, [`fence`] decides
//! at a store on orders and epochs, [`moves`] is one move as a state machine, [`state`] what outlives a run of the
//! coordinator and the records that change it; [`Coordinator::handle`] puts them together. Its steps are: decide, log, sync,
//! act; outputs come in that order. [`relay`] carries the log of changes.

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
