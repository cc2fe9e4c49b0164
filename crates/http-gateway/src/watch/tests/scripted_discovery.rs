//! A scripted discovery in memory, and a watch that follows it.

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
use crate::event_loop::EventLoop;
use crate::resource_limits::ResourceLimits;

pub(super) const MINUTE: Duration = Duration::from_secs(60);
/// Between the bytes of a list that trickles.
pub(super) const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
pub(super) const NEXT_ADDRESS: &str = "127.0.0.1:10";
const ADDRESS: &str = "127.0.0.1:9";
/// Until a connect succeeds that is late.
const CONNECT_DELAY: Duration = Duration::from_millis(2700);
const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CONFIG: &str = r#"{"name":"g0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"0f",
    "limits":{"cores":1.0,"memory_mb":64,"sockets":64},"known":{"rev":0,"all":true,"targets":[]},
    "settings":{"discovery":"automatic","failureDomains":["a"],"groupSize":1,
    "familyInfo":{"coldUnits":4.0,"maxUnits":6,"meanUnits":2.0,"slotsTotal":4,"writes":[false]},
    "limits":{"connIdleS":20.0,"dialTimeoutS":0.2,"maxAttempts":3,"maxRetryAfterS":1.0},
    "profiles":[{"name":"look","promiseS":0.4,"deadlineS":2.0,"effect":"free","gain":3.0}],
    "contracts":[{"name":"basic","rate":50.0,"weight":1.0}],
    "rules":{"coldFrom":0.5,"coldS":4.0,"drainGraceS":1.0,"fallS":1.0,"tipMultiple":2.0},
    "telemetry":{"fields":["util"],"via":"answers"},"tickS":0.002}}"#;

/// What discovery does with one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Behavior {
    /// The connect hangs.
    Hang,
    /// The connect fails at once.
    Refused,
    /// Connects and never says a thing.
    Silent,
    /// The same, and the connect comes up late.
    Late,
    /// An object that is no list, and the connect comes up late.
    LateUnreadable,
    /// A response's head, then nothing.
    Head,
    /// Ends the connection at once.
    Ended,
    /// Ends it in the middle of the list, or of the first object.
    Cut,
    /// An object that is no list.
    Unreadable,
    /// The list of that version whole, but a watch says nothing.
    Unopened(u64),
    /// The list of that version whole, but a watch brings an object that is no list.
    Unwatched(u64),
    /// The whole list, or the first object, a byte now and then.
    Trickle,
    /// The same, so many bytes a second, and heartbeats from then on.
    Slow(usize),
    /// The list of that version, then nothing.
    Once(u64),
    /// The list of that version, then a line that never ends, a byte now and then.
    Unending(u64),
    /// The list of that version, then heartbeats.
    Alive(u64),
    /// No object, only heartbeats.
    Unchanged,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Delivery {
    Pushed,
    Polled,
    /// The scheduler requests a watch once, and then lets time pass.
    PolledOnce,
}

/// A gateway's watch, and the discovery that it follows.
pub(super) struct TestWatch {
    pub(super) event_loop: Rc<EventLoop>,
    pub(super) dials: Rc<RefCell<Vec<(SocketAddr, Instant)>>>,
    pub(super) behaviors: Rc<RefCell<VecDeque<Behavior>>>,
    /// When the first watch fell silent.
    pub(super) silent_since: Rc<Cell<Option<Instant>>>,
    task: JoinHandle<()>,
    source: watch::Sender<DiscoverySource>,
}

