//! The follower side of a node: which upstreams it connects to, which one it replicates entries from, and
//! which data it accepts.
//!
//! A node connects to one more upstream than its quorum, so that the others still form a quorum if any one of
//! them is down, stale or lying. Entries are replicated from one upstream, the replication source; the others
//! confirm them by their hashes.
//!
//! - `peer` is the state of one upstream.
//! - `connections` decides which upstreams are connected.
//! - `agreement` decides which entries have a quorum.
//! - `replication` handles the entries of the replication source.
//! - `checkpoint_transfer` fetches checkpoints.
//!
//! After each event, [`Upstreams::update`] runs all decisions that may depend on it, always in the same
//! order.

mod agreement;
mod checkpoint_transfer;
mod connections;
mod peer;
mod replication;

use std::time::Duration;

use umbertray_store_protocol::changes::{
    Checkpoint, FromUpstream, MAX_PATH, Position, ProgressSummary, Role, ToUpstream,
};

use self::checkpoint_transfer::CheckpointTransfer;
use self::peer::{Peer, UpstreamState};
use self::replication::{EntryPart, ReplicationSource};
use super::jitter::{Jitter, rendezvous_weight};
use super::log_suffix::LogSuffix;
use super::{Action, DisconnectReason, HEARTBEAT_INTERVAL, RelayEvent, Upstream};
use crate::ConnectionId;

/// If a quorum has been missing for this long, the node connects to all upstreams.
const MAX_QUORUM_DELAY: Duration = Duration::from_secs(1);
/// How long the node then tries to keep connections to all upstreams.
const CONNECT_ALL_DURATION: Duration = Duration::from_secs(10);

/// How this node identifies itself to its upstreams.
pub(super) struct Identity {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) role: Role,
}

/// The upstreams of a node.
///
/// Invariant: an entry is appended, or a checkpoint loaded, only if `quorum` of the peers have confirmed it.
pub(super) struct Upstreams {
    identity: Identity,
    quorum: usize,
    /// In the order of preference: upstreams in the node's own zone first, then by rendezvous weight.
    peers: Vec<Peer>,
    jitter: Jitter,
    /// The id of the last connection that this node requested. The top bit of these ids is 1.
    last_connection: u64,
    source: Option<ReplicationSource>,
    checkpoint_transfer: CheckpointTransfer,
    /// The newest position that was committed, by this run or an earlier one.
    committed: Option<Position>,
    connect_all_until: Duration,
    /// No entries or checkpoints are requested before this time, because the history with a quorum was not
    /// the committed one.
    halted_until: Duration,
}

/// The state that the handlers of an event share.
pub(super) struct Context<'a> {
    pub(super) now: Duration,
    pub(super) suffix: &'a mut LogSuffix,
    pub(super) actions: &'a mut Vec<Action>,
}

impl Context<'_> {
    fn send(&mut self, connection: ConnectionId, frame: ToUpstream) {
        self.actions.push(Action::SendUpstream { connection, frame });
    }

    fn log(&mut self, event: RelayEvent) {
        self.actions.push(Action::Log(event));
    }
}

impl Upstreams {
    pub(super) fn new(
        identity: Identity,
        upstreams: &[Upstream],
        quorum: usize,
        jitter: Jitter,
        committed: Option<Position>,
    ) -> Upstreams {
        let mut preferred: Vec<(usize, &Upstream)> = upstreams.iter().enumerate().collect();
        preferred.sort_by_key(|(_, upstream)| {
            let weight = rendezvous_weight(&identity.name, &upstream.name);
            (upstream.zone != identity.zone, u64::MAX - weight, upstream.name.clone())
        });
        let peers = preferred.into_iter().map(|(index, upstream)| Peer::new(index, upstream.name.clone()));
        Upstreams {
            peers: peers.collect(),
            identity,
            quorum,
            jitter,
            last_connection: 1 << 63,
            source: None,
            checkpoint_transfer: CheckpointTransfer::default(),
            committed,
            connect_all_until: Duration::ZERO,
            halted_until: Duration::ZERO,
        }
    }

