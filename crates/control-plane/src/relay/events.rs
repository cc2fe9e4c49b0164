//! Inputs and outputs of a node: events, actions, log events and its status.

use std::time::Duration;

use bytes::Bytes;
use umbertray_store_protocol::changes::{
    FromUpstream, Position, ProgressSummary, RejectionReason, ToUpstream,
};

use crate::ConnectionId;

/// A change and its position, whose hash has been verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The position after this change.
    pub position: Position,
    /// The change, as the writer wrote it.
    pub body: Bytes,
}

/// An event that the node's owner reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// A checkpoint was read from the writer's folder. The owner reports the checkpoint of the newest
    /// segment, at the start and whenever a segment begins.
    FolderCheckpoint {
        /// The position of the checkpoint.
        position: Position,
        /// The state at that position.
        bytes: Bytes,
    },
    /// Further entries were read from the writer's folder. They follow the ones reported before, are durable,
    /// and their chain is verified.
    FolderEntries(Vec<Entry>),
    /// A connection that [`Action::Connect`] requested is open. The node sends the first frame.
    Connected(ConnectionId),
    /// A connection to an upstream could not be established, or has ended.
    Disconnected(ConnectionId),
    /// An upstream sent a frame.
    FromUpstream {
        /// The connection it came over.
        connection: ConnectionId,
        /// The frame.
        frame: FromUpstream,
    },
    /// A follower has connected. The top bit of its connection id is 0; in ids of [`Action::Connect`] it is
    /// 1.
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
    /// An upstream or follower sent bytes that are not a valid frame in that direction. The node returns
    /// [`Action::Close`].
    Malformed(ConnectionId),
    /// All changes up to this version are in force; [`Action::Commit`] has been returned for it before.
    Applied(u64),
    /// Sent every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}

/// An action that the node's owner has to perform, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to an upstream; the result is reported by [`Event::Connected`] or [`Event::Disconnected`].
    Connect {
        /// The index of the upstream in the configuration.
        upstream: usize,
        /// The id of the new connection.
        connection: ConnectionId,
    },
    /// Close a connection to an upstream or follower once all frames returned before are sent, but no later
    /// than after [`HEARTBEAT_INTERVAL`](super::HEARTBEAT_INTERVAL). The owner must not report further events
    /// of this connection.
    Close {
        /// The connection to close.
        connection: ConnectionId,
        /// Why it is closed.
        reason: DisconnectReason,
    },
    /// Send a frame to an upstream.
    SendUpstream {
        /// The connection to it.
        connection: ConnectionId,
        /// The frame.
        frame: ToUpstream,
    },
    /// Send a frame to a follower. The owner closes the connection if its unsent bytes exceed
    /// [`MAX_UNSENT_BYTES`](super::MAX_UNSENT_BYTES).
    SendFollower {
        /// The connection to it.
        connection: ConnectionId,
        /// The frame.
        frame: FromUpstream,
    },
    /// Replace the state by this one, which is not in force until it is committed. Returned at the start, and
    /// when the upstreams no longer hold the entries after the present state, or too few of them hold these
    /// entries for a quorum. A node that reads the folder returns neither this action nor the next two.
    LoadCheckpoint {
        /// The position of the checkpoint.
        position: Position,
        /// The state at that position.
        checkpoint: Bytes,
    },
    /// Append the next change to the state; it is not in force until it is committed.
    AppendEntry(Entry),
    /// Put the state in force with all changes up to this position.
    ///
    /// Hazard: a gateway has to make the position durable before it acts on it, and has to pass it to
    /// [`RelayNode::new`](super::RelayNode::new) after a restart.
    Commit(Position),
    /// Write a log event.
    Log(RelayEvent),
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DisconnectReason {
    /// The peer closed it, or it could not be established.
    #[error("closed by the peer, or could not be established")]
    Closed,
    /// Nothing was received for [`IDLE_TIMEOUT`](super::IDLE_TIMEOUT), or for
    /// [`LEASE_DURATION`](super::LEASE_DURATION) from a follower.
    #[error("idle timeout")]
    IdleTimeout,
    /// The upstream did not send in time what it, or other upstreams, reported to have.
    #[error("too slow: entries or a checkpoint were not sent in time")]
    TooSlow,
    /// The connection was not established in time.
    #[error("not connected in time")]
    NotConnected,
    /// An entry is not chained to the previous one, or a checkpoint does not match its digest.
    #[error("an entry does not follow on the one before")]
    BrokenChain,
    /// The peer's history differs from the committed one.
    #[error("fork: its history differs from the committed one")]
    Fork,
    /// The peer is this node, or follows it directly or through other relays.
    #[error("loop: it is this node, or is below it")]
    Loop,
    /// The upstream's name is not the configured one.
    #[error("wrong name: not the configured one")]
    WrongName,
    /// A frame is malformed, or is not allowed at that point.
    #[error("protocol violation")]
    ProtocolViolation,
    /// The upstream sent frames that were not requested, or more than is allowed without a request.
    #[error("more than was requested")]
    Unrequested,
    /// The upstream rejected this node.
    #[error("refused: {0:?}")]
    Rejected(RejectionReason),
    /// The node already has its maximum number of followers.
    #[error("too many followers")]
    TooManyFollowers,
    /// The connection is no longer needed.
    #[error("no longer needed")]
    NotNeeded,
}

