//! How soon a gateway subscribes again to the list service, which it reaches over the store protocol.
//!
//! Invariant: two lost attempts, each with the longest wait after it, leave a third one within
//! [`CHANGE_NOTIFIED_WITHIN`](crate::limits::CHANGE_NOTIFIED_WITHIN) of the moment when the list service is
//! reachable again, for any settings.

use std::time::Duration;

/// Maximum timeout of a connection to the list service or to the coordinator.
pub const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time from a failure until the next attempt.
pub const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(1750);
/// Minimum of the longest time from a failure until the next attempt: a shorter one would be a busy loop
/// while connections are refused.
pub const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a connection to the list service or to the coordinator, given the configured one for stores.
#[must_use]
pub fn connect_timeout(configured: Duration) -> Duration {
    configured.min(MAX_CONNECT_TIMEOUT)
}

/// The longest time from a failure until the next attempt, given the configured one.
///
/// Hazard: draining and removed stores are used until the list is received again, however long the configured
/// time is.
#[must_use]
pub fn retry_interval(configured: Duration) -> Duration {
    configured.clamp(MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL)
}
