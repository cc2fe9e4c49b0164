//! Classification of errors of accept(2) and connect(2).

use std::io;

use nix::errno::Errno;

/// The remedy for an error of accept(2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The connection was lost, or the call was interrupted: the next connection may be accepted at once.
    Transient,
    /// This process has no descriptor left: it must close one of its own.
    Descriptors,
    /// The system has no descriptors, buffers or memory left: closing a descriptor does not help, and the
    /// caller must wait.
    System,
    /// The listener cannot be used any more.
    Fatal,
}

fn errno(error: &io::Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw)
}

/// Classifies an error of accept(2) by its manual page, sections "Error handling" and "Errors".
pub fn classify_accept_error(error: &io::Error) -> AcceptError {
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

/// Whether a failure to connect is local to this machine and possibly transient, so that it says nothing
/// about the peer.
pub fn is_local_error(error: &io::Error) -> bool {
    use Errno::{EADDRNOTAVAIL, EAGAIN, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
    matches!(errno(error), Some(EADDRNOTAVAIL | ENETUNREACH | ENOBUFS | ENOMEM | EMFILE | ENFILE | EAGAIN))
}
