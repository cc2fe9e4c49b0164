//! The loop that hosts a node: one task, which alone touches it, and which owns all connections.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};
use umbertray_clock::Clock;
use umbertray_config::Upstream;
use umbertray_config_log::Update;
use umbertray_config_log::chain::{self, SegmentHeader};
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{
    Action, DisconnectReason, Entry, Event, HEARTBEAT, RelayEvent, RelayNode, TICK,
};
use umbertray_socket::Socket;
use umbertray_store_protocol::changes::{FromUpstream, Position, Status, ToUpstream};

use crate::MAX_FOLLOWERS;
use crate::link::{self, Ear, Ended};

/// Messages on their way to the hub; the connections wait beyond it.
const TO_HUB: usize = 256;
/// So many messages are taken at a time.
const TURN: usize = 64;
/// Bytes that wait to be put in force; beyond them nothing more is read, and the upstream sees that.
const PENDING: usize = 16 << 20;
/// The next connection is accepted so long after one could not be: out of descriptors, most likely.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

pub enum LoopEvent {
    Event(Event),
    Folder(Vec<Update>),
}

/// What the owner of a hub holds of it.
pub struct Ends {
    /// What is to be put in force, in order.
    pub told: mpsc::Receiver<Vec<Update>>,
    /// Up to which version it is.
    pub in_force: mpsc::Sender<u64>,
    pub folder: mpsc::Sender<LoopEvent>,
}

enum Peer {
    Upstream(link::Sender<ToUpstream>),
    Follower(link::Sender<FromUpstream>),
}

struct Link {
    address: SocketAddr,
    peer: Peer,
    task: AbortHandle,
}

pub struct EventLoop {
    node: RelayNode,
    clock: Clock,
    upstreams: Vec<SocketAddr>,
    listener: Option<TcpListener>,
    /// Those that are open; what is still heard of others counts for nothing.
    links: HashMap<ConnectionId, Link>,
    /// All connections, also those that are being closed.
    tasks: JoinSet<()>,
    accepted: u64,
    to_hub: mpsc::Sender<LoopEvent>,
    from_all: mpsc::Receiver<LoopEvent>,
    /// To be in force with what comes before it is.
    built: Vec<Update>,
    /// To be put in force, and not given out yet.
    pending: Vec<Update>,
    pending_bytes: usize,
    to_owner: mpsc::Sender<Vec<Update>>,
    in_force: mpsc::Receiver<u64>,
}

impl EventLoop {
    pub fn new(node: RelayNode, upstreams: &[Upstream], listener: Option<TcpListener>) -> (EventLoop, Ends) {
        let (to_hub, from_all) = mpsc::channel(TO_HUB);
        let (to_owner, told) = mpsc::channel(1);
        let (told_back, in_force) = mpsc::channel(1);
        let ends = Ends { told, in_force: told_back, folder: to_hub.clone() };
        let hub = EventLoop {
            node,
            clock: Clock::start(),
            upstreams: upstreams.iter().map(|upstream| upstream.address).collect(),
            listener,
            links: HashMap::new(),
            tasks: JoinSet::new(),
            accepted: 0,
            to_hub,
            from_all,
            built: Vec::new(),
            pending: Vec::new(),
            pending_bytes: 0,
            to_owner,
            in_force,
        };
        (hub, ends)
    }

