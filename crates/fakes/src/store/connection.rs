//! One connection of a scripted store: passes frames from a gateway to the store's process, and messages
//! back.

use std::sync::Arc;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use umbertray_store_protocol::store::{FromStore, ToStore};
use umbertray_store_protocol::{Message, next_frame};

use super::CHUNK_BYTES;
use super::process::ProcessEvent;
use crate::traffic::Traffic;

/// Maximum number of messages in one write.
const WRITE_BATCH: usize = 64;

/// A command of the store's process to a connection.
pub(super) enum ToConnection {
    Message(FromStore),
    /// Confirms through the channel once all earlier messages have been written.
    Flush(oneshot::Sender<()>),
    /// Closes the connection. Earlier messages in the same batch are not written.
    Close,
}

pub(super) type ConnectionSender = mpsc::UnboundedSender<ToConnection>;
pub(super) type ProcessSender = mpsc::UnboundedSender<ProcessEvent>;

/// Accepts connections until the listener fails. Dropping the future closes them all.
pub(super) async fn accept(listener: TcpListener, to_process: ProcessSender, traffic: Arc<Traffic>) {
    let mut connections = JoinSet::new();
    for connection in 0.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        connections.spawn(serve(connection, stream, to_process.clone(), traffic.clone()));
    }
}

async fn serve(connection: u64, stream: TcpStream, to_process: ProcessSender, traffic: Arc<Traffic>) {
    _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (to_writer, messages) = mpsc::unbounded_channel();
    tokio::select! {
        () = write_messages(writer, messages, &traffic) => {}
        () = read_frames(connection, reader, &to_process, &to_writer, &traffic) => {}
    }
    _ = to_process.send(ProcessEvent::ConnectionClosed { connection });
}

async fn read_frames(
    connection: u64,
    mut reader: OwnedReadHalf,
    to_process: &ProcessSender,
    to_writer: &ConnectionSender,
    traffic: &Traffic,
) {
    let mut input = BytesMut::new();
    loop {
        match next_frame::<ToStore>(&mut input) {
            Ok(Some(ToStore::Hello { run })) => {
                let sender = to_writer.clone();
                _ = to_process.send(ProcessEvent::GatewayConnected { connection, run, sender });
            }
            Ok(Some(message)) => _ = to_process.send(ProcessEvent::Frame { connection, message }),
            Ok(None) => {
                input.reserve(CHUNK_BYTES);
                let read = reader.read_buf(&mut input).await.ok();
                let Some(count) = read.filter(|count| *count > 0) else { return };
                traffic.count_read(count);
            }
            Err(error) => {
                return tracing::warn!(%error, "store received an invalid frame; closing the connection");
            }
        }
    }
}

async fn write_messages(
    mut writer: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<ToConnection>,
    traffic: &Traffic,
) {
    let mut received = Vec::new();
    while messages.recv_many(&mut received, WRITE_BATCH).await > 0 {
        let Some(batch) = EncodedBatch::encode(received.drain(..)) else { return };
        if writer.write_all(&batch.bytes).await.is_err() {
            return;
        }
        traffic.count_written(batch.bytes.len(), batch.frames);
        for waiter in batch.flush_waiters {
            _ = waiter.send(());
        }
    }
}

/// Encoded messages, and the channels through which to confirm that they have been written.
#[derive(Default)]
struct EncodedBatch {
    bytes: BytesMut,
    frames: usize,
    flush_waiters: Vec<oneshot::Sender<()>>,
}

impl EncodedBatch {
    /// Encodes messages; `None` if one of them closes the connection.
    fn encode(messages: impl Iterator<Item = ToConnection>) -> Option<EncodedBatch> {
        let mut batch = EncodedBatch::default();
        for message in messages {
            match message {
                ToConnection::Message(message) => {
                    batch.bytes.extend_from_slice(&message.frame());
                    batch.frames += 1;
                }
                ToConnection::Flush(waiter) => batch.flush_waiters.push(waiter),
                ToConnection::Close => return None,
            }
        }
        Some(batch)
    }
}
