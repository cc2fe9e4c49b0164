//! Chance from a seed, and the order that a follower has its upstreams in.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

fn mixed(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

pub struct Chance {
    seed: u64,
    drawn: u64,
}

impl Chance {
    pub fn new(seed: u64, whose: &str) -> Chance {
        Chance { seed: mixed((seed, whose)), drawn: 0 }
    }

    /// Between half of a time and all of it.
    pub fn spread(&mut self, most: Duration) -> Duration {
        self.drawn += 1;
        let part = (mixed((self.seed, self.drawn)) % 1024) as u32;
        most / 2 + most / 2 * part / 1024
    }
}

/// Rendezvous hashing: a follower's order of its upstreams. Each follower works out its own, so nobody has to agree on the
/// hash. When an upstream goes, only its followers move, each to its own next; when it returns, only they come back.
pub fn rank(follower: &str, upstream: &str) -> u64 {
    mixed((follower, upstream))
}
