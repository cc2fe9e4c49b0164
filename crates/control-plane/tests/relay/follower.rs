//! One follower by hand: what each of its upstreams says, and what it makes of it.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{
    Action, Config, DisconnectReason, Entry, Event, MAX_SUFFIX_BYTES, Origin, RelayEvent, RelayNode,
    Upstream, WINDOW,
};
use umbertray_store_protocol::changes::{
    Checkpoint, FromUpstream, MAX_PART, Position, Role, ToUpstream, digest,
};

use crate::truth::Log;

const SECOND: Duration = Duration::from_secs(1);

/// A gateway with four upstreams, of which two have to vouch; the first is in its zone. It is connected to three.
struct Hand {
    node: RelayNode,
    now: Duration,
    connections: BTreeMap<String, ConnectionId>,
    log: Log,
    out: Vec<Action>,
}

impl Hand {
    /// It has three changes in force, and takes entries of "near".
    fn new() -> Hand {
        let zone = |nth: usize| if nth == 0 { "a".to_string() } else { format!("z{nth}") };
        let names = ["near", "one", "two", "three"].iter().zip(0..);
        let upstreams =
            names.map(|(name, nth)| Upstream { name: name.to_string(), zone: zone(nth) }).collect();
        let config = Config {
            name: "gateway".into(),
            zone: "a".into(),
            role: Role::Gateway,
            origin: Origin::Upstreams { upstreams, quorum: 2 },
            seed: 1,
            max_followers: 0,
        };
        let node = RelayNode::new(config, None).expect("sound");
        let (now, connections) = (Duration::ZERO, BTreeMap::new());
        let mut hand = Hand { node, now, connections, log: Log::new(100), out: Vec::new() };
        (0..3).for_each(|_| _ = hand.log.write("change", 9));
        hand.event(Event::Tick);
        assert_eq!(hand.connections.len(), 3);
        let names: Vec<String> = hand.connections.keys().cloned().collect();
        names.iter().for_each(|name| hand.open(name));
        names.iter().for_each(|name| hand.at(name, 3, 0));
        let (_, bytes) = hand.log.checkpoint(0);
        let connection = hand.told(|frame| matches!(frame, ToUpstream::Fetch { version: 0, offset: 0 }));
        let part = FromUpstream::CheckpointPart { version: 0, offset: 0, part: bytes };
        let connection = connection.expect("a checkpoint that two vouch for is asked for");
        hand.event(Event::FromUpstream { connection, frame: part });
        assert_eq!(
            hand.told(|frame| matches!(frame, ToUpstream::Follow { .. })),
            Some(hand.connections["near"])
        );
        hand.entries("near", 0);
        assert_eq!(hand.acted(), [1, 2, 3]);
        hand.answer();
        hand.out.clear();
        hand
    }

    fn event(&mut self, event: Event) {
        let actions = self.node.handle(self.now, event);
        for action in actions {
            match &action {
                Action::Connect { upstream, connection } => {
                    let Origin::Upstreams { upstreams, .. } = &self.node.config().origin else { continue };
                    self.connections.insert(upstreams[*upstream].name.clone(), *connection);
                }
                Action::Close { connection, .. } => self.connections.retain(|_, known| known != connection),
                _ => {}
            }
            self.out.push(action);
        }
    }

    fn hear(&mut self, name: &str, frame: FromUpstream) {
        if let Some(connection) = self.connections.get(name).copied() {
            self.event(Event::FromUpstream { connection, frame });
        }
    }

    fn open(&mut self, name: &str) {
        self.event(Event::Connected(self.connections[name]));
        let path = vec![name.to_string()];
        self.hear(name, FromUpstream::Hello { name: name.into(), path });
    }

    /// An upstream has a version of the log, and entries and a checkpoint from another on.
    fn at(&mut self, name: &str, version: u64, from: u64) {
        let head = self.log.at(version).expect("a version");
        self.stands(name, head, from);
    }

