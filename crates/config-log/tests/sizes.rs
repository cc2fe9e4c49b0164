//! The sizes of a change and of a checkpoint in docs/CAPACITY.md must equal the bytes that the log writes.

use std::collections::VecDeque;

use serde_json::json;
use umbertray_config_log::chain::CompletedChange;
use umbertray_config_log::change::Change;
use umbertray_config_log::log::{Log, SEGMENT_BYTES};
use umbertray_config_log::model::{Configuration, Edit, Key, Kind};
use umbertray_snapshot::Storage;
use umbertray_snapshot::sim::SimulatedDisk;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// The number in the second cell of the row with this name.
fn documented(name: &str) -> usize {
    let row = PAGE.lines().find_map(|line| line.strip_prefix(&format!("| {name} | ")));
    let cell = row.and_then(|rest| rest.split(" | ").next()).unwrap_or_else(|| panic!("no row {name:?}"));
    cell.replace(',', "").parse().unwrap_or_else(|_| panic!("{name:?} has {cell:?}"))
}

fn configuration(volumes: usize) -> Configuration {
    let script = format!(
        r#"
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1")
op_type("get", target_latency = 0.5, op_timeout = 3.0, utility = 2)
request(["read", "status", "write", "zero", "trim", "flush"], op_type = "get")
plan("basic", rate = 100)
[volume("volume-%d" % (10000 + n), size = 64 * GiB, plan = "basic", gateways = 3) for n in range({volumes})]
"#
    );
    let document = umbertray_config::read("start.star", script).expect("a valid script");
    Configuration::from_calls(&document.calls())
}

fn change(id: &str, base: u64, edits: Vec<Edit>) -> Change {
    let (actor, reason) = ("operations".to_string(), "capacity".to_string());
    Change { id: id.into(), base, actor, reason, at: 1_800_000_000_000_000, edits, allow: Vec::new() }
}

fn written(disk: &SimulatedDisk) -> usize {
    let names = disk.names().expect("readable");
    let logs = names.iter().filter(|name| name.ends_with(".log"));
    logs.map(|name| disk.read(name, 1 << 30).expect("readable").len()).sum()
}

/// The change sets one field and has an id like those that the command line generates. Its size must not
/// depend on the size of the configuration.
#[test]
fn change_of_one_field_has_documented_size() {
    for volumes in [1, 100] {
        let disk = SimulatedDisk::default();
        let mut log = Log::open(Box::new(disk.clone()), SEGMENT_BYTES).expect("an empty folder");
        let edits = log.head().configuration.diff(&configuration(volumes));
        log.commit(change("import", 0, edits)).expect("the first version");
        let before = written(&disk);
        let (key, field) = (Key::new(Kind::Plan, "basic"), "weight".to_string());
        let edit = Edit::Set { key, field, value: json!(2.0) };
        log.commit(change("1800000000000000000-12345", 1, vec![edit])).expect("a change");
        assert_eq!(
            written(&disk) - before,
            documented("entry of the log of changes, one field, and its marker")
        );
    }
}

#[test]
fn checkpoint_has_documented_size_per_volume() {
    let bytes = |volumes| configuration(volumes).to_bytes().len();
    assert_eq!((bytes(1100) - bytes(100)) / 1000, documented("volume in a checkpoint of the log"));
    let change =
        CompletedChange { id: "1800000000000000000-12345".into(), version: 4000, fingerprint: u64::MAX };
    let completed = VecDeque::from([change]);
    let change_bytes = postcard::to_stdvec(&completed).expect("serializable").len() - 1;
    assert_eq!(change_bytes, documented("change done lately in a checkpoint"));
}
