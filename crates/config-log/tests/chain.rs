//! Tests of a hash chain of opaque bodies on a disk that crashes or fails at every step.

use std::collections::VecDeque;

use umbertray_config_log::chain::{
    self, ChainError, Checkpoint, Corruption, HashChain, LogFormat, OpenedLog,
};
use umbertray_config_log::segment::CHANGES;
use umbertray_snapshot::Storage;
use umbertray_snapshot::sim::{SimulatedDisk, StorageFault};

const TEST_FORMAT: LogFormat =
    LogFormat { magic: b"UMBKPT", prefix: "kept-", suffix: ".seg", temporary_name: "kept.new" };

/// Size of a segment, bytes. Small, so that each segment holds only a few bodies.
const MAX_SEGMENT_BYTES: usize = 200;

type Bodies = Vec<Vec<u8>>;

/// A body of bytes that are not text. The lengths vary and include zero.
fn body(n: usize) -> Vec<u8> {
    vec![0xFF - n as u8; n * 7 % 40]
}

fn bodies(count: usize) -> Bodies {
    (0..count).map(body).collect()
}

/// The state in these tests is the list of all appended bodies.
fn checkpoint(all: &Bodies) -> Checkpoint {
    (serde_json::to_vec(all).expect("serializable"), VecDeque::new())
}

fn open(disk: &SimulatedDisk) -> Result<(HashChain, Bodies), ChainError> {
    let empty = || checkpoint(&Bodies::new()).0;
    let (mut chain, OpenedLog { header, entries }) =
        HashChain::open(Box::new(disk.clone()), &TEST_FORMAT, MAX_SEGMENT_BYTES, empty)?;
    let mut all: Bodies = serde_json::from_slice(&header.checkpoint).expect("a state");
    all.extend(entries.into_iter().map(|entry: chain::Entry| entry.body));
    chain.recover(|| checkpoint(&all))?;
    assert_eq!(chain.version(), all.len() as u64);
    Ok((chain, all))
}

/// Appends until there are `count` bodies or the disk fails. Returns the number of acknowledged bodies.
fn append_to(disk: &SimulatedDisk, count: usize) -> usize {
    let Ok((mut chain, mut all)) = open(disk) else { return 0 };
    while all.len() < count && chain.append(body(all.len()), || checkpoint(&all)).is_ok() {
        all.push(body(all.len()));
    }
    all.len()
}

/// Checks that the disk holds all acknowledged bodies in order, possibly followed by the one that was being
/// written, and that appending continues to work.
fn check_disk(disk: &SimulatedDisk, acknowledged: usize, count: usize) {
    let (chain, all) = open(disk).expect("an intact log");
    drop(chain);
    assert!(
        all.len() == acknowledged || all.len() == acknowledged + 1,
        "{acknowledged} acknowledged, {} found",
        all.len()
    );
    assert_eq!(all, bodies(all.len()));
    assert_eq!(append_to(disk, count), count);
    assert_eq!(open(disk).expect("an intact log").1, bodies(count));
}

#[test]
fn fault_at_any_step_keeps_acknowledged_bodies_in_order_and_nothing_else() {
    let whole = SimulatedDisk::default();
    assert_eq!(append_to(&whole, 30), 30);
    let segments = chain::segments(&whole, &TEST_FORMAT).expect("readable");
    assert!(segments.len() > 3 && chain::segments(&whole, &CHANGES).expect("readable").is_empty());
    for step in 1..=whole.steps() {
        for seed in 0..4 {
            let disk = SimulatedDisk::default();
            disk.inject_fault(step, StorageFault::Crash);
            let acknowledged = append_to(&disk, 30);
            let restarted = disk.after_crash(seed * 1000 + step);
            // The disk crashes again while the log is opened, which may include truncating a torn end.
            restarted.inject_fault(1 + seed, StorageFault::Crash);
            let again = append_to(&restarted, acknowledged + 1).max(acknowledged);
            check_disk(&restarted.after_crash(seed), again, 40);
        }
        let disk = SimulatedDisk::default();
        disk.inject_fault(step, StorageFault::Fail);
        let acknowledged = append_to(&disk, 30);
        check_disk(&disk, acknowledged, 40);
    }
}

#[test]
fn append_after_failed_write_or_before_recovery_is_refused() {
    let disk = SimulatedDisk::default();
    let (mut chain, all) = open(&disk).expect("a folder");
    disk.inject_fault(disk.steps() + 1, StorageFault::Fail);
    let none = || checkpoint(&Bodies::new());
    assert!(chain.append(body(1), none).is_err());
    let steps = disk.steps();
    for rejected in [chain.append(body(1), none).err(), chain.roll(none().0, none().1).err()] {
        let message = rejected.map(|error| error.to_string());
        assert_eq!(message.as_deref(), Some("an earlier write failed; open the log again"));
    }
    drop(chain);
    assert!(all.is_empty());
    let opened: Result<(HashChain, OpenedLog), _> =
        HashChain::open(Box::new(disk.clone()), &TEST_FORMAT, MAX_SEGMENT_BYTES, Vec::new);
    let (mut chain, _) = opened.expect("an intact log");
    assert!(chain.append(body(1), none).is_err());
    assert_eq!(disk.steps(), steps, "nothing was written");
    chain.recover(none).expect("the disk works again");
    chain.append(body(1), none).expect("recovered");
}

#[test]
fn log_of_another_format_is_reported() {
    let mut disk = SimulatedDisk::default();
    append_to(&disk, 1);
    let bytes = disk.read(&TEST_FORMAT.file_name(0), MAX_SEGMENT_BYTES).expect("readable");
    disk.write(&CHANGES.file_name(0), &bytes).expect("no injected fault");
    let read = chain::read_segment::<chain::Entry>(&disk, &CHANGES, 0);
    assert!(matches!(read.err(), Some(ChainError::Broken { reason: Corruption::NotALog, .. })));
}
