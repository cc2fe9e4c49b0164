//! Connections of clients: when one may be closed, evicted or left behind by a process that ends.

use std::time::Duration;

use crate::Decision;
use crate::limits::BAD_CLIENT_LIMIT;
use crate::reason::Violation;

/// What this side still owes on a connection before it may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Obligation {
    /// Nothing.
    None,
    /// A whole request was read: its final response is owed.
    Response,
    /// Time for the client to read what was written.
    LingeringClose,
}

/// Observed state of a connection's peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Peer {
    /// Connected, as far as is known.
    Open,
    /// It has closed or reset the connection.
    Closed,
    /// It did not read what was written within its time.
    NotReading,
}

/// Whether this side may close a connection now.
///
/// Invariant: a request that was read whole gets its final response, unless its client has closed or does not read it
/// (rule 1). Source: the protocol page, "The rules on sockets"; the operators' terms: a request read and then closed
/// with no answer is lost, on new connections too.
///
/// # Errors
/// [`Violation::ClosedOwingResponse`].
pub fn may_close(obligation: Obligation, peer: Peer) -> Decision<Violation> {
    match (obligation, peer) {
        (Obligation::Response, Peer::Open) => Err(Violation::ClosedOwingResponse),
        _ => Ok(()),
    }
}

/// Whether a connection may be closed for the descriptor that another one needs.
///
/// Invariant: that of [`may_close`]; a connection that is being evicted already is not chosen again.
pub fn may_evict(obligation: Obligation, evicted_already: bool) -> bool {
    obligation != Obligation::Response && !evicted_already
}

/// Whether a process may end with these connections open, once its drain is over.
///
/// Invariant: every request that was read is answered before the exit. Source: the protocol page, "Figures".
///
/// # Errors
/// [`Violation::ExitOwingResponse`].
pub fn may_exit(obligations: impl IntoIterator<Item = Obligation>) -> Decision<Violation> {
    let owed = obligations.into_iter().any(|obligation| obligation == Obligation::Response);
    if owed { Err(Violation::ExitOwingResponse) } else { Ok(()) }
}

/// Whether a client that stopped within a request got its error or close in time, `waited` after the first byte.
///
/// Invariant: the standing page's limit for bad clients. Behind an open request the limit begins with its response.
///
/// # Errors
/// [`Violation::BadClientKeptWaiting`].
pub fn bad_client_wait_holds(waited: Duration) -> Decision<Violation> {
    if waited <= BAD_CLIENT_LIMIT { Ok(()) } else { Err(Violation::BadClientKeptWaiting) }
}
