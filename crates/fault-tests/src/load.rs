//! Clients: each draws its requests from a seed, marks what it writes, and records what became of them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::sync::watch;
use umbertray_fakes::book::Book;
use umbertray_fakes::client::{Connection, Ended, Whole};
use umbertray_nbd::{Command, Errno};

use crate::day::Load;
use crate::record::{Asked, Kind, Outcome, Record};

/// Size of a block, bytes.
pub const BLOCK: u32 = 4096;

/// What the day does to clients at the moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Weather {
    /// Requests come so many times as often, by volume.
    pub rate: Vec<f64>,
    /// All requests of the volume go to one block; or through the whole volume, reading.
    pub hot: Vec<bool>,
    /// Requests read through the whole volume, by volume.
    pub scan: Vec<bool>,
    /// Counts the moments at which a part of the clients drop their connections.
    pub drops: u64,
    /// The part of the clients that drop their connections.
    pub drop_part: f64,
    /// The scenario is over.
    pub over: bool,
}

impl Weather {
    /// Nothing is done to clients.
    pub fn fair(volumes: usize) -> Weather {
        let (rate, no) = (vec![1.0; volumes], vec![false; volumes]);
        Weather { rate, hot: no.clone(), scan: no, drops: 0, drop_part: 0.0, over: false }
    }
}

/// What all clients share.
pub struct Shared {
    /// The record of the stores, and the clock.
    pub book: Book,
    /// What is done to clients now.
    pub weather: watch::Receiver<Weather>,
    /// What is recorded.
    pub record: Mutex<Record>,
    /// The next mark of a write.
    pub marks: AtomicU64,
    /// Where each gateway listens now.
    pub gateways: Mutex<Vec<SocketAddr>>,
    /// How long a client waits for an answer before it records that none came.
    pub patience: Duration,
}

/// One client.
pub struct Client {
    /// Its number.
    pub number: u32,
    /// Index of its gateway.
    pub gateway: usize,
    /// What it asks for.
    pub load: Load,
    /// Name of its volume.
    pub volume_name: String,
    /// Size of its volume, bytes.
    pub volume_bytes: u64,
    /// Seed of what it draws.
    pub seed: u64,
    /// What all clients share.
    pub shared: Arc<Shared>,
}

/// The content of a block that a write of this mark leaves: the mark, then bytes that follow from it.
pub fn content(mark: u64, block: u64) -> [u8; BLOCK as usize] {
    let mut bytes = [0; BLOCK as usize];
    for (i, chunk) in bytes.chunks_exact_mut(8).enumerate() {
        let word = if i == 0 { mark } else { (mark ^ block).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ i as u64 };
        chunk.copy_from_slice(&word.to_be_bytes());
    }
    bytes
}

/// The mark of a block's content; nothing where it is no write's.
pub fn mark(bytes: &[u8], block: u64) -> Option<u64> {
    let mark = u64::from_be_bytes(*bytes.first_chunk()?);
    let whole = if mark == 0 { bytes.iter().all(|byte| *byte == 0) } else { bytes == content(mark, block) };
    whole.then_some(mark)
}

