//! Tests of the change log on a disk that crashes or fails at every step.

use serde_json::json;
use umbertray_config_log::follow::Follower;
use umbertray_config_log::log::{self, Log};
use umbertray_config_log::model::Kind;
use umbertray_snapshot::sim::{SimulatedDisk, StorageFault};

use crate::{change, import, set, start};

/// Commits changes until the disk fails. Returns the last version that was acknowledged.
fn commit_all(disk: &SimulatedDisk, from: u32, count: u32) -> u64 {
    let Ok(mut log) = Log::open(Box::new(disk.clone()), 700) else { return 0 };
    let mut last_committed = log.head().number;
    if last_committed == 0 {
        let edits = log.head().configuration.diff(&start());
        last_committed = log.commit(change("import", 0, edits)).map_or(0, |committed| committed.version);
    }
    for n in from..from + count {
        let edit = set(Kind::Plan, "p0", "weight", json!(f64::from(n)));
        match log.commit(change(&format!("c{n}"), last_committed, vec![edit])) {
            Ok(committed) => last_committed = committed.version,
            Err(_) => break,
        }
    }
    last_committed
}

#[test]
fn crash_at_any_step_keeps_committed_changes_and_no_gateway_was_ahead() {
    let whole = SimulatedDisk::default();
    assert_eq!(commit_all(&whole, 1, 9), 10);
    for step in 1..=whole.steps() {
        for seed in 0..4 {
            let disk = SimulatedDisk::default();
            disk.inject_fault(step, StorageFault::Crash);
            let last_committed = commit_all(&disk, 1, 9);
            // The version that a gateway can read through the same page cache just before the crash.
            let applied = Follower::open(&disk.visible_at_crash(), None)
                .map_or(0, |follower| follower.replica.version.number);
            let restarted = disk.after_crash(seed * 1000 + step);
            let log = Log::open(Box::new(restarted.clone()), 700).expect("a log after a crash");
            let head = log.head().number;
            assert!(
                head == last_committed || head == last_committed + 1,
                "step {step}: {last_committed} committed, {head} found"
            );
            assert!(applied <= head, "step {step}: a gateway applied {applied}, {head} is left");
            drop(log);
            assert_eq!(log::verify(&restarted).expect("an intact log"), head);
            let follower =
                Follower::open(&restarted, None).map_or(0, |follower| follower.replica.version.number);
            assert_eq!(follower, head, "step {step}: a writer that opens the log marks all of it as synced");
            assert_eq!(commit_all(&restarted, 100, 3).max(head), head.max(1) + 3);
        }
    }
}

#[test]
fn failed_step_never_reports_committed_and_retried_change_is_committed_once() {
    let whole = SimulatedDisk::default();
    commit_all(&whole, 1, 9);
    for step in 1..=whole.steps() {
        let disk = SimulatedDisk::default();
        disk.inject_fault(step, StorageFault::Fail);
        let last_committed = commit_all(&disk, 1, 9);
        let mut log = Log::open(Box::new(disk.clone()), 700).expect("the disk works again");
        assert!(log.head().number >= last_committed);
        if log.head().number == 0 {
            import(&mut log);
        }
        for n in 1..=9u32 {
            let edit = set(Kind::Plan, "p0", "weight", json!(f64::from(n)));
            // Sent again with its original base, whether or not it was committed before.
            log.commit(change(&format!("c{n}"), u64::from(n), vec![edit])).expect("committed now or before");
        }
        assert_eq!(log.head().number, 10, "step {step}");
    }
}