    fn peer_of(&self, connection: ConnectionId) -> Option<usize> {
        self.peers.iter().position(|peer| peer.connection() == Some(connection))
    }

    pub(super) fn on_frame(
        &mut self,
        connection: ConnectionId,
        frame: FromUpstream,
        context: &mut Context<'_>,
    ) {
        let Some(peer) = self.peer_of(connection) else { return };
        if let Err(reason) = self.accept_frame(peer, frame, context) {
            self.disconnect(peer, reason, context);
        }
        self.update(context);
    }

    fn accept_frame(
        &mut self,
        peer: usize,
        frame: FromUpstream,
        context: &mut Context<'_>,
    ) -> Result<(), DisconnectReason> {
        self.check_order(peer, &frame, context.now)?;
        match frame {
            FromUpstream::Hello { name, path } => self.on_hello(peer, &name, path, context),
            FromUpstream::Path(path) => self.on_path(peer, path, context),
            FromUpstream::Head { head, oldest_version, checkpoint } => {
                self.on_head(peer, head, oldest_version, checkpoint)
            }
            FromUpstream::HashAt { position } => self.on_hash(peer, position, context),
            FromUpstream::Entry { position, length, offset, part } => {
                self.on_entry_part(peer, &EntryPart { position, length, offset, bytes: part }, context)
            }
            FromUpstream::CheckpointPart { version, offset, part } => {
                self.on_checkpoint_part(peer, version, offset, &part, context)
            }
            FromUpstream::RetryAfter { after } => {
                self.on_retry_after(peer, context.now + after);
                Ok(())
            }
            FromUpstream::Rejected { reason } => Err(DisconnectReason::Rejected(reason)),
            FromUpstream::Heartbeat => Ok(()),
            // This node never requests a status from an upstream.
            FromUpstream::Status(_) => Err(DisconnectReason::ProtocolViolation),
        }
    }

    /// Checks that a frame is allowed now: a hello has to be the first frame and must not be repeated, and
    /// the number of frames that were not requested is limited.
    fn check_order(
        &mut self,
        peer: usize,
        frame: &FromUpstream,
        now: Duration,
    ) -> Result<(), DisconnectReason> {
        let Some(session) = self.peers[peer].session_mut() else {
            return Err(DisconnectReason::ProtocolViolation);
        };
        session.last_received_at = now;
        let was_requested = matches!(
            frame,
            FromUpstream::Entry { .. } | FromUpstream::CheckpointPart { .. } | FromUpstream::HashAt { .. }
        );
        if !was_requested {
            session.count_unrequested_frame(now)?;
        }
        let is_hello = matches!(frame, FromUpstream::Hello { .. });
        let is_rejection = matches!(frame, FromUpstream::Rejected { .. });
        if !is_rejection && is_hello == session.hello_received {
            return Err(DisconnectReason::ProtocolViolation);
        }
        Ok(())
    }

    fn on_hello(
        &mut self,
        peer: usize,
        name: &str,
        path: Vec<String>,
        context: &mut Context<'_>,
    ) -> Result<(), DisconnectReason> {
        if name == self.identity.name {
            return self.reject_loop(peer, path, context);
        }
        if name != self.peers[peer].name {
            return Err(DisconnectReason::WrongName);
        }
        if let Some(session) = self.peers[peer].session_mut() {
            session.hello_received = true;
        }
        self.on_path(peer, path, context)
    }

    fn on_path(
        &mut self,
        peer: usize,
        path: Vec<String>,
        context: &mut Context<'_>,
    ) -> Result<(), DisconnectReason> {
        if path.last() != Some(&self.peers[peer].name) {
            return Err(DisconnectReason::ProtocolViolation);
        }
        let is_loop = path.contains(&self.identity.name) || path.len() >= MAX_PATH;
        if self.identity.role == Role::Relay && is_loop {
            return self.reject_loop(peer, path, context);
        }
        if let Some(session) = self.peers[peer].session_mut() {
            session.path = path;
        }
        Ok(())
    }

