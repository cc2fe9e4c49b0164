//! Malformed, slow and stalled peers: each affects only its own session.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use umbertray_fakes::client::{CompleteReply, Connection};
use umbertray_fakes::model::Fault;
use umbertray_nbd::client::Negotiation;
use umbertray_nbd::proto::{CMD_FLAG_DF, CMD_FLAG_FUA, put_request};
use umbertray_nbd::{Client, ClientEvent, Command, Reply, Request};
use umbertray_nbd_gateway::{GatewayOptions, RunningGateway};

use crate::common::{
    KIB, block_contents, connect, expect_acked, is_throttled, read_marks, retry_throttled, settings_document,
    start_fleet, start_gateway, within,
};

/// Opens a session without a client task; returns the stream after negotiation, the protocol state and unread
/// bytes.
async fn open_raw_session(gateway: &RunningGateway) -> (TcpStream, Client, BytesMut) {
    let mut stream = TcpStream::connect(gateway.addresses[0]).await.expect("the gateway listens");
    let mut client = Client::new(Negotiation::Export { name: "vol".into(), structured_replies: false });
    let mut input = BytesMut::new();
    loop {
        let step = client.receive(&mut input).expect("the server follows the protocol");
        // A byte at a time: the protocol does not depend on how the stream is split.
        for byte in client.output().split() {
            stream.write_all(&[byte]).await.expect("the gateway reads");
        }
        match step {
            ClientEvent::Incomplete => _ = stream.read_buf(&mut input).await.expect("the gateway responds"),
            _ => return (stream, client, input),
        }
    }
}

fn request(command: Command, cookie: u64, offset: u64, length: u32, payload: Bytes) -> BytesMut {
    let mut out = BytesMut::new();
    put_request(&mut out, &Request { cookie, command, flags: 0, offset, length, payload });
    out
}

async fn is_closed_in_time(stream: &mut TcpStream) -> bool {
    let mut sink = Vec::new();
    tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut sink)).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_breaking_the_protocol_end_without_harm_to_others() {
    let fleet = start_fleet(2).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("bounds(request_bytes = 64 * KiB)")).await;
    let good = connect(&gateway).await;
    expect_acked(&within(5, "write", good.write(0, block_contents(1, 0, 4))).await);
    let mut http_client = TcpStream::connect(gateway.addresses[0]).await.expect("the gateway listens");
    http_client.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("the gateway reads");
    assert!(is_closed_in_time(&mut http_client).await, "wrong magic");
    for bad in [
        vec![9; 28],
        request(Command::Write, 1, 0, 1 << 20, Bytes::new()).to_vec(),
        request(Command::Write, 5, 0, 4096, block_contents(2, 0, 1)).repeat(2),
    ] {
        let (mut stream, ..) = open_raw_session(&gateway).await;
        stream.write_all(&bad).await.expect("the gateway reads");
        assert!(is_closed_in_time(&mut stream).await, "closed");
    }
    // Half a request, then the end of the stream.
    let (mut stream, ..) = open_raw_session(&gateway).await;
    stream
        .write_all(&request(Command::Write, 1, 0, 4096, block_contents(2, 0, 1))[..100])
        .await
        .expect("the gateway reads");
    stream.shutdown().await.expect("it was open");
    assert!(is_closed_in_time(&mut stream).await, "closed");
    let found = read_marks(&within(5, "read", good.read(0, 16384)).await, 0, 4);
    assert!(
        found == [Some(1); 4] || found[1..] == [Some(1); 3],
        "only the block of the write that was sent twice may differ: {found:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn request_in_pieces_is_served_and_unfinished_one_times_out() {
    let fleet = start_fleet(1).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("")).await;
    let (mut stream, mut client, mut input) = open_raw_session(&gateway).await;
    let bytes = request(Command::Write, 7, 0, 4096, block_contents(6, 0, 1));
    for part in bytes.chunks(64) {
        stream.write_all(part).await.expect("the gateway reads");
        tokio::task::yield_now().await;
    }
    let reply = loop {
        match client.receive(&mut input).expect("the server follows the protocol") {
            ClientEvent::Reply(reply) => break reply,
            _ => _ = stream.read_buf(&mut input).await.expect("the gateway responds"),
        }
    };
    assert_eq!(reply, Reply::Simple { cookie: 7, error: None, data: Bytes::new() });
    stream.write_all(&bytes[..40]).await.expect("the gateway reads");
    // The gateway waits for the rest of a request no longer than the longest op timeout, 3 s.
    assert!(is_closed_in_time(&mut stream).await, "closed");
}

