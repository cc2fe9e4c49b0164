//! Checks that volumes get fair shares of the byte budget, and that generated sequences of requests never
//! exceed it.

use quickcheck::{Arbitrary, Gen};

use super::*;

const MAX_BYTES: u64 = 1000;

/// A share without a reserve.
fn weighted(weight: f64) -> VolumeShare {
    VolumeShare { weight, reserve: 0.0 }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn budget() -> ByteBudget {
    ByteBudget::new(MAX_BYTES, ms(1000))
}

/// Requests bytes until a request is rejected; returns how many bytes were granted.
fn fill(budget: &mut ByteBudget, now: Duration, volume: usize, share: VolumeShare) -> u64 {
    let mut granted = 0;
    while budget.request(now, volume, share, 10, 0.5) == Admission::Granted {
        granted += 10;
    }
    granted
}

#[test]
fn flooding_volume_leaves_other_volumes_their_share() {
    let mut budget = budget();
    assert_eq!(budget.request(ms(0), 1, weighted(1.0), 10, 0.5), Admission::Granted);
    assert_eq!(budget.request(ms(0), 2, weighted(3.0), 10, 0.5), Admission::Granted);
    let flood = fill(&mut budget, ms(1), 0, weighted(1.0));
    assert_eq!(flood, 480, "the rest of the open part, which exceeds its guaranteed fifth of 500");
    assert_eq!(
        fill(&mut budget, ms(2), 2, weighted(3.0)),
        290,
        "three fifths of 500, ten of them held before"
    );
    assert_eq!(fill(&mut budget, ms(2), 1, weighted(1.0)), 90);
    assert!(budget.held_bytes() <= MAX_BYTES);
    // A new volume has a guaranteed share at once.
    assert!(fill(&mut budget, ms(3), 7, weighted(1.0)) >= 80);
}

#[test]
fn single_request_of_half_the_budget_is_granted() {
    let mut budget = budget();
    for other in 1..9 {
        assert_eq!(budget.request(ms(0), other, weighted(1.0), 1, 0.5), Admission::Granted);
        budget.release(ms(0), other, 1);
    }
    assert_eq!(budget.request(ms(1), 0, weighted(1.0), MAX_BYTES / 2, 0.5), Admission::Granted);
}

#[test]
fn reserved_volume_is_granted_before_heavier_weight() {
    let mut budget = budget();
    let reserved = VolumeShare { weight: 1.0, reserve: 100.0 };
    assert_eq!(budget.request(ms(0), 1, reserved, 10, 0.5), Admission::Granted);
    fill(&mut budget, ms(1), 0, weighted(9.0));
    assert_eq!(
        fill(&mut budget, ms(2), 1, reserved),
        260,
        "half of 500 and a tenth of the other half, less ten"
    );
}

#[test]
fn rejected_requests_get_spread_retry_after_from_release_rate() {
    let mut budget = budget();
    fill(&mut budget, ms(0), 0, weighted(1.0));
    let retry_after = |budget: &mut ByteBudget, random_fraction| match budget.request(
        ms(1000),
        0,
        weighted(1.0),
        10,
        random_fraction,
    ) {
        Admission::Rejected { retry_after } => retry_after,
        Admission::Granted => panic!("granted although the budget is full"),
    };
    assert_eq!(retry_after(&mut budget, 0.5), ms(1000), "no bytes are released: the maximum");
    budget.release(ms(1000), 0, 100);
    fill(&mut budget, ms(1000), 0, weighted(1.0));
    let (shortest, longest) = (retry_after(&mut budget, 0.0), retry_after(&mut budget, 1.0));
    assert!(
        shortest < ms(100) && longest > shortest * 2,
        "100 bytes per second are released, 10 are requested: {shortest:?} to {longest:?}"
    );
}

/// For any sequence of requests and releases, the bytes held are those granted and not released, and never
/// exceed the budget.
#[test]
fn held_bytes_never_exceed_the_budget() {
    for seed in 0..200 {
        let steps: Vec<(u8, u8, u8)> = Arbitrary::arbitrary(&mut Gen::from_size_and_seed(300, seed));
        let (mut budget, mut now, mut grants) = (budget(), ms(0), Vec::new());
        for (step_kind, volume, size) in steps {
            let (volume, bytes) = (usize::from(volume % 5), u64::from(size) + 1);
            let share = VolumeShare { weight: 1.0 + volume as f64, reserve: [0.0, 50.0][volume % 2] };
            match step_kind % 4 {
                0 | 1 => {
                    if budget.request(now, volume, share, bytes, 0.5) == Admission::Granted {
                        grants.push((volume, bytes));
                    }
                }
                2 if !grants.is_empty() => {
                    let (volume, bytes) = grants.swap_remove(usize::from(size) % grants.len());
                    budget.release(now, volume, bytes);
                }
                _ => now += ms(u64::from(size) * 4),
            }
            let held: u64 = grants.iter().map(|(_, bytes)| bytes).sum();
            assert!(held == budget.held_bytes() && held <= MAX_BYTES, "seed {seed}: {held}");
        }
    }
}
