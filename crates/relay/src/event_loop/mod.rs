//! The event loop that drives a node: a single task owns the node and all connections.

mod update_buffer;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};
use umbertray_clock::Clock;
use umbertray_config::Upstream;
use umbertray_config_log::Update;
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{
    Action, DisconnectReason, Event, HEARTBEAT_INTERVAL, RelayNode, TICK_INTERVAL,
};
use umbertray_socket::Socket;
use umbertray_store_protocol::changes::{FromUpstream, Status, ToUpstream};

use self::update_buffer::{UpdateBuffer, folder_events};
use crate::connection::{self, CloseReason, ConnectionContext, FrameSender, UnsentLimitReached};
use crate::{MAX_FOLLOWERS, log_events};

/// Capacity of the event queue; when it is full, connections wait before they send another event.
const MAX_QUEUED_EVENTS: usize = 256;
/// Maximum number of events received from the queue in one step.
const MAX_EVENTS_PER_STEP: usize = 64;
/// Delay after a failed accept, whose most likely cause is a lack of file descriptors; an immediate retry
/// would spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// An event that another task sends to the event loop.
pub(crate) enum LoopEvent {
    /// A connection has an event for the node.
    Node(Event),
    /// A read of the writer's folder has returned these updates.
    FolderRead(Vec<Update>),
}

/// The channels between an event loop and its owner.
pub(crate) struct LoopHandles {
    /// Committed updates for the owner to apply, in order.
    pub(crate) updates: mpsc::Receiver<Vec<Update>>,
    /// The owner sends the version that it has applied over this channel.
    pub(crate) applied: mpsc::Sender<u64>,
    /// The reader of the writer's folder sends its events over this channel.
    pub(crate) folder_events: mpsc::Sender<LoopEvent>,
}

enum PeerSender {
    Upstream(FrameSender<ToUpstream>),
    Follower(FrameSender<FromUpstream>),
}

struct Connection {
    address: SocketAddr,
    sender: PeerSender,
    task: AbortHandle,
}

pub(crate) struct EventLoop {
    node: RelayNode,
    clock: Clock,
    /// Addresses of the upstreams, in the order of the configuration.
    upstreams: Vec<SocketAddr>,
    listener: Option<TcpListener>,
    /// The open connections; events of other connections are dropped.
    connections: HashMap<ConnectionId, Connection>,
    /// The tasks of all connections, including those that are being closed.
    tasks: JoinSet<()>,
    last_accepted: u64,
    events: mpsc::Sender<LoopEvent>,
    event_receiver: mpsc::Receiver<LoopEvent>,
    updates: UpdateBuffer,
    update_sender: mpsc::Sender<Vec<Update>>,
    applied: mpsc::Receiver<u64>,
}

impl EventLoop {
    /// Creates an event loop, and the handles for its owner.
    pub(crate) fn new(
        node: RelayNode,
        upstreams: &[Upstream],
        listener: Option<TcpListener>,
    ) -> (EventLoop, LoopHandles) {
        let (events, event_receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let (update_sender, updates) = mpsc::channel(1);
        let (applied_sender, applied) = mpsc::channel(1);
        let handles = LoopHandles { updates, applied: applied_sender, folder_events: events.clone() };
        let event_loop = EventLoop {
            node,
            clock: Clock::start(),
            upstreams: upstreams.iter().map(|upstream| upstream.address).collect(),
            listener,
            connections: HashMap::new(),
            tasks: JoinSet::new(),
            last_accepted: 0,
            events,
            event_receiver,
            updates: UpdateBuffer::default(),
            update_sender,
            applied,
        };
        (event_loop, handles)
    }

    /// Runs until the owner drops the receiver of updates.
    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let update_sender = self.update_sender.clone();
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        let mut accept_at = Instant::now();
        loop {
            let can_accept = self.listener.is_some() && self.tasks.len() < MAX_FOLLOWERS;
            // Cancel safety: a cancelled branch does not consume its event, connection, permit or finished
            // task.
            tokio::select! {
                _ = ticks.tick() => self.handle(Event::Tick),
                Some(version) = self.applied.recv() => self.handle(Event::Applied(version)),
                permit = update_sender.reserve(), if self.updates.has_committed() => match permit {
                    Ok(permit) => permit.send(self.updates.take_committed()),
                    Err(_) => return,
                },
                _ = self.event_receiver.recv_many(&mut events, MAX_EVENTS_PER_STEP),
                    if self.updates.has_capacity() =>
                {
                    events.drain(..).for_each(|event| self.on_loop_event(event));
                }
                accepted = accept(self.listener.as_ref(), accept_at), if can_accept => match accepted {
                    Ok((socket, peer)) => self.on_accepted(socket, peer),
                    Err(error) => {
                        tracing::warn!(%error, "connection accept failed");
                        accept_at = Instant::now() + ACCEPT_RETRY_INTERVAL;
                    }
                },
                Some(_) = self.tasks.join_next() => {}
                () = update_sender.closed() => return,
            }
        }
    }

