//! Tests of opening change logs that are damaged or edited.

use umbertray_config_log::follow::{FollowError, Follower};
use umbertray_config_log::log::{self, Log, LogError};
use umbertray_config_log::segment::Corruption;

use crate::{disk_with_segment, one_segment};

#[test]
fn edited_log_is_reported_and_torn_tail_is_cut() {
    let good = one_segment();
    for at in (0..good.len() - 1).step_by(3) {
        let mut flipped = good.clone();
        flipped[at] ^= 1 << (at % 8);
        let disk = disk_with_segment(&flipped);
        match Log::open(Box::new(disk.clone()), 1 << 20) {
            Err(LogError::Broken { .. }) => {}
            // Damage may be treated as a torn write only in the last change or the marker after it.
            Ok(log) => {
                assert!(
                    log.head().number >= 9 && log.torn_bytes > 0,
                    "bit in byte {at}: {}",
                    log.head().number
                );
            }
            Err(error) => panic!("{error}"),
        }
    }
    for cut in (0..good.len()).rev().step_by(7) {
        let disk = disk_with_segment(&good[..cut]);
        if let Ok(log) = Log::open(Box::new(disk.clone()), 1 << 20) {
            let head = log.head().number;
            drop(log);
            assert_eq!(log::verify(&disk).expect("intact after recovery"), head, "cut at {cut}");
            // A follower that applied a later version reports this and does not return to an older one.
            let applied = Some((10, [7; 32]));
            let followed = Follower::open(&disk, applied).map(|follower| follower.replica.version.number);
            assert!(
                matches!(
                    followed,
                    Err(FollowError::LogOlder { .. }
                        | FollowError::DivergentHistory(10)
                        | FollowError::NoLog)
                ),
                "cut at {cut}: {followed:?}"
            );
        }
    }
}

/// The bytes of each record of a segment.
fn records(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut rest = &bytes[8..];
    let mut all = Vec::new();
    while !rest.is_empty() {
        let length = u32::from_le_bytes(*rest.first_chunk().expect("a length")) as usize;
        let (record, after) = rest.split_at(8 + length);
        all.push(record.to_vec());
        rest = after;
    }
    all
}

#[test]
fn records_left_out_swapped_or_repeated_break_the_chain() {
    let good = one_segment();
    let records = records(&good);
    // A header, then a change and a marker for each version.
    assert_eq!(records.len(), 1 + 2 * 10);
    let joined = |order: &[usize]| {
        let mut bytes = good[..8].to_vec();
        order.iter().for_each(|n| bytes.extend(&records[*n]));
        bytes
    };
    let all: Vec<usize> = (0..records.len()).collect();
    let mut omitted = all.clone();
    omitted.remove(7);
    let mut swapped = all.clone();
    swapped.swap(7, 9);
    let mut repeated = all.clone();
    repeated.insert(8, 7);
    for order in [omitted, swapped, repeated] {
        let opened = Log::open(Box::new(disk_with_segment(&joined(&order))), 1 << 20);
        assert!(matches!(opened, Err(LogError::Broken { reason: Corruption::BrokenChain(_), .. })));
    }
    let mut newer = good.clone();
    newer[6] = 9;
    let opened = Log::open(Box::new(disk_with_segment(&newer)), 1 << 20);
    assert!(matches!(opened, Err(LogError::Broken { reason: Corruption::NewerFormat(9), .. })));
}
