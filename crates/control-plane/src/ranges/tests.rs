use quickcheck::{Gen, QuickCheck};

use super::*;

/// Compares with a plain table of numbers: the same values, and no more runs than are needed.
#[test]
fn range_map_after_random_sets_matches_table() {
    fn same(sets: Vec<(u8, u8, u8)>) -> bool {
        let (mut ranges, mut table) = (RangeMap::default(), BTreeMap::new());
        for (from, length, value) in sets {
            let from = u64::from(from % 40);
            let range = from..from + 1 + u64::from(length % 12);
            ranges.set(range.clone(), value % 4);
            range.for_each(|at| _ = table.insert(at, value % 4));
            let told: Vec<_> =
                ranges.overlapping(3..30).flat_map(|(run, v)| run.map(move |at| (at, v))).collect();
            let known: Vec<_> = table.range(3..30).map(|(at, value)| (*at, *value)).collect();
            if told != known || (0..60).any(|at| ranges.get(at) != table.get(&at).copied()) {
                return false;
            }
        }
        let begins = |at: &u64| table.contains_key(at) && (*at == 0 || table.get(&(at - 1)) != table.get(at));
        ranges.len() == (0..60).filter(begins).count()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(200)
        .quickcheck(same as fn(Vec<(u8, u8, u8)>) -> bool);
}
