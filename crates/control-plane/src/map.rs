//! Where extents lie: ranges of each volume, each at one shard with one epoch.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::ExtentRange;

use crate::ranges::RangeMap;

/// A [`Location`] as it is stored. The order of the fields is part of the format.
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

/// The map of all volumes.
///
/// Invariant: an extent's epoch never falls, and grows with every change of its shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExtentMap {
    volumes: BTreeMap<u64, RangeMap<StoredLocation>>,
}

impl ExtentMap {
    /// Where an extent lies; none where it was never claimed.
    pub fn location(&self, volume: u64, extent: u64) -> Option<Location> {
        self.volumes.get(&volume)?.get(extent).map(Location::from)
    }

    /// All shards that hold extents of a volume.
    pub fn shards(&self, volume: u64) -> BTreeSet<u32> {
        let locations = self.volumes.get(&volume).into_iter().flat_map(RangeMap::values);
        locations.map(|location| location.shard).collect()
    }

    /// How many ranges it has.
    pub fn ranges(&self) -> usize {
        self.volumes.values().map(RangeMap::len).sum()
    }

    /// The ranges that overlap a span, in order, cut to it.
    pub fn overlapping(&self, span: &ExtentRange) -> impl Iterator<Item = (ExtentRange, Location)> {
        let volume = span.volume;
        let range = span.start..span.end;
        let ranges = self.volumes.get(&volume).into_iter();
        let overlapping = ranges.flat_map(move |ranges| ranges.overlapping(range.clone()));
        overlapping.map(move |(run, location)| {
            (ExtentRange { volume, start: run.start, end: run.end }, location.into())
        })
    }

    /// Gives all extents of a span this location.
    pub fn set(&mut self, span: &ExtentRange, Location { shard, epoch }: Location) {
        let ranges = self.volumes.entry(span.volume).or_default();
        ranges.set(span.start..span.end, StoredLocation { shard, epoch });
    }
}
