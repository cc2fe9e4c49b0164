//! Scheduling for a storage gateway: which op is sent to which store, when, and which op is rejected.
//!
//! [`scheduler`] makes the decisions; [`interface`] defines its input events, the actions that it returns and
//! the types of both.

pub mod interface;
pub mod scheduler;
