//! Checks that the sizes that docs/CAPACITY.md states for the coordinator's map match the bytes that it
//! writes.

use umbertray_control_plane::{CoordinatorState, Record};
use umbertray_store_protocol::volume_id;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// The number in the second cell of the row with this name in docs/CAPACITY.md.
fn documented_size(name: &str) -> f64 {
    let row = PAGE.lines().find_map(|line| line.strip_prefix(&format!("| {name} | ")));
    let cell = row.and_then(|rest| rest.split(" | ").next()).unwrap_or_else(|| panic!("no row {name:?}"));
    cell.replace(',', "").parse().unwrap_or_else(|_| panic!("{name:?} has {cell:?}"))
}

/// Claims that place each extent at another shard than its neighbours, so that the map has as many ranges as
/// extents.
fn claims(extents: u64) -> Vec<Record> {
    let claim = |n: u64| {
        let volume = volume_id(&format!("volume-{}", n / 1000));
        let extent = n % 1000;
        Record::Claimed { volume, extent, shard: (n * 7 % 4000) as u32 }
    };
    (0..extents).map(claim).collect()
}

fn bytes_per_range(extents: u64) -> f64 {
    let mut state = CoordinatorState::default();
    claims(extents).iter().for_each(|record| state.apply(record));
    assert_eq!(state.map.ranges() as u64, extents);
    state.encode().len() as f64 / extents as f64
}

/// Postcard encodes numbers with variable length, so the sizes are means over many records or ranges.
#[test]
fn claim_and_checkpoint_sizes_match_documentation() {
    let log = postcard::to_stdvec(&claims(10_000)).expect("numbers").len() as f64 / 10_000.0;
    assert_eq!(log.round(), documented_size("claim in the coordinator's log, in a group"));
    let (few, many) = (bytes_per_range(10_000), bytes_per_range(100_000));
    assert_eq!([few.round(), many.round()], [documented_size("range in the coordinator's checkpoint"); 2]);
}
