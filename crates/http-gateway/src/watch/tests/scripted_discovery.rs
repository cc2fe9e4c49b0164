//! An in-memory discovery with scripted behavior, and a watch that follows it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use umbertray_clock::Clock;
use umbertray_http_api::{Config, Core, Input, protocol};

use super::super::{DiscoverySource, follow};
use crate::backoff::Delivery;
use crate::event_loop::EventLoop;
use crate::resource_limits::ResourceLimits;

pub(super) const MINUTE: Duration = Duration::from_secs(60);
/// Time between the bytes of a list that arrives slowly.
pub(super) const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
pub(super) const NEXT_ADDRESS: &str = "127.0.0.1:10";
const ADDRESS: &str = "127.0.0.1:9";
/// Duration of a connect that succeeds late.
const CONNECT_DELAY: Duration = Duration::from_millis(2700);
const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
pub(crate) const CONFIG: &str = r#"{"name":"g0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"0f",
    "limits":{"cores":1.0,"memory_mb":64,"sockets":64},"known":{"rev":0,"all":true,"targets":[]},
    "settings":{"discovery":"automatic","failureDomains":["a"],"groupSize":1,
    "familyInfo":{"coldUnits":4.0,"maxUnits":6,"meanUnits":2.0,"slotsTotal":4,"writes":[false]},
    "limits":{"connIdleS":20.0,"dialTimeoutS":0.2,"maxAttempts":3,"maxRetryAfterS":1.0},
    "profiles":[{"name":"look","promiseS":0.4,"deadlineS":2.0,"effect":"free","gain":3.0}],
    "contracts":[{"name":"basic","rate":50.0,"weight":1.0}],
    "rules":{"coldFrom":0.5,"coldS":4.0,"drainGraceS":1.0,"fallS":1.0,"tipMultiple":2.0},
    "telemetry":{"fields":["util"],"via":"answers"},"tickS":0.002}}"#;

/// Behavior of discovery on one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Behavior {
    /// The connect stalls.
    ConnectStalled,
    /// The connect is refused immediately.
    ConnectRefused,
    /// Accepts the connection and never responds.
    NoResponse,
    /// The same, after a late connect.
    LateNoResponse,
    /// Responds with an object that is not a list, after a late connect.
    LateInvalidList,
    /// Sends the head of a response, then nothing.
    HeadOnly,
    /// Closes the connection immediately.
    ClosedAtOnce,
    /// Closes the connection in the middle of the list, or of the first object of the watch.
    Truncated,
    /// Responds with an object that is not a list.
    InvalidList,
    /// Sends the complete list of that version, but nothing on the watch.
    WatchSilent(u64),
    /// Sends the complete list of that version, but an object that is not a list on the watch.
    WatchInvalid(u64),
    /// Sends the complete list, or the first object of the watch, one byte at a time.
    Trickle,
    /// The same at this rate in bytes per second, then heartbeats.
    Slow(usize),
    /// Sends the list of that version, then nothing.
    ListThenSilent(u64),
    /// Sends the list of that version, then a line that never ends, slowly.
    ListThenEndlessLine(u64),
    /// Sends the list of that version, then heartbeats.
    ListThenHeartbeats(u64),
    /// Sends no object, only heartbeats.
    HeartbeatsOnly,
}

/// A gateway's watch and the discovery that it follows.
pub(super) struct TestWatch {
    pub(super) event_loop: Rc<EventLoop>,
    pub(super) connects: Rc<RefCell<Vec<(SocketAddr, Instant)>>>,
    pub(super) behaviors: Rc<RefCell<VecDeque<Behavior>>>,
    /// When the first watch fell silent.
    pub(super) silent_since: Rc<Cell<Option<Instant>>>,
    task: JoinHandle<()>,
    source: watch::Sender<DiscoverySource>,
}

