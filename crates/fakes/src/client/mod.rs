//! A small NBD client on tokio that uses this project's own codec: one connection, on which any number of
//! requests can be pending.

mod reply;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use umbertray_nbd::client::Negotiation;
use umbertray_nbd::{Client, ClientEvent, Command, Export, Request};

pub use self::reply::{CompleteReply, RequestOutcome};
use self::reply::{SharedRequests, lock};

/// Buffer space reserved for each read from the socket, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// An NBD session. Dropping it closes the connection.
pub struct Connection {
    /// Properties of the export that the server reported.
    pub export: Export,
    to_writer: mpsc::UnboundedSender<Request>,
    pending: SharedRequests,
    next_cookie: AtomicU64,
    /// The task that writes requests and the task that reads replies.
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Opens a connection and negotiates until the export is ready or the server has listed its exports.
async fn negotiate(
    address: SocketAddr,
    negotiation: Negotiation,
) -> io::Result<(TcpStream, Client, BytesMut, ClientEvent)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut client, mut input) = (Client::new(negotiation), BytesMut::new());
    loop {
        let event = client.receive(&mut input).map_err(io::Error::other)?;
        stream.write_all(&client.output().split()).await?;
        match event {
            ClientEvent::Incomplete if stream.read_buf(&mut input).await? == 0 => {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            ClientEvent::Incomplete => {}
            event => return Ok((stream, client, input, event)),
        }
    }
}

/// Lists the names of a server's exports.
///
/// # Errors
/// The connection fails, the negotiation is malformed, or the server does not list its exports.
pub async fn export_names(address: SocketAddr) -> io::Result<Vec<String>> {
    match negotiate(address, Negotiation::List).await?.3 {
        ClientEvent::Names(names) => Ok(names),
        _ => Err(io::Error::other("the server did not list its exports")),
    }
}

impl Connection {
    /// Connects to the server at `address` and negotiates the export `name`, with structured replies if
    /// `structured_replies` is set.
    ///
    /// # Errors
    /// The connection fails, the negotiation is malformed, or the server does not offer the export.
    pub async fn open(address: SocketAddr, name: &str, structured_replies: bool) -> io::Result<Connection> {
        let negotiation = Negotiation::Export { name: name.into(), structured_replies };
        let (stream, client, input, event) = negotiate(address, negotiation).await?;
        let ClientEvent::Ready(export) = event else {
            return Err(io::Error::other(format!("the server did not offer the export {name:?}")));
        };
        let (reader, writer) = stream.into_split();
        let (to_writer, requests) = mpsc::unbounded_channel();
        // Whether a simple reply carries data, and how much, is known only from its request. So the reading
        // task receives each request before it is sent.
        let (to_reader, sent) = mpsc::unbounded_channel();
        let pending = SharedRequests::default();
        let writing = tokio::spawn(write_requests(writer, requests, to_reader));
        let reading = tokio::spawn(read_until_closed(reader, client, input, sent, pending.clone()));
        Ok(Connection {
            export,
            to_writer,
            pending,
            next_cookie: AtomicU64::new(1),
            tasks: [writing, reading],
        })
    }

    /// Sends a request; the returned receiver gets its reply.
    pub fn send(
        &self,
        command: Command,
        flags: u16,
        offset: u64,
        length: u32,
        payload: Bytes,
    ) -> oneshot::Receiver<RequestOutcome> {
        let cookie = self.next_cookie.fetch_add(1, Ordering::Relaxed);
        let (sender, ended) = oneshot::channel();
        if lock(&self.pending).add(cookie, sender) {
            _ = self.to_writer.send(Request { cookie, command, flags, offset, length, payload });
        }
        ended
    }

    /// Reads `length` bytes at `offset`.
    pub async fn read(&self, offset: u64, length: u32) -> RequestOutcome {
        self.send(Command::Read, 0, offset, length, Bytes::new()).await.ok().flatten()
    }

    /// Writes `data` at `offset`.
    pub async fn write(&self, offset: u64, data: Bytes) -> RequestOutcome {
        self.send(Command::Write, 0, offset, data.len() as u32, data).await.ok().flatten()
    }

    /// Flushes all acknowledged writes.
    pub async fn flush(&self) -> RequestOutcome {
        self.send(Command::Flush, 0, 0, 0, Bytes::new()).await.ok().flatten()
    }

    /// Messages about replies that matched no pending request, such as duplicates, and about malformed data.
    pub fn unmatched_replies(&self) -> Vec<String> {
        lock(&self.pending).unmatched_replies().to_vec()
    }

    /// Closes the connection without a disconnect request. Every pending request ends without a reply.
    pub fn abort(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        lock(&self.pending).close();
    }

    /// Sends a disconnect request, on which the server closes the connection.
    pub fn disconnect(&self) {
        _ = self.to_writer.send(Request {
            cookie: 0,
            command: Command::Disc,
            flags: 0,
            offset: 0,
            length: 0,
            payload: Bytes::new(),
        });
    }
}

async fn write_requests(
    mut writer: OwnedWriteHalf,
    mut requests: mpsc::UnboundedReceiver<Request>,
    to_reader: mpsc::UnboundedSender<Request>,
) {
    let mut output = BytesMut::new();
    while let Some(request) = requests.recv().await {
        umbertray_nbd::proto::put_request(&mut output, &request);
        _ = to_reader.send(Request { payload: Bytes::new(), ..request });
        if writer.write_all(&output.split()).await.is_err() {
            return;
        }
    }
}

async fn read_until_closed(
    reader: OwnedReadHalf,
    mut client: Client,
    input: BytesMut,
    sent: mpsc::UnboundedReceiver<Request>,
    pending: SharedRequests,
) {
    client.output().clear();
    read_replies(reader, client, input, sent, &pending).await;
    lock(&pending).close();
}

async fn read_replies(
    mut reader: OwnedReadHalf,
    mut client: Client,
    mut input: BytesMut,
    mut sent: mpsc::UnboundedReceiver<Request>,
    pending: &SharedRequests,
) {
    loop {
        while let Ok(request) = sent.try_recv() {
            client.request(&request);
            client.output().clear();
        }
        match client.receive(&mut input) {
            Ok(ClientEvent::Reply(reply)) => lock(pending).receive(reply),
            Ok(_) => {
                input.reserve(READ_BYTES);
                if !reader.read_buf(&mut input).await.is_ok_and(|count| count > 0) {
                    return;
                }
            }
            Err(error) => {
                return lock(pending).add_unmatched_reply(format!("malformed data from the server: {error}"));
            }
        }
    }
}
