//! The hard cases of the running gateway, each through real sockets.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use crate::common::{
    KIB, block_contents, connect, empty_folder, expect_acked, is_throttled, program_path, read_marks,
    retry_throttled, settings_document, start_fleet, start_gateway, within,
};
use bytes::Bytes;
use nix::sys::signal::Signal;
use umbertray_fakes::client::Connection;
use umbertray_fakes::event_log::StoreEvent;
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::{Fault, StorePerformance};
use umbertray_fault_tests::process::Gateway;
use umbertray_nbd::Command;
use umbertray_store_protocol::list::EndpointState;

fn is_received(work: &'static str) -> impl Fn(&umbertray_fakes::Entry) -> bool {
    move |entry| matches!(&entry.seen, StoreEvent::Received { work: w, .. } if w == work)
}

/// Matches the receipt of a one-block write with one of these marks, which identify a round of requests.
fn is_block_write_marked(marks: RangeInclusive<u64>) -> impl Fn(&umbertray_fakes::Entry) -> bool {
    move |entry| {
        matches!(&entry.seen, StoreEvent::Received { work, length, mark, .. }
            if work == "Write" && *length == 4 * KIB && marks.contains(mark))
    }
}

/// Matches the result of an attempt that a store rejected by its fence.
fn is_fenced(entry: &umbertray_fakes::Entry) -> bool {
    matches!(&entry.seen, StoreEvent::Answered { code, .. } if code == "Fenced")
}

/// 1. A store crashes in the middle of a read of which the client has received the first chunk.
#[tokio::test(flavor = "multi_thread")]
async fn read_of_store_that_dies_midway_continues_at_successor() {
    let mut fleet = start_fleet(1).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("")).await;
    let client = connect(&gateway).await;
    expect_acked(&within(5, "write", client.write(0, block_contents(7, 0, 64))).await);
    fleet.get(1).expect("the store runs").exit_after_chunks(1);
    let read = client.send(Command::Read, 0, 0, 256 * KIB, Bytes::new());
    within(5, "the end of the store", fleet.event_log.until(1, |entry| entry.seen == StoreEvent::Down)).await;
    let identity = fleet.kill(1).await.expect("it was running");
    fleet.restart(identity).await.expect("it starts again");
    let reply = within(5, "read", read).await.ok().flatten();
    assert_eq!(read_marks(&reply, 0, 64), vec![Some(7); 64]);
    // The second attempt requested only the rest.
    let entries = fleet.event_log.entries();
    let reads = entries.iter().filter_map(|entry| match &entry.seen {
        StoreEvent::Received { work, offset, length, .. } if work == "Read" => Some((*offset, *length)),
        _ => None,
    });
    assert_eq!(reads.collect::<Vec<_>>(), [(0, 256 * KIB), (64 * KIB, 192 * KIB)]);
    assert_eq!(client.unmatched_replies(), [""; 0]);
}

/// 1, if the store is not restarted: there is still exactly one final reply, in time.
#[tokio::test(flavor = "multi_thread")]
async fn read_of_store_that_dies_for_good_ends_in_one_error() {
    let mut fleet = start_fleet(1).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("")).await;
    let client = connect(&gateway).await;
    expect_acked(&within(5, "write", client.write(0, block_contents(7, 0, 64))).await);
    fleet.get(1).expect("the store runs").exit_after_chunks(1);
    let sent_at = Instant::now();
    let read = client.send(Command::Read, 0, 0, 256 * KIB, Bytes::new());
    within(5, "the end of the store", fleet.event_log.until(1, |entry| entry.seen == StoreEvent::Down)).await;
    fleet.list.set_state(1, EndpointState::Gone);
    fleet.kill(1).await;
    let reply = within(4, "a reply", read).await.ok().flatten();
    assert!(is_throttled(&reply), "{reply:?}");
    assert!(sent_at.elapsed() < Duration::from_millis(3000));
    assert_eq!(reply.map(|reply| reply.data.len()), Some(1), "the first chunk had been received");
}

