//! One fault at a time, and the frames that it costs.

use std::time::Duration;

use umbertray_control_plane::relay::{
    DisconnectReason, MAX_CHECKPOINT_TRANSFERS, MAX_SUFFIX_BYTES, RelayEvent,
};
use umbertray_store_protocol::changes::{RefusalReason, Role};

use crate::network::{Direction, Id, Network};
use crate::{MAX_APPLY_DELAY, tree};

const SECOND: Duration = Duration::from_secs(1);
/// The bound without faults.
const APPLIED_SOON: Duration = Duration::from_secs(2);

/// A network in which all has been committed.
fn settled_net(seed: u64, gateways: usize) -> Network {
    let mut network = tree(seed, 2, gateways);
    (0..20).for_each(|_| network.write(200));
    network.start_all();
    network.run_for(15 * SECOND);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    network
}

/// Writes a change a second; the longest time that one of them took.
fn longest_apply_time(network: &mut Network, changes: usize) -> Duration {
    network.longest = Duration::ZERO;
    for _ in 0..changes {
        network.write(200);
        network.run_for(SECOND);
    }
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    network.longest
}

#[test]
fn change_without_faults_is_applied_soon() {
    let longest = longest_apply_time(&mut settled_net(1, 10), 20);
    println!("without fault: {longest:?}");
    assert!(longest < APPLIED_SOON, "{longest:?}");
}

#[test]
fn change_with_any_one_relay_failed_is_applied_in_time() {
    let mut worst = Duration::ZERO;
    for relay in 0..6 {
        for inject_fault in 0..3 {
            let mut network = settled_net(relay as u64, 4);
            match inject_fault {
                0 => network.kill(relay),
                1 => network.members[relay].frozen = true,
                _ => network.members[relay].slow = 2 * SECOND,
            }
            let longest = longest_apply_time(&mut network, 8);
            assert!(
                longest < MAX_APPLY_DELAY,
                "{}, trouble {inject_fault}: {longest:?}",
                network.members[relay].name
            );
            worst = worst.max(longest);
        }
    }
    println!("with one relay gone, silent or slow by 2 s: {worst:?}");
}

fn frames_down(network: &Network, of: &[Id], kinds: &[u8]) -> usize {
    let counted = of.iter().filter_map(|id| network.counted.get(&(*id, Direction::Down)));
    counted
        .flat_map(|counted| &counted.frames)
        .filter(|(kind, _)| kinds.contains(kind))
        .map(|(_, count)| count)
        .sum()
}

fn bytes(network: &Network, of: &[Id]) -> usize {
    let directions = of.iter().flat_map(|id| [(*id, Direction::Up), (*id, Direction::Down)]);
    directions.filter_map(|direction| network.counted.get(&direction)).map(|counted| counted.bytes).sum()
}

const HEAD_KIND: u8 = 99;
const ENTRY_KIND: u8 = 100;
const CHECKPOINT_PART_KIND: u8 = 101;

#[test]
fn change_crosses_each_connection_once() {
    let mut network = settled_net(3, 10);
    let folder_relays = [0, 1, 2];
    let zone_relays = [3, 4, 5];
    network.counted.clear();
    for _ in 0..10 {
        network.write(200);
        network.run_for(SECOND);
    }
    // Ten changes to 3 zone relays and 30 gateways, each from one upstream; heads are announced by three.
    assert_eq!(frames_down(&network, &folder_relays, &[ENTRY_KIND]), 10 * 3);
    assert_eq!(frames_down(&network, &zone_relays, &[ENTRY_KIND]), 10 * 30);
    assert_eq!(frames_down(&network, &folder_relays, &[HEAD_KIND]), 10 * 3 * 3);
    assert_eq!(frames_down(&network, &zone_relays, &[HEAD_KIND]), 10 * 30 * 3);
    assert_eq!(frames_down(&network, &[0, 1, 2, 3, 4, 5], &[CHECKPOINT_PART_KIND]), 0);
}

#[test]
fn gateway_idle_costs_few_bytes_a_second() {
    let mut network = settled_net(4, 10);
    network.counted.clear();
    network.run_for(60 * SECOND);
    let gateways = network.gateways();
    let all = bytes(&network, &[3, 4, 5]) + bytes(&network, &gateways);
    let each = all / gateways.len() / 60;
    println!("{each} bytes a second a gateway, both ways, of frames");
    assert!(each < 100, "{each}");
}

