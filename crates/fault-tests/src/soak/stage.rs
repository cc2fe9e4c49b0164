//! Playing a plan: processes, proxies, stores, discovery and clients, and the faults at their times.

mod endings;

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::sync::{Mutex as AsyncMutex, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use umbertray_fakes::platform::{Act, Discovery, Store, ok};
use umbertray_fakes::proxy::{LinkFault, Proxy, Tap};
use umbertray_fakes::shim::{self, CallFaults};
use umbertray_http::server::Request as StoreRequest;

use crate::soak::client::{Client, request};
use crate::soak::plan::{Fault, Link, Plan, Planned, SHARDS, STORES_A_SHARD};
use crate::soak::process::{Process, deadline};
use crate::soak::record::{Arrival, Attempt, Book, Disturbance, Drained, Effect, Record, Window};

const CLIENTS_A_GATEWAY: u64 = 4;
/// How often calls fail, in a thousand, where the plan asks for it.
const CALL_FAULTS: CallFaults = CallFaults {
    seed: 0,
    interrupted: 15,
    short_reads: 80,
    short_writes: 80,
    transient: 15,
    sync_delay_ms: 0,
    sync_every: 0,
};
/// A process may be stopped for so long without a rule being touched.
const HOLD_UP: Duration = Duration::from_millis(150);
/// Beyond that it disturbs its clients for so long after it goes on.
const CATCH_UP: Duration = Duration::from_millis(300);
/// This test's own clock ticks so often.
const TICK: Duration = Duration::from_millis(5);
/// How long a store works on a request.
const WORK: Duration = Duration::from_millis(3);
/// How long a gateway has to be ready, and to serve once all faults are over.
const READY: Duration = Duration::from_secs(10);
/// The list says for so long that a store is gone.
const GONE: Duration = Duration::from_millis(500);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// What a store does with what it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Serves = 0,
    Hangs = 1,
    Fails = 2,
    TurnsAway = 3,
    Closes = 4,
}

impl Mode {
    fn of(number: u8) -> Mode {
        [Mode::Serves, Mode::Hangs, Mode::Fails, Mode::TurnsAway, Mode::Closes][number as usize % 5]
    }
}

struct StoreEnd {
    uid: String,
    shard: u32,
    mode: Arc<AtomicU8>,
    /// Kept for its task.
    store: Store,
}

struct GatewayEnd {
    number: u32,
    process: AsyncMutex<Process>,
    /// The longest deadline of its configuration, in milliseconds.
    deadline: Arc<AtomicU64>,
    /// The one before, and when it was replaced.
    former_deadline: Mutex<(Duration, Duration)>,
    discovery: Discovery,
    clients: Proxy,
    to_discovery: Proxy,
    to_stores: Vec<Proxy>,
}

struct Stage {
    program: std::path::PathBuf,
    folder: std::path::PathBuf,
    book: Arc<Book>,
    /// The library that makes system calls fail, where the plan asks for it.
    shim: Option<std::path::PathBuf>,
    stores: Vec<StoreEnd>,
    gateways: Vec<GatewayEnd>,
    ids: Arc<AtomicU64>,
    /// Stores whose list entry is being changed.
    draining: Mutex<HashSet<u32>>,
}

/// Plays a plan with this program; configurations and logs go to the folder.
///
/// # Errors
/// A process does not start, or the shim cannot be built.
pub async fn run(plan: &Plan, program: &Path, folder: &Path) -> io::Result<Record> {
    let book = Arc::new(Book::open());
    let stage = Arc::new(Stage::set(plan, program, folder, book.clone()).await?);
    for gateway in &stage.gateways {
        stage.ready(gateway).await?;
    }
    let (ending, over) = watch::channel(false);
    let watchdog = tokio::spawn(watch_own_clock(book.clone(), over.clone()));
    let mut clients = stage.clients(plan.seed, &over);
    let began = Instant::now();
    let mut faults = JoinSet::new();
    for planned in plan.faults.clone() {
        let stage = stage.clone();
        faults.spawn(async move {
            sleep_until((began + planned.at).into()).await;
            stage.play(planned).await;
        });
    }
    sleep_until((began + plan.lasts).into()).await;
    while faults.join_next().await.is_some() {}
    each(&stage, Stage::serves).await;
    ending.send_replace(true);
    while clients.join_next().await.is_some() {}
    each(&stage, Stage::end).await;
    _ = watchdog.await;
    Ok(book.read())
}

