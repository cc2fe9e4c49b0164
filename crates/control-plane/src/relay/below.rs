//! Followers: what each is sent, and how much at once.

use std::collections::BTreeMap;
use std::time::Duration;

use umbertray_store_protocol::changes::{
    Checkpoint, FromUpstream, LaggingMember, MAX_PART, MAX_RETRY_AFTER, Position, ProgressSummary,
    RefusalReason, Role, ToUpstream,
};

use super::chance::Chance;
use super::tail::{Missing, Tail};
use super::{
    Action, DisconnectReason, HEARTBEAT, IDLE_TIMEOUT, LEASE, MAX_CHECKPOINT_TRANSFERS, RelayEvent, WINDOW,
    sums,
};
use crate::ConnectionId;

/// A frame of an entry counts so much besides its part, so that no number of them is free.
pub const FRAME: u32 = 64;
/// Where a node stands is told at most this often, and otherwise when it is next woken.
const SPACED: Duration = Duration::from_millis(100);
/// What serving one checkpoint is taken to last before any was served.
const FIRST_PACE: Duration = Duration::from_millis(500);

/// The next byte to send to a follower.
#[derive(Clone, Copy)]
struct Cursor {
    after: u64,
    /// Of the entry after that.
    offset: usize,
}

struct Follower {
    name: String,
    role: Role,
    greeted: bool,
    heard: Duration,
    cursor: Option<Cursor>,
    in_flight: u32,
    told: Option<At>,
    /// When it was last told where this node stands, and when it was last told anything of it.
    stood: Duration,
    said: Duration,
    sums: ProgressSummary,
    /// Since when it has acted on no more; a gateway's.
    since: Duration,
    nonsense: bool,
}

/// Where a node stands, as followers are told.
#[derive(Clone, Copy, PartialEq, Eq)]
struct At {
    head: Position,
    from: u64,
    checkpoint: Option<Checkpoint>,
}

/// A checkpoint on its way to a follower.
struct Fetch {
    began: Duration,
    asked: Duration,
}

pub struct Below {
    name: String,
    most: usize,
    followers: BTreeMap<ConnectionId, Follower>,
    fetches: BTreeMap<ConnectionId, Fetch>,
    /// How long one was served lately, in the mean; and until when turns are given out.
    pace: Duration,
    turns: Duration,
    chance: Chance,
    path: Vec<String>,
}

/// What an event is looked at with.
pub struct Turn<'a> {
    pub now: Duration,
    pub tail: &'a Tail,
    pub out: &'a mut Vec<Action>,
}

impl Turn<'_> {
    fn say(&mut self, link: ConnectionId, frame: FromUpstream) {
        self.out.push(Action::SendFollower { link, frame });
    }

    fn at(&self) -> At {
        let (head, from) = (self.tail.head().unwrap_or_default(), self.tail.from());
        At { head, from, checkpoint: self.tail.checkpoint() }
    }
}

impl Below {
    pub fn new(name: String, most: usize, chance: Chance) -> Below {
        let path = vec![name.clone()];
        let (followers, fetches) = (BTreeMap::new(), BTreeMap::new());
        Below { name, most, followers, fetches, pace: FIRST_PACE, turns: Duration::ZERO, chance, path }
    }

    /// Those that have said who they are.
    pub fn count(&self) -> usize {
        self.followers.values().filter(|follower| follower.greeted).count()
    }

    /// Checkpoints that are being sent.
    pub fn fetches(&self) -> usize {
        self.fetches.len()
    }

    pub fn accepted(&mut self, link: ConnectionId, turn: &mut Turn) {
        if self.followers.len() >= self.most {
            turn.say(link, FromUpstream::Refused { reason: RefusalReason::TooManyFollowers });
            return turn.out.push(Action::Close { link, reason: DisconnectReason::TooManyFollowers });
        }
        let follower = Follower {
            name: String::new(),
            role: Role::Gateway,
            greeted: false,
            heard: turn.now,
            cursor: None,
            in_flight: 0,
            told: None,
            stood: turn.now,
            said: turn.now,
            sums: ProgressSummary::default(),
            since: turn.now,
            nonsense: false,
        };
        self.followers.insert(link, follower);
    }

