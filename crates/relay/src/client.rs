//! One question to a relay, on a connection of its own: what operators ask.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use umbertray_store_protocol::changes::{FromUpstream, Status, ToUpstream};
use umbertray_store_protocol::{Message, next_frame};

use crate::link::connect;

/// An answer may take so long.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    #[error("the relay at {address} does not answer: {error}; see whether it runs, and ask again")]
    Unreachable { address: SocketAddr, error: io::Error },
    #[error("the relay at {address} says something else than was asked: is it a relay of this version?")]
    UnexpectedReply { address: SocketAddr },
}

/// Where a relay stands, and what all below it have acted on.
pub async fn status(address: SocketAddr) -> Result<Status, StatusError> {
    let asked = async {
        let mut stream = connect(address).await?;
        stream.write_all(&ToUpstream::Status.frame()).await?;
        let mut input = BytesMut::new();
        loop {
            match next_frame::<FromUpstream>(&mut input).map_err(io::Error::other)? {
                Some(frame) => return Ok(frame),
                None if stream.read_buf(&mut input).await? == 0 => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => {}
            }
        }
    };
    let asked = tokio::time::timeout(PATIENCE, asked).await;
    let asked = asked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    match asked.map_err(|error| StatusError::Unreachable { address, error })? {
        FromUpstream::Status(status) => Ok(status),
        _ => Err(StatusError::UnexpectedReply { address }),
    }
}
