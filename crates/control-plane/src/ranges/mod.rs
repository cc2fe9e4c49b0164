//! Runs of numbers with a value each.
//!
//! Invariant: they do not overlap, and two neighbours of one value are one.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Ranges<V> {
    /// By their first number: their end, which is not in them, and the value.
    runs: BTreeMap<u64, (u64, V)>,
}

impl<V> Default for Ranges<V> {
    fn default() -> Ranges<V> {
        Ranges { runs: BTreeMap::new() }
    }
}

impl<V: Copy + PartialEq> Ranges<V> {
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    pub fn values(&self) -> impl Iterator<Item = V> {
        self.runs.values().map(|(_, value)| *value)
    }

    pub fn get(&self, at: u64) -> Option<V> {
        let (_, (to, value)) = self.runs.range(..=at).next_back()?;
        (at < *to).then_some(*value)
    }

    /// The runs that meet a range, in order, cut to it.
    pub fn within(&self, range: Range<u64>) -> impl Iterator<Item = (Range<u64>, V)> {
        let before = self.runs.range(..=range.start).next_back();
        let first = before.map_or(range.start, |(from, _)| *from);
        let met = self.runs.range(first..range.end.max(first));
        let met = met.filter(move |(_, (to, _))| *to > range.start);
        met.map(move |(from, (to, value))| ((*from).max(range.start)..(*to).min(range.end), *value))
    }

    /// All of the range has this value from now on.
    pub fn set(&mut self, range: Range<u64>, value: V) {
        let Range { start, end } = range;
        let before = self.runs.range(..start).next_back().map(|(from, run)| (*from, *run));
        if let Some((from, (to, known))) = before.filter(|(_, (to, _))| *to > start) {
            self.runs.insert(from, (start, known));
            if to > end {
                self.runs.insert(end, (to, known));
            }
        }
        let inside: Vec<(u64, (u64, V))> =
            self.runs.range(start..end).map(|(from, run)| (*from, *run)).collect();
        for (from, (to, known)) in inside {
            self.runs.remove(&from);
            if to > end {
                self.runs.insert(end, (to, known));
            }
        }
        let (mut from, mut to) = (start, end);
        let before = self.runs.range(..start).next_back().map(|(from, run)| (*from, *run));
        if let Some((at, _)) = before.filter(|(_, (to, known))| *to == start && *known == value) {
            from = at;
        }
        if let Some((further, _)) = self.runs.get(&end).copied().filter(|(_, known)| *known == value) {
            self.runs.remove(&end);
            to = further;
        }
        self.runs.insert(from, (to, value));
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::{Gen, QuickCheck};

    use super::*;

    /// Beside a plain table of numbers: the same values, and no more runs than are needed.
    #[test]
    fn runs_say_what_a_table_of_numbers_says() {
        fn same(sets: Vec<(u8, u8, u8)>) -> bool {
            let (mut ranges, mut table) = (Ranges::default(), BTreeMap::new());
            for (from, length, value) in sets {
                let from = u64::from(from % 40);
                let range = from..from + 1 + u64::from(length % 12);
                ranges.set(range.clone(), value % 4);
                range.for_each(|at| _ = table.insert(at, value % 4));
                let told: Vec<_> =
                    ranges.within(3..30).flat_map(|(run, v)| run.map(move |at| (at, v))).collect();
                let known: Vec<_> = table.range(3..30).map(|(at, value)| (*at, *value)).collect();
                if told != known || (0..60).any(|at| ranges.get(at) != table.get(&at).copied()) {
                    return false;
                }
            }
            let begins =
                |at: &u64| table.contains_key(at) && (*at == 0 || table.get(&(at - 1)) != table.get(at));
            ranges.len() == (0..60).filter(begins).count()
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, 5))
            .tests(200)
            .quickcheck(same as fn(Vec<(u8, u8, u8)>) -> bool);
    }
}
