//! The platform's other parties, scripted: a store, and discovery with its watch.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, watch};
use tokio::task::JoinHandle;
use umbertray_http::server::{Request, RequestEvent, RequestReader, response};
use umbertray_http::{Limits, Malformed};

const LIMITS: Limits = Limits { head: 16 * 1024, body: 64 * 1024 };
/// How often a watch shows a sign of life.
const SIGN_OF_LIFE: Duration = Duration::from_secs(2);

/// What a store does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes these bytes, as they are.
    Write(Vec<u8>),
    /// Writes them after a while.
    WriteAfter(Duration, Vec<u8>),
    /// Writes them and closes.
    WriteAndClose(Vec<u8>),
    /// Closes without a word.
    Close,
    /// Says nothing, and leaves the connection open.
    Hold,
}

/// A whole answer with this body.
pub fn ok(body: &str) -> Vec<u8> {
    response(200, &[("Content-Type", b"text/plain")], body.as_bytes(), false).to_vec()
}

/// What a store has seen: a request that came whole, on which connection; and connections that ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A whole request.
    Request {
        /// Number of the connection, from zero.
        connection: u64,
        /// The request.
        request: Request,
    },
    /// The connection ended.
    Closed {
        /// Number of the connection, from zero.
        connection: u64,
    },
    /// A request that is not HTTP as the platform speaks it.
    Unreadable {
        /// Number of the connection, from zero.
        connection: u64,
        /// Why it could not be parsed.
        error: Malformed,
    },
}

/// A scripted store at work; dropping it ends it and its connections.
pub struct Store {
    /// Where the store listens.
    pub address: SocketAddr,
    seen: watch::Receiver<Vec<Seen>>,
    task: JoinHandle<()>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Script = Arc<dyn Fn(usize, &Request) -> Act + Send + Sync>;

impl Store {
    /// The script is told how many requests came before, over all connections.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start(script: impl Fn(usize, &Request) -> Act + Send + Sync + 'static) -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (book, seen) = watch::channel(Vec::new());
        let (book, script): (_, Script) = (Arc::new(book), Arc::new(script));
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            for connection in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                connections.spawn(attend(stream, connection, book.clone(), script.clone()));
            }
        });
        Ok(Store { address, seen, task })
    }

    /// All that was seen so far, in order.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }

    /// The requests seen so far, each with its connection.
    pub fn requests(&self) -> Vec<(u64, Request)> {
        let request = |seen: Seen| match seen {
            Seen::Request { connection, request } => Some((connection, request)),
            _ => None,
        };
        self.seen().into_iter().filter_map(request).collect()
    }

    /// Returns when what was seen is so.
    pub async fn until(&self, so: impl FnMut(&Vec<Seen>) -> bool) {
        _ = self.seen.clone().wait_for(so).await;
    }
}

async fn attend(mut stream: TcpStream, connection: u64, book: Arc<watch::Sender<Vec<Seen>>>, script: Script) {
    let mut requests = RequestReader::new(LIMITS);
    loop {
        let request = match requests.next_event() {
            Ok(RequestEvent::Request(request)) => request,
            Ok(_) => {
                if matches!(stream.read_buf(&mut requests.bytes).await, Ok(1..)) {
                    continue;
                }
                break;
            }
            Err(error) => {
                book.send_modify(|seen| seen.push(Seen::Unreadable { connection, error }));
                break;
            }
        };
        let before = book.borrow().iter().filter(|seen| matches!(seen, Seen::Request { .. })).count();
        let act = script(before, &request);
        book.send_modify(|seen| seen.push(Seen::Request { connection, request }));
        let wrote = match &act {
            Act::Write(bytes) | Act::WriteAndClose(bytes) => stream.write_all(bytes).await,
            Act::WriteAfter(wait, bytes) => {
                tokio::time::sleep(*wait).await;
                stream.write_all(bytes).await
            }
            Act::Close | Act::Hold => Ok(()),
        };
        if wrote.is_err() || matches!(act, Act::WriteAndClose(_) | Act::Close) {
            break;
        }
    }
    drop(stream);
    book.send_modify(|seen| seen.push(Seen::Closed { connection }));
}

