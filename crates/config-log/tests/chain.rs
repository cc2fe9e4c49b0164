//! A chain of opaque bodies on a disk that crashes or fails at every step.

use std::collections::VecDeque;

use umbertray_config_log::chain::{
    self, ChainError, Checkpoint, Corruption, HashChain, LogFormat, OpenedLog,
};
use umbertray_config_log::segment::CHANGES;
use umbertray_snapshot::Storage;
use umbertray_snapshot::sim::{SimulatedDisk, StorageFault};

const KEPT: LogFormat =
    LogFormat { magic: b"UMBKPT", prefix: "kept-", suffix: ".seg", temporary: "kept.new" };

/// Segments of a few bodies each.
const GROWN: usize = 200;

type Bodies = Vec<Vec<u8>>;

/// No text, and of many lengths, none among them.
fn body(n: usize) -> Vec<u8> {
    vec![0xFF - n as u8; n * 7 % 40]
}

fn bodies(count: usize) -> Bodies {
    (0..count).map(body).collect()
}

/// The state is all that was appended.
fn checkpoint(all: &Bodies) -> Checkpoint {
    (serde_json::to_vec(all).expect("plain"), VecDeque::new())
}

fn open(disk: &SimulatedDisk) -> Result<(HashChain, Bodies), ChainError> {
    let empty = || checkpoint(&Bodies::new()).0;
    let (mut chain, OpenedLog { header: head, entries }) =
        HashChain::open(Box::new(disk.clone()), &KEPT, GROWN, empty)?;
    let mut all: Bodies = serde_json::from_slice(&head.checkpoint).expect("a state");
    all.extend(entries.into_iter().map(|entry: chain::Entry| entry.body));
    chain.recover(|| checkpoint(&all))?;
    assert_eq!(chain.version(), all.len() as u64);
    Ok((chain, all))
}

/// Appends until there are so many or the disk fails; how many are known to be there.
fn append_to(disk: &SimulatedDisk, count: usize) -> usize {
    let Ok((mut chain, mut all)) = open(disk) else { return 0 };
    while all.len() < count && chain.append(body(all.len()), || checkpoint(&all)).is_ok() {
        all.push(body(all.len()));
    }
    all.len()
}

/// What is there is all that was acknowledged, in order, perhaps with what was being written; it goes on from there.
fn check(found: &SimulatedDisk, done: usize, count: usize) {
    let (chain, all) = open(found).expect("whole");
    drop(chain);
    assert!(all.len() == done || all.len() == done + 1, "{done} done, {} found", all.len());
    assert_eq!(all, bodies(all.len()));
    assert_eq!(append_to(found, count), count);
    assert_eq!(open(found).expect("whole").1, bodies(count));
}

#[test]
fn after_trouble_at_any_step_what_was_acknowledged_is_there_in_order_and_nothing_else() {
    let whole = SimulatedDisk::default();
    assert_eq!(append_to(&whole, 30), 30);
    let segments = chain::segments(&whole, &KEPT).expect("there");
    assert!(segments.len() > 3 && chain::segments(&whole, &CHANGES).expect("there").is_empty());
    for step in 1..=whole.steps() {
        for seed in 0..4 {
            let disk = SimulatedDisk::default();
            disk.inject_fault(step, StorageFault::Crash);
            let done = append_to(&disk, 30);
            let found = disk.after_crash(seed * 1000 + step);
            // The next opening, which may have to cut a torn end, meets a crash too.
            found.inject_fault(1 + seed, StorageFault::Crash);
            let again = append_to(&found, done + 1).max(done);
            check(&found.after_crash(seed), again, 40);
        }
        let disk = SimulatedDisk::default();
        disk.inject_fault(step, StorageFault::Fail);
        let done = append_to(&disk, 30);
        check(&disk, done, 40);
    }
}

#[test]
fn nothing_is_appended_after_a_failed_write_or_before_what_was_found_is_settled() {
    let disk = SimulatedDisk::default();
    let (mut chain, all) = open(&disk).expect("a folder");
    disk.inject_fault(disk.steps() + 1, StorageFault::Fail);
    let none = || checkpoint(&Bodies::new());
    assert!(chain.append(body(1), none).is_err());
    let steps = disk.steps();
    for refused in [chain.append(body(1), none).err(), chain.roll(none().0, none().1).err()] {
        let told = refused.map(|error| error.to_string());
        assert_eq!(told.as_deref(), Some("an earlier write failed; open the log again"));
    }
    drop(chain);
    assert!(all.is_empty());
    let opened: Result<(HashChain, OpenedLog), _> =
        HashChain::open(Box::new(disk.clone()), &KEPT, GROWN, Vec::new);
    let (mut chain, _) = opened.expect("whole");
    assert!(chain.append(body(1), none).is_err());
    assert_eq!(disk.steps(), steps, "nothing was written");
    chain.recover(none).expect("the disk works again");
    chain.append(body(1), none).expect("settled");
}

#[test]
fn a_log_of_another_kind_is_told() {
    let mut disk = SimulatedDisk::default();
    append_to(&disk, 1);
    let bytes = disk.read(&KEPT.file_name(0), GROWN).expect("there");
    disk.write(&CHANGES.file_name(0), &bytes).expect("no trouble");
    let read = chain::read_segment::<chain::Entry>(&disk, &CHANGES, 0);
    assert!(matches!(read.err(), Some(ChainError::Broken { why: Corruption::NotALog, .. })));
}