/// 2. A client disconnects in the middle of a reply, with a hundred writes in flight; their capacity is
/// released each time.
///
/// The test waits for any write of the round, and does not count the received writes after its sends and wait
/// for one more: if its thread is not scheduled in between, the stores have already received all writes of
/// the round by then (docs/incidents/count-after-send.md).
#[tokio::test(flavor = "multi_thread")]
async fn disconnecting_clients_with_requests_in_flight_release_their_capacity() {
    let fleet = start_fleet(2).await;
    let bounds = "bounds(bytes = 2 * MiB, bytes_a_session = 1 * MiB, request_bytes = 512 * KiB)";
    let gateway = start_gateway(&fleet, 1, &settings_document(bounds)).await;
    let staying = connect(&gateway).await;
    expect_acked(&within(5, "write", staying.write(0, block_contents(3, 0, 64))).await);
    for round in 0..10 {
        let leaving = connect(&gateway).await;
        let reading = leaving.send(Command::Read, 0, 0, 256 * KIB, Bytes::new());
        let first_mark = 1000 * round + 1;
        let writes: Vec<_> = (0..100u32)
            .map(|n| {
                let block = u64::from(100 + n);
                let data = block_contents(first_mark + u64::from(n), block, 1);
                leaving.send(Command::Write, 0, block * 4096, 4096, data)
            })
            .collect();
        let of_this_round = is_block_write_marked(first_mark..=first_mark + 99);
        within(5, "a write of the round at a store", fleet.event_log.until(1, of_this_round)).await;
        leaving.abort();
        drop((reading, writes));
        let found = within(5, "the read of the remaining client", staying.read(0, 256 * KIB)).await;
        assert_eq!(read_marks(&found, 0, 64), vec![Some(3); 64]);
    }
    // All capacity is free again: two sessions may each use their full share.
    for _ in 0..4 {
        let client = connect(&gateway).await;
        expect_acked(&within(5, "a full share", client.write(0, block_contents(3, 0, 64))).await);
    }
}

/// 3. Stores reply at the time at which the gateway sends the final reply: there is exactly one reply, and it
/// agrees with the stored data.
#[tokio::test(flavor = "multi_thread")]
async fn store_replies_racing_the_final_reply_yield_one_true_reply() {
    let fleet = start_fleet(1).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("")).await;
    let client = connect(&gateway).await;
    expect_acked(&within(5, "write", client.write(0, block_contents(1, 0, 1))).await);
    let (mut abandoned, mut mark) = (0, 1);
    for round in 0..8u32 {
        // The final reply to a write is due after 1.0 s less the gateway's margin: the race is around that
        // time.
        let write_delay = Duration::from_millis(948 + 4 * u64::from(round));
        fleet.set_fault(1, Fault { write_delay, ..Fault::default() });
        let writes: Vec<_> = (0..6u64)
            .map(|block| {
                let mark = u64::from(round) * 10 + block + 10;
                (
                    block,
                    mark,
                    client.send(Command::Write, 0, block * 4096, 4096, block_contents(mark, block, 1)),
                )
            })
            .collect();
        let mut ended = Vec::new();
        for (block, mark, write) in writes {
            ended.push((block, mark, within(3, "a final reply", write).await.ok().flatten()));
        }
        fleet.set_fault(1, Fault::default());
        for (block, written, reply) in ended {
            let found =
                read_marks(&retry_throttled(async || client.read(block * 4096, 4096).await).await, block, 1)
                    [0];
            if is_throttled(&reply) {
                abandoned += 1;
            } else {
                expect_acked(&reply);
                assert_eq!(found, Some(written), "an acknowledged write is kept");
                mark = mark.max(written);
            }
        }
    }
    assert!(
        abandoned > 0 && mark > 1,
        "both outcomes occurred: {abandoned} abandoned, last acked mark {mark}"
    );
    assert_eq!(client.unmatched_replies(), [""; 0]);
}

