//! Fair shares of the byte budget, and its bound under generated sequences.

use quickcheck::{Arbitrary, Gen};

use super::*;

const MOST: u64 = 1000;

fn plain(weight: f64) -> VolumeShare {
    VolumeShare { weight, reserve: 0.0 }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn budget() -> ByteBudget {
    ByteBudget::new(MOST, ms(1000))
}

/// Requests until rejected; returns how many bytes were granted.
fn fill(budget: &mut ByteBudget, now: Duration, volume: usize, claim: VolumeShare) -> u64 {
    let mut held = 0;
    while budget.request(now, volume, claim, 10, 0.5) == Admission::Granted {
        held += 10;
    }
    held
}

#[test]
fn flooding_volume_leaves_other_volumes_their_share() {
    let mut budget = budget();
    assert_eq!(budget.request(ms(0), 1, plain(1.0), 10, 0.5), Admission::Granted);
    assert_eq!(budget.request(ms(0), 2, plain(3.0), 10, 0.5), Admission::Granted);
    let flood = fill(&mut budget, ms(1), 0, plain(1.0));
    assert_eq!(flood, 480, "what was open, and more than its fifth of what is kept");
    assert_eq!(fill(&mut budget, ms(2), 2, plain(3.0)), 290, "three fifths of 500, ten of them held before");
    assert_eq!(fill(&mut budget, ms(2), 1, plain(1.0)), 90);
    assert!(budget.held_bytes() <= MOST);
    // A volume that is new has a share at once.
    assert!(fill(&mut budget, ms(3), 7, plain(1.0)) >= 80);
}

#[test]
fn single_request_of_half_the_budget_is_granted() {
    let mut budget = budget();
    for other in 1..9 {
        assert_eq!(budget.request(ms(0), other, plain(1.0), 1, 0.5), Admission::Granted);
        budget.release(ms(0), other, 1);
    }
    assert_eq!(budget.request(ms(1), 0, plain(1.0), MOST / 2, 0.5), Admission::Granted);
}

#[test]
fn reserved_volume_is_granted_before_heavier_weight() {
    let mut budget = budget();
    let reserved = VolumeShare { weight: 1.0, reserve: 100.0 };
    assert_eq!(budget.request(ms(0), 1, reserved, 10, 0.5), Admission::Granted);
    fill(&mut budget, ms(1), 0, plain(9.0));
    assert_eq!(
        fill(&mut budget, ms(2), 1, reserved),
        260,
        "half of 500 and a tenth of the other half, less ten"
    );
}

#[test]
fn rejected_requests_get_spread_retry_after_from_release_rate() {
    let mut budget = budget();
    fill(&mut budget, ms(0), 0, plain(1.0));
    let retry_after =
        |budget: &mut ByteBudget, chance| match budget.request(ms(1000), 0, plain(1.0), 10, chance) {
            Admission::Rejected { retry_after } => retry_after,
            Admission::Granted => panic!("it is full"),
        };
    assert_eq!(retry_after(&mut budget, 0.5), ms(1000), "nothing is given back: the longest");
    budget.release(ms(1000), 0, 100);
    fill(&mut budget, ms(1000), 0, plain(1.0));
    let (least, most) = (retry_after(&mut budget, 0.0), retry_after(&mut budget, 1.0));
    assert!(
        least < ms(100) && most > least * 2,
        "a hundred bytes a second, ten wanted: {least:?} to {most:?}"
    );
}

/// Whatever is requested and released, the bytes held are what was granted and never more than the budget.
#[test]
fn held_bytes_never_exceed_the_budget() {
    for seed in 0..200 {
        let steps: Vec<(u8, u8, u8)> = Arbitrary::arbitrary(&mut Gen::from_size_and_seed(300, seed));
        let (mut budget, mut now, mut holds) = (budget(), ms(0), Vec::new());
        for (what, volume, size) in steps {
            let (volume, bytes) = (usize::from(volume % 5), u64::from(size) + 1);
            let claim = VolumeShare { weight: 1.0 + volume as f64, reserve: [0.0, 50.0][volume % 2] };
            match what % 4 {
                0 | 1 => {
                    if budget.request(now, volume, claim, bytes, 0.5) == Admission::Granted {
                        holds.push((volume, bytes));
                    }
                }
                2 if !holds.is_empty() => {
                    let (volume, bytes) = holds.swap_remove(usize::from(size) % holds.len());
                    budget.release(now, volume, bytes);
                }
                _ => now += ms(u64::from(size) * 4),
            }
            let held: u64 = holds.iter().map(|(_, bytes)| bytes).sum();
            assert!(held == budget.held_bytes() && held <= MOST, "seed {seed}: {held}");
        }
    }
}
