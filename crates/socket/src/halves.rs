//! The two directions of a socket, each for a task of its own.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use nix::sys::socket::{Shutdown, shutdown};
use std::os::fd::AsRawFd;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::{poll_read, poll_write};

/// The direction from the peer.
#[derive(Debug)]
pub struct ReadHalf(Arc<TcpStream>);

/// The direction to the peer; dropped, it is shut down.
#[derive(Debug)]
pub struct WriteHalf(Arc<TcpStream>);

pub(crate) fn split(stream: TcpStream) -> (ReadHalf, WriteHalf) {
    let stream = Arc::new(stream);
    (ReadHalf(stream.clone()), WriteHalf(stream))
}

impl WriteHalf {
    fn shut_down(&self) -> io::Result<()> {
        shutdown(self.0.as_raw_fd(), Shutdown::Write).map_err(io::Error::from)
    }
}

impl Drop for WriteHalf {
    fn drop(&mut self) {
        // A peer that has gone needs no word.
        _ = self.shut_down();
    }
}

impl AsyncRead for ReadHalf {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, to)
    }
}

impl AsyncWrite for WriteHalf {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, context, |stream| stream.try_write(from))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        from: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, context, |stream| stream.try_write_vectored(from))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shut_down())
    }
}
