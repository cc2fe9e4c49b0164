//! One trouble at a time, and what crosses the connections for it.

use std::time::Duration;

use bytes::Bytes;
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{
    Action, Config, ConfigError, DisconnectReason, Entry, Event, MAX_CHECKPOINT_TRANSFERS, MAX_SUFFIX_BYTES,
    Origin, RelayEvent, RelayNode, Upstream,
};
use umbertray_store_protocol::changes::{FromUpstream, Position, RefusalReason, Role, ToUpstream};

use crate::net::{Id, Net, Way};
use crate::truth::Log;
use crate::{WITHIN, tree};

const SECOND: Duration = Duration::from_secs(1);
/// Without fault.
const SOON: Duration = Duration::from_secs(2);

/// A net that has settled with some versions in force.
fn settled(seed: u64, gateways: usize) -> Net {
    let mut net = tree(seed, 2, gateways);
    (0..20).for_each(|_| net.write(200));
    net.start_all();
    net.run_for(15 * SECOND);
    assert_eq!((net.behind(), &net.broken), (vec![], &vec![]));
    net
}

/// Writes a change a second, so that the slowest of any moment counts; the longest that one took.
fn longest_of(net: &mut Net, changes: usize) -> Duration {
    net.longest = Duration::ZERO;
    for _ in 0..changes {
        net.write(200);
        net.run_for(SECOND);
    }
    net.run_for(WITHIN);
    assert_eq!((net.behind(), &net.broken), (vec![], &vec![]));
    net.longest
}

#[test]
fn without_fault_a_change_is_soon_in_force() {
    let longest = longest_of(&mut settled(1, 10), 20);
    println!("without fault: {longest:?}");
    assert!(longest < SOON, "{longest:?}");
}

#[test]
fn with_any_one_relay_gone_silent_or_slow_a_change_is_in_force_in_time() {
    let mut worst = Duration::ZERO;
    for relay in 0..6 {
        for trouble in 0..3 {
            let mut net = settled(relay as u64, 4);
            match trouble {
                0 => net.kill(relay),
                1 => net.members[relay].frozen = true,
                _ => net.members[relay].slow = 2 * SECOND,
            }
            let longest = longest_of(&mut net, 8);
            assert!(longest < WITHIN, "{}, trouble {trouble}: {longest:?}", net.members[relay].name);
            worst = worst.max(longest);
        }
    }
    println!("with one relay gone, silent or slow by 2 s: {worst:?}");
}

fn down(net: &Net, of: &[Id], kinds: &[u8]) -> usize {
    let counted = of.iter().filter_map(|id| net.counted.get(&(*id, Way::Down)));
    counted
        .flat_map(|counted| &counted.frames)
        .filter(|(kind, _)| kinds.contains(kind))
        .map(|(_, count)| count)
        .sum()
}

fn bytes(net: &Net, of: &[Id]) -> usize {
    let ways = of.iter().flat_map(|id| [(*id, Way::Up), (*id, Way::Down)]);
    ways.filter_map(|way| net.counted.get(&way)).map(|counted| counted.bytes).sum()
}

const AT: u8 = 99;
const ENTRY: u8 = 100;
const PART: u8 = 101;

#[test]
fn a_change_crosses_each_link_once() {
    let mut net = settled(3, 10);
    let (tops, zones) = (vec![0, 1, 2], vec![3, 4, 5]);
    net.counted.clear();
    for _ in 0..10 {
        net.write(200);
        net.run_for(SECOND);
    }
    // Ten changes to 3 relays of zones and 30 gateways, each of one upstream; where it stands is told by three.
    assert_eq!(down(&net, &tops, &[ENTRY]), 10 * 3);
    assert_eq!(down(&net, &zones, &[ENTRY]), 10 * 30);
    assert_eq!(down(&net, &tops, &[AT]), 10 * 3 * 3);
    assert_eq!(down(&net, &zones, &[AT]), 10 * 30 * 3);
    assert_eq!(down(&net, &[0, 1, 2, 3, 4, 5], &[PART]), 0);
}

#[test]
fn an_idle_gateway_costs_few_bytes_a_second() {
    let mut net = settled(4, 10);
    net.counted.clear();
    net.run_for(60 * SECOND);
    let gateways = net.gateways();
    let all = bytes(&net, &[3, 4, 5]) + bytes(&net, &gateways);
    let each = all / gateways.len() / 60;
    println!("{each} bytes a second a gateway, both ways, of frames");
    assert!(each < 100, "{each}");
}

