//! Selects the part of the state that is written: the complete state once per file, then deltas with the
//! items that a reader of the file would otherwise get wrong.
//!
//! A delta also renews the items that it does not contain: the reserved tokens of all other volumes are
//! promised again from the time of the delta on.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use umbertray_routing::Snapshot;
use umbertray_routing::snapshot_records::{LearnedValues, StoreRecord, VolumeRecord};

use crate::format::{FileRecord, StampedSnapshot};
use crate::stamp::Stamp;

#[cfg(test)]
mod tests;

/// The difference from the state of the previous records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotDelta {
    /// When the new state was taken.
    pub taken_at: Stamp,
    /// How long all reserved tokens are promised from then on, including those of volumes that are not in the
    /// delta.
    pub promise_duration: Duration,
    /// Changed and removed stores.
    pub stores: DeltaPart<StoreRecord>,
    /// Changed and removed volumes.
    pub volumes: DeltaPart<VolumeRecord>,
}

/// Changes of one kind of item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeltaPart<T> {
    /// Items that are new or changed.
    pub set: Vec<T>,
    /// Persistent ids of removed items.
    pub removed: Vec<u64>,
}

/// The state that a reader of the file reconstructs from the records so far.
///
/// Invariant (rule 7): a volume's reserved tokens in this state never exceed those that the gateway keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentSnapshot {
    taken_at: Stamp,
    promise_duration: Duration,
    stores: BTreeMap<u64, StoreRecord>,
    volumes: BTreeMap<u64, VolumeRecord>,
}

/// Values that differ by less than this fraction count as equal.
const RELATIVE_TOLERANCE: f64 = 0.05;

/// Rates that differ by less than this count as equal, units a second.
const RATE_TOLERANCE: f64 = 0.01;

/// Reserved tokens are written again once they exceed the recorded ones by this factor.
const RESERVED_TOKENS_GROWTH: f64 = 1.1;

/// An item of the state that is written separately from others.
trait Item {
    fn id(&self) -> u64;
    /// Whether a reader that has `earlier` does not need this item.
    fn is_covered_by(&self, earlier: &Self) -> bool;
}

fn is_near(one: f64, other: f64, absolute_tolerance: f64) -> bool {
    let tolerance = absolute_tolerance + RELATIVE_TOLERANCE * one.abs().max(other.abs());
    (one - other).abs() <= tolerance
}

impl Item for VolumeRecord {
    fn id(&self) -> u64 {
        self.volume
    }

    /// Hazard: rule 7. If the recorded reserved tokens exceeded those kept now, the excess would be used both
    /// by this run and by the next one.
    fn is_covered_by(&self, earlier: &VolumeRecord) -> bool {
        let covered_tokens = earlier.reserved_tokens..=earlier.reserved_tokens * RESERVED_TOKENS_GROWTH;
        covered_tokens.contains(&self.reserved_tokens)
            && is_near(self.rate, earlier.rate, RATE_TOLERANCE)
            && is_near(self.reported_rate, earlier.reported_rate, RATE_TOLERANCE)
    }
}

impl Item for StoreRecord {
    fn id(&self) -> u64 {
        self.store
    }

    /// Identity and incarnation must be equal. Learned values only need to be close.
    fn is_covered_by(&self, earlier: &StoreRecord) -> bool {
        let has_same_identity = without_learned(self) == without_learned(earlier);
        let has_close_learned_values = match (&self.learned_values, &earlier.learned_values) {
            (Some(one), Some(other)) => is_learned_near(one, other),
            (one, other) => one.is_none() && other.is_none(),
        };
        has_same_identity && has_close_learned_values
    }
}

fn without_learned(store: &StoreRecord) -> StoreRecord {
    StoreRecord { learned_values: None, ..store.clone() }
}

fn is_learned_near(one: &LearnedValues, other: &LearnedValues) -> bool {
    is_near(one.latency, other.latency, 0.0)
        && is_near(one.concurrency_limit, other.concurrency_limit, 0.0)
        && one.virtual_times == other.virtual_times
}

fn by_id<T: Item>(items: Vec<T>) -> BTreeMap<u64, T> {
    items.into_iter().map(|item| (item.id(), item)).collect()
}

/// The changes that a reader of `earlier` needs to arrive at `now`.
fn difference<T: Item>(earlier: &BTreeMap<u64, T>, now: Vec<T>) -> DeltaPart<T> {
    let now = by_id(now);
    let removed = earlier.keys().filter(|id| !now.contains_key(id)).copied().collect();
    let is_covered = |item: &T| earlier.get(&item.id()).is_some_and(|earlier| item.is_covered_by(earlier));
    let set = now.into_values().filter(|item| !is_covered(item)).collect();
    DeltaPart { set, removed }
}

fn apply_part<T: Item>(part: DeltaPart<T>, items: &mut BTreeMap<u64, T>) {
    for id in &part.removed {
        items.remove(id);
    }
    items.extend(by_id(part.set));
}

impl CurrentSnapshot {
    /// The state after a file's first snapshot.
    pub fn new(snapshot: StampedSnapshot) -> CurrentSnapshot {
        let StampedSnapshot { taken_at, state: Snapshot { stores, volumes, promise_duration } } = snapshot;
        CurrentSnapshot { taken_at, promise_duration, stores: by_id(stores), volumes: by_id(volumes) }
    }

    /// The delta that brings a reader of this state to `snapshot`, taken at `taken_at`, or close enough to
    /// it.
    pub fn delta_to(&self, taken_at: Stamp, snapshot: Snapshot) -> SnapshotDelta {
        SnapshotDelta {
            taken_at,
            promise_duration: snapshot.promise_duration,
            stores: difference(&self.stores, snapshot.stores),
            volumes: difference(&self.volumes, snapshot.volumes),
        }
    }

    /// Applies the next record of the file.
    pub fn apply_record(&mut self, record: FileRecord) {
        match record {
            FileRecord::Snapshot(snapshot) => *self = CurrentSnapshot::new(snapshot),
            FileRecord::Delta(delta) => self.apply(delta),
        }
    }

    /// Applies a delta to this state.
    pub fn apply(&mut self, delta: SnapshotDelta) {
        self.taken_at = delta.taken_at;
        self.promise_duration = delta.promise_duration;
        apply_part(delta.stores, &mut self.stores);
        apply_part(delta.volumes, &mut self.volumes);
    }

    /// The state as one snapshot, with items in the order of their ids.
    pub fn into_stamped_snapshot(self) -> StampedSnapshot {
        let state = Snapshot {
            stores: self.stores.into_values().collect(),
            volumes: self.volumes.into_values().collect(),
            promise_duration: self.promise_duration,
        };
        StampedSnapshot { taken_at: self.taken_at, state }
    }
}
