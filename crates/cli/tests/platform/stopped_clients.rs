//! Clients that stop in the middle of a request and stay connected. The operators' standing page, "More than
//! these days", requires that they get an error or a close within 3 s, with any settings.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::task::JoinSet;
use umbertray_fakes::platform::{StoreAction, ok};

use crate::common::{ClientConnection, Node, config, config_with_long_deadlines, op, within};

/// Time within which misbehaving clients get an error or a close, from the operators' standing page.
const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// A client that stops in the middle of a request: it sends these pieces, with a pause before each but the
/// first, after this many complete requests that get their responses.
struct StoppedClient {
    name: &'static str,
    requests_before: usize,
    pieces: Vec<Vec<u8>>,
}

/// Pause between two pieces of a request that is sent slowly.
const PAUSE: Duration = Duration::from_millis(100);

fn stopped_clients() -> Vec<StoppedClient> {
    let request = op("order", 0, 900, 2000);
    let text = String::from_utf8(request.clone()).expect("text");
    let chunked = text.replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let chunked = chunked.strip_suffix("data").expect("its body").to_string();
    let head_end = request.len() - 4;
    let one_piece = |bytes: &[u8]| vec![bytes.to_vec()];
    let cases: [(&'static str, Vec<Vec<u8>>); 8] = [
        ("one byte", one_piece(&request[..1])),
        ("half a request line", one_piece(&request[..9])),
        ("half a head", one_piece(&request[..60])),
        ("a head without its body", one_piece(&request[..head_end])),
        ("half a body", one_piece(&request[..head_end + 2])),
        ("half a chunk size", one_piece(format!("{chunked}1").as_bytes())),
        ("half a chunk", one_piece(format!("{chunked}4\r\nda").as_bytes())),
        ("a head that is sent slowly", request[..20].chunks(1).map(<[u8]>::to_vec).collect()),
    ];
    let after_requests = |requests_before: usize| {
        cases.iter().map(move |(name, pieces)| StoppedClient {
            name,
            requests_before,
            pieces: pieces.clone(),
        })
    };
    [0, 1].into_iter().flat_map(after_requests).collect()
}

/// Time from the client's last byte until it had an error or a close; `None` if neither came within twice the
/// limit.
async fn time_to_response(
    mut client: ClientConnection,
    stopped: &StoppedClient,
    first_id: u64,
) -> Option<Duration> {
    for n in 0..stopped.requests_before {
        assert_eq!(client.request(&op("order", 0, first_id + n as u64, 2000)).await.0, 200);
    }
    for (index, piece) in stopped.pieces.iter().enumerate() {
        if index > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        client.write(piece).await;
    }
    let stopped_at = Instant::now();
    let ended = tokio::time::timeout(2 * BAD_CLIENT_LIMIT, client.response()).await;
    ended.ok().map(|_| stopped_at.elapsed())
}

/// Runs all cases concurrently, each on its own connection.
async fn assert_all_answered_in_time(node: &Node, settings: &str) {
    let mut clients = JoinSet::new();
    for (index, stopped) in stopped_clients().into_iter().enumerate() {
        let client = node.connect().await;
        clients.spawn(async move {
            let waited = time_to_response(client, &stopped, 1000 + 10 * index as u64).await;
            (stopped.name, stopped.requests_before, waited)
        });
    }
    let all: Vec<_> = clients.join_all().await;
    let late = all.into_iter().filter(|(_, _, waited)| waited.is_none_or(|waited| waited > BAD_CLIENT_LIMIT));
    let late: Vec<_> = late.collect();
    assert!(
        late.is_empty(),
        "{settings}: {} of {} got no response in time: {late:?}",
        late.len(),
        stopped_clients().len()
    );
}

/// Settings with this longest deadline, in seconds.
fn config_with_deadline(seconds: f64, discovery: SocketAddr) -> String {
    let longest = format!(r#""deadlineS":{seconds:.1}"#);
    config(discovery, 256)
        .replace(r#""deadlineS":2.0"#, &longest)
        .replace(r#""deadlineS":3.0"#, &longest)
        .replace(r#""promiseS":0.4"#, r#""promiseS":0.2"#)
}

/// Guards against the incident in which long deadlines delayed the 408: the timeout for reading a request was
/// a third of the longest deadline.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_clients_at_any_deadline_are_answered_within_limit() {
    for config in [
        config_with_short_deadline,
        config_with_medium_deadline,
        config_with_long_deadlines,
        config_with_longest_deadline,
    ] as [fn(SocketAddr, usize) -> String; 4]
    {
        let (node, _store, discovery) =
            Node::start_with_store_and_config(config, 256, |_| StoreAction::Write(ok("served"))).await;
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

/// Guards against a reload that changes the settings of the core but not the timeouts with which the gateway
/// reads requests.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_clients_after_reload_are_answered_within_limit() {
    let (node, _store, discovery) =
        Node::start_with_store_and_config(config_with_longest_deadline, 256, |_| {
            StoreAction::Write(ok("served"))
        })
        .await;
    std::fs::write(&node.config, config_with_deadline(1.5, discovery.address)).expect("the test's own file");
    node.signal(Signal::SIGHUP);
    assert_all_answered_in_time(&node, "60 s, reloaded with 1.5 s").await;
}

/// A client that stops in the middle of a request behind an open one: the response to the open request comes
/// first, and the 408 for the rest directly after it.
#[tokio::test(flavor = "multi_thread")]
async fn client_stopped_behind_open_request_gets_408_after_its_response() {
    let (node, _store, _discovery) =
        Node::start_with_store_and_config(config_with_long_deadlines, 256, |_| StoreAction::Hold).await;
    let mut client = node.connect().await;
    let next = op("order", 0, 2, 2000);
    client.write(&[&op("order", 0, 1, 4000)[..], &next[..next.len() - 2]].concat()).await;
    let first =
        within(6, "the response to the open request", client.response()).await.expect("a complete response");
    assert!([500, 503].contains(&first.head.status));
    let responded_at = Instant::now();
    assert_eq!(client.response().await.expect("a response to the rest").head.status, 408);
    assert!(responded_at.elapsed() < Duration::from_secs(1), "{:?}", responded_at.elapsed());
}
