//! Upstreams: which are connected, whose entries are taken, and what is believed.
//!
//! A node is connected to one more upstream than have to vouch, so that any one of them may be gone, old or a liar and the
//! others still suffice. Entries are taken from one; the others say by hash that they have acted on the same.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use umbertray_store_protocol::changes::{
    Checkpoint, FromUpstream, MAX_PART, MAX_PATH, Position, ProgressSummary, RefusalReason, Role, ToUpstream,
    digest,
};

use super::below::FRAME;
use super::chance::{Chance, rank};
use super::tail::{ENTRY, Tail};
use super::{
    AVOID_DURATION, Action, CONNECT_TIMEOUT, DisconnectReason, Entry, HEARTBEAT, IDLE_TIMEOUT, MAX_BACKOFF,
    MAX_LAG, MAX_SUFFIX_BYTES, MIN_BACKOFF, RelayEvent, Upstream, WINDOW,
};
use crate::ConnectionId;

/// With less than enough voices for so long, all upstreams are connected to; and so long afterwards.
const UNSURE: Duration = Duration::from_secs(1);
const WIDE: Duration = Duration::from_secs(10);
/// An upstream that is nearer than the one followed is gone back to when it has stood so long.
const SETTLED: Duration = Duration::from_secs(5);
/// One that failed is looked for again after half to all of this while others suffice.
const BETTER: Duration = Duration::from_secs(30);
/// Frames but those of entries and checkpoints that an upstream may send in a second; fifteen are honest.
const FRAMES: u32 = 100;
/// What is asked for comes at this pace at least, bytes a second, or another upstream is asked.
const PACE: u32 = 1 << 20;
/// The least time that a checkpoint is waited for.
const FETCH: Duration = Duration::from_secs(5);
/// That checkpoints are not vouched for is said this often.
const SAID: Duration = Duration::from_secs(10);

struct Open {
    link: ConnectionId,
    since: Duration,
    heard: Duration,
    said: Duration,
    /// The frames of a second, and when it began.
    frames: (Duration, u32),
    greeted: bool,
    path: Vec<String>,
    told: Option<Told>,
    /// What it has told of the pending entries: the newest that it has too, and the oldest that it has otherwise.
    agrees: Option<u64>,
    against: Option<u64>,
    /// It is ahead of the pending entries, and was asked for its hash at this version.
    asked: Option<u64>,
}

/// Where an upstream stands.
struct Told {
    head: Position,
    from: u64,
    checkpoint: Option<Checkpoint>,
    /// Since when it has been ahead of the pending entries.
    ahead: Option<Duration>,
}

enum State {
    Resting { until: Duration },
    Connecting { link: ConnectionId, by: Duration },
    Open(Box<Open>),
}

struct Peer {
    place: usize,
    name: String,
    state: State,
    failures: u32,
    /// Not looked for before, while others suffice.
    better: Duration,
    /// Neither entries nor checkpoints are asked of it before, if others have them.
    doubted: Duration,
    /// No checkpoint is asked of it before: it has said so.
    later: Duration,
}

impl Peer {
    fn open(&self) -> Option<&Open> {
        match &self.state {
            State::Open(open) if open.greeted => Some(open),
            _ => None,
        }
    }

    fn open_mut(&mut self) -> Option<&mut Open> {
        match &mut self.state {
            State::Open(open) => Some(open),
            _ => None,
        }
    }

    fn told(&self) -> Option<&Told> {
        self.open()?.told.as_ref()
    }

    fn link(&self) -> Option<ConnectionId> {
        match &self.state {
            State::Resting { .. } => None,
            State::Connecting { link, .. } => Some(*link),
            State::Open(open) => Some(open.link),
        }
    }
}

/// A change whose parts are still coming.
struct Partial {
    at: Position,
    length: u32,
    body: BytesMut,
}

/// The one whose entries are taken, and those of its entries that are not vouched for.
struct Followed {
    peer: usize,
    pending: VecDeque<Entry>,
    bytes: usize,
    partial: Option<Partial>,
    /// Bytes received that it has not been told were taken.
    owed: u32,
    /// When the last entry came, or has to be whole.
    moved: Duration,
    /// Since when there are entries that are not vouched for.
    unvouched: Option<Duration>,
}

impl Followed {
    fn end(&self, have: Position) -> Position {
        self.pending.back().map_or(have, |entry| entry.at)
    }
}

struct Fetch {
    peer: usize,
    checkpoint: Checkpoint,
    bytes: BytesMut,
    heard: Duration,
    by: Duration,
}

