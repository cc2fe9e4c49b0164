//! A copy of the log, on a disk that crashes or fails at every step; and what acts on what it is told.

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
    log.commit(Change { id, base, actor, reason, at: 0, edits, allow: Vec::new() }).expect("right");
}

/// What is told of a log of so many versions, beginning with its state at the first.
fn told(versions: u64) -> Vec<Update> {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 1 << 20).expect("a folder");
    let document = umbertray_config::read("shared.star", SHARED.into()).expect("right");
    commit(&mut log, Configuration::default().diff(&Configuration::of_calls(&document.calls())));
    for weight in 2..=versions {
        let (key, field) = (Key::new(Kind::Plan, "p"), "weight".into());
        commit(&mut log, vec![Edit::Set { key, field, value: json!(weight as f64) }]);
    }
    FolderReader::open(&disk).expect("whole").1
}

/// Keeps all of it, from where the copy is; up to which version it is known to be kept, and whether all went well.
fn keep(disk: &SimulatedDisk, all: &[Update]) -> u64 {
    let Ok((mut mirror, mut state)) = LogCopy::open(Box::new(disk.clone())) else { return 0 };
    let mut kept = state.as_ref().map_or(0, |state| state.version.number);
    for told in all {
        if mirror.append(told, state.as_ref()).is_err() {
            return kept;
        }
        match &mut state {
            Some(state) => _ = state.apply(told).expect("it follows"),
            None => {
                let Update::Checkpoint(head) = told else { panic!("a state comes first") };
                state = Some(Replica::from_header(head).expect("right"));
            }
        }
        kept = told.version();
    }
    kept
}

fn found(disk: &SimulatedDisk) -> Option<Replica> {
    LogCopy::open(Box::new(disk.clone())).expect("whole").1
}

#[test]
fn after_trouble_at_any_step_a_copy_has_what_was_kept_and_goes_on() {
    let all = told(9);
    let (whole, last) = (SimulatedDisk::default(), all.last().map(|told| (told.version(), told.hash())));
    assert_eq!(keep(&whole, &all), 9);
    for step in 1..=whole.steps() {
        for seed in 0..4 {
            let disk = SimulatedDisk::default();
            disk.inject_fault(step, StorageFault::Crash);
            let kept = keep(&disk, &all);
            let after = disk.after_crash(seed * 1000 + step);
            let number = found(&after).map_or(0, |state| state.version.number);
            assert!(number >= kept, "step {step}: {kept} kept, {number} found");
            assert_eq!(keep(&after, &all), 9, "step {step}");
            let end = found(&after).map(|state| (state.version.number, state.hash));
            assert_eq!(end, last, "step {step}");
        }
        let disk = SimulatedDisk::default();
        disk.inject_fault(step, StorageFault::Fail);
        let kept = keep(&disk, &all);
        assert!(found(&disk).map_or(0, |state| state.version.number) >= kept, "step {step}");
        assert_eq!(keep(&disk, &all), 9, "step {step}");
    }
}

#[test]
fn a_copy_holds_one_segment_and_is_followed_like_the_log() {
    let all = told(40);
    let disk = SimulatedDisk::default();
    assert_eq!(keep(&disk, &all), 40);
    // A state further on than what is held takes the place of all of it.
    let (mut mirror, state) = LogCopy::open(Box::new(disk.clone())).expect("whole");
    let state = state.expect("forty versions");
    let head = umbertray_config_log::segment::SegmentHeader {
        version: 50,
        hash: [7; 32],
        checkpoint: state.version.configuration.bytes(),
        completed: Default::default(),
    };
    mirror.append(&Update::Checkpoint(head), Some(&state)).expect("the disk works");
    drop(mirror);
    let segments = disk.names().expect("there").iter().filter(|name| name.starts_with("changes-")).count();
    assert_eq!(segments, 1);
    let (_, followed) = FolderReader::open(&disk).expect("whole");
    assert_eq!(followed.last().map(|told| (told.version(), told.hash())), Some((50, [7; 32])));
    assert_eq!(found(&disk).map(|state| state.hash), Some([7; 32]));
}

/// Whoever told it: nothing that does not follow is taken, nothing is taken twice, and nothing changes by either.
#[test]
fn a_replica_takes_what_follows_and_nothing_else() {
    let all = told(5);
    let (Update::Checkpoint(head), entries) = (&all[0], &all[1..]) else { panic!("a state comes first") };
    let mut state = Replica::from_header(head).expect("right");
    for (place, told) in entries.iter().enumerate() {
        let Update::Entry(entry) = told else { panic!("entries follow") };
        let before = (state.version.number, state.hash);
        let mut wrong = vec![umbertray_config_log::chain::Entry { hash: [1; 32], ..entry.clone() }];
        wrong.push(umbertray_config_log::chain::Entry { body: b"{}".to_vec(), ..entry.clone() });
        if let Some(Update::Entry(skipped)) = entries.get(place + 1) {
            wrong.push(skipped.clone());
        }
        for wrong in wrong {
            assert!(matches!(state.apply(&Update::Entry(wrong)), Err(Corruption::BrokenChain(_))));
            assert_eq!((state.version.number, state.hash), before);
        }
        assert!(state.apply(told).expect("it follows").is_some());
        assert!(state.apply(told).expect("it is known").is_none());
        assert_eq!((state.version.number, state.hash), (entry.version, entry.hash));
    }
    // Of the version that it has, another history is none; an older state is known.
    let other = umbertray_config_log::segment::SegmentHeader { version: 5, hash: [9; 32], ..head.clone() };
    assert!(matches!(state.apply(&Update::Checkpoint(other)), Err(Corruption::BrokenChain(5))));
    assert!(state.apply(&all[0]).expect("older").is_none());
    assert_eq!(state.version.number, 5);
}
