//! A harness for a gateway whose upstreams are simulated by the test.

use std::collections::BTreeMap;
use std::time::Duration;

use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{
    Action, Config, DisconnectReason, Entry, Event, Origin, RelayEvent, RelayNode, Upstream,
};
use umbertray_store_protocol::changes::{Checkpoint, FromUpstream, Position, Role, ToUpstream, digest};

use crate::reference_log::Log;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// A gateway with four upstreams and a quorum of two. The first upstream is in its zone, and three are
/// connected.
pub(crate) struct FollowerHarness {
    pub node: RelayNode,
    pub now: Duration,
    pub connections: BTreeMap<String, ConnectionId>,
    pub log: Log,
    pub actions: Vec<Action>,
}

impl FollowerHarness {
    /// Creates a gateway that has committed three changes and whose replication source is "near".
    pub(crate) fn new() -> FollowerHarness {
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
        let node = RelayNode::new(config, None).expect("a valid configuration");
        let now = Duration::ZERO;
        let connections = BTreeMap::new();
        let mut harness = FollowerHarness { node, now, connections, log: Log::new(100), actions: Vec::new() };
        (0..3).for_each(|_| _ = harness.log.write("change", 9));
        harness.event(Event::Tick);
        assert_eq!(harness.connections.len(), 3);
        let names: Vec<String> = harness.connections.keys().cloned().collect();
        names.iter().for_each(|name| harness.connect(name));
        names.iter().for_each(|name| harness.announce(name, 3, 0));
        let (_, bytes) = harness.log.checkpoint(0);
        let connection =
            harness.sent_to(|frame| matches!(frame, ToUpstream::Fetch { version: 0, offset: 0 }));
        let part = FromUpstream::CheckpointPart { version: 0, offset: 0, part: bytes };
        let connection = connection.expect("a request for the checkpoint with a quorum");
        harness.event(Event::FromUpstream { connection, frame: part });
        assert_eq!(
            harness.sent_to(|frame| matches!(frame, ToUpstream::Follow { .. })),
            Some(harness.connections["near"])
        );
        harness.entries("near", 0);
        assert_eq!(harness.appended_versions(), [1, 2, 3]);
        harness.answer_hash_queries();
        harness.actions.clear();
        harness
    }

    pub(crate) fn event(&mut self, event: Event) {
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
            self.actions.push(action);
        }
    }

    pub(crate) fn receive(&mut self, name: &str, frame: FromUpstream) {
        if let Some(connection) = self.connections.get(name).copied() {
            self.event(Event::FromUpstream { connection, frame });
        }
    }

    pub(crate) fn connect(&mut self, name: &str) {
        self.event(Event::Connected(self.connections[name]));
        let path = vec![name.to_string()];
        self.receive(name, FromUpstream::Hello { name: name.into(), path });
    }

    /// An upstream announces a version of the log as its head. Its checkpoint is at `oldest_version`, and it
    /// holds the entries after that version.
    pub(crate) fn announce(&mut self, name: &str, version: u64, oldest_version: u64) {
        let head = self.log.position_at(version).expect("a version");
        self.announce_head(name, head, oldest_version);
    }

    pub(crate) fn announce_head(&mut self, name: &str, head: Position, oldest_version: u64) {
        let (position, bytes) = self.log.checkpoint(oldest_version);
        let checkpoint = Checkpoint { position, digest: digest(&bytes), length: bytes.len() as u32 };
        self.receive(name, FromUpstream::Head { head, oldest_version, checkpoint: Some(checkpoint) });
    }

    pub(crate) fn entry(&mut self, name: &str, entry: &Entry) {
        let length = entry.body.len() as u32;
        let part = entry.body.clone();
        self.receive(name, FromUpstream::Entry { position: entry.position, length, offset: 0, part });
    }

    pub(crate) fn entries(&mut self, name: &str, after: u64) {
        let entries = self.log.entries[after as usize..].to_vec();
        entries.iter().for_each(|entry| self.entry(name, entry));
    }

    /// Answers all hash queries with the true hashes.
    pub(crate) fn answer_hash_queries(&mut self) {
        let hash_query = |action: &Action| match action {
            Action::SendUpstream { connection, frame: ToUpstream::QueryHash { version } } => {
                Some((*connection, *version))
            }
            _ => None,
        };
        let queries: Vec<(ConnectionId, u64)> = self.actions.iter().filter_map(hash_query).collect();
        for (connection, version) in queries {
            let position = self.log.position_at(version).expect("written");
            self.event(Event::FromUpstream { connection, frame: FromUpstream::HashAt { position } });
        }
    }

    /// Ends the connection to an upstream, and returns the name of the upstream that the gateway connects to
    /// instead.
    pub(crate) fn lose(&mut self, name: &str) -> String {
        let connection = self.connections.remove(name).expect("connected");
        self.event(Event::Disconnected(connection));
        self.connecting().expect("a connection to another upstream")
    }

    /// The name of an upstream that the gateway is connecting to.
    pub(crate) fn connecting(&self) -> Option<String> {
        let connected = self.node.status(self.now).connected;
        self.connections.keys().find(|name| !connected.contains(name)).cloned()
    }

    /// Advances the time in steps of a tick, with heartbeats from all connected upstreams.
    pub(crate) fn advance_time(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += SECOND / 4;
            let connected = self.node.status(self.now).connected;
            connected.iter().for_each(|name| self.receive(name, FromUpstream::Heartbeat));
            self.event(Event::Tick);
        }
    }

    pub(crate) fn appended_versions(&self) -> Vec<u64> {
        let appended_version = |action: &Action| match action {
            Action::AppendEntry(entry) => Some(entry.position.version),
            _ => None,
        };
        self.actions.iter().filter_map(appended_version).collect()
    }

    /// The connection that the first matching frame was sent to.
    pub(crate) fn sent_to(&self, matches: impl Fn(&ToUpstream) -> bool) -> Option<ConnectionId> {
        self.actions.iter().find_map(|action| match action {
            Action::SendUpstream { connection, frame } if matches(frame) => Some(*connection),
            _ => None,
        })
    }

    /// The upstreams whose connections ended, and the reasons.
    pub(crate) fn disconnected<'a>(&'a self) -> Vec<(&'a str, DisconnectReason)> {
        let disconnect = |action: &'a Action| match action {
            Action::Log(RelayEvent::UpstreamDisconnected { upstream, reason, .. }) => {
                Some((upstream.as_str(), *reason))
            }
            _ => None,
        };
        self.actions.iter().filter_map(disconnect).collect()
    }

    /// The names of two connected upstreams other than "near".
    pub(crate) fn others(&self) -> (String, String) {
        let mut names = self.connections.keys().filter(|name| *name != "near").cloned();
        (names.next().expect("another"), names.next().expect("a third"))
    }
}