    pub fn left(&mut self, link: ConnectionId) {
        self.followers.remove(&link);
        self.fetches.remove(&link);
    }

    pub fn malformed(&mut self, link: ConnectionId, turn: &mut Turn) {
        if self.followers.contains_key(&link) {
            self.refuse(link, RefusalReason::ProtocolViolation, DisconnectReason::ProtocolViolation, turn);
        }
    }

    fn drop(&mut self, link: ConnectionId, why: DisconnectReason, turn: &mut Turn) {
        if let Some(follower) = self.followers.get(&link) {
            turn.out.push(Action::Log(RelayEvent::FollowerLeft { follower: follower.name.clone(), why }));
            turn.out.push(Action::Close { link, reason: why });
            self.left(link);
        }
    }

    fn refuse(&mut self, link: ConnectionId, why: RefusalReason, left: DisconnectReason, turn: &mut Turn) {
        turn.say(link, FromUpstream::Refused { reason: why });
        self.drop(link, left, turn);
    }

    pub fn asked(&mut self, link: ConnectionId, frame: ToUpstream, turn: &mut Turn) {
        let Some(follower) = self.followers.get_mut(&link) else { return };
        follower.heard = turn.now;
        let greeting = matches!(frame, ToUpstream::Hello { .. });
        if greeting == follower.greeted {
            return self.refuse(
                link,
                RefusalReason::ProtocolViolation,
                DisconnectReason::ProtocolViolation,
                turn,
            );
        }
        match frame {
            ToUpstream::Hello { name, role, .. } => self.hello(link, name, role, turn),
            ToUpstream::Follow { after } => self.follow(link, after, turn),
            ToUpstream::Fetch { version, offset } => self.fetch(link, version, offset as usize, turn),
            ToUpstream::WindowUpdate { bytes } => match follower.in_flight.checked_sub(bytes) {
                Some(left) => {
                    follower.in_flight = left;
                    self.pump(link, turn);
                }
                None => self.refuse(
                    link,
                    RefusalReason::ProtocolViolation,
                    DisconnectReason::ProtocolViolation,
                    turn,
                ),
            },
            ToUpstream::Progress(sums) => self.acted(link, sums, turn),
            ToUpstream::QueryHash { version } => {
                if let Some(hash) = turn.tail.hash_at(version) {
                    turn.say(link, FromUpstream::HashAt { at: Position { version, hash } });
                }
            }
            ToUpstream::Heartbeat => {}
            // Its owner answers it before any hello.
            ToUpstream::Status => {
                self.refuse(link, RefusalReason::ProtocolViolation, DisconnectReason::ProtocolViolation, turn)
            }
        }
    }

    fn hello(&mut self, link: ConnectionId, name: String, role: Role, turn: &mut Turn) {
        let above = role == Role::Relay && self.path.contains(&name);
        let Some(follower) = self.followers.get_mut(&link) else { return };
        (follower.name, follower.role, follower.greeted) = (name.clone(), role, true);
        if above || name == self.name {
            let path = self.path.clone();
            turn.out.push(Action::Log(RelayEvent::Loop { upstream: name, path }));
            return self.refuse(link, RefusalReason::Loop, DisconnectReason::Loop, turn);
        }
        turn.say(link, FromUpstream::Hello { name: self.name.clone(), path: self.path.clone() });
        self.stand(link, turn);
    }

