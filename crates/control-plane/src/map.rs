//! Where extents lie: ranges of each volume, each at one shard with one epoch.
//!
//! Invariant: an extent's epoch never falls, and grows with every change of its shard.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use umbertray_store_protocol::list::Place;
use umbertray_store_protocol::orders::Span;

use crate::ranges::Ranges;

type At = (u32, u64);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Map {
    volumes: BTreeMap<u64, Ranges<At>>,
}

fn place((shard, epoch): At) -> Place {
    Place { shard, epoch }
}

impl Map {
    pub fn place(&self, volume: u64, extent: u64) -> Option<Place> {
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
    pub fn within(&self, span: &Span) -> impl Iterator<Item = (Span, Place)> {
        let (volume, range) = (span.volume, span.from..span.to);
        let met = self.volumes.get(&volume).into_iter().flat_map(move |ranges| ranges.within(range.clone()));
        met.map(move |(run, at)| (Span { volume, from: run.start, to: run.end }, place(at)))
    }

    /// All of the span lies there from now on, whatever was known of it.
    pub fn set(&mut self, span: &Span, Place { shard, epoch }: Place) {
        self.volumes.entry(span.volume).or_default().set(span.from..span.to, (shard, epoch));
    }
}