impl DisconnectReason {
    /// Whether an honest upstream would never have caused it.
    pub(super) fn is_misbehaviour(self) -> bool {
        matches!(
            self,
            DisconnectReason::BrokenChain
                | DisconnectReason::Fork
                | DisconnectReason::Loop
                | DisconnectReason::WrongName
                | DisconnectReason::ProtocolViolation
                | DisconnectReason::Unrequested
                | DisconnectReason::Rejected(RejectionReason::Fork | RejectionReason::Loop)
        )
    }
}

/// The log events of a node, one for each decision that matters to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// Entries are replicated from this upstream from now on.
    Following {
        /// Its name.
        upstream: String,
        /// The position after which entries are replicated.
        after: Position,
    },
    /// The connection to an upstream ended.
    UpstreamDisconnected {
        /// Its name.
        upstream: String,
        /// Why.
        reason: DisconnectReason,
        /// How long the node waits before it connects to the upstream again.
        backoff: Duration,
    },
    /// Relays follow one another in a loop.
    LoopDetected {
        /// The peer whose connection would complete the loop.
        upstream: String,
        /// The path on which the loop was found.
        path: Vec<String>,
    },
    /// Two upstreams report different histories: one of them lies, or follows another log.
    Disagreement {
        /// The upstream that differs from the replication source.
        upstream: String,
        /// The version at which it differs.
        version: u64,
    },
    /// The history with a quorum is not the committed one: the log was replaced, or more upstreams lie than
    /// the quorum tolerates. No change is put in force, and an operator has to investigate.
    DivergentHistory {
        /// The version at which they differ.
        version: u64,
    },
    /// The folder's content at this version is not chained to the entries held; none of it is accepted.
    FolderRejected {
        /// The version.
        version: u64,
    },
    /// A checkpoint is needed, and none has a quorum.
    CheckpointQuorumMissing {
        /// The version of the newest checkpoint that an upstream reported.
        version: u64,
    },
    /// A checkpoint was loaded.
    CheckpointLoaded {
        /// The position of the checkpoint.
        position: Position,
        /// The upstream it came from.
        upstream: String,
    },
    /// A follower needs a checkpoint: the entries after its position are not held.
    FollowerBehind {
        /// Its name.
        follower: String,
        /// The version after which it requested entries.
        after: u64,
    },
    /// A follower was disconnected.
    FollowerDisconnected {
        /// Its name; empty before its hello.
        follower: String,
        /// Why.
        reason: DisconnectReason,
    },
    /// A follower's progress summary is implausible and is not counted. Logged once per connection.
    InvalidProgress {
        /// Its name.
        follower: String,
        /// What is implausible.
        reason: &'static str,
    },
    /// Entries after the checkpoint were trimmed: new followers have to wait for the next checkpoint.
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
    /// Names of the relays that entries pass through from the folder to this node, which is the last.
    pub path: Vec<String>,
    /// The replication source: the upstream whose entries are replicated.
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
    /// The gateways below this node and the versions they have applied. The summaries of all relays that read
    /// the folder add up to the whole fleet, since each member is counted only at the relay that it follows.
    pub progress: ProgressSummary,
}
