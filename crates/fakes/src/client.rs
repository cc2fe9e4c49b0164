//! A small NBD client on tokio, of this project's own codec: one connection, requests in any number at once.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use umbertray_nbd::client::Negotiation;
use umbertray_nbd::{Chunk, Client, ClientEvent, Command, Errno, Export, Extent, Reply, Request};

/// A whole reply, put together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Whole {
    /// Error that the server reported, with its message.
    pub error: Option<(Errno, String)>,
    /// A read's data by offset; holes have none.
    pub data: Vec<(u64, Bytes)>,
    /// Holes of a read: offset and length in bytes.
    pub holes: Vec<(u64, u32)>,
    /// Extents of a block status reply.
    pub extents: Vec<Extent>,
    /// Chunks that came, the last included.
    pub chunks: u32,
}

impl Whole {
    /// A read's data in one buffer, zeros where there are holes; absent where parts are missing or overlap.
    pub fn bytes(&self, offset: u64, length: u32) -> Option<Vec<u8>> {
        let mut whole = vec![0; length as usize];
        let mut covered = 0;
        for (at, data) in &self.data {
            // A simple reply does not say where its data lies: it is the whole.
            let at = if *at == u64::MAX { offset } else { *at };
            let from = usize::try_from(at.checked_sub(offset)?).ok()?;
            whole.get_mut(from..from + data.len())?.copy_from_slice(data);
            covered += data.len() as u64;
        }
        covered += self.holes.iter().map(|(_, length)| u64::from(*length)).sum::<u64>();
        (covered == u64::from(length)).then_some(whole)
    }
}

/// How a request ended for the client: the reply, or none since the connection ended.
pub type Ended = Option<Whole>;

#[derive(Default)]
struct Open {
    whole: Whole,
    done: Option<oneshot::Sender<Ended>>,
}

#[derive(Default)]
struct State {
    open: HashMap<u64, Open>,
    strays: Vec<String>,
    closed: bool,
}

impl State {
    /// All that wait learn that the connection has ended; what still comes in is nobody's.
    fn close(&mut self) {
        self.closed = true;
        for (_, open) in self.open.drain() {
            open.done.into_iter().for_each(|done| _ = done.send(None));
        }
    }
}

type Waiting = Arc<Mutex<State>>;

fn lock(waiting: &Waiting) -> std::sync::MutexGuard<'_, State> {
    waiting.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A session; dropping it closes the connection.
pub struct Connection {
    /// What the server said of the export.
    pub export: Export,
    to_writer: mpsc::UnboundedSender<Request>,
    waiting: Waiting,
    next: std::sync::atomic::AtomicU64,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn negotiate(
    address: SocketAddr,
    wish: Negotiation,
) -> io::Result<(TcpStream, Client, BytesMut, ClientEvent)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut client, mut input) = (Client::new(wish), BytesMut::new());
    loop {
        let step = client.receive(&mut input).map_err(io::Error::other)?;
        stream.write_all(&client.output().split()).await?;
        match step {
            ClientEvent::More if stream.read_buf(&mut input).await? == 0 => {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            ClientEvent::More => {}
            step => return Ok((stream, client, input, step)),
        }
    }
}

/// The names of a server's exports.
///
/// # Errors
/// Fails when the connection fails, the negotiation is malformed, or the server does not list its exports.
pub async fn names(address: SocketAddr) -> io::Result<Vec<String>> {
    match negotiate(address, Negotiation::List).await?.3 {
        ClientEvent::Names(names) => Ok(names),
        _ => Err(io::Error::other("the server did not list its exports")),
    }
}

impl Connection {
    /// Connects to the server at `address` and negotiates the export `name`, with structured replies if wished.
    ///
    /// # Errors
    /// Fails when the connection fails, the negotiation is malformed, or the server does not offer the export.
    pub async fn open(address: SocketAddr, name: &str, structured: bool) -> io::Result<Connection> {
        let wish = Negotiation::Export { name: name.into(), structured };
        let (stream, mut client, input, step) = negotiate(address, wish).await?;
        let ClientEvent::Ready(export) = step else { return Err(io::Error::other("no export")) };
        let (reader, mut writer) = stream.into_split();
        let (to_writer, mut requests) = mpsc::unbounded_channel::<Request>();
        let waiting = Waiting::default();
        // Simple read replies cannot be told apart without the request: the reading side learns of it first.
        let (to_reader, asked) = mpsc::unbounded_channel::<Request>();
        let writing = tokio::spawn(async move {
            let mut out = BytesMut::new();
            while let Some(request) = requests.recv().await {
                umbertray_nbd::proto::put_request(&mut out, &request);
                _ = to_reader.send(Request { payload: Bytes::new(), ..request });
                if writer.write_all(&out.split()).await.is_err() {
                    return;
                }
            }
        });
        let shared = waiting.clone();
        let reading = tokio::spawn(async move {
            client.output().clear();
            read(reader, client, input, asked, &shared).await;
            lock(&shared).close();
        });
        let next = std::sync::atomic::AtomicU64::new(1);
        Ok(Connection { export, to_writer, waiting, next, tasks: [writing, reading] })
    }

