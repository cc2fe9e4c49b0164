//! One configured upstream: its connection, what it has reported, and when it may be used again.

use std::time::Duration;

use umbertray_store_protocol::changes::{Checkpoint, Position};

use crate::ConnectionId;
use crate::relay::{DisconnectReason, HEARTBEAT};

/// Frames other than entries, hashes and checkpoint parts that an upstream may send in a second; an honest one sends 15.
const MAX_FRAMES_PER_SECOND: u32 = 100;

/// What an upstream last said it has.
pub(super) struct UpstreamState {
    pub(super) head: Position,
    /// The oldest version after which it can send entries.
    pub(super) oldest_version: u64,
    pub(super) checkpoint: Option<Checkpoint>,
    /// Since when its head has been ahead of the pending entries.
    pub(super) ahead_since: Option<Duration>,
}

/// Counts frames within a second.
struct FrameBudget {
    window_started_at: Duration,
    frames: u32,
}

impl FrameBudget {
    fn spend(&mut self, now: Duration) -> Result<(), DisconnectReason> {
        if now >= self.window_started_at + HEARTBEAT {
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
    /// Names of the relays that its entries come by, itself last.
    pub(super) path: Vec<String>,
    pub(super) state: Option<UpstreamState>,
    /// The newest pending version at which it has told the same hash.
    pub(super) agrees_at: Option<u64>,
    /// The first pending version at which it has told another hash.
    pub(super) disagrees_at: Option<u64>,
    /// The version whose hash it was asked for and has not told yet.
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

    /// Counts a frame that was not asked for.
    ///
    /// # Errors
    /// [`DisconnectReason::Unrequested`] when it sends too many.
    pub(super) fn spend_frame(&mut self, now: Duration) -> Result<(), DisconnectReason> {
        self.frame_budget.spend(now)
    }

    /// Forgets what it told of pending entries, which are gone.
    pub(super) fn forget_pending(&mut self) {
        self.agrees_at = None;
        self.disagrees_at = None;
        if let Some(state) = &mut self.state {
            state.ahead_since = None;
        }
    }
}

/// The connection to an upstream.
pub(super) enum ConnectionState {
    /// Not connected, and not to be connected to before `until`.
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
    /// Its place in the configuration, by which the owner knows its address.
    pub(super) config_index: usize,
    pub(super) name: String,
    pub(super) connection_state: ConnectionState,
    pub(super) failures: u32,
    /// After a failure: not connected to before, as long as enough others are.
    pub(super) retry_preferred_at: Duration,
    /// Not asked for entries or checkpoints before, as long as others have them.
    pub(super) avoid_until: Duration,
    /// Not asked for a checkpoint before, by its own word.
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

    /// Its session, once it has sent its hello.
    pub(super) fn session(&self) -> Option<&Session> {
        match &self.connection_state {
            ConnectionState::Open(session) if session.hello_received => Some(session),
            _ => None,
        }
    }

    /// Its session, also before its hello.
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
