//! Connections of peers: gateways, and operators that request moves.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use umbertray_control_plane::ConnectionId;
use umbertray_socket::{ReadHalf, Socket, WriteHalf};
use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::{Message, next_frame};

use crate::event_loop::LoopEvent;

/// Maximum number of open connections; at this number no connection is accepted until one closes.
const MAX_CONNECTIONS: usize = 4096;
/// Maximum number of messages queued for a peer. If more are queued, the connection is closed; the peer
/// repeats its requests on its next connection.
const MAX_UNSENT_MESSAGES: usize = 1 << 16;
/// Maximum number of messages in one write.
const MAX_MESSAGES_PER_WRITE: usize = 256;
/// Timeout of each read before the hello, and of each write.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, whose most likely cause is a lack of file descriptors; an immediate retry
/// would spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts and serves connections until the returned future is dropped, which closes them all.
pub(crate) async fn accept(listener: TcpListener, events: mpsc::UnboundedSender<LoopEvent>) {
    let mut connections = JoinSet::new();
    for number in 0.. {
        while connections.len() >= MAX_CONNECTIONS {
            connections.join_next().await;
        }
        while connections.try_join_next().is_some() {}
        match umbertray_socket::accept(&listener).await {
            Ok((socket, _)) => _ = connections.spawn(serve(ConnectionId(number), socket, events.clone())),
            Err(error) => {
                tracing::warn!(%error, "connection accept failed");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve(connection: ConnectionId, socket: Socket, events: mpsc::UnboundedSender<LoopEvent>) {
    _ = socket.set_nodelay(true);
    let (reader, writer) = socket.into_split();
    let (messages, unsent_messages) = mpsc::channel(MAX_UNSENT_MESSAGES);
    let reader = PeerReader { connection, reader, input: BytesMut::new(), events: events.clone() };
    // The connection closes when either direction ends; unread or unsent bytes of the other direction are
    // lost.
    tokio::select! {
        () = write_messages(writer, unsent_messages) => {}
        () = reader.run(messages) => {}
    }
    _ = events.send(LoopEvent::PeerDisconnected(connection));
}

/// Writes messages until their sender is dropped, or a write fails or times out.
async fn write_messages(mut writer: WriteHalf, mut unsent_messages: mpsc::Receiver<FromList>) {
    let mut messages = Vec::new();
    while unsent_messages.recv_many(&mut messages, MAX_MESSAGES_PER_WRITE).await > 0 {
        let mut output = BytesMut::new();
        for message in messages.drain(..) {
            output.extend_from_slice(&message.frame());
        }
        let written = tokio::time::timeout(IDLE_TIMEOUT, writer.write_all(&output)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}

struct PeerReader {
    connection: ConnectionId,
    reader: ReadHalf,
    input: BytesMut,
    events: mpsc::UnboundedSender<LoopEvent>,
}

impl PeerReader {
    /// Reads requests until the peer closes the connection or violates the protocol.
    ///
    /// On the hello, the event loop receives the only sender of `messages`: dropping the sender disconnects
    /// the peer.
    async fn run(mut self, messages: mpsc::Sender<FromList>) {
        let mut sender_before_hello = Some(messages);
        loop {
            let message = match next_frame::<ToList>(&mut self.input) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    if self.read_more(sender_before_hello.is_some()).await {
                        continue;
                    }
                    return;
                }
                Err(error) => {
                    tracing::warn!(connection_id = self.connection.0, %error, "connection closed");
                    return;
                }
            };
            let is_hello = matches!(message, ToList::Hello { .. });
            if is_hello != sender_before_hello.is_some() {
                let reason = "the first frame must be a hello, and no later frame may be one";
                tracing::warn!(connection_id = self.connection.0, reason, "connection closed");
                return;
            }
            let connection = self.connection;
            if let Some(messages) = sender_before_hello.take() {
                _ = self.events.send(LoopEvent::PeerConnected { connection, messages });
            }
            _ = self.events.send(LoopEvent::RequestReceived { connection, message });
        }
    }

    /// Reads more bytes; returns false at the end of the stream, on an error, or if the hello is late.
    async fn read_more(&mut self, is_before_hello: bool) -> bool {
        let read = self.reader.read_buf(&mut self.input);
        let read = if is_before_hello {
            tokio::time::timeout(IDLE_TIMEOUT, read).await.unwrap_or(Ok(0))
        } else {
            read.await
        };
        read.is_ok_and(|count| count > 0)
    }
}
