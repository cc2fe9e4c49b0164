//! Which followers are being sent a checkpoint, and when the others may ask again.

use std::collections::BTreeMap;
use std::time::Duration;

use umbertray_store_protocol::changes::MAX_RETRY_AFTER;

use crate::ConnectionId;
use crate::relay::jitter::Jitter;
use crate::relay::{IDLE_TIMEOUT, MAX_CHECKPOINT_TRANSFERS};

/// How long a transfer is assumed to take before any has finished.
const INITIAL_MEAN_DURATION: Duration = Duration::from_millis(500);
const MIN_MEAN_DURATION: Duration = Duration::from_millis(8);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

struct Transfer {
    started_at: Duration,
    last_request_at: Duration,
}

/// Checkpoint transfers under way.
///
/// Invariant: at most [`MAX_CHECKPOINT_TRANSFERS`] are under way; each further follower is given a time to ask again, behind
/// those that were told before it.
pub(super) struct CheckpointSlots {
    transfers: BTreeMap<ConnectionId, Transfer>,
    /// Weighted mean of how long recent transfers took.
    mean_duration: Duration,
    /// Until when turns have been given out.
    last_turn_at: Duration,
    jitter: Jitter,
}

impl CheckpointSlots {
    pub(super) fn new(jitter: Jitter) -> CheckpointSlots {
        CheckpointSlots {
            transfers: BTreeMap::new(),
            mean_duration: INITIAL_MEAN_DURATION,
            last_turn_at: Duration::ZERO,
            jitter,
        }
    }

    pub(super) fn count(&self) -> usize {
        self.transfers.len()
    }

    /// Takes a slot for a follower unless it has one.
    ///
    /// # Errors
    /// When all slots are taken: how long the follower has to wait before it asks again.
    pub(super) fn acquire(&mut self, connection: ConnectionId, now: Duration) -> Result<(), Duration> {
        if self.transfers.contains_key(&connection) {
            return Ok(());
        }
        if self.transfers.len() >= MAX_CHECKPOINT_TRANSFERS {
            return Err(self.next_turn(now));
        }
        self.transfers.insert(connection, Transfer { started_at: now, last_request_at: now });
        Ok(())
    }

    /// A part that is not the last was sent.
    pub(super) fn part_sent(&mut self, connection: ConnectionId, now: Duration) {
        if let Some(transfer) = self.transfers.get_mut(&connection) {
            transfer.last_request_at = now;
        }
    }

    /// The last part was sent.
    pub(super) fn finish(&mut self, connection: ConnectionId, now: Duration) {
        if let Some(transfer) = self.transfers.remove(&connection) {
            let duration = (now - transfer.started_at).min(MAX_RETRY_AFTER);
            self.mean_duration = (self.mean_duration * 7 + duration) / 8;
        }
    }

    pub(super) fn release(&mut self, connection: ConnectionId) {
        self.transfers.remove(&connection);
    }

    /// Frees the slots of followers that stopped asking, or take too long.
    pub(super) fn expire(&mut self, now: Duration) {
        self.transfers.retain(|_, transfer| {
            let idle_at = transfer.last_request_at + IDLE_TIMEOUT;
            now < idle_at.min(transfer.started_at + MAX_RETRY_AFTER)
        });
    }

    /// When a follower that finds no slot may ask again: a turn behind those told before, at the pace of recent transfers.
    fn next_turn(&mut self, now: Duration) -> Duration {
        let interval = self.mean_duration.max(MIN_MEAN_DURATION) / MAX_CHECKPOINT_TRANSFERS as u32;
        self.last_turn_at = (self.last_turn_at.max(now) + interval).min(now + MAX_RETRY_AFTER / 2);
        let longest = (self.last_turn_at - now) * 2;
        self.jitter.delay(longest.max(MIN_RETRY_AFTER)).min(MAX_RETRY_AFTER)
    }
}
