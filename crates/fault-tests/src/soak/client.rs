//! Clients of a soak: good ones, one request at a time on a connection that they keep; and such that stop in the middle
//! of a request and stay.

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
use crate::soak::process::LONGEST_ONCE;
use crate::soak::record::{Book, Effect, End, Request, Stopped};

/// What an answer holds at most.
const LIMITS: Limits = Limits { head: 8192, body: 1 << 16 };
/// Beyond a request's time its client waits so long for a word.
const PATIENCE: Duration = Duration::from_secs(4);
/// A client that stopped stays for so long.
const STAYS: Duration = Duration::from_secs(6);
/// Between two requests, at most.
const THINKS: u64 = 60;
/// A client that repeats has this much of its time left at least, in milliseconds.
const LEAST_LEFT: u64 = 50;
/// One request in so many is cancelled by its client, or has less time left; one connection in so many stops in the middle of a request.
const CANCELS: u32 = 20;
const REPEATS: u32 = 10;
const STOPS: u32 = 25;

/// One client of a gateway.
pub struct Client {
    /// Number of the gateway.
    pub gateway: u32,
    /// Where the gateway's clients connect.
    pub address: SocketAddr,
    /// Where it records what it saw.
    pub book: Arc<Book>,
    /// The longest deadline of the gateway's configuration, in milliseconds.
    pub deadline: Arc<AtomicU64>,
    /// The next id of all clients.
    pub ids: Arc<AtomicU64>,
    /// Turns true once the soak is over.
    pub over: watch::Receiver<bool>,
    /// Seed of what it draws.
    pub seed: u64,
}

/// A connection that is kept, and how many requests went over it.
struct Kept {
    stream: TcpStream,
    answers: ResponseReader,
    requests: u32,
}

/// A request as it is drawn.
struct Drawn {
    id: u64,
    effect: Effect,
    left: Duration,
    bytes: Vec<u8>,
}

/// The bytes of a request. The body of its answer is its id.
pub fn request(effect: Effect, shard: u32, id: u64, left: Duration) -> Vec<u8> {
    let (id, left) = (format!("{id:016x}"), left.as_millis().to_string());
    let placement = format!("units=1,shard={shard},hosts=1");
    let fields: [(&str, &[u8]); 4] = [
        ("X-Correlation-Id", id.as_bytes()),
        ("X-Qos-Policy", b"basic"),
        ("X-Time-Left-Ms", left.as_bytes()),
        ("X-Placement", placement.as_bytes()),
    ];
    let (method, name, body): (_, _, &[u8]) = match effect {
        Effect::Free => ("GET", "look", b""),
        Effect::Once => ("PUT", "order", b"data"),
    };
    client::request(method, &format!("/{name}/00000000000000aa/{id}"), "origin", &fields, body).to_vec()
}

impl Client {
    /// Asks until the soak is over.
    pub async fn run(self) {
        let mut draw = StdRng::seed_from_u64(self.seed);
        let mut kept = None;
        while !*self.over.borrow() {
            sleep(Duration::from_millis(draw.random_range(0..THINKS))).await;
            let connection = match kept.take() {
                Some(connection) => connection,
                None => match self.connect().await {
                    Ok(connection) => connection,
                    Err(_) => continue,
                },
            };
            let request = self.draw(&mut draw);
            if draw.random_ratio(1, STOPS) {
                self.stop(connection, &request.bytes, &mut draw).await;
            } else {
                kept = self.ask(connection, request, &mut draw).await;
            }
        }
    }

    async fn connect(&self) -> io::Result<Kept> {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        Ok(Kept { stream, answers: ResponseReader::new(LIMITS), requests: 0 })
    }

    fn draw(&self, draw: &mut StdRng) -> Drawn {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let effect = if draw.random() { Effect::Free } else { Effect::Once };
        let longest = self.deadline.load(Ordering::Relaxed);
        let longest = match effect {
            Effect::Free => longest,
            Effect::Once => longest.min(LONGEST_ONCE.as_millis() as u64),
        };
        // A repeat by its client has less of its time left.
        let is_repeat = draw.random_ratio(1, REPEATS);
        let left = if is_repeat { draw.random_range(LEAST_LEFT..longest) } else { longest };
        let left = Duration::from_millis(left);
        let bytes = request(effect, draw.random_range(0..SHARDS), id, left);
        Drawn { id, effect, left, bytes }
    }

    /// Sends part of a request, and sees when it gets a word or a close.
    async fn stop(&self, mut kept: Kept, bytes: &[u8], draw: &mut StdRng) {
        let part = draw.random_range(1..bytes.len());
        if kept.stream.write_all(&bytes[..part]).await.is_err() {
            return;
        }
        let stopped = self.book.now();
        let word = timeout(STAYS, kept.stream.read(&mut [0; 512])).await;
        let ended = word.is_ok().then(|| self.book.now());
        // Cut short by the end of the soak, it says nothing.
        if ended.is_some() || !*self.over.borrow() {
            self.book.write(|record| {
                record.stopped.push(Stopped { gateway: self.gateway, stopped, ended });
            });
        }
    }

    /// Sends a request whole and waits for its end. The connection, if it can be used again.
    async fn ask(&self, mut kept: Kept, request: Drawn, draw: &mut StdRng) -> Option<Kept> {
        let first_byte = self.book.now();
        let halves = request.bytes.split_at(draw.random_range(0..request.bytes.len()));
        kept.stream.write_all(halves.0).await.ok()?;
        if draw.random_ratio(1, 4) {
            sleep(Duration::from_millis(draw.random_range(1..20))).await;
        }
        kept.stream.write_all(halves.1).await.ok()?;
        let last_byte = self.book.now();
        let fresh = kept.requests == 0;
        let patience = if draw.random_ratio(1, CANCELS) {
            Duration::from_millis(draw.random_range(0..100))
        } else {
            request.left + PATIENCE
        };
        let cancels = patience < PATIENCE;
        let answer = timeout(patience, answer(&mut kept)).await;
        let ended = self.book.now();
        let (end, again) = match answer {
            Ok(Some(answer)) => {
                let own = answer.body == format!("{:016x}", request.id).as_bytes();
                let end = End::Answered { status: answer.head.status, own };
                (end, answer.head.persists)
            }
            Ok(None) => (End::Closed, false),
            Err(_) if cancels => (End::Cancelled, false),
            Err(_) => (End::Silent, false),
        };
        let Drawn { id, effect, left, .. } = request;
        let seen =
            Request { gateway: self.gateway, id, effect, left, first_byte, last_byte, fresh, end, ended };
        self.book.write(|record| record.requests.push(seen));
        kept.requests += 1;
        again.then_some(kept)
    }
}

/// The next whole answer; nothing once the connection has ended.
async fn answer(kept: &mut Kept) -> Option<Response> {
    loop {
        if let Some(answer) = kept.answers.response().ok()? {
            return Some(answer);
        }
        if !matches!(kept.stream.read_buf(&mut kept.answers.bytes).await, Ok(1..)) {
            return None;
        }
    }
}