    fn reject_loop(
        &mut self,
        peer: usize,
        path: Vec<String>,
        context: &mut Context<'_>,
    ) -> Result<(), DisconnectReason> {
        let upstream = self.peers[peer].name.clone();
        context.log(RelayEvent::LoopDetected { upstream, path });
        Err(DisconnectReason::Loop)
    }

    fn on_head(
        &mut self,
        peer: usize,
        head: Position,
        oldest_version: u64,
        checkpoint: Option<Checkpoint>,
    ) -> Result<(), DisconnectReason> {
        let peer = &mut self.peers[peer];
        let Some(session) = peer.session_mut() else { return Ok(()) };
        let previous = session.state.as_ref();
        let is_backwards = previous.is_some_and(|previous| {
            head.version < previous.head.version
                || head.version == previous.head.version && head.hash != previous.head.hash
        });
        let is_checkpoint_ahead =
            checkpoint.is_some_and(|checkpoint| checkpoint.position.version > head.version);
        if is_backwards || is_checkpoint_ahead || oldest_version > head.version {
            return Err(DisconnectReason::ProtocolViolation);
        }
        let ahead_since = previous.and_then(|previous| previous.ahead_since);
        session.state = Some(UpstreamState { head, oldest_version, checkpoint, ahead_since });
        peer.failures = 0;
        Ok(())
    }

    /// Runs all decisions on the current state. The order of these steps is part of the protocol's behaviour.
    fn update(&mut self, context: &mut Context<'_>) {
        self.compare_heads(context);
        self.commit_agreed(context);
        self.query_hashes(context);
        self.grant_window(context);
        self.review_source(context);
        self.connect_preferred(context);
        self.choose_source(context);
        self.choose_checkpoint(context);
    }

    /// Handles a tick: disconnects idle upstreams and sends heartbeats. `progress` is sent to the replication
    /// source in place of a heartbeat.
    pub(super) fn on_timer(&mut self, progress: &ProgressSummary, context: &mut Context<'_>) {
        self.disconnect_idle(context);
        self.expire_download(context);
        self.update(context);
        self.send_heartbeats(progress, context);
    }

    fn send_heartbeats(&mut self, progress: &ProgressSummary, context: &mut Context<'_>) {
        let source = self.source.as_ref().map(|source| source.peer);
        for (index, peer) in self.peers.iter_mut().enumerate() {
            let Some(session) = peer.session_mut().filter(|session| session.hello_received) else {
                continue;
            };
            if context.now < session.last_heartbeat_at + HEARTBEAT_INTERVAL {
                continue;
            }
            session.last_heartbeat_at = context.now;
            let frame = if source == Some(index) {
                ToUpstream::Progress(progress.clone())
            } else {
                ToUpstream::Heartbeat
            };
            context.send(session.connection, frame);
        }
    }

    /// Names of the relays that entries pass through before they reach this node; empty without a replication
    /// source.
    pub(super) fn path(&self) -> &[String] {
        let session = self.source.as_ref().and_then(|source| self.peers[source.peer].session());
        session.map_or(&[], |session| &session.path)
    }

    /// The name of the replication source.
    pub(super) fn source_name(&self) -> Option<&str> {
        self.source.as_ref().map(|source| self.peers[source.peer].name.as_str())
    }

    /// Names of the upstreams that are connected.
    pub(super) fn connected_names(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().filter(|peer| peer.session().is_some()).map(|peer| peer.name.as_str())
    }

    /// Bytes received that have no quorum yet, or are not complete.
    pub(super) fn unconfirmed_bytes(&self) -> usize {
        let entries = self.source.as_ref().map_or(0, ReplicationSource::unconfirmed_bytes);
        entries + self.checkpoint_transfer.received_bytes()
    }
}