    fn follow(&mut self, link: ConnectionId, after: Position, turn: &mut Turn) {
        let Some(follower) = self.followers.get_mut(&link) else { return };
        if follower.cursor.is_some() {
            return self.refuse(
                link,
                RefusalReason::ProtocolViolation,
                DisconnectReason::ProtocolViolation,
                turn,
            );
        }
        match turn.tail.follows(&after) {
            Ok(()) => {
                follower.cursor = Some(Cursor { after: after.version, offset: 0 });
                self.pump(link, turn);
            }
            // It has been told from where entries can be sent, or is by now.
            Err(Missing::Gone) => self.behind(link, after.version, turn),
            Err(Missing::Fork) => self.refuse(link, RefusalReason::Fork, DisconnectReason::Fork, turn),
            Err(Missing::Ahead) => {
                self.refuse(link, RefusalReason::Ahead, DisconnectReason::ProtocolViolation, turn)
            }
        }
    }

    fn behind(&mut self, link: ConnectionId, after: u64, turn: &mut Turn) {
        let Some(follower) = self.followers.get_mut(&link) else { return };
        follower.cursor = None;
        let follower = follower.name.clone();
        turn.out.push(Action::Log(RelayEvent::FollowerBehind { follower, after }));
        self.stand(link, turn);
    }

    /// Sends a follower what comes next, as far as its window goes.
    fn pump(&mut self, link: ConnectionId, turn: &mut Turn) {
        let Some(follower) = self.followers.get_mut(&link) else { return };
        while let Some(cursor) = follower.cursor
            && follower.in_flight < WINDOW
            && turn.tail.head().is_some_and(|head| head.version > cursor.after)
        {
            let Some(entry) = turn.tail.after(cursor.after) else {
                return self.behind(link, cursor.after, turn);
            };
            let end = entry.body.len().min(cursor.offset + MAX_PART);
            let (length, offset) = (entry.body.len() as u32, cursor.offset as u32);
            let part = entry.body.slice(cursor.offset..end);
            follower.in_flight += FRAME + part.len() as u32;
            follower.cursor = Some(if end == entry.body.len() {
                Cursor { after: entry.at.version, offset: 0 }
            } else {
                Cursor { offset: end, ..cursor }
            });
            turn.out.push(Action::SendFollower {
                link,
                frame: FromUpstream::Entry { at: entry.at, length, offset, part },
            });
        }
    }

    fn fetch(&mut self, link: ConnectionId, version: u64, offset: usize, turn: &mut Turn) {
        let tail = turn.tail;
        let held = tail.checkpoint().filter(|held| held.at.version == version);
        let (Some(_), Some(bytes)) = (held, tail.checkpoint_bytes()) else {
            // It has heard of another since, or hears now.
            self.fetches.remove(&link);
            return self.stand(link, turn);
        };
        if offset > 0 && offset >= bytes.len() {
            return self.refuse(
                link,
                RefusalReason::ProtocolViolation,
                DisconnectReason::ProtocolViolation,
                turn,
            );
        }
        let now = turn.now;
        if !self.fetches.contains_key(&link) {
            if self.fetches.len() >= MAX_CHECKPOINT_TRANSFERS {
                let after = self.turn_later(now);
                return turn.say(link, FromUpstream::RetryAfter { after });
            }
            self.fetches.insert(link, Fetch { began: now, asked: now });
        }
        let end = bytes.len().min(offset + MAX_PART);
        turn.say(
            link,
            FromUpstream::CheckpointPart { version, offset: offset as u32, part: bytes.slice(offset..end) },
        );
        match self.fetches.get_mut(&link) {
            Some(fetch) if end == bytes.len() => {
                self.pace = (self.pace * 7 + (now - fetch.began).min(MAX_RETRY_AFTER)) / 8;
                self.fetches.remove(&link);
            }
            Some(fetch) => fetch.asked = now,
            None => {}
        }
    }

    /// When a follower that is turned away is to come again: a turn behind those that were told before, at the pace that
    /// checkpoints go.
    fn turn_later(&mut self, now: Duration) -> Duration {
        let each = self.pace.max(Duration::from_millis(8)) / MAX_CHECKPOINT_TRANSFERS as u32;
        self.turns = (self.turns.max(now) + each).min(now + MAX_RETRY_AFTER / 2);
        let whole = (self.turns - now) * 2;
        self.chance.spread(whole.max(Duration::from_millis(200))).min(MAX_RETRY_AFTER)
    }