/// Does something with all gateways at once.
async fn each(stage: &Arc<Stage>, act: impl AsyncFn(&Stage, &GatewayEnd) + Copy) {
    let all = stage.gateways.iter().map(|end| act(stage, end));
    let mut all: Vec<_> = all.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        all.retain_mut(|one| one.as_mut().poll(context).is_pending());
        if all.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}

/// Writes down when this test itself was held up.
async fn watch_own_clock(book: Arc<Book>, over: watch::Receiver<bool>) {
    let mut last = book.now();
    while !*over.borrow() {
        sleep(TICK).await;
        let now = book.now();
        let late = now.saturating_sub(last + TICK);
        if late > TICK {
            book.write(|record| record.stalls.push((now, late)));
        }
        last = now;
    }
}

/// The value of a field in the head of a request, as text.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = head.split_once(name)?;
    rest.split("\r\n").next().map(|value| value.trim_start_matches(':').trim())
}

/// Notes each attempt as its head leaves a gateway; a head comes in one piece.
fn attempts(book: Arc<Book>, gateway: u32, store: u32) -> Tap {
    Arc::new(move |bytes| {
        let at = book.now();
        let text = String::from_utf8_lossy(bytes);
        let id = field(&text, "X-Correlation-Id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let told = field(&text, "X-Time-Left-Ms").and_then(|told| told.parse().ok());
        if let Some((id, told)) = id.zip(told) {
            let told = Duration::from_millis(told);
            book.write(|record| record.attempts.push(Attempt { gateway, store, id, at, told }));
        }
    })
}

async fn store(book: Arc<Book>, number: u32) -> io::Result<StoreEnd> {
    let mode = Arc::new(AtomicU8::new(Mode::Serves as u8));
    let own = mode.clone();
    let act = move |_: usize, request: &StoreRequest| {
        let id = request.headers.one("X-Correlation-Id").ok().flatten().unwrap_or_default();
        let id = String::from_utf8_lossy(id).into_owned();
        let mode = Mode::of(own.load(Ordering::Relaxed));
        let at = book.now();
        let ran = mode != Mode::TurnsAway;
        if let Ok(id) = u64::from_str_radix(&id, 16) {
            book.write(|record| record.arrivals.push(Arrival { store: number, id, at, ran }));
        }
        match mode {
            Mode::Serves => Act::WriteAfter(WORK, ok(&id)),
            Mode::Hangs => Act::Hold,
            Mode::Fails => Act::Write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_vec()),
            Mode::TurnsAway => {
                Act::Write(b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_vec())
            }
            Mode::Closes => Act::Close,
        }
    };
    let shard = number / STORES_A_SHARD;
    Ok(StoreEnd { uid: format!("s-{number:08x}"), shard, mode, store: Store::start(act).await? })
}

impl Stage {
    async fn set(plan: &Plan, program: &Path, folder: &Path, book: Arc<Book>) -> io::Result<Stage> {
        let mut stage = Stage {
            program: program.into(),
            folder: folder.into(),
            book,
            shim: plan.failing_calls.then(|| shim::build(folder)).transpose()?,
            stores: Vec::new(),
            gateways: Vec::new(),
            ids: Arc::new(AtomicU64::new(1 << 32)),
            draining: Mutex::default(),
        };
        for number in 0..SHARDS * STORES_A_SHARD {
            stage.stores.push(store(stage.book.clone(), number).await?);
        }
        for number in 0..plan.gateways {
            let gateway = stage.gateway(number).await?;
            stage.gateways.push(gateway);
        }
        Ok(stage)
    }

