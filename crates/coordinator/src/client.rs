//! One question to a coordinator, on a connection of its own: what operators and rehearsals ask.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use umbertray_socket::Socket;
use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::orders::ExtentRange;
use umbertray_store_protocol::{Message, next_frame};

/// An answer may take so long.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    #[error("the keeper at {address} does not answer: {error}; see whether it runs, and ask again")]
    Unreachable { address: SocketAddr, error: io::Error },
    #[error("the keeper refuses: {0}")]
    Rejected(String),
    #[error("the keeper at {address} says something else than was asked: is it a keeper of this version?")]
    UnexpectedReply { address: SocketAddr },
}

/// Wishes for a move of a range to a shard; its number.
pub async fn request_move(address: SocketAddr, span: ExtentRange, shard: u32) -> Result<u64, RequestError> {
    match ask(address, ToList::Move { token: 1, span, shard }).await? {
        FromList::Move { number, .. } => number.map_err(RequestError::Rejected),
        _ => Err(RequestError::UnexpectedReply { address }),
    }
}

/// How far a move is, in words, and whether it is over; it may be given up at that.
pub async fn move_status(
    address: SocketAddr,
    number: u64,
    give_up: bool,
) -> Result<(String, bool), RequestError> {
    match ask(address, ToList::MoveStatus { token: 1, number, abandon: give_up }).await? {
        FromList::MoveStatus { state, over, .. } => Ok((state, over)),
        _ => Err(RequestError::UnexpectedReply { address }),
    }
}

async fn ask(address: SocketAddr, question: ToList) -> Result<FromList, RequestError> {
    let asked = async {
        let mut stream = Socket::connect(address).await?;
        stream.write_all(&ToList::Hello { run: 0 }.frame()).await?;
        stream.write_all(&question.frame()).await?;
        let mut input = BytesMut::new();
        loop {
            match next_frame::<FromList>(&mut input).map_err(io::Error::other)? {
                Some(FromList::Welcome { .. }) => {}
                Some(answer) => return Ok(answer),
                None if stream.read_buf(&mut input).await? == 0 => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => {}
            }
        }
    };
    let asked = tokio::time::timeout(PATIENCE, asked).await;
    let asked = asked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    asked.map_err(|error| RequestError::Unreachable { address, error })
}