/// 4. A store crashes while the outcome of a write is unknown; the reply to the client agrees with the data
/// after the store's restart.
#[tokio::test(flavor = "multi_thread")]
async fn write_of_store_that_dies_ends_once_and_truthfully() {
    let mut fleet = start_fleet(1).await;
    let gateway = start_gateway(&fleet, 1, &settings_document("")).await;
    let client = connect(&gateway).await;
    expect_acked(&within(5, "write", client.write(0, block_contents(1, 0, 1))).await);
    fleet.set_fault(1, Fault { write_delay: Duration::from_millis(300), ..Fault::default() });
    let write = client.send(Command::Write, 0, 0, 4096, block_contents(2, 0, 1));
    within(5, "the write at the store", fleet.event_log.until(2, is_received("Write"))).await;
    let identity = fleet.kill(1).await.expect("it was running");
    fleet.restart(identity).await.expect("it starts again");
    let reply = within(2, "a final reply", write).await.ok().flatten();
    let expected = if is_throttled(&reply) { vec![Some(1), Some(2)] } else { vec![Some(2)] };
    let found = read_marks(&retry_throttled(async || client.read(0, 4096).await).await, 0, 1)[0];
    assert!(expected.contains(&found), "{reply:?} but {found:?}");
}

/// A store delays a write past its deadline. A newer write to the block, through another gateway, is
/// acknowledged; the late write must not undo it.
#[tokio::test(flavor = "multi_thread")]
async fn late_write_after_newer_one_is_fenced() {
    let fleet = start_fleet(1).await;
    let (first, second) = (
        start_gateway(&fleet, 1, &settings_document("")).await,
        start_gateway(&fleet, 2, &settings_document("")).await,
    );
    let (one, other) = (connect(&first).await, connect(&second).await);
    expect_acked(&within(5, "write", one.write(0, block_contents(1, 0, 1))).await);
    fleet.set_fault(1, Fault { write_delay: Duration::from_millis(1300), ..Fault::default() });
    let late = within(3, "a final reply", one.write(0, block_contents(2, 0, 1))).await;
    assert!(is_throttled(&late), "{late:?}");
    fleet.set_fault(1, Fault::default());
    expect_acked(&retry_throttled(async || other.write(0, block_contents(3, 0, 1)).await).await);
    // The store now processes the late write, and reports its result.
    within(3, "the result of the late write", fleet.event_log.until(1, is_fenced)).await;
    for client in [&one, &other] {
        assert_eq!(read_marks(&retry_throttled(async || client.read(0, 4096).await).await, 0, 1), [Some(3)]);
    }
}

/// 5. A gateway is stalled with SIGSTOP for 2 s with full sockets, then resumed.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_gateway_after_resume_answers_each_request_once() {
    let fleet = start_fleet(2).await;
    let mut document = settings_document("");
    document.endpoint_list = fleet.list.address;
    let folder = empty_folder("stalled");
    let gateway =
        Gateway::start(program_path(), &folder, "gateway", &document.as_script()).await.expect("it starts");
    let client = Connection::open(gateway.address, "vol", true).await.expect("a session opens");
    expect_acked(&within(5, "write", client.write(0, block_contents(1, 0, 1))).await);
    gateway.signal(Signal::SIGSTOP).expect("the test's own child process");
    let requests: Vec<_> = (0..200u64)
        .map(|n| match n % 2 {
            0 => client.send(Command::Read, 0, 0, 4096, Bytes::new()),
            _ => client.send(Command::Write, 0, (n % 8) * 4096, 4096, block_contents(n, n % 8, 1)),
        })
        .collect();
    // The stall is the fault itself: two seconds, longer than a write's deadline.
    tokio::time::sleep(Duration::from_secs(2)).await;
    gateway.signal(Signal::SIGCONT).expect("the test's own child process");
    let mut ended = 0;
    for request in requests {
        let reply = within(5, "a reply", request).await.ok().flatten().expect("the session is open");
        assert!(reply.error.is_none() || is_throttled(&Some(reply)));
        ended += 1;
    }
    assert_eq!((ended, client.unmatched_replies()), (200, Vec::new()));
    expect_acked(&retry_throttled(async || client.write(0, block_contents(9, 0, 1)).await).await);
    let (took, exited_well) = gateway.stop(Duration::from_secs(5)).await.expect("it ends");
    assert!(exited_well && took < Duration::from_secs(4), "SIGTERM to exit: {took:?}");
}