    async fn gateway(&self, number: u32) -> io::Result<GatewayEnd> {
        let discovery = Discovery::start().await?;
        let mut to_stores = Vec::new();
        for (place, end) in self.stores.iter().enumerate() {
            let tap = attempts(self.book.clone(), number, place as u32);
            let proxy = Proxy::start(Some(end.store.address), Some(tap)).await?;
            discovery.list(&end.uid, proxy.address, end.shard, "ready");
            to_stores.push(proxy);
        }
        let to_discovery = Proxy::start(Some(discovery.address), None).await?;
        let process = self.start(number, any_port(), to_discovery.address).await?;
        let clients = Proxy::start(Some(process.address), None).await?;
        let process = AsyncMutex::new(process);
        let deadline = Arc::new(AtomicU64::new(deadline(number).as_millis() as u64));
        let former_deadline = Mutex::default();
        Ok(GatewayEnd {
            number,
            process,
            deadline,
            former_deadline,
            discovery,
            clients,
            to_discovery,
            to_stores,
        })
    }

    async fn start(&self, number: u32, listen: SocketAddr, discovery: SocketAddr) -> io::Result<Process> {
        Process::start(
            &self.program,
            &self.folder,
            &format!("g{number}"),
            (listen, discovery),
            number,
            &self.environment(number),
        )
        .await
    }

    fn environment(&self, gateway: u32) -> Vec<(&'static str, String)> {
        let faults = CallFaults { seed: gateway, ..CALL_FAULTS };
        self.shim.as_ref().map(|shim| faults.environment(shim).to_vec()).unwrap_or_default()
    }

    fn clients(&self, seed: u64, over: &watch::Receiver<bool>) -> JoinSet<()> {
        let mut clients = JoinSet::new();
        for gateway in &self.gateways {
            for place in 0..CLIENTS_A_GATEWAY {
                let client = Client {
                    gateway: gateway.number,
                    address: gateway.clients.address,
                    book: self.book.clone(),
                    deadline: gateway.deadline.clone(),
                    ids: self.ids.clone(),
                    over: over.clone(),
                    seed: seed ^ (u64::from(gateway.number) << 32 | (place + 1)),
                };
                clients.spawn(client.run());
            }
        }
        clients
    }

    /// Writes down a disturbance that began then and is over now.
    fn disturbed(&self, gateway: u32, disturbance: Disturbance, from: Duration) {
        let to = self.book.now();
        self.book.write(|record| record.windows.push(Window { gateway, disturbance, from, to }));
    }

    async fn play(&self, Planned { lasts, fault, .. }: Planned) {
        match fault {
            Fault::Link { gateway, link, fault } => self.disturb_link(gateway, link, fault, lasts).await,
            Fault::Stop { gateway } => self.stop(gateway, lasts).await,
            Fault::Restart { gateway, ending } => self.restart(gateway, ending).await,
            Fault::Kill { gateway } => self.kill(gateway).await,
            Fault::Crowd { gateway } => self.crowd(gateway, lasts).await,
            Fault::Configure { gateway, number } => self.configure(gateway, number).await,
            Fault::StoreHangs { store } => self.store_is(store, Mode::Hangs, lasts).await,
            Fault::StoreFails { store, unrun } => {
                self.store_is(store, if unrun { Mode::TurnsAway } else { Mode::Fails }, lasts).await;
            }
            Fault::StoreCloses { store } => self.store_is(store, Mode::Closes, lasts).await,
            Fault::StoreDrains { store } => self.drain(store, lasts).await,
        }
    }

