//! What errors of system calls mean.

use std::io;

use nix::errno::Errno;

/// What an error of accept(2) says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The connection was lost, or the call interrupted: the next one may be accepted at once.
    Transient,
    /// This process is out of descriptors: one of its own has to be closed.
    Descriptors,
    /// The system is out of descriptors, buffers or memory: closing one of this process's own is no help, time has to pass.
    System,
    /// The listener is of no further use.
    Fatal,
}

fn errno(error: &io::Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw)
}

/// Sorts an error of accept(2), by its page's sections "Error handling" and "Errors".
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

/// A failure to connect that is this machine's own and may be over in a moment: it says nothing of the peer.
pub fn is_local(error: &io::Error) -> bool {
    use Errno::{EADDRNOTAVAIL, EAGAIN, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
    matches!(errno(error), Some(EADDRNOTAVAIL | ENETUNREACH | ENOBUFS | ENOMEM | EMFILE | ENFILE | EAGAIN))
}
