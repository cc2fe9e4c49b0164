//! What errors of system calls mean.

use std::io;

use nix::errno::Errno;

/// What an error of accept(2) calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The connection was lost, or the call interrupted: the next one may be accepted at once.
    Transient,
    /// This process has no descriptor left: one of its own has to be closed.
    Descriptors,
    /// The system has no descriptors, buffers or memory left: closing a descriptor does not help, the caller has to wait.
    System,
    /// The listener cannot be used any more.
    Fatal,
}

fn errno(error: &io::Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw)
}

/// Classifies an error of accept(2) by its manual page, sections "Error handling" and "Errors".
pub fn accept_error(error: &io::Error) -> AcceptError {
    use Errno::{
        ECONNABORTED, EHOSTDOWN, EHOSTUNREACH, EINTR, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM,
        ENONET, ENOPROTOOPT, EOPNOTSUPP, EPERM, EPROTO,
    };
    match errno(error) {
        Some(
            EINTR | ECONNABORTED | ENETDOWN | EPROTO | ENOPROTOOPT | EHOSTDOWN | ENONET | EHOSTUNREACH
            | EOPNOTSUPP | ENETUNREACH | EPERM,
        ) => AcceptError::Transient,
        Some(EMFILE) => AcceptError::Descriptors,
        Some(ENFILE | ENOBUFS | ENOMEM) => AcceptError::System,
        _ => AcceptError::Fatal,
    }
}

/// Whether a failure to connect is this machine's own and may be transient, so that it says nothing of the peer.
pub fn is_local(error: &io::Error) -> bool {
    use Errno::{EADDRNOTAVAIL, EAGAIN, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
    matches!(errno(error), Some(EADDRNOTAVAIL | ENETUNREACH | ENOBUFS | ENOMEM | EMFILE | ENFILE | EAGAIN))
}
