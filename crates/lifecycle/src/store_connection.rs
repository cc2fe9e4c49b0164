//! Rules for pooled connections to stores: when an idle one may be used again.

use std::time::Duration;

use crate::Decision;
use crate::reason::StoreCloseReason;

/// Whether an idle connection to a store may carry another request. `readable` says that bytes, or the end of
/// the connection, were received while no request was outstanding.
///
/// Invariant: no request is written to a connection that its store has closed or may close at any moment, or
/// on which bytes were received without a request. Source: the protocol page, "Gateways to stores": a store
/// closes a connection that has been idle for the time in the settings, and a request that is written to it
/// afterwards ends as a reset.
///
/// # Errors
/// The reason why the connection has to be closed.
pub fn may_reuse(idle_for: Duration, idle_timeout: Duration, readable: bool) -> Decision<StoreCloseReason> {
    if idle_for >= idle_timeout {
        return Err(StoreCloseReason::IdleTimeout);
    }
    if readable { Err(StoreCloseReason::UnexpectedData) } else { Ok(()) }
}

/// Whether an idle connection has been silent for long enough to be used again. Hazard: a second response to
/// the previous request may arrive some milliseconds late, and would be treated as the response to the next
/// request.
pub fn is_settled(idle_for: Duration, reuse_delay: Duration) -> bool {
    idle_for >= reuse_delay
}
