//! Combination of the results of fragments.

use super::*;

#[test]
fn rejected_fragment_beside_executed_one_fails_request_unless_idempotent() {
    let rejected = FinalResult::Rejected { retry_after: Duration::from_millis(5) };
    let fragments = [
        FragmentResult { result: FinalResult::Succeeded, may_have_run: true },
        FragmentResult { result: rejected, may_have_run: false },
    ];
    assert_eq!(combine(fragments.into_iter(), Idempotency::Idempotent), rejected);
    assert_eq!(combine(fragments.into_iter(), Idempotency::NotIdempotent), FinalResult::Failed);
    assert_eq!(combine(fragments[1..].iter().copied(), Idempotency::NotIdempotent), rejected);
    assert_eq!(combine(fragments[..1].iter().copied(), Idempotency::NotIdempotent), FinalResult::Succeeded);
}
