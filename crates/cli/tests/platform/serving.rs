//! Requests, their attempts at stores and their responses; updates of the endpoint list.

use std::time::{Duration, Instant};

use umbertray_fakes::platform::{Discovery, Store, StoreAction, StoreEvent, ok};

use crate::common::{Node, op, within};

/// Whether the store has seen this connection close.
fn is_closed(connection: u64) -> impl Fn(&Vec<StoreEvent>) -> bool {
    move |seen| seen.contains(&StoreEvent::Closed { connection })
}

/// Idle time of a store connection between two requests: more than a sixteenth of the connect timeout.
const IDLE_PAUSE: Duration = Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread")]
async fn ops_after_idle_pauses_reuse_one_store_connection() {
    let (node, store, _discovery) =
        Node::start_with_store(|n| StoreAction::Write(ok(&format!("body {n}")))).await;
    let mut client = node.connect().await;
    for n in 0..20 {
        let op_type = if n % 2 == 0 { "look" } else { "order" };
        assert_eq!(client.request(&op(op_type, 0, n, 2000)).await, (200, format!("body {n}")));
        tokio::time::sleep(IDLE_PAUSE).await;
    }
    let requests = store.requests();
    assert_eq!(requests.len(), 20);
    assert!(
        requests.iter().all(|(connection, _)| *connection == requests[0].0),
        "one connection serves all requests"
    );
    let left =
        requests[0].1.headers.single("X-Time-Left-Ms").expect("not repeated").expect("present").to_vec();
    let left: u64 = String::from_utf8(left).expect("text").parse().expect("a number");
    assert!((1500..2000).contains(&left), "milliseconds left: {left}");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_connection_closed_after_last_byte_may_have_executed_op() {
    let (node, store, _discovery) = Node::start_with_store(|n| {
        if n % 2 == 0 { StoreAction::Close } else { StoreAction::Write(ok("served")) }
    })
    .await;
    let mut client = node.connect().await;
    assert_eq!(
        client.request(&op("look", 0, 1, 2000)).await,
        (200, "served".into()),
        "an idempotent op is retried"
    );
    assert_eq!(store.requests().len(), 2);
    let (status, _) = client.request(&op("order", 0, 2, 2000)).await;
    assert_eq!(
        (status, store.requests().len()),
        (500, 3),
        "an op that is not idempotent is not retried, and not reported as safe to retry"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn store_refusing_connections_never_executed_op() {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| StoreAction::Hold).await.expect("loopback");
    discovery.list("s0", store.address, 0, "ready");
    drop(store);
    let node = Node::start(&discovery, 256).await;
    node.wait_until_ready().await;
    let (status, _) = node.connect().await.request(&op("order", 0, 1, 500)).await;
    assert_eq!(status, 503, "not idempotent, and reported as safe to retry");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_connection_closed_while_idle_is_not_written_to() {
    let (node, store, _discovery) = Node::start_with_store(|_| StoreAction::WriteAndClose(ok("once"))).await;
    let mut client = node.connect().await;
    for n in 0..5 {
        assert_eq!(client.request(&op("order", 0, n, 2000)).await, (200, "once".into()));
        within(5, "the store's close", store.until(is_closed(n))).await;
    }
    assert_eq!(store.requests().len(), 5, "each op ran once");
}

#[tokio::test(flavor = "multi_thread")]
async fn op_past_deadline_is_answered_and_store_connection_closed() {
    let (node, store, _discovery) = Node::start_with_store(|_| StoreAction::Hold).await;
    let began = Instant::now();
    let (status, _) = node.connect().await.request(&op("look", 0, 1, 400)).await;
    let took = began.elapsed();
    assert!(status == 503 && took < Duration::from_millis(450), "{status} after {took:?}");
    within(5, "the close of the attempt's connection", store.until(is_closed(0))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn client_that_leaves_while_its_op_waits_cancels_it() {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| StoreAction::Write(ok("late"))).await.expect("loopback");
    discovery.list("s1", store.address, 1, "ready");
    let other = Store::start(|_, _| StoreAction::Write(ok("here"))).await.expect("loopback");
    discovery.list("s0", other.address, 0, "draining");
    let node = Node::start(&discovery, 256).await;
    node.wait_until_ready().await;
    // The only store of the shard is draining and must not be used yet, so the op waits. Requests behind it
    // are read ahead.
    let mut leaving = node.connect().await;
    leaving.write(&op("look", 0, 1, 2000)).await;
    leaving.write(&op("look", 0, 2, 2000).repeat(40)).await;
    drop(leaving);
    let mut staying = node.connect().await;
    assert_eq!(staying.request(&op("look", 1, 3, 2000)).await.0, 200);
    staying.write(&op("look", 0, 4, 2000)).await;
    discovery.list("s0", other.address, 0, "ready");
    let response = staying.response().await.expect("a response");
    assert_eq!((response.head.status, &response.body[..]), (200, &b"here"[..]));
    let ids: Vec<_> = other
        .requests()
        .into_iter()
        .map(|(_, r)| r.headers.single("X-Correlation-Id").map(|v| v.map(<[u8]>::to_vec)))
        .collect();
    assert_eq!(ids, [Ok(Some(b"0000000000000004".to_vec()))], "no op of the client that disconnected");
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_answered_in_order() {
    let (node, _store, _discovery) = Node::start_with_store(|n| StoreAction::Write(ok(&n.to_string()))).await;
    let mut client = node.connect().await;
    let all: Vec<u8> = (0..60).flat_map(|n| op("look", 0, n, 2000)).collect();
    client.write(&all).await;
    for n in 0..60 {
        let response = client.response().await.expect("a response");
        assert_eq!((response.head.status, &response.body[..]), (200, n.to_string().as_bytes()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_with_unreadable_event_is_restarted_and_list_kept() {
    let (node, _store, discovery) = Node::start_with_store(|_| StoreAction::Write(ok("served"))).await;
    let complete_lists = |asked: &Vec<String>| asked.iter().filter(|target| !target.contains('?')).count();
    within(5, "the watch", discovery.wait_for_requests(|asked| asked.iter().any(|t| t.contains("watch=1"))))
        .await;
    discovery.send_line("{\"rev\":9}");
    within(
        5,
        "a new request for the complete list",
        discovery.wait_for_requests(|asked| complete_lists(asked) == 2),
    )
    .await;
    assert_eq!(node.connect().await.request(&op("look", 0, 1, 2000)).await.0, 200);
    discovery.send_line(r#"{"rev":0,"all":true,"targets":[]}"#);
    within(
        5,
        "a request for the complete list after an older version",
        discovery.wait_for_requests(|asked| complete_lists(asked) == 3),
    )
    .await;
    assert_eq!(node.connect().await.request(&op("look", 0, 2, 2000)).await.0, 200);
}

/// Connections to a store's former address must not be used: another process may listen there later.
#[tokio::test(flavor = "multi_thread")]
async fn store_with_new_address_is_reached_there() {
    let (node, before, discovery) = Node::start_with_store(|_| StoreAction::Write(ok("before"))).await;
    let now = Store::start(|_, _| StoreAction::Write(ok("now"))).await.expect("loopback");
    let mut client = node.connect().await;
    assert_eq!(client.request(&op("look", 0, 0, 2000)).await, (200, "before".into()));
    discovery.list("s0", now.address, 0, "ready");
    let served = async {
        for n in 1.. {
            if client.request(&op("look", 0, n, 2000)).await.1 == "now" {
                return;
            }
        }
    };
    within(5, "an op at the store's new address", served).await;
    let requests_before = before.requests().len();
    for n in 0..5 {
        assert_eq!(client.request(&op("look", 0, 1 << 32 | n, 2000)).await, (200, "now".into()));
    }
    assert_eq!(before.requests().len(), requests_before, "no more requests to the former address");
}