impl Client {
    /// Asks until the day is over, from `depth` places at once, over one connection at a time.
    pub async fn run(self) {
        let mut weather = self.shared.weather.clone();
        let client = Arc::new(self);
        let mut round = 0;
        while !weather.borrow().over {
            round += 1;
            let address = client.shared.gateways.lock().map(|all| all[client.gateway]).ok();
            let Some(address) = address else { return };
            // Half the clients take structured replies.
            let structured = client.number.is_multiple_of(2);
            let opening = Connection::open(address, &client.volume_name, structured);
            let Ok(Ok(connection)) = tokio::time::timeout(Duration::from_secs(2), opening).await else {
                // A gateway that is down is tried again soon.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let connection = Arc::new(connection);
            let mut workers = tokio::task::JoinSet::new();
            for place in 0..client.load.depth {
                let seed = client.seed ^ (round << 40) ^ (u64::from(place) << 20);
                workers.spawn(client.clone().work(connection.clone(), seed));
            }
            let drops = weather.borrow().drops;
            let mut draw = StdRng::seed_from_u64(client.seed ^ drops);
            let dropped = async {
                while weather.wait_for(|now| now.over || now.drops > drops).await.is_ok_and(|now| !now.over) {
                    if draw.random_bool(weather.borrow().drop_part) {
                        return;
                    }
                }
                std::future::pending::<()>().await;
            };
            tokio::select! {
                () = dropped => {}
                _ = async { while workers.join_next().await.is_some() {} } => {}
            }
            // The connection goes with its last holder: those still waiting learn that it ended.
            connection.cut();
            while workers.join_next().await.is_some() {}
            if let Ok(mut record) = client.shared.record.lock() {
                record.strays.extend(connection.strays());
            }
        }
    }

    async fn work(self: Arc<Client>, connection: Arc<Connection>, seed: u64) {
        let mut draw = StdRng::seed_from_u64(seed);
        let mut scanned = 0;
        loop {
            let weather = self.shared.weather.borrow().clone();
            if weather.over {
                return;
            }
            let rate = self.load.rate * weather.rate[self.load.volume] / f64::from(self.load.depth);
            let pause = Exp::new(rate).map_or(1.0, |pauses| pauses.sample(&mut draw));
            tokio::time::sleep(Duration::from_secs_f64(pause.min(1.0))).await;
            let (kind, block, blocks) = self.draw(&mut draw, &weather, &mut scanned);
            if !self.ask(&connection, kind, block, blocks).await {
                return;
            }
        }
    }

    fn draw(&self, draw: &mut StdRng, weather: &Weather, scanned: &mut u64) -> (Kind, u64, u32) {
        let most = (self.load.length / BLOCK).max(1);
        let all = self.volume_bytes / u64::from(BLOCK);
        if weather.scan[self.load.volume] {
            *scanned += u64::from(most);
            return (Kind::Read, (*scanned + u64::from(self.number) * 997) % (all - u64::from(most)), most);
        }
        let chance: f64 = draw.random();
        let kind = match chance {
            c if c < self.load.reads => Kind::Read,
            c if c < self.load.reads + self.load.flushes => Kind::Flush,
            _ => Kind::Write,
        };
        if kind == Kind::Flush {
            return (kind, 0, 0);
        }
        if weather.hot[self.load.volume] {
            return (kind, 0, 1);
        }
        let blocks = draw.random_range(1..=most);
        // Spread over the volume, so that the blocks lie in several extents.
        let choice = u64::from(draw.random_range(0..self.load.blocks));
        let step = (all / u64::from(self.load.blocks)).max(1);
        (kind, (choice * step).min(all - u64::from(blocks)), blocks)
    }

    /// Asks once and records it; false where the connection has ended.
    async fn ask(&self, connection: &Connection, kind: Kind, block: u64, blocks: u32) -> bool {
        let (offset, length) = (block * u64::from(BLOCK), blocks * BLOCK);
        let mark = if kind == Kind::Write { self.shared.marks.fetch_add(1, Ordering::Relaxed) } else { 0 };
        let mut data = BytesMut::new();
        if kind == Kind::Write {
            (block..block + u64::from(blocks)).for_each(|block| data.put_slice(&content(mark, block)));
        }
        let command = match kind {
            Kind::Read => Command::Read,
            Kind::Write => Command::Write,
            Kind::Flush => Command::Flush,
        };
        let sent = self.shared.book.now();
        let reply = connection.send(command, 0, offset, length, data.freeze());
        let ended: Result<Ended, _> =
            tokio::time::timeout(self.shared.patience, async { reply.await.ok().flatten() }).await;
        let now = self.shared.book.now();
        let (outcome, found) = match &ended {
            Err(_) => (Outcome::Silent, Vec::new()),
            Ok(None) => (Outcome::Lost, Vec::new()),
            Ok(Some(whole)) => read(whole, kind, block, blocks),
        };
        let asked = Asked {
            client: self.number,
            gateway: self.gateway,
            volume: self.load.volume,
            kind,
            offset,
            length,
            mark,
            sent,
            ended: now,
            outcome,
            found,
        };
        if let Ok(mut record) = self.shared.record.lock() {
            record.asked.push(asked);
        }
        !matches!(outcome, Outcome::Lost | Outcome::Silent)
    }
}

fn read(whole: &Whole, kind: Kind, block: u64, blocks: u32) -> (Outcome, Vec<Option<u64>>) {
    let outcome = match &whole.error {
        None => Outcome::Acked,
        Some((Errno::NoMem, _)) => Outcome::Throttled,
        Some((Errno::Shutdown, _)) => Outcome::Shutdown,
        Some(_) => Outcome::Aborted,
    };
    if kind != Kind::Read || outcome != Outcome::Acked {
        return (outcome, Vec::new());
    }
    // A reply that does not cover its range has nothing to be found in.
    let bytes: Bytes = whole.bytes(block * u64::from(BLOCK), blocks * BLOCK).unwrap_or_default().into();
    let found = (0..blocks).map(|i| {
        let at = (i * BLOCK) as usize;
        mark(bytes.get(at..at + BLOCK as usize)?, block + u64::from(i))
    });
    (outcome, found.collect())
}
