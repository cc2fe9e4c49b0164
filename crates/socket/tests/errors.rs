//! Classification of errors of accept(2) and connect(2).

use std::io;

use nix::errno::Errno;
use umbertray_socket::{AcceptError, classify_accept_error, is_local_error, retry_interrupted};

#[test]
fn accept_errors_are_classified_by_remedy() {
    let transient =
        vec![Errno::ECONNABORTED, Errno::EINTR, Errno::ENETDOWN, Errno::EPROTO, Errno::EHOSTUNREACH];
    let cases = [
        (AcceptError::Transient, transient),
        (AcceptError::Descriptors, vec![Errno::EMFILE]),
        (AcceptError::System, vec![Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM]),
        (AcceptError::Fatal, vec![Errno::EBADF, Errno::EINVAL]),
    ];
    for (expected, errors) in cases {
        for error in errors {
            assert_eq!(classify_accept_error(&io::Error::from(error)), expected, "{error}");
        }
    }
}

#[test]
fn connect_failures_are_local_or_of_the_peer() {
    for error in [Errno::EADDRNOTAVAIL, Errno::ENETUNREACH, Errno::ENOBUFS, Errno::EMFILE] {
        assert!(is_local_error(&io::Error::from(error)), "{error}");
    }
    for error in [Errno::ECONNREFUSED, Errno::ETIMEDOUT, Errno::EHOSTUNREACH, Errno::ECONNRESET] {
        assert!(!is_local_error(&io::Error::from(error)), "{error}");
    }
}

#[test]
fn interrupted_call_is_retried() {
    let mut remaining_calls = 3;
    let result = retry_interrupted(|| {
        remaining_calls -= 1;
        if remaining_calls > 0 { Err(io::ErrorKind::Interrupted.into()) } else { Ok(remaining_calls) }
    });
    assert_eq!(result.expect("success after interrupted calls"), 0);
}