pub struct Above {
    me: String,
    role: Role,
    zone: String,
    vouch: usize,
    /// Own zone first, then by rank.
    peers: Vec<Peer>,
    chance: Chance,
    links: u64,
    followed: Option<Followed>,
    fetch: Option<Fetch>,
    /// What was acted on before, by this run or an earlier one.
    acted: Option<Position>,
    wide: Duration,
    /// Since when a checkpoint is needed and not vouched for; when that was last said.
    lacking: Option<Duration>,
    /// Since when one ahead of what is held is vouched for, and nothing was acted on.
    passed: Option<Duration>,
    said: Option<Duration>,
    /// Nothing is begun before: the vouched history was not the one acted on.
    stopped: Duration,
}

/// What an event is looked at with.
pub struct Turn<'a> {
    pub now: Duration,
    pub tail: &'a mut Tail,
    pub out: &'a mut Vec<Action>,
}

impl Above {
    pub fn new(
        me: (String, String, Role),
        upstreams: &[Upstream],
        vouch: usize,
        chance: Chance,
        acted: Option<Position>,
    ) -> Above {
        let (me, zone, role) = me;
        let mut order: Vec<(usize, &Upstream)> = upstreams.iter().enumerate().collect();
        order.sort_by_key(|(_, upstream)| {
            (upstream.zone != zone, u64::MAX - rank(&me, &upstream.name), upstream.name.clone())
        });
        let peer = |(place, upstream): (usize, &Upstream)| Peer {
            place,
            name: upstream.name.clone(),
            state: State::Resting { until: Duration::ZERO },
            failures: 0,
            better: Duration::ZERO,
            doubted: Duration::ZERO,
            later: Duration::ZERO,
        };
        Above {
            peers: order.into_iter().map(peer).collect(),
            me,
            role,
            zone,
            vouch,
            chance,
            links: 1 << 63,
            followed: None,
            fetch: None,
            acted,
            wide: Duration::ZERO,
            lacking: None,
            passed: None,
            said: None,
            stopped: Duration::ZERO,
        }
    }

    fn peer_of(&self, link: ConnectionId) -> Option<usize> {
        self.peers.iter().position(|peer| peer.link() == Some(link))
    }

    pub fn opened(&mut self, link: ConnectionId, turn: &mut Turn) {
        let Some(peer) = self.peer_of(link) else { return };
        let now = turn.now;
        let open = Open {
            link,
            since: now,
            heard: now,
            said: now,
            frames: (now, 0),
            greeted: false,
            path: Vec::new(),
            told: None,
            agrees: None,
            against: None,
            asked: None,
        };
        self.peers[peer].state = State::Open(Box::new(open));
        let hello = ToUpstream::Hello { name: self.me.clone(), zone: self.zone.clone(), role: self.role };
        turn.out.push(Action::SendUpstream { link, frame: hello });
    }

    pub fn closed(&mut self, link: ConnectionId, turn: &mut Turn) {
        if let Some(peer) = self.peer_of(link) {
            self.rest(peer, DisconnectReason::Closed, turn);
            self.settle(turn);
        }
    }

    pub fn malformed(&mut self, link: ConnectionId, turn: &mut Turn) {
        if let Some(peer) = self.peer_of(link) {
            self.leave(peer, DisconnectReason::ProtocolViolation, turn);
            self.settle(turn);
        }
    }

    /// Ends the connection to an upstream.
    fn leave(&mut self, peer: usize, why: DisconnectReason, turn: &mut Turn) {
        if let Some(link) = self.peers[peer].link() {
            turn.out.push(Action::Close { link, reason: why });
            self.rest(peer, why, turn);
        }
    }

    fn rest(&mut self, peer: usize, why: DisconnectReason, turn: &mut Turn) {
        let now = turn.now;
        let wait = match why {
            DisconnectReason::NotNeeded => Duration::ZERO,
            _ if why.puts_aside() => AVOID_DURATION,
            _ => {
                let doubled = MIN_BACKOFF * 2_u32.saturating_pow(self.peers[peer].failures.min(8));
                self.chance.spread(doubled.min(MAX_BACKOFF))
            }
        };
        let better = now + wait.max(self.chance.spread(BETTER));
        let at = &mut self.peers[peer];
        at.state = State::Resting { until: now + wait };
        if why != DisconnectReason::NotNeeded {
            at.failures = at.failures.saturating_add(1);
            at.better = better;
        }
        turn.out.push(Action::Log(RelayEvent::UpstreamLeft { upstream: at.name.clone(), why, wait }));
        if self.followed.as_ref().is_some_and(|followed| followed.peer == peer) {
            self.unfollow();
        }
        self.fetch.take_if(|fetch| fetch.peer == peer);
    }