#[derive(Default)]
struct Known {
    version: u64,
    entries: BTreeMap<String, String>,
}

/// Discovery at work; dropping it ends it and its watches.
pub struct Discovery {
    /// Where discovery listens.
    pub address: SocketAddr,
    known: Arc<Mutex<Known>>,
    lines: broadcast::Sender<String>,
    asked: watch::Receiver<Vec<String>>,
    task: JoinHandle<()>,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn list(version: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":{whole},"targets":[{}]}}"#, entries.join(","))
}

impl Discovery {
    /// Starts discovery without entries on a loopback port.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start() -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let known: Arc<Mutex<Known>> = Arc::default();
        let (lines, _) = broadcast::channel(64);
        let (book, asked) = watch::channel(Vec::new());
        let (shared, sender, book) = (known.clone(), lines.clone(), Arc::new(book));
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(tell(stream, shared.clone(), sender.clone(), book.clone()));
            }
        });
        Ok(Discovery { address, known, lines, asked, task })
    }

    /// Lists a store, and tells who watches.
    ///
    /// # Panics
    /// When another thread has panicked while it held the entries.
    pub fn list(&self, uid: &str, address: SocketAddr, shard: u32, state: &str) {
        self.list_started(uid, address, shard, state, 0);
    }

    /// The same for a store that started at that time, in milliseconds since 1970.
    ///
    /// # Panics
    /// When another thread has panicked while it held the entries.
    pub fn list_started(&self, uid: &str, address: SocketAddr, shard: u32, state: &str, boot_ms: u64) {
        let entry = format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":{shard},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
        );
        let mut known = self.known.lock().expect("no holder panics");
        known.version += 1;
        known.entries.insert(uid.into(), entry.clone());
        _ = self.lines.send(list(known.version, false, &[entry]));
    }

    /// Tells who watches a line as it is.
    pub fn say(&self, line: &str) {
        _ = self.lines.send(line.into());
    }

    /// Returns when the targets asked for so far are so.
    pub async fn until_asked(&self, so: impl FnMut(&Vec<String>) -> bool) {
        _ = self.asked.clone().wait_for(so).await;
    }

    /// How many watches are open.
    pub fn watches(&self) -> usize {
        self.lines.receiver_count()
    }
}

async fn tell(
    mut stream: TcpStream,
    known: Arc<Mutex<Known>>,
    lines: broadcast::Sender<String>,
    book: Arc<watch::Sender<Vec<String>>>,
) {
    let mut requests = RequestReader::new(LIMITS);
    loop {
        let request = match requests.next_event() {
            Ok(RequestEvent::Request(request)) => request,
            Ok(_) if matches!(stream.read_buf(&mut requests.bytes).await, Ok(1..)) => continue,
            _ => return,
        };
        // From here on no change is missed between what is told now and what the watch tells.
        let mut changes = lines.subscribe();
        let whole = {
            let known = known.lock().expect("no holder panics");
            list(known.version, true, &known.entries.values().cloned().collect::<Vec<_>>())
        };
        let watched = request.target.contains("watch=1");
        book.send_modify(|asked| asked.push(request.target.into()));
        if !watched {
            if stream.write_all(&response(200, &[], whole.as_bytes(), false)).await.is_err() {
                return;
            }
            continue;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut wrote = stream.write_all(head.as_bytes()).await.and(write(&mut stream, &whole).await);
        while wrote.is_ok() {
            let mut nothing = [0];
            wrote = tokio::select! {
                line = changes.recv() => match line {
                    Ok(line) => write(&mut stream, &line).await,
                    Err(_) => return,
                },
                () = tokio::time::sleep(SIGN_OF_LIFE) => write(&mut stream, "").await,
                _ = stream.read(&mut nothing) => return,
            };
        }
        return;
    }
}

async fn write(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}
