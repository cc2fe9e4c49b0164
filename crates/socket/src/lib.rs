//! TCP sockets under system calls that are interrupted, short, or fail for a moment, as Linux documents them.
//!
//! The runtime's own reads and writes take a call that brought less than was asked for as the end of what there is, and
//! wait for the next edge of readiness; a call may be short for other reasons (signal(7), recv(2), send(2)), and then that
//! edge does not come. Here a direction is ready until the system says `WouldBlock`, and EINTR is tried again at once.

mod errors;
mod halves;

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BufMut;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

pub use errors::{AcceptError, accept_error, is_local};
pub use halves::{ReadHalf, WriteHalf};

/// After a failure to connect that is this machine's own, the next try comes so much later.
const CONNECT_AGAIN: Duration = Duration::from_millis(5);

/// A connected TCP socket.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Socket {
        Socket(stream)
    }
}

/// Does a call again for as long as it is interrupted.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl Socket {
    /// Connects. Failures of this machine's own (no address, buffer or descriptor for the moment) say nothing of the peer and
    /// are tried again; the caller's time-out ends that. Cancellation closes what has come up.
    pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
        loop {
            match TcpStream::connect(address).await {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_local(&error) => tokio::time::sleep(CONNECT_AGAIN).await,
                connected => return connected.map(Socket),
            }
        }
    }

    /// Small writes go out at once.
    pub fn set_nodelay(&self, nodelay: bool) -> io::Result<()> {
        self.0.set_nodelay(nodelay)
    }

    /// Reads what is there; `WouldBlock` where nothing is.
    pub fn try_read(&self, to: &mut [u8]) -> io::Result<usize> {
        retry_interrupted(|| self.0.try_read(to))
    }

    /// Reads what is there behind what the buffer holds; `WouldBlock` where nothing is.
    pub fn try_read_buf(&self, to: &mut impl BufMut) -> io::Result<usize> {
        retry_interrupted(|| self.0.try_read_buf(to))
    }

    /// Writes what the system takes of the slices; `WouldBlock` where it takes nothing.
    pub fn try_write_vectored(&self, from: &[io::IoSlice<'_>]) -> io::Result<usize> {
        retry_interrupted(|| self.0.try_write_vectored(from))
    }

    /// Waits until there is something to read.
    pub async fn readable(&self) -> io::Result<()> {
        self.0.readable().await
    }

    /// Waits until something can be written.
    pub async fn writable(&self) -> io::Result<()> {
        self.0.writable().await
    }

    /// Waits for what it is interested in.
    pub async fn ready(&self, interest: Interest) -> io::Result<()> {
        self.0.ready(interest).await.map(drop)
    }

    /// The two directions, for two tasks.
    pub fn into_split(self) -> (ReadHalf, WriteHalf) {
        halves::split(self.0)
    }
}

fn poll_read(stream: &TcpStream, context: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match retry_interrupted(|| stream.try_read(to.initialize_unfilled())) {
            Ok(read) => {
                to.advance(read);
                return Poll::Ready(Ok(()));
            }
            // It was not ready after all, and is no longer taken for that.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

fn poll_write(
    stream: &TcpStream,
    context: &mut Context<'_>,
    mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match retry_interrupted(|| write(stream)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, to)
    }
}

impl AsyncWrite for Socket {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

/// Accepts the next connection. Those that their client gave up meanwhile, and calls that fail for the moment, are passed
/// over; what is returned is a want of descriptors or memory, or a listener that is of no further use. Cancellation safe.
pub async fn accept(listener: &TcpListener) -> io::Result<(Socket, SocketAddr)> {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => return Ok((Socket(stream), peer)),
            Err(error) if accept_error(&error) == AcceptError::Transient => {}
            Err(error) => return Err(error),
        }
    }
}