    /// What was not vouched for is forgotten.
    fn unfollow(&mut self) {
        self.followed = None;
        for open in self.peers.iter_mut().filter_map(Peer::open_mut) {
            (open.agrees, open.against) = (None, None);
            open.told.iter_mut().for_each(|told| told.ahead = None);
        }
    }

    pub fn heard(&mut self, link: ConnectionId, frame: FromUpstream, turn: &mut Turn) {
        let Some(peer) = self.peer_of(link) else { return };
        if let Err(why) = self.take(peer, frame, turn) {
            self.leave(peer, why, turn);
        }
        self.settle(turn);
    }

    fn take(&mut self, peer: usize, frame: FromUpstream, turn: &mut Turn) -> Result<(), DisconnectReason> {
        let now = turn.now;
        let Some(open) = self.peers[peer].open_mut() else { return Err(DisconnectReason::ProtocolViolation) };
        open.heard = now;
        if !matches!(
            frame,
            FromUpstream::Entry { .. } | FromUpstream::CheckpointPart { .. } | FromUpstream::HashAt { .. }
        ) {
            if now >= open.frames.0 + HEARTBEAT {
                open.frames = (now, 0);
            }
            open.frames.1 += 1;
            if open.frames.1 > FRAMES {
                return Err(DisconnectReason::Unrequested);
            }
        }
        let first = matches!(frame, FromUpstream::Hello { .. } | FromUpstream::Refused { .. });
        if first == open.greeted && !matches!(frame, FromUpstream::Refused { .. }) {
            return Err(DisconnectReason::ProtocolViolation);
        }
        match frame {
            FromUpstream::Hello { name, path } => self.hello(peer, &name, path, turn),
            FromUpstream::Path(path) => self.set_path(peer, path, turn),
            FromUpstream::Head { head, oldest_version: from, checkpoint } => {
                self.at(peer, head, from, checkpoint)
            }
            FromUpstream::HashAt { at } => self.had(peer, at, turn),
            FromUpstream::Entry { at, length, offset, part } => {
                self.entry(peer, at, length, offset, part, turn)
            }
            FromUpstream::CheckpointPart { version, offset, part } => {
                self.part(peer, version, offset, &part, turn)
            }
            FromUpstream::RetryAfter { after } => {
                if self.fetch.take_if(|fetch| fetch.peer == peer).is_some() {
                    self.peers[peer].later = now + after;
                }
                Ok(())
            }
            FromUpstream::Refused { reason: why } => Err(DisconnectReason::Refused(why)),
            FromUpstream::Heartbeat => Ok(()),
            // Nobody asked.
            FromUpstream::Status(_) => Err(DisconnectReason::ProtocolViolation),
        }
    }

    fn hello(
        &mut self,
        peer: usize,
        name: &str,
        path: Vec<String>,
        turn: &mut Turn,
    ) -> Result<(), DisconnectReason> {
        if name == self.me {
            return self.looped(peer, path, turn);
        }
        if name != self.peers[peer].name {
            return Err(DisconnectReason::WrongName);
        }
        if let Some(open) = self.peers[peer].open_mut() {
            open.greeted = true;
        }
        self.set_path(peer, path, turn)
    }

    fn set_path(&mut self, peer: usize, path: Vec<String>, turn: &mut Turn) -> Result<(), DisconnectReason> {
        if path.last() != Some(&self.peers[peer].name) {
            return Err(DisconnectReason::ProtocolViolation);
        }
        if self.role == Role::Relay && (path.contains(&self.me) || path.len() >= MAX_PATH) {
            return self.looped(peer, path, turn);
        }
        if let Some(open) = self.peers[peer].open_mut() {
            open.path = path;
        }
        Ok(())
    }

    fn looped(&mut self, peer: usize, path: Vec<String>, turn: &mut Turn) -> Result<(), DisconnectReason> {
        let upstream = self.peers[peer].name.clone();
        turn.out.push(Action::Log(RelayEvent::Loop { upstream, path }));
        Err(DisconnectReason::Loop)
    }

    fn at(
        &mut self,
        peer: usize,
        head: Position,
        from: u64,
        checkpoint: Option<Checkpoint>,
    ) -> Result<(), DisconnectReason> {
        let at = &mut self.peers[peer];
        let Some(open) = at.open_mut() else { return Ok(()) };
        let before = open.told.as_ref();
        let backwards = before.is_some_and(|before| {
            head.version < before.head.version
                || head.version == before.head.version && head.hash != before.head.hash
        });
        let later = checkpoint.is_some_and(|checkpoint| checkpoint.at.version > head.version);
        if backwards || later || from > head.version {
            return Err(DisconnectReason::ProtocolViolation);
        }
        let ahead = before.and_then(|before| before.ahead);
        open.told = Some(Told { head, from, checkpoint, ahead });
        at.failures = 0;
        Ok(())
    }

