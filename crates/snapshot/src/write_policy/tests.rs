//! Tests of when a new file is begun and how long writing backs off after a failure.

use super::*;

#[test]
fn write_failure_begins_new_file_with_backoff_until_success() {
    let mut policy = WritePolicy::new(FileHeader { gateway: 1, digest: 2, generation: 5 }, 4 << 20);
    let second = Duration::from_secs(1);
    assert_eq!(policy.decide(Duration::ZERO), WriteDecision::NewFile(5));
    policy.record_success(Duration::ZERO, WriteDecision::NewFile(5), 100);
    assert_eq!(policy.decide(second), WriteDecision::Append);
    policy.record_failure(second);
    assert_eq!(
        (policy.decide(second), policy.decide(2 * second)),
        (WriteDecision::Wait, WriteDecision::NewFile(6))
    );
    policy.record_failure(2 * second);
    assert_eq!(
        (policy.decide(3 * second), policy.decide(4 * second)),
        (WriteDecision::Wait, WriteDecision::NewFile(7))
    );
    policy.record_success(4 * second, WriteDecision::NewFile(7), 100);
    policy.record_success(5 * second, WriteDecision::Append, 12 << 20);
    assert_eq!(
        policy.decide(7 * second),
        WriteDecision::Wait,
        "12 MiB take 6 s at the long-run rate, and writing may run 3 s ahead"
    );
    assert_eq!(policy.decide(8 * second), WriteDecision::NewFile(8));
    policy.record_success(20 * second, WriteDecision::NewFile(8), 5 << 20);
    assert_eq!(
        policy.decide(21 * second),
        WriteDecision::Append,
        "a large state is not written completely each time"
    );
    policy.record_success(21 * second, WriteDecision::Append, 6 << 20);
    assert_eq!(policy.decide(30 * second), WriteDecision::NewFile(9));
    (0..20).for_each(|_| policy.record_failure(8 * second));
    assert_eq!(policy.decide(8 * second + MAX_BACKOFF), WriteDecision::NewFile(28));
}
