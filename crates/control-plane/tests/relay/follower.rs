//! How a follower handles each frame of its upstreams.

use std::time::Duration;

use bytes::Bytes;
use umbertray_control_plane::relay::{
    Action, DisconnectReason, Entry, Event, MAX_SUFFIX_BYTES, RelayEvent, WINDOW_BYTES,
};
use umbertray_store_protocol::changes::{FromUpstream, MAX_PART, Position, ToUpstream};

use crate::follower_harness::{FollowerHarness, SECOND};

#[test]
fn entry_is_committed_once_quorum_agrees_and_not_before() {
    let mut harness = FollowerHarness::new();
    let (one, _) = harness.others();
    harness.log.write("change", 9);
    harness.entries("near", 3);
    harness.announce("near", 4, 0);
    assert_eq!(harness.appended_versions(), [], "one upstream that reports it twice counts once");
    harness.announce(&one, 4, 0);
    assert_eq!(harness.appended_versions(), [4]);
    assert!(harness.actions.contains(&Action::Commit(harness.log.head())));
}

#[test]
fn upstream_contradicting_committed_history_is_disconnected() {
    let mut harness = FollowerHarness::new();
    let (one, _) = harness.others();
    let name = harness.lose(&one);
    harness.actions.clear();
    harness.connect(&name);
    harness.announce_head(&name, Position { version: 2, hash: [7; 32] }, 0);
    assert_eq!(harness.disconnected(), [(name.as_str(), DisconnectReason::Fork)]);
}

#[test]
fn source_contradicted_by_quorum_is_disconnected_at_once() {
    let mut harness = FollowerHarness::new();
    let (one, other) = harness.others();
    let body = Bytes::from_static(b"forged");
    let forged = Entry { position: harness.log.head().after_change(&body), body };
    harness.entry("near", &forged);
    harness.log.write("change", 9);
    harness.announce(&one, 4, 0);
    assert_eq!(harness.disconnected(), [], "the other upstream may be the one that lies");
    assert!(
        harness
            .actions
            .contains(&Action::Log(RelayEvent::Disagreement { upstream: one.clone(), version: 4 }))
    );
    harness.announce(&other, 4, 0);
    assert_eq!(harness.disconnected(), [("near", DisconnectReason::Fork)]);
    assert!(harness.sent_to(|frame| matches!(frame, ToUpstream::Follow { .. })).is_some());
    let source = harness.node.status(harness.now).source.expect("another source");
    harness.entries(&source, 3);
    assert_eq!(harness.appended_versions(), [4], "the true entry");
}

#[test]
fn upstream_ahead_is_queried_for_its_hash() {
    let mut harness = FollowerHarness::new();
    let (one, _) = harness.others();
    (0..50).for_each(|_| _ = harness.log.write("change", 9));
    harness.announce(&one, 53, 0);
    let entries = harness.log.entries[3..9].to_vec();
    entries.iter().for_each(|entry| harness.entry("near", entry));
    let queried = harness.sent_to(|frame| matches!(frame, ToUpstream::QueryHash { version: 4 }));
    assert_eq!(queried, Some(harness.connections[&one]));
    assert_eq!(harness.appended_versions(), []);
    let position = harness.log.position_at(4).expect("written");
    harness.receive(&one, FromUpstream::HashAt { position });
    assert_eq!(harness.appended_versions(), [4]);
    assert!(
        harness.sent_to(|frame| matches!(frame, ToUpstream::QueryHash { version: 9 })).is_some(),
        "the last pending version is queried next"
    );
    harness.receive(&one, FromUpstream::HashAt { position });
    assert_eq!(
        harness.disconnected(),
        [(one.as_str(), DisconnectReason::Unrequested)],
        "a hash that was not queried"
    );
}

#[test]
fn checkpoint_is_loaded_where_entries_cannot_reach_quorum() {
    let mut harness = FollowerHarness::new();
    let (one, other) = harness.others();
    (0..20).for_each(|_| _ = harness.log.write("change", 9));
    // These upstreams no longer hold the entries that need a quorum.
    harness.announce(&one, 23, 16);
    harness.announce(&other, 23, 16);
    let fetch = |frame: &ToUpstream| matches!(frame, ToUpstream::Fetch { version: 16, .. });
    for nth in 3..12 {
        assert_eq!(harness.sent_to(fetch), None, "the entries may still get a quorum");
        let entry = harness.log.entries[nth].clone();
        harness.entry("near", &entry);
        harness.advance_time(SECOND);
    }
    let connection = harness.sent_to(fetch).expect("a request for the checkpoint with a quorum");
    let part = harness.log.checkpoint(16).1;
    harness.event(Event::FromUpstream {
        connection,
        frame: FromUpstream::CheckpointPart { version: 16, offset: 0, part },
    });
    assert_eq!(harness.node.status(harness.now).head, harness.log.position_at(16).expect("written"));
    assert_eq!(harness.appended_versions(), []);
}

#[test]
fn entries_without_quorum_are_bounded() {
    let mut harness = FollowerHarness::new();
    let mut sent = 0;
    while harness.disconnected().is_empty() {
        let entry = harness.log.write("runaway", MAX_PART);
        harness.entry("near", &entry);
        sent += entry.body.len();
        let unconfirmed = harness.node.status(harness.now).unconfirmed_bytes;
        assert!(
            unconfirmed <= MAX_SUFFIX_BYTES + 2 * (WINDOW_BYTES as usize + MAX_PART),
            "{unconfirmed} bytes after {sent}"
        );
    }
    assert_eq!(harness.disconnected(), [("near", DisconnectReason::Unrequested)]);
    assert_eq!(harness.node.status(harness.now).unconfirmed_bytes, 0);
    assert_eq!(harness.appended_versions(), []);
}

