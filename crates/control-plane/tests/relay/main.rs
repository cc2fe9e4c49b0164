//! Simulates the complete tree of relays and gateways in virtual time. The product's nodes run in processes
//! that die, freeze or are slow, on connections that delay frames, end or are cut off. Some of the relays
//! lie.
//!
//! Checked at every step: an honest member applies only changes that the writer wrote, in order; its
//! committed version never decreases, not even across restarts; the data that it holds, queues and sends at
//! the same time is bounded.

mod fault_cases;
mod follower;
mod follower_harness;
mod lies;
mod network;
mod progress;
mod reference_log;
mod single_node;

use std::time::Duration;

use lies::Lie;
use network::{Id, Network};
use rand::Rng;
use umbertray_store_protocol::changes::Role;

/// Every change is committed at every live gateway within this time, with any one relay down or lying.
pub const MAX_APPLY_DELAY: Duration = Duration::from_secs(17);

/// Builds a tree of three relays that read the folder, one relay in each of three zones that follows them,
/// and gateways in each zone that follow the zone relays. The third zone is in another region.
pub fn tree(seed: u64, quorum: usize, gateways: usize) -> Network {
    let mut network = Network::new(seed, quorum, 500);
    let zones = [("a", 0), ("b", 0), ("c", 1)];
    let folder_relays: Vec<Id> = [0, 1, 0]
        .iter()
        .zip(0..)
        .map(|(zone, nth)| network.add(&format!("top-{nth}"), zones[*zone], Role::Relay, vec![]))
        .collect();
    let zone = |network: &mut Network, nth: usize| {
        network.add(&format!("zone-{nth}"), zones[nth], Role::Relay, folder_relays.clone())
    };
    let zone_relays: Vec<Id> = (0..3).map(|nth| zone(&mut network, nth)).collect();
    for nth in 0..gateways * 3 {
        network.add(&format!("gateway-{nth}"), zones[nth % 3], Role::Gateway, zone_relays.clone());
    }
    network
}

/// Injects or ends a random fault, and returns its description.
fn inject_fault(network: &mut Network) -> String {
    let relays = network.relays();
    let all = network.members.len();
    let relay = relays[network.rng.random_range(0..relays.len())];
    let any = network.rng.random_range(0..all);
    match network.rng.random_range(0..12) {
        0 => {
            network.kill(any);
            format!("{} dies", network.members[any].name)
        }
        1 | 2 => {
            network.kill(any);
            network.start(any);
            format!("{} is restarted", network.members[any].name)
        }
        3 => {
            network.members[relay].frozen = true;
            format!("{} freezes", network.members[relay].name)
        }
        4 => {
            network.thaw(relay);
            format!("{} thaws", network.members[relay].name)
        }
        5 => {
            network.members[relay].send_delay = Duration::from_millis(network.rng.random_range(0..1500));
            format!("{} is slow by {:?}", network.members[relay].name, network.members[relay].send_delay)
        }
        6 => {
            network.is_region_cut_off = !network.is_region_cut_off;
            format!("region cut off: {}", network.is_region_cut_off)
        }
        7 => {
            relays.iter().for_each(|relay| network.kill(*relay));
            relays.iter().for_each(|relay| network.start(*relay));
            "all relays are restarted".into()
        }
        8 => {
            // Long changes are rare, since hashing takes most of a run's time.
            let max_length = if network.rng.random_ratio(1, 5) { 400_000 } else { 4000 };
            let length = network.rng.random_range(0..max_length);
            network.write(length);
            format!("a change of {length} bytes")
        }
        _ => {
            network.lose_random_connection();
            "a connection is lost".into()
        }
    }
}

fn repair(network: &mut Network) {
    network.is_region_cut_off = false;
    for id in 0..network.members.len() {
        network.members[id].send_delay = Duration::ZERO;
        if network.members[id].node.is_none() {
            network.start(id);
        }
        if network.members[id].frozen {
            network.thaw(id);
        }
    }
}

