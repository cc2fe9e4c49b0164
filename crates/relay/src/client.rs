//! Client for operators: one request to a relay, on a separate connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use umbertray_store_protocol::changes::{FromUpstream, Status, ToUpstream};
use umbertray_store_protocol::{Message, next_frame};

use crate::connection::connect;

/// Timeout of a request, from connecting to the complete response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// Connecting failed, the connection closed before the response, or the request timed out.
    #[error("no response from the relay at {address}: {error}; check that it is running, then retry")]
    Unreachable {
        /// The relay's address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The response belongs to another kind of request.
    #[error("unexpected response from {address}: check that a relay of the same version listens there")]
    UnexpectedReply {
        /// The relay's address.
        address: SocketAddr,
    },
}

/// Queries the status of a relay, with the progress of all its direct and indirect followers.
///
/// # Errors
/// [`StatusError`] if there is no valid response.
pub async fn status(address: SocketAddr) -> Result<Status, StatusError> {
    let reply = tokio::time::timeout(REQUEST_TIMEOUT, exchange(address)).await;
    let reply = reply.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    match reply.map_err(|error| StatusError::Unreachable { address, error })? {
        FromUpstream::Status(status) => Ok(status),
        _ => Err(StatusError::UnexpectedReply { address }),
    }
}

async fn exchange(address: SocketAddr) -> io::Result<FromUpstream> {
    let mut socket = connect(address).await?;
    socket.write_all(&ToUpstream::Status.frame()).await?;
    let mut input = BytesMut::new();
    loop {
        if let Some(frame) = next_frame(&mut input).map_err(io::Error::other)? {
            return Ok(frame);
        }
        if socket.read_buf(&mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
