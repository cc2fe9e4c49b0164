//! Progress summaries, from which operators see the versions that members have applied.

use std::time::Duration;

use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{Action, Config, Event, LEASE_DURATION, Origin, RelayEvent, RelayNode};
use umbertray_store_protocol::changes::{
    LaggingMember, MAX_LAGGING, MAX_VERSION_COUNTS, ProgressSummary, Role, ToUpstream, VersionCount,
};

use crate::network::Network;
use crate::reference_log::Log;
use crate::tree;

const SECOND: Duration = Duration::from_secs(1);

/// The progress of all relays that read the folder, added up.
fn version_counts(network: &Network) -> Vec<(u64, u32)> {
    let mut all = std::collections::BTreeMap::new();
    for member in network.members.iter().take(3) {
        let summary = member.node.as_ref().map(|node| node.status(network.now).progress).unwrap_or_default();
        for level in summary.version_counts {
            *all.entry(level.version).or_insert(0) += level.members;
        }
    }
    all.into_iter().rev().collect()
}

fn lagging(network: &Network) -> Vec<LaggingMember> {
    let nodes = network.members.iter().take(3).filter_map(|member| member.node.as_ref());
    nodes.flat_map(|node| node.status(network.now).progress.lagging).collect()
}

#[test]
fn progress_summary_names_lagging_members_until_lease_expires() {
    let mut network = tree(11, 2, 10);
    (0..5).for_each(|_| network.write(9));
    network.start_all();
    network.run_for(20 * SECOND);
    assert_eq!(version_counts(&network), [(5, 30)]);
    assert_eq!(lagging(&network), []);
    // One gateway never applies the changes that it receives; another one freezes later.
    let never_applies = network.gateways()[4];
    let frozen = network.gateways()[7];
    network.members[never_applies].never_applies = true;
    network.write(9);
    network.run_for(5 * SECOND);
    assert_eq!(version_counts(&network), [(6, 29), (5, 1)]);
    let named = lagging(&network);
    assert_eq!((named.len(), named[0].name.as_str(), named[0].version), (1, "gateway-4", 5));
    assert!((20..=26).contains(&named[0].lag_seconds), "{} s", named[0].lag_seconds);
    network.members[frozen].frozen = true;
    network.run_for(LEASE_DURATION / 2);
    assert_eq!(
        version_counts(&network),
        [(6, 29), (5, 1)],
        "the lease of the frozen gateway has not expired"
    );
    network.run_for(LEASE_DURATION);
    assert_eq!(version_counts(&network), [(6, 28), (5, 1)]);
}

fn node_with_follower() -> (RelayNode, ConnectionId) {
    let config = Config {
        name: "relay".into(),
        zone: "a".into(),
        role: Role::Relay,
        origin: Origin::Folder,
        seed: 1,
        max_followers: 1000,
    };
    let mut node = RelayNode::new(config, None).expect("a valid configuration");
    let mut log = Log::new(9);
    (0..100).for_each(|_| _ = log.write("change", 9));
    let (position, bytes) = log.checkpoint(0);
    node.handle(Duration::ZERO, Event::FolderCheckpoint { position, bytes });
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

fn report_progress(
    node: &mut RelayNode,
    connection: ConnectionId,
    summary: ProgressSummary,
) -> Vec<RelayEvent> {
    let actions =
        node.handle(Duration::ZERO, Event::FromFollower { connection, frame: ToUpstream::Progress(summary) });
    let event = |action| if let Action::Log(event) = action { Some(event) } else { None };
    actions.into_iter().filter_map(event).collect()
}

fn level(version: u64, members: u32) -> VersionCount {
    VersionCount { version, members }
}

#[test]
fn progress_summary_implausible_is_ignored_and_logged_once() {
    let one = |name: &str, version| LaggingMember { name: name.into(), version, lag_seconds: 1 };
    let summary_of = |version_counts: Vec<VersionCount>, lagging| ProgressSummary { version_counts, lagging };
    for (summary, role) in [
        (summary_of(vec![level(101, 1)], vec![]), Role::Relay),
        (summary_of(vec![level(100, 1_000_000)], vec![]), Role::Relay),
        (summary_of(vec![level(100, 60_000), level(99, 60_000)], vec![]), Role::Relay),
        (summary_of(vec![level(5, 1), level(6, 1)], vec![]), Role::Relay),
        (summary_of(vec![level(5, 1), level(5, 1)], vec![]), Role::Relay),
        (summary_of(vec![level(5, 0)], vec![]), Role::Relay),
        (summary_of(vec![level(5, 1)], vec![one("g", 101)]), Role::Relay),
        (summary_of(vec![level(5, 1)], vec![one("g", 4), one("h", 4)]), Role::Relay),
        (summary_of(vec![level(5, 2)], vec![]), Role::Gateway),
        (summary_of(vec![level(5, 1)], vec![one("g", 4)]), Role::Gateway),
    ] {
        let (mut node, _) = node_with_follower();
        let connection = join(&mut node, 2, role);
        assert_eq!(report_progress(&mut node, connection, summary_of(vec![level(100, 1)], vec![])), []);
        let logged = report_progress(&mut node, connection, summary.clone());
        assert!(
            matches!(&logged[..], [RelayEvent::InvalidProgress { follower, .. }] if follower == "member-002"),
            "{summary:?}"
        );
        assert_eq!(report_progress(&mut node, connection, summary), [], "logged once");
        assert_eq!(node.status(Duration::ZERO).progress, ProgressSummary::default());
    }
}

#[test]
fn progress_summary_beyond_bounds_never_overstates_progress() {
    let (mut node, _) = node_with_follower();
    for nth in 10..60 {
        let connection = join(&mut node, nth, Role::Gateway);
        report_progress(
            &mut node,
            connection,
            ProgressSummary { version_counts: vec![level(nth, 1)], lagging: vec![] },
        );
    }
    let summary = node.status(Duration::ZERO).progress;
    assert_eq!(summary.version_counts.len(), MAX_VERSION_COUNTS);
    assert_eq!(summary.version_counts.iter().map(|level| level.members).sum::<u32>(), 50);
    assert_eq!(summary.version_counts[0], level(59, 1));
    assert_eq!(
        summary.version_counts[MAX_VERSION_COUNTS - 1],
        level(10, 35),
        "the lowest versions are merged"
    );
    assert_eq!(summary.lagging.len(), MAX_LAGGING);
    assert_eq!((summary.lagging[0].name.as_str(), summary.lagging[0].version), ("member-010", 10));
}
