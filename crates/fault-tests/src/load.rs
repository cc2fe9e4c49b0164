//! Clients of a scenario. Each draws its requests from a seed, marks the data that it writes, and records how
//! each request ended.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::sync::watch;
use umbertray_fakes::client::{CompleteReply, Connection, RequestOutcome};
use umbertray_fakes::event_log::EventLog;
use umbertray_nbd::{Command, Errno};

use crate::record::{Asked, Outcome, Record, RequestKind};
use crate::script::ClientLoad;

/// Size of a block in bytes.
pub const BLOCK_BYTES: u32 = 4096;

/// Faults that affect clients at present.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientFaults {
    /// Factor of the request rate, by volume.
    pub rate_factors: Vec<f64>,
    /// Whether all requests go to the first block, by volume.
    pub hot_key: Vec<bool>,
    /// Whether all requests read sequentially through the volume, by volume.
    pub scan: Vec<bool>,
    /// Number of disconnect faults so far; each makes clients drop their connections.
    pub disconnects: u64,
    /// Fraction of the clients that drop their connections.
    pub disconnect_fraction: f64,
    /// Whether the scenario has finished.
    pub finished: bool,
}

impl ClientFaults {
    /// No faults, for this number of volumes.
    pub fn none(volumes: usize) -> ClientFaults {
        ClientFaults {
            rate_factors: vec![1.0; volumes],
            hot_key: vec![false; volumes],
            scan: vec![false; volumes],
            disconnects: 0,
            disconnect_fraction: 0.0,
            finished: false,
        }
    }
}

/// State shared by all clients.
pub struct ClientContext {
    /// Record of the stores, which is also the clock of the test.
    pub store_record: EventLog,
    /// Faults that affect clients at present.
    pub faults: watch::Receiver<ClientFaults>,
    /// Record that the judge reads.
    pub record: Mutex<Record>,
    /// Mark of the next write.
    pub next_mark: AtomicU64,
    /// Current address of each gateway.
    pub gateway_addresses: Mutex<Vec<SocketAddr>>,
    /// Time that a client waits for a response before it records that there was none.
    pub response_timeout: Duration,
}

/// A client.
pub struct Client {
    /// Number of the client.
    pub number: u32,
    /// Index of its gateway.
    pub gateway: usize,
    /// Load that it generates.
    pub load: ClientLoad,
    /// Name of its volume.
    pub volume_name: String,
    /// Size of its volume in bytes.
    pub volume_bytes: u64,
    /// Seed of its random draws.
    pub seed: u64,
    /// State shared by all clients.
    pub context: Arc<ClientContext>,
}

/// Content of a block after a write with this mark: the mark, followed by words derived from the mark and the
/// block.
pub fn block_content(mark: u64, block: u64) -> [u8; BLOCK_BYTES as usize] {
    let mut bytes = [0; BLOCK_BYTES as usize];
    for (i, chunk) in bytes.chunks_exact_mut(8).enumerate() {
        let word = if i == 0 { mark } else { (mark ^ block).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ i as u64 };
        chunk.copy_from_slice(&word.to_be_bytes());
    }
    bytes
}

/// Mark of the write that left this content in a block, 0 for zeros. `None` if no single write can have left
/// it.
pub fn block_mark(bytes: &[u8], block: u64) -> Option<u64> {
    let mark = u64::from_be_bytes(*bytes.first_chunk()?);
    let is_complete =
        if mark == 0 { bytes.iter().all(|byte| *byte == 0) } else { bytes == block_content(mark, block) };
    is_complete.then_some(mark)
}

