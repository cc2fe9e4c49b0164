//! Until when an operation rejected for a stale epoch may resume.

use super::*;

#[test]
fn maybe_executed_operation_resumes_only_while_retries_are_recognised() {
    let (ms, tick) = (Duration::from_millis, Duration::from_millis(2));
    let deduplicated = Idempotency::Deduplicated(ms(100));
    assert_eq!(may_resume_until(Idempotency::NotIdempotent, None, tick), Some(Duration::MAX));
    assert_eq!(may_resume_until(Idempotency::NotIdempotent, Some(ms(7)), tick), None);
    assert_eq!(may_resume_until(Idempotency::Idempotent, Some(ms(7)), tick), Some(Duration::MAX));
    assert_eq!(may_resume_until(deduplicated, Some(ms(7)), tick), Some(ms(105)));
}
