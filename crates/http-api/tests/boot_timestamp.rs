//! Ages of starts, over clocks that are wrong by any amount: never more than the truth.

use std::time::Duration;

use umbertray_http_api::boot_timestamp::{BootTimestamp, BootTimestampClock};

/// A moment of the true clock, in seconds since 1970.
const TRUTH: u64 = 1_800_000_000;

fn stamp(seconds: u64) -> BootTimestamp {
    BootTimestamp::from_millis(1000 * seconds).expect("not 0")
}

/// Stores that started at these moments, in seconds after the truth began, are seen so much later.
const SEEN: [(u64, u64); 5] = [(0, 40), (39, 41), (43, 45), (44, 60), (100, 103)];

#[test]
fn wrong_wall_clock_never_overstates_age_of_start() {
    for off in [-3600, -30, -1, 0, 1, 30, 3600] {
        let own = |truth: u64| Duration::from_secs(((TRUTH + truth) as i64 + off) as u64);
        let mut clock = BootTimestampClock::default();
        for (start, seen) in SEEN {
            clock.observe(stamp(TRUTH + start), own(seen));
            for (start, first_seen) in SEEN {
                let age = clock.min_age(stamp(TRUTH + start), own(seen.max(first_seen)));
                let true_age = Duration::from_secs(seen.max(first_seen) - start);
                assert!(age <= true_age, "off by {off} s: {age:?} of {true_age:?}");
            }
        }
        // Real time that has passed since counts, where the clock here is not behind by more.
        let old = clock.min_age(stamp(TRUTH + 100), own(203));
        assert!(off < -3 || old >= Duration::from_secs(100), "off by {off} s: {old:?}");
    }
}

#[test]
fn future_stamp_with_right_clock_makes_no_other_store_warm() {
    let own = |truth: u64| Duration::from_secs(TRUTH + truth);
    let mut clock = BootTimestampClock::default();
    clock.observe(stamp(TRUTH + 3600), own(10));
    clock.observe(stamp(TRUTH + 20), own(21));
    assert_eq!(clock.min_age(stamp(TRUTH + 20), own(21)), Duration::from_secs(1));
    assert_eq!(clock.min_age(stamp(TRUTH + 3600), own(21)), Duration::ZERO);
}

#[test]
fn start_long_before_newest_stamp_is_old_from_first_list() {
    let own = |truth: u64| Duration::from_secs(TRUTH + truth);
    let mut clock = BootTimestampClock::default();
    clock.observe(stamp(TRUTH + 60), own(61));
    assert_eq!(clock.min_age(stamp(TRUTH), own(61)), Duration::from_secs(60));
    assert_eq!(clock.min_age(stamp(TRUTH), own(71)), Duration::from_secs(70));
}
