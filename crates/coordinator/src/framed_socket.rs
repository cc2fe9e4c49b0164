//! A connection that this process opens, as frames.

use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use umbertray_socket::Socket;
use umbertray_store_protocol::{Message, next_frame};

/// A socket and the bytes read of its next frame.
pub(crate) struct FramedSocket {
    socket: Socket,
    input: BytesMut,
}

impl FramedSocket {
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<FramedSocket> {
        let socket = Socket::connect(address).await?;
        Ok(FramedSocket { socket, input: BytesMut::new() })
    }

    /// Sends small frames at once instead of gathering them.
    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        self.socket.set_nodelay(true)
    }

    pub(crate) async fn send(&mut self, message: &impl Message) -> io::Result<()> {
        self.socket.write_all(&message.frame()).await
    }

    /// The next frame; none where the peer has closed the connection. Cancelled, it loses nothing: what was read stays.
    pub(crate) async fn receive<M: Message>(&mut self) -> io::Result<Option<M>> {
        loop {
            if let Some(message) = next_frame(&mut self.input).map_err(io::Error::other)? {
                return Ok(Some(message));
            }
            if self.socket.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }
}