impl TestWatch {
    /// Further connections repeat the last behavior. The scheduler requests a watch once, at the start: none
    /// of the waits may depend on another request.
    pub(super) fn new(delivery: Delivery, behaviors: &[Behavior]) -> TestWatch {
        let config = Config::parse(CONFIG).expect("a valid configuration");
        let event_loop = start_event_loop(&config);
        let (connects, silent_since) =
            (Rc::<RefCell<Vec<_>>>::default(), Rc::<Cell<Option<Instant>>>::default());
        let behaviors = Rc::new(RefCell::new(VecDeque::from(behaviors.to_vec())));
        let (connect_log, next, since) = (connects.clone(), behaviors.clone(), silent_since.clone());
        event_loop.watch_requested.notify_one();
        let connect = async move |address: SocketAddr| -> io::Result<DuplexStream> {
            connect_log.borrow_mut().push((address, Instant::now()));
            let behavior = next.borrow()[0];
            if next.borrow().len() > 1 {
                next.borrow_mut().pop_front();
            }
            if behavior == Behavior::ConnectStalled {
                return pending().await;
            }
            if behavior == Behavior::ConnectRefused {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            if let Behavior::LateNoResponse | Behavior::LateInvalidList = behavior {
                sleep(CONNECT_DELAY).await;
            }
            let (client, server) = tokio::io::duplex(1 << 20);
            spawn_local(serve_connection(server, behavior, since.clone()));
            Ok(client)
        };
        let source = DiscoverySource { address: ADDRESS.parse().expect("an address"), delivery };
        let (sender, source) = watch::channel(source);
        let task = spawn_local(follow(connect, event_loop.clone(), source, 0, 1));
        TestWatch { event_loop, connects, behaviors, silent_since, task, source: sender }
    }

    pub(super) fn connect_count(&self) -> usize {
        self.connects.borrow().len()
    }

    pub(super) async fn wait_for_connects(&self, times: usize) {
        let dialed = async {
            while self.connect_count() < times {
                sleep(TRICKLE_INTERVAL / 100).await;
            }
        };
        timeout(10 * MINUTE, dialed).await.expect("the connects, within ten minutes");
    }

    /// Moves discovery to another address.
    pub(super) fn move_to_next_address(&self, behaviors: &[Behavior]) {
        *self.behaviors.borrow_mut() = VecDeque::from(behaviors.to_vec());
        let address = NEXT_ADDRESS.parse().expect("an address");
        self.source.send_modify(|source| source.address = address);
    }

    pub(super) async fn wait_for_list(&self, version: u64) {
        let listed = |input: &Input| matches!(input, Input::EndpointList(list) if list.version == version);
        timeout(10 * MINUTE, self.event_loop.posted(listed)).await.expect("the list, within ten minutes");
    }
}

impl Drop for TestWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An event loop whose turns do not run yet.
pub(crate) fn start_event_loop(config: &Config) -> Rc<EventLoop> {
    let clock = Clock::start();
    let limits = ResourceLimits::from_config(config).expect("limits");
    let core = Core::start(config, limits.tables, clock.now()).expect("it starts");
    Rc::new(EventLoop::new(core, clock, limits))
}

async fn serve_connection(
    mut stream: DuplexStream,
    behavior: Behavior,
    silent_since: Rc<Cell<Option<Instant>>>,
) {
    _ = serve(&mut stream, behavior, &silent_since).await;
}

async fn serve(
    stream: &mut DuplexStream,
    behavior: Behavior,
    silent_since: &Cell<Option<Instant>>,
) -> io::Result<()> {
    let mut is_watch = false;
    while !is_watch {
        is_watch = request(stream).await?.contains("watch=1");
        let list = list(behavior);
        let text = match (is_watch, behavior) {
            (true, Behavior::HeartbeatsOnly) => STREAM.into(),
            (true, Behavior::WatchInvalid(_)) => format!("{STREAM}{}", chunk("{}")),
            _ => response(is_watch, &list),
        };
        match behavior {
            Behavior::ConnectStalled
            | Behavior::ConnectRefused
            | Behavior::NoResponse
            | Behavior::LateNoResponse => return pending().await,
            Behavior::HeadOnly => {
                stream.write_all(STREAM.as_bytes()).await?;
                return pending().await;
            }
            Behavior::WatchSilent(_) if is_watch => return pending().await,
            Behavior::ClosedAtOnce => return Ok(()),
            Behavior::Truncated => return stream.write_all(&text.as_bytes()[..text.len() / 2]).await,
            Behavior::Trickle => write_slowly(stream, text.as_bytes(), 1, TRICKLE_INTERVAL).await?,
            Behavior::Slow(rate) => {
                write_slowly(stream, text.as_bytes(), rate / 10, TRICKLE_INTERVAL).await?;
            }
            _ => stream.write_all(text.as_bytes()).await?,
        }
    }
    if let Behavior::ListThenSilent(_) | Behavior::ListThenEndlessLine(_) = behavior {
        silent_since.set(silent_since.get().or(Some(Instant::now())));
    }
    match behavior {
        Behavior::ListThenEndlessLine(_) => loop {
            write_slowly(stream, b"1\r\n{\r\n", 6, TRICKLE_INTERVAL).await?;
        },
        Behavior::ListThenHeartbeats(_) | Behavior::HeartbeatsOnly | Behavior::Slow(_) => {
            send_heartbeats(stream).await
        }
        _ => pending().await,
    }
}

pub(super) async fn request(stream: &mut DuplexStream) -> io::Result<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        text.push(stream.read_u8().await? as char);
    }
    Ok(text)
}

/// The response to a request of the list, or the beginning of the response to one of its watch.
pub(super) fn response(is_watch: bool, list: &str) -> String {
    if is_watch {
        format!("{STREAM}{}", chunk(list))
    } else {
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
    }
}

/// Sends heartbeats until the connection breaks.
pub(super) async fn send_heartbeats(stream: &mut DuplexStream) -> io::Result<()> {
    loop {
        sleep(protocol::WATCH_HEARTBEAT_INTERVAL).await;
        stream.write_all(chunk("").as_bytes()).await?;
    }
}

async fn write_slowly(
    stream: &mut DuplexStream,
    bytes: &[u8],
    chunk_size: usize,
    interval: Duration,
) -> io::Result<()> {
    for part in bytes.chunks(chunk_size) {
        sleep(interval).await;
        stream.write_all(part).await?;
    }
    Ok(())
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

pub(super) fn list(behavior: Behavior) -> String {
    let (version, stores) = match behavior {
        Behavior::InvalidList | Behavior::LateInvalidList => return "{}".into(),
        Behavior::ListThenSilent(version)
        | Behavior::ListThenEndlessLine(version)
        | Behavior::ListThenHeartbeats(version)
        | Behavior::WatchSilent(version)
        | Behavior::WatchInvalid(version) => (version, 1),
        Behavior::Slow(_) => (1, 1024),
        _ => (1, 1),
    };
    let store = |n| {
        format!(
            "{{\"uid\":\"s-{n:08x}\",\"endpoint\":\"127.0.0.1:{}\",\"az\":\"a\",\"model\":\"m\",\
             \"pod_group\":0,\"state\":\"ready\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
            7000 + n
        )
    };
    let stores: Vec<String> = (0..stores).map(store).collect();
    format!(r#"{{"rev":{version},"all":true,"targets":[{}]}}"#, stores.join(","))
}
