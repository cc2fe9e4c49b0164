//! Relays and gateways, the folder that some of the relays read, the connections between them, and what goes wrong. All in virtual
//! time: an event is a moment and a thing, and the same seed gives the same run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{
    Action, Config, DisconnectReason, Event, MAX_CHECKPOINT_TRANSFERS, MAX_SUFFIX_BYTES, MAX_UNSENT, Origin,
    RelayEvent, RelayNode, TICK, Upstream, WINDOW,
};
use umbertray_store_protocol::changes::{FromUpstream, Position, Role, ToUpstream};
use umbertray_store_protocol::{Message, next_frame};

use crate::lies::Lie;
use crate::truth::Log;

pub type Id = usize;

/// Where a member is.
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
    /// Counts its starts: what was on its way to an earlier one is lost.
    start: u32,
    pub frozen: bool,
    /// It does not put in force what it is given.
    pub deaf: bool,
    /// All that it says comes so much later.
    pub slow: Duration,
    held_back: Vec<Event>,
    /// What it builds, and what it was told to have in force; the last is kept over its restarts.
    built: Option<Position>,
    pub in_force: Option<Position>,
    /// Whether it keeps that over its restarts.
    pub keeps: bool,
    /// The log that it reads, and how far it has: a true one, or a liar's.
    reads: Option<Reads>,
    said: u64,
    pub notes: Vec<RelayEvent>,
    pub adopted: usize,
}

struct Reads {
    log: Option<Log>,
    told: u64,
    segment: Option<u64>,
}

struct Conn {
    follower: Id,
    up_connection: ConnectionId,
    upstream: Id,
    down_connection: ConnectionId,
    /// When the last of each direction arrives, and the bytes on their way down.
    last: [Duration; 2],
    unsent: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Way {
    Up,
    Down,
}

enum Thing {
    Wake(Id, u32),
    Connect { conn: u64, ok: bool },
    Frame { conn: u64, way: Way, bytes: Bytes },
    End { conn: u64, way: Way },
}

/// What crossed the connections, by the kind of frame.
#[derive(Default, Clone, Debug)]
pub struct Counted {
    pub frames: BTreeMap<u8, usize>,
    pub bytes: usize,
}

pub struct Net {
    pub now: Duration,
    pub log: Log,
    pub members: Vec<Member>,
    things: BinaryHeap<Reverse<(Duration, u64)>>,
    queued: HashMap<u64, Thing>,
    conns: BTreeMap<u64, Conn>,
    /// Which connection, and which end of it, a member's connection is.
    ends: HashMap<(Id, ConnectionId), (u64, Way)>,
    next: u64,
    pub rng: SmallRng,
    pub cut: bool,
    pub vouch: usize,
    pub counted: HashMap<(Id, Way), Counted>,
    pub most_checkpoint_transfers: usize,
    /// What was broken, with who and when.
    pub broken: Vec<String>,
    /// When each version was written.
    pub written: Vec<Duration>,
    /// The longest that a member took from a version's writing to having it in force.
    pub longest: Duration,
}

impl Net {
    pub fn new(seed: u64, vouch: usize, state: usize) -> Net {
        Net {
            now: Duration::ZERO,
            log: Log::new(state),
            members: Vec::new(),
            things: BinaryHeap::new(),
            queued: HashMap::new(),
            conns: BTreeMap::new(),
            ends: HashMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(seed),
            cut: false,
            vouch,
            counted: HashMap::new(),
            most_checkpoint_transfers: 0,
            broken: Vec::new(),
            written: Vec::new(),
            longest: Duration::ZERO,
        }
    }

    pub fn add(&mut self, name: &str, zone: (&str, usize), role: Role, upstreams: Vec<Id>) -> Id {
        let folder = upstreams.is_empty();
        self.members.push(Member {
            name: name.into(),
            place: Place { zone: zone.0.into(), region: zone.1 },
            role,
            upstreams,
            lie: None,
            node: None,
            start: 0,
            frozen: false,
            deaf: false,
            slow: Duration::ZERO,
            held_back: Vec::new(),
            built: None,
            in_force: None,
            keeps: role == Role::Gateway,
            reads: folder.then_some(Reads { log: None, told: 0, segment: None }),
            said: 0,
            notes: Vec::new(),
            adopted: 0,
        });
        self.members.len() - 1
    }

