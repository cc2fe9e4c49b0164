//! Pooled connections to stores: when an idle one may be used again.

use std::time::Duration;

use crate::Decision;
use crate::reason::StoreCloseReason;

/// Whether an idle connection to a store may carry another request, or has to be closed and why.
///
/// Invariant: no request is written to a connection that its store has closed, may close at any moment, or on which bytes
/// came that nobody asked for. Source: the protocol page, "Gateways to stores": a store closes a connection that has been
/// idle for the settings' time; a request written to it from then on ends as a reset.
///
/// # Errors
/// The reason why the connection has to be closed.
pub fn may_reuse(idle_for: Duration, idle_timeout: Duration, readable: bool) -> Decision<StoreCloseReason> {
    if idle_for >= idle_timeout {
        return Err(StoreCloseReason::IdleTimeout);
    }
    if readable { Err(StoreCloseReason::UnexpectedData) } else { Ok(()) }
}

/// Whether an idle connection has been silent for long enough to be used again. Hazard: a second answer to the request
/// before may come some milliseconds late, and would be taken for that of the next.
pub fn is_settled(idle_for: Duration, reuse_delay: Duration) -> bool {
    idle_for >= reuse_delay
}
