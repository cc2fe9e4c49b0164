//! Recorded examples of stored logs: a folder of changes and a relay's copy of it. Every later version must
//! write the same history to the same bytes and must be able to read the recorded files.

use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use umbertray_config_log::change::Change;
use umbertray_config_log::guard::Guard;
use umbertray_config_log::log::{self, Log};
use umbertray_config_log::model::{Configuration, Edit, Key, Kind};
use umbertray_config_log::{FolderReader, LogCopy, Replica, Update, applied_version};
use umbertray_fakes::test_folder::TestFolder;
use umbertray_snapshot::Storage;
use umbertray_snapshot::sim::SimulatedDisk;

/// Size of a segment, bytes. Small, so that the history spans several segments.
const SEGMENT_BYTES: usize = 2048;
const MAX_FILE_BYTES: usize = 1 << 20;
const SCRIPT: &str = r#"
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1")
op_type("get", target_latency = 0.5, op_timeout = 3.0, utility = 2)
op_type("put", target_latency = 0.3, op_timeout = 1.0, utility = 2)
request(["read", "status"], op_type = "get")
request(["write", "zero", "trim", "flush"], op_type = "put")
plan("limited", rate = 100, limit = 50, limit_burst = 20)
plan("free", rate = 100, reserve = 40)
volume("vol", size = 1 * MiB, plan = "limited", gateways = 2)
volume("other", size = 1 * MiB, plan = "free")
rules(drain_grace = 0.5, cold_from = 0.5, cold_time = 1, cold_units = 60, fall_multiple = 2, fall_time = 0.2)
"#;

fn recorded(folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(folder)
}

fn files(storage: &dyn Storage) -> Vec<(String, Vec<u8>)> {
    let mut names = storage.names().expect("a folder");
    names.sort();
    names
        .into_iter()
        .map(|name| (name.clone(), storage.read(&name, MAX_FILE_BYTES).expect("a file")))
        .collect()
}

/// A disk in memory that holds the recorded files.
fn recorded_disk(folder: &str) -> SimulatedDisk {
    let mut disk = SimulatedDisk::default();
    for entry in std::fs::read_dir(recorded(folder)).expect("recorded files") {
        let path = entry.expect("a file").path();
        let name = path.file_name().and_then(|name| name.to_str()).expect("UTF-8").to_string();
        disk.write(&name, &std::fs::read(&path).expect("readable")).expect("a successful write");
        disk.sync(&name).expect("a successful write");
    }
    disk.sync_folder().expect("a successful write");
    disk
}

/// Fails if the names or bytes on the disk differ from the recorded ones. The files of the disk are then
/// saved to a folder for inspection.
fn assert_recorded(disk: &SimulatedDisk, folder: &str) {
    let written = files(disk);
    if written != files(&recorded_disk(folder)) {
        let output = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("golden-{}", std::process::id()))
            .join(folder);
        std::fs::create_dir_all(&output).expect("a folder");
        written
            .iter()
            .for_each(|(name, bytes)| std::fs::write(output.join(name), bytes).expect("a successful write"));
        panic!("tests/golden/{folder} differs from what was written, see {}", output.display());
    }
}

fn set(kind: Kind, name: &str, field: &str, value: Value) -> Edit {
    Edit::Set { key: Key::new(kind, name), field: field.into(), value }
}

fn commit(log: &mut Log, edits: Vec<Edit>, allow: Vec<Guard>) {
    let base = log.head().number;
    let (id, actor, reason) = (format!("change-{base}"), "ann".to_string(), "to see".to_string());
    let at = 1_700_000_000_000_000 + base;
    log.commit(Change { id, base, actor, reason, at, edits, allow }).expect("a valid change");
}