impl TestWatch {
    /// The last behavior goes on for all later connections. A scheduler that polls does so again at once.
    pub(super) fn new(delivery: Delivery, behaviors: &[Behavior]) -> TestWatch {
        let config = Config::parse(CONFIG).expect("a whole configuration");
        let clock = Clock::start();
        let core = Core::start(&config, clock.now()).expect("it starts");
        let event_loop =
            Rc::new(EventLoop::new(core, clock, ResourceLimits::from_config(&config).expect("bounds")));
        let (dials, silent_since) =
            (Rc::<RefCell<Vec<_>>>::default(), Rc::<Cell<Option<Instant>>>::default());
        let behaviors = Rc::new(RefCell::new(VecDeque::from(behaviors.to_vec())));
        let (asks, dialed, next, since) =
            (event_loop.clone(), dials.clone(), behaviors.clone(), silent_since.clone());
        event_loop.watch_requested.notify_one();
        let dial = async move |address: SocketAddr| -> io::Result<DuplexStream> {
            if !matches!(delivery, Delivery::PolledOnce) {
                asks.watch_requested.notify_one();
            }
            dialed.borrow_mut().push((address, Instant::now()));
            let behavior = next.borrow()[0];
            if next.borrow().len() > 1 {
                next.borrow_mut().pop_front();
            }
            if behavior == Behavior::Hang {
                return pending().await;
            }
            if behavior == Behavior::Refused {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            if let Behavior::Late | Behavior::LateUnreadable = behavior {
                sleep(CONNECT_DELAY).await;
            }
            let (ours, theirs) = tokio::io::duplex(1 << 20);
            spawn_local(serve_connection(theirs, behavior, since.clone()));
            Ok(ours)
        };
        let asked = !matches!(delivery, Delivery::Pushed);
        let source = DiscoverySource { address: ADDRESS.parse().expect("an address"), is_polled: asked };
        let (sender, source) = watch::channel(source);
        let task = spawn_local(follow(dial, event_loop.clone(), source, 0, 1));
        TestWatch { event_loop, dials, behaviors, silent_since, task, source: sender }
    }

    pub(super) fn dial_count(&self) -> usize {
        self.dials.borrow().len()
    }

    pub(super) async fn wait_for_dials(&self, times: usize) {
        let dialed = async {
            while self.dial_count() < times {
                sleep(TRICKLE_INTERVAL / 100).await;
            }
        };
        timeout(10 * MINUTE, dialed).await.expect("so many calls, within ten minutes");
    }

    /// Discovery is at another address from now on.
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
    let mut watched = false;
    while !watched {
        watched = request(stream).await?.contains("watch=1");
        let list = list(behavior);
        let text = match (watched, behavior) {
            (true, Behavior::Unchanged) => STREAM.into(),
            (true, Behavior::Unwatched(_)) => format!("{STREAM}{}", chunk("{}")),
            (true, _) => format!("{STREAM}{}", chunk(&list)),
            (false, _) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()),
        };
        match behavior {
            Behavior::Hang | Behavior::Refused | Behavior::Silent | Behavior::Late => return pending().await,
            Behavior::Head => {
                stream.write_all(STREAM.as_bytes()).await?;
                return pending().await;
            }
            Behavior::Unopened(_) if watched => return pending().await,
            Behavior::Ended => return Ok(()),
            Behavior::Cut => return stream.write_all(&text.as_bytes()[..text.len() / 2]).await,
            Behavior::Trickle => write_slowly(stream, text.as_bytes(), 1, TRICKLE_INTERVAL).await?,
            Behavior::Slow(rate) => {
                write_slowly(stream, text.as_bytes(), rate / 10, TRICKLE_INTERVAL).await?;
            }
            _ => stream.write_all(text.as_bytes()).await?,
        }
    }
    if let Behavior::Once(_) | Behavior::Unending(_) = behavior {
        silent_since.set(silent_since.get().or(Some(Instant::now())));
    }
    match behavior {
        Behavior::Unending(_) => loop {
            write_slowly(stream, b"1\r\n{\r\n", 6, TRICKLE_INTERVAL).await?;
        },
        Behavior::Alive(_) | Behavior::Unchanged | Behavior::Slow(_) => loop {
            sleep(protocol::WATCH_HEARTBEAT_INTERVAL).await;
            stream.write_all(chunk("").as_bytes()).await?;
        },
        _ => pending().await,
    }
}

async fn request(stream: &mut DuplexStream) -> io::Result<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        text.push(stream.read_u8().await? as char);
    }
    Ok(text)
}

async fn write_slowly(
    stream: &mut DuplexStream,
    bytes: &[u8],
    at_once: usize,
    pause: Duration,
) -> io::Result<()> {
    for part in bytes.chunks(at_once) {
        sleep(pause).await;
        stream.write_all(part).await?;
    }
    Ok(())
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

fn list(behavior: Behavior) -> String {
    let (version, stores) = match behavior {
        Behavior::Unreadable | Behavior::LateUnreadable => return "{}".into(),
        Behavior::Once(version)
        | Behavior::Unending(version)
        | Behavior::Alive(version)
        | Behavior::Unopened(version)
        | Behavior::Unwatched(version) => (version, 1),
        Behavior::Slow(_) => (1, 1024),
        _ => (1, 1),
    };
    let store = |n| {
        format!(
            r#"{{"uid":"s-{n:08x}","endpoint":"127.0.0.1:{}","az":"a","model":"m","pod_group":0,"state":"ready","capacity_hint":1.0,"boot_ms":0}}"#,
            7000 + n
        )
    };
    let stores: Vec<String> = (0..stores).map(store).collect();
    format!(r#"{{"rev":{version},"all":true,"targets":[{}]}}"#, stores.join(","))
}
