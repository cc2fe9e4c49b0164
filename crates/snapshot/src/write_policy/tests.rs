//! When a new file is begun, and how long a failed write backs off.

use super::*;

#[test]
fn write_failure_begins_new_file_with_backoff_until_success() {
    let mut policy = WritePolicy::new(FileHeader { gateway: 1, digest: 2, generation: 5 }, 4 << 20);
    let second = Duration::from_secs(1);
    assert_eq!(policy.next(Duration::ZERO), WriteDecision::NewFile(5));
    policy.written(Duration::ZERO, WriteDecision::NewFile(5), 100);
    assert_eq!(policy.next(second), WriteDecision::Append);
    policy.failed(second);
    assert_eq!(
        (policy.next(second), policy.next(2 * second)),
        (WriteDecision::Wait, WriteDecision::NewFile(6))
    );
    policy.failed(2 * second);
    assert_eq!(
        (policy.next(3 * second), policy.next(4 * second)),
        (WriteDecision::Wait, WriteDecision::NewFile(7))
    );
    policy.written(4 * second, WriteDecision::NewFile(7), 100);
    policy.written(5 * second, WriteDecision::Append, 12 << 20);
    assert_eq!(
        policy.next(7 * second),
        WriteDecision::Wait,
        "twelve mebibytes take six seconds, three of them ahead"
    );
    assert_eq!(policy.next(8 * second), WriteDecision::NewFile(8));
    policy.written(20 * second, WriteDecision::NewFile(8), 5 << 20);
    assert_eq!(
        policy.next(21 * second),
        WriteDecision::Append,
        "a large state is not written whole each time"
    );
    policy.written(21 * second, WriteDecision::Append, 6 << 20);
    assert_eq!(policy.next(30 * second), WriteDecision::NewFile(9));
    (0..20).for_each(|_| policy.failed(8 * second));
    assert_eq!(policy.next(8 * second + MAX_BACKOFF), WriteDecision::NewFile(28));
}
