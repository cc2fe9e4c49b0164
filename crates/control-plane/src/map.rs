//! Where extents lie: ranges of each volume, each at one shard with one epoch.
//!
//! Invariant: an extent's epoch never falls, and grows with every change of its shard.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::ExtentRange;

use crate::ranges::Ranges;

type At = (u32, u64);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExtentMap {
    volumes: BTreeMap<u64, Ranges<At>>,
}

fn place((shard, epoch): At) -> Location {
    Location { shard, epoch }
}

impl ExtentMap {
    pub fn location(&self, volume: u64, extent: u64) -> Option<Location> {
        self.volumes.get(&volume)?.get(extent).map(place)
    }

    pub fn shards(&self, volume: u64) -> BTreeSet<u32> {
        self.volumes.get(&volume).into_iter().flat_map(Ranges::values).map(|(shard, _)| shard).collect()
    }

    /// How many ranges it has.
    pub fn ranges(&self) -> usize {
        self.volumes.values().map(Ranges::len).sum()
    }

    /// The ranges that meet a span, in order, cut to it.
    pub fn within(&self, span: &ExtentRange) -> impl Iterator<Item = (ExtentRange, Location)> {
        let (volume, range) = (span.volume, span.start..span.end);
        let met = self.volumes.get(&volume).into_iter().flat_map(move |ranges| ranges.within(range.clone()));
        met.map(move |(run, at)| (ExtentRange { volume, start: run.start, end: run.end }, place(at)))
    }

    /// All of the span lies there from now on, whatever was known of it.
    pub fn set(&mut self, span: &ExtentRange, Location { shard, epoch }: Location) {
        self.volumes.entry(span.volume).or_default().set(span.start..span.end, (shard, epoch));
    }
}
