//! Runs a plan: starts processes, proxies, stores, discovery and clients, and injects each fault at its time.

mod terminations;

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
use umbertray_fakes::fleet::any_port;
use umbertray_fakes::platform::{Discovery, Store, StoreAction, ok};
use umbertray_fakes::proxy::{LinkFault, Proxy, Tap};
use umbertray_fakes::shim::{self, CallFaults};
use umbertray_http::server::Request as StoreRequest;

use crate::soak::client::{Client, request};
use crate::soak::plan::{Fault, Link, Plan, PlannedFault, SHARDS, STORES_PER_SHARD};
use crate::soak::process::{Process, longest_deadline};
use crate::soak::record::{
    Arrival, Attempt, Disturbance, DisturbanceWindow, Effect, Record, SharedRecord, StoreDrain,
};

const CLIENTS_PER_GATEWAY: u64 = 4;
/// How often system calls fail, per thousand, when the plan has failing calls.
const CALL_FAULTS: CallFaults = CallFaults {
    seed: 0,
    interrupted: 15,
    short_reads: 80,
    short_writes: 80,
    transient: 15,
    sync_delay_ms: 0,
    sync_every: 0,
};
/// Longest stall of a process that must not break any rule.
const MAX_TOLERATED_STALL: Duration = Duration::from_millis(150);
/// Time after a longer stall, or after a crowd, in which a gateway may still disturb its clients.
const RECOVERY_TIME: Duration = Duration::from_millis(300);
/// Interval of the timer that detects pauses of the test process.
const TIMER_INTERVAL: Duration = Duration::from_millis(5);
/// Time that a store works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Time within which a gateway must be ready after its start, and must serve a request after the last fault.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which discovery reports a drained store as gone.
const GONE_DURATION: Duration = Duration::from_millis(500);

/// What a store does with the requests that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreMode {
    Serve = 0,
    Stall = 1,
    Fail = 2,
    Reject = 3,
    Close = 4,
}

impl StoreMode {
    fn of(number: u8) -> StoreMode {
        [StoreMode::Serve, StoreMode::Stall, StoreMode::Fail, StoreMode::Reject, StoreMode::Close]
            [number as usize % 5]
    }
}

struct StandInStore {
    uid: String,
    shard: u32,
    mode: Arc<AtomicU8>,
    /// Its task runs as long as this value exists.
    store: Store,
}

struct GatewayUnderTest {
    number: u32,
    process: AsyncMutex<Process>,
    /// The longest deadline in its configuration, in milliseconds.
    longest_deadline_ms: Arc<AtomicU64>,
    /// The longest deadline of the previous configuration, and when it was replaced.
    former_deadline: Mutex<(Duration, Duration)>,
    discovery: Discovery,
    client_proxy: Proxy,
    discovery_proxy: Proxy,
    store_proxies: Vec<Proxy>,
}

struct Testbed {
    program: std::path::PathBuf,
    folder: std::path::PathBuf,
    record: Arc<SharedRecord>,
    /// Library that makes system calls fail, if the plan has failing calls.
    shim: Option<std::path::PathBuf>,
    stores: Vec<StandInStore>,
    gateways: Vec<GatewayUnderTest>,
    next_request_id: Arc<AtomicU64>,
    /// Stores that a drain fault is acting on.
    draining: Mutex<HashSet<u32>>,
}

/// Runs a plan with this program; configurations and logs are written to the folder.
///
/// # Errors
/// A process does not start or is not ready in time, or the shim cannot be built.
pub async fn run(plan: &Plan, program: &Path, folder: &Path) -> io::Result<Record> {
    let record = Arc::new(SharedRecord::start());
    let testbed = Arc::new(Testbed::start(plan, program, folder, record.clone()).await?);
    for gateway in &testbed.gateways {
        testbed.await_ready(gateway).await?;
    }
    let (finish, finished) = watch::channel(false);
    let pause_detector = tokio::spawn(record_pauses(record.clone(), finished.clone()));
    let mut clients = testbed.start_clients(plan.seed, &finished);
    let began = Instant::now();
    let mut faults = JoinSet::new();
    for planned in plan.faults.clone() {
        let testbed = testbed.clone();
        faults.spawn(async move {
            sleep_until((began + planned.at).into()).await;
            testbed.inject(planned).await;
        });
    }
    sleep_until((began + plan.duration).into()).await;
    while faults.join_next().await.is_some() {}
    for_each_gateway(&testbed, Testbed::check_serving).await;
    finish.send_replace(true);
    while clients.join_next().await.is_some() {}
    for_each_gateway(&testbed, Testbed::stop_gateway).await;
    _ = pause_detector.await;
    Ok(record.snapshot())
}

