//! Clients of a soak. Well-behaved clients send one request at a time on a persistent connection. Others stop
//! in the middle of a request and keep the connection open.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use umbertray_http::Limits;
use umbertray_http::client::{self, Response, ResponseReader};

use crate::soak::plan::SHARDS;
use crate::soak::process::MAX_ONCE_DEADLINE;
use crate::soak::record::{Effect, Outcome, Request, SharedRecord, StoppedClient};

/// Size limits of a response, in bytes.
const LIMITS: Limits = Limits { head: 8192, body: 1 << 16 };
/// Time that a client waits for a response beyond the request's time left.
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_secs(4);
/// Time that a client which stopped in the middle of a request keeps its connection open.
const STOPPED_CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest pause between two requests, in milliseconds.
const MAX_THINK_TIME_MS: u64 = 60;
/// Shortest time left of a client's retry, in milliseconds.
const MIN_TIME_LEFT_MS: u64 = 50;
/// One request in this many is cancelled by its client.
const CANCEL_ONE_IN: u32 = 20;
/// One request in this many has less time left, as a client's retry has.
const RETRY_ONE_IN: u32 = 10;
/// One request in this many is sent only in part, after which the client stops.
const STOP_ONE_IN: u32 = 25;

/// A client of a gateway.
pub struct Client {
    /// Number of the gateway.
    pub gateway: u32,
    /// Address that the gateway's clients connect to.
    pub address: SocketAddr,
    /// Record of what the client observes.
    pub record: Arc<SharedRecord>,
    /// The longest deadline in the gateway's configuration, in milliseconds.
    pub longest_deadline_ms: Arc<AtomicU64>,
    /// Next request id, shared by all clients.
    pub next_request_id: Arc<AtomicU64>,
    /// Becomes true when the soak has finished.
    pub finished: watch::Receiver<bool>,
    /// Seed of its random draws.
    pub seed: u64,
}

/// A persistent connection, and the number of requests sent over it.
struct KeptConnection {
    stream: TcpStream,
    responses: ResponseReader,
    requests: u32,
}

/// A request before it is sent.
struct DrawnRequest {
    id: u64,
    effect: Effect,
    time_left: Duration,
    bytes: Vec<u8>,
}

/// The bytes of a request. Stores respond with the request's id as the body.
pub fn request(effect: Effect, shard: u32, id: u64, time_left: Duration) -> Vec<u8> {
    let (id, time_left) = (format!("{id:016x}"), time_left.as_millis().to_string());
    let placement = format!("units=1,shard={shard},hosts=1");
    let fields: [(&str, &[u8]); 4] = [
        ("X-Correlation-Id", id.as_bytes()),
        ("X-Qos-Policy", b"basic"),
        ("X-Time-Left-Ms", time_left.as_bytes()),
        ("X-Placement", placement.as_bytes()),
    ];
    let (method, name, body): (_, _, &[u8]) = match effect {
        Effect::Free => ("GET", "look", b""),
        Effect::Once => ("PUT", "order", b"data"),
    };
    client::request(method, &format!("/{name}/00000000000000aa/{id}"), "origin", &fields, body).to_vec()
}

