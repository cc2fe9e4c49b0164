//! Ops that must be executed one after the other on their key (rule 5).
//!
//! Invariant: of the ops on a key only the earliest that has not ended has attempts in flight, and after an
//! attempt of unknown outcome the next op waits until the pause is over.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::interface::OpId;

#[derive(Default)]
struct KeyOrder {
    /// As they arrived.
    ops: VecDeque<OpId>,
    paused_until: Duration,
}

/// The order of ops on each key that has ops or a pause.
#[derive(Default)]
pub(super) struct KeyOrders {
    by_key: BTreeMap<u64, KeyOrder>,
}

impl KeyOrders {
    pub(super) fn push(&mut self, key: u64, op: OpId) {
        self.by_key.entry(key).or_default().ops.push_back(op);
    }

    pub(super) fn remove(&mut self, key: u64, op: OpId) {
        if let Some(order) = self.by_key.get_mut(&key) {
            order.ops.retain(|other| *other != op);
        }
    }

    /// The next op on the key starts no sooner than `until`. A key without ops in order has no pause.
    pub(super) fn pause(&mut self, key: u64, until: Duration) {
        if let Some(order) = self.by_key.get_mut(&key) {
            order.paused_until = until;
        }
    }

    /// Whether the op is first on its key, and past the pause unless it has started already.
    pub(super) fn may_start(&self, key: u64, op: OpId, has_started: bool, now: Duration) -> bool {
        let Some(order) = self.by_key.get(&key) else { return true };
        order.ops.front() == Some(&op) && (has_started || now >= order.paused_until)
    }

    /// Forgets keys that have no ops and no pause.
    pub(super) fn drop_finished(&mut self, now: Duration) {
        self.by_key.retain(|_, order| !order.ops.is_empty() || order.paused_until > now);
    }
}