    fn stands(&mut self, name: &str, head: Position, from: u64) {
        let (at, bytes) = self.log.checkpoint(from);
        let checkpoint = Checkpoint { at, digest: digest(&bytes), length: bytes.len() as u32 };
        self.hear(name, FromUpstream::Head { head, oldest_version: from, checkpoint: Some(checkpoint) });
    }

    fn entry(&mut self, name: &str, entry: &Entry) {
        let (length, part) = (entry.body.len() as u32, entry.body.clone());
        self.hear(name, FromUpstream::Entry { at: entry.at, length, offset: 0, part });
    }

    fn entries(&mut self, name: &str, after: u64) {
        let entries = self.log.entries[after as usize..].to_vec();
        entries.iter().for_each(|entry| self.entry(name, entry));
    }

    /// Whoever was asked for a hash tells the true one.
    fn answer(&mut self) {
        let ask = |action: &Action| match action {
            Action::SendUpstream { connection, frame: ToUpstream::QueryHash { version } } => {
                Some((*connection, *version))
            }
            _ => None,
        };
        let asks: Vec<(ConnectionId, u64)> = self.out.iter().filter_map(ask).collect();
        for (connection, version) in asks {
            let at = self.log.at(version).expect("written");
            self.event(Event::FromUpstream { connection, frame: FromUpstream::HashAt { at } });
        }
    }

    /// The connection to one ends, and another is connected to instead.
    fn lose(&mut self, name: &str) -> String {
        let connection = self.connections.remove(name).expect("connected");
        self.event(Event::Disconnected(connection));
        self.fresh().expect("another is connected to instead")
    }

    /// One that is being connected to.
    fn fresh(&self) -> Option<String> {
        let linked = self.node.status(self.now).connected;
        self.connections.keys().find(|name| !linked.contains(name)).cloned()
    }

    /// Time passes, and who is connected gives signs of life.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += SECOND / 4;
            let linked = self.node.status(self.now).connected;
            linked.iter().for_each(|name| self.hear(name, FromUpstream::Heartbeat));
            self.event(Event::Tick);
        }
    }

    fn acted(&self) -> Vec<u64> {
        let acted = |action: &Action| match action {
            Action::AppendEntry(entry) => Some(entry.at.version),
            _ => None,
        };
        self.out.iter().filter_map(acted).collect()
    }

    fn told(&self, which: impl Fn(&ToUpstream) -> bool) -> Option<ConnectionId> {
        self.out.iter().find_map(|action| match action {
            Action::SendUpstream { connection, frame } if which(frame) => Some(*connection),
            _ => None,
        })
    }

    /// Whom it left, and reason.
    fn left<'a>(&'a self) -> Vec<(&'a str, DisconnectReason)> {
        let left = |action: &'a Action| match action {
            Action::Log(RelayEvent::UpstreamLeft { upstream, reason, .. }) => {
                Some((upstream.as_str(), *reason))
            }
            _ => None,
        };
        self.out.iter().filter_map(left).collect()
    }

    /// Two of those it is connected to besides "near".
    fn others(&self) -> (String, String) {
        let mut names = self.connections.keys().filter(|name| *name != "near").cloned();
        (names.next().expect("another"), names.next().expect("a third"))
    }
}

#[test]
fn a_change_is_acted_on_when_a_second_voice_is_heard_and_not_before() {
    let mut hand = Hand::new();
    let (one, _) = hand.others();
    hand.log.write("change", 9);
    hand.entries("near", 3);
    hand.at("near", 4, 0);
    assert_eq!(hand.acted(), [], "one that says it twice is one");
    hand.at(&one, 4, 0);
    assert_eq!(hand.acted(), [4]);
    assert!(hand.out.contains(&Action::Commit(hand.log.head())));
}