    pub fn gateways(&self) -> Vec<Id> {
        let of = |id: &Id| self.members[*id].role == Role::Gateway;
        (0..self.members.len()).filter(of).collect()
    }

    pub fn relays(&self) -> Vec<Id> {
        let of = |id: &Id| self.members[*id].role == Role::Relay;
        (0..self.members.len()).filter(of).collect()
    }

    /// A relay lies from its next start on.
    pub fn lies(&mut self, id: Id, lie: Lie) {
        let log = lie.of_log().then(|| {
            let mut log = if lie == Lie::OtherLog { Log::new(self.log.state) } else { self.log.clone() };
            log.says = if lie == Lie::Old { "true" } else { "false" };
            match lie {
                Lie::Forged | Lie::OtherLog => _ = log.write("forged", 9),
                Lie::Runaway => (0..3000).for_each(|_| _ = log.write("forged", 9)),
                _ => {}
            }
            log
        });
        let member = &mut self.members[id];
        member.lie = Some(lie);
        if lie.of_log() {
            member.reads = Some(Reads { log, told: 0, segment: None });
        }
    }

    pub fn start(&mut self, id: Id) {
        let resumes = self.rng.random();
        self.start_with(id, resumes);
    }

    /// A gateway that has something in force has kept its state too, or has not.
    pub fn start_with(&mut self, id: Id, resumes: bool) {
        let seed = self.rng.random();
        let of = |id: &Id| Upstream {
            name: self.members[*id].name.clone(),
            zone: self.members[*id].place.zone.clone(),
        };
        let member = &self.members[id];
        let origin = if member.reads.is_some() {
            Origin::Folder
        } else {
            Origin::Upstreams { upstreams: member.upstreams.iter().map(of).collect(), quorum: self.vouch }
        };
        let config = Config {
            name: member.name.clone(),
            zone: member.place.zone.clone(),
            role: member.role,
            origin,
            seed,
            max_followers: 1000,
        };
        let member = &mut self.members[id];
        if !member.keeps {
            member.in_force = None;
        }
        let held = member.in_force.filter(|_| member.role == Role::Gateway && resumes);
        let node = match held {
            Some(at) => RelayNode::resume(config, at),
            None => RelayNode::new(config, member.in_force),
        };
        member.node = Some(node.expect("a sound configuration"));
        member.start += 1;
        member.built = held;
        member.frozen = false;
        member.held_back.clear();
        member.reads.iter_mut().for_each(|reads| (reads.told, reads.segment) = (0, None));
        let start = member.start;
        self.read_folder(id);
        self.push(self.now, Thing::Wake(id, start));
    }

    pub fn start_all(&mut self) {
        (0..self.members.len()).for_each(|id| self.start(id));
    }

    /// The process dies, and its connections with it.
    pub fn kill(&mut self, id: Id) {
        self.members[id].node = None;
        self.members[id].start += 1;
        let of = |conn: &Conn| conn.follower == id || conn.upstream == id;
        let ends: Vec<u64> = self.conns.iter().filter(|(_, conn)| of(conn)).map(|(conn, _)| *conn).collect();
        ends.into_iter().for_each(|conn| self.end(conn, None));
    }

    /// All connections of one connection between two members end.
    pub fn lose_some(&mut self) {
        let conns: Vec<u64> = self.conns.keys().copied().collect();
        if !conns.is_empty() {
            let lost = conns[self.rng.random_range(0..conns.len())];
            self.end(lost, None);
        }
    }

    pub fn thaw(&mut self, id: Id) {
        self.members[id].frozen = false;
        let held = std::mem::take(&mut self.members[id].held_back);
        for event in held {
            self.give(id, event);
        }
    }

    pub fn write(&mut self, length: usize) {
        self.log.write("change", length);
        self.written.push(self.now);
        let liars: Vec<Id> = (0..self.members.len()).filter(|id| self.members[*id].lie.is_some()).collect();
        for id in liars {
            let lie = self.members[id].lie;
            let Some(log) = self.members[id].reads.as_mut().and_then(|reads| reads.log.as_mut()) else {
                continue;
            };
            match lie {
                Some(Lie::Forged | Lie::OtherLog) => _ = log.write("forged", length),
                Some(Lie::Runaway) => (0..100).for_each(|_| _ = log.write("forged", 9)),
                Some(Lie::FalseState) => log.entries.clone_from(&self.log.entries),
                _ => {}
            }
        }
        (0..self.members.len()).for_each(|id| self.read_folder(id));
    }

