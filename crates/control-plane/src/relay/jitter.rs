//! Seeded random delays, and the preference order of a follower's upstreams.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A seeded sequence of delays.
///
/// Invariant: the n-th delay depends only on the seed, the name of the stream and n, so that a run can be
/// repeated.
pub(super) struct Jitter {
    seed: u64,
    draws: u64,
}

impl Jitter {
    pub(super) fn new(seed: u64, stream: &str) -> Jitter {
        Jitter { seed: hash_of((seed, stream)), draws: 0 }
    }

    /// The next delay, between half of `max_delay` and `max_delay`.
    pub(super) fn delay(&mut self, max_delay: Duration) -> Duration {
        self.draws += 1;
        let numerator = (hash_of((self.seed, self.draws)) % 1024) as u32;
        let half = max_delay / 2;
        half + half * numerator / 1024
    }
}

/// Rendezvous hashing: the weight of an upstream for a follower, which prefers the highest.
///
/// Each follower computes its own order, so that processes need not agree on the hash function. When an
/// upstream fails, only its followers reconnect, each to the next upstream in its own order; when it returns
/// to service, only they change back.
pub(super) fn rendezvous_weight(follower: &str, upstream: &str) -> u64 {
    hash_of((follower, upstream))
}