/// Runs an action for all gateways concurrently.
async fn for_each_gateway(testbed: &Arc<Testbed>, act: impl AsyncFn(&Testbed, &GatewayUnderTest) + Copy) {
    let actions = testbed.gateways.iter().map(|target| act(testbed, target));
    let mut pending: Vec<_> = actions.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|action| action.as_mut().poll(context).is_pending());
        if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}

/// Records pauses of the test process, until the soak has finished.
async fn record_pauses(record: Arc<SharedRecord>, finished: watch::Receiver<bool>) {
    let mut last = record.now();
    while !*finished.borrow() {
        sleep(TIMER_INTERVAL).await;
        let now = record.now();
        let late = now.saturating_sub(last + TIMER_INTERVAL);
        if late > TIMER_INTERVAL {
            record.update(|record| record.held_up.push((now, late)));
        }
        last = now;
    }
}

/// Value of a header field in the head of a request, as text.
fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = head.split_once(name)?;
    rest.split("\r\n").next().map(|value| value.trim_start_matches(':').trim())
}

/// Records each attempt as its head leaves a gateway. Relies on each head arriving in one chunk.
fn attempt_tap(record: Arc<SharedRecord>, gateway: u32, store: u32) -> Tap {
    Arc::new(move |bytes| {
        let at = record.now();
        let text = String::from_utf8_lossy(bytes);
        let id = header_value(&text, "X-Correlation-Id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let time_left = header_value(&text, "X-Time-Left-Ms").and_then(|time_left| time_left.parse().ok());
        if let Some((id, time_left)) = id.zip(time_left) {
            let time_left = Duration::from_millis(time_left);
            record.update(|record| record.attempts.push(Attempt { gateway, store, id, at, time_left }));
        }
    })
}

async fn start_store(record: Arc<SharedRecord>, number: u32) -> io::Result<StandInStore> {
    let mode = Arc::new(AtomicU8::new(StoreMode::Serve as u8));
    let current_mode = mode.clone();
    let act = move |_: usize, request: &StoreRequest| {
        let id = request.headers.single("X-Correlation-Id").ok().flatten().unwrap_or_default();
        let id = String::from_utf8_lossy(id).into_owned();
        let mode = StoreMode::of(current_mode.load(Ordering::Relaxed));
        let at = record.now();
        let ran = mode != StoreMode::Reject;
        if let Ok(id) = u64::from_str_radix(&id, 16) {
            record.update(|record| record.arrivals.push(Arrival { store: number, id, at, ran }));
        }
        match mode {
            StoreMode::Serve => StoreAction::WriteAfter(SERVICE_TIME, ok(&id)),
            StoreMode::Stall => StoreAction::Hold,
            StoreMode::Fail => StoreAction::Write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_vec()),
            StoreMode::Reject => StoreAction::Write(
                b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_vec(),
            ),
            StoreMode::Close => StoreAction::Close,
        }
    };
    let shard = number / STORES_PER_SHARD;
    Ok(StandInStore { uid: format!("s-{number:08x}"), shard, mode, store: Store::start(act).await? })
}

