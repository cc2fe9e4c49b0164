//! The two directions of a socket, each for its own task.

use std::io;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use nix::sys::socket::{Shutdown, shutdown};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use crate::poll_read;

/// The receiving direction.
#[derive(Debug)]
pub struct ReadHalf(Arc<TcpStream>);

/// The sending direction. Dropping it shuts the direction down.
#[derive(Debug)]
pub struct WriteHalf(Arc<TcpStream>);

pub(crate) fn split(stream: TcpStream) -> (ReadHalf, WriteHalf) {
    let stream = Arc::new(stream);
    (ReadHalf(stream.clone()), WriteHalf(stream))
}

impl WriteHalf {
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.0
    }

    pub(crate) fn shut_down(&self) -> io::Result<()> {
        shutdown(self.0.as_raw_fd(), Shutdown::Write).map_err(io::Error::from)
    }
}

impl Drop for WriteHalf {
    fn drop(&mut self) {
        // Fails if the peer has already closed the connection, in which case no shutdown is needed.
        _ = self.shut_down();
    }
}

impl AsyncRead for ReadHalf {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, buffer)
    }
}