    fn entry(
        &mut self,
        peer: usize,
        at: Position,
        length: u32,
        offset: u32,
        part: Bytes,
        turn: &mut Turn,
    ) -> Result<(), DisconnectReason> {
        let followed = self.followed.as_mut().filter(|followed| followed.peer == peer);
        let (Some(followed), Some(have)) = (followed, turn.tail.head()) else {
            return Err(DisconnectReason::Unrequested);
        };
        followed.owed += FRAME + part.len() as u32;
        if followed.owed > WINDOW + FRAME + MAX_PART as u32 {
            return Err(DisconnectReason::Unrequested);
        }
        let end = followed.end(have);
        let whole = (length as usize - offset as usize).min(MAX_PART);
        let next = match &followed.partial {
            None => offset == 0 && at.version == end.version.saturating_add(1),
            Some(partial) => {
                (partial.at, partial.length, partial.body.len()) == (at, length, offset as usize)
            }
        };
        if !next {
            return Err(DisconnectReason::BrokenChain);
        }
        if part.len() != whole {
            return Err(DisconnectReason::ProtocolViolation);
        }
        let partial = followed.partial.get_or_insert_with(|| Partial { at, length, body: BytesMut::new() });
        partial.body.extend_from_slice(&part);
        if offset == 0 {
            followed.moved = turn.now + Duration::from_secs(1) * (length / PACE);
        }
        if partial.body.len() == length as usize
            && let Some(partial) = followed.partial.take()
        {
            let body = partial.body.freeze();
            if end.after_change(&body) != at {
                return Err(DisconnectReason::BrokenChain);
            }
            followed.moved = turn.now;
            followed.unvouched.get_or_insert(turn.now);
            followed.bytes += ENTRY + body.len();
            followed.pending.push_back(Entry { at, body });
        }
        Ok(())
    }

