//! Lifecycle rules of a gateway process: whether an attempt may begin or be repeated, whether a connection
//! may be reused, closed or evicted, and whether the process may exit.
//!
//! Pure functions over plain data, without I/O, clock or randomness. All times are durations on a monotonic
//! clock. A rule returns a [`Decision`]: allowed, or denied with a typed reason. Log lines and [`Counters`]
//! use the same reasons.

pub mod attempt;
pub mod check;
pub mod connection;
pub mod counters;
pub mod limits;
pub mod list_retry;
pub mod reason;
pub mod request;
pub mod store_connection;
pub mod timeouts;

pub use counters::Counters;
pub use reason::{Category, Reason};
pub use timeouts::{SettingsTimes, Timeouts};

/// Result of a rule: allowed, or denied with a reason.
pub type Decision<R> = Result<(), R>;
