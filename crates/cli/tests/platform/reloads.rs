//! Reloads of the configuration by SIGHUP: everything that is derived from the settings is replaced, or
//! nothing is.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;
use umbertray_fakes::platform::{Discovery, Store, StoreAction, StoreEvent, ok};

use crate::common::{Node, config, op, within};

/// A configuration in which both op types have this deadline, in seconds.
fn config_with_deadline(seconds: f64, discovery: SocketAddr) -> String {
    let deadline = format!(r#""deadlineS":{seconds:.1}"#);
    config(discovery, 256).replace(r#""deadlineS":2.0"#, &deadline).replace(r#""deadlineS":3.0"#, &deadline)
}

fn config_with_short_deadline(discovery: SocketAddr, _: usize) -> String {
    config_with_deadline(0.9, discovery)
}

/// Reloads a configuration that also moves discovery to a new address; returns once the gateway watches it
/// there.
async fn reload(node: &Node, store: &Store, config: impl Fn(SocketAddr) -> String) -> Discovery {
    let moved = Discovery::start().await.expect("loopback");
    moved.list("s0", store.address, 0, "ready");
    std::fs::write(&node.config, config(moved.address)).expect("the test's own file");
    node.signal(Signal::SIGHUP);
    let watched = moved.wait_for_requests(|asked| asked.iter().any(|target| target.contains("watch=1")));
    within(5, "the watch at the new address", watched).await;
    moved
}

/// Guards against a drain that uses the deadlines of the first configuration: it abandoned open requests
/// after 0.9 s.
#[tokio::test(flavor = "multi_thread")]
async fn drain_after_reload_uses_deadlines_in_force() {
    let script = |_| StoreAction::WriteAfter(Duration::from_millis(2300), ok("served"));
    let (mut node, store, _first) =
        Node::start_with_store_and_config(config_with_short_deadline, 256, script).await;
    let _moved = reload(&node, &store, |discovery| config_with_deadline(6.0, discovery)).await;
    let mut client = node.connect().await;
    client.write(&op("order", 0, 1, 2900)).await;
    within(5, "the request at its store", store.until(|seen| !seen.is_empty())).await;
    node.signal(Signal::SIGTERM);
    let response = client.response().await.expect("a complete response");
    assert_eq!((response.head.status, &response.body[..]), (200, &b"served"[..]));
    drop(client);
    assert!(node.wait_for_exit().await.success());
}

/// Guards against idle connections that ignore a shortened idle timeout: those that were idle at the reload
/// stayed open for the former timeout.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_after_reload_use_idle_timeout_in_force() {
    let (node, store, _first) = Node::start_with_store(|_| StoreAction::Write(ok("served"))).await;
    let (mut first, mut second) = (node.connect().await, node.connect().await);
    first.write(&op("order", 0, 1, 3000)).await;
    second.write(&op("look", 0, 2, 2000)).await;
    for client in [&mut first, &mut second] {
        assert_eq!(client.response().await.expect("a complete response").head.status, 200);
    }
    let shorter = |discovery| config(discovery, 256).replace(r#""connIdleS":20.0"#, r#""connIdleS":0.6"#);
    let _moved = reload(&node, &store, shorter).await;
    let all_closed = |seen: &Vec<StoreEvent>| {
        let mut expected = seen.iter().filter_map(|event| match event {
            StoreEvent::Request { connection, .. } => Some(StoreEvent::Closed { connection: *connection }),
            _ => None,
        });
        expected.all(|close| seen.contains(&close))
    };
    within(2, "the close of idle connections to the store", store.until(all_closed)).await;
    let closes = async { (first.response().await, second.response().await) };
    assert_eq!(within(2, "the close of idle clients", closes).await, (None, None));
}

/// Ten configurations in a row, every second one invalid in a different way: the last valid one is in force,
/// and no request is lost.
#[tokio::test(flavor = "multi_thread")]
async fn reloads_in_a_row_apply_completely_or_not_at_all() {
    const ROUNDS: u64 = 10;
    let (node, store, first) = Node::start_with_store(|_| StoreAction::Write(ok("served"))).await;
    let invalidate: [fn(String) -> String; 5] = [
        |text| text[..text.len() / 2].to_string(),
        |text| text.replace(r#""connIdleS":20.0"#, r#""connIdleS":"soon""#),
        |text| text.replace(r#""dialTimeoutS":0.2"#, r#""dialTimeoutS":-1"#),
        |text| text.replace(r#""sockets":256"#, r#""sockets":0"#),
        |text| text.replace(r#""deadlineS":3.0"#, r#""deadlineS":"long""#),
    ];
    let mut client = node.connect().await;
    for round in 0..ROUNDS {
        let valid = config_with_deadline(1.0 + round as f64, first.address);
        let text =
            if round % 2 == 0 { valid } else { invalidate[round as usize / 2](config(first.address, 256)) };
        std::fs::write(&node.config, text).expect("the test's own file");
        node.signal(Signal::SIGHUP);
        for n in 0..5 {
            assert_eq!(client.request(&op("order", 0, 10 * round + n, 900)).await.0, 200, "round {round}");
        }
    }
    let _moved = reload(&node, &store, |discovery| config_with_deadline(9.0, discovery)).await;
    assert_eq!(client.request(&op("order", 0, 1000, 9000)).await.0, 200);
    let received = store.requests().iter().filter(|(_, request)| &*request.method == "PUT").count() as u64;
    assert_eq!(received, 5 * ROUNDS + 1, "each op once");
}