/// Runs random faults, and then repairs them. Returns how long it took from the repair until every change was
/// applied.
///
/// # Errors
/// The rules that were violated, or the members that lag, with the trace of faults.
fn run(seed: u64, quorum: usize, lies: &[(Id, Lie)]) -> Result<Duration, String> {
    let mut network = tree(seed, quorum, 4);
    let mut trace = vec![format!("seed {seed}, quorum {quorum}, {lies:?}")];
    (0..network.rng.random_range(0..40)).for_each(|_| network.write(9));
    network.start_all();
    network.run_up_to(3000);
    lies.iter().for_each(|(id, lie)| {
        network.set_lie(*id, *lie);
        network.kill(*id);
        network.start(*id);
    });
    for _ in 0..network.rng.random_range(4..16) {
        let fault = inject_fault(&mut network);
        trace.push(format!("{:?}: {fault}", network.now));
        (0..network.rng.random_range(0..3)).for_each(|_| network.write(9));
        network.run_up_to(4000);
    }
    repair(&mut network);
    trace.push(format!("{:?}: repaired", network.now));
    network.write(9);
    let repaired_at = network.now;
    while !network.lagging().is_empty()
        && network.now < repaired_at + MAX_APPLY_DELAY
        && network.violations.is_empty()
    {
        network.run_for(Duration::from_millis(250));
    }
    let lagging = network.lagging();
    if !network.violations.is_empty() {
        Err(format!("{:?} after\n  {}", network.violations, trace.join("\n  ")))
    } else if !lagging.is_empty() {
        let head = network.log.head().version;
        trace.extend(network.describe(0));
        Err(format!(
            "not at version {head} {MAX_APPLY_DELAY:?} after it was written: {lagging:?} after\n  {}",
            trace.join("\n  ")
        ))
    } else {
        Ok(network.now - repaired_at)
    }
}

const SEEDS: u64 = 50;

/// Takes minutes in a release build.
#[test]
#[ignore = "a thousand runs: for a release build"]
fn thousand_runs_with_and_without_lies_end_with_all_applied() {
    let mut longest = Duration::ZERO;
    for seed in 10_000..11_000 {
        let lie = Lie::ALL[seed as usize % Lie::ALL.len()];
        let lies = [(seed as usize / 7 % 6, lie)];
        let lies = if seed % 3 == 0 { &[][..] } else { &lies[..] };
        longest = longest.max(run(seed, 2, lies).unwrap_or_else(|trace| panic!("{trace}")));
    }
    println!("applied at the latest {longest:?} after all members but the lying relay were repaired");
}

#[test]
fn random_faults_once_repaired_leave_everything_applied() {
    let longest = (0..SEEDS).map(|seed| run(seed, 2, &[]).unwrap_or_else(|trace| panic!("{trace}"))).max();
    println!("applied at the latest {longest:?} after all faults were repaired");
}

/// One of the six relays lies while random faults are injected.
#[test]
fn single_lying_relay_delays_and_does_no_more() {
    let mut longest = Duration::ZERO;
    for (lie, nth) in Lie::ALL.into_iter().zip(0..) {
        for seed in 0..4 {
            let liar = (seed as usize + nth) % 6;
            longest =
                longest.max(run(1000 + seed, 2, &[(liar, lie)]).unwrap_or_else(|trace| panic!("{trace}")));
        }
    }
    println!("applied at the latest {longest:?} after all members but the lying relay were repaired");
}

/// Verifies the checker itself: if the quorum is not larger than the number of lying relays, it finds
/// violations.
#[test]
fn checker_with_quorum_too_small_finds_violations() {
    let violations = |quorum: usize, lies: &[(Id, Lie)]| {
        (0..40)
            .find_map(|seed| run(seed, quorum, lies).err().filter(|trace| trace.contains("written\"")))
            .is_some()
    };
    assert!(violations(1, &[(3, Lie::Forged)]), "a forged change from one lying relay");
    assert!(violations(1, &[(3, Lie::FalseState)]), "a false state from one lying relay");
    assert!(violations(2, &[(3, Lie::Forged), (4, Lie::Forged)]), "a forged change from two lying relays");
    assert!(
        violations(2, &[(0, Lie::FalseState), (1, Lie::FalseState)]),
        "a false state from two lying relays"
    );
}
