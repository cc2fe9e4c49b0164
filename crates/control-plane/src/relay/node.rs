//! The node: events in, actions out.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use umbertray_store_protocol::changes::{
    Checkpoint, MAX_CHECKPOINT, MAX_NAME, Position, ProgressSummary, Role, VersionCount, digest,
};

use super::above::{self, Above};
use super::below::{self, Below};
use super::chance::Chance;
use super::tail::Tail;
use super::{Action, Config, ConfigError, Entry, Event, Origin, RelayEvent, RelayStatus};

/// A relay or gateway as a follower and, if a relay, as an upstream.
pub struct RelayNode {
    config: Config,
    tail: Tail,
    /// None: it reads the folder.
    above: Option<Above>,
    below: Below,
    /// What an earlier run had acted on; a folder that has less, or another history, is not told on.
    acted: Option<Position>,
    in_force: u64,
    outgrown: bool,
}

impl RelayNode {
    /// `acted` is what an earlier run had acted on: nothing before it is given out, and no other history.
    pub fn new(config: Config, acted: Option<Position>) -> Result<RelayNode, ConfigError> {
        check(&config)?;
        let chance = |whose: &str| Chance::new(config.seed, &format!("{}/{whose}", config.name));
        let me = (config.name.clone(), config.zone.clone(), config.role);
        let above = match &config.origin {
            Origin::Folder => None,
            Origin::Upstreams { upstreams, quorum: vouch } => {
                Some(Above::new(me, upstreams, *vouch, chance("above"), acted))
            }
        };
        let below = Below::new(config.name.clone(), config.max_followers, chance("below"));
        let tail = Tail::new(config.role == Role::Relay);
        Ok(RelayNode { config, tail, above, below, acted, in_force: 0, outgrown: false })
    }

    /// A gateway whose owner has the state at what it had acted on: it goes on from there, and asks only for what came since.
    pub fn resume(config: Config, at: Position) -> Result<RelayNode, ConfigError> {
        let mut node = RelayNode::new(config, Some(at))?;
        if node.config.role == Role::Gateway {
            node.tail.go_on_from(at);
            node.in_force = at.version;
        }
        Ok(node)
    }