    async fn disturb_link(&self, gateway: u32, link: Link, fault: LinkFault, lasts: Duration) {
        let end = &self.gateways[gateway as usize];
        let (proxy, disturbance) = match link {
            Link::Clients => (&end.clients, Some(Disturbance::Clients)),
            Link::Discovery => (&end.to_discovery, Some(Disturbance::Discovery)),
            Link::Store(store) => (&end.to_stores[store as usize], None),
        };
        let from = self.book.now();
        proxy.fault(fault);
        sleep(lasts).await;
        proxy.fault(LinkFault::None);
        if let Some(disturbance) = disturbance {
            self.disturbed(gateway, disturbance, from);
        }
    }

    async fn stop(&self, gateway: u32, lasts: Duration) {
        let end = &self.gateways[gateway as usize];
        let process = end.process.lock().await;
        let from = self.book.now();
        process.signal(Signal::SIGSTOP);
        sleep(lasts).await;
        process.signal(Signal::SIGCONT);
        let stopped = self.book.now().saturating_sub(from);
        // Two stops in a row are one that is longer than a gateway allows for.
        sleep(CATCH_UP).await;
        drop(process);
        if stopped > HOLD_UP {
            self.disturbed(gateway, Disturbance::Clients, from);
        }
    }

    async fn store_is(&self, store: u32, mode: Mode, lasts: Duration) {
        let own = &self.stores[store as usize].mode;
        own.store(mode as u8, Ordering::Relaxed);
        sleep(lasts).await;
        own.store(Mode::Serves as u8, Ordering::Relaxed);
    }

    /// Draining, then gone for a while, then ready.
    async fn drain(&self, store: u32, lasts: Duration) {
        let begins = self.draining.lock().is_ok_and(|mut draining| draining.insert(store));
        if !begins {
            return;
        }
        let from = self.book.now();
        self.list(store, "draining");
        sleep(lasts).await;
        self.list(store, "gone");
        sleep(GONE).await;
        let to = self.book.now();
        self.list(store, "ready");
        self.book.write(|record| record.drains.push(Drained { store, from, to }));
        if let Ok(mut draining) = self.draining.lock() {
            draining.remove(&store);
        }
    }

    fn list(&self, store: u32, state: &str) {
        let end = &self.stores[store as usize];
        for gateway in &self.gateways {
            let address = gateway.to_stores[store as usize].address;
            gateway.discovery.list(&end.uid, address, end.shard, state);
        }
    }

    fn crash(&self, what: String) {
        self.book.write(|record| record.crashes.push(what));
    }

    fn complain(&self, process: &Process) {
        process.complaints().into_iter().for_each(|complaint| self.crash(complaint));
    }

    /// Returns once a gateway says that it is ready.
    async fn ready(&self, end: &GatewayEnd) -> io::Result<()> {
        let served = async {
            while !self
                .answers(end, b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await
            {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(READY, served).await.map_err(io::Error::from)
    }

    /// Notes a gateway that serves nothing, once all faults are over.
    async fn serves(&self, end: &GatewayEnd) {
        let served = async {
            loop {
                let id = self.ids.fetch_add(1, Ordering::Relaxed);
                let left = Duration::from_millis(end.deadline.load(Ordering::Relaxed));
                if self.answers(end, &request(Effect::Free, 0, id, left)).await {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(READY, served).await.is_err() {
            self.book.write(|record| record.unserving.push(end.number));
        }
    }

    /// Whether a request on a connection of its own has status 200.
    async fn answers(&self, end: &GatewayEnd, bytes: &[u8]) -> bool {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let Ok(mut stream) = tokio::net::TcpStream::connect(end.clients.address).await else { return false };
        if stream.write_all(bytes).await.is_err() {
            return false;
        }
        let mut head = [0; 12];
        let read = timeout(Duration::from_secs(3), stream.read_exact(&mut head)).await;
        matches!(read, Ok(Ok(_))) && &head == b"HTTP/1.1 200"
    }
}
