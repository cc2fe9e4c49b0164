//! The request ids that a new request must not have: those of open operations, and those of operations that
//! have ended and may have been executed.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// The id of an operation that has ended.
struct EndedId {
    id: u64,
    ended_at: Duration,
}

/// Number of ids that stay in use beyond the retention time, if there is capacity.
const MAX_RETAINED: usize = 16 * 1024;

/// Ids in use.
///
/// Invariant: an id is in use from the check that admits its request, without a gap (rule 2). The id of an
/// operation that may have been executed stays in use for at least the retention time after the operation
/// has ended and none of its attempts is in flight.
///
/// Hazard: a store would execute a further request with such an id as a repetition.
pub(crate) struct RequestIds {
    in_use: HashSet<u64>,
    /// The ids among `in_use` whose operation has ended, in the order of their end.
    ended: VecDeque<EndedId>,
    capacity: usize,
}

impl RequestIds {
    /// Creates an empty set with the maximum number of ids, open ones included.
    pub(crate) fn new(capacity: usize) -> RequestIds {
        RequestIds { in_use: HashSet::new(), ended: VecDeque::new(), capacity }
    }

    /// Changes the maximum number of ids. Ids in use stay in use.
    pub(crate) fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Whether a new request must not have this id.
    pub(crate) fn contains(&self, id: u64) -> bool {
        self.in_use.contains(&id)
    }

    /// Whether there is capacity for one more id. `retention` is how long the id of an ended operation has
    /// to stay in use; of the older ones, only some are kept.
    pub(crate) fn has_capacity(&mut self, now: Duration, retention: Duration) -> bool {
        while self.in_use.len() >= self.capacity.min(MAX_RETAINED) {
            let is_forgettable = |ended: &mut EndedId| ended.ended_at + retention <= now;
            let Some(forgotten) = self.ended.pop_front_if(is_forgettable) else { break };
            self.in_use.remove(&forgotten.id);
        }
        self.in_use.len() < self.capacity
    }

    /// Takes an id into use.
    pub(crate) fn insert(&mut self, id: u64) {
        self.in_use.insert(id);
    }

    /// Forgets the id of an operation that was not executed.
    pub(crate) fn release(&mut self, id: u64) {
        self.in_use.remove(&id);
    }

    /// Starts the retention time of an id whose operation has ended and may have been executed.
    pub(crate) fn retain(&mut self, id: u64, now: Duration) {
        self.ended.push_back(EndedId { id, ended_at: now });
    }
}
