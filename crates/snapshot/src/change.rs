//! What of the knowledge is written again: all of it once a file, then what a reader would otherwise believe wrongly.
//!
//! An entry that tells of a change renews all that it does not name: the promises of the others hold from its moment on.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use umbertray_routing::Snapshot;
use umbertray_routing::saved::{LearnedFigures, StoreRecord, VolumeRecord};

use crate::decide::Stamp;
use crate::format::Entry;

/// What differs from the entry before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotDelta {
    pub at: Stamp,
    /// How long all floors hold from then on, those of volumes that are not named too.
    pub promise_duration: Duration,
    pub stores: DeltaPart<StoreRecord>,
    pub volumes: DeltaPart<VolumeRecord>,
}

/// New or otherwise than before, and there no more (by lasting id).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeltaPart<T> {
    pub set: Vec<T>,
    pub removed: Vec<u64>,
}

/// What a reader of the file would believe: entries put together.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentSnapshot {
    at: Stamp,
    promised: Duration,
    stores: BTreeMap<u64, StoreRecord>,
    volumes: BTreeMap<u64, VolumeRecord>,
}

/// Figures that differ by less than this part are as good as the same.
const NEAR: f64 = 0.05;

/// Fewer units a second are as good as none.
const STILL: f64 = 0.01;

/// A floor is written again when so much more could be promised.
const WORTH: f64 = 1.1;

trait Known {
    fn id(&self) -> u64;
    /// Whether the earlier word does for this one too.
    fn covered_by(&self, earlier: &Self) -> bool;
}

fn near(one: f64, other: f64, least: f64) -> bool {
    (one - other).abs() <= least + NEAR * one.abs().max(other.abs())
}

impl Known for VolumeRecord {
    fn id(&self) -> u64 {
        self.volume
    }

    /// Danger: rule 7. A floor on record that is above the one that is kept now would be drawn by two runs.
    fn covered_by(&self, earlier: &VolumeRecord) -> bool {
        (earlier.reserved_tokens..=earlier.reserved_tokens * WORTH).contains(&self.reserved_tokens)
            && near(self.rate, earlier.rate, STILL)
            && near(self.reported_rate, earlier.reported_rate, STILL)
    }
}

impl Known for StoreRecord {
    fn id(&self) -> u64 {
        self.store
    }

    /// Whose it is and which life must be right; what was learned need only be near.
    fn covered_by(&self, earlier: &StoreRecord) -> bool {
        let plain = |store: &StoreRecord| StoreRecord { learned: None, ..store.clone() };
        let learned = |one: &LearnedFigures, other: &LearnedFigures| {
            near(one.latency, other.latency, 0.0)
                && near(one.concurrency_limit, other.concurrency_limit, 0.0)
                && one.virtual_times == other.virtual_times
        };
        plain(self) == plain(earlier)
            && match (&self.learned, &earlier.learned) {
                (Some(one), Some(other)) => learned(one, other),
                (one, other) => one.is_none() && other.is_none(),
            }
    }
}

fn by_id<T: Known>(all: Vec<T>) -> BTreeMap<u64, T> {
    all.into_iter().map(|known| (known.id(), known)).collect()
}

/// What a reader of `earlier` must be told to know `now`.
fn between<T: Known>(earlier: &BTreeMap<u64, T>, now: Vec<T>) -> DeltaPart<T> {
    let now = by_id(now);
    let gone = earlier.keys().filter(|id| !now.contains_key(id)).copied().collect();
    let told = |known: &T| !earlier.get(&known.id()).is_some_and(|earlier| known.covered_by(earlier));
    DeltaPart { set: now.into_values().filter(told).collect(), removed: gone }
}

fn apply<T: Known>(part: DeltaPart<T>, to: &mut BTreeMap<u64, T>) {
    part.removed.iter().for_each(|id| _ = to.remove(id));
    to.extend(by_id(part.set));
}

impl CurrentSnapshot {
    pub fn new(entry: Entry) -> CurrentSnapshot {
        let Entry { at, saved: Snapshot { stores, volumes, promise_duration: promised } } = entry;
        CurrentSnapshot { at, promised, stores: by_id(stores), volumes: by_id(volumes) }
    }

    /// What is to be written so that a reader of this picture knows what is known at `at`, or near enough.
    pub fn change(&self, at: Stamp, saved: Snapshot) -> SnapshotDelta {
        let stores = between(&self.stores, saved.stores);
        SnapshotDelta {
            at,
            promise_duration: saved.promise_duration,
            stores,
            volumes: between(&self.volumes, saved.volumes),
        }
    }

