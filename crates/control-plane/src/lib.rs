//! What a coordinator decides for all gateways and stores together: where data lies, and how a range moves.
//!
//! Plain data in, plain data out; no I/O, no clock, no chance. `map` holds ranges with their epochs, `fence` what a store
//! makes of orders and epochs, `moves` one move as a state machine, `state` what outlives a run of the coordinator and the records that change it, `core` puts them together
//! behind [`Coordinator::handle`]. A step is: decide, log, sync, act; outputs come in that order.

mod core;
pub mod fence;
pub mod map;
pub mod moves;
mod ranges;
pub mod relay;
pub mod state;

pub use core::{ConnectionId, Coordinator, Input, Output};
pub use fence::Fences;
pub use map::ExtentMap;
pub use moves::{Move, Phase};
pub use state::{CoordinatorState, Record};
