//! What goes into a node and comes out of it: events, actions, log events and its status.

use std::time::Duration;

use bytes::Bytes;
use umbertray_store_protocol::changes::{FromUpstream, Position, ProgressSummary, RefusalReason, ToUpstream};

use crate::ConnectionId;

/// A change at its position, its hash checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The position after this change.
    pub at: Position,
    /// The change, as the writer wrote it.
    pub body: Bytes,
}

/// What has happened, as the node's owner tells it.
#[derive(Clone, Debug)]
pub enum Event {
    /// The writer's folder has a checkpoint: that of the newest segment, at the start and whenever a segment begins.
    FolderCheckpoint {
        /// The position it stands at.
        at: Position,
        /// The state there.
        bytes: Bytes,
    },
    /// The writer's folder has entries after what was told before; they are durable, and their chain is checked.
    FolderEntries(Vec<Entry>),
    /// A connection that [`Action::Connect`] asked for is open; the node sends first.
    Connected(ConnectionId),
    /// A connection to an upstream could not be made, or has ended.
    Disconnected(ConnectionId),
    /// An upstream sent a frame.
    FromUpstream {
        /// The connection it came over.
        connection: ConnectionId,
        /// The frame.
        frame: FromUpstream,
    },
    /// A follower has connected. Its id does not have the top bit, as those of [`Action::Connect`] do.
    FollowerConnected(ConnectionId),
    /// A follower's connection has ended.
    FollowerDisconnected(ConnectionId),
    /// A follower sent a frame.
    FromFollower {
        /// The connection it came over.
        connection: ConnectionId,
        /// The frame.
        frame: ToUpstream,
    },
    /// A peer of either kind sent bytes that are no frame of its direction; the answer is [`Action::Close`].
    Malformed(ConnectionId),
    /// Everything up to this version, which [`Action::Commit`] gave out, is in force.
    Applied(u64),
    /// [`TICK`](super::TICK) is over.
    Tick,
}

/// What the node's owner has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to an upstream; the answer is [`Event::Connected`] or [`Event::Disconnected`].
    Connect {
        /// Its place in the configuration.
        upstream: usize,
        /// The id of the new connection.
        connection: ConnectionId,
    },
    /// End a connection of either kind, once all frames given before are sent or [`HEARTBEAT`](super::HEARTBEAT) is over.
    /// No event of it may follow.
    Close {
        /// The connection to end.
        connection: ConnectionId,
        /// Why.
        reason: DisconnectReason,
    },
    /// Send a frame to an upstream.
    SendUpstream {
        /// The connection to it.
        connection: ConnectionId,
        /// The frame.
        frame: ToUpstream,
    },
    /// Send a frame to a follower. The owner ends one whose unsent bytes pass [`MAX_UNSENT`](super::MAX_UNSENT).
    SendFollower {
        /// The connection to it.
        connection: ConnectionId,
        /// The frame.
        frame: FromUpstream,
    },
    /// Replace the state by this one, to be extended and not in force yet: at the start, and where the log has gone on
    /// further than entries are held. A node that reads the folder is given none of these three actions.
    LoadCheckpoint {
        /// The position it stands at.
        at: Position,
        /// The state there.
        checkpoint: Bytes,
    },
    /// Extend the state by the next change, not in force yet.
    AppendEntry(Entry),
    /// Put in force all that was given up to here.
    ///
    /// Hazard: a gateway makes the position durable before it acts on it, and gives it to
    /// [`RelayNode::new`](super::RelayNode::new) after a restart.
    Commit(Position),
    /// Write a log event.
    Log(RelayEvent),
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DisconnectReason {
    /// The peer closed it, or it could not be made.
    #[error("closed, or could not be made")]
    Closed,
    /// Nothing was received for [`IDLE_TIMEOUT`](super::IDLE_TIMEOUT), or for [`LEASE`](super::LEASE) from a follower.
    #[error("idle timeout")]
    IdleTimeout,
    /// The upstream did not send in time what it has by its own word or others'.
    #[error("too slow: it did not send in time what it has")]
    TooSlow,
    /// The connection was not made in time.
    #[error("not connected in time")]
    NotConnected,
    /// An entry is not chained to the one before, or a checkpoint does not have its digest.
    #[error("an entry does not follow on the one before")]
    BrokenChain,
    /// The peer's history is not the one committed.
    #[error("fork: its history is not the one committed")]
    Fork,
    /// The peer is this node, or is below it.
    #[error("loop: it is this node, or is below it")]
    Loop,
    /// The upstream's name is not the configured one.
    #[error("wrong name: not the configured one")]
    WrongName,
    /// A frame that is malformed, or is not allowed at that point.
    #[error("protocol violation")]
    ProtocolViolation,
    /// More was sent than was requested.
    #[error("more than was requested")]
    Unrequested,
    /// The upstream refused this node.
    #[error("refused: {0:?}")]
    Refused(RefusalReason),
    /// The node has as many followers as it takes.
    #[error("too many followers")]
    TooManyFollowers,
    /// The connection is no longer needed.
    #[error("no longer needed")]
    NotNeeded,
}

