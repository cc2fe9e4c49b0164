//! Ranges that move under gateways that know of it, do not, or stand still: coordinator and program in processes of their own.

use std::time::Duration;

use nix::sys::signal::Signal;
use umbertray_fakes::book::Seen;
use umbertray_fakes::client::Connection;
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::Fault;
use umbertray_fault_tests::coordinator::CoordinatorProcess;
use umbertray_fault_tests::run::Gateway;
use umbertray_nbd_gateway::RunningGateway;
use umbertray_store_protocol::orders::ExtentRange;
use umbertray_store_protocol::volume_id;

use crate::common::*;

/// The volume's first extents, which hold 64 blocks each.
fn span(from: u64, to: u64) -> ExtentRange {
    ExtentRange { volume: volume_id("vol"), start: from, end: to }
}

async fn keeper(fleet: &Fleet, name: &str) -> CoordinatorProcess {
    CoordinatorProcess::start(program(), &folder(name), fleet.list.address).await.expect("a keeper starts")
}

/// Two stores, a coordinator, a gateway that asks it, and a client that has written so many blocks.
async fn begun(name: &str, blocks: u32) -> (Fleet, CoordinatorProcess, RunningGateway, Connection) {
    let fleet = fleet(2).await;
    let keeper = keeper(&fleet, name).await;
    let gateway = gateway_with(&fleet, 1, &document(""), Some(keeper.address)).await;
    let client = connect(&gateway).await;
    acked(&patiently(async || client.write(0, marked(1, 0, blocks)).await).await);
    (fleet, keeper, gateway, client)
}

/// Where the first extent lies, by what stores hold.
fn home(fleet: &Fleet) -> Vec<u32> {
    let holds = |shard: &u32| {
        let store = fleet.get(fleet.of_shard(*shard).expect("a store")).expect("it runs");
        store.identity().medium.lock().expect("it lives").holds(&span(0, 1)) > 0
    };
    (0..2).filter(holds).collect()
}