    pub fn apply(&mut self, change: SnapshotDelta) {
        (self.at, self.promised) = (change.at, change.promise_duration);
        apply(change.stores, &mut self.stores);
        apply(change.volumes, &mut self.volumes);
    }

    pub fn entry(self) -> Entry {
        let CurrentSnapshot { at, promised, stores, volumes } = self;
        let (stores, volumes) = (stores.into_values().collect(), volumes.into_values().collect());
        Entry { at, saved: Snapshot { stores, volumes, promise_duration: promised } }
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::{Gen, QuickCheck};

    use super::*;

    fn stamp(n: u64) -> Stamp {
        Stamp { wall: n, boot: 7, since_boot: n }
    }

    /// A few volumes and stores, some of them there, with figures drawn from `word`.
    fn drawn(words: &[u32]) -> Snapshot {
        let figure = |word: u32| f64::from(word % 50) / 7.0;
        let known = |word: &u32| !word.is_multiple_of(3);
        let volumes =
            words.iter().zip(0..).filter(|(word, _)| known(word)).map(|(word, volume)| VolumeRecord {
                volume,
                rate: figure(word >> 4),
                reported_rate: figure(word >> 8),
                reserved_tokens: figure(word >> 12),
            });
        let stores = words.iter().zip(0..).filter(|(word, _)| known(&(*word >> 3))).map(|(word, store)| {
            let learned = LearnedFigures {
                latency: figure(word >> 16),
                concurrency_limit: figure(word >> 20),
                virtual_times: vec![(1, figure(word >> 24))],
            };
            StoreRecord {
                store,
                address: ([127, 0, 0, 1], 1).into(),
                shard: 0,
                zone: 0,
                state: (word % 2) as u8,
                incarnation: u64::from(word >> 30),
                learned: (!word.is_multiple_of(5)).then_some(learned),
            }
        });
        let stores = stores.collect();
        Snapshot { stores, volumes: volumes.collect(), promise_duration: Duration::from_secs(2) }
    }

    /// However long changes are put on changes, a reader promises no more than was kept, and is near in all else.
    #[test]
    fn a_reader_never_promises_more_and_is_never_far_off() {
        fn keeps(history: Vec<Vec<u32>>) -> bool {
            let mut picture = CurrentSnapshot::new(Entry { at: stamp(0), saved: Snapshot::default() });
            history.iter().zip(1..).all(|(words, n)| {
                let mut words = words.clone();
                words.truncate(12);
                let now = drawn(&words);
                picture.apply(picture.change(stamp(n), now.clone()));
                let read = picture.clone().entry();
                let volumes = read.saved.volumes.iter().zip(&now.volumes).all(|(read, now)| {
                    let rates = near(read.rate, now.rate, STILL)
                        && near(read.reported_rate, now.reported_rate, STILL);
                    read.volume == now.volume
                        && rates
                        && read.reserved_tokens <= now.reserved_tokens
                        && now.reserved_tokens <= read.reserved_tokens * WORTH
                });
                let stores = read.saved.stores.iter().zip(&now.stores).all(|(read, now)| {
                    let figures = |store: &StoreRecord| {
                        store.learned.as_ref().map(|l| (l.latency, l.concurrency_limit))
                    };
                    let near = match (figures(read), figures(now)) {
                        (Some(one), Some(other)) => near(one.0, other.0, 0.0) && near(one.1, other.1, 0.0),
                        (one, other) => one == other,
                    };
                    (read.store, read.state, read.incarnation) == (now.store, now.state, now.incarnation)
                        && near
                });
                let counts = (read.saved.volumes.len(), read.saved.stores.len());
                read.at == stamp(n) && volumes && stores && counts == (now.volumes.len(), now.stores.len())
            })
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(20, 1))
            .tests(500)
            .quickcheck(keeps as fn(Vec<Vec<u32>>) -> bool);
    }

    #[test]
    fn what_stays_as_it_was_costs_nothing_and_its_promise_is_renewed() {
        let words: Vec<u32> = (0..100).map(|n| n * 0x0123_4567).collect();
        let mut picture = CurrentSnapshot::new(Entry { at: stamp(1), saved: drawn(&words) });
        let change = picture.change(stamp(2), drawn(&words));
        assert!(
            change.stores.set.is_empty()
                && change.volumes.set.is_empty()
                && change.volumes.removed.is_empty()
        );
        picture.apply(change);
        assert_eq!(picture.entry(), Entry { at: stamp(2), saved: drawn(&words) });
    }
}
