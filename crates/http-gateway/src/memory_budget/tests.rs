//! Reservations never exceed the budget, and are freed with what they belong to.

use super::*;

const LIMIT: usize = 100_000;

#[test]
fn reservations_beyond_limit_fail_until_others_are_freed() {
    let budget = MemoryBudget::new(LIMIT);
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    assert!(first.try_resize(60_000));
    assert!(!second.try_resize(60_000));
    assert!(second.try_resize(40_000));
    assert!(first.try_resize(50_000), "a smaller one always fits");
    assert_eq!(budget.used(), 90_000);
    drop(first);
    assert!(second.try_resize(LIMIT));
    assert!(!second.try_resize(LIMIT + 1));
    assert_eq!(budget.used(), LIMIT);
}

/// A usual client meets no bound, whatever others hold.
#[test]
fn small_reservation_succeeds_without_memory_left() {
    let budget = MemoryBudget::new(LIMIT);
    let (mut large, mut small) = (budget.reservation(), budget.reservation());
    assert!(large.try_resize(LIMIT));
    assert!(small.try_resize(ALWAYS_AVAILABLE));
    assert!(!small.try_resize(ALWAYS_AVAILABLE + 1));
}

#[test]
fn body_frees_its_memory_with_its_last_reference() {
    let budget = MemoryBudget::new(LIMIT);
    let mut memory = budget.reservation();
    memory.resize(4);
    let body = memory.attach_to(Bytes::from_static(b"body"));
    let copy = body.clone();
    drop(body);
    assert_eq!((budget.used(), &copy[..]), (4, &b"body"[..]));
    drop(copy);
    assert_eq!(budget.used(), 0);
}
