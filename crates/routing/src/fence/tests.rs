//! The fence in time under delay and drift.

use super::*;

/// Whatever the offset, the delay of the reading and a drift within bounds: at D the fence has passed.
#[test]
fn fence_has_passed_at_deadline_under_any_offset_delay_and_drift() {
    let at = Duration::from_secs(100);
    for delay in [0u64, 1, 500, 60_000] {
        for span in [1u64, 1_000, 1_000_000] {
            for drift in [-1i64, 0, 1] {
                let reading = ClockReading { clock: 7_000_000, read_at: at };
                let ends = at + Duration::from_millis(span);
                let true_at_reading = 7_000_000 + delay * 1_000;
                let passed = (span as i64 * 1_000) + drift * (span as i64 * 1_000) / i64::from(DRIFT_DIVISOR);
                assert!(true_at_reading as i64 + passed >= reading.not_after(ends) as i64);
                assert!(reading.not_after(ends) >= 7_000_000 + span * 999, "nearly all of it is used");
            }
        }
    }
}