async fn moved(keeper: &CoordinatorProcess, shard: u32) {
    let taken_on = async {
        loop {
            // One that has just started may not have heard of the stores yet.
            match keeper.wish(span(0, 1), shard).await.expect("an answer") {
                Ok(number) => return number,
                Err(refused) => assert!(refused.starts_with("no store serves"), "{refused}"),
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let number = within(5, "a move that can be made", taken_on).await;
    let ended = keeper.ended(number, Duration::from_secs(10)).await.expect("it ends");
    assert_eq!(ended, "moved, the source is cleared");
}

fn ran(fleet: &Fleet) -> usize {
    fleet.book.entries().iter().filter(|entry| matches!(entry.seen, Seen::Ran { .. })).count()
}

fn stale(fleet: &Fleet) -> usize {
    let stale = |seen: &Seen| matches!(seen, Seen::Answered { code, .. } if code == "Stale");
    fleet.book.entries().iter().filter(|entry| stale(&entry.seen)).count()
}

/// A gateway that was told of no move finds out by its next op, which goes on; nothing is left where the range was.
#[tokio::test(flavor = "multi_thread")]
async fn an_op_to_where_its_range_was_goes_on_where_it_is() {
    let fleet = fleet(2).await;
    let keeper = keeper(&fleet, "moves-stale").await;
    let gateways = [
        gateway_with(&fleet, 1, &document(""), Some(keeper.address)).await,
        gateway_with(&fleet, 2, &document(""), Some(keeper.address)).await,
    ];
    let clients = [connect(&gateways[0]).await, connect(&gateways[1]).await];
    acked(&patiently(async || clients[0].write(0, marked(1, 0, 4)).await).await);
    assert_eq!(marks(&clients[1].read(0, 4 * 4096).await, 0, 4), vec![Some(1); 4]);
    for round in 0..6u64 {
        let from = home(&fleet);
        assert_eq!(from.len(), 1, "at one place: {from:?}");
        moved(&keeper, 1 - from[0]).await;
        assert_eq!(home(&fleet), [1 - from[0]], "the source is cleared");
        let before = stale(&fleet);
        let (one, other) = (&clients[round as usize % 2], &clients[(round as usize + 1) % 2]);
        acked(&patiently(async || one.write(0, marked(2 + round, 0, 2)).await).await);
        let read = patiently(async || other.read(0, 4 * 4096).await).await;
        assert_eq!(marks(&read, 0, 4), [Some(2 + round), Some(2 + round), Some(1), Some(1)]);
        assert!(stale(&fleet) > before, "the stores said that the range has moved");
    }
}

/// An op that ran at the source, its answer lost, and is sent again to the target: acked, without a second effect.
#[tokio::test(flavor = "multi_thread")]
async fn what_ran_at_the_source_does_not_run_again_at_the_target() {
    let fleet = fleet(2).await;
    let keeper = keeper(&fleet, "moves-marks").await;
    let mut patient = document("");
    // However slow the machine, it is not late when it is sent again.
    for op_type in &mut patient.settings.op_types {
        (op_type.target_latency, op_type.op_timeout) = (Duration::from_secs(6), Duration::from_secs(8));
    }
    let gateway = gateway_with(&fleet, 1, &patient, Some(keeper.address)).await;
    let client = connect(&gateway).await;
    acked(&patiently(async || client.write(0, marked(1, 0, 1)).await).await);
    let source = home(&fleet)[0];
    let store = fleet.of_shard(source).expect("a store");
    fleet.fault(store, Fault { lost: 1.0, ..Fault::default() });
    let before = ran(&fleet);
    let write = client.send(umbertray_nbd::Command::Write, 0, 0, 4096, marked(2, 0, 1));
    let nth = before + 1;
    within(3, "run", fleet.book.until(nth, |entry| matches!(entry.seen, Seen::Ran { .. }))).await;
    moved(&keeper, 1 - source).await;
    // Its connection breaks: the gateway sends it again, to the source, and is told where to.
    fleet.fault(store, Fault::default());
    fleet.get(store).expect("it runs").cut_links();
    let ended = within(9, "answer", write).await.ok().flatten();
    acked(&ended);
    assert_eq!(ran(&fleet), before + 1, "its mark came along");
    assert_eq!(marks(&client.read(0, 4096).await, 0, 1), [Some(2)]);
}

/// Without a coordinator what is known is served, flushes too; what is new waits for it and is told to come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_keeper_stalls_only_what_is_new() {
    let (fleet, mut keeper, _gateway, client) = begun("moves-static", 4).await;
    keeper.kill().await.expect("it was there");
    for round in 2..12 {
        acked(&within(2, "write", client.write(0, marked(round, 0, 4))).await);
        assert_eq!(marks(&client.read(0, 4 * 4096).await, 0, 4), vec![Some(round); 4]);
        acked(
            &within(2, "flush", client.send(umbertray_nbd::Command::Flush, 0, 0, 0, bytes::Bytes::new()))
                .await
                .ok()
                .flatten(),
        );
    }
    let new = within(3, "a final answer", client.write(u64::from(4 * 256 * KIB), marked(3, 256, 1))).await;
    assert!(throttled(&new), "{new:?}");
    keeper.again().await.expect("it starts again");
    assert_eq!(keeper.term, 2, "each run has a term of its own");
    acked(&patiently(async || client.write(u64::from(4 * 256 * KIB), marked(4, 256, 1)).await).await);
    // What was claimed is on the disk before it is told.
    keeper.kill().await.expect("it was there");
    keeper.again().await.expect("it starts again");
    moved(&keeper, 1 - home(&fleet)[0]).await;
}

/// The coordinator dies again and again while a hot range goes back and forth: each move ends, and nothing acked is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_killed_at_any_step_sees_its_moves_through() {
    let (fleet, mut keeper, _gateway, client) = begun("moves-killed", 64).await;
    for round in 0..12u64 {
        let source = home(&fleet)[0];
        let number = keeper.wish(span(0, 1), 1 - source).await.expect("an answer").expect("it can be moved");
        // Another order of the move each time is the last that this run gives.
        let orders = fleet.book.entries().iter().filter(|e| matches!(e.seen, Seen::Ordered { .. })).count();
        let last = orders + 1 + round as usize % 9;
        let given = fleet.book.until(last, |entry| matches!(entry.seen, Seen::Ordered { .. }));
        let write = patiently(async || client.write(0, marked(10 + round, 0, 2)).await);
        let (_, ended) = tokio::join!(tokio::time::timeout(Duration::from_millis(300), given), write);
        acked(&ended);
        keeper.kill().await.expect("it was there");
        keeper.again().await.expect("it starts again");
        keeper.ended(number, Duration::from_secs(10)).await.expect("it ends");
        let read = patiently(async || client.read(0, 64 * 4096).await).await;
        let mut wanted = vec![Some(1); 64];
        wanted[..2].fill(Some(10 + round));
        assert_eq!(marks(&read, 0, 64), wanted, "round {round}");
        assert_eq!(home(&fleet), [1 - source]);
    }
}

/// A coordinator that stood still while another took over changes nothing when it wakes: it ends.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_keepers_the_older_ends_when_it_wakes() {
    let (fleet, mut keeper, _gateway, _client) = begun("moves-two", 1).await;
    let source = home(&fleet)[0];
    let refused = CoordinatorProcess::start(program(), &folder_of("moves-two"), fleet.list.address).await;
    assert!(refused.is_err(), "two on one folder");
    let mut former = keeper.second().await.expect("a second takes over");
    assert_eq!(keeper.term, 2);
    moved(&keeper, 1 - source).await;
    former.signal(Signal::SIGCONT).expect("it is there");
    assert!(
        !former.ended(Duration::from_secs(5)).await.expect("it ends"),
        "it says that it was taken over from"
    );
    assert_eq!(home(&fleet), [1 - source]);
    moved(&keeper, source).await;
}

