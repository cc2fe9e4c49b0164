//! Single faults: how soon changes are applied, and which frames are sent.

use std::time::Duration;

use umbertray_control_plane::relay::{
    DisconnectReason, MAX_CHECKPOINT_TRANSFERS, MAX_SUFFIX_BYTES, RelayEvent,
};
use umbertray_store_protocol::changes::{RejectionReason, Role};

use crate::network::{Direction, Id, Network};
use crate::{MAX_APPLY_DELAY, tree};

const SECOND: Duration = Duration::from_secs(1);
/// Maximum time from write to commit without faults.
const MAX_DELAY_WITHOUT_FAULTS: Duration = Duration::from_secs(2);

/// A network in which every gateway has committed all changes.
fn settled_network(seed: u64, gateways: usize) -> Network {
    let mut network = tree(seed, 2, gateways);
    (0..20).for_each(|_| network.write(200));
    network.start_all();
    network.run_for(15 * SECOND);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    network
}

/// Writes one change per second, and returns the longest time from the write of a change until its commit.
fn longest_apply_time(network: &mut Network, changes: usize) -> Duration {
    network.longest_delay = Duration::ZERO;
    for _ in 0..changes {
        network.write(200);
        network.run_for(SECOND);
    }
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    network.longest_delay
}

#[test]
fn change_without_faults_is_applied_soon() {
    let longest = longest_apply_time(&mut settled_network(1, 10), 20);
    println!("without faults: {longest:?}");
    assert!(longest < MAX_DELAY_WITHOUT_FAULTS, "{longest:?}");
}

#[test]
fn change_with_any_one_relay_failed_is_applied_in_time() {
    let mut worst = Duration::ZERO;
    for relay in 0..6 {
        for fault in 0..3 {
            let mut network = settled_network(relay as u64, 4);
            match fault {
                0 => network.kill(relay),
                1 => network.members[relay].frozen = true,
                _ => network.members[relay].send_delay = 2 * SECOND,
            }
            let longest = longest_apply_time(&mut network, 8);
            assert!(longest < MAX_APPLY_DELAY, "{}, fault {fault}: {longest:?}", network.members[relay].name);
            worst = worst.max(longest);
        }
    }
    println!("with one relay killed, frozen or slow by 2 s: {worst:?}");
}

/// Number of frames of these kinds that members sent to their followers.
fn frames_down(network: &Network, members: &[Id], kinds: &[u8]) -> usize {
    let traffic = members.iter().filter_map(|id| network.traffic.get(&(*id, Direction::Down)));
    traffic
        .flat_map(|traffic| &traffic.frames)
        .filter(|(kind, _)| kinds.contains(kind))
        .map(|(_, count)| count)
        .sum()
}

/// Number of bytes that members sent, to upstreams and followers.
fn bytes(network: &Network, members: &[Id]) -> usize {
    let directions = members.iter().flat_map(|id| [(*id, Direction::Up), (*id, Direction::Down)]);
    directions.filter_map(|direction| network.traffic.get(&direction)).map(|traffic| traffic.bytes).sum()
}

const HEAD_KIND: u8 = 99;
const ENTRY_KIND: u8 = 100;
const CHECKPOINT_PART_KIND: u8 = 101;
const RETRY_AFTER_KIND: u8 = 102;

#[test]
fn change_crosses_each_connection_once() {
    let mut network = settled_network(3, 10);
    let folder_relays = [0, 1, 2];
    let zone_relays = [3, 4, 5];
    network.traffic.clear();
    for _ in 0..10 {
        network.write(200);
        network.run_for(SECOND);
    }
    // Each of 3 zone relays and 30 gateways receives ten changes from one upstream, and their heads from
    // three.
    assert_eq!(frames_down(&network, &folder_relays, &[ENTRY_KIND]), 10 * 3);
    assert_eq!(frames_down(&network, &zone_relays, &[ENTRY_KIND]), 10 * 30);
    assert_eq!(frames_down(&network, &folder_relays, &[HEAD_KIND]), 10 * 3 * 3);
    assert_eq!(frames_down(&network, &zone_relays, &[HEAD_KIND]), 10 * 30 * 3);
    assert_eq!(frames_down(&network, &[0, 1, 2, 3, 4, 5], &[CHECKPOINT_PART_KIND]), 0);
}

