//! One request to a relay, on a connection of its own: what operators ask.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use umbertray_store_protocol::changes::{FromUpstream, Status, ToUpstream};
use umbertray_store_protocol::{Message, next_frame};

use crate::connection::connect;

/// From connecting to the whole answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The connection could not be made, ended, or took too long.
    #[error("the relay at {address} does not answer: {error}; see whether it runs, and ask again")]
    Unreachable {
        /// The relay's address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The answer is to another request.
    #[error("the relay at {address} says something else than was asked: is it a relay of this version?")]
    UnexpectedReply {
        /// The relay's address.
        address: SocketAddr,
    },
}

/// The status of a relay, and the progress of all below it.
///
/// # Errors
/// [`StatusError`] where there is no answer.
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
