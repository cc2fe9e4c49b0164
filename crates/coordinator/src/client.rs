//! Client for operators and tests: one request to a coordinator, on a separate connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::orders::ExtentRange;

use crate::framed_socket::FramedSocket;

/// Timeout of a request, from connecting to the complete response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Token of the request. Each connection carries a single request, so any value works.
const TOKEN: u64 = 1;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// Connecting failed, the connection closed before the response, or the request timed out.
    #[error("no response from the coordinator at {address}: {error}; check that it is running, then retry")]
    Unreachable {
        /// The coordinator's address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The coordinator rejected the move, with this reason.
    #[error("the coordinator rejected the move: {0}")]
    Rejected(String),
    /// The response belongs to another kind of request.
    #[error("unexpected response from {address}: check that a coordinator of the same version listens there")]
    UnexpectedReply {
        /// The coordinator's address.
        address: SocketAddr,
    },
}

/// Requests the move of a range to a shard, and returns the move's number.
///
/// # Errors
/// [`RequestError`] if there is no valid response, or the move is rejected.
pub async fn request_move(address: SocketAddr, range: ExtentRange, shard: u32) -> Result<u64, RequestError> {
    match request(address, ToList::Move { token: TOKEN, range, shard }).await? {
        FromList::Move { number, .. } => number.map_err(RequestError::Rejected),
        _ => Err(RequestError::UnexpectedReply { address }),
    }
}

/// Queries a move: returns its state as a text for operators, and whether the move has finished. With
/// `abandon`, the move is abandoned first if that is still possible.
///
/// # Errors
/// [`RequestError`] if there is no valid response.
pub async fn move_status(
    address: SocketAddr,
    number: u64,
    abandon: bool,
) -> Result<(String, bool), RequestError> {
    match request(address, ToList::MoveStatus { token: TOKEN, number, abandon }).await? {
        FromList::MoveStatus { state, is_finished, .. } => Ok((state, is_finished)),
        _ => Err(RequestError::UnexpectedReply { address }),
    }
}

async fn request(address: SocketAddr, message: ToList) -> Result<FromList, RequestError> {
    let reply = tokio::time::timeout(REQUEST_TIMEOUT, exchange(address, message)).await;
    let reply = reply.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    reply.map_err(|error| RequestError::Unreachable { address, error })
}

/// Sends a request, and returns the first message after the welcome.
async fn exchange(address: SocketAddr, message: ToList) -> io::Result<FromList> {
    let mut socket = FramedSocket::connect(address).await?;
    socket.send(&ToList::Hello { run: 0 }).await?;
    socket.send(&message).await?;
    loop {
        match socket.receive().await? {
            Some(FromList::Welcome { .. }) => {}
            Some(reply) => return Ok(reply),
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