    /// What is to be done about an event, in this order. `now` never goes back.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        let known = self.known();
        self.take(now, event, &mut out);
        self.note_outgrown(&mut out);
        let mut path = self.above.as_ref().map_or(&[][..], Above::path).to_vec();
        path.push(self.config.name.clone());
        let advanced = self.known() != known;
        let mut turn = below::Turn { now, tail: &self.tail, out: &mut out };
        self.below.set_path(path, &mut turn);
        if advanced {
            self.below.advanced(&mut turn);
        }
        out
    }

    fn known(&self) -> (Option<Position>, u64, Option<Checkpoint>) {
        (self.tail.head(), self.tail.from(), self.tail.checkpoint())
    }

    fn take(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::FolderCheckpoint { at, bytes } => self.folder_checkpoint(at, bytes, out),
            Event::FolderEntries(entries) => self.folder_entries(entries, out),
            Event::FollowerConnected(link) => {
                self.below.accepted(link, &mut below_turn(now, &self.tail, out))
            }
            Event::FollowerDisconnected(link) => self.below.left(link),
            Event::FromFollower { link, frame } => {
                self.below.asked(link, frame, &mut below_turn(now, &self.tail, out));
            }
            Event::Malformed(link) => {
                self.below.malformed(link, &mut below_turn(now, &self.tail, out));
                self.with_above(now, out, |above, turn| above.malformed(link, turn));
            }
            Event::Applied(version) => self.in_force = self.in_force.max(version),
            Event::Tick => self.woken(now, out),
            Event::Connected(link) => self.with_above(now, out, |above, turn| above.opened(link, turn)),
            Event::Disconnected(link) => self.with_above(now, out, |above, turn| above.closed(link, turn)),
            Event::FromUpstream { link, frame } => {
                self.with_above(now, out, |above, turn| above.heard(link, frame, turn));
            }
        }
    }

    fn with_above(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut Above, &mut above::Turn),
    ) {
        if let Some(above) = &mut self.above {
            act(above, &mut above::Turn { now, tail: &mut self.tail, out });
        }
    }

    fn woken(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.below.woken(&mut below_turn(now, &self.tail, out));
        let sums = self.sums(now);
        self.with_above(now, out, |above, turn| above.woken(&sums, turn));
    }

    fn sums(&self, now: Duration) -> ProgressSummary {
        match self.config.role {
            Role::Gateway => ProgressSummary {
                levels: vec![VersionCount { version: self.in_force, members: 1 }],
                lagging: Vec::new(),
            },
            Role::Relay => self.below.sums(now, self.tail.head().unwrap_or_default().version),
        }
    }

    fn folder_checkpoint(&mut self, at: Position, bytes: Bytes, out: &mut Vec<Action>) {
        let Some(length) = u32::try_from(bytes.len()).ok().filter(|length| *length <= MAX_CHECKPOINT) else {
            return out.push(Action::Log(RelayEvent::FolderBroken { version: at.version }));
        };
        let checkpoint = Checkpoint { at, digest: digest(&bytes), length };
        let other = |known: Position| known.version == at.version && known.hash != at.hash;
        if self.acted.is_some_and(other) {
            return out.push(Action::Log(RelayEvent::FolderBroken { version: at.version }));
        }
        match (self.tail.head(), self.tail.hash_at(at.version)) {
            // The segments in between were put away while nobody looked.
            (Some(head), _) if at.version > head.version => self.tail.reset(checkpoint, bytes),
            (None, _) => self.tail.reset(checkpoint, bytes),
            (Some(_), Some(hash)) if hash == at.hash => self.tail.renew(checkpoint, bytes),
            _ => out.push(Action::Log(RelayEvent::FolderBroken { version: at.version })),
        }
    }

    fn folder_entries(&mut self, entries: Vec<Entry>, out: &mut Vec<Action>) {
        for entry in entries {
            let other = |known: Position| known.version == entry.at.version && known.hash != entry.at.hash;
            let follows = self.tail.head().is_some_and(|head| head.after_change(&entry.body) == entry.at);
            if !follows || self.acted.is_some_and(other) {
                return out.push(Action::Log(RelayEvent::FolderBroken { version: entry.at.version }));
            }
            self.tail.push(entry);
        }
    }

    fn note_outgrown(&mut self, out: &mut Vec<Action>) {
        let outgrown = self.tail.outgrown();
        if outgrown && !self.outgrown {
            out.push(Action::Log(RelayEvent::SuffixOutgrown { version: self.tail.from() }));
        }
        self.outgrown = outgrown;
    }

    pub fn config(&self) -> &Config {
        &self.config
    }

    pub fn status(&self, now: Duration) -> RelayStatus {
        let above = self.above.as_ref();
        RelayStatus {
            head: self.tail.head().unwrap_or_default(),
            checkpoint: self.tail.checkpoint().map(|checkpoint| checkpoint.at.version),
            oldest_version: self.tail.from(),
            path: self.below.path().to_vec(),
            followed: above.and_then(Above::followed).map(str::to_string),
            connected: above.map(|above| above.linked().map(str::to_string).collect()).unwrap_or_default(),
            followers: self.below.count(),
            held_entries: self.tail.count(),
            held_bytes: self.tail.bytes(),
            waiting_bytes: above.map_or(0, Above::waiting),
            fetches: self.below.fetches(),
            progress: self.sums(now),
        }
    }
}

fn below_turn<'a>(now: Duration, tail: &'a Tail, out: &'a mut Vec<Action>) -> below::Turn<'a> {
    below::Turn { now, tail, out }
}

fn check(config: &Config) -> Result<(), ConfigError> {
    let mut names = vec![&config.name, &config.zone];
    if let Origin::Upstreams { upstreams, quorum: vouch } = &config.origin {
        let mut seen = BTreeSet::new();
        for upstream in upstreams {
            if upstream.name == config.name {
                return Err(ConfigError::FollowsItself(config.name.clone()));
            }
            if !seen.insert(&upstream.name) {
                return Err(ConfigError::Duplicate(upstream.name.clone()));
            }
            names.extend([&upstream.name, &upstream.zone]);
        }
        if *vouch == 0 || *vouch > upstreams.len() {
            return Err(ConfigError::Quorum { quorum: *vouch, upstreams: upstreams.len() });
        }
    }
    match names.into_iter().find(|name| name.is_empty() || name.len() > MAX_NAME) {
        Some(name) => Err(ConfigError::Name(name.clone())),
        None => Ok(()),
    }
}
