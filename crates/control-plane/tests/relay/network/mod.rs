//! The simulated network: relays and gateways, the folder that some relays read, the connections between
//! members, and their faults. It runs in virtual time: every event has a scheduled time, and a run is
//! determined by its seed.

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
use umbertray_control_plane::relay::{Action, Event, RelayEvent, RelayNode, TICK_INTERVAL};
use umbertray_store_protocol::Message;
use umbertray_store_protocol::changes::{Position, Role};

use self::links::Link;
use crate::lies::Lie;
use crate::reference_log::Log;

pub(crate) type Id = usize;

/// The zone and the region that a member runs in.
#[derive(Clone, Debug)]
pub struct Site {
    pub zone: String,
    pub region: usize,
}

pub struct Member {
    pub name: String,
    pub site: Site,
    pub role: Role,
    pub upstreams: Vec<Id>,
    pub lie: Option<Lie>,
    pub node: Option<RelayNode>,
    /// Number of its starts and kills. Wake events of an earlier start are dropped.
    start_count: u32,
    pub frozen: bool,
    /// Whether it never applies the changes that it commits.
    pub never_applies: bool,
    /// Additional delay of every frame that it sends.
    pub send_delay: Duration,
    /// Events that are delivered when it is no longer frozen.
    deferred_events: Vec<Event>,
    /// The position of its state, including changes that are not committed.
    built: Option<Position>,
    /// The position that it committed, which is durable.
    pub committed: Option<Position>,
    /// Whether the committed position survives a restart.
    pub keeps_committed: bool,
    /// The log that it reads, if it reads a folder, and how far it has read.
    folder_cursor: Option<FolderCursor>,
    frames_sent: u64,
    pub logged: Vec<RelayEvent>,
    pub checkpoints_loaded: usize,
}

struct FolderCursor {
    /// A false log; `None` for the true one.
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

/// The frames and bytes that a member sent.
#[derive(Default, Clone, Debug)]
pub struct Traffic {
    /// Number of frames by the kind of frame.
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
    /// The link, and the end of it, that a member's connection id identifies.
    link_ends: HashMap<(Id, ConnectionId), (u64, Direction)>,
    next_id: u64,
    pub rng: SmallRng,
    pub is_region_cut_off: bool,
    pub quorum: usize,
    pub traffic: HashMap<(Id, Direction), Traffic>,
    pub max_checkpoint_transfers: usize,
    /// The rules that were violated, with the member and the time.
    pub violations: Vec<String>,
    /// When each version was written.
    pub written_at: Vec<Duration>,
    /// The longest time from the write of a version until its commit at a member.
    pub longest_delay: Duration,
}

impl Network {
    pub fn new(seed: u64, quorum: usize, checkpoint_bytes: usize) -> Network {
        Network {
            now: Duration::ZERO,
            log: Log::new(checkpoint_bytes),
            members: Vec::new(),
            event_queue: BinaryHeap::new(),
            queued: HashMap::new(),
            links: BTreeMap::new(),
            link_ends: HashMap::new(),
            next_id: 0,
            rng: SmallRng::seed_from_u64(seed),
            is_region_cut_off: false,
            quorum,
            traffic: HashMap::new(),
            max_checkpoint_transfers: 0,
            violations: Vec::new(),
            written_at: Vec::new(),
            longest_delay: Duration::ZERO,
        }
    }

    fn push(&mut self, at: Duration, event: NetworkEvent) {
        self.next_id += 1;
        self.event_queue.push(Reverse((at, self.next_id)));
        self.queued.insert(self.next_id, event);
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, id))) =
            self.event_queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.event_queue.pop();
            self.now = at;
            if let Some(event) = self.queued.remove(&id) {
                self.on_network_event(event);
            }
        }
        self.now = until;
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run(self.now + time);
    }

    /// Runs for a random time below `max_ms` milliseconds.
    pub fn run_up_to(&mut self, max_ms: u64) {
        let time = self.rng.random_range(0..max_ms);
        self.run_for(Duration::from_millis(time));
    }

    fn on_network_event(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Wake(id, start) => {
                if self.members[id].start_count == start {
                    if !self.members[id].frozen {
                        self.deliver(id, Event::Tick);
                        self.check_bounds(id);
                    }
                    self.push(self.now + TICK_INTERVAL, NetworkEvent::Wake(id, start));
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
            Action::LoadCheckpoint { position, checkpoint } => self.on_checkpoint(id, position, &checkpoint),
            Action::AppendEntry(entry) => {
                let expected = self.log.entries.get(entry.position.version as usize - 1).cloned();
                let next = self.members[id].built.map(|built| built.version + 1);
                self.check_rule(id, next == Some(entry.position.version), "appends entries in order");
                self.check_rule(
                    id,
                    expected.as_ref() == Some(&entry),
                    "appends only entries that were written",
                );
                self.members[id].built = Some(entry.position);
            }
            Action::Commit(at) => self.on_commit(id, at),
            Action::Log(event) => self.members[id].logged.push(event),
        }
    }
}
