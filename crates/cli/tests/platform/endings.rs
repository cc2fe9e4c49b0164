//! What happens to pending responses when a client's connection ends, or when the gateway process terminates.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use umbertray_fakes::platform::{Discovery, Store, StoreAction, ok};

use crate::common::{ClientConnection, Node, config, config_with_long_deadlines, op, within};

const HEALTH: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n";
/// More than the gateway reads ahead, and less than the kernel buffers.
const READ_AHEAD_BYTES: usize = 40_000;

/// A configuration with long deadlines and a short timeout of idle connections.
fn config_with_short_idle_timeout(discovery: SocketAddr, sockets: usize) -> String {
    config_with_long_deadlines(discovery, sockets).replace(r#""connIdleS":20.0"#, r#""connIdleS":4.0"#)
}

/// Returns once the gateway has handled everything that was in its sockets before the call: it has a single
/// thread.
async fn wait_for_event_loop(node: &Node) {
    for _ in 0..2 {
        assert_eq!(node.connect().await.request(HEALTH).await.0, 200);
    }
}

/// Asserts that the gateway has closed its side of the connection but still reads: no write causes a reset.
async fn assert_half_closed(client: &mut ClientConnection, bytes: &[u8]) {
    assert_eq!(client.response().await, None, "closed without a response");
    for _ in 0..2 {
        client.stream.write_all(bytes).await.expect("it is not reset");
        tokio::task::yield_now().await;
    }
    assert_eq!(client.stream.read(&mut [0]).await.expect("it is not reset"), 0);
}

/// Whether the store has received the request with this id.
fn has_received(store: &Store, n: u64) -> bool {
    let correlation_id = |headers: &umbertray_http::Headers| {
        headers.single("X-Correlation-Id").expect("not repeated").map(<[u8]>::to_vec)
    };
    let expected = Some(format!("{n:016x}").into_bytes());
    store.requests().iter().any(|(_, request)| correlation_id(&request.headers) == expected)
}

/// Guards against forwarding an op whose client has disconnected: with much data read ahead, the gateway
/// checked for a disconnect only once per connect timeout, and forwarded the op meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn op_of_client_gone_before_first_attempt_is_not_forwarded() {
    let discovery = Discovery::start().await.expect("loopback");
    let store = start_serving_store().await;
    // The only store of the shard is draining and must not be used yet.
    discovery.list("s0", store.address, 0, "draining");
    let node = Node::start(&discovery, 256).await;
    node.wait_until_ready().await;
    let mut clients = Vec::new();
    for (n, extra_bytes) in [(1, 0), (2, READ_AHEAD_BYTES), (3, READ_AHEAD_BYTES), (4, READ_AHEAD_BYTES)] {
        let mut client = node.connect().await;
        client.write(&op("look", 0, n, 2000)).await;
        client.write(&vec![b'a'; extra_bytes]).await;
        clients.push(client);
    }
    wait_for_event_loop(&node).await;
    clients[2].stream.set_zero_linger().expect("an open socket");
    let mut staying = clients.pop().expect("one of four");
    drop(clients);
    wait_for_event_loop(&node).await;
    discovery.list("s0", store.address, 0, "ready");
    assert_eq!(staying.response().await.expect("a response").head.status, 200);
    assert_eq!(node.connect().await.request(&op("look", 0, 5, 2000)).await.0, 200);
    assert_eq!([1, 2, 3, 4, 5].map(|n| has_received(&store, n)), [false, false, false, true, true]);
}

/// Requests that are partly sent, queued, in flight or partly responded to at SIGTERM: each gets a complete
/// response, however late the process handles it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_around_sigterm_get_complete_responses() {
    let large = "x".repeat(1_000_000);
    let body = large.clone();
    let (mut node, store, _discovery) =
        Node::start_with_store_and_config(config_with_long_deadlines, 256, move |n| {
            if n == 0 { StoreAction::Write(ok(&body)) } else { StoreAction::Hold }
        })
        .await;
    let mut clients = Vec::new();
    for (shard, n) in [(0, 1), (0, 2), (3, 3), (0, 4), (0, 5)] {
        let (mut client, bytes) = (node.connect().await, op("order", shard, n, 20_000));
        // The fourth client sends the rest of its request after the signal, the fifth never does.
        client.write(&bytes[..bytes.len() - if n > 3 { 2 } else { 0 }]).await;
        if n == 1 {
            // The response is larger than what the client has read and what the kernel buffers.
            within(5, "the first request at the store", store.until(|seen| !seen.is_empty())).await;
            let mut first = [0];
            assert_eq!(within(5, "a byte", client.stream.peek(&mut first)).await.expect("no reset"), 1);
        }
        clients.push(client);
    }
    within(5, "the second request at the store", store.until(|seen| seen.len() >= 2)).await;
    wait_for_event_loop(&node).await;
    node.signal(Signal::SIGTERM);
    clients[3].write(b"ta").await;
    let first = clients[0].response().await.expect("a complete response");
    assert_eq!((first.head.status, first.body.len()), (200, large.len()));
    for (n, client) in clients.iter_mut().enumerate().skip(1) {
        let status = client.response().await.expect("a complete response").head.status;
        // The fifth client stopped in the middle of its request: it gets its 408 in time, before the process
        // exits.
        let expected: &[u16] = if n == 4 { &[408] } else { &[500, 503] };
        assert!(expected.contains(&status), "{n}: {status}");
        assert_eq!(client.response().await, None, "{n}");
    }
    drop(clients);
    assert!(node.wait_for_exit().await.success());
}