#[tokio::test(flavor = "multi_thread")]
async fn client_that_reads_nothing_delays_itself_alone() {
    let fleet = start_fleet(1).await;
    let bounds = "bounds(bytes = 4 * MiB, bytes_a_session = 1 * MiB, request_bytes = 256 * KiB)";
    let gateway = start_gateway(&fleet, 1, &settings_document(bounds)).await;
    let good = connect(&gateway).await;
    expect_acked(&within(5, "write", good.write(0, block_contents(1, 0, 64))).await);
    let (mut unread, ..) = open_raw_session(&gateway).await;
    let reads: Vec<u8> =
        (0..200).flat_map(|n| request(Command::Read, n, 0, 256 * KIB, Bytes::new())).collect();
    unread.write_all(&reads).await.expect("the gateway reads");
    // Meanwhile, far more than the quota of the session that reads nothing passes over the same store
    // connection.
    for _ in 0..40 {
        assert_eq!(read_marks(&within(5, "read", good.read(0, 256 * KIB)).await, 0, 64), [Some(1); 64]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn command_flags_and_kinds_follow_the_protocol() {
    let fleet = start_fleet(3).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("")).await;
    let simple = Connection::open(gateway.addresses[0], "vol", false).await.expect("a session opens");
    let client = connect(&gateway).await;
    // Across extents: one reply is assembled from several stores.
    expect_acked(&within(5, "write", client.write(60 * 4096, block_contents(5, 60, 200))).await);
    for reader in [&simple, &client] {
        assert_eq!(
            read_marks(&within(5, "read", reader.read(60 * 4096, 200 * 4096)).await, 60, 200),
            [Some(5); 200]
        );
        assert_eq!(
            read_marks(&within(5, "read", reader.read(0, 61 * 4096)).await, 0, 61)[59..],
            [Some(0), Some(5)]
        );
    }
    let send = async |command, flags, offset, length| -> CompleteReply {
        let sent = client.send(command, flags, offset, length, Bytes::new());
        expect_acked(&within(5, "a reply", sent).await.ok().flatten()).clone()
    };
    assert_eq!(send(Command::Read, CMD_FLAG_DF, 60 * 4096, 200 * 4096).await.chunks, 1, "not fragmented");
    send(Command::Flush, 0, 0, 0).await;
    send(Command::WriteZeroes, CMD_FLAG_FUA, 60 * 4096, 4096).await;
    send(Command::Trim, 0, 61 * 4096, 4096).await;
    assert_eq!(
        read_marks(&within(5, "read", client.read(60 * 4096, 3 * 4096)).await, 60, 3),
        [Some(0), Some(0), Some(5)]
    );
    let status = send(Command::BlockStatus, 0, 0, 70 * 4096).await;
    let extents: Vec<(u32, u32)> =
        status.extents.iter().map(|extent| (extent.length, extent.flags)).collect();
    assert_eq!(extents, [(62 * 4096, 3), (8 * 4096, 0)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_first_writes_through_two_gateways_leave_one_location() {
    let fleet = start_fleet(4).await;
    let (first, second) = (
        start_gateway(&fleet, 1, &settings_document("")).await,
        start_gateway(&fleet, 2, &settings_document("")).await,
    );
    let (one, other) = (connect(&first).await, connect(&second).await);
    for extent in 0..30u64 {
        let block = extent * 64;
        let (a, b) = tokio::join!(
            one.write(block * 4096, block_contents(1000 + extent, block, 1)),
            other.write((block + 1) * 4096, block_contents(2000 + extent, block + 1, 1))
        );
        expect_acked(&a);
        expect_acked(&b);
        for client in [&one, &other] {
            let found = read_marks(&within(5, "read", client.read(block * 4096, 8192)).await, block, 2);
            assert_eq!(found, [Some(1000 + extent), Some(2000 + extent)]);
        }
    }
    assert_eq!(fleet.list.assigned_extents(), 30);
}

#[tokio::test(flavor = "multi_thread")]
async fn mute_full_and_failing_stores_yield_one_reply_each_and_service_recovers() {
    let fleet = start_fleet(1).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("")).await;
    let client = connect(&gateway).await;
    expect_acked(&within(5, "write", client.write(0, block_contents(1, 0, 1))).await);
    let faults = [
        Fault { is_mute: true, ..Fault::default() },
        Fault { rejects_all: true, ..Fault::default() },
        Fault { error_fraction: 1.0, ..Fault::default() },
        Fault { lost_fraction: 1.0, ..Fault::default() },
    ];
    for fault in faults {
        fleet.set_fault(1, fault.clone());
        let requests: Vec<_> = (0..10u64)
            .map(|n| client.send(Command::Write, 0, n * 4096, 4096, block_contents(n + 2, n, 1)))
            .collect();
        for request in requests {
            let reply = within(3, "a final reply", request).await.ok().flatten();
            assert!(is_throttled(&reply), "{fault:?}: {reply:?}");
        }
        fleet.set_fault(1, Fault::default());
        let recovered = async { while is_throttled(&client.write(0, block_contents(1, 0, 1)).await) {} };
        within(5, "recovery of service", recovered).await;
    }
    assert_eq!(client.unmatched_replies(), [""; 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_list_leaves_known_extents_served_and_unknown_ones_throttled() {
    let fleet = start_fleet(2).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("")).await;
    let client = connect(&gateway).await;
    expect_acked(&within(5, "write", client.write(0, block_contents(1, 0, 1))).await);
    fleet.list.set_failing(true);
    expect_acked(&within(5, "a known extent", client.write(4096, block_contents(2, 1, 1))).await);
    let unknown = within(3, "an unknown extent", client.write(8 << 20, block_contents(3, 2048, 1))).await;
    assert!(is_throttled(&unknown), "{unknown:?}");
    fleet.list.set_failing(false);
    expect_acked(&retry_throttled(async || client.write(8 << 20, block_contents(3, 2048, 1)).await).await);
}

/// Whether the gateway rejected the request because it had no capacity; otherwise the request was queued.
fn is_out_of_capacity(ended: &Option<CompleteReply>) -> bool {
    matches!(ended, Some(CompleteReply { error: Some((_, text)), .. }) if text.ends_with("no_room"))
}

/// While stores do not reply, one volume's requests fill the shared capacity and that volume's share; the
/// rest is rejected at once, and another volume's share is untouched.
#[tokio::test(flavor = "multi_thread")]
async fn flood_of_one_volume_is_rejected_and_takes_no_capacity_of_others() {
    let fleet = start_fleet(1).await;
    let extra_calls = r#"
volume("other", size = 16 * MiB, plan = "p", gateways = 2)
bounds(bytes = 4 * MiB, bytes_a_session = 1 * MiB, request_bytes = 256 * KiB)"#;
    let gateway = start_gateway(&fleet, 1, &settings_document(extra_calls)).await;
    let other = Connection::open(gateway.addresses[0], "other", true).await.expect("a session opens");
    let good = connect(&gateway).await;
    expect_acked(&retry_throttled(async || good.write(0, block_contents(1, 0, 64)).await).await);
    expect_acked(&retry_throttled(async || other.write(0, block_contents(2, 0, 16)).await).await);
    fleet.set_fault(1, Fault { is_mute: true, ..Fault::default() });
    let mut flood = Vec::new();
    for _ in 0..12 {
        let (mut stream, ..) = open_raw_session(&gateway).await;
        let reads: Vec<u8> =
            (0..100).flat_map(|n| request(Command::Read, n, 0, 256 * KIB, Bytes::new())).collect();
        stream.write_all(&reads).await.expect("the gateway reads");
        flood.push(stream);
    }
    within(20, "a rejection for lack of capacity", async {
        while !is_out_of_capacity(&good.write(0, block_contents(3, 0, 64)).await) {}
    })
    .await;
    let requests: Vec<_> = (0..8u64)
        .map(|n| other.send(Command::Write, 0, n * 65536, 65536, block_contents(4 + n, n * 16, 16)))
        .collect();
    for request in requests {
        let ended = within(5, "a reply on the other volume", request).await.ok().flatten();
        assert!(ended.is_some() && !is_out_of_capacity(&ended), "{ended:?}");
    }
    drop(flood);
    fleet.set_fault(1, Fault::default());
    expect_acked(&retry_throttled(async || good.write(0, block_contents(99, 0, 64)).await).await);
    expect_acked(&retry_throttled(async || other.write(0, block_contents(98, 0, 16)).await).await);
    assert_eq!((good.unmatched_replies(), other.unmatched_replies()), (vec![], vec![]));
}

/// Guards against long waits for stopped clients: with long op timeouts, the gateway waited that long for a
/// client that had stopped in the middle of a negotiation or of a request.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_stopped_within_a_message_end_within_limit_at_any_timeout() {
    /// Time within which misbehaving clients get an error or a close, from the operators' standing page.
    const MISBEHAVING_CLIENT_LIMIT: Duration = Duration::from_secs(3);
    let fleet = start_fleet(1).await;
    let slow_op_type = r#"op_type("slow", target_latency = 2.0, op_timeout = 20.0, utility = 2)"#;
    let gateway = start_gateway(&fleet, 1, &settings_document(slow_op_type)).await;
    let write = request(Command::Write, 7, 0, 4096, block_contents(6, 0, 1));
    let mut stopped =
        vec![("no bytes", TcpStream::connect(gateway.addresses[0]).await.expect("the gateway listens"))];
    for (name, length) in [("half a header", 10), ("a header", 28), ("half a payload", 2000)] {
        let (mut stream, ..) = open_raw_session(&gateway).await;
        stream.write_all(&write[..length]).await.expect("the gateway reads");
        stopped.push((name, stream));
    }
    let closes = stopped.into_iter().map(|(name, mut stream)| async move {
        let mut rest = Vec::new();
        let end = tokio::time::timeout(MISBEHAVING_CLIENT_LIMIT, stream.read_to_end(&mut rest)).await;
        (name, end.is_ok())
    });
    let ended: tokio::task::JoinSet<_> = closes.collect();
    let late: Vec<_> = ended.join_all().await.into_iter().filter(|(_, ended)| !ended).collect();
    assert!(late.is_empty(), "not closed within {MISBEHAVING_CLIENT_LIMIT:?}: {late:?}");
}

/// Guards against a gateway that fails to start but listens: it continued to accept sessions at its first
/// address although a later address could not be bound and its start had failed.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_that_cannot_listen_everywhere_listens_nowhere() {
    let fleet = start_fleet(1).await;
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let mut document = settings_document("");
    document.listen = vec![free, occupied.local_addr().expect("bound")];
    let options = GatewayOptions {
        listen: document.listen,
        endpoint_list: fleet.list.address,
        coordinator: None,
        seed: 1,
        state_folder: None,
        changes: None,
    };
    let started = umbertray_nbd_gateway::start(Arc::new(document.settings), options).await;
    assert!(started.is_err(), "one address is occupied");
    let connected = tokio::net::TcpStream::connect(free).await;
    assert_eq!(connected.err().map(|error| error.kind()), Some(std::io::ErrorKind::ConnectionRefused));
}
