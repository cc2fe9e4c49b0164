//! Against a scripted discovery, in memory and in paused time.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::pending;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout;
use umbertray_clock::Clock;
use umbertray_http_api::{Config, Core, fields};

use super::*;
use crate::backoff::{self, last_attempt_begins_within};
use crate::resource_limits::ResourceLimits;

const ADDRESS: &str = "127.0.0.1:9";
const NEXT_ADDRESS: &str = "127.0.0.1:10";
const TOLD: Duration = Duration::from_secs(6);
/// After discovery has moved to another address.
const MOVED_TOLD: Duration = Duration::from_secs(4);
const MINUTE: Duration = Duration::from_secs(60);
/// Between the bytes of a list that trickles.
const DRIP: Duration = Duration::from_millis(100);
/// Until a connect comes up that is late.
const LATE: Duration = Duration::from_millis(2700);
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
enum Act {
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
    /// An answer's head, then nothing.
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
    /// The same, so many bytes a second, and signs of life from then on.
    Slow(usize),
    /// The list of that version, then nothing.
    Once(u64),
    /// The list of that version, then a line that never ends, a byte now and then.
    Unending(u64),
    /// The list of that version, then signs of life.
    Alive(u64),
    /// No object, only signs of life.
    Unchanged,
}

#[derive(Clone, Copy, Debug)]
enum Told {
    Pushed,
    Asked,
    /// The module asks once, and then lets time pass.
    AskedOnce,
}

/// A gateway's watch, and the discovery that it follows.
struct World {
    hub: Rc<EventLoop>,
    dials: Rc<RefCell<Vec<(SocketAddr, Instant)>>>,
    acts: Rc<RefCell<VecDeque<Act>>>,
    /// When the first watch fell silent.
    silent: Rc<Cell<Option<Instant>>>,
    following: JoinHandle<()>,
    source: watch::Sender<DiscoverySource>,
}

