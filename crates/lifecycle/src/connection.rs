//! Rules for client connections: when one may be closed or evicted, and when the process may exit with open
//! ones.

use std::time::Duration;

use crate::Decision;
use crate::limits::MISBEHAVING_CLIENT_LIMIT;
use crate::reason::Violation;

/// What this side still has to do on a connection before it may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Obligation {
    /// No obligation: the connection may be closed.
    None,
    /// A complete request was read, and its final response is pending.
    Response,
    /// Leave the client time to read what was written.
    LingeringClose,
}

/// Observed state of a connection's peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Peer {
    /// Connected, as far as this side knows.
    Open,
    /// The peer has closed or reset the connection.
    Closed,
    /// The peer did not read what was written within the timeout.
    NotReading,
}

/// Whether this side may close a connection now.
///
/// Invariant: a request that was read completely gets its final response, unless its client has closed the
/// connection or does not read the response (rule 1). Source: the protocol page, "The rules on sockets"; the
/// operators' terms: a request that was read and whose connection was then closed without a response counts
/// as lost, on new connections too.
///
/// # Errors
/// [`Violation::ClosedWithPendingResponse`].
pub fn may_close(obligation: Obligation, peer: Peer) -> Decision<Violation> {
    match (obligation, peer) {
        (Obligation::Response, Peer::Open) => Err(Violation::ClosedWithPendingResponse),
        _ => Ok(()),
    }
}

/// Whether a connection may be closed to free its file descriptor for another connection.
///
/// Invariant: as for [`may_close`], no connection with a pending response is closed. A connection that is
/// already being evicted is not chosen again.
pub fn may_evict(obligation: Obligation, is_being_evicted: bool) -> bool {
    obligation != Obligation::Response && !is_being_evicted
}

/// Whether a process may exit with these connections open, once its drain has finished.
///
/// Invariant: every request that was read is answered before the exit. Source: the protocol page, "Figures".
///
/// # Errors
/// [`Violation::ExitWithPendingResponse`].
pub fn may_exit(obligations: impl IntoIterator<Item = Obligation>) -> Decision<Violation> {
    let has_pending = obligations.into_iter().any(|obligation| obligation == Obligation::Response);
    if has_pending { Err(Violation::ExitWithPendingResponse) } else { Ok(()) }
}

/// Whether a client that stopped within a request got its error or close in time, `waited` after the first
/// byte.
///
/// Invariant: the standing page's limit for misbehaving clients, [`MISBEHAVING_CLIENT_LIMIT`]. If an earlier
/// request of the connection is still open, the limit starts with its response.
///
/// # Errors
/// [`Violation::MisbehavingClientKeptWaiting`].
pub fn misbehaving_client_wait_holds(waited: Duration) -> Decision<Violation> {
    if waited <= MISBEHAVING_CLIENT_LIMIT { Ok(()) } else { Err(Violation::MisbehavingClientKeptWaiting) }
}