/// Guards against loss of pipelined requests: only the first got a response, the others were read and lost.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_on_sigterm_are_answered_before_exit() {
    let (mut node, store, _discovery) =
        Node::start_with_store_and_config(config_with_long_deadlines, 256, |_| StoreAction::Hold).await;
    let mut client = node.connect().await;
    client.write(&[1, 2, 3].map(|n| op("order", 0, n, 20_000)).concat()).await;
    within(5, "the first request at the store", store.until(|seen| !seen.is_empty())).await;
    node.signal(Signal::SIGTERM);
    for n in 1..=3 {
        let status = client.response().await.expect("a complete response").head.status;
        assert!([500, 503].contains(&status), "{n}: {status}");
    }
    assert_eq!(client.response().await, None);
    drop(client);
    assert!(node.wait_for_exit().await.success());
}

/// Guards against resets of idle connections: they were closed with unread bytes, and the reset that follows
/// can destroy a response.
#[tokio::test(flavor = "multi_thread")]
async fn request_on_closing_idle_connection_is_ignored_without_reset() {
    let (mut node, store, _discovery) =
        Node::start_with_store_and_config(config_with_long_deadlines, 256, |_| {
            StoreAction::Write(ok("served"))
        })
        .await;
    let mut idle = node.connect().await;
    assert_eq!(idle.request(&op("order", 0, 1, 3000)).await.0, 200);
    node.signal(Signal::SIGTERM);
    assert_half_closed(&mut idle, &op("order", 0, 2, 3000)).await;
    drop(idle);
    assert!(node.wait_for_exit().await.success());
    assert!(!has_received(&store, 2), "a request was read after the close");
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_idle_too_long_is_closed_without_reset() {
    let (node, store, _discovery) =
        Node::start_with_store_and_config(config_with_short_idle_timeout, 256, |_| {
            StoreAction::Write(ok("served"))
        })
        .await;
    let mut idle = node.connect().await;
    assert_eq!(idle.request(&op("order", 0, 1, 3000)).await.0, 200);
    assert_half_closed(&mut idle, &op("order", 0, 2, 3000)).await;
    wait_for_event_loop(&node).await;
    assert!(!has_received(&store, 2), "a request was read after the close");
}

/// Guards against a 408 for a request that begins late in the idle time: the idle timeout before it cut its
/// own timeout short.
#[tokio::test(flavor = "multi_thread")]
async fn request_begun_late_in_idle_time_has_its_own_timeout() {
    let (node, _store, _discovery) =
        Node::start_with_store_and_config(config_with_short_idle_timeout, 256, |_| {
            StoreAction::Write(ok("served"))
        })
        .await;
    let mut client = node.connect().await;
    assert_eq!(client.request(&op("order", 0, 1, 3000)).await.0, 200);
    let bytes = op("order", 0, 2, 3000);
    let (beginning, rest) = bytes.split_at(bytes.len() - 2);
    tokio::time::sleep(Duration::from_millis(1400)).await;
    client.write(beginning).await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_eq!(client.request(rest).await.0, 200);
}

/// Returns once the gateway no longer listens. Requests that begin after that do not time out before the
/// process exits.
async fn wait_for_listener_close(node: &Node) {
    let until_refused = async {
        while TcpStream::connect(node.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    within(5, "the close of the listener", until_refused).await;
}

/// Guards against an exit before the clients have read their last response: bytes that arrived after the exit
/// reset the connection and could destroy the response.
#[tokio::test(flavor = "multi_thread")]
async fn process_on_sigterm_waits_for_clients_to_read_last_response() {
    // An attempt in which this test itself is delayed proves nothing, and is repeated.
    for _ in 0..3 {
        let (mut node, _store, _discovery) =
            Node::start_with_store_and_config(config_with_long_deadlines, 256, |_| StoreAction::Hold).await;
        let mut partial = node.connect().await;
        node.signal(Signal::SIGTERM);
        wait_for_listener_close(&node).await;
        partial.write(&op("order", 0, 1, 3000)[..40]).await;
        assert_eq!(partial.response().await.expect("a complete response").head.status, 503);
        let responded_at = Instant::now();
        partial.write(&vec![b'a'; READ_AHEAD_BYTES]).await;
        assert!(node.wait_for_exit().await.success());
        if responded_at.elapsed() > Duration::from_millis(60) {
            return;
        }
    }
    panic!("the process exited at once in each of three attempts");
}

#[tokio::test(flavor = "multi_thread")]
async fn process_on_sigterm_ends_once_clients_have_closed() {
    let (mut node, _store, _discovery) =
        Node::start_with_store_and_config(config_with_long_deadlines, 256, |_| StoreAction::Hold).await;
    let mut partial = node.connect().await;
    node.signal(Signal::SIGTERM);
    wait_for_listener_close(&node).await;
    partial.write(&op("order", 0, 1, 3000)[..40]).await;
    assert_eq!(partial.response().await.expect("a complete response").head.status, 503);
    assert_eq!(partial.response().await, None);
    drop(partial);
    assert!(node.wait_for_exit().await.success());
}

/// Guards against a close without a response: a connection that had been served before was closed with its
/// request partly read.
#[tokio::test(flavor = "multi_thread")]
async fn partial_request_over_capacity_gets_503() {
    let (node, _store, _discovery) =
        Node::start_with_store_and_config(config_with_long_deadlines, 40, |_| {
            StoreAction::Write(ok("served"))
        })
        .await;
    let mut partial = node.connect().await;
    assert_eq!(partial.request(&op("order", 0, 1, 3000)).await.0, 200);
    partial.write(&op("order", 0, 2, 3000)[..40]).await;
    let mut others = Vec::new();
    for n in 3..43 {
        let mut other = node.connect().await;
        assert_eq!(other.request(&op("order", 0, n, 3000)).await.0, 200);
        others.push(other);
    }
    assert_eq!(partial.response().await.expect("a complete response").head.status, 503);
    assert_eq!(partial.response().await, None);
}

/// Guards against early eviction of a half-closed connection: it was evicted before all idle ones, and its
/// unread bytes caused a reset.
#[tokio::test(flavor = "multi_thread")]
async fn client_with_fresh_last_response_is_not_evicted_first() {
    let (node, _store, _discovery) =
        Node::start_with_store_and_config(config_with_long_deadlines, 40, |_| {
            StoreAction::Write(ok("served"))
        })
        .await;
    let mut idle = Vec::new();
    for n in 0..21 {
        let mut client = node.connect().await;
        assert_eq!(client.request(&op("order", 0, n, 3000)).await.0, 200);
        idle.push(client);
    }
    let mut rejected = node.connect().await;
    assert_eq!(rejected.request(b"noise\r\n\r\n").await.0, 400);
    assert_eq!(node.connect().await.request(&op("order", 0, 99, 3000)).await.0, 200);
    assert_eq!(idle[0].response().await, None, "its last response is the oldest");
    assert_half_closed(&mut rejected, b"more noise").await;
}

/// Discovery stops responding while idle clients use all capacity; it then returns to service at its address,
/// with a watch event.
#[tokio::test(flavor = "multi_thread")]
async fn idle_clients_at_capacity_keep_out_neither_clients_nor_discovery() {
    let discovery = Discovery::start().await.expect("loopback");
    let (store, other) = (start_serving_store().await, start_serving_store().await);
    discovery.list("s0", store.address, 0, "ready");
    let (front, up) = start_interruptible_proxy(&discovery).await;
    let node = Node::start_with_config(&config(front, 40)).await;
    node.wait_until_ready().await;
    up.send_replace(false);
    let mut idle = Vec::new();
    for n in 0..200 {
        let mut client = node.connect().await;
        if n % 2 == 0 {
            assert_eq!(client.request(HEALTH).await.0, 200);
        }
        idle.push(client);
    }
    assert_eq!(node.connect().await.request(&op("order", 0, 1, 3000)).await.0, 200);
    discovery.list("s3", other.address, 3, "ready");
    up.send_replace(true);
    // No store of this shard was known before.
    let event_applied = async {
        for n in 2.. {
            if node.connect().await.request(&op("order", 3, n, 3000)).await.0 == 200 {
                return;
            }
        }
    };
    within(6, "the watch event", event_applied).await;
}

async fn start_serving_store() -> Store {
    Store::start(|_, _| StoreAction::Write(ok("served"))).await.expect("loopback")
}

/// A proxy to discovery; while it is down its connections are reset and new ones are not forwarded.
async fn start_interruptible_proxy(discovery: &Discovery) -> (SocketAddr, tokio::sync::watch::Sender<bool>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let (address, to) = (listener.local_addr().expect("bound"), discovery.address);
    let (up, is_up) = tokio::sync::watch::channel(true);
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let mut is_up = is_up.clone();
            tokio::spawn(async move {
                _ = is_up.wait_for(|up| *up).await;
                let Ok(mut far) = tokio::net::TcpStream::connect(to).await else { return };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                    _ = is_up.wait_for(|up| !*up) => {}
                }
            });
        }
    });
    (address, up)
}
