//! Tests of a copy of the log on a disk that crashes or fails at every step, and of a replica that applies
//! updates.

use serde_json::json;
use umbertray_config_log::change::Change;
use umbertray_config_log::log::Log;
use umbertray_config_log::model::{Configuration, Edit, Key, Kind};
use umbertray_config_log::segment::Corruption;
use umbertray_config_log::{FolderReader, LogCopy, Replica, Update};
use umbertray_snapshot::Storage;
use umbertray_snapshot::sim::{SimulatedDisk, StorageFault};

const SHARED: &str = r#"
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1")
op_type("get", target_latency = 0.5, op_timeout = 3.0, utility = 2)
request(["read", "status", "write", "zero", "trim", "flush"], op_type = "get")
plan("p", rate = 1000)
volume("v", size = 1 * MiB, plan = "p")
"#;

fn commit(log: &mut Log, edits: Vec<Edit>) {
    let base = log.head().number;
    let (id, actor, reason) = (format!("c{base}"), "ann".into(), "to see".into());
    log.commit(Change { id, base, actor, reason, at: 0, edits, allow: Vec::new() }).expect("a valid change");
}

/// The updates of a log with this many versions, beginning with a checkpoint.
fn updates(versions: u64) -> Vec<Update> {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 1 << 20).expect("a folder");
    let document = umbertray_config::read("shared.star", SHARED.into()).expect("a valid script");
    commit(&mut log, Configuration::default().diff(&Configuration::from_calls(&document.calls())));
    for weight in 2..=versions {
        let (key, field) = (Key::new(Kind::Plan, "p"), "weight".into());
        commit(&mut log, vec![Edit::Set { key, field, value: json!(weight as f64) }]);
    }
    FolderReader::open(&disk).expect("an intact log").1
}

/// Appends all updates to the copy, which ignores those that it has. Returns the last version that was
/// acknowledged.
fn copy_updates(disk: &SimulatedDisk, all: &[Update]) -> u64 {
    let Ok((mut copy, mut state)) = LogCopy::open(Box::new(disk.clone())) else { return 0 };
    let mut copied = state.as_ref().map_or(0, |state| state.version.number);
    for update in all {
        if copy.append(update, state.as_ref()).is_err() {
            return copied;
        }
        match &mut state {
            Some(state) => _ = state.apply(update).expect("the next update"),
            None => {
                let Update::Checkpoint(header) = update else { panic!("a checkpoint comes first") };
                state = Some(Replica::from_header(header).expect("a valid checkpoint"));
            }
        }
        copied = update.version();
    }
    copied
}

/// The newest state in the copy, if any.
fn copied_state(disk: &SimulatedDisk) -> Option<Replica> {
    LogCopy::open(Box::new(disk.clone())).expect("an intact log").1
}

#[test]
fn fault_at_any_step_keeps_copied_updates_and_copy_goes_on() {
    let all = updates(9);
    let (whole, last) =
        (SimulatedDisk::default(), all.last().map(|update| (update.version(), update.hash())));
    assert_eq!(copy_updates(&whole, &all), 9);
    for step in 1..=whole.steps() {
        for seed in 0..4 {
            let disk = SimulatedDisk::default();
            disk.inject_fault(step, StorageFault::Crash);
            let copied = copy_updates(&disk, &all);
            let after = disk.after_crash(seed * 1000 + step);
            let number = copied_state(&after).map_or(0, |state| state.version.number);
            assert!(number >= copied, "step {step}: {copied} copied, {number} found");
            assert_eq!(copy_updates(&after, &all), 9, "step {step}");
            let end = copied_state(&after).map(|state| (state.version.number, state.hash));
            assert_eq!(end, last, "step {step}");
        }
        let disk = SimulatedDisk::default();
        disk.inject_fault(step, StorageFault::Fail);
        let copied = copy_updates(&disk, &all);
        assert!(copied_state(&disk).map_or(0, |state| state.version.number) >= copied, "step {step}");
        assert_eq!(copy_updates(&disk, &all), 9, "step {step}");
    }
}

#[test]
fn copy_holds_one_segment_and_is_followed_like_the_log() {
    let all = updates(40);
    let disk = SimulatedDisk::default();
    assert_eq!(copy_updates(&disk, &all), 40);
    // A later checkpoint replaces everything in the copy.
    let (mut copy, state) = LogCopy::open(Box::new(disk.clone())).expect("an intact log");
    let state = state.expect("forty versions");
    let header = umbertray_config_log::segment::SegmentHeader {
        version: 50,
        hash: [7; 32],
        checkpoint: state.version.configuration.to_bytes(),
        completed: Default::default(),
    };
    copy.append(&Update::Checkpoint(header), Some(&state)).expect("the disk works");
    drop(copy);
    let segments = disk.names().expect("readable").iter().filter(|name| name.starts_with("changes-")).count();
    assert_eq!(segments, 1);
    let (_, followed) = FolderReader::open(&disk).expect("an intact log");
    assert_eq!(followed.last().map(|update| (update.version(), update.hash())), Some((50, [7; 32])));
    assert_eq!(copied_state(&disk).map(|state| state.hash), Some([7; 32]));
}

/// Updates that do not follow the current version or were applied before are not applied and change nothing.
#[test]
fn replica_applies_next_update_and_nothing_else() {
    let all = updates(5);
    let (Update::Checkpoint(header), entries) = (&all[0], &all[1..]) else {
        panic!("a checkpoint comes first")
    };
    let mut state = Replica::from_header(header).expect("a valid checkpoint");
    for (index, update) in entries.iter().enumerate() {
        let Update::Entry(entry) = update else { panic!("entries follow") };
        let before = (state.version.number, state.hash);
        let mut invalid = vec![umbertray_config_log::chain::Entry { hash: [1; 32], ..entry.clone() }];
        invalid.push(umbertray_config_log::chain::Entry { body: b"{}".to_vec(), ..entry.clone() });
        if let Some(Update::Entry(skipped)) = entries.get(index + 1) {
            invalid.push(skipped.clone());
        }
        for entry in invalid {
            assert!(matches!(state.apply(&Update::Entry(entry)), Err(Corruption::BrokenChain(_))));
            assert_eq!((state.version.number, state.hash), before);
        }
        assert!(state.apply(update).expect("the next update").is_some());
        assert!(state.apply(update).expect("an applied update").is_none());
        assert_eq!((state.version.number, state.hash), (entry.version, entry.hash));
    }
    // A checkpoint of the current version with another hash is rejected. An older checkpoint is ignored.
    let other = umbertray_config_log::segment::SegmentHeader { version: 5, hash: [9; 32], ..header.clone() };
    assert!(matches!(state.apply(&Update::Checkpoint(other)), Err(Corruption::BrokenChain(5))));
    assert!(state.apply(&all[0]).expect("an older checkpoint").is_none());
    assert_eq!(state.version.number, 5);
}
