use quickcheck::{Gen, QuickCheck};

use super::*;

/// Compares a range map with a plain table of numbers after the same operations: it has to return the same
/// values and to store no more runs than necessary.
#[test]
fn range_map_after_random_sets_matches_table() {
    fn matches_table(sets: Vec<(u8, u8, u8)>) -> bool {
        let (mut ranges, mut table) = (RangeMap::default(), BTreeMap::new());
        for (from, length, value) in sets {
            let from = u64::from(from % 40);
            let range = from..from + 1 + u64::from(length % 12);
            ranges.set(range.clone(), value % 4);
            range.for_each(|number| _ = table.insert(number, value % 4));
            let actual: Vec<_> =
                ranges.overlapping(3..30).flat_map(|(run, v)| run.map(move |number| (number, v))).collect();
            let expected: Vec<_> = table.range(3..30).map(|(number, value)| (*number, *value)).collect();
            if actual != expected || (0..60).any(|number| ranges.get(number) != table.get(&number).copied()) {
                return false;
            }
        }
        let begins_run = |number: &u64| {
            table.contains_key(number) && (*number == 0 || table.get(&(number - 1)) != table.get(number))
        };
        ranges.len() == (0..60).filter(begins_run).count()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(200)
        .quickcheck(matches_table as fn(Vec<(u8, u8, u8)>) -> bool);
}
