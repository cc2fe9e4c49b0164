//! Clients that stop in the middle of a request and stay connected. The standing page gives them 3 s to an error or a
//! close, whatever the settings say ("More than these days").

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::task::JoinSet;
use umbertray_fakes::platform::{Act, ok};

use crate::common::{Caller, Node, config, config_with_long_deadlines, op, within};

/// The standing page: bad clients get their error or close within this time.
const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// A state in which a client stops: what it sends, piece by piece with a pause before each but the first, after this many
/// complete requests that are answered.
struct Stop {
    name: &'static str,
    answered_before: usize,
    pieces: Vec<Vec<u8>>,
}

/// Pause between two pieces of a client that trickles.
const PAUSE: Duration = Duration::from_millis(100);

fn stops() -> Vec<Stop> {
    let whole = op("order", 0, 900, 2000);
    let text = String::from_utf8(whole.clone()).expect("text");
    let chunked = text.replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let chunked = chunked.strip_suffix("data").expect("its body").to_string();
    let head_end = whole.len() - 4;
    let one = |bytes: &[u8]| vec![bytes.to_vec()];
    let cases: [(&'static str, Vec<Vec<u8>>); 8] = [
        ("one byte", one(&whole[..1])),
        ("half a request line", one(&whole[..9])),
        ("half a head", one(&whole[..60])),
        ("a head without its body", one(&whole[..head_end])),
        ("half a body", one(&whole[..head_end + 2])),
        ("half a chunk size", one(format!("{chunked}1").as_bytes())),
        ("half a chunk", one(format!("{chunked}4\r\nda").as_bytes())),
        ("a head that trickles", whole[..20].chunks(1).map(<[u8]>::to_vec).collect()),
    ];
    let with = |answered_before: usize| {
        cases.iter().map(move |(name, pieces)| Stop { name, answered_before, pieces: pieces.clone() })
    };
    [0, 1].into_iter().flat_map(with).collect()
}

/// How long after its last byte the client had an error or a close; none within twice the limit.
async fn time_to_response(mut caller: Caller, stop: &Stop, first_id: u64) -> Option<Duration> {
    for n in 0..stop.answered_before {
        assert_eq!(caller.ask(&op("order", 0, first_id + n as u64, 2000)).await.0, 200);
    }
    for (place, piece) in stop.pieces.iter().enumerate() {
        if place > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        caller.write(piece).await;
    }
    let stopped = Instant::now();
    let ended = tokio::time::timeout(2 * BAD_CLIENT_LIMIT, caller.answer()).await;
    ended.ok().map(|_| stopped.elapsed())
}

/// Plays all cases at once, each on a connection of its own.
async fn assert_all_answered_in_time(node: &Node, settings: &str) {
    let mut clients = JoinSet::new();
    for (place, stop) in stops().into_iter().enumerate() {
        let caller = node.connect().await;
        clients.spawn(async move {
            let waited = time_to_response(caller, &stop, 1000 + 10 * place as u64).await;
            (stop.name, stop.answered_before, waited)
        });
    }
    let late: Vec<_> = clients.join_all().await;
    let late =
        late.into_iter().filter(|(_, _, waited)| waited.is_none_or(|waited| waited > BAD_CLIENT_LIMIT));
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "{settings}: {} of {} got no word in time: {late:?}", late.len(), stops().len());
}

/// Settings with this longest deadline, in seconds.
fn config_with_deadline(seconds: f64, discovery: SocketAddr) -> String {
    let longest = format!(r#""deadlineS":{seconds:.1}"#);
    config(discovery, 256)
        .replace(r#""deadlineS":2.0"#, &longest)
        .replace(r#""deadlineS":3.0"#, &longest)
        .replace(r#""promiseS":0.4"#, r#""promiseS":0.2"#)
}

/// The incident: with long deadlines the time to read a request was a third of the longest.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_clients_at_any_deadline_are_answered_within_limit() {
    for config in [
        config_with_short_deadline,
        config_with_medium_deadline,
        config_with_long_deadlines,
        config_with_longest_deadline,
    ] as [fn(SocketAddr, usize) -> String; 4]
    {
        let (node, _store, discovery) = Node::with(config, 256, |_| Act::Write(ok("served"))).await;
        let settings = config(discovery.address, 256);
        let deadlines = settings.split(r#""deadlineS":"#).nth(1).unwrap_or_default();
        assert_all_answered_in_time(&node, deadlines.get(..4).unwrap_or_default()).await;
    }
}

fn config_with_short_deadline(discovery: SocketAddr, _: usize) -> String {
    config_with_deadline(0.6, discovery)
}

fn config_with_medium_deadline(discovery: SocketAddr, _: usize) -> String {
    config_with_deadline(9.0, discovery)
}

fn config_with_longest_deadline(discovery: SocketAddr, _: usize) -> String {
    config_with_deadline(60.0, discovery)
}

/// A reload changed the module's settings and not the front's own timeouts.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_clients_after_reload_are_answered_within_limit() {
    let (node, _store, discovery) =
        Node::with(config_with_longest_deadline, 256, |_| Act::Write(ok("served"))).await;
    std::fs::write(&node.config, config_with_deadline(1.5, discovery.address)).expect("our own file");
    node.signal(Signal::SIGHUP);
    assert_all_answered_in_time(&node, "60 s, reloaded with 1.5 s").await;
}

/// A client that stops behind an open request: its response comes first, and the 408 for the rest directly after it.
#[tokio::test(flavor = "multi_thread")]
async fn client_stopped_behind_open_request_gets_408_after_its_response() {
    let (node, _store, _discovery) = Node::with(config_with_long_deadlines, 256, |_| Act::Hold).await;
    let mut caller = node.connect().await;
    let next = op("order", 0, 2, 2000);
    caller.write(&[&op("order", 0, 1, 4000)[..], &next[..next.len() - 2]].concat()).await;
    let first = within(6, "the answer to the open request", caller.answer()).await.expect("a whole answer");
    assert!([500, 503].contains(&first.head.status));
    let answered = Instant::now();
    assert_eq!(caller.answer().await.expect("a word on the rest").head.status, 408);
    assert!(answered.elapsed() < Duration::from_secs(1), "{:?}", answered.elapsed());
}
