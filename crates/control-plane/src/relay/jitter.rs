//! Seeded random delays, and the order in which a follower prefers its upstreams.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A seeded sequence of delays.
///
/// Invariant: the n-th delay depends on the seed, the name of the stream and n alone, so that a run can be repeated.
pub(super) struct Jitter {
    seed: u64,
    draws: u64,
}

impl Jitter {
    pub(super) fn new(seed: u64, stream: &str) -> Jitter {
        Jitter { seed: hash_of((seed, stream)), draws: 0 }
    }

    /// The next delay, between half of `longest` and all of it.
    pub(super) fn delay(&mut self, longest: Duration) -> Duration {
        self.draws += 1;
        let part = (hash_of((self.seed, self.draws)) % 1024) as u32;
        let half = longest / 2;
        half + half * part / 1024
    }
}

/// Rendezvous hashing: the weight of an upstream for a follower, the highest preferred.
///
/// Each follower works out its own order, so no two processes have to agree on the hash. When an upstream goes, only its
/// followers move, each to its own next one; when it returns, only they come back.
pub(super) fn rendezvous_weight(follower: &str, upstream: &str) -> u64 {
    hash_of((follower, upstream))
}
