//! What the gateway owes at each end of a client's connection, and at the end of its process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use umbertray_fakes::platform::{Act, Discovery, Store, ok};

use crate::common::{Caller, Node, config, config_with_long_deadlines, op, within};

const HEALTH: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n";
/// More than the gateway reads ahead, and less than the kernel buffers.
const READ_AHEAD_BYTES: usize = 40_000;

/// Long deadlines, and a short timeout of idle connections.
fn config_with_short_idle_timeout(discovery: SocketAddr, sockets: usize) -> String {
    config_with_long_deadlines(discovery, sockets).replace(r#""connIdleS":20.0"#, r#""connIdleS":4.0"#)
}

/// Returns once the gateway has handled all that was on its sockets before: it has one thread.
async fn wait_for_event_loop(node: &Node) {
    for _ in 0..2 {
        assert_eq!(node.connect().await.ask(HEALTH).await.0, 200);
    }
}

/// Asserts that the gateway has closed its side and still reads: no reset, whatever is written.
async fn assert_half_closed(caller: &mut Caller, bytes: &[u8]) {
    assert_eq!(caller.answer().await, None, "shut, without a word");
    for _ in 0..2 {
        caller.stream.write_all(bytes).await.expect("it is not reset");
        tokio::task::yield_now().await;
    }
    assert_eq!(caller.stream.read(&mut [0]).await.expect("it is not reset"), 0);
}

fn has_received(store: &Store, n: u64) -> bool {
    let of = |headers: &umbertray_http::Headers| {
        headers.one("X-Correlation-Id").expect("once").map(<[u8]>::to_vec)
    };
    store.requests().iter().any(|(_, request)| of(&request.headers) == Some(format!("{n:016x}").into_bytes()))
}

/// With much read ahead a disconnect was checked for only once per connect timeout; an op was forwarded meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn op_of_client_gone_before_first_attempt_is_not_forwarded() {
    let discovery = Discovery::start().await.expect("loopback");
    let store = start_serving_store().await;
    // The only store of the shard must not be used yet.
    discovery.list("s0", store.address, 0, "draining");
    let node = Node::start(&discovery, 256).await;
    node.ready().await;
    let mut callers = Vec::new();
    for (n, extra_bytes) in [(1, 0), (2, READ_AHEAD_BYTES), (3, READ_AHEAD_BYTES), (4, READ_AHEAD_BYTES)] {
        let mut caller = node.connect().await;
        caller.write(&op("look", 0, n, 2000)).await;
        caller.write(&vec![b'a'; extra_bytes]).await;
        callers.push(caller);
    }
    wait_for_event_loop(&node).await;
    callers[2].stream.set_zero_linger().expect("an open socket");
    let mut stays = callers.pop().expect("one of four");
    drop(callers);
    wait_for_event_loop(&node).await;
    discovery.list("s0", store.address, 0, "ready");
    assert_eq!(stays.answer().await.expect("an answer").head.status, 200);
    assert_eq!(node.connect().await.ask(&op("look", 0, 5, 2000)).await.0, 200);
    assert_eq!([1, 2, 3, 4, 5].map(|n| has_received(&store, n)), [false, false, false, true, true]);
}

/// Half sent, queued, in flight, half answered: each gets a complete response, however late the process handles it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_around_sigterm_get_complete_responses() {
    let large = "x".repeat(1_000_000);
    let body = large.clone();
    let (mut node, store, _discovery) =
        Node::with(
            config_with_long_deadlines,
            256,
            move |n| if n == 0 { Act::Write(ok(&body)) } else { Act::Hold },
        )
        .await;
    let mut callers = Vec::new();
    for (shard, n) in [(0, 1), (0, 2), (3, 3), (0, 4), (0, 5)] {
        let (mut caller, bytes) = (node.connect().await, op("order", shard, n, 20_000));
        // The fourth sends the rest after the signal, the fifth never.
        caller.write(&bytes[..bytes.len() - if n > 3 { 2 } else { 0 }]).await;
        if n == 1 {
            // The response is larger than what is read, and than what the kernel buffers.
            within(5, "the first at the store", store.until(|seen| !seen.is_empty())).await;
            let mut first = [0];
            assert_eq!(within(5, "a byte", caller.stream.peek(&mut first)).await.expect("no reset"), 1);
        }
        callers.push(caller);
    }
    within(5, "the second at the store", store.until(|seen| seen.len() >= 2)).await;
    wait_for_event_loop(&node).await;
    node.signal(Signal::SIGTERM);
    callers[3].write(b"ta").await;
    let first = callers[0].answer().await.expect("whole");
    assert_eq!((first.head.status, first.body.len()), (200, large.len()));
    for (n, caller) in callers.iter_mut().enumerate().skip(1) {
        let status = caller.answer().await.expect("a whole answer").head.status;
        // The fifth stopped within its request: it gets its 408 in time, before the process ends.
        let expected: &[u16] = if n == 4 { &[408] } else { &[500, 503] };
        assert!(expected.contains(&status), "{n}: {status}");
        assert_eq!(caller.answer().await, None, "{n}");
    }
    drop(callers);
    assert!(node.ended().await.success());
}