impl World {
    /// The last act goes on for all later connections. A module that asks asks again at once.
    fn new(told: Told, acts: &[Act]) -> World {
        let config = Config::read(CONFIG).expect("a whole configuration");
        let clock = Clock::start();
        let core = Core::start(&config, clock.now()).expect("it starts");
        let hub = Rc::new(EventLoop::new(core, clock, ResourceLimits::from_config(&config).expect("bounds")));
        let (dials, silent) = (Rc::<RefCell<Vec<_>>>::default(), Rc::<Cell<Option<Instant>>>::default());
        let acts = Rc::new(RefCell::new(VecDeque::from(acts.to_vec())));
        let (asks, dialed, next, since) = (hub.clone(), dials.clone(), acts.clone(), silent.clone());
        hub.watch_requested.notify_one();
        let dial = async move |address: SocketAddr| -> io::Result<DuplexStream> {
            if !matches!(told, Told::AskedOnce) {
                asks.watch_requested.notify_one();
            }
            dialed.borrow_mut().push((address, Instant::now()));
            let act = next.borrow()[0];
            if next.borrow().len() > 1 {
                next.borrow_mut().pop_front();
            }
            if act == Act::Hang {
                return pending().await;
            }
            if act == Act::Refused {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            if let Act::Late | Act::LateUnreadable = act {
                sleep(LATE).await;
            }
            let (ours, theirs) = tokio::io::duplex(1 << 20);
            spawn_local(attend(theirs, act, since.clone()));
            Ok(ours)
        };
        let asked = !matches!(told, Told::Pushed);
        let source = DiscoverySource { address: ADDRESS.parse().expect("an address"), is_polled: asked };
        let (sender, source) = watch::channel(source);
        let following = spawn_local(follow(dial, hub.clone(), source, 0, 1));
        World { hub, dials, acts, silent, following, source: sender }
    }

    fn dialed(&self) -> usize {
        self.dials.borrow().len()
    }

    async fn dialed_so_often(&self, times: usize) {
        let dialed = async {
            while self.dialed() < times {
                sleep(DRIP / 100).await;
            }
        };
        timeout(10 * MINUTE, dialed).await.expect("so many calls, within ten minutes");
    }

    /// Discovery is at another address from now on.
    fn moves(&self, acts: &[Act]) {
        *self.acts.borrow_mut() = VecDeque::from(acts.to_vec());
        let address = NEXT_ADDRESS.parse().expect("an address");
        self.source.send_modify(|source| source.address = address);
    }

    async fn list(&self, version: u64) {
        let listed = |input: &Input| matches!(input, Input::EndpointList(list) if list.version == version);
        timeout(10 * MINUTE, self.hub.posted(listed)).await.expect("the list, within ten minutes");
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.following.abort();
    }
}

async fn attend(mut stream: DuplexStream, act: Act, silent: Rc<Cell<Option<Instant>>>) {
    _ = converse(&mut stream, act, &silent).await;
}

async fn converse(stream: &mut DuplexStream, act: Act, silent: &Cell<Option<Instant>>) -> io::Result<()> {
    let mut watched = false;
    while !watched {
        watched = request(stream).await?.contains("watch=1");
        let list = list(act);
        let text = match (watched, act) {
            (true, Act::Unchanged) => STREAM.into(),
            (true, Act::Unwatched(_)) => format!("{STREAM}{}", chunk("{}")),
            (true, _) => format!("{STREAM}{}", chunk(&list)),
            (false, _) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()),
        };
        match act {
            Act::Hang | Act::Refused | Act::Silent | Act::Late => return pending().await,
            Act::Head => {
                stream.write_all(STREAM.as_bytes()).await?;
                return pending().await;
            }
            Act::Unopened(_) if watched => return pending().await,
            Act::Ended => return Ok(()),
            Act::Cut => return stream.write_all(&text.as_bytes()[..text.len() / 2]).await,
            Act::Trickle => drip(stream, text.as_bytes(), 1, DRIP).await?,
            Act::Slow(rate) => drip(stream, text.as_bytes(), rate / 10, DRIP).await?,
            _ => stream.write_all(text.as_bytes()).await?,
        }
    }
    if let Act::Once(_) | Act::Unending(_) = act {
        silent.set(silent.get().or(Some(Instant::now())));
    }
    match act {
        Act::Unending(_) => loop {
            drip(stream, b"1\r\n{\r\n", 6, DRIP).await?;
        },
        Act::Alive(_) | Act::Unchanged | Act::Slow(_) => loop {
            sleep(fields::WATCH_HEARTBEAT_INTERVAL).await;
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

async fn drip(stream: &mut DuplexStream, bytes: &[u8], at_once: usize, pause: Duration) -> io::Result<()> {
    for part in bytes.chunks(at_once) {
        sleep(pause).await;
        stream.write_all(part).await?;
    }
    Ok(())
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

fn list(act: Act) -> String {
    let (version, stores) = match act {
        Act::Unreadable | Act::LateUnreadable => return "{}".into(),
        Act::Once(version)
        | Act::Unending(version)
        | Act::Alive(version)
        | Act::Unopened(version)
        | Act::Unwatched(version) => (version, 1),
        Act::Slow(_) => (1, 1024),
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

/// Version 2 is told as soon as the last of so many attempts begins, and in the time after which it counts as told.
async fn tells_in_time(acts: &[Act]) {
    for told in [Told::Pushed, Told::Asked] {
        let world = World::new(told, acts);
        world.list(2).await;
        let took = world.silent.get().expect("a watch that fell silent").elapsed();
        // The silence of a line that trickles counts from its first byte.
        let bound = last_attempt_begins_within(acts.len() as u32 - 1) + DRIP;
        assert!(took < TOLD && took <= bound, "{told:?} {acts:?}: {took:?}, at most {bound:?}");
        assert_eq!(world.dialed(), acts.len());
    }
}

async fn in_paused_time(test: impl Future<Output = ()>) {
    tokio::time::pause();
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn watch_silent_once_tells_changes_in_time() {
    in_paused_time(tells_in_time(&[Act::Once(1), Act::Alive(2)])).await;
}

#[tokio::test]
async fn watch_silent_three_times_tells_changes_in_time() {
    in_paused_time(tells_in_time(&[Act::Once(1), Act::Silent, Act::Silent, Act::Alive(2)])).await;
}

#[tokio::test]
async fn hanging_connect_then_silent_watch_tells_changes_in_time() {
    in_paused_time(tells_in_time(&[Act::Once(1), Act::Hang, Act::Silent, Act::Alive(2)])).await;
}

#[tokio::test]
async fn trickling_list_tells_changes_in_time() {
    in_paused_time(tells_in_time(&[Act::Once(1), Act::Trickle, Act::Trickle, Act::Alive(2)])).await;
}

#[tokio::test]
async fn trickling_line_tells_changes_in_time() {
    in_paused_time(tells_in_time(&[Act::Unending(1), Act::Hang, Act::Trickle, Act::Alive(2)])).await;
}

#[tokio::test]
async fn older_list_after_silence_is_rejected() {
    in_paused_time(tells_in_time(&[Act::Once(1), Act::Once(0), Act::Alive(2)])).await;
}

/// Discovery has started anew, and counts from its beginning: what a watch tells is refused, the whole list is not.
#[tokio::test]
async fn restarted_versions_with_whole_list_are_accepted() {
    in_paused_time(async {
        let world = World::new(Told::Pushed, &[Act::Once(5), Act::Alive(3)]);
        world.list(3).await;
        let took = world.silent.get().expect("a watch that fell silent").elapsed();
        assert!(took < TOLD, "{took:?}");
        assert_eq!(world.dialed(), 3);
    })
    .await;
}

/// A whole list ends the row, so its watch is not waited for as an outage is.
#[tokio::test]
async fn watch_silent_after_whole_list_is_abandoned_soon() {
    in_paused_time(async {
        let mut acts = vec![Act::Hang; 8];
        acts.extend([Act::Unopened(1), Act::Alive(2)]);
        let world = World::new(Told::Pushed, &acts);
        world.list(1).await;
        let listed = Instant::now();
        world.list(2).await;
        let (took, bound) = (listed.elapsed(), last_attempt_begins_within(2) - backoff::watch_idle_timeout());
        assert!(took <= bound, "{took:?}, at most {bound:?}");
    })
    .await;
}

#[tokio::test]
async fn first_list_trickling_is_accepted() {
    in_paused_time(async {
        let world = World::new(Told::Pushed, &[Act::Trickle, Act::Trickle, Act::Alive(2)]);
        let begun = Instant::now();
        world.list(2).await;
        assert!(begun.elapsed() < TOLD, "{:?}", begun.elapsed());
    })
    .await;
}

#[tokio::test]
async fn large_list_on_slow_path_is_accepted() {
    in_paused_time(async {
        let world = World::new(Told::Pushed, &[Act::Slow(20_000)]);
        world.list(1).await;
        assert!(world.dialed() > 1, "slow enough to need more than the first patience");
    })
    .await;
}

#[tokio::test]
async fn large_list_on_slow_path_beside_other_attempts_is_accepted() {
    in_paused_time(async {
        let world = World::new(Told::Pushed, &[Act::Slow(20_000), Act::Hang]);
        world.list(1).await;
        assert!(world.dialed() > 1);
    })
    .await;
}

/// Where the module lets time pass too: it is the only call.
#[tokio::test]
async fn slow_list_while_scheduler_waits_continues() {
    in_paused_time(async {
        let world = World::new(Told::AskedOnce, &[Act::Slow(20_000)]);
        world.list(1).await;
        assert_eq!(world.dialed(), 1);
    })
    .await;
}

#[tokio::test]
async fn slow_list_after_address_change_is_ignored() {
    in_paused_time(async {
        let world = World::new(Told::Pushed, &[Act::Slow(20_000), Act::Hang]);
        world.dialed_so_often(2).await;
        world.moves(&[Act::Hang]);
        let former =
            world.hub.posted(|input| matches!(input, Input::EndpointList(list) if list.version == 1));
        assert!(timeout(MINUTE, former).await.is_err());
    })
    .await;
}

/// The first list, and the first object of its watch too.
#[tokio::test]
async fn watch_on_slow_path_stays_open() {
    in_paused_time(async {
        let world = World::new(Told::Pushed, &[Act::Slow(20_000)]);
        sleep(MINUTE).await;
        let dialed = world.dialed();
        sleep(MINUTE).await;
        assert_eq!(world.dialed(), dialed);
    })
    .await;
}

/// A sign of life is no list, but it may be all that there is to say.
#[tokio::test]
async fn watch_without_changes_stays_open() {
    in_paused_time(async {
        let world = World::new(Told::Pushed, &[Act::Unchanged]);
        sleep(MINUTE).await;
        let dialed = world.dialed();
        sleep(MINUTE).await;
        assert_eq!(world.dialed(), dialed);
        assert!(dialed <= 3, "{dialed}");
    })
    .await;
}

#[tokio::test]
async fn watch_with_heartbeats_stays_open() {
    in_paused_time(async {
        let world = World::new(Told::Asked, &[Act::Alive(1)]);
        sleep(10 * MINUTE).await;
        assert_eq!(world.dialed(), 1);
    })
    .await;
}

/// What a watch may meet that tells nothing.
const OF_NO_USE: [Act; 10] = [
    Act::Hang,
    Act::Late,
    Act::LateUnreadable,
    Act::Silent,
    Act::Head,
    Act::Trickle,
    Act::Refused,
    Act::Ended,
    Act::Cut,
    Act::Unreadable,
];

/// After a long outage, discovery is back in the moment in which an attempt has begun that is lost, and so is the next one.
#[tokio::test]
async fn two_lost_attempts_after_outage_leave_third_in_time() {
    in_paused_time(async {
        for (first, second) in OF_NO_USE.iter().flat_map(|first| OF_NO_USE.map(|second| (*first, second))) {
            let mut acts = vec![Act::Once(1)];
            acts.extend([Act::Hang; 8]);
            let back = acts.len();
            acts.extend([first, second, Act::Alive(2)]);
            let world = World::new(Told::Pushed, &acts);
            world.list(2).await;
            let took = world.dials.borrow()[back].1.elapsed();
            assert!(took < TOLD, "{first:?}, {second:?}: {took:?}");
        }
    })
    .await;
}

/// The shortest grace of a drain that a deployment is known to have.
const SHORT_GRACE: Duration = Duration::from_millis(250);

/// What is had at the return counts at once.
#[tokio::test]
async fn agent_back_after_long_refusal_is_queried_within_short_grace() {
    in_paused_time(async {
        for outage in [Act::Refused, Act::Ended, Act::Cut] {
            let world = World::new(Told::Pushed, &[outage]);
            world.dialed_so_often(20).await;
            let back = Instant::now();
            *world.acts.borrow_mut() = VecDeque::from([Act::Alive(2)]);
            world.list(2).await;
            let took = back.elapsed();
            assert!(took < SHORT_GRACE, "after {outage:?}: {took:?}");
        }
    })
    .await;
}

/// What cannot be read costs time to read, and lists that are asked for are priced.
#[tokio::test]
async fn unreadable_lists_and_polling_do_not_spin() {
    in_paused_time(async {
        let garbage = [Act::Unreadable, Act::Unwatched(1)].map(|act| (Told::Pushed, act));
        let asked = [Act::Refused, Act::Ended].map(|act| (Told::Asked, act));
        let endless = [garbage, asked].concat();
        for (told, act) in endless {
            let world = World::new(told, &[act]);
            sleep(MINUTE).await;
            assert!(world.dialed() < 2 * 60 + 10, "{told:?} {act:?}: {}", world.dialed());
        }
    })
    .await;
}

/// What the old address failed at says nothing of the new one: two attempts there may hang, as after a silence.
#[tokio::test]
async fn address_change_after_outage_resets_backoff() {
    in_paused_time(async {
        // In the middle of an attempt, or of the wait after it.
        for outage in [Act::Hang, Act::Refused] {
            for told in [Told::Pushed, Told::Asked] {
                let world = World::new(told, &[outage]);
                world.dialed_so_often(9).await;
                let moved = Instant::now();
                world.moves(&[Act::Hang, Act::Silent, Act::Alive(2)]);
                world.list(2).await;
                let took = moved.elapsed();
                assert!(took < MOVED_TOLD, "{told:?} after {outage:?}: {took:?}");
                assert_eq!(world.dials.borrow()[9].0, NEXT_ADDRESS.parse().expect("an address"));
            }
        }
    })
    .await;
}

/// What the old address had last may be heard from the new one alone: it must not pass for new.
#[tokio::test]
async fn moved_watch_is_reported_broken() {
    in_paused_time(async {
        let world = World::new(Told::Pushed, &[Act::Alive(1)]);
        world.list(1).await;
        world.moves(&[Act::Alive(2)]);
        let broken = world.hub.posted(|input| matches!(input, Input::EndpointListFailed));
        timeout(MINUTE, broken).await.expect("the core is told");
    })
    .await;
}

/// The module lets more time pass after each failure, up to the whole of `ask_within`.
#[tokio::test]
async fn changed_address_while_scheduler_waits_is_queried() {
    in_paused_time(async {
        // While the module lets time pass, or in the wait before.
        for (outage, since) in [(Act::Hang, MINUTE), (Act::Refused, DRIP / 10)] {
            let world = World::new(Told::AskedOnce, &[outage]);
            sleep(since).await;
            assert_eq!(world.dialed(), 1, "the module lets time pass");
            let moved = Instant::now();
            world.moves(&[Act::Alive(2)]);
            world.list(2).await;
            assert!(moved.elapsed() < MOVED_TOLD, "after {outage:?}: {:?}", moved.elapsed());
        }
    })
    .await;
}

/// A watch that has long been open has ended the row of failures before it, also where it ends by order.
#[tokio::test]
async fn list_fetched_on_request_resets_backoff() {
    in_paused_time(async {
        let mut acts = vec![Act::Hang; 8];
        acts.extend([Act::Alive(1), Act::Hang, Act::Silent, Act::Alive(2)]);
        let world = World::new(Told::Pushed, &acts);
        world.list(1).await;
        let ordered = Instant::now();
        world.hub.fetch_requested.notify_one();
        world.list(2).await;
        let (took, bound) =
            (ordered.elapsed(), last_attempt_begins_within(3) - backoff::watch_idle_timeout());
        assert!(took <= bound, "{took:?}, at most {bound:?}");
    })
    .await;
}