impl Testbed {
    async fn start(
        plan: &Plan,
        program: &Path,
        folder: &Path,
        record: Arc<SharedRecord>,
    ) -> io::Result<Testbed> {
        let mut testbed = Testbed {
            program: program.into(),
            folder: folder.into(),
            record,
            shim: plan.failing_calls.then(|| shim::build(folder)).transpose()?,
            stores: Vec::new(),
            gateways: Vec::new(),
            next_request_id: Arc::new(AtomicU64::new(1 << 32)),
            draining: Mutex::default(),
        };
        for number in 0..SHARDS * STORES_PER_SHARD {
            testbed.stores.push(start_store(testbed.record.clone(), number).await?);
        }
        for number in 0..plan.gateways {
            let gateway = testbed.start_gateway(number).await?;
            testbed.gateways.push(gateway);
        }
        Ok(testbed)
    }

    async fn start_gateway(&self, number: u32) -> io::Result<GatewayUnderTest> {
        let discovery = Discovery::start().await?;
        let mut store_proxies = Vec::new();
        for (store_number, store) in self.stores.iter().enumerate() {
            let tap = attempt_tap(self.record.clone(), number, store_number as u32);
            let proxy = Proxy::start(Some(store.store.address), Some(tap)).await?;
            discovery.list(&store.uid, proxy.address, store.shard, "ready");
            store_proxies.push(proxy);
        }
        let discovery_proxy = Proxy::start(Some(discovery.address), None).await?;
        let process = self.start_process(number, any_port(), discovery_proxy.address).await?;
        let client_proxy = Proxy::start(Some(process.address), None).await?;
        Ok(GatewayUnderTest {
            number,
            process: AsyncMutex::new(process),
            longest_deadline_ms: Arc::new(AtomicU64::new(longest_deadline(number).as_millis() as u64)),
            former_deadline: Mutex::default(),
            discovery,
            client_proxy,
            discovery_proxy,
            store_proxies,
        })
    }

