//! Random numbers that repeat for a seed.
//!
//! Invariant: the order of draws and the types that are hashed decide the numbers; a change of either changes
//! decisions.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};
use std::time::Duration;

use crate::interface::VolumeId;

/// A hash that is the same in every process.
pub(super) fn stable_hash(value: impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}

fn fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Draws from one seed.
pub(super) struct RandomSource {
    seed: u64,
    draws: u64,
}

impl RandomSource {
    pub(super) fn new(seed: u64) -> Self {
        Self { seed, draws: 0 }
    }

    /// The next draw, from 0 to 1.
    pub(super) fn random_fraction(&mut self) -> f64 {
        self.draws += 1;
        fraction(stable_hash((self.seed, self.draws)))
    }

    /// From 0 to 1, the same each time for a volume and the time at which a store came back.
    pub(super) fn phase(&self, volume: VolumeId, back_at: Duration) -> f64 {
        fraction(stable_hash((self.seed, volume, back_at)))
    }
}
