//! Every order of events of one range's move, at small size: the product's coordinator core and fences between a medium, a
//! network and gateways of the test. The faults of a run are bounded, so the space is finite and searched in full.
//!
//! An order, an op or an answer may be lost, duplicated, delayed and reordered. A coordinator may crash between
//! any two outputs of a step; what it had sent is then an old run's and may still arrive. A store may crash and lose its
//! queue.

mod properties;
mod search;
mod store;
mod world;

use properties::Property;
use search::{SearchResult, explore};
use umbertray_control_plane::ConnectionId;
use umbertray_store_protocol::orders::ExtentRange;
use world::{Faults, World};

const VOLUME: u64 = 1;
const EXTENT: u64 = 0;
const SPAN: ExtentRange = ExtentRange { volume: VOLUME, start: EXTENT, end: EXTENT + 1 };
/// What was written before any of the ops.
const FORMER: u64 = 9;
/// The ops: a write by each gateway, and a read by either, sent once a write is acknowledged.
const READ: usize = 2;
const OPERATOR: ConnectionId = ConnectionId(10);
/// A run without further faults that takes more steps than this does not terminate.
const LONGEST: usize = 300;

/// Bugs that the test plants, each of which the search has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PlantedBug {
    None,
    ReadsNotFenced,
    ExecutedOpsNotMoved,
    ActivatedBeforeFenced,
    ActedBeforeLogged,
    TermNotChecked,
}

const NONE: Faults = Faults { loss: false, double: false, coordinator: false, store: false, abandon: false };

fn explored(name: &str, start: World) -> SearchResult {
    let begun = std::time::Instant::now();
    let found = explore(start);
    println!("{name}: {} states in {:?}", found.states, begun.elapsed());
    if let Some((property, events)) = &found.violation {
        println!("{name} breaks {property:?}:\n  {}", events.join("\n  "));
    }
    found
}

type Start = fn(PlantedBug, Faults) -> World;

/// Asserts that no property is violated from this start, with these faults and so many writes; how many states there are.
fn check_start(start: Start, writes: usize, faults: Faults) -> usize {
    let start = start(PlantedBug::None, faults).with_writes(writes);
    let path = if start.former.is_empty() { "away" } else { "back" };
    let found = explored(&format!("{path}, {writes} of the writes, {faults:?}"), start);
    assert_eq!(found.violation.map(|(property, _)| property), None, "the trace is above");
    found.states
}

fn check_both_starts(writes: usize, faults: Faults) -> usize {
    check_start(World::new, writes, faults) + check_start(World::back, writes, faults)
}

#[test]
fn coordinator_with_bounded_faults_keeps_every_property() {
    let states = check_both_starts(2, NONE)
        + check_both_starts(1, Faults { double: true, store: true, ..NONE })
        + check_both_starts(1, Faults { loss: true, store: true, ..NONE })
        + check_start(World::back, 1, Faults { coordinator: true, abandon: true, ..NONE });
    println!("{states} states");
    assert!(states > 150_000, "{states} states: the search has lost its way");
}

/// Takes minutes and some gigabytes in a release build.
#[test]
#[ignore = "three faults in a run: for a release build"]
fn coordinator_with_more_faults_keeps_every_property() {
    let faults = Faults { coordinator: true, abandon: true, ..NONE };
    let states = check_both_starts(2, Faults { loss: true, ..NONE })
        + check_both_starts(2, Faults { double: true, ..NONE })
        + check_both_starts(2, Faults { coordinator: true, ..NONE })
        + check_both_starts(2, Faults { abandon: true, ..NONE })
        + check_both_starts(1, Faults { loss: true, double: true, ..NONE })
        + check_both_starts(1, Faults { loss: true, ..faults })
        + check_both_starts(1, Faults { double: true, ..faults });
    println!("{states} states");
}

#[test]
fn planted_bugs_violate_expected_properties() {
    let crash = Faults { coordinator: true, ..NONE };
    for (planted_bug, faults, property) in [
        (PlantedBug::ReadsNotFenced, NONE, Property::FormerSourceServesNothing),
        (PlantedBug::ExecutedOpsNotMoved, Faults { loss: true, ..NONE }, Property::WritesApplyOnce),
        (PlantedBug::ActivatedBeforeFenced, NONE, Property::AtMostOneServes),
        (PlantedBug::ActedBeforeLogged, crash, Property::Terminates),
        (PlantedBug::TermNotChecked, crash, Property::OldOrderChangesNothing),
    ] {
        let found = explored(&format!("{planted_bug:?}"), World::new(planted_bug, faults).with_writes(1));
        assert_eq!(found.violation.map(|(property, _)| property), Some(property), "{planted_bug:?}");
    }
}
