//! One connection: frames in, frames out, each direction within bounds.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{CONNECT_TIMEOUT, Event, IDLE_TIMEOUT, MAX_UNSENT};
use umbertray_socket::Socket;
use umbertray_store_protocol::changes::MAX_PART;
use umbertray_store_protocol::{Malformed, Message, next_frame};

use crate::event_loop::LoopEvent;

/// Frames said to a peer and not sent yet, at most, whatever their bytes.
const UNSENT: usize = 8192;
/// Bytes that a frame counts as, besides the part that it carries.
const FRAME: usize = 128;
/// A peer that takes nothing for so long is cut off.
const PATIENCE: Duration = IDLE_TIMEOUT;

/// Why a connection ended that its owner did not close.
#[derive(Debug, thiserror::Error)]
pub enum Ended {
    #[error("closed")]
    Closed,
    #[error("it ends inside a frame")]
    Cut,
    #[error(transparent)]
    Frame(Malformed),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("it takes nothing")]
    Stuck,
}

impl Ended {
    /// Says it, where a person would ask.
    pub fn say(&self, peer: SocketAddr) {
        match self {
            Ended::Closed | Ended::Io(_) => tracing::debug!(%peer, reason = %self, "connection ended"),
            Ended::Cut | Ended::Frame(_) | Ended::Stuck => {
                tracing::warn!(%peer, reason = %self, "connection ended");
            }
        }
    }
}

pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, Socket::connect(address)).await;
    connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// The hub's end of a connection; dropping it ends the connection once what was said is sent.
pub struct Sender<Out> {
    frames: mpsc::Sender<Out>,
    unsent: Arc<AtomicUsize>,
}

/// The connection's end of what the hub says.
pub struct Unsent<Out> {
    frames: mpsc::Receiver<Out>,
    unsent: Arc<AtomicUsize>,
}

pub fn channel<Out>() -> (Sender<Out>, Unsent<Out>) {
    let ((sender, frames), unsent) = (mpsc::channel(UNSENT), Arc::<AtomicUsize>::default());
    (Sender { frames: sender, unsent: unsent.clone() }, Unsent { frames, unsent })
}

fn length(message: &impl Message) -> usize {
    FRAME + message.payload().map_or(0, Bytes::len)
}

impl<Out: Message> Sender<Out> {
    /// Whether the peer has room for it; one that has none does not read, and is to be cut off.
    pub fn send(&self, message: Out) -> bool {
        let unsent = self.unsent.fetch_add(length(&message), Ordering::Relaxed) + length(&message);
        unsent <= MAX_UNSENT && self.frames.try_send(message).is_ok()
    }
}

/// Who speaks over a connection, to the hub.
pub struct Ear<'a> {
    pub link: ConnectionId,
    pub peer: SocketAddr,
    pub to_hub: &'a mpsc::Sender<LoopEvent>,
}

/// Moves frames both ways until either way ends, or the hub has let go of its end and all that it said is sent. Where the hub
/// has enough to do, nothing more is read.
pub async fn run<In: Message, Out: Message>(
    stream: Socket,
    unsent: Unsent<Out>,
    ear: Ear<'_>,
    event: impl Fn(In) -> Event,
) -> Ended {
    _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    tokio::select! {
        ended = write(writer, unsent) => ended,
        ended = read(reader, ear, event) => ended,
    }
}

async fn write<Out: Message>(mut writer: impl AsyncWrite + Unpin, from_hub: Unsent<Out>) -> Ended {
    let Unsent { mut frames, unsent } = from_hub;
    let (mut messages, mut out, mut counted) = (Vec::new(), BytesMut::new(), 0);
    while frames.recv_many(&mut messages, 64).await > 0 {
        let last = messages.len() - 1;
        for (place, message) in messages.drain(..).enumerate() {
            message.put(&mut out);
            if let Some(tail) = message.payload() {
                out.extend_from_slice(tail);
            }
            counted += length(&message);
            // Small frames go together; after a long one, what waits is written.
            if out.len() >= MAX_PART || place == last {
                let written = tokio::time::timeout(PATIENCE, writer.write_all(&out)).await;
                out.clear();
                match written {
                    Ok(Ok(())) => _ = unsent.fetch_sub(std::mem::take(&mut counted), Ordering::Relaxed),
                    Ok(Err(error)) => return error.into(),
                    Err(_) => return Ended::Stuck,
                }
            }
        }
    }
    Ended::Closed
}

async fn read<In: Message>(
    mut reader: impl AsyncRead + Unpin,
    ear: Ear<'_>,
    event: impl Fn(In) -> Event,
) -> Ended {
    let mut input = BytesMut::new();
    loop {
        let heard = match next_frame::<In>(&mut input) {
            Ok(Some(frame)) => event(frame),
            Ok(None) => match reader.read_buf(&mut input).await {
                Ok(0) if input.is_empty() => return Ended::Closed,
                Ok(0) => return Ended::Cut,
                Ok(_) => continue,
                Err(error) => return error.into(),
            },
            Err(error) => {
                Ended::Frame(error).say(ear.peer);
                _ = ear.to_hub.send(LoopEvent::Event(Event::Malformed(ear.link))).await;
                // Nothing more is read; the hub closes it, with a word of why.
                return std::future::pending().await;
            }
        };
        if ear.to_hub.send(LoopEvent::Event(heard)).await.is_err() {
            return Ended::Closed;
        }
    }
}
