//! Clients and stores that do not follow the protocol.

use std::time::{Duration, Instant};

use umbertray_fakes::platform::{Discovery, Store, StoreAction, StoreEvent, ok};

use crate::common::{Node, op, within};

/// Invalid requests, and the status that each gets before its connection is closed.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_error_and_close_and_reach_no_store() {
    let (node, store, _discovery) = Node::start_with_store(|_| StoreAction::Write(ok("never"))).await;
    let valid = String::from_utf8(op("order", 0, 1, 2000)).expect("text");
    let with = |from: &str, to: &str| {
        assert!(valid.contains(from), "{from}");
        valid.replace(from, to)
    };
    let smuggled = String::from_utf8(op("look", 0, 2, 2000)).expect("text");
    let cases = [
        (400, "\u{1}\u{2}noise\r\n\r\n".to_string()),
        (431, format!("GET /{}", "a".repeat(20_000))),
        (431, format!("GET / HTTP/1.1\r\n{}", "A: b\r\n".repeat(5000))),
        (400, with("Content-Length: 4", "Content-Length:")),
        (400, with("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4")),
        (400, with("Content-Length: 4", "Content-Length: -4")),
        (400, with("Content-Length: 4", "Content-Length: 99999999999999999999")),
        (413, with("Content-Length: 4", "Content-Length: 60000000")),
        (400, with("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked") + &smuggled),
        (501, with("Content-Length: 4", "Transfer-Encoding: gzip")),
        (404, with("/order/", "/unknown/")),
        (404, with("/order/", "/")),
        (405, with("PUT ", "DELETE ")),
        (400, with("X-Qos-Policy: basic", "X-Qos-Policy: none")),
        (400, with("X-Time-Left-Ms: 2000", "X-Time-Left-Ms: soon")),
        (400, with("X-Correlation-Id: 0000000000000001\r\n", "")),
        (400, with("units=1", "units=x")),
    ];
    for (status, bytes) in cases {
        let case = bytes.chars().take(60).collect::<String>();
        let mut client = node.connect().await;
        assert_eq!(client.request(bytes.as_bytes()).await.0, status, "{case}");
        assert_eq!(client.response().await, None, "closed: {case}");
    }
    assert_eq!(store.requests(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn large_body_is_rejected_by_its_head_and_not_read() {
    let (node, _store, _discovery) = Node::start_with_store(|_| StoreAction::Hold).await;
    let mut client = node.connect().await;
    let head = String::from_utf8(op("order", 0, 1, 2000))
        .expect("text")
        .replace("Content-Length: 4", "Content-Length: 60000000");
    assert_eq!(client.request(head.as_bytes()).await.0, 413);
    let started_at = Instant::now();
    let part = vec![b'a'; 1 << 16];
    let sending = async {
        use tokio::io::AsyncWriteExt;
        while client.stream.write_all(&part).await.is_ok() {}
    };
    within(5, "the end of reading", sending).await;
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn id_of_open_request_is_rejected_as_duplicate() {
    let (node, store, _discovery) = Node::start_with_store(|_| StoreAction::Hold).await;
    let mut first = node.connect().await;
    first.write(&op("look", 0, 7, 800)).await;
    within(5, "the first request at the store", store.until(|seen| !seen.is_empty())).await;
    assert_eq!(node.connect().await.request(&op("look", 0, 7, 800)).await.0, 409);
    assert_eq!(first.response().await.expect("a response").head.status, 503);
    assert_eq!(store.requests().len(), 1);
}

/// Guards against a once-only request that ran twice: of several requests with one id that were read in the
/// same turn, each was forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_one_id_read_in_same_turn_run_once() {
    const ROUNDS: u64 = 20;
    const CLIENTS: usize = 4;
    let (node, store, _discovery) =
        Node::start_with_store(|_| StoreAction::WriteAfter(Duration::from_millis(20), ok("served"))).await;
    for round in 0..ROUNDS {
        let mut clients = Vec::new();
        for _ in 0..CLIENTS {
            clients.push(node.connect().await);
        }
        for client in &mut clients {
            client.write(&op("order", 0, round, 2000)).await;
        }
        let mut statuses = Vec::new();
        for client in &mut clients {
            statuses.push(client.response().await.expect("a complete response").head.status);
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409, 409, 409], "round {round}");
        assert_eq!(store.requests().len() as u64, round + 1, "round {round}");
    }
}

/// Guards against a once-only request that ran a second time when its id came again after its client had
/// left: the id was forgotten although the store still had the request.
#[tokio::test(flavor = "multi_thread")]
async fn id_of_request_whose_client_left_is_rejected() {
    let (node, store, _discovery) = Node::start_with_store(|_| StoreAction::Hold).await;
    let mut gone = node.connect().await;
    gone.write(&op("order", 0, 7, 2000)).await;
    within(5, "the request at the store", store.until(|seen| !seen.is_empty())).await;
    drop(gone);
    // In the first of these rounds the gateway may not have noticed the close yet.
    for round in 0..50 {
        assert_eq!(node.connect().await.request(&op("order", 0, 7, 2000)).await.0, 409, "round {round}");
    }
    assert_eq!(store.requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn partial_request_and_silence_time_out() {
    let (node, _store, _discovery) = Node::start_with_store(|_| StoreAction::Hold).await;
    let (mut partial, mut silent) = (node.connect().await, node.connect().await);
    let bytes = op("order", 0, 1, 2000);
    partial.write(&bytes[..bytes.len() - 2]).await;
    let started_at = Instant::now();
    assert_eq!(partial.response().await.expect("a response with the reason").head.status, 408);
    assert_eq!((partial.response().await, silent.response().await), (None, None));
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_by_hundreds_leave_capacity_for_clients() {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| StoreAction::Write(ok("served"))).await.expect("loopback");
    discovery.list("s0", store.address, 0, "ready");
    let node = Node::start(&discovery, 40).await;
    node.wait_until_ready().await;
    let mut regular = node.connect().await;
    assert_eq!(regular.request(&op("look", 0, 1000, 2000)).await.0, 200);
    let mut silent = Vec::new();
    for n in 0..200 {
        silent.push(node.connect().await);
        if n % 10 == 0 {
            assert_eq!(
                node.connect().await.request(&op("look", 0, n, 2000)).await.0,
                200,
                "with {n} silent connections"
            );
        }
    }
    assert_eq!(
        regular.request(&op("look", 0, 1001, 2000)).await.0,
        200,
        "a connection that was served before is still served"
    );
}

/// Guards against lost first requests of well-behaved clients: with many misbehaving clients, a connection
/// was evicted with its request unread.
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_capacity_are_answered_before_the_close() {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| StoreAction::Hold).await.expect("loopback");
    discovery.list("s0", store.address, 0, "ready");
    let node = Node::start(&discovery, 40).await;
    node.wait_until_ready().await;
    let mut clients = Vec::new();
    for n in 0..120 {
        let mut client = node.connect().await;
        client.write(&op("order", 0, n, 3000)).await;
        clients.push(client);
    }
    // The store does not reply, so admitted requests stay in flight: the last request gets its response
    // before the first.
    let last = clients.pop().expect("there are 120 clients").response().await.expect("a complete response");
    assert_eq!(last.head.status, 503);
    let retry_after = last.head.headers.single("Retry-After").expect("not repeated").expect("present");
    assert_eq!(retry_after, b"0.400");
    let mut rejected = 0;
    for client in &mut clients {
        rejected += u32::from(client.response().await.expect("a complete response").head.status == 503);
    }
    assert!(rejected >= 90, "{rejected}");
}

/// After a malformed response the attempt may have been executed; no part of the response reaches the client.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_store_responses_are_failed_attempts() {
    let malformed: [Vec<u8>; 6] = [
        b"\x00\x01\x02 noise \xff\r\n\r\n".to_vec(),
        [&b"HTTP/1.1 200 OK\r\nX-Endless: "[..], &[b'a'; 20_000]].concat(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nbad!".to_vec(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbad!".to_vec(),
        [&b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"[..], &[b'a'; 200_000]].concat(),
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nbad!".to_vec(),
    ];
    for response in malformed {
        let case = String::from_utf8_lossy(&response[..60.min(response.len())]).into_owned();
        let (node, store, _discovery) =
            Node::start_with_store(move |_| StoreAction::Write(response.clone())).await;
        let (status, body) = node.connect().await.request(&op("order", 0, 1, 1000)).await;
        assert_eq!((status, body), (500, String::new()), "{case}");
        within(
            5,
            "the close of its connection",
            store.until(|seen| seen.contains(&StoreEvent::Closed { connection: 0 })),
        )
        .await;
        assert_eq!(store.requests().len(), 1, "{case}");
    }
}

/// The configuration specifies at most 64 KiB, but stores send more; the only limit is memory.
#[tokio::test(flavor = "multi_thread")]
async fn response_larger_than_configured_is_served_within_memory() {
    let large = "x".repeat(400_000);
    let endless = [&b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n"[..], &[b'a'; 100_000]].concat();
    let body = large.clone();
    let (node, _store, _discovery) = Node::start_with_store(move |n| {
        StoreAction::Write(if n == 50 { endless.clone() } else { ok(&body) })
    })
    .await;
    let mut client = node.connect().await;
    for n in 0..50 {
        assert_eq!(
            client.request(&op("order", 0, n, 2000)).await,
            (200, large.clone()),
            "memory is released: {n}"
        );
    }
    assert_eq!(client.request(&op("order", 0, 50, 2000)).await.0, 500, "larger than one response may be");
}

#[tokio::test(flavor = "multi_thread")]
async fn good_response_counts_and_bytes_after_it_are_dropped() {
    let responses = [
        &b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"[..],
        &ok("first"),
        &ok("second copy"),
    ]
    .concat();
    let (node, store, _discovery) = Node::start_with_store(move |n| {
        StoreAction::Write(if n == 0 { responses.clone() } else { ok("its own") })
    })
    .await;
    let mut client = node.connect().await;
    assert_eq!(client.request(&op("order", 0, 1, 2000)).await, (200, "first".into()));
    within(
        5,
        "the close of the connection",
        store.until(|seen| seen.contains(&StoreEvent::Closed { connection: 0 })),
    )
    .await;
    assert_eq!(client.request(&op("order", 0, 2, 2000)).await, (200, "its own".into()));
}