/// 6. A gateway is killed and restarted under load while all stores have just restarted.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_gateway_overloads_no_cold_store() {
    let mut fleet = start_fleet(3).await;
    let mut document = settings_document("");
    document.endpoint_list = fleet.list.address;
    let folder = empty_folder("killed");
    let script = document.as_script();
    let mut gateway = Gateway::start(program_path(), &folder, "gateway", &script).await.expect("it starts");
    for incarnation in 0..2 {
        let client = Connection::open(gateway.address, "vol", true).await.expect("a session opens");
        let flood = |mark: u64| {
            let requests = (0..300u64).map(|n| {
                let block = n * 13 % 1024;
                client.send(Command::Write, 0, block * 4096, 4096, block_contents(mark + n, block, 1))
            });
            requests.collect::<Vec<_>>()
        };
        let first_mark = 1000 * incarnation + 1;
        let requests = flood(first_mark);
        let of_this_incarnation = is_block_write_marked(first_mark..=first_mark + 299);
        within(5, "load", fleet.event_log.until(5, of_this_incarnation)).await;
        gateway.kill().await.expect("the test's own child process");
        for request in requests {
            within(5, "the end of each request", request).await.ok();
        }
        let mut identities = Vec::new();
        for id in fleet.ids() {
            identities.extend(fleet.kill(id).await);
        }
        for identity in identities {
            fleet.restart(identity).await.expect("it starts again");
        }
        gateway = Gateway::start(program_path(), &folder, "gateway", &script).await.expect("it starts again");
    }
    let client = Connection::open(gateway.address, "vol", true).await.expect("a session opens");
    let mut served = 0;
    for round in 0..10u64 {
        let requests: Vec<_> = (0..200u64)
            .map(|n| {
                client.send(
                    Command::Write,
                    0,
                    (n * 13 % 1024) * 4096,
                    4096,
                    block_contents(90_000 + round * 1000 + n, n * 13 % 1024, 1),
                )
            })
            .collect();
        for request in requests {
            let reply = within(5, "a reply", request).await.ok().flatten();
            served += usize::from(!is_throttled(&reply));
        }
    }
    assert!(served > 100, "cold stores are used: {served} of 2000");
    assert!(!fleet.event_log.entries().iter().any(|entry| entry.seen == StoreEvent::Fell));
}

/// 9. Two seconds of overload, then one quiet client. Guards against throttling this client forever: ops that
/// yield were sent only to stores with fast recent replies, and a store that gets no requests has none.
#[tokio::test(flavor = "multi_thread")]
async fn quiet_client_after_flood_is_served_again() {
    let fleet = Fleet::start(4, StorePerformance::default(), 1).await.expect("stores start on loopback");
    let script = include_str!("../../src/demo.star").replace("rate = 300", "rate = 2000");
    let document = umbertray_config::read("demo.star", script.replace("rate = 600", "rate = 2000"));
    let gateway = start_gateway(&fleet, 1, &document.expect("the demo's settings hold")).await;
    let central =
        async || Connection::open(gateway.addresses[0], "central", true).await.expect("a session opens");
    let until = Instant::now() + Duration::from_secs(2);
    let mut flood = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let client = central().await;
        flood.spawn(async move {
            let writer = async |block: u64| {
                while Instant::now() < until {
                    _ = client.write(block * 4096, block_contents(1, block, 1)).await;
                }
            };
            tokio::join!(writer(0), writer(64), writer(128), writer(192));
        });
    }
    within(10, "the end of the flood", flood.join_all()).await;
    let quiet = central().await;
    let served = async {
        let mut in_a_row = 0;
        while in_a_row < 20 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let ended = quiet.write(4 * 4096, block_contents(2, 4, 1)).await;
            in_a_row = if is_throttled(&ended) { 0 } else { in_a_row + 1 };
        }
    };
    within(6, "service within an op timeout and 35 target latencies", served).await;
}
