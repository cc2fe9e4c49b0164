//! One connection of a scripted store: frames from a gateway to the store's process, and messages back.

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

/// Most messages that are written at once.
const WRITE_BATCH: usize = 64;

/// What the store's process tells a connection.
pub(super) enum ToConnection {
    Message(FromStore),
    /// Everything before it is to be written, and then confirmed.
    Flush(oneshot::Sender<()>),
    /// The connection ends here; what is in the same batch is not written.
    Close,
}

pub(super) type ConnectionSender = mpsc::UnboundedSender<ToConnection>;
pub(super) type ProcessSender = mpsc::UnboundedSender<ProcessEvent>;

/// Accepts connections until the listener fails; dropping it closes them.
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
    _ = to_process.send(ProcessEvent::Closed { connection });
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
                _ = to_process.send(ProcessEvent::Opened { connection, run, sender });
            }
            Ok(Some(message)) => _ = to_process.send(ProcessEvent::Frame { connection, message }),
            Ok(None) => {
                input.reserve(CHUNK_BYTES);
                let read = reader.read_buf(&mut input).await.ok();
                let Some(count) = read.filter(|count| *count > 0) else { return };
                traffic.count_read(count);
            }
            Err(error) => return tracing::warn!(%error, "store: bad frame"),
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
        for written in batch.flushes {
            _ = written.send(());
        }
    }
}

/// Messages as bytes, and who waits for them to be written.
#[derive(Default)]
struct EncodedBatch {
    bytes: BytesMut,
    frames: usize,
    flushes: Vec<oneshot::Sender<()>>,
}

impl EncodedBatch {
    /// Absent when the connection is to be closed.
    fn encode(messages: impl Iterator<Item = ToConnection>) -> Option<EncodedBatch> {
        let mut batch = EncodedBatch::default();
        for message in messages {
            match message {
                ToConnection::Message(message) => {
                    batch.bytes.extend_from_slice(&message.frame());
                    batch.frames += 1;
                }
                ToConnection::Flush(written) => batch.flushes.push(written),
                ToConnection::Close => return None,
            }
        }
        Some(batch)
    }
}
