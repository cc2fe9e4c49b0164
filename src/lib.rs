//! The decisions of a storage gateway: which op goes to which store, when, and which is rejected.
//!
//! [`scheduler`] decides; [`interface`] holds the events it takes, the actions it asks for and their plain types.

pub mod interface;
pub mod scheduler;
