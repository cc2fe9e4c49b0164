//! A crash or a failure at every step.

use serde_json::json;
use umbertray_config_log::follow::Follower;
use umbertray_config_log::log::{self, Log};
use umbertray_config_log::model::Kind;
use umbertray_snapshot::sim::{SimulatedDisk, StorageFault};

use crate::{change, import, set, start};

/// Commits until the disk fails; the last version that was acknowledged.
fn commit_all(disk: &SimulatedDisk, from: u32, count: u32) -> u64 {
    let Ok(mut log) = Log::open(Box::new(disk.clone()), 700) else { return 0 };
    let mut done = log.head().number;
    if done == 0 {
        let edits = log.head().configuration.diff(&start());
        done = log.commit(change("import", 0, edits)).map_or(0, |committed| committed.version);
    }
    for n in from..from + count {
        let edit = set(Kind::Plan, "p0", "weight", json!(f64::from(n)));
        match log.commit(change(&format!("c{n}"), done, vec![edit])) {
            Ok(committed) => done = committed.version,
            Err(_) => break,
        }
    }
    done
}

#[test]
fn crash_at_any_step_keeps_committed_changes_and_no_gateway_was_ahead() {
    let whole = SimulatedDisk::default();
    assert_eq!(commit_all(&whole, 1, 9), 10);
    for step in 1..=whole.steps() {
        for seed in 0..4 {
            let disk = SimulatedDisk::default();
            disk.inject_fault(step, StorageFault::Crash);
            let done = commit_all(&disk, 1, 9);
            // What a gateway reads through the same page cache when the machine is about to stop.
            let acted = Follower::open(&disk.visible_at_crash(), None)
                .map_or(0, |follower| follower.replica.version.number);
            let restarted = disk.after_crash(seed * 1000 + step);
            let log = Log::open(Box::new(restarted.clone()), 700).expect("a log after a crash");
            let head = log.head().number;
            assert!(head == done || head == done + 1, "step {step}: {done} done, {head} found");
            assert!(acted <= head, "step {step}: acted on {acted}, {head} is left");
            drop(log);
            assert_eq!(log::verify(&restarted).expect("whole"), head);
            let follower =
                Follower::open(&restarted, None).map_or(0, |follower| follower.replica.version.number);
            assert_eq!(follower, head, "step {step}: all is marked safe once a writer has been there");
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
        let done = commit_all(&disk, 1, 9);
        let mut log = Log::open(Box::new(disk.clone()), 700).expect("the disk works again");
        assert!(log.head().number >= done);
        if log.head().number == 0 {
            import(&mut log);
        }
        for n in 1..=9u32 {
            let edit = set(Kind::Plan, "p0", "weight", json!(f64::from(n)));
            // The base that it was sent with, whatever has become of it.
            log.commit(change(&format!("c{n}"), u64::from(n), vec![edit])).expect("done, or done before");
        }
        assert_eq!(log.head().number, 10, "step {step}");
    }
}
