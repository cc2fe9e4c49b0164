//! A connection to a store. Reading and writing are independent, so neither waits for the other.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use umbertray_clock::Clock;
use umbertray_routing::{BufferGuard, Input, StoreId};
use umbertray_socket::{ReadHalf, Socket, WriteHalf};
use umbertray_store_protocol::store::{FromStore, ToStore};
use umbertray_store_protocol::{Message, next_frame};

use crate::buffer_queue::{advance, slices};
use crate::event_loop::LoopEvent;

/// Idle time after which a heartbeat is sent. It detects half-open connections, and its response brings a
/// fresh reading of the store's clock, which keeps the time fence precise (docs/fences.md).
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// The token of a heartbeat; the scheduler's health checks have other tokens.
const HEARTBEAT_TOKEN: u64 = 0;
/// Number of heartbeats without a response after which the connection is closed.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Minimum buffer space for a read, bytes.
const READ_BYTES: usize = 64 * 1024;
/// Maximum number of messages taken from the queue at once.
const MAX_MESSAGES_PER_STEP: usize = 64;

/// A message to send to a store.
pub(crate) struct StoreMessage {
    /// The message.
    pub(crate) message: ToStore,
    /// To be kept until the message is sent.
    pub(crate) buffer_guard: Option<BufferGuard>,
}

type MessageReceiver = mpsc::UnboundedReceiver<StoreMessage>;

/// One connection to a store.
pub(crate) struct StoreConnection {
    /// The store.
    pub(crate) store: StoreId,
    /// Number of the connection, unique among this gateway's connections to stores.
    pub(crate) connection_id: u64,
    /// Identifies this run of the gateway, in the hello.
    pub(crate) run_id: u64,
    /// Timeout for establishing the connection.
    pub(crate) connect_timeout: Duration,
    /// The gateway's clock.
    pub(crate) clock: Clock,
    /// Receives the store's messages as events.
    pub(crate) events: mpsc::UnboundedSender<LoopEvent>,
}

/// An established connection, whose store has identified itself.
struct EstablishedConnection {
    socket: Socket,
    /// Bytes that were received after the welcome message.
    input: BytesMut,
    connected: Input,
}

impl StoreConnection {
    /// Connects, then transfers messages until the connection ends, or the sender of messages is dropped.
    pub(crate) async fn run(self, address: SocketAddr, messages: MessageReceiver) {
        let store = self.store;
        let connected = tokio::time::timeout(self.connect_timeout, self.connect(address)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let EstablishedConnection { socket, input, connected } = match connected {
            Ok(established) => established,
            Err(error) => {
                tracing::info!(store = %address, %error, "store connection failed");
                return self.send(Input::StoreUnreachable { store });
            }
        };
        tracing::info!(store = %address, "store connected");
        self.send(connected);
        let (reader, writer) = socket.into_split();
        // The other direction's unfinished reads and writes are lost; the core treats attempts without a
        // result as possibly executed.
        let result = tokio::select! {
            result = self.read(reader, input) => result,
            result = write(writer, messages) => result,
        };
        let reason = result.err().map_or("closed".into(), |error| error.to_string());
        tracing::info!(store = %address, reason, "store connection closed");
        self.send(Input::StoreDisconnected { store });
    }

    fn send(&self, input: Input) {
        let event =
            LoopEvent::FromStoreConnection { store: self.store, connection_id: self.connection_id, input };
        _ = self.events.send(event);
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<EstablishedConnection> {
        let mut socket = Socket::connect(address).await?;
        socket.set_nodelay(true)?;
        socket.write_all(&ToStore::Hello { run: self.run_id }.frame()).await?;
        let mut input = BytesMut::new();
        loop {
            match next_frame(&mut input).map_err(io::Error::other)? {
                Some(FromStore::Welcome { store: lasting_id, shard, clock }) => {
                    let connected = Input::StoreConnected { store: self.store, lasting_id, shard, clock };
                    return Ok(EstablishedConnection { socket, input, connected });
                }
                Some(_) => return Err(io::Error::other("the store's first frame is not a welcome message")),
                None if socket.read_buf(&mut input).await? == 0 => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => {}
            }
        }
    }

    async fn read(&self, mut reader: ReadHalf, mut input: BytesMut) -> io::Result<()> {
        loop {
            let received_at = self.clock.now();
            while let Some(message) = next_frame(&mut input).map_err(io::Error::other)? {
                self.send(Input::FromStore { store: self.store, message, received_at });
            }
            input.reserve(READ_BYTES);
            let idle_timeout = HEARTBEAT_INTERVAL * MAX_MISSED_HEARTBEATS;
            match tokio::time::timeout(idle_timeout, reader.read_buf(&mut input)).await {
                Ok(Ok(0)) => return Ok(()),
                Ok(read) => _ = read?,
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}

/// Writes messages, and heartbeats while idle, until the sender of messages is dropped.
async fn write(mut writer: WriteHalf, mut messages: MessageReceiver) -> io::Result<()> {
    let mut batch = Vec::new();
    let mut buffer_guards = Vec::new();
    loop {
        // Cancel safe: messages stay in their channel.
        tokio::select! {
            count = messages.recv_many(&mut batch, MAX_MESSAGES_PER_STEP) => if count == 0 {
                return Ok(());
            },
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => batch.push(heartbeat()),
        }
        let mut queue = VecDeque::new();
        let mut frames = BytesMut::new();
        for StoreMessage { message, buffer_guard } in batch.drain(..) {
            append_message(&message, &mut frames, &mut queue);
            buffer_guards.push(buffer_guard);
        }
        queue.push_back(frames.freeze());
        while !queue.is_empty() {
            let written = writer.write_vectored(&slices(&queue)).await?;
            advance(&mut queue, written);
        }
        buffer_guards.clear();
    }
}

fn heartbeat() -> StoreMessage {
    StoreMessage { message: ToStore::HealthCheck { token: HEARTBEAT_TOKEN }, buffer_guard: None }
}

/// Appends a message to `frames`. A payload is appended to `queue` without copying, after all frames that
/// precede it.
fn append_message(message: &ToStore, frames: &mut BytesMut, queue: &mut VecDeque<Bytes>) {
    message.put(frames);
    if let Some(payload) = message.payload().filter(|payload| !payload.is_empty()) {
        queue.push_back(frames.split().freeze());
        queue.push_back(payload.clone());
    }
}
