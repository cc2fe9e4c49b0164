//! Moves of extent ranges under gateways that know of the move, do not know of it, or are stalled. The
//! coordinator runs in its own process.

use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use umbertray_fakes::client::Connection;
use umbertray_fakes::event_log::StoreEvent;
use umbertray_fakes::fleet::{Fleet, any_port};
use umbertray_fakes::model::Fault;
use umbertray_fault_tests::coordinator::CoordinatorProcess;
use umbertray_fault_tests::process::Gateway;
use umbertray_nbd_gateway::RunningGateway;
use umbertray_store_protocol::orders::ExtentRange;
use umbertray_store_protocol::volume_id;

use crate::common::{
    KIB, block_contents, connect, empty_folder, expect_acked, is_throttled, program_path, read_marks,
    retry_throttled, settings_document, start_fleet, start_gateway_with, within,
};

/// A range of the volume's extents, which hold 64 blocks each.
fn extents(from: u64, to: u64) -> ExtentRange {
    ExtentRange { volume: volume_id("vol"), start: from, end: to }
}

async fn start_coordinator(fleet: &Fleet, folder: &Path) -> CoordinatorProcess {
    CoordinatorProcess::start(program_path(), folder, fleet.list.address).await.expect("a coordinator starts")
}

/// Starts two stores, a coordinator, a gateway that uses it, and a client that has written this many blocks.
async fn start_with_data(
    folder: &Path,
    blocks: u32,
) -> (Fleet, CoordinatorProcess, RunningGateway, Connection) {
    let fleet = start_fleet(2).await;
    let coordinator = start_coordinator(&fleet, folder).await;
    let gateway = start_gateway_with(&fleet, 1, &settings_document(""), Some(coordinator.address)).await;
    let client = connect(&gateway).await;
    expect_acked(&retry_throttled(async || client.write(0, block_contents(1, 0, blocks)).await).await);
    (fleet, coordinator, gateway, client)
}

/// The shards whose stores hold data of the first extent.
fn shards_with_data(fleet: &Fleet) -> Vec<u32> {
    let holds = |shard: &u32| {
        let store = fleet.get(fleet.store_of_shard(*shard).expect("a store")).expect("it runs");
        store.identity().disk.lock().expect("not poisoned").held_bytes(&extents(0, 1)) > 0
    };
    (0..2).filter(holds).collect()
}