#[test]
fn one_that_tells_another_history_of_what_was_acted_on_is_left() {
    let mut hand = Hand::new();
    let (one, _) = hand.others();
    let name = hand.lose(&one);
    hand.out.clear();
    hand.open(&name);
    hand.stands(&name, Position { version: 2, hash: [7; 32] }, 0);
    assert_eq!(hand.left(), [(name.as_str(), DisconnectReason::Fork)]);
}

#[test]
fn one_that_enough_contradict_is_left_at_once() {
    let mut hand = Hand::new();
    let (one, other) = hand.others();
    let body = Bytes::from_static(b"forged");
    let forged = Entry { at: hand.log.head().after_change(&body), body };
    hand.entry("near", &forged);
    hand.log.write("change", 9);
    hand.at(&one, 4, 0);
    assert_eq!(hand.left(), [], "it may be the other that lies");
    assert!(hand.out.contains(&Action::Log(RelayEvent::Disagreement { upstream: one.clone(), version: 4 })));
    hand.at(&other, 4, 0);
    assert_eq!(hand.left(), [("near", DisconnectReason::Fork)]);
    assert!(hand.told(|frame| matches!(frame, ToUpstream::Follow { .. })).is_some());
    let followed = hand.node.status(hand.now).source.expect("another is followed");
    hand.entries(&followed, 3);
    assert_eq!(hand.acted(), [4], "the true one");
}

#[test]
fn one_that_is_ahead_is_asked_for_its_hash() {
    let mut hand = Hand::new();
    let (one, _) = hand.others();
    (0..50).for_each(|_| _ = hand.log.write("change", 9));
    hand.at(&one, 53, 0);
    let entries = hand.log.entries[3..9].to_vec();
    entries.iter().for_each(|entry| hand.entry("near", entry));
    let asked = hand.told(|frame| matches!(frame, ToUpstream::QueryHash { version: 4 }));
    assert_eq!(asked, Some(hand.connections[&one]));
    assert_eq!(hand.acted(), []);
    let at = hand.log.at(4).expect("written");
    hand.hear(&one, FromUpstream::HashAt { at });
    assert_eq!(hand.acted(), [4]);
    assert!(hand.told(|frame| matches!(frame, ToUpstream::QueryHash { version: 9 })).is_some(), "and so on");
    hand.hear(&one, FromUpstream::HashAt { at });
    assert_eq!(hand.left(), [(one.as_str(), DisconnectReason::Unrequested)], "what was not asked for");
}

#[test]
fn where_no_second_voice_can_be_had_the_checkpoint_is_taken() {
    let mut hand = Hand::new();
    let (one, other) = hand.others();
    (0..20).for_each(|_| _ = hand.log.write("change", 9));
    // Their tails begin after what is to be vouched for.
    hand.at(&one, 23, 16);
    hand.at(&other, 23, 16);
    let fetch = |frame: &ToUpstream| matches!(frame, ToUpstream::Fetch { version: 16, .. });
    for nth in 3..12 {
        assert_eq!(hand.told(fetch), None, "the tail may come yet");
        let entry = hand.log.entries[nth].clone();
        hand.entry("near", &entry);
        hand.pass(SECOND);
    }
    let connection = hand.told(fetch).expect("the checkpoint that two vouch for");
    let part = hand.log.checkpoint(16).1;
    hand.event(Event::FromUpstream {
        connection,
        frame: FromUpstream::CheckpointPart { version: 16, offset: 0, part },
    });
    assert_eq!(hand.node.status(hand.now).head, hand.log.at(16).expect("written"));
    assert_eq!(hand.acted(), []);
}

#[test]
fn what_waits_for_voices_is_bounded_whoever_sends_it() {
    let mut hand = Hand::new();
    let mut sent = 0;
    while hand.left().is_empty() {
        let entry = hand.log.write("runaway", MAX_PART);
        hand.entry("near", &entry);
        sent += entry.body.len();
        let waiting = hand.node.status(hand.now).unconfirmed_bytes;
        assert!(
            waiting <= MAX_SUFFIX_BYTES + 2 * (WINDOW as usize + MAX_PART),
            "{waiting} bytes after {sent}"
        );
    }
    assert_eq!(hand.left(), [("near", DisconnectReason::Unrequested)]);
    assert_eq!(hand.node.status(hand.now).unconfirmed_bytes, 0);
    assert_eq!(hand.acted(), []);
}

