//! The scheduler's ids of volumes, by the names that clients send.
//!
//! Clients may send any number of names, so volumes that owe nothing are forgotten when there are many.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use umbertray::interface::VolumeId;
use umbertray::scheduler::Scheduler;

/// Minimum time between two searches for volumes to forget.
const FORGET_INTERVAL: Duration = Duration::from_millis(100);
/// New volumes may exceed the number above which volumes are forgotten by this factor.
const HARD_LIMIT_FACTOR: usize = 4;
/// Number of queues at stores for each volume of the limit above which idle ones are dropped.
const QUEUES_PER_VOLUME: usize = 2;
/// Number of admitted requests after which the scheduler's queues are counted again.
const REQUESTS_PER_COUNT: usize = 256;

/// The known volumes.
///
/// Invariant: an id is never used for a second volume. The scheduler knows no volume that is forgotten here.
pub(crate) struct Volumes {
    ids: HashMap<u64, VolumeId>,
    next_id: u32,
    limit: usize,
    requests_since_count: usize,
    next_search_at: Duration,
}

impl Volumes {
    /// Creates an empty table that begins to forget volumes above `limit`.
    pub(crate) fn new(limit: usize) -> Volumes {
        Volumes {
            ids: HashMap::new(),
            next_id: 0,
            limit,
            requests_since_count: 0,
            next_search_at: Duration::ZERO,
        }
    }

    /// Changes the number above which volumes are forgotten.
    pub(crate) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// The id of a volume; `None` if it is new and there are too many that must not be forgotten.
    pub(crate) fn id(&mut self, name: u64) -> Option<VolumeId> {
        self.requests_since_count += 1;
        if let Some(id) = self.ids.get(&name) {
            return Some(*id);
        }
        if self.ids.len() >= HARD_LIMIT_FACTOR * self.limit {
            return None;
        }
        let id = VolumeId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        self.ids.insert(name, id);
        Some(id)
    }

    /// Forgets the volumes that owe nothing if there are many, except those in `kept`.
    pub(crate) fn forget_idle(
        &mut self,
        scheduler: &mut Scheduler,
        now: Duration,
        kept: impl FnOnce() -> BTreeSet<VolumeId>,
    ) {
        if now < self.next_search_at || !self.has_many(scheduler) {
            return;
        }
        self.next_search_at = now + FORGET_INTERVAL;
        let forgotten: BTreeSet<VolumeId> = scheduler.forget_idle_volumes(now, &kept()).into_iter().collect();
        self.ids.retain(|_, id| !forgotten.contains(id));
        self.ids.shrink_to(HARD_LIMIT_FACTOR * self.limit);
    }

    /// Whether there are many volumes, or many queues of volumes at stores.
    fn has_many(&mut self, scheduler: &Scheduler) -> bool {
        if self.ids.len() > self.limit {
            return true;
        }
        if self.requests_since_count < REQUESTS_PER_COUNT {
            return false;
        }
        self.requests_since_count = 0;
        scheduler.volume_queue_count() > QUEUES_PER_VOLUME * self.limit
    }
}
