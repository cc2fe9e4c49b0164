//! Tests of a single node: invalid configurations, followers that violate the protocol, and a folder that is
//! rolled back.

use std::time::Duration;

use bytes::Bytes;
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{
    Action, Config, ConfigError, DisconnectReason, Entry, Event, MAX_SUFFIX_BYTES, Origin, RelayEvent,
    RelayNode, Upstream,
};
use umbertray_store_protocol::changes::{FromUpstream, Position, RejectionReason, Role, ToUpstream};

use crate::reference_log::Log;

const SECOND: Duration = Duration::from_secs(1);

fn config(name: &str, origin: Origin) -> Config {
    Config { name: name.into(), zone: "a".into(), role: Role::Relay, origin, seed: 1, max_followers: 2 }
}

fn upstreams(names: &[&str], quorum: usize) -> Origin {
    let upstream = |name: &&str| Upstream { name: name.to_string(), zone: "a".into() };
    Origin::Upstreams { upstreams: names.iter().map(upstream).collect(), quorum }
}

#[test]
fn configuration_invalid_is_rejected_with_reason() {
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

fn sent_frames(actions: &[Action]) -> Vec<&FromUpstream> {
    actions
        .iter()
        .filter_map(|action| if let Action::SendFollower { frame, .. } = action { Some(frame) } else { None })
        .collect()
}

fn close_reason(actions: &[Action]) -> Option<DisconnectReason> {
    actions.iter().find_map(
        |action| {
            if let Action::Close { reason, .. } = action { Some(*reason) } else { None }
        },
    )
}

/// A relay whose folder has three changes, and a follower that has sent its hello.
fn relay() -> (RelayNode, ConnectionId) {
    let mut log = Log::new(100);
    (0..3).for_each(|_| _ = log.write("change", 9));
    let mut node = RelayNode::new(config("relay", Origin::Folder), None).expect("a valid configuration");
    let (position, bytes) = log.checkpoint(0);
    node.handle(Duration::ZERO, Event::FolderCheckpoint { position, bytes });
    node.handle(Duration::ZERO, Event::FolderEntries(log.entries));
    let connection = ConnectionId(1);
    node.handle(Duration::ZERO, Event::FollowerConnected(connection));
    let frame = ToUpstream::Hello { name: "below".into(), zone: "a".into(), role: Role::Relay };
    let actions = node.handle(Duration::ZERO, Event::FromFollower { connection, frame });
    assert!(matches!(sent_frames(&actions)[..], [FromUpstream::Hello { .. }, FromUpstream::Head { .. }]));
    (node, connection)
}

#[test]
fn follower_violating_protocol_is_rejected_with_reason() {
    let other = Position { version: 2, hash: [1; 32] };
    let ahead = Position { version: 9, hash: [1; 32] };
    let hello = || ToUpstream::Hello { name: "below".into(), zone: "a".into(), role: Role::Relay };
    for (frame, reason, expected_close) in [
        (ToUpstream::Follow { after: other }, RejectionReason::Fork, DisconnectReason::Fork),
        (ToUpstream::Follow { after: ahead }, RejectionReason::Ahead, DisconnectReason::ProtocolViolation),
        (
            ToUpstream::WindowUpdate { bytes: 1 },
            RejectionReason::ProtocolViolation,
            DisconnectReason::ProtocolViolation,
        ),
        (
            ToUpstream::Fetch { version: 0, offset: 5000 },
            RejectionReason::ProtocolViolation,
            DisconnectReason::ProtocolViolation,
        ),
        (hello(), RejectionReason::ProtocolViolation, DisconnectReason::ProtocolViolation),
    ] {
        let (mut node, connection) = relay();
        let actions = node.handle(Duration::ZERO, Event::FromFollower { connection, frame });
        assert_eq!(sent_frames(&actions), [&FromUpstream::Rejected { reason }]);
        assert_eq!(close_reason(&actions), Some(expected_close));
        assert_eq!(node.status(Duration::ZERO).followers, 0);
    }
    let (mut node, _) = relay();
    let connection = ConnectionId(2);
    node.handle(Duration::ZERO, Event::FollowerConnected(connection));
    let frame = ToUpstream::Hello { name: "relay".into(), zone: "a".into(), role: Role::Relay };
    let actions = node.handle(Duration::ZERO, Event::FromFollower { connection, frame });
    assert_eq!(close_reason(&actions), Some(DisconnectReason::Loop), "a node that follows itself");
    node.handle(Duration::ZERO, Event::FollowerConnected(ConnectionId(3)));
    let actions = node.handle(Duration::ZERO, Event::FollowerConnected(ConnectionId(4)));
    assert_eq!(close_reason(&actions), Some(DisconnectReason::TooManyFollowers));
    let actions = node.handle(Duration::ZERO, Event::Malformed(ConnectionId(3)));
    assert_eq!(close_reason(&actions), Some(DisconnectReason::ProtocolViolation));
}

#[test]
fn folder_rolled_back_or_forked_is_not_relayed() {
    let (mut node, _) = relay();
    let head = node.status(Duration::ZERO).head;
    let mut log = Log::new(100);
    (0..5).for_each(|_| _ = log.write("other", 9));
    let is_rejected = |actions: Vec<Action>| {
        assert!(sent_frames(&actions).is_empty());
        actions.iter().any(|action| matches!(action, Action::Log(RelayEvent::FolderRejected { .. })))
    };
    let entries = |from: usize| Event::FolderEntries(log.entries[from..].to_vec());
    assert!(is_rejected(node.handle(Duration::ZERO, entries(3))), "another chain");
    assert!(is_rejected(node.handle(Duration::ZERO, entries(0))), "another chain from the beginning");
    let (position, bytes) = log.checkpoint(2);
    assert!(
        is_rejected(node.handle(Duration::ZERO, Event::FolderCheckpoint { position, bytes })),
        "a checkpoint of another history"
    );
    let edited = Entry { position: head.after_change(b"one"), body: Bytes::from_static(b"other") };
    assert!(is_rejected(node.handle(Duration::ZERO, Event::FolderEntries(vec![edited]))), "an edited body");
    assert_eq!(node.status(Duration::ZERO).head, head);
}

/// A follower stops reading after its hello: the entries sent to it are limited by its window.
#[test]
fn follower_not_reading_receives_only_its_window() {
    let (mut node, connection) = relay();
    let start = Position::START;
    let mut log = Log::new(100);
    (0..3).for_each(|_| _ = log.write("change", 9));
    let mut sent = 0;
    let mut count = |actions: Vec<Action>| {
        for frame in sent_frames(&actions) {
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
    // The follower is disconnected when its lease expires.
    let actions = node.handle(10 * SECOND, Event::Tick);
    assert_eq!(close_reason(&actions), Some(DisconnectReason::IdleTimeout));
}