/// Of pipelined requests the first was answered; the others were read and lost.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_on_sigterm_are_answered_before_exit() {
    let (mut node, store, _discovery) = Node::with(config_with_long_deadlines, 256, |_| Act::Hold).await;
    let mut caller = node.connect().await;
    caller.write(&[1, 2, 3].map(|n| op("order", 0, n, 20_000)).concat()).await;
    within(5, "the first at the store", store.until(|seen| !seen.is_empty())).await;
    node.signal(Signal::SIGTERM);
    for n in 1..=3 {
        let status = caller.answer().await.expect("a whole answer").head.status;
        assert!([500, 503].contains(&status), "{n}: {status}");
    }
    assert_eq!(caller.answer().await, None);
    drop(caller);
    assert!(node.ended().await.success());
}

/// Idle connections were closed with unread bytes: a reset, which can destroy a response.
#[tokio::test(flavor = "multi_thread")]
async fn request_on_closing_idle_connection_is_ignored_without_reset() {
    let (mut node, store, _discovery) =
        Node::with(config_with_long_deadlines, 256, |_| Act::Write(ok("served"))).await;
    let mut idle = node.connect().await;
    assert_eq!(idle.ask(&op("order", 0, 1, 3000)).await.0, 200);
    node.signal(Signal::SIGTERM);
    assert_half_closed(&mut idle, &op("order", 0, 2, 3000)).await;
    drop(idle);
    assert!(node.ended().await.success());
    assert!(!has_received(&store, 2), "read after the shutdown");
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_idle_too_long_is_closed_without_reset() {
    let (node, store, _discovery) =
        Node::with(config_with_short_idle_timeout, 256, |_| Act::Write(ok("served"))).await;
    let mut idle = node.connect().await;
    assert_eq!(idle.ask(&op("order", 0, 1, 3000)).await.0, 200);
    assert_half_closed(&mut idle, &op("order", 0, 2, 3000)).await;
    wait_for_event_loop(&node).await;
    assert!(!has_received(&store, 2), "read after the shutdown");
}

/// The timeout of a request was cut by the idle timeout before it, and it got a 408.
#[tokio::test(flavor = "multi_thread")]
async fn request_begun_late_in_idle_time_has_its_own_timeout() {
    let (node, _store, _discovery) =
        Node::with(config_with_short_idle_timeout, 256, |_| Act::Write(ok("served"))).await;
    let mut caller = node.connect().await;
    assert_eq!(caller.ask(&op("order", 0, 1, 3000)).await.0, 200);
    let bytes = op("order", 0, 2, 3000);
    let (half, rest) = bytes.split_at(bytes.len() - 2);
    tokio::time::sleep(Duration::from_millis(1400)).await;
    caller.write(half).await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_eq!(caller.ask(rest).await.0, 200);
}

/// Returns once the gateway no longer listens. Requests that begin then do not time out before the process ends.
async fn wait_for_listener_close(node: &Node) {
    let refused = async {
        while TcpStream::connect(node.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    within(5, "the end of the listener", refused).await;
}

/// The process exited first: bytes that came then reset the connection and could destroy the response.
#[tokio::test(flavor = "multi_thread")]
async fn process_on_sigterm_waits_for_clients_to_read_last_response() {
    // An attempt in which this test itself is delayed proves nothing.
    for _ in 0..3 {
        let (mut node, _store, _discovery) = Node::with(config_with_long_deadlines, 256, |_| Act::Hold).await;
        let mut half = node.connect().await;
        node.signal(Signal::SIGTERM);
        wait_for_listener_close(&node).await;
        half.write(&op("order", 0, 1, 3000)[..40]).await;
        assert_eq!(half.answer().await.expect("whole").head.status, 503);
        let answered = Instant::now();
        half.write(&vec![b'a'; READ_AHEAD_BYTES]).await;
        assert!(node.ended().await.success());
        if answered.elapsed() > Duration::from_millis(60) {
            return;
        }
    }
    panic!("it ended at once, three times");
}

#[tokio::test(flavor = "multi_thread")]
async fn process_on_sigterm_ends_once_clients_have_closed() {
    let (mut node, _store, _discovery) = Node::with(config_with_long_deadlines, 256, |_| Act::Hold).await;
    let mut half = node.connect().await;
    node.signal(Signal::SIGTERM);
    wait_for_listener_close(&node).await;
    half.write(&op("order", 0, 1, 3000)[..40]).await;
    assert_eq!(half.answer().await.expect("whole").head.status, 503);
    assert_eq!(half.answer().await, None);
    drop(half);
    assert!(node.ended().await.success());
}

/// A connection that had been served before was closed without a response, its request half read.
#[tokio::test(flavor = "multi_thread")]
async fn partial_request_over_capacity_gets_503() {
    let (node, _store, _discovery) =
        Node::with(config_with_long_deadlines, 40, |_| Act::Write(ok("served"))).await;
    let mut half = node.connect().await;
    assert_eq!(half.ask(&op("order", 0, 1, 3000)).await.0, 200);
    half.write(&op("order", 0, 2, 3000)[..40]).await;
    let mut others = Vec::new();
    for n in 3..43 {
        let mut other = node.connect().await;
        assert_eq!(other.ask(&op("order", 0, n, 3000)).await.0, 200);
        others.push(other);
    }
    assert_eq!(half.answer().await.expect("a whole answer").head.status, 503);
    assert_eq!(half.answer().await, None);
}

/// A half-closed connection was evicted before all idle ones, and its unread bytes reset it.
#[tokio::test(flavor = "multi_thread")]
async fn client_with_fresh_last_response_is_not_evicted_first() {
    let (node, _store, _discovery) =
        Node::with(config_with_long_deadlines, 40, |_| Act::Write(ok("served"))).await;
    let mut idle = Vec::new();
    for n in 0..21 {
        let mut caller = node.connect().await;
        assert_eq!(caller.ask(&op("order", 0, n, 3000)).await.0, 200);
        idle.push(caller);
    }
    let mut refused = node.connect().await;
    assert_eq!(refused.ask(b"noise\r\n\r\n").await.0, 400);
    assert_eq!(node.connect().await.ask(&op("order", 0, 99, 3000)).await.0, 200);
    assert_eq!(idle[0].answer().await, None, "it was answered longest ago");
    assert_half_closed(&mut refused, b"more noise").await;
}

/// Discovery stops answering and idle clients use all capacity; it returns at its address, with a watch event.
#[tokio::test(flavor = "multi_thread")]
async fn idle_clients_at_capacity_keep_out_neither_clients_nor_discovery() {
    let discovery = Discovery::start().await.expect("loopback");
    let (store, other) = (start_serving_store().await, start_serving_store().await);
    discovery.list("s0", store.address, 0, "ready");
    let (front, up) = start_interruptible_proxy(&discovery).await;
    let node = Node::configured(&config(front, 40)).await;
    node.ready().await;
    up.send_replace(false);
    let mut idle = Vec::new();
    for n in 0..200 {
        let mut caller = node.connect().await;
        if n % 2 == 0 {
            assert_eq!(caller.ask(HEALTH).await.0, 200);
        }
        idle.push(caller);
    }
    assert_eq!(node.connect().await.ask(&op("order", 0, 1, 3000)).await.0, 200);
    discovery.list("s3", other.address, 3, "ready");
    up.send_replace(true);
    // No store of this shard was known before.
    let news_applied = async {
        for n in 2.. {
            if node.connect().await.ask(&op("order", 3, n, 3000)).await.0 == 200 {
                return;
            }
        }
    };
    within(6, "the news are heard", news_applied).await;
}

async fn start_serving_store() -> Store {
    Store::start(|_, _| Act::Write(ok("served"))).await.expect("loopback")
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
