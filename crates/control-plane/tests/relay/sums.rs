//! What an operator hears of who has acted on what.

use std::time::Duration;

use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{Action, Config, Event, LEASE, Origin, RelayEvent, RelayNode};
use umbertray_store_protocol::changes::{
    LaggingMember, MAX_LAGGING, MAX_VERSION_COUNTS, ProgressSummary, Role, ToUpstream, VersionCount,
};

use crate::net::Net;
use crate::tree;
use crate::truth::Log;

const SECOND: Duration = Duration::from_secs(1);

/// The sums of all relays at the folder.
fn levels(net: &Net) -> Vec<(u64, u32)> {
    let mut all = std::collections::BTreeMap::new();
    for member in net.members.iter().take(3) {
        let sums = member.node.as_ref().map(|node| node.status(net.now).progress).unwrap_or_default();
        for level in sums.levels {
            *all.entry(level.version).or_insert(0) += level.members;
        }
    }
    all.into_iter().rev().collect()
}

fn behind(net: &Net) -> Vec<LaggingMember> {
    let nodes = net.members.iter().take(3).filter_map(|member| member.node.as_ref());
    nodes.flat_map(|node| node.status(net.now).progress.lagging).collect()
}

#[test]
fn sums_tell_who_has_acted_and_name_those_behind_until_their_lease_is_over() {
    let mut net = tree(11, 2, 10);
    (0..5).for_each(|_| net.write(9));
    net.start_all();
    net.run_for(20 * SECOND);
    assert_eq!(levels(&net), [(5, 30)]);
    assert_eq!(behind(&net), []);
    // One does not put in force what it is given; another dies.
    let (deaf, dead) = (net.gateways()[4], net.gateways()[7]);
    net.members[deaf].deaf = true;
    net.write(9);
    net.run_for(5 * SECOND);
    assert_eq!(levels(&net), [(6, 29), (5, 1)]);
    let named = behind(&net);
    assert_eq!((named.len(), named[0].name.as_str(), named[0].version), (1, "gateway-4", 5));
    assert!((20..=26).contains(&named[0].lag_seconds), "{} s", named[0].lag_seconds);
    net.members[dead].frozen = true;
    net.run_for(LEASE / 2);
    assert_eq!(levels(&net), [(6, 29), (5, 1)], "its lease is not over");
    net.run_for(LEASE);
    assert_eq!(levels(&net), [(6, 28), (5, 1)]);
}

fn node() -> (RelayNode, ConnectionId) {
    let config = Config {
        name: "relay".into(),
        zone: "a".into(),
        role: Role::Relay,
        origin: Origin::Folder,
        seed: 1,
        max_followers: 1000,
    };
    let mut node = RelayNode::new(config, None).expect("sound");
    let mut log = Log::new(9);
    (0..100).for_each(|_| _ = log.write("change", 9));
    let (at, bytes) = log.checkpoint(0);
    node.handle(Duration::ZERO, Event::FolderCheckpoint { at, bytes });
    node.handle(Duration::ZERO, Event::FolderEntries(log.entries));
    let connection = join(&mut node, 1, Role::Relay);
    (node, connection)
}

fn join(node: &mut RelayNode, nth: u64, role: Role) -> ConnectionId {
    let connection = ConnectionId(nth);
    node.handle(Duration::ZERO, Event::FollowerConnected(connection));
    let frame = ToUpstream::Hello { name: format!("member-{nth:03}"), zone: "a".into(), role };
    node.handle(Duration::ZERO, Event::FromFollower { connection, frame });
    connection
}

fn acted(node: &mut RelayNode, connection: ConnectionId, sums: ProgressSummary) -> Vec<RelayEvent> {
    let actions =
        node.handle(Duration::ZERO, Event::FromFollower { connection, frame: ToUpstream::Progress(sums) });
    let note = |action| if let Action::Log(note) = action { Some(note) } else { None };
    actions.into_iter().filter_map(note).collect()
}

fn level(version: u64, members: u32) -> VersionCount {
    VersionCount { version, members }
}

#[test]
fn sums_that_make_no_sense_are_left_out_and_told_once() {
    let one = |name: &str, version| LaggingMember { name: name.into(), version, lag_seconds: 1 };
    let bad = |levels: Vec<VersionCount>, behind| ProgressSummary { levels, lagging: behind };
    for (sums, role) in [
        (bad(vec![level(101, 1)], vec![]), Role::Relay),
        (bad(vec![level(100, 1_000_000)], vec![]), Role::Relay),
        (bad(vec![level(100, 60_000), level(99, 60_000)], vec![]), Role::Relay),
        (bad(vec![level(5, 1), level(6, 1)], vec![]), Role::Relay),
        (bad(vec![level(5, 1), level(5, 1)], vec![]), Role::Relay),
        (bad(vec![level(5, 0)], vec![]), Role::Relay),
        (bad(vec![level(5, 1)], vec![one("g", 101)]), Role::Relay),
        (bad(vec![level(5, 1)], vec![one("g", 4), one("h", 4)]), Role::Relay),
        (bad(vec![level(5, 2)], vec![]), Role::Gateway),
        (bad(vec![level(5, 1)], vec![one("g", 4)]), Role::Gateway),
    ] {
        let (mut node, _) = node();
        let connection = join(&mut node, 2, role);
        assert_eq!(acted(&mut node, connection, bad(vec![level(100, 1)], vec![])), []);
        let notes = acted(&mut node, connection, sums.clone());
        assert!(
            matches!(&notes[..], [RelayEvent::InvalidProgress { follower, .. }] if follower == "member-002"),
            "{sums:?}"
        );
        assert_eq!(acted(&mut node, connection, sums), [], "told once");
        assert_eq!(node.status(Duration::ZERO).progress, ProgressSummary::default());
    }
}

#[test]
fn sums_are_bounded_and_never_say_that_more_have_acted_than_have() {
    let (mut node, _) = node();
    for nth in 10..60 {
        let connection = join(&mut node, nth, Role::Gateway);
        acted(&mut node, connection, ProgressSummary { levels: vec![level(nth, 1)], lagging: vec![] });
    }
    let sums = node.status(Duration::ZERO).progress;
    assert_eq!(sums.levels.len(), MAX_VERSION_COUNTS);
    assert_eq!(sums.levels.iter().map(|level| level.members).sum::<u32>(), 50);
    assert_eq!(sums.levels[0], level(59, 1));
    assert_eq!(sums.levels[MAX_VERSION_COUNTS - 1], level(10, 35), "the lowest stand for all below");
    assert_eq!(sums.lagging.len(), MAX_LAGGING);
    assert_eq!((sums.lagging[0].name.as_str(), sums.lagging[0].version), ("member-010", 10));
}
