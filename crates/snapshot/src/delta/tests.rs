//! A reader of any sequence of deltas never has more reserved tokens than the gateway kept.

use quickcheck::{Gen, QuickCheck};

use super::*;

fn stamp(n: u64) -> Stamp {
    Stamp { wall: n, boot: 7, since_boot: n }
}

/// A snapshot of a few volumes and stores. Each word determines whether its volume and store are present, and
/// their values.
fn generated(words: &[u32]) -> Snapshot {
    let value = |word: u32| f64::from(word % 50) / 7.0;
    let is_present = |word: &u32| !word.is_multiple_of(3);
    let volumes =
        words.iter().zip(0..).filter(|(word, _)| is_present(word)).map(|(word, volume)| VolumeRecord {
            volume,
            rate: value(word >> 4),
            reported_rate: value(word >> 8),
            reserved_tokens: value(word >> 12),
        });
    let stores = words.iter().zip(0..).filter(|(word, _)| is_present(&(*word >> 3))).map(|(word, store)| {
        let learned = LearnedValues {
            latency: value(word >> 16),
            concurrency_limit: value(word >> 20),
            virtual_times: vec![(1, value(word >> 24))],
        };
        StoreRecord {
            store,
            address: ([127, 0, 0, 1], 1).into(),
            shard: 0,
            zone: 0,
            state: (word % 2) as u8,
            incarnation: u64::from(word >> 30),
            learned_values: (!word.is_multiple_of(5)).then_some(learned),
        }
    });
    let stores = stores.collect();
    Snapshot { stores, volumes: volumes.collect(), promise_duration: Duration::from_secs(2) }
}

/// After any number of deltas, a reader has no more reserved tokens than were kept, and all other values are
/// close.
#[test]
fn reader_of_deltas_never_reserves_more_and_stays_near() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands over what it generates")]
    fn holds(history: Vec<Vec<u32>>) -> bool {
        let mut current =
            CurrentSnapshot::new(StampedSnapshot { taken_at: stamp(0), state: Snapshot::default() });
        history.iter().zip(1..).all(|(words, n)| {
            let mut words = words.clone();
            words.truncate(12);
            let now = generated(&words);
            current.apply(current.delta_to(stamp(n), now.clone()));
            let read = current.clone().into_stamped_snapshot();
            let volumes_match = read.state.volumes.iter().zip(&now.volumes).all(|(read, now)| {
                let rates_are_near = is_near(read.rate, now.rate, RATE_TOLERANCE)
                    && is_near(read.reported_rate, now.reported_rate, RATE_TOLERANCE);
                read.volume == now.volume
                    && rates_are_near
                    && read.reserved_tokens <= now.reserved_tokens
                    && now.reserved_tokens <= read.reserved_tokens * RESERVED_TOKENS_GROWTH
            });
            let stores_match = read.state.stores.iter().zip(&now.stores).all(|(read, now)| {
                let learned_values = |store: &StoreRecord| {
                    store.learned_values.as_ref().map(|l| (l.latency, l.concurrency_limit))
                };
                let learned_is_near = match (learned_values(read), learned_values(now)) {
                    (Some(one), Some(other)) => is_near(one.0, other.0, 0.0) && is_near(one.1, other.1, 0.0),
                    (one, other) => one == other,
                };
                (read.store, read.state, read.incarnation) == (now.store, now.state, now.incarnation)
                    && learned_is_near
            });
            let counts = (read.state.volumes.len(), read.state.stores.len());
            read.taken_at == stamp(n)
                && volumes_match
                && stores_match
                && counts == (now.volumes.len(), now.stores.len())
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 1))
        .tests(500)
        .quickcheck(holds as fn(Vec<Vec<u32>>) -> bool);
}

#[test]
fn unchanged_state_gives_empty_delta_and_renews_promise() {
    let words: Vec<u32> = (0..100).map(|n| n * 0x0123_4567).collect();
    let mut current = CurrentSnapshot::new(StampedSnapshot { taken_at: stamp(1), state: generated(&words) });
    let delta = current.delta_to(stamp(2), generated(&words));
    assert!(delta.stores.set.is_empty() && delta.volumes.set.is_empty() && delta.volumes.removed.is_empty());
    current.apply(delta);
    assert_eq!(
        current.into_stamped_snapshot(),
        StampedSnapshot { taken_at: stamp(2), state: generated(&words) }
    );
}
