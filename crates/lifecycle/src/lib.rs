//! The lifecycle rules of a gateway process: whether something may be sent, repeated, closed, evicted or started now.
//!
//! Pure functions over plain data; no I/O, no clock, no randomness. All times are monotonic spans. A rule returns
//! [`Decision`]: allowed, or denied with a typed reason that the log lines and the [`Counters`] share.

pub mod attempt;
pub mod check;
pub mod connection;
pub mod counters;
pub mod limits;
pub mod reason;
pub mod request;
pub mod store_connection;
pub mod timeouts;

pub use counters::Counters;
pub use reason::{Category, Reason};
pub use timeouts::{SettingsTimes, Timeouts};

/// Result of a rule: allowed, or denied with a reason.
pub type Decision<R> = Result<(), R>;