    async fn start_process(
        &self,
        number: u32,
        listen: SocketAddr,
        discovery: SocketAddr,
    ) -> io::Result<Process> {
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

    fn start_clients(&self, seed: u64, finished: &watch::Receiver<bool>) -> JoinSet<()> {
        let mut clients = JoinSet::new();
        for gateway in &self.gateways {
            for index in 0..CLIENTS_PER_GATEWAY {
                let client = Client {
                    gateway: gateway.number,
                    address: gateway.client_proxy.address,
                    record: self.record.clone(),
                    longest_deadline_ms: gateway.longest_deadline_ms.clone(),
                    next_request_id: self.next_request_id.clone(),
                    finished: finished.clone(),
                    seed: seed ^ (u64::from(gateway.number) << 32 | (index + 1)),
                };
                clients.spawn(client.run());
            }
        }
        clients
    }

    /// Records a disturbance that began at `from` and ends now.
    fn record_disturbance(&self, gateway: u32, disturbance: Disturbance, from: Duration) {
        let to = self.record.now();
        self.record
            .update(|record| record.windows.push(DisturbanceWindow { gateway, disturbance, from, to }));
    }

    async fn inject(&self, PlannedFault { duration, fault, .. }: PlannedFault) {
        match fault {
            Fault::Link { gateway, link, fault } => self.disturb_link(gateway, link, fault, duration).await,
            Fault::Stall { gateway } => self.stall(gateway, duration).await,
            Fault::Restart { gateway, termination } => self.restart(gateway, termination).await,
            Fault::Kill { gateway } => self.kill(gateway).await,
            Fault::Crowd { gateway } => self.crowd(gateway, duration).await,
            Fault::Configure { gateway, number } => self.reconfigure(gateway, number).await,
            Fault::StoreStalls { store } => self.run_store_in_mode(store, StoreMode::Stall, duration).await,
            Fault::StoreFails { store, rejects } => {
                self.run_store_in_mode(
                    store,
                    if rejects { StoreMode::Reject } else { StoreMode::Fail },
                    duration,
                )
                .await;
            }
            Fault::StoreCloses { store } => self.run_store_in_mode(store, StoreMode::Close, duration).await,
            Fault::StoreDrains { store } => self.drain(store, duration).await,
        }
    }

    async fn disturb_link(&self, gateway: u32, link: Link, fault: LinkFault, duration: Duration) {
        let target = &self.gateways[gateway as usize];
        let (proxy, disturbance) = match link {
            Link::Clients => (&target.client_proxy, Some(Disturbance::Clients)),
            Link::Discovery => (&target.discovery_proxy, Some(Disturbance::Discovery)),
            Link::Store(store) => (&target.store_proxies[store as usize], None),
        };
        let from = self.record.now();
        proxy.set_fault(fault);
        sleep(duration).await;
        proxy.set_fault(LinkFault::None);
        if let Some(disturbance) = disturbance {
            self.record_disturbance(gateway, disturbance, from);
        }
    }

    async fn stall(&self, gateway: u32, duration: Duration) {
        let target = &self.gateways[gateway as usize];
        let process = target.process.lock().await;
        let from = self.record.now();
        process.signal(Signal::SIGSTOP);
        sleep(duration).await;
        process.signal(Signal::SIGCONT);
        let stalled = self.record.now().saturating_sub(from);
        // Keeps the process locked, since two stalls in close succession have the effect of a single one that
        // is longer than a gateway must tolerate.
        sleep(RECOVERY_TIME).await;
        drop(process);
        if stalled > MAX_TOLERATED_STALL {
            self.record_disturbance(gateway, Disturbance::Clients, from);
        }
    }

    async fn run_store_in_mode(&self, store: u32, mode: StoreMode, duration: Duration) {
        let current_mode = &self.stores[store as usize].mode;
        current_mode.store(mode as u8, Ordering::Relaxed);
        sleep(duration).await;
        current_mode.store(StoreMode::Serve as u8, Ordering::Relaxed);
    }

    /// Lists a store as draining, then as gone for a while, then as ready. Does nothing if it is being
    /// drained already.
    async fn drain(&self, store: u32, duration: Duration) {
        let is_new = self.draining.lock().is_ok_and(|mut draining| draining.insert(store));
        if !is_new {
            return;
        }
        let from = self.record.now();
        self.set_list_state(store, "draining");
        sleep(duration).await;
        self.set_list_state(store, "gone");
        sleep(GONE_DURATION).await;
        let to = self.record.now();
        self.set_list_state(store, "ready");
        self.record.update(|record| record.drains.push(StoreDrain { store, from, to }));
        if let Ok(mut draining) = self.draining.lock() {
            draining.remove(&store);
        }
    }

    fn set_list_state(&self, store: u32, state: &str) {
        let StandInStore { uid, shard, .. } = &self.stores[store as usize];
        for gateway in &self.gateways {
            let address = gateway.store_proxies[store as usize].address;
            gateway.discovery.list(uid, address, *shard, state);
        }
    }

    fn record_crash(&self, what: String) {
        self.record.update(|record| record.crashes.push(what));
    }

    fn record_log_errors(&self, process: &Process) {
        process.error_lines().into_iter().for_each(|line| self.record_crash(line));
    }

    /// Returns once a gateway reports that it is ready.
    async fn await_ready(&self, target: &GatewayUnderTest) -> io::Result<()> {
        let ready = async {
            while !self
                .responds_with_ok(
                    target,
                    b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                )
                .await
            {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(READY_TIMEOUT, ready).await.map_err(io::Error::from)
    }

    /// Records a gateway that serves no request after the last fault.
    async fn check_serving(&self, target: &GatewayUnderTest) {
        let served = async {
            loop {
                let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
                let time_left = Duration::from_millis(target.longest_deadline_ms.load(Ordering::Relaxed));
                if self.responds_with_ok(target, &request(Effect::Free, 0, id, time_left)).await {
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(READY_TIMEOUT, served).await.is_err() {
            self.record.update(|record| record.unresponsive.push(target.number));
        }
    }

    /// Whether a request on a new connection gets a response with status 200.
    async fn responds_with_ok(&self, target: &GatewayUnderTest, bytes: &[u8]) -> bool {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let Ok(mut stream) = tokio::net::TcpStream::connect(target.client_proxy.address).await else {
            return false;
        };
        if stream.write_all(bytes).await.is_err() {
            return false;
        }
        let mut head = [0; 12];
        let read = timeout(Duration::from_secs(3), stream.read_exact(&mut head)).await;
        matches!(read, Ok(Ok(_))) && &head == b"HTTP/1.1 200"
    }
}
