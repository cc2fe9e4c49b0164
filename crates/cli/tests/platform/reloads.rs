//! New configurations by SIGHUP: all that is derived from the settings is replaced, or nothing is.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;
use umbertray_fakes::platform::{Act, Discovery, Seen, Store, ok};

use crate::common::{Node, config, op, within};

/// Both op types with this deadline, in seconds.
fn config_with_deadline(seconds: f64, discovery: SocketAddr) -> String {
    let deadline = format!(r#""deadlineS":{seconds:.1}"#);
    config(discovery, 256).replace(r#""deadlineS":2.0"#, &deadline).replace(r#""deadlineS":3.0"#, &deadline)
}

fn config_with_short_deadline(discovery: SocketAddr, _: usize) -> String {
    config_with_deadline(0.9, discovery)
}

/// Writes a configuration that also moves discovery, and returns once the gateway follows it there.
async fn reload(node: &Node, store: &Store, config: impl Fn(SocketAddr) -> String) -> Discovery {
    let moved = Discovery::start().await.expect("loopback");
    moved.list("s0", store.address, 0, "ready");
    std::fs::write(&node.config, config(moved.address)).expect("our own file");
    node.signal(Signal::SIGHUP);
    let watched = moved.until_asked(|asked| asked.iter().any(|target| target.contains("watch=1")));
    within(5, "the watch at the new address", watched).await;
    moved
}

/// A drain used the deadlines of the first configuration: open requests were abandoned after 0.9 s.
#[tokio::test(flavor = "multi_thread")]
async fn drain_after_reload_uses_deadlines_in_force() {
    let answer = |_| Act::WriteAfter(Duration::from_millis(2300), ok("served"));
    let (mut node, store, _first) = Node::with(config_with_short_deadline, 256, answer).await;
    let _moved = reload(&node, &store, |discovery| config_with_deadline(6.0, discovery)).await;
    let mut caller = node.connect().await;
    caller.write(&op("order", 0, 1, 2900)).await;
    within(5, "the request at its store", store.until(|seen| !seen.is_empty())).await;
    node.signal(Signal::SIGTERM);
    let answer = caller.answer().await.expect("a whole answer");
    assert_eq!((answer.head.status, &answer.body[..]), (200, &b"served"[..]));
    drop(caller);
    assert!(node.ended().await.success());
}

/// Connections that were idle when the idle timeout was shortened stayed open for the former one.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_after_reload_use_idle_timeout_in_force() {
    let (node, store, _first) = Node::with_store(|_| Act::Write(ok("served"))).await;
    let (mut first, mut second) = (node.connect().await, node.connect().await);
    first.write(&op("order", 0, 1, 3000)).await;
    second.write(&op("look", 0, 2, 2000)).await;
    for caller in [&mut first, &mut second] {
        assert_eq!(caller.answer().await.expect("a whole answer").head.status, 200);
    }
    let shorter = |discovery| config(discovery, 256).replace(r#""connIdleS":20.0"#, r#""connIdleS":0.6"#);
    let _moved = reload(&node, &store, shorter).await;
    let closed = |seen: &Vec<Seen>| {
        let used = |connection: u64| Seen::Closed { connection };
        let mut used = seen.iter().filter_map(|seen| match seen {
            Seen::Request { connection, .. } => Some(used(*connection)),
            _ => None,
        });
        used.all(|end| seen.contains(&end))
    };
    within(2, "the end of idle connections to the store", store.until(closed)).await;
    let ends = async { (first.answer().await, second.answer().await) };
    assert_eq!(within(2, "the end of idle clients", ends).await, (None, None));
}

/// Ten configurations in a row, every other one invalid in another way: the last valid one is in force, nothing is lost.
#[tokio::test(flavor = "multi_thread")]
async fn reloads_in_a_row_apply_completely_or_not_at_all() {
    const ROUNDS: u64 = 10;
    let (node, store, first) = Node::with_store(|_| Act::Write(ok("served"))).await;
    let wrong: [fn(String) -> String; 5] = [
        |text| text[..text.len() / 2].to_string(),
        |text| text.replace(r#""connIdleS":20.0"#, r#""connIdleS":"soon""#),
        |text| text.replace(r#""dialTimeoutS":0.2"#, r#""dialTimeoutS":-1"#),
        |text| text.replace(r#""sockets":256"#, r#""sockets":0"#),
        |text| text.replace(r#""deadlineS":3.0"#, r#""deadlineS":"long""#),
    ];
    let mut caller = node.connect().await;
    for round in 0..ROUNDS {
        let right = config_with_deadline(1.0 + round as f64, first.address);
        let text = if round % 2 == 0 { right } else { wrong[round as usize / 2](config(first.address, 256)) };
        std::fs::write(&node.config, text).expect("our own file");
        node.signal(Signal::SIGHUP);
        for n in 0..5 {
            assert_eq!(caller.ask(&op("order", 0, 10 * round + n, 900)).await.0, 200, "round {round}");
        }
    }
    let _moved = reload(&node, &store, |discovery| config_with_deadline(9.0, discovery)).await;
    assert_eq!(caller.ask(&op("order", 0, 1000, 9000)).await.0, 200);
    let took_on = store.requests().iter().filter(|(_, request)| &*request.method == "PUT").count() as u64;
    assert_eq!(took_on, 5 * ROUNDS + 1, "each once");
}