#[test]
fn after_an_hour_apart_the_tail_travels_and_not_the_whole() {
    let mut net = settled(5, 2);
    net.cut = true;
    for _ in 0..175 {
        net.write(200);
        net.run_for(Duration::from_secs_f64(3600.0 / 175.0));
    }
    let apart: Vec<Id> = net.gateways().into_iter().filter(|id| net.members[*id].place.region == 1).collect();
    let held: Vec<_> = apart.iter().map(|id| net.members[*id].in_force.map(|at| at.version)).collect();
    assert_eq!(held, vec![Some(20); apart.len()], "they go on with what they have");
    net.cut = false;
    net.counted.clear();
    net.run_for(WITHIN);
    assert_eq!((net.behind(), &net.broken), (vec![], &vec![]));
    // Of checkpoints only the newest, to the relay, so that it has what the others have for those that are new.
    assert_eq!((down(&net, &[0, 1, 2], &[PART]), down(&net, &[3, 4, 5], &[PART])), (1, 0));
    let relays = net.relays();
    // To the relay of the zone that was apart and its two gateways; some may have changed whom they follow meanwhile.
    let entries = down(&net, &relays, &[ENTRY]);
    assert!((175 * 3..=175 * 4).contains(&entries), "{entries} entries");
}

#[test]
fn a_herd_is_sent_few_checkpoints_at_once_and_the_others_are_told_when_to_return() {
    let mut net = tree(6, 2, 60);
    net.log.state = 200_000;
    (0..20).for_each(|_| net.write(200));
    net.start_all();
    let begun = net.now;
    while !net.behind().is_empty() && net.now < begun + 60 * SECOND {
        net.run_for(SECOND / 4);
    }
    let relays = net.relays();
    println!(
        "180 gateways and 3 relays from nothing in {:?}, {} checkpoints at once, {} told to return",
        net.now - begun,
        net.most_checkpoint_transfers,
        down(&net, &relays, &[102]),
    );
    assert_eq!((net.behind(), &net.broken), (vec![], &vec![]));
    assert!(net.most_checkpoint_transfers <= MAX_CHECKPOINT_TRANSFERS);
    assert!(down(&net, &relays, &[102]) > 0, "nobody was told to return");
    assert!(net.now - begun < WITHIN);
    // All relays anew: the gateways have what they have, and none is sent a checkpoint.
    let gateways = net.gateways();
    net.counted.clear();
    relays.iter().for_each(|relay| net.kill(*relay));
    relays.iter().for_each(|relay| net.start(*relay));
    net.write(200);
    net.run_for(WITHIN);
    assert_eq!((net.behind(), &net.broken), (vec![], &vec![]));
    let adopted: usize = gateways.iter().map(|id| net.members[*id].adopted).sum();
    assert_eq!(adopted, gateways.len(), "each gateway was sent one checkpoint in its life");
}

#[test]
fn one_that_falls_out_of_the_tail_is_sent_the_newest_checkpoint() {
    let mut net = Net::new(7, 2, 500);
    let tops = (0..3).map(|nth| net.add(&format!("top-{nth}"), ("a", 0), Role::Relay, vec![])).collect();
    let slow = net.add("gateway", ("a", 0), Role::Gateway, tops);
    net.write(9);
    net.start_all();
    net.run_for(SECOND);
    net.members[slow].frozen = true;
    for _ in 0..36 {
        net.write(MAX_SUFFIX_BYTES / 34);
        net.run_for(SECOND);
    }
    assert_eq!(net.members[slow].adopted, 1);
    net.thaw(slow);
    net.run_for(WITHIN);
    assert_eq!((net.behind(), &net.broken), (vec![], &vec![]));
    assert_eq!(net.members[slow].adopted, 2);
}

/// The folder is put back to an older copy, and everything is started anew; then another history grows from there.
fn put_back(resumes: bool) -> Net {
    let mut net = settled(8, 1);
    let gateway = net.gateways()[0];
    net.write(200);
    net.run_for(SECOND);
    net.log.entries.truncate(18);
    net.written.truncate(18);
    (0..net.members.len()).for_each(|id| net.kill(id));
    (0..net.members.len()).for_each(|id| net.start_with(id, resumes));
    net.run_for(WITHIN);
    assert_eq!(net.members[gateway].in_force.map(|at| at.version), Some(21));
    (0..5).for_each(|_| net.write(77));
    net.run_for(WITHIN);
    assert!(!net.broken.iter().any(|what| what.contains("goes back")));
    assert_eq!(net.members[gateway].in_force.map(|at| at.version), Some(21));
    net
}

#[test]
fn a_gateway_that_restarts_takes_nothing_older_than_it_had_in_force() {
    let net = put_back(false);
    assert!(net.members[net.gateways()[0]].notes.contains(&RelayEvent::DivergentHistory { version: 21 }));
    // One that kept its state finds out from each that it turns to.
    let net = put_back(true);
    let notes = &net.members[net.gateways()[0]].notes;
    let fork = |note: &&RelayEvent| {
        matches!(
            note,
            RelayEvent::UpstreamLeft { reason: DisconnectReason::Refused(RefusalReason::Fork), .. }
        )
    };
    assert!(notes.iter().filter(fork).count() >= 3);
}

