//! Extent locations: ranges of each volume, each at one shard with one epoch.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::ExtentRange;

use crate::ranges::RangeMap;

/// A [`Location`] as it is stored. The order of the fields is part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
struct StoredLocation {
    shard: u32,
    epoch: u64,
}

impl From<StoredLocation> for Location {
    fn from(StoredLocation { shard, epoch }: StoredLocation) -> Location {
        Location { shard, epoch }
    }
}

/// The extent map of all volumes.
///
/// Invariant: an extent's epoch never decreases, and increases with every change of its shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExtentMap {
    volumes: BTreeMap<u64, RangeMap<StoredLocation>>,
}

impl ExtentMap {
    /// The location of an extent; `None` if it was never claimed.
    pub fn location(&self, volume: u64, extent: u64) -> Option<Location> {
        self.volumes.get(&volume)?.get(extent).map(Location::from)
    }

    /// All shards that hold extents of a volume.
    pub fn shards(&self, volume: u64) -> BTreeSet<u32> {
        let locations = self.volumes.get(&volume).into_iter().flat_map(RangeMap::values);
        locations.map(|location| location.shard).collect()
    }

    /// Number of ranges over all volumes.
    pub fn ranges(&self) -> usize {
        self.volumes.values().map(RangeMap::len).sum()
    }

    /// The stored ranges that overlap `range`, in order and cut to it.
    pub fn overlapping(&self, range: &ExtentRange) -> impl Iterator<Item = (ExtentRange, Location)> {
        let volume = range.volume;
        let extents = range.start..range.end;
        let ranges = self.volumes.get(&volume).into_iter();
        let overlapping = ranges.flat_map(move |ranges| ranges.overlapping(extents.clone()));
        overlapping.map(move |(run, location)| {
            (ExtentRange { volume, start: run.start, end: run.end }, location.into())
        })
    }

    /// Sets the location of all extents of a range.
    pub fn set(&mut self, range: &ExtentRange, Location { shard, epoch }: Location) {
        let ranges = self.volumes.entry(range.volume).or_default();
        ranges.set(range.start..range.end, StoredLocation { shard, epoch });
    }
}