#[test]
fn gateway_idle_costs_few_bytes_a_second() {
    let mut network = settled_network(4, 10);
    network.traffic.clear();
    network.run_for(60 * SECOND);
    let gateways = network.gateways();
    let all = bytes(&network, &[3, 4, 5]) + bytes(&network, &gateways);
    let each = all / gateways.len() / 60;
    println!("{each} bytes of frames per second and gateway, in both directions");
    assert!(each < 100, "{each}");
}

#[test]
fn region_cut_off_for_an_hour_receives_only_missing_entries() {
    let mut network = settled_network(5, 2);
    network.is_region_cut_off = true;
    for _ in 0..175 {
        network.write(200);
        network.run_for(Duration::from_secs_f64(3600.0 / 175.0));
    }
    let cut_off: Vec<Id> =
        network.gateways().into_iter().filter(|id| network.members[*id].site.region == 1).collect();
    let committed: Vec<_> =
        cut_off.iter().map(|id| network.members[*id].committed.map(|at| at.version)).collect();
    assert_eq!(committed, vec![Some(20); cut_off.len()], "they continue with the version that they have");
    network.is_region_cut_off = false;
    network.traffic.clear();
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    // The only checkpoint sent is the newest one, to the zone relay, since every relay holds it for new
    // followers.
    assert_eq!(
        (
            frames_down(&network, &[0, 1, 2], &[CHECKPOINT_PART_KIND]),
            frames_down(&network, &[3, 4, 5], &[CHECKPOINT_PART_KIND])
        ),
        (1, 0)
    );
    let relays = network.relays();
    // The entries are sent to the relay of the zone that was cut off and to its two gateways. Some of these
    // may have changed their source in the meantime and received entries twice.
    let entries = frames_down(&network, &relays, &[ENTRY_KIND]);
    assert!((175 * 3..=175 * 4).contains(&entries), "{entries} entries");
}

#[test]
fn checkpoint_requests_of_thundering_herd_are_bounded_and_told_to_retry() {
    let mut network = tree(6, 2, 60);
    network.log.checkpoint_bytes = 200_000;
    (0..20).for_each(|_| network.write(200));
    network.start_all();
    let started_at = network.now;
    while !network.lagging().is_empty() && network.now < started_at + 60 * SECOND {
        network.run_for(SECOND / 4);
    }
    let relays = network.relays();
    println!(
        "180 gateways and 3 relays started without state in {:?}, up to {} checkpoints at once, {} retries",
        network.now - started_at,
        network.max_checkpoint_transfers,
        frames_down(&network, &relays, &[RETRY_AFTER_KIND]),
    );
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    assert!(network.max_checkpoint_transfers <= MAX_CHECKPOINT_TRANSFERS);
    assert!(frames_down(&network, &relays, &[RETRY_AFTER_KIND]) > 0, "no follower was told to retry");
    assert!(network.now - started_at < MAX_APPLY_DELAY);
    // All relays restart: the gateways keep their state, and no checkpoint is sent to them.
    let gateways = network.gateways();
    network.traffic.clear();
    relays.iter().for_each(|relay| network.kill(*relay));
    relays.iter().for_each(|relay| network.start(*relay));
    network.write(200);
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    let checkpoints_loaded: usize = gateways.iter().map(|id| network.members[*id].checkpoints_loaded).sum();
    assert_eq!(checkpoints_loaded, gateways.len(), "each gateway has loaded one checkpoint in total");
}

