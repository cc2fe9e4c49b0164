//! Connections of gateways, and of operators who ask for moves.

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

/// Connections at once, at most; beyond it none is accepted until one ends.
const MAX_CONNECTIONS: usize = 4096;
/// Messages that a peer has not read yet, at most. Beyond it the connection is closed; the peer asks again on its next one.
const MAX_UNSENT_MESSAGES: usize = 1 << 16;
/// Messages that are written together, at most.
const MAX_MESSAGES_PER_WRITE: usize = 256;
/// How long each read before the hello, and each write, may take.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// After a failed accept, most likely for lack of descriptors; trying again at once would spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts connections for as long as it is polled; dropping it ends them.
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
    let (messages, unsent) = mpsc::channel(MAX_UNSENT_MESSAGES);
    let reader = PeerReader { connection, reader, input: BytesMut::new(), events: events.clone() };
    // The connection ends with either direction; the other's unread or unsent bytes are lost with it.
    tokio::select! {
        () = write_messages(writer, unsent) => {}
        () = reader.run(messages) => {}
    }
    _ = events.send(LoopEvent::PeerDisconnected(connection));
}

/// Writes messages until their sender is dropped, or the peer takes none.
async fn write_messages(mut writer: WriteHalf, mut unsent: mpsc::Receiver<FromList>) {
    let mut messages = Vec::new();
    while unsent.recv_many(&mut messages, MAX_MESSAGES_PER_WRITE).await > 0 {
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
    /// Reads requests until the peer closes the connection, or violates the protocol.
    ///
    /// With the hello the loop is given the only sender of messages: a peer that it drops is disconnected.
    async fn run(mut self, messages: mpsc::Sender<FromList>) {
        let mut before_hello = Some(messages);
        loop {
            let message = match next_frame::<ToList>(&mut self.input) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    if self.read_more(before_hello.is_some()).await {
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
            if is_hello != before_hello.is_some() {
                let reason = "the first frame has to be the hello, and no other";
                tracing::warn!(connection_id = self.connection.0, reason, "connection closed");
                return;
            }
            let connection = self.connection;
            if let Some(messages) = before_hello.take() {
                _ = self.events.send(LoopEvent::PeerConnected { connection, messages });
            }
            _ = self.events.send(LoopEvent::RequestReceived { connection, message });
        }
    }

    /// Reads some bytes; false where none come any more.
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