#[test]
fn upstream_frames_violating_protocol_end_connection() {
    let head = FollowerHarness::new().log.head();
    let old = Position { version: 1, hash: [1; 32] };
    let at = |head, from| FromUpstream::Head { head, oldest_version: from, checkpoint: None };
    let entry = |position, length, offset, part: &'static [u8]| FromUpstream::Entry {
        position,
        length,
        offset,
        part: Bytes::from_static(part),
    };
    let next = head.after_change(b"next");
    let part = Bytes::from_static(b"part");
    for (frame, reason) in [
        (at(old, 0), DisconnectReason::ProtocolViolation),
        (at(Position { hash: [1; 32], ..head }, 0), DisconnectReason::ProtocolViolation),
        (at(head, 4), DisconnectReason::ProtocolViolation),
        (entry(next, 4, 0, b""), DisconnectReason::ProtocolViolation),
        (entry(next, 4, 0, b"ne"), DisconnectReason::ProtocolViolation),
        (entry(next, 4, 0, b"nexd"), DisconnectReason::BrokenChain),
        (entry(Position { hash: [1; 32], ..next }, 4, 0, b"next"), DisconnectReason::BrokenChain),
        (entry(next.after_change(b"later"), 5, 0, b"later"), DisconnectReason::BrokenChain),
        (entry(head, 4, 0, b"next"), DisconnectReason::BrokenChain),
        (entry(next, 4, 2, b"xt"), DisconnectReason::BrokenChain),
        (FromUpstream::CheckpointPart { version: 0, offset: 0, part }, DisconnectReason::Unrequested),
        (
            FromUpstream::Hello { name: "near".into(), path: vec!["near".into()] },
            DisconnectReason::ProtocolViolation,
        ),
        (FromUpstream::Path(vec![]), DisconnectReason::ProtocolViolation),
        (FromUpstream::Path(vec!["near".into(), "else".into()]), DisconnectReason::ProtocolViolation),
    ] {
        let mut harness = FollowerHarness::new();
        harness.receive("near", frame.clone());
        assert_eq!(harness.disconnected(), [("near", reason)], "{frame:?}");
    }
    // An entry from an upstream that is not the source.
    let mut harness = FollowerHarness::new();
    let (one, _) = harness.others();
    harness.receive(&one, entry(next, 4, 0, b"next"));
    assert_eq!(harness.disconnected(), [(one.as_str(), DisconnectReason::Unrequested)]);
    let mut harness = FollowerHarness::new();
    (0..200).for_each(|_| harness.receive("near", FromUpstream::Heartbeat));
    assert_eq!(harness.disconnected(), [("near", DisconnectReason::Unrequested)]);
    let mut harness = FollowerHarness::new();
    let connection = harness.connections["near"];
    harness.event(Event::Malformed(connection));
    assert_eq!(harness.disconnected(), [("near", DisconnectReason::ProtocolViolation)]);
}

#[test]
fn upstream_with_wrong_name_is_disconnected() {
    for (name, reason) in [("else", DisconnectReason::WrongName), ("gateway", DisconnectReason::Loop)] {
        let mut harness = FollowerHarness::new();
        let other = harness.lose("near");
        harness.connect(&other);
        harness.announce(&other, 3, 0);
        (0..240).for_each(|_| {
            if !harness.connections.contains_key("near") {
                harness.advance_time(SECOND / 4);
            }
        });
        harness.actions.clear();
        harness.event(Event::Connected(harness.connections["near"]));
        harness.receive("near", FromUpstream::Hello { name: name.into(), path: vec![name.into()] });
        assert_eq!(harness.disconnected(), [("near", reason)]);
    }
}

#[test]
fn all_upstreams_are_connected_while_quorum_is_missing() {
    let mut harness = FollowerHarness::new();
    harness.log.write("change", 9);
    harness.entries("near", 3);
    harness.advance_time(SECOND / 2);
    assert_eq!(harness.connections.len(), 3);
    harness.advance_time(SECOND);
    assert_eq!(harness.connections.len(), 4);
    let fourth = harness.connecting().expect("the fourth");
    harness.connect(&fourth);
    harness.announce(&fourth, 4, 0);
    assert_eq!(harness.appended_versions(), [4]);
}

#[test]
fn preferred_upstream_stable_again_becomes_source() {
    let mut harness = FollowerHarness::new();
    let fourth = harness.lose("near");
    let source = |harness: &FollowerHarness| harness.node.status(harness.now).source;
    assert!(source(&harness).is_some_and(|name| name != "near"));
    harness.connect(&fourth);
    harness.announce(&fourth, 3, 0);
    assert!(!harness.connections.contains_key("near"));
    let mut waited = Duration::ZERO;
    while !harness.connections.contains_key("near") && waited < 60 * SECOND {
        harness.advance_time(SECOND / 4);
        waited += SECOND / 4;
    }
    // The node connects to it again after a random delay, although enough other upstreams are connected.
    assert!((15 * SECOND..=31 * SECOND).contains(&waited), "{waited:?}");
    harness.connect("near");
    harness.announce("near", 3, 0);
    assert_eq!(harness.connections.len(), 3, "the surplus connection is closed");
    assert_ne!(source(&harness), Some("near".into()));
    harness.advance_time(6 * SECOND);
    assert_eq!(source(&harness), Some("near".into()));
}
