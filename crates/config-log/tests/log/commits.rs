//! Tests of changes that are rejected, sent again or committed concurrently.

use serde_json::json;
use std::time::Duration;
use umbertray_config_log::change::{Change, ChangeRejected};
use umbertray_config_log::guard::Guard;
use umbertray_config_log::log::{self, Log};
use umbertray_config_log::model::{Edit, Key, Kind};
use umbertray_fakes::test_folder::TestFolder;
use umbertray_snapshot::Disk;
use umbertray_snapshot::sim::SimulatedDisk;

use crate::{change, import, set};

#[test]
fn id_of_another_change_and_missing_texts_are_rejected() {
    let mut log = Log::open(Box::new(SimulatedDisk::default()), 1 << 20).expect("a folder");
    import(&mut log);
    let edit = |weight: f64| vec![set(Kind::Plan, "p0", "weight", json!(weight))];
    assert_eq!(log.commit(change("c", 1, edit(3.0))).expect("a valid change").version, 2);
    let again = log.commit(Change { at: 77, ..change("c", 1, edit(3.0)) }).expect("the same");
    assert!(again.was_committed_before && again.version == 2);
    assert!(matches!(log.commit(change("c", 1, edit(4.0))), Err(ChangeRejected::IdTaken { version: 2, .. })));
    for (actor, reason) in [("", "why"), ("who", " ")] {
        let incomplete = Change { actor: actor.into(), reason: reason.into(), ..change("d", 2, edit(5.0)) };
        assert!(matches!(log.commit(incomplete), Err(ChangeRejected::Missing(_))));
    }
    assert!(matches!(
        log.commit(change("e", 9, edit(5.0))),
        Err(ChangeRejected::NoSuchBase { base: 9, head: 2 })
    ));
    let Err(ChangeRejected::Conflict(conflicts)) = log.commit(change("f", 1, edit(5.0))) else {
        panic!("both are based on version 1")
    };
    assert_eq!(
        (conflicts[0].path.as_str(), conflicts[0].theirs.as_str(), conflicts[0].actor.as_str()),
        ("plan/p0:weight", "3.0", "ann")
    );
    assert_eq!(log.head().number, 2);
}

#[test]
fn guarded_change_without_allowance_is_rejected() {
    let mut log = Log::open(Box::new(SimulatedDisk::default()), 1 << 20).expect("a folder");
    import(&mut log);
    let capacity = change("c", 1, vec![set(Kind::Rules, "", "capacity", json!(100.0))]);
    log.commit(capacity).expect("a valid change");
    let cases = [
        (Guard::Cut, set(Kind::Plan, "p0", "rate", json!(49.0))),
        (Guard::Cut, set(Kind::Plan, "p0", "limit", json!(49.0))),
        (Guard::Reserve, set(Kind::Plan, "p2", "reserve", json!(100.0))),
        (Guard::Removal, Edit::Remove { key: Key::new(Kind::Volume, "v3") }),
    ];
    let reserve = set(Kind::Volume, "v0", "plan", json!("p2"));
    log.commit(change("r", 2, vec![reserve])).expect("80 of 100 units are reserved");
    for (n, (guard, edit)) in cases.into_iter().enumerate() {
        let base = log.head().number;
        let not_allowed = Change { allow: vec![], ..change(&format!("u{n}"), base, vec![edit.clone()]) };
        let Err(ChangeRejected::Guarded(found)) = log.commit(not_allowed) else { panic!("{guard:?}") };
        assert_eq!(found.iter().map(|found| found.guard).collect::<Vec<_>>(), [guard], "{found:?}");
        let allowed = Change { allow: vec![guard], ..change(&format!("s{n}"), base, vec![edit]) };
        log.commit(allowed).expect("the guard is allowed");
    }
    let set_gateways = |n: u32| set(Kind::Volume, "v1", "gateways", json!(n));
    let base = log.head().number;
    log.commit(Change { allow: vec![], ..change("more", base, vec![set_gateways(4)]) })
        .expect("more gateways are not guarded");
    let fewer = Change { allow: vec![], ..change("fewer", base + 1, vec![set_gateways(3)]) };
    assert!(matches!(log.commit(fewer), Err(ChangeRejected::Guarded(_))));
    // Invalid changes are rejected even though all guards are allowed.
    for edit in [
        set(Kind::OpType, "get", "repeats", json!("once_only")),
        set(Kind::Volume, "v1", "size", json!(512)),
        Edit::Remove { key: Key::new(Kind::OpType, "get") },
        set(Kind::Requests, "", "rules", json!([{ "kinds": ["read"], "op_type": "get" }])),
        set(Kind::Volume, "v1", "color", json!(1)),
        set(Kind::Plan, "p1", "limit", json!("much")),
        Edit::Remove { key: Key::new(Kind::Rules, "") },
    ] {
        let rejected = log.commit(change("never", base + 1, vec![edit.clone()]));
        assert!(matches!(rejected, Err(ChangeRejected::Invalid(_))), "{edit:?}: {rejected:?}");
    }
}

#[test]
fn racing_writers_lose_no_change() {
    let folder = TestFolder::create(env!("CARGO_TARGET_TMPDIR"), "racing").expect("a folder");
    let open = || {
        let disk = Disk::open_waiting(&folder, Duration::from_secs(60)).expect("the lock");
        Log::open(Box::new(disk), 4096).expect("an intact log")
    };
    import(&mut open());
    let results: Vec<(u32, bool)> = std::thread::scope(|scope| {
        let writers: Vec<_> = (0..200u32)
            .map(|n| {
                let open = &open;
                scope.spawn(move || {
                    // All changes are based on version 1, and every fifth one edits a field that others edit
                    // too.
                    let (name, field) = (format!("p{}", n % 3), ["weight", "rate"][n as usize % 2]);
                    let edit = if n % 5 == 0 {
                        set(Kind::Plan, &name, field, json!(200.0 + f64::from(n)))
                    } else {
                        let fields = json!({ "size": 1 << 20, "plan": "p0" });
                        let fields = serde_json::from_value(fields).expect("an object");
                        Edit::Put { key: Key::new(Kind::Volume, &format!("new{n}")), fields }
                    };
                    let result = open().commit(change(&format!("w{n}"), 1, vec![edit.clone()]));
                    assert!(matches!(result, Ok(_) | Err(ChangeRejected::Conflict(_))), "{result:?}");
                    // Sent again, the change has the same result.
                    let again = open().commit(change(&format!("w{n}"), 1, vec![edit]));
                    assert_eq!(again.is_ok_and(|committed| committed.was_committed_before), result.is_ok());
                    (n, result.is_ok())
                })
            })
            .collect();
        writers.into_iter().map(|writer| writer.join().expect("the writer does not panic")).collect()
    });
    let committed = results.iter().filter(|(_, is_committed)| *is_committed).count();
    // 40 of the changes edit one of six fields (three plans, two fields each), and only one of them per field
    // is committed. All other changes are committed.
    assert_eq!(committed, 160 + 6);
    let disk = Disk::read_only(&folder);
    assert_eq!(log::verify(&disk).expect("an intact log"), 1 + committed as u64);
    let history = log::history(&disk, 1).expect("an intact log");
    let mut ids: Vec<&str> = history.iter().map(|committed| committed.change.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), committed);
}
