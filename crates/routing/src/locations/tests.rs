//! The bound on cached locations, the epochs that are accepted, and the limit of one open lookup per extent.

use super::*;

#[test]
fn known_locations_stay_within_bound_and_absence_is_never_cached() {
    let mut locations = Locations::new(2);
    let location = |epoch| Location { shard: 5, epoch };
    (0..3).for_each(|extent| locations.record((1, extent), location(1)));
    assert_eq!(
        [0, 1, 2].map(|extent| locations.get((1, extent))),
        [None, Some(location(1)), Some(location(1))]
    );
    locations.record((1, 2), location(0));
    assert_eq!(locations.get((1, 2)), Some(location(1)), "an older epoch does not replace a newer one");
    assert!(locations.look_up((1, 9), 7, 2).is_some());
    assert!(locations.look_up((1, 9), 8, 0).is_none(), "one open lookup per extent");
    assert_eq!(locations.take_query(1), Some(DirectoryQuery::Lookup((1, 9), vec![7, 8], 2)));
    assert!(locations.look_up((1, 9), 9, 0).is_some(), "a new lookup after the first was answered");
    assert_eq!(locations.open_queries().len(), 1);
    locations.drop_queries(|_| true);
    assert!(!locations.has_open_queries() && locations.take_query(2).is_none());
}