    fn part(
        &mut self,
        peer: usize,
        version: u64,
        offset: u32,
        part: &[u8],
        turn: &mut Turn,
    ) -> Result<(), DisconnectReason> {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.peer == peer) else {
            return Err(DisconnectReason::Unrequested);
        };
        let length = fetch.checkpoint.length as usize;
        let whole = length.saturating_sub(offset as usize).min(MAX_PART);
        if version != fetch.checkpoint.at.version
            || offset as usize != fetch.bytes.len()
            || part.len() != whole
        {
            return Err(DisconnectReason::ProtocolViolation);
        }
        fetch.bytes.extend_from_slice(part);
        fetch.heard = turn.now;
        if fetch.bytes.len() < length {
            self.ask_part(turn);
        } else if let Some(fetch) = self.fetch.take() {
            let bytes = fetch.bytes.freeze();
            if digest(&bytes) != fetch.checkpoint.digest {
                return Err(DisconnectReason::BrokenChain);
            }
            self.fetched(peer, fetch.checkpoint, bytes, turn);
        }
        Ok(())
    }

    fn ask_part(&mut self, turn: &mut Turn) {
        let Some(fetch) = &self.fetch else { return };
        let Some(link) = self.peers[fetch.peer].link() else { return };
        let (version, offset) = (fetch.checkpoint.at.version, fetch.bytes.len() as u32);
        turn.out.push(Action::SendUpstream { link, frame: ToUpstream::Fetch { version, offset } });
    }

    /// A checkpoint that was vouched for when it was asked for, and is what was vouched for.
    fn fetched(&mut self, peer: usize, checkpoint: Checkpoint, bytes: Bytes, turn: &mut Turn) {
        let from = self.peers[peer].name.clone();
        let at = checkpoint.at;
        if turn.tail.head().is_some_and(|have| have.version >= at.version) {
            return turn.tail.renew(checkpoint, bytes);
        }
        // What it sends follows on what was held.
        if let Some(followed) = &self.followed {
            self.leave(followed.peer, DisconnectReason::NotNeeded, turn);
        }
        turn.tail.reset(checkpoint, bytes.clone());
        turn.out.push(Action::Log(RelayEvent::CheckpointLoaded { at, from }));
        turn.out.push(Action::LoadCheckpoint { at, checkpoint: bytes });
        self.enforce(turn);
    }

    /// Danger: nothing before what was acted on, by this run or an earlier one, is put in force.
    fn enforce(&mut self, turn: &mut Turn) {
        let Some(head) = turn.tail.head() else { return };
        if head.version > self.acted.map_or(0, |acted| acted.version) {
            self.acted = Some(head);
            turn.out.push(Action::Commit(head));
        } else if self.acted == Some(head) {
            turn.out.push(Action::Commit(head));
        }
    }

    /// All that follows from what is known now.
    pub fn settle(&mut self, turn: &mut Turn) {
        self.compare(turn);
        self.believe(turn);
        self.ask(turn);
        self.credit(turn);
        self.judge(turn);
        self.connect(turn);
        self.choose(turn);
        self.choose_checkpoint(turn);
    }

    fn had(&mut self, peer: usize, at: Position, turn: &mut Turn) -> Result<(), DisconnectReason> {
        let open = self.peers[peer].open_mut();
        let asked = open.is_some_and(|open| open.asked.take_if(|asked| *asked == at.version).is_some());
        if !asked {
            return Err(DisconnectReason::Unrequested);
        }
        self.hold_against(peer, at, turn)
    }

    /// Holds a position that an upstream told of against what was acted on and against the pending entries.
    fn hold_against(&mut self, peer: usize, told: Position, turn: &mut Turn) -> Result<(), DisconnectReason> {
        let Some(have) = turn.tail.head() else { return Ok(()) };
        if told.version <= have.version {
            let other = turn.tail.hash_at(told.version).is_some_and(|hash| hash != told.hash);
            return if other { Err(DisconnectReason::Fork) } else { Ok(()) };
        }
        let place = usize::try_from(told.version - have.version - 1).unwrap_or(usize::MAX);
        let pending = self.followed.as_ref().and_then(|followed| followed.pending.get(place));
        let Some(hash) = pending.map(|entry| entry.at.hash) else { return Ok(()) };
        let upstream = self.peers[peer].name.clone();
        let Some(open) = self.peers[peer].open_mut() else { return Ok(()) };
        if hash == told.hash {
            open.agrees = open.agrees.max(Some(told.version));
        } else if open.against.is_none() {
            open.against = Some(told.version);
            self.wide = turn.now + WIDE;
            turn.out.push(Action::Log(RelayEvent::Disagreement { upstream, version: told.version }));
        }
        Ok(())
    }

    fn compare(&mut self, turn: &mut Turn) {
        let Some(have) = turn.tail.head() else { return };
        let end = self.followed.as_ref().map_or(have, |followed| followed.end(have)).version;
        for place in 0..self.peers.len() {
            let Some(told) = self.peers[place].open_mut().and_then(|open| open.told.as_mut()) else {
                continue;
            };
            match told.head.version > end {
                true => _ = told.ahead.get_or_insert(turn.now),
                false => told.ahead = None,
            }
            let head = told.head;
            let held = self.hold_against(place, head, turn);
            // What it had otherwise has been acted on.
            let other = self.peers[place].open().and_then(|open| open.against);
            if held.is_err() || other.is_some_and(|version| version <= have.version) {
                self.leave(place, DisconnectReason::Fork, turn);
            }
        }
    }

    /// Asks those that are ahead of the pending entries for their hash at the end of these: where much is to be caught up
    /// with, what they tell by themselves is beyond what may wait here.
    fn ask(&mut self, turn: &mut Turn) {
        let (Some(followed), Some(have)) = (&self.followed, turn.tail.head()) else { return };
        let (followed, end) = (followed.peer, followed.end(have).version);
        if end == have.version {
            return;
        }
        for (_, peer) in self.peers.iter_mut().enumerate().filter(|(place, _)| *place != followed) {
            let Some(open) = peer.open_mut().filter(|open| open.greeted) else { continue };
            let from = open.told.as_ref().map_or(0, |told| told.from);
            // It does not hold that version any more and will not answer.
            open.asked.take_if(|asked| *asked < from);
            let ahead = open.told.as_ref().is_some_and(|told| told.head.version > end && told.from <= end);
            if ahead && open.asked.is_none() && open.against.is_none() && open.agrees < Some(end) {
                open.asked = Some(end);
                turn.out.push(Action::SendUpstream {
                    link: open.link,
                    frame: ToUpstream::QueryHash { version: end },
                });
            }
        }
    }

    /// The newest pending version that enough voices have said.
    fn voiced(&self, have: Position) -> Option<u64> {
        let followed = self.followed.as_ref()?;
        // Danger: the one followed is one voice, however much it sent.
        let voices = self.peers.iter().enumerate().filter_map(|(place, peer)| {
            let open = peer.open()?;
            if place == followed.peer { Some(followed.end(have).version) } else { open.agrees }
        });
        let mut voices: Vec<u64> = voices.collect();
        voices.sort_unstable_by(|one, other| other.cmp(one));
        voices.get(self.vouch - 1).copied().filter(|voiced| *voiced > have.version)
    }

    /// Gives out the pending entries that are vouched for.
    fn believe(&mut self, turn: &mut Turn) {
        let Some(voiced) = turn.tail.head().and_then(|have| self.voiced(have)) else { return };
        while let Some(entry) = self.next_pending(voiced) {
            let other = |acted: Position| acted.version == entry.at.version && acted.hash != entry.at.hash;
            if self.acted.is_some_and(other) {
                return self.stop(entry.at.version, turn);
            }
            turn.tail.push(entry.clone());
            turn.out.push(Action::AppendEntry(entry));
        }
        if let Some(followed) = &mut self.followed {
            followed.unvouched = (!followed.pending.is_empty()).then_some(turn.now);
        }
        self.passed = self.passed.map(|_| turn.now);
        self.enforce(turn);
        // What was told of versions that have become the tail's is looked at anew.
        self.compare(turn);
    }

    fn next_pending(&mut self, voiced: u64) -> Option<Entry> {
        let followed = self.followed.as_mut()?;
        let entry = followed.pending.pop_front_if(|entry| entry.at.version <= voiced)?;
        followed.bytes -= ENTRY + entry.body.len();
        Some(entry)
    }

    /// What is vouched for is not the history that was acted on: it is not for this node to say which is right.
    fn stop(&mut self, version: u64, turn: &mut Turn) {
        turn.out.push(Action::Log(RelayEvent::DivergentHistory { version }));
        self.stopped = turn.now + AVOID_DURATION;
        turn.tail.clear();
        let involved = [
            self.followed.as_ref().map(|followed| followed.peer),
            self.fetch.as_ref().map(|fetch| fetch.peer),
        ];
        involved.into_iter().flatten().for_each(|peer| self.leave(peer, DisconnectReason::Fork, turn));
    }

    /// Tells the one followed how much may come. Danger: what waits for voices is bounded by a whole tail, since another may
    /// have a hash only of where its own begins, the window, and one long entry; beyond it nothing is granted.
    fn credit(&mut self, turn: &mut Turn) {
        let Some(followed) = self.followed.as_mut().filter(|followed| followed.bytes <= MAX_SUFFIX_BYTES)
        else {
            return;
        };
        let granted = followed.owed >= WINDOW / 4;
        if let Some(link) = self.peers[followed.peer].link().filter(|_| granted) {
            let bytes = std::mem::take(&mut followed.owed);
            turn.out.push(Action::SendUpstream { link, frame: ToUpstream::WindowUpdate { bytes } });
        }
    }

    /// Leaves the one followed where it is behind, or alone with what it says.
    fn judge(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let (Some(followed), Some(have)) = (&self.followed, turn.tail.head()) else { return };
        let (peer, end) = (followed.peer, followed.end(have).version);
        let others = || {
            let others = self.peers.iter().enumerate().filter(|(place, _)| *place != peer);
            others.filter_map(|(_, peer)| Some((peer, peer.open()?)))
        };
        let against = others().filter(|(_, open)| open.against.is_some()).count();
        let alone = followed.unvouched.is_some_and(|since| now >= since + MAX_LAG);
        let unsure = followed.unvouched.is_some_and(|since| now >= since + UNSURE);
        let full = followed.bytes > MAX_SUFFIX_BYTES;
        let ahead = !full
            && others().any(|(peer, open)| {
                let since = open.told.as_ref().and_then(|told| told.ahead);
                peer.doubted <= now && since.is_some_and(|since| now >= since.max(followed.moved) + MAX_LAG)
            });
        let gone = self.peers[peer].told().is_some_and(|told| told.from > end);
        if against >= self.vouch {
            // One of those at least is honest.
            self.leave(peer, DisconnectReason::Fork, turn);
        } else if alone && against > 0 || ahead {
            self.peers[peer].doubted = now + AVOID_DURATION;
            self.leave(peer, DisconnectReason::TooSlow, turn);
        } else if gone {
            self.leave(peer, DisconnectReason::NotNeeded, turn);
        } else if unsure {
            self.wide = now + WIDE;
        }
    }

    /// Connects to as many upstreams as it takes, the nearest first.
    fn connect(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let wanted = if now < self.wide { self.peers.len() } else { self.vouch + 1 }.min(self.peers.len());
        let linked = |peers: &[Peer]| peers.iter().filter(|peer| peer.link().is_some()).count();
        for place in 0..self.peers.len() {
            let State::Resting { until } = self.peers[place].state else { continue };
            let lacking = linked(&self.peers) < wanted;
            let farther = self.peers[place + 1..].iter().any(|peer| peer.link().is_some());
            let nearer = farther && linked(&self.peers) == wanted && now >= self.peers[place].better;
            if now >= until && (lacking || nearer) {
                self.links += 1;
                let link = ConnectionId(self.links);
                self.peers[place].state = State::Connecting { link, by: now + CONNECT_TIMEOUT };
                turn.out.push(Action::Connect { upstream: self.peers[place].place, link });
            }
        }
        // A spare one goes when those before it have spoken.
        let spoken = self.peers.iter().filter(|peer| peer.told().is_some()).count();
        if spoken > wanted
            && let Some(last) = self.peers.iter().rposition(|peer| peer.told().is_some())
        {
            self.leave(last, DisconnectReason::NotNeeded, turn);
        }
    }

    /// Chooses whose entries are taken.
    fn choose(&mut self, turn: &mut Turn) {
        let (now, Some(have)) = (turn.now, turn.tail.head()) else { return };
        if now < self.stopped {
            return;
        }
        let serves = |peer: &Peer| {
            // One without a checkpoint has nothing yet.
            peer.told().is_some_and(|told| {
                told.checkpoint.is_some() && told.head.version >= have.version && told.from <= have.version
            })
        };
        let best = |trusted: bool| {
            let mut all = (0..self.peers.len()).filter(|place| serves(&self.peers[*place]));
            all.find(|place| !trusted || self.peers[*place].doubted <= now)
        };
        let Some(followed) = &self.followed else {
            // An upstream that is doubted is better than none.
            if let Some(peer) = best(true).or_else(|| best(false)) {
                self.follow(peer, have, turn);
            }
            return;
        };
        let quiet = followed.pending.is_empty() && followed.partial.is_none();
        let better = best(true)
            .filter(|place| *place < followed.peer)
            .filter(|place| self.peers[*place].open().is_some_and(|open| now >= open.since + SETTLED));
        if let Some(better) = better.filter(|_| quiet) {
            self.leave(followed.peer, DisconnectReason::NotNeeded, turn);
            self.follow(better, have, turn);
        }
    }

    fn follow(&mut self, peer: usize, after: Position, turn: &mut Turn) {
        let Some(link) = self.peers[peer].link() else { return };
        let (pending, moved) = (VecDeque::new(), turn.now);
        self.followed =
            Some(Followed { peer, pending, bytes: 0, partial: None, owed: 0, moved, unvouched: None });
        let upstream = self.peers[peer].name.clone();
        turn.out.push(Action::Log(RelayEvent::Following { upstream, after }));
        turn.out.push(Action::SendUpstream { link, frame: ToUpstream::Follow { after } });
    }

    /// The newest checkpoint that enough upstreams tell of alike and that a node is in want of.
    fn vouched(&self, wanted: impl Fn(&Checkpoint) -> bool) -> Option<Checkpoint> {
        let told = || self.peers.iter().filter_map(|peer| peer.told()?.checkpoint);
        let enough = |one: &Checkpoint| told().filter(|other| other == one).count() >= self.vouch;
        told().filter(|one| wanted(one) && enough(one)).max_by_key(|one| one.at.version)
    }

    /// No upstream has the entries after what is held, and one has others.
    fn stranded(&self, have: Position) -> bool {
        let mut told = self.peers.iter().filter_map(Peer::told);
        self.followed.is_none() && told.any(|told| told.from > have.version)
    }

    /// The checkpoint to go on from: where nothing is held, where the entries in between cannot be had, or where none of
    /// them was believed for long, since too few of those that vouch for it have them.
    fn needed(&mut self, have: Option<Position>, now: Duration) -> (bool, Option<Checkpoint>) {
        let newest = self.vouched(|one| have.is_none_or(|have| one.at.version > have.version));
        let since = newest.map(|_| *self.passed.get_or_insert(now));
        self.passed = since;
        let needed = have.is_none_or(|have| self.stranded(have));
        (needed, newest.filter(|_| needed || since.is_some_and(|since| now >= since + 3 * MAX_LAG)))
    }

    /// What a relay is to have for its followers: what the others have, so that these hear of it from enough.
    fn fresher(&self, tail: &Tail) -> Option<Checkpoint> {
        let (have, held) = (tail.head()?, tail.checkpoint()?);
        self.vouched(|one| {
            let other = tail.hash_at(one.at.version).is_some_and(|hash| hash != one.at.hash);
            one.at.version > held.at.version && one.at.version <= have.version && !other
        })
    }

    fn choose_checkpoint(&mut self, turn: &mut Turn) {
        let now = turn.now;
        if self.fetch.is_some() || now < self.stopped {
            return;
        }
        let (needed, checkpoint) = self.needed(turn.tail.head(), now);
        match checkpoint.or_else(|| self.fresher(turn.tail)) {
            Some(checkpoint) => {
                self.lacking = None;
                self.fetch_from(checkpoint, turn);
            }
            None if needed => self.lack(turn),
            None => self.lacking = None,
        }
    }

    fn fetch_from(&mut self, checkpoint: Checkpoint, turn: &mut Turn) {
        let now = turn.now;
        if let Some(acted) = self.acted
            && acted.version == checkpoint.at.version
            && acted.hash != checkpoint.at.hash
        {
            return self.stop(acted.version, turn);
        }
        let has = |peer: &&Peer| {
            peer.later <= now && peer.told().and_then(|told| told.checkpoint) == Some(checkpoint)
        };
        let best = |trusted: bool| {
            self.peers.iter().position(|peer| has(&peer) && (!trusted || peer.doubted <= now))
        };
        let Some(peer) = best(true).or_else(|| best(false)) else { return };
        let by = now + FETCH + Duration::from_secs(1) * (checkpoint.length / PACE);
        self.fetch = Some(Fetch { peer, checkpoint, bytes: BytesMut::new(), heard: now, by });
        self.ask_part(turn);
    }

    /// A checkpoint is needed, and none is vouched for: more upstreams are asked.
    fn lack(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let since = *self.lacking.get_or_insert(now);
        let told =
            self.peers.iter().filter_map(|peer| peer.told()?.checkpoint).max_by_key(|one| one.at.version);
        if now < since + UNSURE {
            return;
        }
        self.wide = now + WIDE;
        if let Some(newest) = told.filter(|_| self.said.is_none_or(|said| now >= said + SAID)) {
            self.said = Some(now);
            turn.out.push(Action::Log(RelayEvent::NoQuorum { version: newest.at.version }));
        }
    }

    /// Time has passed: silent upstreams are left, and signs of life given.
    pub fn woken(&mut self, sums: &ProgressSummary, turn: &mut Turn) {
        let now = turn.now;
        for place in 0..self.peers.len() {
            match &self.peers[place].state {
                State::Connecting { by, .. } if now >= *by => {
                    self.leave(place, DisconnectReason::NotConnected, turn)
                }
                State::Open(open) if now >= open.heard + IDLE_TIMEOUT => {
                    self.leave(place, DisconnectReason::IdleTimeout, turn)
                }
                _ => {}
            }
        }
        if let Some(fetch) = &self.fetch {
            let peer = fetch.peer;
            let told = self.peers[peer].told().and_then(|told| told.checkpoint);
            if told != Some(fetch.checkpoint) {
                self.fetch = None;
            } else if now >= fetch.by.min(fetch.heard + IDLE_TIMEOUT) {
                self.peers[peer].doubted = now + AVOID_DURATION;
                self.leave(peer, DisconnectReason::TooSlow, turn);
            }
        }
        self.settle(turn);
        let followed = self.followed.as_ref().map(|followed| followed.peer);
        for (place, peer) in self.peers.iter_mut().enumerate() {
            let Some(open) = peer.open_mut().filter(|open| open.greeted) else { continue };
            if now >= open.said + HEARTBEAT {
                open.said = now;
                let frame = match followed == Some(place) {
                    true => ToUpstream::Progress(sums.clone()),
                    false => ToUpstream::Heartbeat,
                };
                turn.out.push(Action::SendUpstream { link: open.link, frame });
            }
        }
    }

    /// Names of the relays that entries come by.
    pub fn path(&self) -> &[String] {
        let followed = self.followed.as_ref().and_then(|followed| self.peers[followed.peer].open());
        followed.map_or(&[], |open| &open.path)
    }

    pub fn followed(&self) -> Option<&str> {
        self.followed.as_ref().map(|followed| self.peers[followed.peer].name.as_str())
    }

    pub fn linked(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().filter(|peer| peer.open().is_some()).map(|peer| peer.name.as_str())
    }

    /// Bytes that wait for voices or for the rest of them.
    pub fn waiting(&self) -> usize {
        let followed = self.followed.as_ref().map_or(0, |followed| {
            let pending: usize = followed.pending.iter().map(|entry| entry.body.len()).sum();
            pending + followed.partial.as_ref().map_or(0, |partial| partial.body.len())
        });
        followed + self.fetch.as_ref().map_or(0, |fetch| fetch.bytes.len())
    }
}

impl DisconnectReason {
    /// It was caught at what no honest upstream does.
    fn puts_aside(self) -> bool {
        matches!(
            self,
            DisconnectReason::BrokenChain
                | DisconnectReason::Fork
                | DisconnectReason::Loop
                | DisconnectReason::WrongName
                | DisconnectReason::ProtocolViolation
                | DisconnectReason::Unrequested
                | DisconnectReason::Refused(RefusalReason::Fork | RefusalReason::Loop)
        )
    }
}