    /// Runs until its owner lets go of what it is told.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let to_owner = self.to_owner.clone();
        let (mut messages, mut accept_at) = (Vec::with_capacity(TURN), Instant::now());
        loop {
            let accepting = self.listener.is_some() && self.tasks.len() < MAX_FOLLOWERS;
            // Each of these that another branch cancels has taken nothing: a message, connection or place stays where it was.
            tokio::select! {
                _ = ticks.tick() => self.handle(Event::Tick),
                Some(version) = self.in_force.recv() => self.handle(Event::Applied(version)),
                place = to_owner.reserve(), if !self.pending.is_empty() => match place {
                    Ok(place) => {
                        place.send(std::mem::take(&mut self.pending));
                        self.pending_bytes = 0;
                    }
                    Err(_) => return,
                },
                _ = self.from_all.recv_many(&mut messages, TURN), if self.pending_bytes < PENDING => {
                    messages.drain(..).for_each(|message| self.heard(message));
                }
                accepted = accept(self.listener.as_ref(), accept_at), if accepting => match accepted {
                    Ok((stream, peer)) => self.accepted(stream, peer),
                    Err(error) => {
                        tracing::warn!(%error, "no follower accepted");
                        accept_at = Instant::now() + ACCEPT_AGAIN;
                    }
                },
                Some(_) = self.tasks.join_next() => {}
                () = to_owner.closed() => return,
            }
        }
    }

    fn heard(&mut self, message: LoopEvent) {
        match message {
            LoopEvent::Folder(told) => folder_events(told).into_iter().for_each(|event| self.handle(event)),
            LoopEvent::Event(Event::FromFollower { connection: link, frame: ToUpstream::Status }) => {
                let status = FromUpstream::Status(self.status());
                self.act(Action::SendFollower { connection: link, frame: status });
            }
            LoopEvent::Event(event) => {
                let link = link_of(&event);
                if link.is_none_or(|link| self.links.contains_key(&link)) {
                    if let (Some(link), Event::Disconnected(_) | Event::FollowerDisconnected(_)) =
                        (link, &event)
                    {
                        self.links.remove(&link);
                    }
                    self.handle(event);
                }
            }
        }
    }

    fn status(&self) -> Status {
        let standing = self.node.status(self.clock.now());
        Status {
            name: self.node.config().name.clone(),
            head: standing.head,
            path: standing.path,
            followers: standing.followers as u32,
            held_bytes: standing.held_bytes as u64,
            progress: standing.progress,
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.node.handle(self.clock.now(), event);
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Connect { upstream, connection: link } => self.connect(upstream, link),
            Action::Close { connection: link, reason: why } => self.close(link, why),
            Action::SendUpstream { connection: link, frame } => {
                if let Some(Link { peer: Peer::Upstream(peer), .. }) = self.links.get(&link) {
                    let room = peer.send(frame);
                    self.unless_full(link, room);
                }
            }
            Action::SendFollower { connection: link, frame } => {
                if let Some(Link { peer: Peer::Follower(peer), .. }) = self.links.get(&link) {
                    let room = peer.send(frame);
                    self.unless_full(link, room);
                }
            }
            Action::LoadCheckpoint { at: Position { version, hash }, checkpoint } => {
                let head = SegmentHeader {
                    version,
                    hash,
                    checkpoint: checkpoint.to_vec(),
                    completed: VecDeque::new(),
                };
                self.give(Update::Checkpoint(head), checkpoint.len());
            }
            Action::AppendEntry(Entry { at: Position { version, hash }, body }) => {
                let entry = chain::Entry { version, hash, body: body.to_vec() };
                self.give(Update::Entry(entry), body.len());
            }
            Action::Commit(_) => self.pending.append(&mut self.built),
            Action::Log(note) => say(note),
        }
    }

    fn give(&mut self, told: Update, bytes: usize) {
        self.built.push(told);
        self.pending_bytes += bytes;
    }

    /// A peer that leaves so much unread is cut off: its task ends, and says that it did.
    fn unless_full(&mut self, link: ConnectionId, taken: bool) {
        if let Some(end) = self.links.get(&link).filter(|_| !taken) {
            end.task.abort();
            Ended::Stuck.say(end.address);
            let event = match end.peer {
                Peer::Upstream(_) => Event::Disconnected(link),
                Peer::Follower(_) => Event::FollowerDisconnected(link),
            };
            self.links.remove(&link);
            self.handle(event);
        }
    }

    fn connect(&mut self, upstream: usize, link: ConnectionId) {
        let Some(address) = self.upstreams.get(upstream).copied() else { return };
        let (to_peer, unsent) = link::channel();
        let to_hub = self.to_hub.clone();
        let task = self.tasks.spawn(async move {
            let ended = match link::connect(address).await {
                Ok(stream) => {
                    _ = to_hub.send(LoopEvent::Event(Event::Connected(link))).await;
                    let heard = |frame| Event::FromUpstream { connection: link, frame };
                    link::run(stream, unsent, Ear { link, peer: address, to_hub: &to_hub }, heard).await
                }
                Err(error) => error.into(),
            };
            ended.say(address);
            _ = to_hub.send(LoopEvent::Event(Event::Disconnected(link))).await;
        });
        self.links.insert(link, Link { address, peer: Peer::Upstream(to_peer), task });
    }

    fn accepted(&mut self, stream: Socket, address: SocketAddr) {
        self.accepted += 1;
        let link = ConnectionId(self.accepted);
        let (to_peer, unsent) = link::channel();
        let to_hub = self.to_hub.clone();
        let task = self.tasks.spawn(async move {
            let asked = |frame| Event::FromFollower { connection: link, frame };
            let ear = Ear { link, peer: address, to_hub: &to_hub };
            let ended = link::run(stream, unsent, ear, asked).await;
            ended.say(address);
            _ = to_hub.send(LoopEvent::Event(Event::FollowerDisconnected(link))).await;
        });
        self.links.insert(link, Link { address, peer: Peer::Follower(to_peer), task });
        self.handle(Event::FollowerConnected(link));
    }

    /// Lets go of a connection: its task sends what it was given, and is ended if that takes too long.
    fn close(&mut self, link: ConnectionId, why: DisconnectReason) {
        let Some(Link { address, peer, task }) = self.links.remove(&link) else { return };
        match why {
            DisconnectReason::NotNeeded => {
                tracing::debug!(peer = %address, reason = %why, "connection closed")
            }
            _ => tracing::warn!(peer = %address, reason = %why, "connection closed"),
        }
        drop(peer);
        self.tasks.spawn(async move {
            tokio::time::sleep(HEARTBEAT).await;
            task.abort();
        });
    }
}

