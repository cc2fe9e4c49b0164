//! State of the list service: the listed stores, and the shards of extents.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use umbertray_store_protocol::list::{FromList, ListedStore, Location, ToList};

use super::ListEntry;

/// Locks the directory, even if a thread has panicked while it held the lock.
pub(super) fn lock(directory: &Mutex<Directory>) -> MutexGuard<'_, Directory> {
    directory.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[derive(Default)]
pub(super) struct Directory {
    pub(super) stores: BTreeMap<u64, ListEntry>,
    /// The shard of each extent, by volume and extent.
    extent_shards: HashMap<(u64, u64), u32>,
    /// The shards that hold extents of each volume.
    volume_shards: HashMap<u64, BTreeSet<u32>>,
    /// Whether the service responds to all requests except hello with a failure.
    pub(super) is_failing: bool,
    /// Delay of each response and notification.
    pub(super) delay: Duration,
}

/// A store's entry as it is sent to clients.
pub(super) fn published_entry(store: u64, listed: &ListEntry) -> ListedStore {
    ListedStore {
        store,
        address: listed.address,
        shard: listed.shard,
        zone: listed.zone,
        state: listed.state,
        incarnation: listed.incarnation,
        age: listed.started_at.map(|at| at.elapsed().as_micros() as u64),
    }
}

fn location(shard: u32) -> Location {
    Location { shard, epoch: 0 }
}

impl Directory {
    /// Number of extents that are assigned to a shard.
    pub(super) fn placed_extents(&self) -> usize {
        self.extent_shards.len()
    }

    /// The shard that holds an extent.
    pub(super) fn shard_of(&self, volume: u64, extent: u64) -> Option<u32> {
        self.extent_shards.get(&(volume, extent)).copied()
    }

    /// The complete list.
    pub(super) fn complete_list(&self) -> FromList {
        FromList::Complete(
            self.stores.iter().map(|(store, listed)| published_entry(*store, listed)).collect(),
        )
    }

    /// The response to a request.
    pub(super) fn response_to(&mut self, request: &ToList) -> Option<FromList> {
        Some(match *request {
            ToList::Hello { .. } => FromList::Welcome { term: 0 },
            _ if self.is_failing => FromList::Failed,
            ToList::Watch | ToList::Fetch => self.complete_list(),
            ToList::Lookup { token, volume, extent, .. } => FromList::Location {
                token,
                location: self.extent_shards.get(&(volume, extent)).map(|shard| location(*shard)),
            },
            ToList::Claim { token, volume, extent, shard } => {
                // The first claim is permanent; later claims get its shard.
                let shard = *self.extent_shards.entry((volume, extent)).or_insert(shard);
                self.volume_shards.entry(volume).or_default().insert(shard);
                FromList::Location { token, location: Some(location(shard)) }
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