#[test]
fn follower_behind_log_suffix_receives_newest_checkpoint() {
    let mut network = Network::new(7, 2, 500);
    let folder_relays =
        (0..3).map(|nth| network.add(&format!("top-{nth}"), ("a", 0), Role::Relay, vec![])).collect();
    let slow = network.add("gateway", ("a", 0), Role::Gateway, folder_relays);
    network.write(9);
    network.start_all();
    network.run_for(SECOND);
    network.members[slow].frozen = true;
    for _ in 0..36 {
        network.write(MAX_SUFFIX_BYTES / 34);
        network.run_for(SECOND);
    }
    assert_eq!(network.members[slow].checkpoints_loaded, 1);
    network.thaw(slow);
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    assert_eq!(network.members[slow].checkpoints_loaded, 2);
}

/// Restores the folder from an older copy and restarts all members; then the writer continues with another
/// history.
fn roll_back_folder(resumes: bool) -> Network {
    let mut network = settled_network(8, 1);
    let gateway = network.gateways()[0];
    network.write(200);
    network.run_for(SECOND);
    network.log.entries.truncate(18);
    network.written_at.truncate(18);
    (0..network.members.len()).for_each(|id| network.kill(id));
    (0..network.members.len()).for_each(|id| network.start_with(id, resumes));
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!(network.members[gateway].committed.map(|at| at.version), Some(21));
    (0..5).for_each(|_| network.write(77));
    network.run_for(MAX_APPLY_DELAY);
    assert!(!network.violations.iter().any(|violation| violation.contains("commits an older version")));
    assert_eq!(network.members[gateway].committed.map(|at| at.version), Some(21));
    network
}

#[test]
fn gateway_restarted_applies_nothing_older() {
    let network = roll_back_folder(false);
    assert!(
        network.members[network.gateways()[0]].logged.contains(&RelayEvent::DivergentHistory { version: 21 })
    );
    // A gateway that kept its state is rejected by every upstream that it follows.
    let network = roll_back_folder(true);
    let logged = &network.members[network.gateways()[0]].logged;
    let fork = |event: &&RelayEvent| {
        matches!(
            event,
            RelayEvent::UpstreamDisconnected {
                reason: DisconnectReason::Rejected(RejectionReason::Fork),
                ..
            }
        )
    };
    assert!(logged.iter().filter(fork).count() >= 3);
}

#[test]
fn gateways_with_saved_state_request_only_newer_entries() {
    let mut network = settled_network(10, 4);
    let gateways = network.gateways();
    gateways.iter().for_each(|id| network.kill(*id));
    (0..5).for_each(|_| network.write(200));
    network.traffic.clear();
    gateways.iter().for_each(|id| network.start_with(*id, true));
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    assert_eq!(frames_down(&network, &[3, 4, 5], &[CHECKPOINT_PART_KIND]), 0);
    assert_eq!(frames_down(&network, &[3, 4, 5], &[ENTRY_KIND]), 5 * gateways.len());
}

#[test]
fn relays_in_a_loop_are_detected_and_logged() {
    let mut network = Network::new(9, 1, 500);
    (0..3).for_each(|_| network.write(9));
    let top = network.add("top", ("a", 0), Role::Relay, vec![]);
    let one = 1;
    let other = 2;
    network.add("one", ("a", 0), Role::Relay, vec![other]);
    network.add("other", ("a", 0), Role::Relay, vec![one, top]);
    let gateway = network.add("gateway", ("a", 0), Role::Gateway, vec![one]);
    // Relay "other" prefers the upstream in the loop, which is in its own zone.
    network.members[top].site.zone = "b".into();
    network.start_all();
    network.run_for(MAX_APPLY_DELAY);
    let looped = |id: Id| {
        network.members[id].logged.iter().any(|event| matches!(event, RelayEvent::LoopDetected { .. }))
    };
    assert!(looped(one) || looped(other));
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    assert_eq!(network.members[gateway].committed, Some(network.log.head()));
}