#[test]
fn region_cut_off_for_an_hour_receives_only_missing_entries() {
    let mut network = settled_net(5, 2);
    network.cut = true;
    for _ in 0..175 {
        network.write(200);
        network.run_for(Duration::from_secs_f64(3600.0 / 175.0));
    }
    let apart: Vec<Id> =
        network.gateways().into_iter().filter(|id| network.members[*id].place.region == 1).collect();
    let held: Vec<_> = apart.iter().map(|id| network.members[*id].committed.map(|at| at.version)).collect();
    assert_eq!(held, vec![Some(20); apart.len()], "they go on with what they have");
    network.cut = false;
    network.counted.clear();
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    // Of checkpoints only the newest, to the relay, which holds it for new followers as all relays do.
    assert_eq!(
        (
            frames_down(&network, &[0, 1, 2], &[CHECKPOINT_PART_KIND]),
            frames_down(&network, &[3, 4, 5], &[CHECKPOINT_PART_KIND])
        ),
        (1, 0)
    );
    let relays = network.relays();
    // To the relay of the zone that was cut off and its two gateways; some may have changed their source meanwhile.
    let entries = frames_down(&network, &relays, &[ENTRY_KIND]);
    assert!((175 * 3..=175 * 4).contains(&entries), "{entries} entries");
}

#[test]
fn checkpoint_requests_of_thundering_herd_are_bounded_and_told_to_retry() {
    let mut network = tree(6, 2, 60);
    network.log.state = 200_000;
    (0..20).for_each(|_| network.write(200));
    network.start_all();
    let begun = network.now;
    while !network.lagging().is_empty() && network.now < begun + 60 * SECOND {
        network.run_for(SECOND / 4);
    }
    let relays = network.relays();
    println!(
        "180 gateways and 3 relays from nothing in {:?}, {} checkpoints at once, {} told to return",
        network.now - begun,
        network.most_checkpoint_transfers,
        frames_down(&network, &relays, &[102]),
    );
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    assert!(network.most_checkpoint_transfers <= MAX_CHECKPOINT_TRANSFERS);
    assert!(frames_down(&network, &relays, &[102]) > 0, "nobody was told to return");
    assert!(network.now - begun < MAX_APPLY_DELAY);
    // All relays restart: the gateways keep what they have, and none is sent a checkpoint.
    let gateways = network.gateways();
    network.counted.clear();
    relays.iter().for_each(|relay| network.kill(*relay));
    relays.iter().for_each(|relay| network.start(*relay));
    network.write(200);
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    let checkpoints_loaded: usize = gateways.iter().map(|id| network.members[*id].checkpoints_loaded).sum();
    assert_eq!(checkpoints_loaded, gateways.len(), "each gateway was sent one checkpoint in its life");
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

/// The folder is restored from an older copy and everything restarts; then another history grows from there.
fn roll_back_folder(resumes: bool) -> Network {
    let mut network = settled_net(8, 1);
    let gateway = network.gateways()[0];
    network.write(200);
    network.run_for(SECOND);
    network.log.entries.truncate(18);
    network.written.truncate(18);
    (0..network.members.len()).for_each(|id| network.kill(id));
    (0..network.members.len()).for_each(|id| network.start_with(id, resumes));
    network.run_for(MAX_APPLY_DELAY);
    assert_eq!(network.members[gateway].committed.map(|at| at.version), Some(21));
    (0..5).for_each(|_| network.write(77));
    network.run_for(MAX_APPLY_DELAY);
    assert!(!network.violations.iter().any(|what| what.contains("goes back")));
    assert_eq!(network.members[gateway].committed.map(|at| at.version), Some(21));
    network
}

#[test]
fn gateway_restarted_applies_nothing_older() {
    let network = roll_back_folder(false);
    assert!(
        network.members[network.gateways()[0]].logged.contains(&RelayEvent::DivergentHistory { version: 21 })
    );
    // A gateway that kept its state is refused by each upstream that it follows.
    let network = roll_back_folder(true);
    let logged = &network.members[network.gateways()[0]].logged;
    let fork = |event: &&RelayEvent| {
        matches!(
            event,
            RelayEvent::UpstreamDisconnected { reason: DisconnectReason::Refused(RefusalReason::Fork), .. }
        )
    };
    assert!(logged.iter().filter(fork).count() >= 3);
}

#[test]
fn gateways_with_saved_state_request_only_newer_entries() {
    let mut network = settled_net(10, 4);
    let gateways = network.gateways();
    gateways.iter().for_each(|id| network.kill(*id));
    (0..5).for_each(|_| network.write(200));
    network.counted.clear();
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
    // It prefers the upstream in the loop, which is in its zone.
    network.members[top].place.zone = "b".into();
    network.start_all();
    network.run_for(MAX_APPLY_DELAY);
    let looped = |id: Id| {
        network.members[id].logged.iter().any(|event| matches!(event, RelayEvent::LoopDetected { .. }))
    };
    assert!(looped(one) || looped(other));
    assert_eq!((network.lagging(), &network.violations), (vec![], &vec![]));
    assert_eq!(network.members[gateway].committed, Some(network.log.head()));
}
