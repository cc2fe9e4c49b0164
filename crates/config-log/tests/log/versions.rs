//! Versions and the steps between them.

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
        assert_eq!(log.commit(change).expect("right").version, n + 1);
    }
    let last = log::version(&disk, 6).expect("rebuilt");
    assert_eq!(last.plan(0).map(|plan| plan.weight), Some(6.0));
}

#[test]
fn indices_stay_when_volumes_are_removed_and_added() {
    let version = Version::empty().next(&Version::empty().configuration.diff(&start())).expect("right").0;
    let (gone, steps) = version.next(&[Edit::Remove { key: Key::new(Kind::Volume, "v1") }]).expect("right");
    assert_eq!(steps, [SettingsChange::Removed(1)]);
    assert!(gone.volume(1).is_none() && gone.volume(2).is_some_and(|volume| volume.name == "v2"));
    let fields = serde_json::from_value(json!({ "size": 1 << 20, "plan": "p0" })).expect("an object");
    let back = gone.next(&[Edit::Put { key: Key::new(Kind::Volume, "v1"), fields }]).expect("right");
    assert_eq!(back.1, [SettingsChange::Volume(4)], "what was open of the first is not this one's");
}

/// A change costs what it touches: ten thousand of them on a hundred thousand volumes, and the last version is what a whole
/// check of it says.
#[test]
fn many_changes_of_many_volumes_cost_what_they_touch() {
    let mut whole = start();
    let fields = |plan: &str| {
        let fields = json!({ "size": 1 << 20, "plan": plan, "gateways": 1 });
        serde_json::from_value::<Fields>(fields).expect("an object")
    };
    for n in 0..100_000 {
        whole.entities.insert(Key::new(Kind::Volume, &format!("n{n}")), fields("p0").into());
    }
    let mut version = Version::read(1, &whole).expect("right");
    let began = std::time::Instant::now();
    for n in 0..10_000u32 {
        let name = format!("n{}", n * 7 % 100_000);
        let edit = match n % 4 {
            0 => set(Kind::Plan, "p1", "weight", json!(f64::from(n + 1))),
            1 => set(Kind::Volume, &name, "plan", json!("p2")),
            2 => Edit::Remove { key: Key::new(Kind::Volume, &name) },
            _ => Edit::Put { key: Key::new(Kind::Volume, &format!("m{n}")), fields: fields("p1") },
        };
        let (next, steps) = version.next(&[edit]).expect("right");
        assert_eq!(steps.len(), 1);
        version = next;
    }
    // A whole check of each would take minutes; the bound is far above what it takes.
    assert!(began.elapsed() < Duration::from_secs(30), "{:?}", began.elapsed());
    let again = Version::read(version.number, &version.configuration).expect("right");
    assert_eq!(again.configuration.bytes(), version.configuration.bytes());
    assert_eq!(
        (again.total_volumes(), again.volume_count("p2")),
        (version.total_volumes(), version.volume_count("p2"))
    );
    assert!((again.reserved() - version.reserved()).abs() < 1e-6);
}