#[test]
fn frames_that_no_honest_upstream_sends_end_the_connection() {
    let head = Hand::new().log.head();
    let old = Position { version: 1, hash: [1; 32] };
    let at = |head, from| FromUpstream::Head { head, oldest_version: from, checkpoint: None };
    let entry = |at, length, offset, part: &'static [u8]| FromUpstream::Entry {
        at,
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
        let mut hand = Hand::new();
        hand.hear("near", frame.clone());
        assert_eq!(hand.left(), [("near", reason)], "{frame:?}");
    }
    // An entry of one that was not asked for any.
    let mut hand = Hand::new();
    let (one, _) = hand.others();
    hand.hear(&one, entry(next, 4, 0, b"next"));
    assert_eq!(hand.left(), [(one.as_str(), DisconnectReason::Unrequested)]);
    let mut hand = Hand::new();
    (0..200).for_each(|_| hand.hear("near", FromUpstream::Heartbeat));
    assert_eq!(hand.left(), [("near", DisconnectReason::Unrequested)]);
    let mut hand = Hand::new();
    let connection = hand.connections["near"];
    hand.event(Event::Malformed(connection));
    assert_eq!(hand.left(), [("near", DisconnectReason::ProtocolViolation)]);
}

#[test]
fn a_stranger_and_oneself_are_left() {
    for (name, reason) in [("else", DisconnectReason::WrongName), ("gateway", DisconnectReason::Loop)] {
        let mut hand = Hand::new();
        let other = hand.lose("near");
        hand.open(&other);
        hand.at(&other, 3, 0);
        (0..240).for_each(|_| {
            if !hand.connections.contains_key("near") {
                hand.pass(SECOND / 4);
            }
        });
        hand.out.clear();
        hand.event(Event::Connected(hand.connections["near"]));
        hand.hear("near", FromUpstream::Hello { name: name.into(), path: vec![name.into()] });
        assert_eq!(hand.left(), [("near", reason)]);
    }
}

#[test]
fn all_upstreams_are_connected_to_where_voices_are_lacking() {
    let mut hand = Hand::new();
    hand.log.write("change", 9);
    hand.entries("near", 3);
    hand.pass(SECOND / 2);
    assert_eq!(hand.connections.len(), 3);
    hand.pass(SECOND);
    assert_eq!(hand.connections.len(), 4);
    let fourth = hand.fresh().expect("the fourth");
    hand.open(&fourth);
    hand.at(&fourth, 4, 0);
    assert_eq!(hand.acted(), [4]);
}

#[test]
fn the_nearest_is_gone_back_to_when_it_has_stood_for_a_while() {
    let mut hand = Hand::new();
    let fourth = hand.lose("near");
    let followed = |hand: &Hand| hand.node.status(hand.now).source;
    assert!(followed(&hand).is_some_and(|name| name != "near"));
    hand.open(&fourth);
    hand.at(&fourth, 3, 0);
    assert!(!hand.connections.contains_key("near"));
    let mut waited = Duration::ZERO;
    while !hand.connections.contains_key("near") && waited < 60 * SECOND {
        hand.pass(SECOND / 4);
        waited += SECOND / 4;
    }
    // It is tried again though others suffice, and not by all at once.
    assert!((15 * SECOND..=31 * SECOND).contains(&waited), "{waited:?}");
    hand.open("near");
    hand.at("near", 3, 0);
    assert_eq!(hand.connections.len(), 3, "the spare one is left");
    assert_ne!(followed(&hand), Some("near".into()));
    hand.pass(6 * SECOND);
    assert_eq!(followed(&hand), Some("near".into()));
}