async fn accept(listener: Option<&TcpListener>, from: Instant) -> std::io::Result<(Socket, SocketAddr)> {
    tokio::time::sleep_until(from).await;
    match listener {
        Some(listener) => umbertray_socket::accept(listener).await,
        None => std::future::pending().await,
    }
}

fn link_of(event: &Event) -> Option<ConnectionId> {
    match event {
        Event::Connected(link)
        | Event::Disconnected(link)
        | Event::FollowerConnected(link)
        | Event::FollowerDisconnected(link)
        | Event::Malformed(link) => Some(*link),
        Event::FromUpstream { connection: link, .. } | Event::FromFollower { connection: link, .. } => {
            Some(*link)
        }
        Event::FolderCheckpoint { .. } | Event::FolderEntries(_) | Event::Applied(_) | Event::Tick => None,
    }
}

/// Entries between two checkpoints are one event.
fn folder_events(told: Vec<Update>) -> Vec<Event> {
    let mut events = Vec::new();
    for told in told {
        let at = Position { version: told.version(), hash: told.hash() };
        match told {
            Update::Checkpoint(head) => {
                events.push(Event::FolderCheckpoint { at, bytes: head.checkpoint.into() })
            }
            Update::Entry(entry) => {
                let entry = Entry { at, body: entry.body.into() };
                match events.last_mut() {
                    Some(Event::FolderEntries(entries)) => entries.push(entry),
                    _ => events.push(Event::FolderEntries(vec![entry])),
                }
            }
        }
    }
    events
}

fn say(note: RelayEvent) {
    match note {
        RelayEvent::Following { upstream, after } => {
            tracing::info!(upstream, after = after.version, "follows")
        }
        RelayEvent::UpstreamLeft { upstream, reason: why, backoff: wait } => {
            tracing::warn!(upstream, reason = %why, wait_s = wait.as_secs_f64(), "upstream left");
        }
        RelayEvent::Loop { upstream, path } => tracing::error!(upstream, ?path, "loop of relays: refused"),
        RelayEvent::Disagreement { upstream, version } => {
            tracing::error!(
                upstream,
                version,
                "upstreams tell different histories: one lies, or follows another log"
            );
        }
        RelayEvent::DivergentHistory { version } => {
            tracing::error!(
                version,
                "what upstreams agree on is not what was acted on: the log was replaced, or they lie"
            );
        }
        RelayEvent::FolderBroken { version } => {
            tracing::error!(version, "the folder does not go on from what is held: nothing of it is taken");
        }
        RelayEvent::NoQuorum { version } => {
            tracing::warn!(version, "no checkpoint is told by enough upstreams");
        }
        RelayEvent::CheckpointLoaded { at, upstream: from } => {
            tracing::info!(version = at.version, from, "checkpoint adopted")
        }
        RelayEvent::FollowerBehind { follower, after } => {
            tracing::info!(follower, after, "follower needs a checkpoint")
        }
        RelayEvent::FollowerLeft { follower, reason: why } => {
            tracing::warn!(follower, reason = %why, "follower left")
        }
        RelayEvent::InvalidProgress { follower, reason: what } => {
            tracing::warn!(follower, what, "sums left out")
        }
        RelayEvent::SuffixOutgrown { version } => {
            tracing::warn!(version, "the log has outgrown what is held since its checkpoint");
        }
    }
}
