//! Tests of versions and the steps between them.

use serde_json::json;
use std::time::Duration;
use umbertray_config_log::change::Change;
use umbertray_config_log::log::{self, Log};
use umbertray_config_log::model::{Edit, Fields, Key, Kind};
use umbertray_config_log::version::{SettingsChange, Version};
use umbertray_snapshot::sim::SimulatedDisk;

use crate::{change, import, set, start};

#[test]
fn clock_running_backwards_keeps_order() {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 1 << 20).expect("a folder");
    import(&mut log);
    for n in 1..=5u64 {
        let edit = set(Kind::Plan, "p0", "weight", json!(n as f64 + 1.0));
        let change = Change { at: 1_000 - n, ..change(&format!("c{n}"), n, vec![edit]) };
        assert_eq!(log.commit(change).expect("a valid change").version, n + 1);
    }
    let last = log::version(&disk, 6).expect("rebuilt");
    assert_eq!(last.plan(0).map(|plan| plan.weight), Some(6.0));
}

#[test]
fn indices_stay_when_volumes_are_removed_and_added() {
    let version =
        Version::empty().next(&Version::empty().configuration.diff(&start())).expect("valid edits").0;
    let (without, steps) =
        version.next(&[Edit::Remove { key: Key::new(Kind::Volume, "v1") }]).expect("valid edits");
    assert_eq!(steps, [SettingsChange::Removed(1)]);
    assert!(without.volume(1).is_none() && without.volume(2).is_some_and(|volume| volume.name == "v2"));
    let fields = serde_json::from_value(json!({ "size": 1 << 20, "plan": "p0" })).expect("an object");
    let added_again =
        without.next(&[Edit::Put { key: Key::new(Kind::Volume, "v1"), fields }]).expect("valid edits");
    assert_eq!(added_again.1, [SettingsChange::Volume(4)], "the index of the removed volume is not reused");
}

/// The cost of a change depends only on the entities that it touches. Applies 10,000 changes to 100,000
/// volumes. The last version must equal the result of validating it completely.
#[test]
fn many_changes_of_many_volumes_cost_what_they_touch() {
    let mut configuration = start();
    let fields = |plan: &str| {
        let fields = json!({ "size": 1 << 20, "plan": plan, "gateways": 1 });
        serde_json::from_value::<Fields>(fields).expect("an object")
    };
    for n in 0..100_000 {
        configuration.entities.insert(Key::new(Kind::Volume, &format!("n{n}")), fields("p0").into());
    }
    let mut version = Version::from_configuration(1, &configuration).expect("a valid configuration");
    let started = std::time::Instant::now();
    for n in 0..10_000u32 {
        let name = format!("n{}", n * 7 % 100_000);
        let edit = match n % 4 {
            0 => set(Kind::Plan, "p1", "weight", json!(f64::from(n + 1))),
            1 => set(Kind::Volume, &name, "plan", json!("p2")),
            2 => Edit::Remove { key: Key::new(Kind::Volume, &name) },
            _ => Edit::Put { key: Key::new(Kind::Volume, &format!("m{n}")), fields: fields("p1") },
        };
        let (next, steps) = version.next(&[edit]).expect("valid edits");
        assert_eq!(steps.len(), 1);
        version = next;
    }
    // Validating every version completely would take minutes. The bound is far above the time that the steps
    // take.
    assert!(started.elapsed() < Duration::from_secs(30), "{:?}", started.elapsed());
    let again =
        Version::from_configuration(version.number, &version.configuration).expect("a valid configuration");
    assert_eq!(again.configuration.to_bytes(), version.configuration.to_bytes());
    assert_eq!(
        (again.total_volumes(), again.volume_count("p2")),
        (version.total_volumes(), version.volume_count("p2"))
    );
    assert!((again.reserved() - version.reserved()).abs() < 1e-6);
}
