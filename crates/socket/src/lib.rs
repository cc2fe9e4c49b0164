//! TCP sockets that handle interrupted, short and transiently failing system calls, as documented for Linux.
//!
//! The runtime's own reads and writes treat a short call (one that transferred less than requested) as the
//! end of the available data or buffer space, and then wait for the next readiness edge. A call may be short
//! for other reasons (signal(7), recv(2), send(2)), and then that edge does not come. Here a direction counts
//! as ready until the system returns `WouldBlock`, and a call interrupted by EINTR is repeated at once.

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

pub use errors::{AcceptError, classify_accept_error, is_local_error};
pub use halves::{ReadHalf, WriteHalf};

/// Wait before a connect is retried after a failure that is local to this machine.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// A connected TCP socket.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Socket {
        Socket(stream)
    }
}

/// Repeats a system call while it is interrupted (EINTR).
///
/// # Errors
/// Any other error of the call.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

impl Socket {
    /// Connects to a peer. Failures local to this machine (temporarily no address, buffer or descriptor) are
    /// not the peer's fault and are retried until the caller's timeout cancels this future. Cancellation
    /// closes a connection that was established meanwhile.
    ///
    /// # Errors
    /// The peer refused the connection or could not be reached.
    pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
        loop {
            match TcpStream::connect(address).await {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_local_error(&error) => tokio::time::sleep(CONNECT_RETRY_DELAY).await,
                connected => return connected.map(Socket),
            }
        }
    }

    /// Disables Nagle's algorithm: small writes are sent at once.
    ///
    /// # Errors
    /// The system rejected the option.
    pub fn set_nodelay(&self, nodelay: bool) -> io::Result<()> {
        self.0.set_nodelay(nodelay)
    }

    /// Reads the bytes that have arrived.
    ///
    /// # Errors
    /// `WouldBlock` if nothing has arrived; otherwise the connection is broken.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_interrupted(|| self.0.try_read(buffer))
    }

    /// Reads the bytes that have arrived and appends them to the buffer.
    ///
    /// # Errors
    /// `WouldBlock` if nothing has arrived; otherwise the connection is broken.
    pub fn try_read_buf(&self, buffer: &mut impl BufMut) -> io::Result<usize> {
        retry_interrupted(|| self.0.try_read_buf(buffer))
    }

    /// Writes as much of the slices as the system accepts.
    ///
    /// # Errors
    /// `WouldBlock` if it accepts nothing; otherwise the connection is broken.
    pub fn try_write_vectored(&self, slices: &[io::IoSlice<'_>]) -> io::Result<usize> {
        retry_interrupted(|| self.0.try_write_vectored(slices))
    }

    /// Waits until the socket is readable. Cancel safe.
    ///
    /// # Errors
    /// The runtime is shutting down.
    pub async fn readable(&self) -> io::Result<()> {
        self.0.readable().await
    }

    /// Waits until the socket is writable. Cancel safe.
    ///
    /// # Errors
    /// The runtime is shutting down.
    pub async fn writable(&self) -> io::Result<()> {
        self.0.writable().await
    }

    /// Waits until the socket is ready for at least one of the interests. Cancel safe.
    ///
    /// # Errors
    /// The runtime is shutting down.
    pub async fn ready(&self, interest: Interest) -> io::Result<()> {
        self.0.ready(interest).await.map(drop)
    }

    /// Splits the socket into its two directions, for use by two tasks.
    pub fn into_split(self) -> (ReadHalf, WriteHalf) {
        halves::split(self.0)
    }
}

fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match retry_interrupted(|| stream.try_read(buffer.initialize_unfilled())) {
            Ok(read) => {
                buffer.advance(read);
                return Poll::Ready(Ok(()));
            }
            // The call has cleared the wrong readiness; wait until the socket is ready again.
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
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, buffer)
    }
}

/// The operations in which the writable types differ; [`impl_async_write`] implements what they share.
trait WriteSide {
    fn stream(&self) -> &TcpStream;
    fn poll_shut_down(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>>;
}

/// Implements `AsyncWrite` for a [`WriteSide`]. Nothing is buffered here, so a flush has nothing to do.
macro_rules! impl_async_write {
    ($writer:ty) => {
        impl AsyncWrite for $writer {
            fn poll_write(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
                bytes: &[u8],
            ) -> Poll<io::Result<usize>> {
                poll_write(self.stream(), context, |stream| stream.try_write(bytes))
            }

            fn poll_write_vectored(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
                slices: &[io::IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                poll_write(self.stream(), context, |stream| stream.try_write_vectored(slices))
            }

            fn is_write_vectored(&self) -> bool {
                true
            }

            fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
                Poll::Ready(Ok(()))
            }

            fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_shut_down(context)
            }
        }
    };
}

impl WriteSide for Socket {
    fn stream(&self) -> &TcpStream {
        &self.0
    }

    fn poll_shut_down(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

impl WriteSide for WriteHalf {
    fn stream(&self) -> &TcpStream {
        self.stream()
    }

    fn poll_shut_down(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shut_down())
    }
}

impl_async_write!(Socket);
impl_async_write!(WriteHalf);

/// Accepts the next connection, skipping connections that the client aborted meanwhile and calls that failed
/// transiently. Cancel safe.
///
/// # Errors
/// Descriptors or memory are exhausted, or the listener cannot be used any more; [`classify_accept_error`]
/// tells which.
pub async fn accept(listener: &TcpListener) -> io::Result<(Socket, SocketAddr)> {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => return Ok((Socket(stream), peer)),
            Err(error) if classify_accept_error(&error) == AcceptError::Transient => {}
            Err(error) => return Err(error),
        }
    }
}
