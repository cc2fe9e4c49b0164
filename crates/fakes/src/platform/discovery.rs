//! Discovery service: the list of stores over HTTP, in one response or as a watch.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, watch};
use tokio::task::{JoinHandle, JoinSet};
use umbertray_http::server::{RequestEvent, RequestReader, response};

use super::LIMITS;

/// Interval after which a watch without changes sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of lines that a watch may lag behind before the service closes it.
const MAX_WATCH_LAG: usize = 64;

#[derive(Default)]
struct Entries {
    version: u64,
    by_uid: BTreeMap<String, String>,
}

/// Handle of a running discovery service. Dropping it ends the service and its watches.
pub struct Discovery {
    /// Address at which the service listens.
    pub address: SocketAddr,
    entries: Arc<Mutex<Entries>>,
    lines: broadcast::Sender<String>,
    /// Targets of all requests so far.
    request_targets: watch::Receiver<Vec<String>>,
    task: JoinHandle<()>,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A list or a change of it as one line of JSON; `is_complete` says whether `entries` is the complete list.
fn list_line(version: u64, is_complete: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":{is_complete},"targets":[{}]}}"#, entries.join(","))
}

impl Entries {
    fn complete_list(&self) -> String {
        list_line(self.version, true, &self.by_uid.values().cloned().collect::<Vec<_>>())
    }
}

impl Discovery {
    /// Starts a discovery service without entries on a loopback port.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start() -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let entries: Arc<Mutex<Entries>> = Arc::default();
        let (lines, _) = broadcast::channel(MAX_WATCH_LAG);
        let (recorder, request_targets) = watch::channel(Vec::new());
        let (shared, sender, recorder) = (entries.clone(), lines.clone(), Arc::new(recorder));
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, shared.clone(), sender.clone(), recorder.clone()));
            }
        });
        Ok(Discovery { address, entries, lines, request_targets, task })
    }

    /// Adds a store's entry or replaces it, and notifies all watches.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock on the entries.
    pub fn list(&self, uid: &str, address: SocketAddr, shard: u32, state: &str) {
        self.list_started(uid, address, shard, state, 0);
    }

    /// Like [`Discovery::list`], for a store that started at `boot_ms`, in milliseconds since 1970.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock on the entries.
    pub fn list_started(&self, uid: &str, address: SocketAddr, shard: u32, state: &str, boot_ms: u64) {
        let location = format!(r#""endpoint":"{address}","az":"a","model":"m","pod_group":{shard}"#);
        let condition = format!(r#""state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}"#);
        let entry = format!(r#"{{"uid":"{uid}",{location},{condition}}}"#);
        let mut entries = self.entries.lock().expect("no thread panics while it holds the lock");
        entries.version += 1;
        entries.by_uid.insert(uid.into(), entry.clone());
        _ = self.lines.send(list_line(entries.version, false, &[entry]));
    }

    /// Sends a line unchanged to all watches.
    pub fn send_line(&self, line: &str) {
        _ = self.lines.send(line.into());
    }

    /// Waits until `condition` holds for the targets of all requests so far.
    pub async fn wait_for_requests(&self, condition: impl FnMut(&Vec<String>) -> bool) {
        _ = self.request_targets.clone().wait_for(condition).await;
    }

    /// Number of open watches.
    pub fn watches(&self) -> usize {
        self.lines.receiver_count()
    }
}

async fn serve(
    mut stream: TcpStream,
    entries: Arc<Mutex<Entries>>,
    lines: broadcast::Sender<String>,
    recorder: Arc<watch::Sender<Vec<String>>>,
) {
    let mut requests = RequestReader::new(LIMITS);
    loop {
        let request = match requests.next_event() {
            Ok(RequestEvent::Request(request)) => request,
            Ok(_) if matches!(stream.read_buf(&mut requests.bytes).await, Ok(1..)) => continue,
            _ => return,
        };
        // Hazard: a change between reading the list and subscribing would be missed. So the subscription
        // comes first.
        let changes = lines.subscribe();
        let complete_list = entries.lock().expect("no thread panics while it holds the lock").complete_list();
        let is_watch = request.target.contains("watch=1");
        recorder.send_modify(|targets| targets.push(request.target.into()));
        if is_watch {
            return serve_watch(stream, &complete_list, changes).await;
        }
        if stream.write_all(&response(200, &[], complete_list.as_bytes(), false)).await.is_err() {
            return;
        }
    }
}

/// Sends the complete list, then changes and heartbeats until the client sends data or closes the connection.
async fn serve_watch(mut stream: TcpStream, complete_list: &str, mut changes: broadcast::Receiver<String>) {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut written =
        stream.write_all(head.as_bytes()).await.and(write_line(&mut stream, complete_list).await);
    while written.is_ok() {
        let mut unexpected = [0];
        written = tokio::select! {
            line = changes.recv() => match line {
                Ok(line) => write_line(&mut stream, &line).await,
                Err(_) => return,
            },
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => write_line(&mut stream, "").await,
            _ = stream.read(&mut unexpected) => return,
        };
    }
}

/// Writes a line as one HTTP chunk.
async fn write_line(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}