impl Client {
    /// Sends requests until the scenario has finished, with `depth` concurrent workers over one connection at
    /// a time.
    pub async fn run(self) {
        let mut faults = self.context.faults.clone();
        let client = Arc::new(self);
        let mut round = 0;
        while !faults.borrow().finished {
            round += 1;
            let address = client.context.gateway_addresses.lock().map(|all| all[client.gateway]).ok();
            let Some(address) = address else { return };
            // Half of the clients negotiate structured replies.
            let structured = client.number.is_multiple_of(2);
            let opening = Connection::open(address, &client.volume_name, structured);
            let Ok(Ok(connection)) = tokio::time::timeout(Duration::from_secs(2), opening).await else {
                // The gateway may be down: retry soon.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let connection = Arc::new(connection);
            let mut workers = tokio::task::JoinSet::new();
            for worker in 0..client.load.depth {
                let seed = client.seed ^ (round << 40) ^ (u64::from(worker) << 20);
                workers.spawn(client.clone().run_worker(connection.clone(), seed));
            }
            let disconnects = faults.borrow().disconnects;
            let mut rng = StdRng::seed_from_u64(client.seed ^ disconnects);
            let dropped = async {
                while faults
                    .wait_for(|now| now.finished || now.disconnects > disconnects)
                    .await
                    .is_ok_and(|now| !now.finished)
                {
                    if rng.random_bool(faults.borrow().disconnect_fraction) {
                        return;
                    }
                }
                std::future::pending::<()>().await;
            };
            tokio::select! {
                () = dropped => {}
                _ = async { while workers.join_next().await.is_some() {} } => {}
            }
            // Workers still hold the connection; cutting it ends their pending requests.
            connection.abort();
            while workers.join_next().await.is_some() {}
            if let Ok(mut record) = client.context.record.lock() {
                record.unmatched_replies.extend(connection.unmatched_replies());
            }
        }
    }

    async fn run_worker(self: Arc<Client>, connection: Arc<Connection>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut scanned = 0;
        loop {
            let faults = self.context.faults.borrow().clone();
            if faults.finished {
                return;
            }
            let rate = self.load.rate * faults.rate_factors[self.load.volume] / f64::from(self.load.depth);
            let pause = Exp::new(rate).map_or(1.0, |pauses| pauses.sample(&mut rng));
            tokio::time::sleep(Duration::from_secs_f64(pause.min(1.0))).await;
            let (kind, block, blocks) = self.draw_request(&mut rng, &faults, &mut scanned);
            if !self.send_request(&connection, kind, block, blocks).await {
                return;
            }
        }
    }

    fn draw_request(
        &self,
        rng: &mut StdRng,
        faults: &ClientFaults,
        scanned: &mut u64,
    ) -> (RequestKind, u64, u32) {
        let max_blocks = (self.load.max_length / BLOCK_BYTES).max(1);
        let volume_blocks = self.volume_bytes / u64::from(BLOCK_BYTES);
        if faults.scan[self.load.volume] {
            *scanned += u64::from(max_blocks);
            // Clients start at different blocks.
            let position = *scanned + u64::from(self.number) * 997;
            return (RequestKind::Read, position % (volume_blocks - u64::from(max_blocks)), max_blocks);
        }
        let chance: f64 = rng.random();
        let kind = match chance {
            c if c < self.load.read_fraction => RequestKind::Read,
            c if c < self.load.read_fraction + self.load.flush_fraction => RequestKind::Flush,
            _ => RequestKind::Write,
        };
        if kind == RequestKind::Flush {
            return (kind, 0, 0);
        }
        if faults.hot_key[self.load.volume] {
            return (kind, 0, 1);
        }
        let blocks = rng.random_range(1..=max_blocks);
        // The blocks are spread over the volume, so that they lie in several extents.
        let choice = u64::from(rng.random_range(0..self.load.block_count));
        let step = (volume_blocks / u64::from(self.load.block_count)).max(1);
        (kind, (choice * step).min(volume_blocks - u64::from(blocks)), blocks)
    }

    /// Sends one request and records how it ended. Returns false if the connection has ended or there was no
    /// response.
    async fn send_request(
        &self,
        connection: &Connection,
        kind: RequestKind,
        block: u64,
        blocks: u32,
    ) -> bool {
        let (offset, length) = (block * u64::from(BLOCK_BYTES), blocks * BLOCK_BYTES);
        let mark = if kind == RequestKind::Write {
            self.context.next_mark.fetch_add(1, Ordering::Relaxed)
        } else {
            0
        };
        let mut data = BytesMut::new();
        if kind == RequestKind::Write {
            (block..block + u64::from(blocks)).for_each(|block| data.put_slice(&block_content(mark, block)));
        }
        let command = match kind {
            RequestKind::Read => Command::Read,
            RequestKind::Write => Command::Write,
            RequestKind::Flush => Command::Flush,
        };
        let sent = self.context.store_record.now();
        let reply = connection.send(command, 0, offset, length, data.freeze());
        let ended: Result<RequestOutcome, _> =
            tokio::time::timeout(self.context.response_timeout, async { reply.await.ok().flatten() }).await;
        let now = self.context.store_record.now();
        let (outcome, found) = match &ended {
            Err(_) => (Outcome::Silent, Vec::new()),
            Ok(None) => (Outcome::Lost, Vec::new()),
            Ok(Some(reply)) => outcome_of(reply, kind, block, blocks),
        };
        let request = Asked {
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
        if let Ok(mut record) = self.context.record.lock() {
            record.client_requests.push(request);
        }
        !matches!(outcome, Outcome::Lost | Outcome::Silent)
    }
}

/// Outcome of a request, and the marks that an acked read found in its blocks.
fn outcome_of(
    reply: &CompleteReply,
    kind: RequestKind,
    block: u64,
    blocks: u32,
) -> (Outcome, Vec<Option<u64>>) {
    let outcome = match &reply.error {
        None => Outcome::Acked,
        Some((Errno::NoMem, _)) => Outcome::Throttled,
        Some((Errno::Shutdown, _)) => Outcome::Shutdown,
        Some(_) => Outcome::Aborted,
    };
    if kind != RequestKind::Read || outcome != Outcome::Acked {
        return (outcome, Vec::new());
    }
    // If the reply does not cover the requested range, all its blocks count as torn.
    let bytes: Bytes =
        reply.bytes(block * u64::from(BLOCK_BYTES), blocks * BLOCK_BYTES).unwrap_or_default().into();
    let found = (0..blocks).map(|i| {
        let at = (i * BLOCK_BYTES) as usize;
        block_mark(bytes.get(at..at + BLOCK_BYTES as usize)?, block + u64::from(i))
    });
    (outcome, found.collect())
}
