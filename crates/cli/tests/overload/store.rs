//! A store that answers every request after the same time, and records when it received each id.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use umbertray_fakes::platform::ok;
use umbertray_http::Limits;
use umbertray_http::server::{Request, RequestEvent, RequestReader};

use crate::usual_clients::FIRST_USUAL_ID;

const LIMITS: Limits = Limits { head: 8192, body: 1 << 20 };

/// What a store does with a request.
#[derive(Clone, Copy)]
pub(crate) struct Behavior {
    pub(crate) latency: Duration,
    pub(crate) response_bytes: usize,
    /// If set, the first attempt of each request of a bad client gets no response: its connection breaks
    /// after this time.
    pub(crate) first_attempt_breaks_after: Option<Duration>,
}

impl Behavior {
    /// Answers with this many bytes after this time.
    pub(crate) fn answer(latency: Duration, response_bytes: usize) -> Behavior {
        Behavior { latency, response_bytes, first_attempt_breaks_after: None }
    }
}

/// The requests that a store received, by id.
#[derive(Default)]
pub(crate) struct Runs {
    by_id: HashMap<String, Vec<Instant>>,
}

impl Runs {
    /// Number of requests of bad clients that were received after an instant.
    pub(crate) fn of_bad_clients_after(&self, instant: Instant) -> usize {
        let of_bad_clients = self.by_id.iter().filter(|(id, _)| is_of_bad_client(id));
        of_bad_clients.flat_map(|(_, runs)| runs).filter(|at| **at > instant).count()
    }
}

fn is_of_bad_client(id: &str) -> bool {
    u64::from_str_radix(id, 16).is_ok_and(|id| id < FIRST_USUAL_ID)
}

/// Handle of a running store. Dropping it ends the store.
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    pub(crate) runs: Arc<Mutex<Runs>>,
    _connections: JoinSet<()>,
}

impl Store {
    /// Starts a store.
    pub(crate) async fn start(behavior: Behavior) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("an address");
        let runs: Arc<Mutex<Runs>> = Arc::default();
        let recorder = runs.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let response: Arc<[u8]> = ok(&"x".repeat(behavior.response_bytes)).into();
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, behavior, response.clone(), recorder.clone()));
            }
        });
        Store { address, runs, _connections: tasks }
    }
}

async fn serve(mut stream: TcpStream, behavior: Behavior, response: Arc<[u8]>, runs: Arc<Mutex<Runs>>) {
    _ = stream.set_nodelay(true);
    let mut requests = RequestReader::new(LIMITS);
    loop {
        match requests.next_event() {
            Ok(RequestEvent::Request(request)) => {
                let is_first = record(&runs, &request);
                if let Some(time) = behavior.first_attempt_breaks_after.filter(|_| is_first) {
                    tokio::time::sleep(time).await;
                    return;
                }
            }
            Ok(_) if matches!(stream.read_buf(&mut requests.bytes).await, Ok(1..)) => continue,
            _ => return,
        }
        if !behavior.latency.is_zero() {
            tokio::time::sleep(behavior.latency).await;
        }
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Records a request. Returns whether it is the first one of a bad client with its id.
fn record(runs: &Mutex<Runs>, request: &Request) -> bool {
    let id = request.headers.single("X-Correlation-Id").ok().flatten().unwrap_or_default();
    let id = String::from_utf8_lossy(id).into_owned();
    let is_bad = is_of_bad_client(&id);
    let mut runs = runs.lock().expect("no panic with the lock");
    let runs = runs.by_id.entry(id).or_default();
    runs.push(Instant::now());
    is_bad && runs.len() == 1
}