async fn move_first_extent(coordinator: &CoordinatorProcess, shard: u32) {
    let accepted = async {
        loop {
            // A coordinator that has just started may not know the stores yet.
            match coordinator.request_move(extents(0, 1), shard).await.expect("a response") {
                Ok(number) => return number,
                Err(reason) => assert!(reason.starts_with("no store serves"), "{reason}"),
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let number = within(5, "an accepted move", accepted).await;
    let outcome = coordinator.await_move(number, Duration::from_secs(10)).await.expect("it ends");
    assert_eq!(outcome, "moved, the source is cleared");
}

fn executed_count(fleet: &Fleet) -> usize {
    fleet.event_log.entries().iter().filter(|entry| matches!(entry.seen, StoreEvent::Ran { .. })).count()
}

fn stale_count(fleet: &Fleet) -> usize {
    let is_stale = |seen: &StoreEvent| matches!(seen, StoreEvent::Answered { code, .. } if code == "Stale");
    fleet.event_log.entries().iter().filter(|entry| is_stale(&entry.seen)).count()
}

/// A gateway that was not notified of a move learns of it from its next op, which is sent on to the target;
/// the source is cleared.
#[tokio::test(flavor = "multi_thread")]
async fn op_to_former_shard_continues_at_present_shard() {
    let fleet = start_fleet(2).await;
    let folder = empty_folder("moves-stale");
    let coordinator = start_coordinator(&fleet, &folder).await;
    let gateways = [
        start_gateway_with(&fleet, 1, &settings_document(""), Some(coordinator.address)).await,
        start_gateway_with(&fleet, 2, &settings_document(""), Some(coordinator.address)).await,
    ];
    let clients = [connect(&gateways[0]).await, connect(&gateways[1]).await];
    expect_acked(&retry_throttled(async || clients[0].write(0, block_contents(1, 0, 4)).await).await);
    assert_eq!(read_marks(&clients[1].read(0, 4 * 4096).await, 0, 4), vec![Some(1); 4]);
    for round in 0..6u64 {
        let from = shards_with_data(&fleet);
        assert_eq!(from.len(), 1, "data at one shard only: {from:?}");
        move_first_extent(&coordinator, 1 - from[0]).await;
        assert_eq!(shards_with_data(&fleet), [1 - from[0]], "the source is cleared");
        let before = stale_count(&fleet);
        let (first, other) = (&clients[round as usize % 2], &clients[(round as usize + 1) % 2]);
        expect_acked(&retry_throttled(async || first.write(0, block_contents(2 + round, 0, 2)).await).await);
        let read = retry_throttled(async || other.read(0, 4 * 4096).await).await;
        assert_eq!(read_marks(&read, 0, 4), [Some(2 + round), Some(2 + round), Some(1), Some(1)]);
        assert!(stale_count(&fleet) > before, "the stores reported that the range has moved");
    }
}

/// An op is executed at the source, its reply is lost, and it is retried at the target: it is acknowledged
/// and not executed again.
#[tokio::test(flavor = "multi_thread")]
async fn op_executed_at_source_does_not_execute_again_at_target() {
    let fleet = start_fleet(2).await;
    let folder = empty_folder("moves-marks");
    let coordinator = start_coordinator(&fleet, &folder).await;
    let mut settings = settings_document("");
    // Long enough for the retry to be in time on a slow machine.
    for op_type in &mut settings.settings.op_types {
        (op_type.target_latency, op_type.op_timeout) = (Duration::from_secs(6), Duration::from_secs(8));
    }
    let gateway = start_gateway_with(&fleet, 1, &settings, Some(coordinator.address)).await;
    let client = connect(&gateway).await;
    expect_acked(&retry_throttled(async || client.write(0, block_contents(1, 0, 1)).await).await);
    let source = shards_with_data(&fleet)[0];
    let store = fleet.store_of_shard(source).expect("a store");
    fleet.set_fault(store, Fault { lost_fraction: 1.0, ..Fault::default() });
    let before = executed_count(&fleet);
    let write = client.send(umbertray_nbd::Command::Write, 0, 0, 4096, block_contents(2, 0, 1));
    let count = before + 1;
    within(
        3,
        "the execution of the op",
        fleet.event_log.until(count, |entry| matches!(entry.seen, StoreEvent::Ran { .. })),
    )
    .await;
    move_first_extent(&coordinator, 1 - source).await;
    // The connection breaks: the gateway retries at the source, and is redirected to the target.
    fleet.set_fault(store, Fault::default());
    fleet.get(store).expect("it runs").close_connections();
    let outcome = within(9, "a reply", write).await.ok().flatten();
    expect_acked(&outcome);
    assert_eq!(executed_count(&fleet), before + 1, "the record of the executed op was moved with its extent");
    assert_eq!(read_marks(&client.read(0, 4096).await, 0, 1), [Some(2)]);
}

/// Without a coordinator, requests for known extents are served, flushes too; requests for other extents are
/// throttled.
#[tokio::test(flavor = "multi_thread")]
async fn dead_coordinator_stalls_unknown_extents_only() {
    let folder = empty_folder("moves-static");
    let (fleet, mut coordinator, _gateway, client) = start_with_data(&folder, 4).await;
    coordinator.kill().await.expect("it was running");
    for round in 2..12 {
        expect_acked(&within(2, "write", client.write(0, block_contents(round, 0, 4))).await);
        assert_eq!(read_marks(&client.read(0, 4 * 4096).await, 0, 4), vec![Some(round); 4]);
        expect_acked(
            &within(2, "flush", client.send(umbertray_nbd::Command::Flush, 0, 0, 0, bytes::Bytes::new()))
                .await
                .ok()
                .flatten(),
        );
    }
    let new =
        within(3, "a final reply", client.write(u64::from(4 * 256 * KIB), block_contents(3, 256, 1))).await;
    assert!(is_throttled(&new), "{new:?}");
    coordinator.restart().await.expect("it starts again");
    assert_eq!(coordinator.term, 2, "each run has its own term");
    expect_acked(
        &retry_throttled(async || client.write(u64::from(4 * 256 * KIB), block_contents(4, 256, 1)).await)
            .await,
    );
    // A claimed extent is durable before the gateway is notified of it.
    coordinator.kill().await.expect("it was running");
    coordinator.restart().await.expect("it starts again");
    move_first_extent(&coordinator, 1 - shards_with_data(&fleet)[0]).await;
}

/// The coordinator is killed repeatedly while a hot range moves back and forth: each move ends, and no acked
/// write is lost.
#[tokio::test(flavor = "multi_thread")]
async fn coordinator_killed_at_any_step_completes_its_moves() {
    let folder = empty_folder("moves-killed");
    let (fleet, mut coordinator, _gateway, client) = start_with_data(&folder, 64).await;
    for round in 0..12u64 {
        let source = shards_with_data(&fleet)[0];
        let number = coordinator
            .request_move(extents(0, 1), 1 - source)
            .await
            .expect("a response")
            .expect("it can be moved");
        // In each round, a different order of the move is the last one before the kill.
        let orders =
            fleet.event_log.entries().iter().filter(|e| matches!(e.seen, StoreEvent::Ordered { .. })).count();
        let last = orders + 1 + round as usize % 9;
        let ordered = fleet.event_log.until(last, |entry| matches!(entry.seen, StoreEvent::Ordered { .. }));
        let write = retry_throttled(async || client.write(0, block_contents(10 + round, 0, 2)).await);
        let (_, outcome) = tokio::join!(tokio::time::timeout(Duration::from_millis(300), ordered), write);
        expect_acked(&outcome);
        coordinator.kill().await.expect("it was running");
        coordinator.restart().await.expect("it starts again");
        coordinator.await_move(number, Duration::from_secs(10)).await.expect("it ends");
        let read = retry_throttled(async || client.read(0, 64 * 4096).await).await;
        let mut expected = vec![Some(1); 64];
        expected[..2].fill(Some(10 + round));
        assert_eq!(read_marks(&read, 0, 64), expected, "round {round}");
        assert_eq!(shards_with_data(&fleet), [1 - source]);
    }
}

/// A coordinator that was stalled while another took over changes nothing when it resumes: it terminates.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_coordinator_after_takeover_ends_when_resumed() {
    let folder = empty_folder("moves-two");
    let (fleet, mut coordinator, _gateway, _client) = start_with_data(&folder, 1).await;
    let source = shards_with_data(&fleet)[0];
    let rejected = CoordinatorProcess::start(program_path(), &folder, fleet.list.address).await;
    assert!(rejected.is_err(), "two coordinators on one folder");
    let mut former = coordinator.take_over().await.expect("a second takes over");
    assert_eq!(coordinator.term, 2);
    move_first_extent(&coordinator, 1 - source).await;
    former.signal(Signal::SIGCONT).expect("it is running");
    assert!(
        !former.await_exit(Duration::from_secs(5)).await.expect("it ends"),
        "it exits with an error, since another coordinator took over"
    );
    assert_eq!(shards_with_data(&fleet), [1 - source]);
    move_first_extent(&coordinator, source).await;
}

/// A gateway that was stalled through a complete move resumes with writes in flight: none of them undoes
/// later writes.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_stalled_through_a_move_undoes_nothing() {
    let fleet = start_fleet(2).await;
    let folder = empty_folder("moves-still");
    let coordinator = start_coordinator(&fleet, &folder).await;
    let mut settings = settings_document("");
    (settings.endpoint_list, settings.coordinator, settings.seed) =
        (fleet.list.address, Some(coordinator.address), 9);
    settings.listen = vec![any_port()];
    let stalled = Gateway::start(program_path(), &folder, "still", &settings.as_script()).await;
    let stalled = stalled.expect("a gateway starts");
    let other = start_gateway_with(&fleet, 2, &settings_document(""), Some(coordinator.address)).await;
    let (first, second) =
        (Connection::open(stalled.address, "vol", true).await.expect("a session"), connect(&other).await);
    expect_acked(&retry_throttled(async || first.write(0, block_contents(1, 0, 8)).await).await);
    let source = shards_with_data(&fleet)[0];
    // The store has received all writes when their gateway is stalled: none is still in the client's socket.
    let (store, write_delay) = (fleet.store_of_shard(source).expect("a store"), Duration::from_millis(400));
    fleet.set_fault(store, Fault { write_delay, ..Fault::default() });
    let stalled_writes: Vec<_> = (0..4)
        .map(|block| {
            first.send(umbertray_nbd::Command::Write, 0, block * 4096, 4096, block_contents(2, block, 1))
        })
        .collect();
    let is_received =
        |entry: &umbertray_fakes::Entry| matches!(entry.seen, StoreEvent::Received { mark: 2, .. });
    within(3, "all writes at the store", fleet.event_log.until(4, is_received)).await;
    stalled.signal(Signal::SIGSTOP).expect("it is running");
    fleet.set_fault(store, Fault::default());
    move_first_extent(&coordinator, 1 - source).await;
    // Past the op timeout of the writes in flight.
    tokio::time::sleep(Duration::from_millis(1300)).await;
    expect_acked(&retry_throttled(async || second.write(0, block_contents(3, 0, 8)).await).await);
    stalled.signal(Signal::SIGCONT).expect("it is running");
    for write in stalled_writes {
        _ = within(4, "a final reply", write).await;
    }
    assert_eq!(read_marks(&second.read(0, 8 * 4096).await, 0, 8), vec![Some(3); 8]);
    let read = retry_throttled(async || first.read(0, 8 * 4096).await).await;
    assert_eq!(
        read_marks(&read, 0, 8),
        vec![Some(3); 8],
        "read through the gateway whose extent map was stale"
    );
}

/// An unreachable source cannot be fenced: the move waits, and can be abandoned.
#[tokio::test(flavor = "multi_thread")]
async fn move_from_unreachable_source_waits_or_is_abandoned() {
    let folder = empty_folder("moves-unreached");
    let (mut fleet, coordinator, _gateway, client) = start_with_data(&folder, 4).await;
    let source = shards_with_data(&fleet)[0];
    let identity = fleet.kill(fleet.store_of_shard(source).expect("a store")).await.expect("it ran");
    let number = coordinator
        .request_move(extents(0, 1), 1 - source)
        .await
        .expect("a response")
        .expect("the move is accepted");
    let prepared = fleet
        .event_log
        .until(1, |entry| matches!(&entry.seen, StoreEvent::Ordered { order, .. } if order == "prepare"));
    within(5, "the target is prepared", prepared).await;
    let (state, is_finished) = coordinator.move_status(number, true).await.expect("a response");
    assert!(!is_finished, "{state}: the source may still have received the order");
    fleet.restart(identity).await.expect("it starts again");
    let outcome = coordinator.await_move(number, Duration::from_secs(10)).await.expect("it ends");
    assert_eq!(outcome, "given up, the source serves");
    assert_eq!(shards_with_data(&fleet), [source]);
    assert_eq!(
        read_marks(&retry_throttled(async || client.read(0, 4 * 4096).await).await, 0, 4),
        vec![Some(1); 4]
    );
    move_first_extent(&coordinator, 1 - source).await;
}