#[test]
fn gateways_that_kept_their_state_ask_only_for_what_came_since() {
    let mut net = settled(10, 4);
    let gateways = net.gateways();
    gateways.iter().for_each(|id| net.kill(*id));
    (0..5).for_each(|_| net.write(200));
    net.counted.clear();
    gateways.iter().for_each(|id| net.start_with(*id, true));
    net.run_for(WITHIN);
    assert_eq!((net.behind(), &net.broken), (vec![], &vec![]));
    assert_eq!(down(&net, &[3, 4, 5], &[PART]), 0);
    assert_eq!(down(&net, &[3, 4, 5], &[ENTRY]), 5 * gateways.len());
}

fn config(name: &str, origin: Origin) -> Config {
    Config { name: name.into(), zone: "a".into(), role: Role::Relay, origin, seed: 1, max_followers: 2 }
}

fn upstreams(names: &[&str], vouch: usize) -> Origin {
    let upstream = |name: &&str| Upstream { name: name.to_string(), zone: "a".into() };
    Origin::Upstreams { upstreams: names.iter().map(upstream).collect(), quorum: vouch }
}

#[test]
fn unsound_configurations_are_named() {
    let reason = |name: &str, origin| RelayNode::new(config(name, origin), None).err();
    assert_eq!(reason("a", upstreams(&["b", "a"], 1)), Some(ConfigError::FollowsItself("a".into())));
    assert_eq!(reason("a", upstreams(&["b", "b"], 2)), Some(ConfigError::Duplicate("b".into())));
    assert_eq!(reason("a", upstreams(&["b"], 2)), Some(ConfigError::Quorum { quorum: 2, upstreams: 1 }));
    assert_eq!(reason("a", upstreams(&["b"], 0)), Some(ConfigError::Quorum { quorum: 0, upstreams: 1 }));
    assert_eq!(reason("", Origin::Folder), Some(ConfigError::Name("".into())));
    let long = "n".repeat(129);
    assert_eq!(reason("a", upstreams(&[&long], 1)), Some(ConfigError::Name(long)));
    assert_eq!(reason("a", upstreams(&["b"], 1)), None);
}

#[test]
fn relays_that_follow_each_other_are_found_and_named() {
    let mut net = Net::new(9, 1, 500);
    (0..3).for_each(|_| net.write(9));
    let top = net.add("top", ("a", 0), Role::Relay, vec![]);
    let (one, other) = (1, 2);
    net.add("one", ("a", 0), Role::Relay, vec![other]);
    net.add("other", ("a", 0), Role::Relay, vec![one, top]);
    let gateway = net.add("gateway", ("a", 0), Role::Gateway, vec![one]);
    // It prefers the loop, which is in its zone, to the way out.
    net.members[top].place.zone = "b".into();
    net.start_all();
    net.run_for(WITHIN);
    let looped = |id: Id| net.members[id].notes.iter().any(|note| matches!(note, RelayEvent::Loop { .. }));
    assert!(looped(one) || looped(other));
    assert_eq!((net.behind(), &net.broken), (vec![], &vec![]));
    assert_eq!(net.members[gateway].in_force, Some(net.log.head()));
}

fn said(actions: &[Action]) -> Vec<&FromUpstream> {
    actions
        .iter()
        .filter_map(|action| if let Action::SendFollower { frame, .. } = action { Some(frame) } else { None })
        .collect()
}

fn closed(actions: &[Action]) -> Option<DisconnectReason> {
    actions.iter().find_map(|action| {
        if let Action::Close { reason: reason, .. } = action { Some(*reason) } else { None }
    })
}

/// A relay at a folder with three changes, and what it says to a follower that has said hello.
fn relay() -> (RelayNode, ConnectionId) {
    let mut log = Log::new(100);
    (0..3).for_each(|_| _ = log.write("change", 9));
    let mut node = RelayNode::new(config("relay", Origin::Folder), None).expect("sound");
    let (at, bytes) = log.checkpoint(0);
    node.handle(Duration::ZERO, Event::FolderCheckpoint { at, bytes });
    node.handle(Duration::ZERO, Event::FolderEntries(log.entries));
    let connection = ConnectionId(1);
    node.handle(Duration::ZERO, Event::FollowerConnected(connection));
    let frame = ToUpstream::Hello { name: "below".into(), zone: "a".into(), role: Role::Relay };
    let actions = node.handle(Duration::ZERO, Event::FromFollower { connection, frame });
    assert!(matches!(said(&actions)[..], [FromUpstream::Hello { .. }, FromUpstream::Head { .. }]));
    (node, connection)
}

