//! One request to a coordinator, on a connection of its own: what operators and tests ask.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::orders::ExtentRange;

use crate::framed_socket::FramedSocket;

/// From connecting to the whole answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// One request is made on a connection, so any token will do.
const TOKEN: u64 = 1;

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection could not be made, ended, or took too long.
    #[error("the coordinator at {address} does not answer: {error}; see whether it runs, and ask again")]
    Unreachable {
        /// The coordinator's address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The coordinator rejects the move, with this reason.
    #[error("the coordinator refuses: {0}")]
    Rejected(String),
    /// The answer is to another request.
    #[error(
        "the coordinator at {address} says something else than was asked: is it a coordinator of this version?"
    )]
    UnexpectedReply {
        /// The coordinator's address.
        address: SocketAddr,
    },
}

/// Asks for a move of a range to a shard; its number.
///
/// # Errors
/// [`RequestError`] where there is no answer, or the move is rejected.
pub async fn request_move(address: SocketAddr, span: ExtentRange, shard: u32) -> Result<u64, RequestError> {
    match request(address, ToList::Move { token: TOKEN, span, shard }).await? {
        FromList::Move { number, .. } => number.map_err(RequestError::Rejected),
        _ => Err(RequestError::UnexpectedReply { address }),
    }
}

/// How far a move is, for people, and whether it is over. With `abandon` the move is abandoned first, if it still can be.
///
/// # Errors
/// [`RequestError`] where there is no answer.
pub async fn move_status(
    address: SocketAddr,
    number: u64,
    abandon: bool,
) -> Result<(String, bool), RequestError> {
    match request(address, ToList::MoveStatus { token: TOKEN, number, abandon }).await? {
        FromList::MoveStatus { state, over, .. } => Ok((state, over)),
        _ => Err(RequestError::UnexpectedReply { address }),
    }
}

async fn request(address: SocketAddr, message: ToList) -> Result<FromList, RequestError> {
    let reply = tokio::time::timeout(REQUEST_TIMEOUT, exchange(address, message)).await;
    let reply = reply.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    reply.map_err(|error| RequestError::Unreachable { address, error })
}

/// The first answer but the welcome.
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
