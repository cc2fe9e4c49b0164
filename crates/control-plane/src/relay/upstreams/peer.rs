//! One configured upstream: its connection, the state that it reported, and when it may be used again.

use std::time::Duration;

use umbertray_store_protocol::changes::{Checkpoint, Position};

use crate::ConnectionId;
use crate::relay::{DisconnectReason, HEARTBEAT_INTERVAL};

/// Maximum number of frames other than entries, hashes and checkpoint parts that an upstream may send per
/// second. An honest upstream sends up to 15.
const MAX_FRAMES_PER_SECOND: u32 = 100;

/// The part of the log that an upstream last reported to hold.
pub(super) struct UpstreamState {
    pub(super) head: Position,
    /// The oldest version after which it can send entries.
    pub(super) oldest_version: u64,
    pub(super) checkpoint: Option<Checkpoint>,
    /// Since when its head has been after the last pending entry.
    pub(super) ahead_since: Option<Duration>,
}

/// Counts frames within windows of one second.
struct FrameBudget {
    window_started_at: Duration,
    frames: u32,
}

impl FrameBudget {
    fn count_frame(&mut self, now: Duration) -> Result<(), DisconnectReason> {
        if now >= self.window_started_at + HEARTBEAT_INTERVAL {
            self.window_started_at = now;
            self.frames = 0;
        }
        self.frames += 1;
        if self.frames > MAX_FRAMES_PER_SECOND {
            return Err(DisconnectReason::Unrequested);
        }
        Ok(())
    }
}

/// An open connection to an upstream.
pub(super) struct Session {
    pub(super) connection: ConnectionId,
    pub(super) connected_at: Duration,
    pub(super) last_received_at: Duration,
    pub(super) last_heartbeat_at: Duration,
    frame_budget: FrameBudget,
    pub(super) hello_received: bool,
    /// Names of the relays that its entries pass through, ending with the upstream itself.
    pub(super) path: Vec<String>,
    pub(super) state: Option<UpstreamState>,
    /// The newest pending version for which it reported the same hash.
    pub(super) agrees_at: Option<u64>,
    /// The first pending version for which it reported a different hash.
    pub(super) disagrees_at: Option<u64>,
    /// The version of the hash query that it has not answered yet.
    pub(super) queried_version: Option<u64>,
}

impl Session {
    pub(super) fn new(connection: ConnectionId, now: Duration) -> Session {
        Session {
            connection,
            connected_at: now,
            last_received_at: now,
            last_heartbeat_at: now,
            frame_budget: FrameBudget { window_started_at: now, frames: 0 },
            hello_received: false,
            path: Vec::new(),
            state: None,
            agrees_at: None,
            disagrees_at: None,
            queried_version: None,
        }
    }

    /// Counts a frame that was not requested.
    ///
    /// # Errors
    /// [`DisconnectReason::Unrequested`] if the upstream has sent more than [`MAX_FRAMES_PER_SECOND`].
    pub(super) fn count_unrequested_frame(&mut self, now: Duration) -> Result<(), DisconnectReason> {
        self.frame_budget.count_frame(now)
    }

    /// Clears what it reported about pending entries, after these were dropped.
    pub(super) fn clear_pending(&mut self) {
        self.agrees_at = None;
        self.disagrees_at = None;
        if let Some(state) = &mut self.state {
            state.ahead_since = None;
        }
    }
}

/// The connection to an upstream.
pub(super) enum ConnectionState {
    /// Not connected; no connection is attempted before `until`.
    Backoff {
        until: Duration,
    },
    Connecting {
        connection: ConnectionId,
        deadline: Duration,
    },
    Open(Box<Session>),
}

/// One configured upstream.
pub(super) struct Peer {
    /// Its index in the configuration, from which the owner knows its address.
    pub(super) config_index: usize,
    pub(super) name: String,
    pub(super) connection_state: ConnectionState,
    /// Consecutive failures; reset when it reports its head.
    pub(super) failures: u32,
    /// Set by a failure: no connection is attempted before this time while enough other upstreams are
    /// connected.
    pub(super) retry_preferred_at: Duration,
    /// Neither entries nor checkpoints are requested from it before this time while other upstreams have
    /// them.
    pub(super) avoid_until: Duration,
    /// No checkpoint is requested from it before this time, at which it allowed a retry.
    pub(super) retry_checkpoint_at: Duration,
}

impl Peer {
    pub(super) fn new(config_index: usize, name: String) -> Peer {
        Peer {
            config_index,
            name,
            connection_state: ConnectionState::Backoff { until: Duration::ZERO },
            failures: 0,
            retry_preferred_at: Duration::ZERO,
            avoid_until: Duration::ZERO,
            retry_checkpoint_at: Duration::ZERO,
        }
    }

    /// Its session, once its hello was received.
    pub(super) fn session(&self) -> Option<&Session> {
        match &self.connection_state {
            ConnectionState::Open(session) if session.hello_received => Some(session),
            _ => None,
        }
    }

    /// Its session, including before its hello was received.
    pub(super) fn session_mut(&mut self) -> Option<&mut Session> {
        match &mut self.connection_state {
            ConnectionState::Open(session) => Some(session),
            _ => None,
        }
    }

    pub(super) fn state(&self) -> Option<&UpstreamState> {
        self.session()?.state.as_ref()
    }

    pub(super) fn checkpoint(&self) -> Option<Checkpoint> {
        self.state()?.checkpoint
    }

    pub(super) fn connection(&self) -> Option<ConnectionId> {
        match &self.connection_state {
            ConnectionState::Backoff { .. } => None,
            ConnectionState::Connecting { connection, .. } => Some(*connection),
            ConnectionState::Open(session) => Some(session.connection),
        }
    }
}
