//! Bounds and lifetime of known locations, and one query an extent.

use super::*;

#[test]
fn known_locations_stay_within_bound_and_absence_is_never_cached() {
    let mut locations = Locations::new(2);
    let at = |epoch| Location { shard: 5, epoch };
    (0..3).for_each(|extent| locations.record((1, extent), at(1)));
    assert_eq!([0, 1, 2].map(|extent| locations.get((1, extent))), [None, Some(at(1)), Some(at(1))]);
    locations.record((1, 2), at(0));
    assert_eq!(locations.get((1, 2)), Some(at(1)), "an older epoch is not believed");
    assert!(locations.look_up((1, 9), 7, 2).is_some());
    assert!(locations.look_up((1, 9), 8, 0).is_none(), "one query an extent");
    assert_eq!(locations.take_query(1), Some(DirectoryQuery::Lookup((1, 9), vec![7, 8], 2)));
    assert!(locations.look_up((1, 9), 9, 0).is_some(), "queried anew");
    assert_eq!(locations.open_queries().len(), 1);
    locations.drop_queries(|_| true);
    assert!(!locations.has_open_queries() && locations.take_query(2).is_none());
}