    /// A relay at the folder hears of what is new there.
    fn read_folder(&mut self, id: Id) {
        let member = &mut self.members[id];
        let Some(reads) = &mut member.reads else { return };
        if member.node.is_none() {
            return;
        }
        let log = reads.log.as_ref().unwrap_or(&self.log);
        let mut events = Vec::new();
        let segment = log.segment();
        if reads.segment.is_none() {
            let (at, bytes) = log.checkpoint(segment);
            events.push(Event::FolderCheckpoint { at, bytes });
            reads.told = segment;
        }
        let entries = log.entries[reads.told as usize..].to_vec();
        reads.told = log.entries.len() as u64;
        events.push(Event::FolderEntries(entries));
        if reads.segment.is_some_and(|known| known < segment) {
            let (at, bytes) = log.checkpoint(segment);
            events.push(Event::FolderCheckpoint { at, bytes });
        }
        reads.segment = Some(segment);
        events.into_iter().for_each(|event| self.give(id, event));
    }

    fn push(&mut self, at: Duration, thing: Thing) {
        self.next += 1;
        self.things.push(Reverse((at, self.next)));
        self.queued.insert(self.next, thing);
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, id))) =
            self.things.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.things.pop();
            self.now = at;
            if let Some(thing) = self.queued.remove(&id) {
                self.happen(thing);
            }
        }
        self.now = until;
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run(self.now + time);
    }

    /// For a time drawn up to so many milliseconds.
    pub fn run_up_to(&mut self, most: u64) {
        let time = self.rng.random_range(0..most);
        self.run_for(Duration::from_millis(time));
    }

    fn happen(&mut self, thing: Thing) {
        match thing {
            Thing::Wake(id, start) => {
                if self.members[id].start == start {
                    if !self.members[id].frozen {
                        self.give(id, Event::Tick);
                        self.bounds(id);
                    }
                    self.push(self.now + TICK, Thing::Wake(id, start));
                }
            }
            Thing::Connect { conn, ok } => self.connected(conn, ok),
            Thing::Frame { conn, way, bytes } => self.arrived(conn, way, bytes),
            Thing::End { conn, way } => self.ended(conn, way),
        }
    }

    fn connected(&mut self, id: u64, ok: bool) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (follower, up, upstream, down) =
            (conn.follower, conn.up_connection, conn.upstream, conn.down_connection);
        if ok && self.members[upstream].node.is_some() && !self.apart(follower, upstream) {
            self.give(upstream, Event::FollowerConnected(down));
            self.give(follower, Event::Connected(up));
        } else {
            self.conns.remove(&id);
            self.give(follower, Event::Disconnected(up));
        }
    }

    /// A net that is cut loses what is on its way, and says nothing of it.
    fn apart(&self, one: Id, other: Id) -> bool {
        self.cut && self.members[one].place.region != self.members[other].place.region
    }

    fn arrived(&mut self, id: u64, way: Way, bytes: Bytes) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if way == Way::Down {
            conn.unsent -= bytes.len();
        }
        let (follower, up, upstream, down) =
            (conn.follower, conn.up_connection, conn.upstream, conn.down_connection);
        if self.apart(follower, upstream) {
            // The stream is broken from here on; both ends find out by silence.
            return self.end(id, Some(()));
        }
        let mut input = BytesMut::from(&bytes[..]);
        match way {
            Way::Up => match next_frame::<ToUpstream>(&mut input) {
                Ok(Some(frame)) => self.give(upstream, Event::FromFollower { connection: down, frame }),
                _ => self.give(upstream, Event::Malformed(down)),
            },
            Way::Down => match next_frame::<FromUpstream>(&mut input) {
                Ok(Some(frame)) => self.give(follower, Event::FromUpstream { connection: up, frame }),
                _ => self.give(follower, Event::Malformed(up)),
            },
        }
    }

    /// Ends a connection. Where the net is cut nobody hears of it.
    fn end(&mut self, id: u64, unheard: Option<()>) {
        let Some(conn) = self.conns.remove(&id) else { return };
        if unheard.is_none() {
            self.give(conn.follower, Event::Disconnected(conn.up_connection));
            self.give(conn.upstream, Event::FollowerDisconnected(conn.down_connection));
        }
    }

    fn ended(&mut self, id: u64, way: Way) {
        let Some(conn) = self.conns.remove(&id) else { return };
        match way {
            Way::Up => self.give(conn.upstream, Event::FollowerDisconnected(conn.down_connection)),
            Way::Down => self.give(conn.follower, Event::Disconnected(conn.up_connection)),
        }
    }

    pub fn give(&mut self, id: Id, event: Event) {
        let member = &mut self.members[id];
        if member.frozen {
            return member.held_back.push(event);
        }
        let now = self.now;
        let Some(node) = &mut member.node else { return };
        let actions = node.handle(now, event);
        actions.into_iter().for_each(|action| self.act(id, action));
    }

    fn conn_of(&self, id: Id, connection: ConnectionId) -> Option<(u64, Way)> {
        self.ends.get(&(id, connection)).copied().filter(|(conn, _)| self.conns.contains_key(conn))
    }

    fn act(&mut self, id: Id, action: Action) {
        match action {
            Action::Connect { upstream, connection } => self.connect(id, upstream, connection),
            Action::Close { connection, reason: reason } => self.close(id, connection, reason),
            Action::SendUpstream { connection, frame } => self.send(id, connection, frame.frame()),
            Action::SendFollower { connection, frame } => {
                self.members[id].said += 1;
                let said = self.members[id].said;
                let Some(lie) = self.members[id].lie else { return self.send(id, connection, frame.frame()) };
                let names: Vec<String> = self.members.iter().map(|member| member.name.clone()).collect();
                lie.told(frame, said, &names).into_iter().for_each(|frame| self.send(id, connection, frame));
            }
            Action::LoadCheckpoint { at, checkpoint } => self.adopt(id, at, &checkpoint),
            Action::AppendEntry(entry) => {
                let truth = self.log.entries.get(entry.at.version as usize - 1).cloned();
                let next = self.members[id].built.map(|built| built.version + 1);
                self.demand(id, next == Some(entry.at.version), "acts in order");
                self.demand(id, truth.as_ref() == Some(&entry), "acts on what was written");
                self.members[id].built = Some(entry.at);
            }
            Action::Commit(at) => self.enforce(id, at),
            Action::Log(note) => self.members[id].notes.push(note),
        }
    }

    fn adopt(&mut self, id: Id, at: Position, checkpoint: &Bytes) {
        let truth = (at.version <= self.log.head().version).then(|| self.log.checkpoint(at.version));
        self.demand(id, truth == Some((at, checkpoint.clone())), "adopts what was written");
        let further = self.members[id].built.is_none_or(|built| built.version < at.version);
        self.demand(id, further, "adopts what is newer");
        self.members[id].built = Some(at);
        self.members[id].adopted += 1;
    }

    fn enforce(&mut self, id: Id, at: Position) {
        let before = self.members[id].in_force;
        self.demand(id, self.members[id].built == Some(at), "has in force what it built");
        self.demand(id, before.is_none_or(|before| before.version <= at.version), "never goes back");
        self.members[id].in_force = Some(at);
        let first = before.map_or(at.version, |before| at.version.min(before.version + 1));
        if let Some(written) = self.written.get(first as usize - 1) {
            self.longest = self.longest.max(self.now - *written);
        }
        if !self.members[id].deaf {
            self.give(id, Event::Applied(at.version));
        }
    }

    /// An honest member keeps a rule.
    fn demand(&mut self, id: Id, kept: bool, rule: &str) {
        let member = &self.members[id];
        if !kept && member.lie.is_none() {
            self.broken.push(format!("{} at {:?}: {rule}", member.name, self.now));
        }
    }

    fn bounds(&mut self, id: Id) {
        let Some(node) = &self.members[id].node else { return };
        let standing = node.status(self.now);
        let longest = self.log.longest;
        let state = self.log.state.max(1 << 10);
        let waiting = MAX_SUFFIX_BYTES + WINDOW as usize * 2 + longest.max(state);
        self.most_checkpoint_transfers = self.most_checkpoint_transfers.max(standing.checkpoint_transfers);
        self.demand(
            id,
            standing.checkpoint_transfers <= MAX_CHECKPOINT_TRANSFERS,
            "sends few checkpoints at once",
        );
        self.demand(id, standing.unconfirmed_bytes <= waiting, "holds little that is not vouched for");
        self.demand(id, standing.held_bytes <= (9 << 20) + state + longest, "holds a bounded tail");
    }

    fn connect(&mut self, id: Id, upstream: usize, connection: ConnectionId) {
        let to = self.members[id].upstreams[upstream];
        self.next += 1;
        let conn = self.next;
        let down_connection = ConnectionId(conn);
        let at = Conn {
            follower: id,
            up_connection: connection,
            upstream: to,
            down_connection,
            last: [self.now; 2],
            unsent: 0,
        };
        self.ends.extend([((id, connection), (conn, Way::Up)), ((to, down_connection), (conn, Way::Down))]);
        self.conns.insert(conn, at);
        // Where the net is cut nothing comes back; a process that is gone is found at once.
        if !self.apart(id, to) {
            let ok = self.members[to].node.is_some();
            self.push(self.now + self.delay(id, to), Thing::Connect { conn, ok });
        }
    }

    fn delay(&self, from: Id, to: Id) -> Duration {
        let far = self.members[from].place.region != self.members[to].place.region;
        Duration::from_millis(if far { 70 } else { 1 }) + self.members[from].slow
    }

    fn send(&mut self, id: Id, connection: ConnectionId, bytes: Bytes) {
        let Some((conn, way)) = self.conn_of(id, connection) else { return };
        let counted = self.counted.entry((id, way)).or_default();
        *counted.frames.entry(bytes[4]).or_default() += 1;
        counted.bytes += bytes.len();
        let Some(at) = self.conns.get_mut(&conn) else { return };
        let to = if way == Way::Up { at.upstream } else { at.follower };
        if way == Way::Down {
            at.unsent += bytes.len();
            let unsent = at.unsent;
            self.demand(id, unsent <= MAX_UNSENT, "queues little for a follower");
        }
        let delay = self.delay(id, to);
        let Some(at) = self.conns.get_mut(&conn) else { return };
        let arrives = (self.now + delay).max(at.last[way as usize]);
        at.last[way as usize] = arrives;
        self.push(arrives, Thing::Frame { conn, way, bytes });
    }

    fn close(&mut self, id: Id, connection: ConnectionId, _: DisconnectReason) {
        let Some((conn, way)) = self.conn_of(id, connection) else { return };
        let Some(at) = self.conns.get(&conn) else { return };
        let to = if way == Way::Up { at.upstream } else { at.follower };
        let arrives = (self.now + self.delay(id, to)).max(at.last[way as usize]);
        self.push(arrives, Thing::End { conn, way });
    }

    /// How the relays and some gateways stand, and what they noted last.
    pub fn told(&self, gateways: usize) -> Vec<String> {
        let told = |member: &Member| {
            let standing = member.node.as_ref().map(|node| node.status(self.now));
            let standing = standing.map(|at| {
                (
                    at.head.version,
                    at.oldest_version,
                    at.checkpoint,
                    at.source,
                    at.connected,
                    at.unconfirmed_bytes,
                )
            });
            let notes: Vec<String> =
                member.notes.iter().rev().take(8).map(|note| format!("{note:?}")).collect();
            format!("{}: {standing:?}\n      {}", member.name, notes.join("\n      "))
        };
        self.members.iter().take(7 + gateways).map(told).collect()
    }

    /// Members that live and do not have the newest version in force.
    pub fn behind(&self) -> Vec<String> {
        let head = self.log.head();
        let of = |member: &&Member| {
            member.role == Role::Gateway
                && member.node.is_some()
                && !member.frozen
                && member.in_force != Some(head)
        };
        let told =
            |member: &Member| format!("{} has {:?}", member.name, member.in_force.map(|at| at.version));
        self.members.iter().filter(of).map(told).collect()
    }
}