    /// Sends a request; the receiver gets its reply.
    pub fn send(
        &self,
        command: Command,
        flags: u16,
        offset: u64,
        length: u32,
        payload: Bytes,
    ) -> oneshot::Receiver<Ended> {
        let cookie = self.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (done, ended) = oneshot::channel();
        let mut waiting = lock(&self.waiting);
        if waiting.closed {
            _ = done.send(None);
            return ended;
        }
        waiting.open.insert(cookie, Open { whole: Whole::default(), done: Some(done) });
        drop(waiting);
        _ = self.to_writer.send(Request { cookie, command, flags, offset, length, payload });
        ended
    }

    /// Reads `length` bytes at `offset`.
    pub async fn read(&self, offset: u64, length: u32) -> Ended {
        self.send(Command::Read, 0, offset, length, Bytes::new()).await.ok().flatten()
    }

    /// Writes `data` at `offset`.
    pub async fn write(&self, offset: u64, data: Bytes) -> Ended {
        self.send(Command::Write, 0, offset, data.len() as u32, data).await.ok().flatten()
    }

    /// Flushes writes that were acknowledged.
    pub async fn flush(&self) -> Ended {
        self.send(Command::Flush, 0, 0, 0, Bytes::new()).await.ok().flatten()
    }

    /// Replies that answered nothing: doubled or unasked for.
    pub fn strays(&self) -> Vec<String> {
        lock(&self.waiting).strays.clone()
    }

    /// Drops the connection without a goodbye; all that wait learn that it has ended.
    pub fn cut(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        lock(&self.waiting).close();
    }

    /// Says goodbye and closes.
    pub fn disconnect(&self) {
        let disc = Command::Disc;
        let request =
            Request { cookie: 0, command: disc, flags: 0, offset: 0, length: 0, payload: Bytes::new() };
        _ = self.to_writer.send(request);
    }
}

async fn read(
    mut reader: OwnedReadHalf,
    mut client: Client,
    mut input: BytesMut,
    mut asked: mpsc::UnboundedReceiver<Request>,
    waiting: &Waiting,
) {
    loop {
        while let Ok(request) = asked.try_recv() {
            client.request(&request);
            client.output().clear();
        }
        match client.receive(&mut input) {
            Ok(ClientEvent::Reply(reply)) => take(reply, waiting),
            Ok(_) => {
                input.reserve(64 * 1024);
                if !reader.read_buf(&mut input).await.is_ok_and(|count| count > 0) {
                    return;
                }
            }
            Err(error) => {
                return lock(waiting).strays.push(format!("malformed: {error}"));
            }
        }
    }
}

fn take(reply: Reply, waiting: &Waiting) {
    let mut waiting = lock(waiting);
    if waiting.closed {
        return;
    }
    let (cookie, done) = match &reply {
        Reply::Simple { cookie, .. } => (*cookie, true),
        Reply::Chunk { cookie, done, .. } => (*cookie, *done),
    };
    let Some(open) = waiting.open.get_mut(&cookie) else {
        return waiting.strays.push(format!("reply to cookie {cookie}, which is not open"));
    };
    open.whole.chunks += 1;
    match reply {
        Reply::Simple { error, data, .. } => {
            open.whole.error = error.map(|errno| (errno, String::new()));
            // The offset is the request's; the caller knows it.
            open.whole.data = if data.is_empty() { Vec::new() } else { vec![(u64::MAX, data)] };
        }
        Reply::Chunk { chunk: Chunk::Data { offset, data }, .. } => open.whole.data.push((offset, data)),
        Reply::Chunk { chunk: Chunk::Hole { offset, length }, .. } => open.whole.holes.push((offset, length)),
        Reply::Chunk { chunk: Chunk::BlockStatus { extents, .. }, .. } => open.whole.extents = extents,
        Reply::Chunk { chunk: Chunk::Error { errno, message, .. }, .. } => {
            open.whole.error = Some((errno, message));
        }
        Reply::Chunk { chunk: Chunk::None, .. } => {}
    }
    if done && let Some(Open { whole, done: Some(sender) }) = waiting.open.remove(&cookie) {
        _ = sender.send(Some(whole));
    }
}