impl Client {
    /// Sends requests until the soak has finished.
    pub async fn run(self) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut kept = None;
        while !*self.finished.borrow() {
            sleep(Duration::from_millis(rng.random_range(0..MAX_THINK_TIME_MS))).await;
            let connection = match kept.take() {
                Some(connection) => connection,
                None => match self.connect().await {
                    Ok(connection) => connection,
                    Err(_) => continue,
                },
            };
            let request = self.draw_request(&mut rng);
            if rng.random_ratio(1, STOP_ONE_IN) {
                self.send_partial_request(connection, &request.bytes, &mut rng).await;
            } else {
                kept = self.send_request(connection, request, &mut rng).await;
            }
        }
    }

    async fn connect(&self) -> io::Result<KeptConnection> {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        Ok(KeptConnection { stream, responses: ResponseReader::new(LIMITS), requests: 0 })
    }

    fn draw_request(&self, rng: &mut StdRng) -> DrawnRequest {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let effect = if rng.random() { Effect::Free } else { Effect::Once };
        let longest_ms = self.longest_deadline_ms.load(Ordering::Relaxed);
        let longest_ms = match effect {
            Effect::Free => longest_ms,
            Effect::Once => longest_ms.min(MAX_ONCE_DEADLINE.as_millis() as u64),
        };
        // A client's retry has less time left than its first request.
        let is_retry = rng.random_ratio(1, RETRY_ONE_IN);
        let time_left = if is_retry { rng.random_range(MIN_TIME_LEFT_MS..longest_ms) } else { longest_ms };
        let time_left = Duration::from_millis(time_left);
        let bytes = request(effect, rng.random_range(0..SHARDS), id, time_left);
        DrawnRequest { id, effect, time_left, bytes }
    }

    /// Sends part of a request, and records when it receives a response or the connection is closed.
    async fn send_partial_request(&self, mut kept: KeptConnection, bytes: &[u8], rng: &mut StdRng) {
        let part = rng.random_range(1..bytes.len());
        if kept.stream.write_all(&bytes[..part]).await.is_err() {
            return;
        }
        let stopped_at = self.record.now();
        let response = timeout(STOPPED_CLIENT_TIMEOUT, kept.stream.read(&mut [0; 512])).await;
        let ended_at = response.is_ok().then(|| self.record.now());
        // A wait that outlasts the soak without an error or a close proves nothing.
        if ended_at.is_some() || !*self.finished.borrow() {
            self.record.update(|record| {
                record.stopped_clients.push(StoppedClient { gateway: self.gateway, stopped_at, ended_at });
            });
        }
    }

    /// Sends a complete request and waits until it has ended. Returns the connection if it can be used again.
    async fn send_request(
        &self,
        mut kept: KeptConnection,
        request: DrawnRequest,
        rng: &mut StdRng,
    ) -> Option<KeptConnection> {
        let first_byte = self.record.now();
        let (first_part, second_part) = request.bytes.split_at(rng.random_range(0..request.bytes.len()));
        kept.stream.write_all(first_part).await.ok()?;
        if rng.random_ratio(1, 4) {
            sleep(Duration::from_millis(rng.random_range(1..20))).await;
        }
        kept.stream.write_all(second_part).await.ok()?;
        let last_byte = self.record.now();
        let is_first_on_connection = kept.requests == 0;
        let response_timeout = if rng.random_ratio(1, CANCEL_ONE_IN) {
            Duration::from_millis(rng.random_range(0..100))
        } else {
            request.time_left + RESPONSE_TIMEOUT_MARGIN
        };
        let is_cancelled = response_timeout < RESPONSE_TIMEOUT_MARGIN;
        let response = timeout(response_timeout, read_response(&mut kept)).await;
        let ended_at = self.record.now();
        let (outcome, is_reusable) = match response {
            Ok(Some(response)) => {
                let is_own = response.body == format!("{:016x}", request.id).as_bytes();
                let outcome = Outcome::Responded { status: response.head.status, is_own };
                (outcome, response.head.persists)
            }
            Ok(None) => (Outcome::Closed, false),
            Err(_) if is_cancelled => (Outcome::Cancelled, false),
            Err(_) => (Outcome::Silent, false),
        };
        let DrawnRequest { id, effect, time_left, .. } = request;
        let observed = Request {
            gateway: self.gateway,
            id,
            effect,
            time_left,
            first_byte,
            last_byte,
            is_first_on_connection,
            outcome,
            ended_at,
        };
        self.record.update(|record| record.requests.push(observed));
        kept.requests += 1;
        is_reusable.then_some(kept)
    }
}

/// The next complete response; `None` if the connection has ended or the response is malformed.
async fn read_response(kept: &mut KeptConnection) -> Option<Response> {
    loop {
        if let Some(response) = kept.responses.response().ok()? {
            return Some(response);
        }
        if !matches!(kept.stream.read_buf(&mut kept.responses.bytes).await, Ok(1..)) {
            return None;
        }
    }
}
