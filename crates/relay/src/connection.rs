//! One connection: it receives and sends frames, each direction with bounded buffers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{CONNECT_TIMEOUT, Event, IDLE_TIMEOUT, MAX_UNSENT_BYTES};
use umbertray_socket::Socket;
use umbertray_store_protocol::changes::MAX_PART;
use umbertray_store_protocol::{FrameError, Message, next_frame};

use crate::event_loop::LoopEvent;

/// Maximum number of frames queued for a peer, independent of their size.
const MAX_UNSENT_FRAMES: usize = 8192;
/// Maximum number of frames taken from the send queue in one step.
const MAX_FRAMES_PER_TAKE: usize = 64;
/// Bytes counted for each frame in addition to its payload.
const FRAME_OVERHEAD: usize = 128;
/// Timeout of each write.
const WRITE_TIMEOUT: Duration = IDLE_TIMEOUT;

/// Why a connection closed, other than by the event loop.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CloseReason {
    #[error("closed")]
    Closed,
    #[error("the peer closed the connection inside a frame")]
    Truncated,
    #[error(transparent)]
    Malformed(FrameError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the peer does not read")]
    NotReading,
}

impl CloseReason {
    /// Logs that the connection closed; as a warning if the peer closed it inside a frame, sent a malformed
    /// frame or did not read.
    pub(crate) fn log(&self, connection: ConnectionId, peer: SocketAddr) {
        let connection_id = connection.0;
        match self {
            CloseReason::Closed | CloseReason::Io(_) => {
                tracing::debug!(connection_id, %peer, reason = %self, "connection closed");
            }
            CloseReason::Truncated | CloseReason::Malformed(_) | CloseReason::NotReading => {
                tracing::warn!(connection_id, %peer, reason = %self, "connection closed");
            }
        }
    }
}

pub(crate) async fn connect(address: SocketAddr) -> io::Result<Socket> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, Socket::connect(address)).await;
    connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// The peer does not read: its unsent frames exceed the limit.
pub(crate) struct UnsentLimitReached;

/// The event loop's side of a connection's send queue. Dropping it closes the connection once the queued
/// frames are sent.
pub(crate) struct FrameSender<Out> {
    frames: mpsc::Sender<Out>,
    unsent_bytes: Arc<AtomicUsize>,
}

/// The connection task's side of the send queue.
pub(crate) struct FrameQueue<Out> {
    frames: mpsc::Receiver<Out>,
    unsent_bytes: Arc<AtomicUsize>,
}

/// Creates the send queue of a connection.
pub(crate) fn frame_queue<Out>() -> (FrameSender<Out>, FrameQueue<Out>) {
    let (sender, receiver) = mpsc::channel(MAX_UNSENT_FRAMES);
    let unsent_bytes = Arc::<AtomicUsize>::default();
    let frame_sender = FrameSender { frames: sender, unsent_bytes: unsent_bytes.clone() };
    (frame_sender, FrameQueue { frames: receiver, unsent_bytes })
}

/// Bytes counted for a frame as unsent.
fn counted_length(message: &impl Message) -> usize {
    FRAME_OVERHEAD + message.payload().map_or(0, Bytes::len)
}

impl<Out: Message> FrameSender<Out> {
    /// Queues a frame.
    ///
    /// # Errors
    /// The unsent frames exceed the limit; the peer must be disconnected.
    pub(crate) fn send(&self, message: Out) -> Result<(), UnsentLimitReached> {
        let length = counted_length(&message);
        let unsent = self.unsent_bytes.fetch_add(length, Ordering::Relaxed) + length;
        if unsent > MAX_UNSENT_BYTES {
            return Err(UnsentLimitReached);
        }
        self.frames.try_send(message).map_err(|_| UnsentLimitReached)
    }
}

/// Identity of a connection, and the channel for its events.
#[derive(Clone)]
pub(crate) struct ConnectionContext {
    pub(crate) id: ConnectionId,
    pub(crate) peer: SocketAddr,
    pub(crate) events: mpsc::Sender<LoopEvent>,
}

/// Sends and receives frames until either direction ends, or until the event loop has dropped its
/// [`FrameSender`] and all queued frames are sent. While the event loop's queue is full, no frame is read.
pub(crate) async fn run<In: Message, Out: Message>(
    socket: Socket,
    queue: FrameQueue<Out>,
    context: &ConnectionContext,
    to_event: impl Fn(In) -> Event,
) -> CloseReason {
    _ = socket.set_nodelay(true);
    let (reader, writer) = socket.into_split();
    // The connection closes when either direction ends; unread or unsent bytes of the other direction are
    // lost.
    tokio::select! {
        reason = write_frames(writer, queue) => reason,
        reason = read_frames(reader, context, to_event) => reason,
    }
}

async fn write_frames<Out: Message>(
    mut writer: impl AsyncWrite + Unpin,
    mut queue: FrameQueue<Out>,
) -> CloseReason {
    let mut messages = Vec::new();
    let mut output = BytesMut::new();
    let mut counted_bytes = 0;
    while queue.frames.recv_many(&mut messages, MAX_FRAMES_PER_TAKE).await > 0 {
        let last = messages.len() - 1;
        for (index, message) in messages.drain(..).enumerate() {
            message.put(&mut output);
            if let Some(payload) = message.payload() {
                output.extend_from_slice(payload);
            }
            counted_bytes += counted_length(&message);
            // Small frames are combined into one write; the buffer is written once it holds `MAX_PART` bytes.
            if output.len() >= MAX_PART || index == last {
                if let Err(reason) = write_all(&mut writer, &output).await {
                    return reason;
                }
                output.clear();
                queue.unsent_bytes.fetch_sub(std::mem::take(&mut counted_bytes), Ordering::Relaxed);
            }
        }
    }
    CloseReason::Closed
}

async fn write_all(writer: &mut (impl AsyncWrite + Unpin), output: &[u8]) -> Result<(), CloseReason> {
    match tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(output)).await {
        Ok(written) => Ok(written?),
        Err(_) => Err(CloseReason::NotReading),
    }
}

async fn read_frames<In: Message>(
    mut reader: impl AsyncRead + Unpin,
    context: &ConnectionContext,
    to_event: impl Fn(In) -> Event,
) -> CloseReason {
    let mut input = BytesMut::new();
    loop {
        let event = match next_frame::<In>(&mut input) {
            Ok(Some(frame)) => to_event(frame),
            Ok(None) => match reader.read_buf(&mut input).await {
                Ok(0) if input.is_empty() => return CloseReason::Closed,
                Ok(0) => return CloseReason::Truncated,
                Ok(_) => continue,
                Err(error) => return error.into(),
            },
            Err(error) => {
                CloseReason::Malformed(error).log(context.id, context.peer);
                _ = context.events.send(LoopEvent::Node(Event::Malformed(context.id))).await;
                // Nothing more is read; the event loop closes the connection after it has sent the peer the
                // reason.
                return std::future::pending().await;
            }
        };
        if context.events.send(LoopEvent::Node(event)).await.is_err() {
            return CloseReason::Closed;
        }
    }
}
