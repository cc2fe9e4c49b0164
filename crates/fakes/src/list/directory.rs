//! What the list service knows: stores, and the shards of extents.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use umbertray_store_protocol::list::{FromList, ListedStore, Location, ToList};

use super::Listed;

/// Locks the directory, also after a holder of its lock has panicked.
pub(super) fn lock(directory: &Mutex<Directory>) -> MutexGuard<'_, Directory> {
    directory.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[derive(Default)]
pub(super) struct Directory {
    pub(super) stores: BTreeMap<u64, Listed>,
    /// The shard of each extent, by volume and extent.
    extent_shards: HashMap<(u64, u64), u32>,
    /// The shards that hold extents of a volume.
    volume_shards: HashMap<u64, BTreeSet<u32>>,
    /// Whether calls are answered with a failure.
    pub(super) failing: bool,
    /// By how much each answer is delayed.
    pub(super) delay: Duration,
}

/// A store as it is published.
pub(super) fn published(store: u64, listed: &Listed) -> ListedStore {
    ListedStore {
        store,
        address: listed.address,
        shard: listed.shard,
        zone: listed.zone,
        state: listed.state,
        incarnation: listed.start,
        age: listed.started.map(|at| at.elapsed().as_micros() as u64),
    }
}

fn location(shard: u32) -> Location {
    Location { shard, epoch: 0 }
}

impl Directory {
    /// How many extents have a shard.
    pub(super) fn placed_extents(&self) -> usize {
        self.extent_shards.len()
    }

    /// The shard that holds an extent.
    pub(super) fn shard_of(&self, volume: u64, extent: u64) -> Option<u32> {
        self.extent_shards.get(&(volume, extent)).copied()
    }

    /// The whole list.
    pub(super) fn full(&self) -> FromList {
        FromList::Full(self.stores.iter().map(|(store, listed)| published(*store, listed)).collect())
    }

    /// The answer to a call.
    pub(super) fn answer(&mut self, message: &ToList) -> Option<FromList> {
        Some(match *message {
            ToList::Hello { .. } => FromList::Welcome { term: 0 },
            _ if self.failing => FromList::Failed,
            ToList::Watch | ToList::Fetch => self.full(),
            ToList::Lookup { token, volume, extent, .. } => FromList::Location {
                token,
                place: self.extent_shards.get(&(volume, extent)).map(|shard| location(*shard)),
            },
            ToList::Claim { token, volume, extent, shard } => {
                // The first claim wins, for ever.
                let shard = *self.extent_shards.entry((volume, extent)).or_insert(shard);
                self.volume_shards.entry(volume).or_default().insert(shard);
                FromList::Location { token, place: Some(location(shard)) }
            }
            ToList::Shards { token, volume } => {
                let shards = self.volume_shards.get(&volume).into_iter().flatten().copied().collect();
                FromList::Shards { token, shards }
            }
            // This service does not move ranges.
            ToList::Move { .. } | ToList::MoveStatus { .. } => FromList::Failed,
        })
    }
}
