//! The state of one follower.

use std::time::Duration;

use umbertray_store_protocol::changes::{
    Checkpoint, FromUpstream, LaggingMember, MAX_PART, Position, ProgressSummary, Role,
};

use crate::relay::Entry;
use crate::relay::log_suffix::LogSuffix;

/// The position of the next byte to send to a follower.
#[derive(Clone, Copy)]
pub(super) struct Cursor {
    /// The last version that was sent in full.
    pub(super) after: u64,
    /// Number of bytes already sent of the next entry.
    pub(super) offset: usize,
}

impl Cursor {
    /// The offset at which the next part of the entry ends.
    pub(super) fn part_end(self, entry: &Entry) -> usize {
        entry.body.len().min(self.offset + MAX_PART)
    }

    /// The cursor after the entry was sent up to `end`.
    pub(super) fn advanced_to(self, entry: &Entry, end: usize) -> Cursor {
        if end == entry.body.len() {
            Cursor { after: entry.position.version, offset: 0 }
        } else {
            Cursor { offset: end, ..self }
        }
    }
}

/// What this node can serve, as announced to followers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Announcement {
    head: Position,
    oldest_version: u64,
    checkpoint: Option<Checkpoint>,
}

impl Announcement {
    pub(super) fn of(suffix: &LogSuffix) -> Announcement {
        Announcement {
            head: suffix.head().unwrap_or_default(),
            oldest_version: suffix.oldest_version(),
            checkpoint: suffix.checkpoint(),
        }
    }

    pub(super) fn frame(self) -> FromUpstream {
        let Announcement { head, oldest_version, checkpoint } = self;
        FromUpstream::Head { head, oldest_version, checkpoint }
    }
}

/// One follower's connection.
pub(super) struct Follower {
    /// Empty until its hello was received.
    pub(super) name: String,
    pub(super) role: Role,
    pub(super) hello_received: bool,
    pub(super) last_received_at: Duration,
    /// The position from which entries are sent; `None` while it does not follow.
    pub(super) cursor: Option<Cursor>,
    /// Bytes sent to it that it has not acknowledged by a window update.
    pub(super) in_flight: u32,
    pub(super) announced: Option<Announcement>,
    pub(super) announced_at: Duration,
    pub(super) last_heartbeat_at: Duration,
    pub(super) progress: ProgressSummary,
    /// Since when a gateway has reported the same newest applied version.
    pub(super) progress_since: Duration,
    pub(super) invalid_progress_logged: bool,
}

impl Follower {
    pub(super) fn new(now: Duration) -> Follower {
        Follower {
            name: String::new(),
            role: Role::Gateway,
            hello_received: false,
            last_received_at: now,
            cursor: None,
            in_flight: 0,
            announced: None,
            announced_at: now,
            last_heartbeat_at: now,
            progress: ProgressSummary::default(),
            progress_since: now,
            invalid_progress_logged: false,
        }
    }

    pub(super) fn set_progress(&mut self, progress: ProgressSummary, now: Duration) {
        if progress.version_counts.first() != self.progress.version_counts.first() {
            self.progress_since = now;
        }
        self.progress = progress;
    }

    /// The entry for the progress summary if the follower is a gateway that has not applied the head yet.
    pub(super) fn lagging(&self, now: Duration, head: u64) -> Option<LaggingMember> {
        let applied = self.progress.version_counts.first().filter(|count| count.version < head)?;
        if self.role != Role::Gateway {
            return None;
        }
        let lag = now.saturating_sub(self.progress_since).as_secs();
        Some(LaggingMember {
            name: self.name.clone(),
            version: applied.version,
            lag_seconds: lag.min(u64::from(u32::MAX)) as u32,
        })
    }
}
