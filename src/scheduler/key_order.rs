//! Serialization of ops on the same key (rule 5).
//!
//! Invariant: of the ops on a key, only the earliest that has not ended has attempts in flight. After an
//! attempt that the store may still be executing, the next op waits until the pause has elapsed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::interface::OpId;

#[derive(Default)]
struct KeyOrder {
    /// Ops in order of arrival.
    ops: VecDeque<OpId>,
    paused_until: Duration,
}

/// The order of ops for each key that has pending ops or a pause.
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

    /// Delays the start of the next op on the key until `until`. No effect on a key without ordered ops.
    pub(super) fn pause(&mut self, key: u64, until: Duration) {
        if let Some(order) = self.by_key.get_mut(&key) {
            order.paused_until = until;
        }
    }

    /// Whether the op is the first on its key and either has already started or the pause has elapsed.
    pub(super) fn may_start(&self, key: u64, op: OpId, has_started: bool, now: Duration) -> bool {
        let Some(order) = self.by_key.get(&key) else { return true };
        order.ops.front() == Some(&op) && (has_started || now >= order.paused_until)
    }

    /// Removes keys that have neither pending ops nor a pause.
    pub(super) fn drop_finished(&mut self, now: Duration) {
        self.by_key.retain(|_, order| !order.ops.is_empty() || order.paused_until > now);
    }
}