/// A history with each kind of edit, a version that reverts another, guarded changes and several segments.
fn history() -> SimulatedDisk {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), SEGMENT_BYTES).expect("an empty folder");
    let document = umbertray_config::read("golden.star", SCRIPT.into()).expect("a valid script");
    let first = log.head().configuration.diff(&Configuration::from_calls(&document.calls()));
    commit(&mut log, first, vec![]);
    let limit = |value| vec![set(Kind::Plan, "limited", "limit", value)];
    commit(&mut log, limit(json!(70.0)), vec![]);
    commit(&mut log, limit(json!(50.0)), vec![Guard::Cut]);
    let fields = serde_json::from_value(json!({ "rate": 30.0, "weight": 2.0 })).expect("an object");
    commit(&mut log, vec![Edit::Put { key: Key::new(Kind::Plan, "more"), fields }], vec![]);
    commit(&mut log, vec![set(Kind::Volume, "other", "plan", json!("more"))], vec![]);
    commit(&mut log, vec![Edit::Remove { key: Key::new(Kind::Volume, "other") }], vec![Guard::Removal]);
    commit(&mut log, vec![set(Kind::Rules, "", "cold_time", json!(3.0))], vec![]);
    commit(&mut log, vec![set(Kind::OpType, "get", "utility", json!(3.0))], vec![]);
    commit(&mut log, vec![set(Kind::Volume, "vol", "gateways", json!(3.0))], vec![Guard::Parts]);
    for weight in 2..12 {
        commit(&mut log, vec![set(Kind::Plan, "free", "weight", json!(f64::from(weight)))], vec![]);
    }
    disk
}

fn copy_of(source: &SimulatedDisk) -> SimulatedDisk {
    let copy = SimulatedDisk::default();
    let (mut log_copy, mut state) = LogCopy::open(Box::new(copy.clone())).expect("an empty folder");
    for update in FolderReader::open(source).expect("an intact log").1 {
        log_copy.append(&update, state.as_ref()).expect("a successful write");
        match (&mut state, &update) {
            (Some(state), update) => _ = state.apply(update).expect("the next update"),
            (None, Update::Checkpoint(header)) => {
                state = Some(Replica::from_header(header).expect("a valid checkpoint"));
            }
            (None, Update::Entry(_)) => panic!("a checkpoint comes first"),
        }
    }
    copy
}

#[test]
fn changes_are_written_to_recorded_bytes() {
    assert_recorded(&history(), "changes");
}

#[test]
fn relay_copy_is_written_to_recorded_bytes() {
    assert_recorded(&copy_of(&history()), "copy");
}

#[test]
fn recorded_changes_are_readable() {
    let disk = recorded_disk("changes");
    assert_eq!(log::segments(&disk).expect("a folder").len(), 4);
    assert_eq!(log::verify(&disk).expect("an intact log"), 19);
    let log = Log::open(Box::new(disk.clone()), SEGMENT_BYTES).expect("an intact log");
    let fresh = Log::open(Box::new(history()), SEGMENT_BYTES).expect("an intact log");
    assert_eq!(log.head().configuration, fresh.head().configuration);
    assert_eq!(log.hash(), fresh.hash());
    for number in 0..=19 {
        let version = log::version(&disk, number).expect("each version can be rebuilt");
        let expected = log::version(fresh.storage(), number).expect("each version can be rebuilt");
        assert_eq!(version.configuration, expected.configuration, "version {number}");
    }
    let reasons = log.history(0).expect("an intact log").into_iter().map(|committed| committed.change.reason);
    assert!(reasons.eq(std::iter::repeat_n("to see".to_string(), 19)));
}

#[test]
fn recorded_relay_copy_is_readable() {
    let (_, state) = LogCopy::open(Box::new(recorded_disk("copy"))).expect("an intact copy");
    let fresh = Log::open(Box::new(history()), SEGMENT_BYTES).expect("an intact log");
    let state = state.expect("a state");
    assert_eq!(state.version.number, 19);
    assert_eq!(state.version.configuration, fresh.head().configuration);
}

#[test]
fn acted_version_is_written_and_read_as_recorded() {
    let folder = TestFolder::create(env!("CARGO_TARGET_TMPDIR"), "golden-acted").expect("a folder");
    applied_version::write(&folder, 19, [7; 32]).expect("a successful write");
    let written = std::fs::read_to_string(folder.join("acted")).expect("a file");
    assert_eq!(written, format!(r#"{{"version":19,"hash":[{}]}}"#, ["7"; 32].join(",")));
    assert_eq!(applied_version::read(&folder).expect("readable"), Some((19, [7; 32])));
}
