//! A map from numbers to values that stores runs of consecutive numbers with the same value.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};

/// The exclusive end of a run, and the value of its numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
struct Run<V> {
    end: u64,
    value: V,
}

/// A map from numbers to values, stored as runs.
///
/// Invariant: runs do not overlap, and adjacent runs have different values.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RangeMap<V> {
    /// Runs by their first number.
    runs: BTreeMap<u64, Run<V>>,
}

impl<V> Default for RangeMap<V> {
    fn default() -> RangeMap<V> {
        RangeMap { runs: BTreeMap::new() }
    }
}

impl<V: Copy + PartialEq> RangeMap<V> {
    /// Number of runs.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = V> {
        self.runs.values().map(|run| run.value)
    }

    pub(crate) fn get(&self, number: u64) -> Option<V> {
        let (_, run) = self.runs.range(..=number).next_back()?;
        (number < run.end).then_some(run.value)
    }

    /// The runs that overlap a range, in order and cut to it.
    pub(crate) fn overlapping(&self, range: Range<u64>) -> impl Iterator<Item = (Range<u64>, V)> {
        let containing_start = self.runs.range(..=range.start).next_back();
        let first = containing_start.map_or(range.start, |(start, _)| *start);
        let candidates = self.runs.range(first..range.end.max(first));
        let overlapping = candidates.filter(move |(_, run)| run.end > range.start);
        overlapping.map(move |(start, run)| ((*start).max(range.start)..run.end.min(range.end), run.value))
    }

    /// Sets the value of all numbers of a range, which must not be empty.
    pub(crate) fn set(&mut self, range: Range<u64>, value: V) {
        let Range { mut start, mut end } = range;
        self.split_at(start);
        self.split_at(end);
        let replaced: Vec<u64> = self.runs.range(start..end).map(|(start, _)| *start).collect();
        for run in replaced {
            self.runs.remove(&run);
        }
        let previous = self.runs.range(..start).next_back();
        if let Some((previous_start, _)) = previous.filter(|(_, run)| run.end == start && run.value == value)
        {
            start = *previous_start;
        }
        if let Some(next) = self.runs.get(&end).copied().filter(|run| run.value == value) {
            self.runs.remove(&end);
            end = next.end;
        }
        self.runs.insert(start, Run { end, value });
    }

    /// Splits the run that contains a number, unless the run begins with it.
    fn split_at(&mut self, number: u64) {
        let Some((start, run)) = self.runs.range(..number).next_back() else { return };
        if run.end <= number {
            return;
        }
        let start = *start;
        let Run { end, value } = *run;
        self.runs.insert(start, Run { end: number, value });
        self.runs.insert(number, Run { end, value });
    }
}

#[cfg(test)]
mod tests;