#[test]
fn followers_that_make_no_sense_are_refused_and_named() {
    let other = Position { version: 2, hash: [1; 32] };
    let ahead = Position { version: 9, hash: [1; 32] };
    let hello = || ToUpstream::Hello { name: "below".into(), zone: "a".into(), role: Role::Relay };
    for (frame, reason, left) in [
        (ToUpstream::Follow { after: other }, RefusalReason::Fork, DisconnectReason::Fork),
        (ToUpstream::Follow { after: ahead }, RefusalReason::Ahead, DisconnectReason::ProtocolViolation),
        (
            ToUpstream::WindowUpdate { bytes: 1 },
            RefusalReason::ProtocolViolation,
            DisconnectReason::ProtocolViolation,
        ),
        (
            ToUpstream::Fetch { version: 0, offset: 5000 },
            RefusalReason::ProtocolViolation,
            DisconnectReason::ProtocolViolation,
        ),
        (hello(), RefusalReason::ProtocolViolation, DisconnectReason::ProtocolViolation),
    ] {
        let (mut node, connection) = relay();
        let actions = node.handle(Duration::ZERO, Event::FromFollower { connection, frame });
        assert_eq!(said(&actions), [&FromUpstream::Refused { reason: reason }]);
        assert_eq!(closed(&actions), Some(left));
        assert_eq!(node.status(Duration::ZERO).followers, 0);
    }
    let (mut node, _) = relay();
    let connection = ConnectionId(2);
    node.handle(Duration::ZERO, Event::FollowerConnected(connection));
    let frame = ToUpstream::Hello { name: "relay".into(), zone: "a".into(), role: Role::Relay };
    let actions = node.handle(Duration::ZERO, Event::FromFollower { connection, frame });
    assert_eq!(closed(&actions), Some(DisconnectReason::Loop), "itself");
    node.handle(Duration::ZERO, Event::FollowerConnected(ConnectionId(3)));
    let actions = node.handle(Duration::ZERO, Event::FollowerConnected(ConnectionId(4)));
    assert_eq!(closed(&actions), Some(DisconnectReason::TooManyFollowers));
    let actions = node.handle(Duration::ZERO, Event::Malformed(ConnectionId(3)));
    assert_eq!(closed(&actions), Some(DisconnectReason::ProtocolViolation));
}

#[test]
fn a_folder_that_goes_back_or_forks_is_not_told_on() {
    let (mut node, _) = relay();
    let head = node.status(Duration::ZERO).head;
    let mut log = Log::new(100);
    (0..5).for_each(|_| _ = log.write("other", 9));
    let broken = |actions: Vec<Action>| {
        assert!(said(&actions).is_empty());
        actions.iter().any(|action| matches!(action, Action::Log(RelayEvent::FolderBroken { .. })))
    };
    let entries = |from: usize| Event::FolderEntries(log.entries[from..].to_vec());
    assert!(broken(node.handle(Duration::ZERO, entries(3))), "another chain");
    assert!(broken(node.handle(Duration::ZERO, entries(0))), "from the beginning");
    let (at, bytes) = log.checkpoint(2);
    assert!(
        broken(node.handle(Duration::ZERO, Event::FolderCheckpoint { at, bytes })),
        "a fork's checkpoint"
    );
    let edited = Entry { at: head.after_change(b"one"), body: Bytes::from_static(b"other") };
    assert!(broken(node.handle(Duration::ZERO, Event::FolderEntries(vec![edited]))), "an edited body");
    assert_eq!(node.status(Duration::ZERO).head, head);
}

/// One that says hello and then reads nothing: what it is sent stops at its window.
#[test]
fn a_follower_that_takes_nothing_is_sent_no_more_than_its_window() {
    let (mut node, connection) = relay();
    let start = Position::START;
    let mut log = Log::new(100);
    (0..3).for_each(|_| _ = log.write("change", 9));
    let mut sent = 0;
    let mut count = |actions: Vec<Action>| {
        for frame in said(&actions) {
            if let FromUpstream::Entry { part, .. } = frame {
                sent += part.len();
            }
        }
    };
    count(node.handle(
        Duration::ZERO,
        Event::FromFollower { connection, frame: ToUpstream::Follow { after: start } },
    ));
    for _ in 0..200 {
        let entry = log.write("change", 30_000);
        count(node.handle(Duration::ZERO, Event::FolderEntries(vec![entry])));
    }
    assert!((200 << 10..330 << 10).contains(&sent), "{sent} bytes");
    assert!(node.status(Duration::ZERO).held_bytes <= MAX_SUFFIX_BYTES + 1000);
    // It is gone when its lease is over.
    let actions = node.handle(10 * SECOND, Event::Tick);
    assert_eq!(closed(&actions), Some(DisconnectReason::IdleTimeout));
}
