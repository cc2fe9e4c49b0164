//! Relays and gateways, the folder that some of the relays read, the connections between them, and what goes wrong. All in virtual
//! time: each event has its moment, and the same seed gives the same run.

mod links;
mod members;
mod rules;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{Action, Event, RelayEvent, RelayNode, TICK};
use umbertray_store_protocol::Message;
use umbertray_store_protocol::changes::{Position, Role};

use self::links::Link;
use crate::lies::Lie;
use crate::reference_log::Log;

pub(crate) type Id = usize;

/// Where a member runs.
#[derive(Clone, Debug)]
pub struct Place {
    pub zone: String,
    pub region: usize,
}

pub struct Member {
    pub name: String,
    pub place: Place,
    pub role: Role,
    pub upstreams: Vec<Id>,
    pub lie: Option<Lie>,
    pub node: Option<RelayNode>,
    /// Counts its starts: events for an earlier one are dropped.
    start: u32,
    pub frozen: bool,
    /// It never applies what it is given.
    pub never_applies: bool,
    /// What it sends is delayed by so much.
    pub slow: Duration,
    deferred_events: Vec<Event>,
    /// What it has built, and what it has committed; the last is durable.
    built: Option<Position>,
    pub committed: Option<Position>,
    /// Whether what it committed survives its restarts.
    pub keeps: bool,
    /// The log that it reads, the true one or a lying one, and how far it has read.
    folder_cursor: Option<FolderCursor>,
    frames_sent: u64,
    pub logged: Vec<RelayEvent>,
    pub checkpoints_loaded: usize,
}

struct FolderCursor {
    log: Option<Log>,
    read_up_to: u64,
    segment: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Direction {
    Up,
    Down,
}

enum NetworkEvent {
    Wake(Id, u32),
    Connect { link_id: u64, ok: bool },
    Frame { link_id: u64, direction: Direction, bytes: Bytes },
    End { link_id: u64, direction: Direction },
}

/// What crossed the connections, by the kind of frame.
#[derive(Default, Clone, Debug)]
pub struct Counted {
    pub frames: BTreeMap<u8, usize>,
    pub bytes: usize,
}

pub struct Network {
    pub now: Duration,
    pub log: Log,
    pub members: Vec<Member>,
    event_queue: BinaryHeap<Reverse<(Duration, u64)>>,
    queued: HashMap<u64, NetworkEvent>,
    links: BTreeMap<u64, Link>,
    /// The connection, and the end of it, that a member's id stands for.
    ends: HashMap<(Id, ConnectionId), (u64, Direction)>,
    next: u64,
    pub rng: SmallRng,
    pub cut: bool,
    pub quorum: usize,
    pub counted: HashMap<(Id, Direction), Counted>,
    pub most_checkpoint_transfers: usize,
    /// Rules that were broken, by which member and when.
    pub violations: Vec<String>,
    /// When each version was written.
    pub written: Vec<Duration>,
    /// The longest time from writing a version to its commit at a member.
    pub longest: Duration,
}

impl Network {
    pub fn new(seed: u64, quorum: usize, state: usize) -> Network {
        Network {
            now: Duration::ZERO,
            log: Log::new(state),
            members: Vec::new(),
            event_queue: BinaryHeap::new(),
            queued: HashMap::new(),
            links: BTreeMap::new(),
            ends: HashMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(seed),
            cut: false,
            quorum,
            counted: HashMap::new(),
            most_checkpoint_transfers: 0,
            violations: Vec::new(),
            written: Vec::new(),
            longest: Duration::ZERO,
        }
    }

    fn push(&mut self, at: Duration, event: NetworkEvent) {
        self.next += 1;
        self.event_queue.push(Reverse((at, self.next)));
        self.queued.insert(self.next, event);
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, id))) =
            self.event_queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.event_queue.pop();
            self.now = at;
            if let Some(event) = self.queued.remove(&id) {
                self.on_net_event(event);
            }
        }
        self.now = until;
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run(self.now + time);
    }

    /// Runs for a random time up to so many milliseconds.
    pub fn run_up_to(&mut self, most: u64) {
        let time = self.rng.random_range(0..most);
        self.run_for(Duration::from_millis(time));
    }

    fn on_net_event(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Wake(id, start) => {
                if self.members[id].start == start {
                    if !self.members[id].frozen {
                        self.deliver(id, Event::Tick);
                        self.check_bounds(id);
                    }
                    self.push(self.now + TICK, NetworkEvent::Wake(id, start));
                }
            }
            NetworkEvent::Connect { link_id, ok } => self.on_connect(link_id, ok),
            NetworkEvent::Frame { link_id, direction, bytes } => self.on_frame(link_id, direction, &bytes),
            NetworkEvent::End { link_id, direction } => self.on_end(link_id, direction),
        }
    }

    pub fn deliver(&mut self, id: Id, event: Event) {
        let member = &mut self.members[id];
        if member.frozen {
            return member.deferred_events.push(event);
        }
        let now = self.now;
        let Some(node) = &mut member.node else { return };
        let actions = node.handle(now, event);
        actions.into_iter().for_each(|action| self.act(id, action));
    }

    fn act(&mut self, id: Id, action: Action) {
        match action {
            Action::Connect { upstream, connection } => self.connect(id, upstream, connection),
            Action::Close { connection, .. } => self.close(id, connection),
            Action::SendUpstream { connection, frame } => self.send(id, connection, frame.frame()),
            Action::SendFollower { connection, frame } => {
                self.members[id].frames_sent += 1;
                let frames_sent = self.members[id].frames_sent;
                let Some(lie) = self.members[id].lie else { return self.send(id, connection, frame.frame()) };
                let names: Vec<String> = self.members.iter().map(|member| member.name.clone()).collect();
                lie.falsify(frame, frames_sent, &names)
                    .into_iter()
                    .for_each(|frame| self.send(id, connection, frame));
            }
            Action::LoadCheckpoint { at, checkpoint } => self.on_checkpoint(id, at, &checkpoint),
            Action::AppendEntry(entry) => {
                let expected = self.log.entries.get(entry.at.version as usize - 1).cloned();
                let next = self.members[id].built.map(|built| built.version + 1);
                self.check_rule(id, next == Some(entry.at.version), "acts in order");
                self.check_rule(id, expected.as_ref() == Some(&entry), "acts on what was written");
                self.members[id].built = Some(entry.at);
            }
            Action::Commit(at) => self.on_commit(id, at),
            Action::Log(event) => self.members[id].logged.push(event),
        }
    }
}