    fn on_loop_event(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::FolderRead(updates) => {
                folder_events(updates).into_iter().for_each(|event| self.handle(event));
            }
            LoopEvent::Node(Event::FromFollower { connection, frame: ToUpstream::Status }) => {
                let status = FromUpstream::Status(self.status());
                self.send_follower(connection, status);
            }
            LoopEvent::Node(event) => self.on_connection_event(event),
        }
    }

    /// Passes an event to the node, unless the event's connection has been closed.
    fn on_connection_event(&mut self, event: Event) {
        if let Some(connection) = connection_of(&event) {
            if !self.connections.contains_key(&connection) {
                return;
            }
            if matches!(event, Event::Disconnected(_) | Event::FollowerDisconnected(_)) {
                self.connections.remove(&connection);
            }
        }
        self.handle(event);
    }

    fn status(&self) -> Status {
        let status = self.node.status(self.clock.now());
        Status {
            name: self.node.config().name.clone(),
            head: status.head,
            path: status.path,
            followers: status.followers as u32,
            held_bytes: status.held_bytes as u64,
            progress: status.progress,
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.node.handle(self.clock.now(), event);
        actions.into_iter().for_each(|action| self.apply(action));
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Connect { upstream, connection } => self.connect(upstream, connection),
            Action::Close { connection, reason } => self.close(connection, reason),
            Action::SendUpstream { connection, frame } => self.send_upstream(connection, frame),
            Action::SendFollower { connection, frame } => self.send_follower(connection, frame),
            Action::LoadCheckpoint { position, checkpoint } => {
                self.updates.add_checkpoint(position, &checkpoint);
            }
            Action::AppendEntry(entry) => self.updates.add_entry(&entry),
            Action::Commit(_) => self.updates.commit(),
            Action::Log(event) => log_events::log(event),
        }
    }

    fn send_upstream(&mut self, connection: ConnectionId, frame: ToUpstream) {
        let peer_sender = self.connections.get(&connection).map(|open| &open.sender);
        if let Some(PeerSender::Upstream(sender)) = peer_sender
            && let Err(UnsentLimitReached) = sender.send(frame)
        {
            self.abort(connection);
        }
    }

    fn send_follower(&mut self, connection: ConnectionId, frame: FromUpstream) {
        let peer_sender = self.connections.get(&connection).map(|open| &open.sender);
        if let Some(PeerSender::Follower(sender)) = peer_sender
            && let Err(UnsentLimitReached) = sender.send(frame)
        {
            self.abort(connection);
        }
    }

    /// Aborts the connection of a peer that does not read; its unsent frames are lost.
    fn abort(&mut self, connection: ConnectionId) {
        let Some(open) = self.connections.remove(&connection) else { return };
        open.task.abort();
        CloseReason::NotReading.log(connection, open.address);
        self.handle(match open.sender {
            PeerSender::Upstream(_) => Event::Disconnected(connection),
            PeerSender::Follower(_) => Event::FollowerDisconnected(connection),
        });
    }

    fn connect(&mut self, upstream: usize, connection: ConnectionId) {
        let Some(address) = self.upstreams.get(upstream).copied() else { return };
        let (sender, queue) = connection::frame_queue();
        let context = ConnectionContext { id: connection, peer: address, events: self.events.clone() };
        let task = self.tasks.spawn(async move {
            let reason = match connection::connect(address).await {
                Ok(socket) => {
                    _ = context.events.send(LoopEvent::Node(Event::Connected(connection))).await;
                    let to_event = |frame| Event::FromUpstream { connection, frame };
                    connection::run(socket, queue, &context, to_event).await
                }
                Err(error) => error.into(),
            };
            reason.log(connection, address);
            _ = context.events.send(LoopEvent::Node(Event::Disconnected(connection))).await;
        });
        let sender = PeerSender::Upstream(sender);
        self.connections.insert(connection, Connection { address, sender, task });
    }

    fn on_accepted(&mut self, socket: Socket, address: SocketAddr) {
        self.last_accepted += 1;
        let connection = ConnectionId(self.last_accepted);
        let (sender, queue) = connection::frame_queue();
        let context = ConnectionContext { id: connection, peer: address, events: self.events.clone() };
        let task = self.tasks.spawn(async move {
            let to_event = |frame| Event::FromFollower { connection, frame };
            let reason = connection::run(socket, queue, &context, to_event).await;
            reason.log(connection, address);
            _ = context.events.send(LoopEvent::Node(Event::FollowerDisconnected(connection))).await;
        });
        let sender = PeerSender::Follower(sender);
        self.connections.insert(connection, Connection { address, sender, task });
        self.handle(Event::FollowerConnected(connection));
    }

    /// Closes a connection: its task first sends the queued frames, and is aborted if that takes longer than
    /// [`HEARTBEAT_INTERVAL`].
    fn close(&mut self, connection: ConnectionId, reason: DisconnectReason) {
        let Some(Connection { address, sender, task }) = self.connections.remove(&connection) else { return };
        let connection_id = connection.0;
        if reason == DisconnectReason::NotNeeded {
            tracing::debug!(connection_id, peer = %address, %reason, "connection closed");
        } else {
            tracing::warn!(connection_id, peer = %address, %reason, "connection closed");
        }
        drop(sender);
        self.tasks.spawn(async move {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            task.abort();
        });
    }
}

async fn accept(listener: Option<&TcpListener>, not_before: Instant) -> io::Result<(Socket, SocketAddr)> {
    tokio::time::sleep_until(not_before).await;
    match listener {
        Some(listener) => umbertray_socket::accept(listener).await,
        None => std::future::pending().await,
    }
}

/// The connection that an event belongs to, if any.
fn connection_of(event: &Event) -> Option<ConnectionId> {
    match event {
        Event::Connected(connection)
        | Event::Disconnected(connection)
        | Event::FollowerConnected(connection)
        | Event::FollowerDisconnected(connection)
        | Event::Malformed(connection)
        | Event::FromUpstream { connection, .. }
        | Event::FromFollower { connection, .. } => Some(*connection),
        Event::FolderCheckpoint { .. } | Event::FolderEntries(_) | Event::Applied(_) | Event::Tick => None,
    }
}
