//! Discovery: a list of stores over HTTP, whole or as a watch.

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

/// How often a watch without changes sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Lines that a watch may lag behind before it is closed.
const LINES_KEPT: usize = 64;

#[derive(Default)]
struct Entries {
    version: u64,
    by_uid: BTreeMap<String, String>,
}

/// Running discovery; dropping it ends it and its watches.
pub struct Discovery {
    /// Where discovery listens.
    pub address: SocketAddr,
    entries: Arc<Mutex<Entries>>,
    lines: broadcast::Sender<String>,
    asked: watch::Receiver<Vec<String>>,
    task: JoinHandle<()>,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A list as one line of JSON.
fn list_line(version: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":{whole},"targets":[{}]}}"#, entries.join(","))
}

impl Entries {
    fn whole_list(&self) -> String {
        list_line(self.version, true, &self.by_uid.values().cloned().collect::<Vec<_>>())
    }
}

impl Discovery {
    /// Starts discovery without entries on a loopback port.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start() -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let entries: Arc<Mutex<Entries>> = Arc::default();
        let (lines, _) = broadcast::channel(LINES_KEPT);
        let (recorder, asked) = watch::channel(Vec::new());
        let (shared, sender, recorder) = (entries.clone(), lines.clone(), Arc::new(recorder));
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, shared.clone(), sender.clone(), recorder.clone()));
            }
        });
        Ok(Discovery { address, entries, lines, asked, task })
    }

    /// Lists a store, and notifies all watches.
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
        let mut entries = self.entries.lock().expect("no holder panics");
        entries.version += 1;
        entries.by_uid.insert(uid.into(), entry.clone());
        _ = self.lines.send(list_line(entries.version, false, &[entry]));
    }

    /// Sends all watches a line as it is.
    pub fn say(&self, line: &str) {
        _ = self.lines.send(line.into());
    }

    /// Returns once `so` holds for the targets asked for so far.
    pub async fn until_asked(&self, so: impl FnMut(&Vec<String>) -> bool) {
        _ = self.asked.clone().wait_for(so).await;
    }

    /// How many watches are open.
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
        // Hazard: subscribed to before the list is read, so that no change falls between the list and the watch.
        let changes = lines.subscribe();
        let whole = entries.lock().expect("no holder panics").whole_list();
        let watched = request.target.contains("watch=1");
        recorder.send_modify(|asked| asked.push(request.target.into()));
        if watched {
            return serve_watch(stream, &whole, changes).await;
        }
        if stream.write_all(&response(200, &[], whole.as_bytes(), false)).await.is_err() {
            return;
        }
    }
}

/// Sends the whole list, then changes and heartbeats until the client sends or closes.
async fn serve_watch(mut stream: TcpStream, whole: &str, mut changes: broadcast::Receiver<String>) {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut written = stream.write_all(head.as_bytes()).await.and(write_line(&mut stream, whole).await);
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
