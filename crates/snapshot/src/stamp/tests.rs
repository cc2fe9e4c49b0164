//! Tests of which clock determines the age of a state.

use super::*;

const HOUR: u64 = 3_600_000_000;

fn stamp(wall: u64, boot: u128, since_boot: u64) -> Stamp {
    Stamp { wall, boot, since_boot }
}

#[test]
fn age_uses_time_since_boot_and_doubts_the_wall_clock() {
    let then = stamp(100 * HOUR, 1, HOUR);
    let age_at = |now| age(then, now);
    assert_eq!(age_at(stamp(100 * HOUR, 1, HOUR + 5)), Age::Known(Duration::from_micros(5)));
    assert_eq!(
        age_at(stamp(900 * HOUR, 1, HOUR + 5)),
        Age::Known(Duration::from_micros(5)),
        "the wall clock was adjusted"
    );
    assert_eq!(age_at(stamp(101 * HOUR, 1, HOUR - 5)), Age::Unknown, "the time since boot went backwards");
    assert_eq!(age_at(stamp(101 * HOUR, 2, 9)), Age::Known(Duration::from_micros(HOUR)));
    assert_eq!(age_at(stamp(99 * HOUR, 2, 9)), Age::Unknown, "the wall clock went backwards");
    assert_eq!(age_at(stamp(130 * HOUR, 2, 9)), Age::Unknown, "more than a day across boots");
    assert_eq!(
        age(stamp(5, 0, 7), stamp(9, 0, 1)),
        Age::Known(Duration::from_micros(4)),
        "the boot id is unknown"
    );
}
