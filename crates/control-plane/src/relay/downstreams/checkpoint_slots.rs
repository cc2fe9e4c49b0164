//! Limits how many followers are sent a checkpoint at the same time, and decides when the others may retry.

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

/// The checkpoint transfers in progress.
///
/// Invariant: at most [`MAX_CHECKPOINT_TRANSFERS`] are in progress. Each further follower is rejected with a
/// time to retry. Rejected followers get successive turns, and none retries before its turn.
pub(super) struct CheckpointSlots {
    transfers: BTreeMap<ConnectionId, Transfer>,
    /// Exponentially weighted mean of the durations of recent transfers.
    mean_duration: Duration,
    /// The latest turn that was given to a rejected follower.
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

    /// Takes a slot for a follower, unless it has one.
    ///
    /// # Errors
    /// If all slots are taken: how long the follower has to wait before it retries.
    pub(super) fn acquire(&mut self, connection: ConnectionId, now: Duration) -> Result<(), Duration> {
        if self.transfers.contains_key(&connection) {
            return Ok(());
        }
        if self.transfers.len() >= MAX_CHECKPOINT_TRANSFERS {
            return Err(self.next_retry_after(now));
        }
        self.transfers.insert(connection, Transfer { started_at: now, last_request_at: now });
        Ok(())
    }

    /// Records that a part other than the last was sent.
    pub(super) fn part_sent(&mut self, connection: ConnectionId, now: Duration) {
        if let Some(transfer) = self.transfers.get_mut(&connection) {
            transfer.last_request_at = now;
        }
    }

    /// Records that the last part was sent, and frees the slot.
    pub(super) fn finish(&mut self, connection: ConnectionId, now: Duration) {
        if let Some(transfer) = self.transfers.remove(&connection) {
            let duration = (now - transfer.started_at).min(MAX_RETRY_AFTER);
            self.mean_duration = (self.mean_duration * 7 + duration) / 8;
        }
    }

    pub(super) fn release(&mut self, connection: ConnectionId) {
        self.transfers.remove(&connection);
    }

    /// Frees the slots of followers that stopped requesting parts, or whose transfer takes too long.
    pub(super) fn expire(&mut self, now: Duration) {
        self.transfers.retain(|_, transfer| {
            let idle_at = transfer.last_request_at + IDLE_TIMEOUT;
            now < idle_at.min(transfer.started_at + MAX_RETRY_AFTER)
        });
    }

    /// How long a follower that found no free slot has to wait. Turns are spaced by the mean duration of
    /// recent transfers divided by the number of slots. The wait is drawn between the time until the
    /// follower's turn and twice that time.
    fn next_retry_after(&mut self, now: Duration) -> Duration {
        let interval = self.mean_duration.max(MIN_MEAN_DURATION) / MAX_CHECKPOINT_TRANSFERS as u32;
        self.last_turn_at = (self.last_turn_at.max(now) + interval).min(now + MAX_RETRY_AFTER / 2);
        let max_wait = (self.last_turn_at - now) * 2;
        self.jitter.delay(max_wait.max(MIN_RETRY_AFTER)).min(MAX_RETRY_AFTER)
    }
}
