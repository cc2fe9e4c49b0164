//! Reproducible random numbers.
//!
//! Invariant: the order of draws and the types that are hashed determine the numbers; changing either changes
//! the scheduler's decisions.

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

/// Generates random numbers from one seed.
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

    /// A number from 0 to 1 that is constant for a volume and the time at which a store returned to service.
    pub(super) fn phase(&self, volume: VolumeId, returned_at: Duration) -> f64 {
        fraction(stable_hash((self.seed, volume, returned_at)))
    }
}