    fn acted(&mut self, link: ConnectionId, told: ProgressSummary, turn: &mut Turn) {
        let head = turn.tail.head().unwrap_or_default().version;
        let Some(follower) = self.followers.get_mut(&link) else { return };
        match sums::nonsense(&told, follower.role, head) {
            None => {
                if told.levels.first() != follower.sums.levels.first() {
                    follower.since = turn.now;
                }
                follower.sums = told;
            }
            Some(what) => {
                follower.sums = ProgressSummary::default();
                if !std::mem::replace(&mut follower.nonsense, true) {
                    let follower = follower.name.clone();
                    turn.out.push(Action::Log(RelayEvent::InvalidProgress { follower, what }));
                }
            }
        }
    }

    /// All followers and those below them.
    pub fn sums(&self, now: Duration, head: u64) -> ProgressSummary {
        let mut sum = ProgressSummary::default();
        for follower in self.followers.values() {
            sums::add(&mut sum, &follower.sums);
            let level = follower.sums.levels.first().filter(|level| level.version < head);
            if let (Role::Gateway, Some(level)) = (follower.role, level) {
                let since = now.saturating_sub(follower.since).as_secs().min(u64::from(u32::MAX)) as u32;
                let (name, version) = (follower.name.clone(), level.version);
                sum.lagging.push(LaggingMember { name, version, lag_seconds: since });
            }
        }
        sums::cut(&mut sum);
        sum
    }

    /// The way to the folder is another.
    pub fn set_path(&mut self, path: Vec<String>, turn: &mut Turn) {
        if self.path == path {
            return;
        }
        let greeted = self.followers.iter().filter(|(_, follower)| follower.greeted);
        for (link, _) in greeted {
            turn.say(*link, FromUpstream::Path(path.clone()));
        }
        self.path = path;
    }

    pub fn path(&self) -> &[String] {
        &self.path
    }

    /// Tells a follower where this node stands, if it has not been told.
    fn stand(&mut self, link: ConnectionId, turn: &mut Turn) {
        let Some(follower) = self.followers.get_mut(&link) else { return };
        let at = turn.at();
        if follower.greeted && follower.told != Some(at) {
            (follower.told, follower.stood, follower.said) = (Some(at), turn.now, turn.now);
            let At { head, from, checkpoint } = at;
            turn.say(link, FromUpstream::Head { head, oldest_version: from, checkpoint });
        }
    }

    /// The tail has changed.
    pub fn advanced(&mut self, turn: &mut Turn) {
        let links: Vec<ConnectionId> = self.followers.keys().copied().collect();
        for link in links {
            self.pump(link, turn);
            let early = self
                .followers
                .get(&link)
                .is_some_and(|follower| follower.told.is_some() && turn.now < follower.stood + SPACED);
            if !early {
                self.stand(link, turn);
            }
        }
    }

    pub fn woken(&mut self, turn: &mut Turn) {
        self.fetches
            .retain(|_, fetch| turn.now < (fetch.asked + IDLE_TIMEOUT).min(fetch.began + MAX_RETRY_AFTER));
        let links: Vec<ConnectionId> = self.followers.keys().copied().collect();
        for link in links {
            let Some(follower) = self.followers.get_mut(&link) else { continue };
            if turn.now >= follower.heard + LEASE {
                self.drop(link, DisconnectReason::IdleTimeout, turn);
                continue;
            }
            self.stand(link, turn);
            let Some(follower) = self.followers.get_mut(&link) else { continue };
            if follower.greeted && turn.now >= follower.said + HEARTBEAT {
                follower.said = turn.now;
                turn.say(link, FromUpstream::Heartbeat);
            }
        }
    }
}