impl DisconnectReason {
    /// Whether no honest upstream would have caused it.
    pub(super) fn is_misbehaviour(self) -> bool {
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

/// A log event for each decision that an operator would ask about.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// Entries are taken from this upstream from now on.
    Following {
        /// Its name.
        upstream: String,
        /// The position after which entries are taken.
        after: Position,
    },
    /// The connection to an upstream ended.
    UpstreamDisconnected {
        /// Its name.
        upstream: String,
        /// Why.
        reason: DisconnectReason,
        /// How long it is not connected to.
        backoff: Duration,
    },
    /// Relays follow one another in a loop.
    LoopDetected {
        /// The peer that closes the loop.
        upstream: String,
        /// The path that it told.
        path: Vec<String>,
    },
    /// Two upstreams tell different histories: one of them lies, or follows another log.
    Disagreement {
        /// The one that differs from the replication source.
        upstream: String,
        /// The version at which it differs.
        version: u64,
    },
    /// The history with a quorum is not the one committed: the log was replaced, or more upstreams lie than the quorum allows
    /// for. Nothing is put in force, and an operator has to look.
    DivergentHistory {
        /// The version at which they differ.
        version: u64,
    },
    /// What the folder has at this version is not chained to what is held; nothing of it is taken.
    FolderRejected {
        /// The version.
        version: u64,
    },
    /// A checkpoint is needed, and none has a quorum.
    CheckpointQuorumMissing {
        /// The version of the newest that was told.
        version: u64,
    },
    /// A checkpoint was loaded.
    CheckpointLoaded {
        /// The position it stands at.
        at: Position,
        /// The upstream it came from.
        upstream: String,
    },
    /// A follower needs a checkpoint: the entries after its position are not held.
    FollowerBehind {
        /// Its name.
        follower: String,
        /// The version it asked to follow after.
        after: u64,
    },
    /// A follower's connection was ended.
    FollowerDisconnected {
        /// Its name; empty before its hello.
        follower: String,
        /// Why.
        reason: DisconnectReason,
    },
    /// A follower's progress summary is implausible and is not counted; logged once a connection.
    InvalidProgress {
        /// Its name.
        follower: String,
        /// What is implausible.
        reason: &'static str,
    },
    /// Entries after the checkpoint were trimmed: new followers wait for the next checkpoint.
    SuffixOutgrown {
        /// The oldest version after which entries are held.
        version: u64,
    },
}

/// The state of a node, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayStatus {
    /// The newest position that it can serve.
    pub head: Position,
    /// The version of the checkpoint held.
    pub checkpoint: Option<u64>,
    /// The oldest version after which entries are held.
    pub oldest_version: u64,
    /// Names of the relays that entries come by, itself last.
    pub path: Vec<String>,
    /// The upstream whose entries are taken.
    pub source: Option<String>,
    /// Upstreams that are connected.
    pub connected: Vec<String>,
    /// Followers that are connected.
    pub followers: usize,
    /// Entries held for followers.
    pub held_entries: usize,
    /// Bytes of the checkpoint and the entries held.
    pub held_bytes: usize,
    /// Bytes received that have no quorum yet, or are not complete.
    pub unconfirmed_bytes: usize,
    /// Checkpoints being sent to followers.
    pub checkpoint_transfers: usize,
    /// The gateways below and the versions they have applied. The summaries of all relays that read the folder add up to the
    /// fleet: each member is counted at the one relay that it follows.
    pub progress: ProgressSummary,
}
