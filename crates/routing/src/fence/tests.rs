//! The time fence under delay and drift.

use super::*;

/// For each delay of the reading, each time to the deadline and each drift within the bound, the fence has
/// passed at the deadline.
#[test]
fn fence_has_passed_at_deadline_under_any_offset_delay_and_drift() {
    let read_at = Duration::from_secs(100);
    for delay in [0u64, 1, 500, 60_000] {
        for span_ms in [1u64, 1_000, 1_000_000] {
            for drift in [-1i64, 0, 1] {
                let reading = ClockReading { clock: 7_000_000, read_at };
                let deadline = read_at + Duration::from_millis(span_ms);
                let true_clock_at_reading = 7_000_000 + delay * 1_000;
                let elapsed =
                    (span_ms as i64 * 1_000) + drift * (span_ms as i64 * 1_000) / i64::from(DRIFT_DIVISOR);
                assert!(true_clock_at_reading as i64 + elapsed >= reading.not_after(deadline) as i64);
                assert!(
                    reading.not_after(deadline) >= 7_000_000 + span_ms * 999,
                    "at least 99.9% of the time is usable"
                );
            }
        }
    }
}
