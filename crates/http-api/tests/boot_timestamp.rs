//! The computed age of a store never exceeds its true age, however wrong the clocks are.

use std::time::Duration;

use umbertray_http_api::boot_timestamp::{BootTimestamp, BootTimestampClock};

/// A point in true time, in seconds since 1970.
const TRUTH: u64 = 1_800_000_000;

fn stamp(seconds: u64) -> BootTimestamp {
    BootTimestamp::from_millis(1000 * seconds).expect("not 0")
}

/// Start times of stores and the times of the first observation, in seconds after `TRUTH`.
const OBSERVATIONS: [(u64, u64); 5] = [(0, 40), (39, 41), (43, 45), (44, 60), (100, 103)];

#[test]
fn wrong_wall_clock_never_overstates_age_of_start() {
    for off in [-3600, -30, -1, 0, 1, 30, 3600] {
        let local_clock = |true_time: u64| Duration::from_secs(((TRUTH + true_time) as i64 + off) as u64);
        let mut clock = BootTimestampClock::default();
        for (start, observed_at) in OBSERVATIONS {
            clock.observe(stamp(TRUTH + start), local_clock(observed_at));
            for (start, first_observed_at) in OBSERVATIONS {
                let age =
                    clock.min_age(stamp(TRUTH + start), local_clock(observed_at.max(first_observed_at)));
                let true_age = Duration::from_secs(observed_at.max(first_observed_at) - start);
                assert!(age <= true_age, "off by {off} s: {age:?} of {true_age:?}");
            }
        }
        // Real time that has passed since the observation counts, unless the local clock is behind by more.
        let old = clock.min_age(stamp(TRUTH + 100), local_clock(203));
        assert!(off < -3 || old >= Duration::from_secs(100), "off by {off} s: {old:?}");
    }
}

#[test]
fn future_stamp_with_right_clock_makes_no_other_store_warm() {
    let local_clock = |true_time: u64| Duration::from_secs(TRUTH + true_time);
    let mut clock = BootTimestampClock::default();
    clock.observe(stamp(TRUTH + 3600), local_clock(10));
    clock.observe(stamp(TRUTH + 20), local_clock(21));
    assert_eq!(clock.min_age(stamp(TRUTH + 20), local_clock(21)), Duration::from_secs(1));
    assert_eq!(clock.min_age(stamp(TRUTH + 3600), local_clock(21)), Duration::ZERO);
}

#[test]
fn start_long_before_newest_stamp_is_old_from_first_list() {
    let local_clock = |true_time: u64| Duration::from_secs(TRUTH + true_time);
    let mut clock = BootTimestampClock::default();
    clock.observe(stamp(TRUTH + 60), local_clock(61));
    assert_eq!(clock.min_age(stamp(TRUTH), local_clock(61)), Duration::from_secs(60));
    assert_eq!(clock.min_age(stamp(TRUTH), local_clock(71)), Duration::from_secs(70));
}
