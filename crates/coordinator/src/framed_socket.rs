//! An outgoing connection that sends and receives frames.

use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use umbertray_socket::Socket;
use umbertray_store_protocol::{Message, next_frame};

/// A socket, and a buffer with the bytes of frames that are not decoded yet.
pub(crate) struct FramedSocket {
    socket: Socket,
    input: BytesMut,
}

impl FramedSocket {
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<FramedSocket> {
        let socket = Socket::connect(address).await?;
        Ok(FramedSocket { socket, input: BytesMut::new() })
    }

    /// Sets `TCP_NODELAY`: small frames are sent immediately instead of being delayed and combined.
    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        self.socket.set_nodelay(true)
    }

    pub(crate) async fn send(&mut self, message: &impl Message) -> io::Result<()> {
        self.socket.write_all(&message.frame()).await
    }

    /// Receives the next frame; `None` if the peer has closed the connection. It is cancel safe: bytes that
    /// were read stay in the buffer.
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