/// A gateway that stood still through a whole move wakes with writes under way: none of them undoes what came after.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_stood_still_through_a_move_undoes_nothing() {
    let fleet = fleet(2).await;
    let keeper = keeper(&fleet, "moves-still").await;
    let mut settings = document("");
    (settings.endpoint_list, settings.coordinator, settings.seed) =
        (fleet.list.address, Some(keeper.address), 9);
    settings.listen = vec![([127, 0, 0, 1], 0).into()];
    let still = Gateway::start(program(), &folder_of("moves-still"), "still", &settings.as_script()).await;
    let still = still.expect("a gateway starts");
    let other = gateway_with(&fleet, 2, &document(""), Some(keeper.address)).await;
    let (one, two) =
        (Connection::open(still.address, "vol", true).await.expect("a session"), connect(&other).await);
    acked(&patiently(async || one.write(0, marked(1, 0, 8)).await).await);
    let source = home(&fleet)[0];
    // They lie at the store when their gateway stops: none is still to be read from its client.
    let (store, sits) = (fleet.of_shard(source).expect("a store"), Duration::from_millis(400));
    fleet.fault(store, Fault { sits, ..Fault::default() });
    let late: Vec<_> = (0..4)
        .map(|block| one.send(umbertray_nbd::Command::Write, 0, block * 4096, 4096, marked(2, block, 1)))
        .collect();
    let lies = |entry: &umbertray_fakes::Entry| matches!(entry.seen, Seen::Received { mark: 2, .. });
    within(3, "all lie there", fleet.book.until(4, lies)).await;
    still.signal(Signal::SIGSTOP).expect("it is there");
    fleet.fault(store, Fault::default());
    moved(&keeper, 1 - source).await;
    // Past the op timeout of what was under way.
    tokio::time::sleep(Duration::from_millis(1300)).await;
    acked(&patiently(async || two.write(0, marked(3, 0, 8)).await).await);
    still.signal(Signal::SIGCONT).expect("it is there");
    for write in late {
        _ = within(4, "a final answer", write).await;
    }
    assert_eq!(marks(&two.read(0, 8 * 4096).await, 0, 8), vec![Some(3); 8]);
    let read = patiently(async || one.read(0, 8 * 4096).await).await;
    assert_eq!(marks(&read, 0, 8), vec![Some(3); 8], "its own map was old");
}

/// A source that is not reached is never fenced by hope: the move waits, and can be given up.
#[tokio::test(flavor = "multi_thread")]
async fn a_move_from_a_source_that_is_not_reached_waits_or_is_given_up() {
    let (mut fleet, keeper, _gateway, client) = begun("moves-unreached", 4).await;
    let source = home(&fleet)[0];
    let identity = fleet.kill(fleet.of_shard(source).expect("a store")).await.expect("it ran");
    let number = keeper.wish(span(0, 1), 1 - source).await.expect("an answer").expect("it is taken on");
    let taken =
        fleet.book.until(1, |entry| matches!(&entry.seen, Seen::Ordered { order, .. } if order == "prepare"));
    within(5, "the target is prepared", taken).await;
    let (state, over) = keeper.how_far(number, true).await.expect("an answer");
    assert!(!over, "{state}: the source may still have heard of it");
    fleet.restart(identity).await.expect("it starts again");
    let ended = keeper.ended(number, Duration::from_secs(10)).await.expect("it ends");
    assert_eq!(ended, "given up, the source serves");
    assert_eq!(home(&fleet), [source]);
    assert_eq!(marks(&patiently(async || client.read(0, 4 * 4096).await).await, 0, 4), vec![Some(1); 4]);
    moved(&keeper, 1 - source).await;
}
