//! Tests of the change log: commits, crashes, damage and following.

mod commits;
mod crashes;
mod damage;
mod following;
mod model;
mod versions;

use serde_json::{Value, json};
use umbertray_config_log::change::Change;
use umbertray_config_log::guard::Guard;
use umbertray_config_log::log::Log;
use umbertray_config_log::model::{Configuration, Edit, Key, Kind};
use umbertray_config_log::segment;
use umbertray_snapshot::Storage;
use umbertray_snapshot::sim::SimulatedDisk;

/// Every guard.
const ALL_GUARDS: [Guard; 4] = [Guard::Reserve, Guard::Cut, Guard::Removal, Guard::Parts];

/// The configuration that [`import`] commits as version 1.
fn start() -> Configuration {
    let script = r#"
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1")
op_type("get", target_latency = 0.5, op_timeout = 3.0, utility = 2)
op_type("put", target_latency = 0.3, op_timeout = 1.0, utility = 2)
request(["read", "status"], op_type = "get")
request(["write", "zero", "trim", "flush"], op_type = "put")
plan("p0", rate = 100)
plan("p1", rate = 100, limit = 50)
plan("p2", rate = 100, reserve = 40)
[volume("v%d" % n, size = 1 * MiB, plan = "p%d" % (n % 3)) for n in range(4)]
"#;
    let document = umbertray_config::read("start.star", script.into()).expect("a valid script");
    Configuration::from_calls(&document.calls())
}

fn change(id: &str, base: u64, edits: Vec<Edit>) -> Change {
    let (actor, reason) = ("ann".to_string(), "to see".to_string());
    Change { id: id.into(), base, actor, reason, at: 1_000_000 * base, edits, allow: ALL_GUARDS.to_vec() }
}

fn import(log: &mut Log) {
    let edits = log.head().configuration.diff(&start());
    log.commit(change("import", 0, edits)).expect("the first version");
}

fn set(kind: Kind, name: &str, field: &str, value: Value) -> Edit {
    Edit::Set { key: Key::new(kind, name), field: field.into(), value }
}

/// The bytes of the only segment of a log with ten versions.
fn one_segment() -> Vec<u8> {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 1 << 20).expect("a folder");
    import(&mut log);
    for n in 1..=9u32 {
        let edit = set(Kind::Plan, "p0", "weight", json!(f64::from(n)));
        log.commit(change(&format!("c{n}"), u64::from(n), vec![edit])).expect("a valid change");
    }
    disk.read(&segment::file_name(0), 1 << 20).expect("readable")
}

/// A disk that holds these bytes as the first segment.
fn disk_with_segment(bytes: &[u8]) -> SimulatedDisk {
    let mut disk = SimulatedDisk::default();
    disk.write(&segment::file_name(0), bytes).expect("no injected fault");
    disk.sync(&segment::file_name(0)).expect("no injected fault");
    disk.sync_folder().expect("no injected fault");
    disk
}
