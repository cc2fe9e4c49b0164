//! Changes that are rejected, retried or race.

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
    assert_eq!(log.commit(change("c", 1, edit(3.0))).expect("right").version, 2);
    let again = log.commit(Change { at: 77, ..change("c", 1, edit(3.0)) }).expect("the same");
    assert!(again.was_committed_before && again.version == 2);
    assert!(matches!(log.commit(change("c", 1, edit(4.0))), Err(ChangeRejected::IdTaken { version: 2, .. })));
    for (actor, reason) in [("", "why"), ("who", " ")] {
        let lacking = Change { actor: actor.into(), reason: reason.into(), ..change("d", 2, edit(5.0)) };
        assert!(matches!(log.commit(lacking), Err(ChangeRejected::Missing(_))));
    }
    assert!(matches!(
        log.commit(change("e", 9, edit(5.0))),
        Err(ChangeRejected::NoSuchBase { base: 9, head: 2 })
    ));
    let Err(ChangeRejected::Conflict(conflicts)) = log.commit(change("f", 1, edit(5.0))) else {
        panic!("both from 1")
    };
    assert_eq!(
        (conflicts[0].place.as_str(), conflicts[0].theirs.as_str(), conflicts[0].actor.as_str()),
        ("plan/p0:weight", "3.0", "ann")
    );
    assert_eq!(log.head().number, 2);
}

#[test]
fn guarded_change_without_its_word_is_rejected() {
    let mut log = Log::open(Box::new(SimulatedDisk::default()), 1 << 20).expect("a folder");
    import(&mut log);
    let capacity = change("c", 1, vec![set(Kind::Rules, "", "capacity", json!(100.0))]);
    log.commit(capacity).expect("right");
    let cases = [
        (Guard::Cut, set(Kind::Plan, "p0", "rate", json!(49.0))),
        (Guard::Cut, set(Kind::Plan, "p0", "limit", json!(49.0))),
        (Guard::Reserve, set(Kind::Plan, "p2", "reserve", json!(100.0))),
        (Guard::Removal, Edit::Remove { key: Key::new(Kind::Volume, "v3") }),
    ];
    let reserve = set(Kind::Volume, "v0", "plan", json!("p2"));
    log.commit(change("r", 2, vec![reserve])).expect("80 of 100");
    for (n, (guard, edit)) in cases.into_iter().enumerate() {
        let base = log.head().number;
        let unsaid = Change { allow: vec![], ..change(&format!("u{n}"), base, vec![edit.clone()]) };
        let Err(ChangeRejected::Guarded(found)) = log.commit(unsaid) else { panic!("{guard:?}") };
        assert_eq!(found.iter().map(|found| found.guard).collect::<Vec<_>>(), [guard], "{found:?}");
        let said = Change { allow: vec![guard], ..change(&format!("s{n}"), base, vec![edit]) };
        log.commit(said).expect("with its word");
    }
    let fewer = |n: u32| set(Kind::Volume, "v1", "gateways", json!(n));
    let base = log.head().number;
    log.commit(Change { allow: vec![], ..change("more", base, vec![fewer(4)]) }).expect("more are no danger");
    let parts = Change { allow: vec![], ..change("fewer", base + 1, vec![fewer(3)]) };
    assert!(matches!(log.commit(parts), Err(ChangeRejected::Guarded(_))));
    // What cannot be had is refused whatever is said.
    for edit in [
        set(Kind::OpType, "get", "repeats", json!("once_only")),
        set(Kind::Volume, "v1", "size", json!(512)),
        Edit::Remove { key: Key::new(Kind::OpType, "get") },
        set(Kind::Requests, "", "rules", json!([{ "kinds": ["read"], "op_type": "get" }])),
        set(Kind::Volume, "v1", "color", json!(1)),
        set(Kind::Plan, "p1", "limit", json!("much")),
        Edit::Remove { key: Key::new(Kind::Rules, "") },
    ] {
        let refused = log.commit(change("never", base + 1, vec![edit.clone()]));
        assert!(matches!(refused, Err(ChangeRejected::Invalid(_))), "{edit:?}: {refused:?}");
    }
}

#[test]
fn racing_writers_lose_no_change() {
    let folder = TestFolder::create(env!("CARGO_TARGET_TMPDIR"), "racing").expect("a folder");
    let open = || {
        let disk = Disk::open_waiting(&folder, Duration::from_secs(60)).expect("its turn");
        Log::open(Box::new(disk), 4096).expect("whole")
    };
    import(&mut open());
    let results: Vec<(u32, bool)> = std::thread::scope(|scope| {
        let writers: Vec<_> = (0..200u32)
            .map(|n| {
                let open = &open;
                scope.spawn(move || {
                    // Each fifth wants what another wants too; all saw version 1.
                    let (name, field) = (format!("p{}", n % 3), ["weight", "rate"][n as usize % 2]);
                    let edit = if n % 5 == 0 {
                        set(Kind::Plan, &name, field, json!(200.0 + f64::from(n)))
                    } else {
                        let fields = json!({ "size": 1 << 20, "plan": "p0" });
                        let fields = serde_json::from_value(fields).expect("an object");
                        Edit::Put { key: Key::new(Kind::Volume, &format!("new{n}")), fields }
                    };
                    let done = open().commit(change(&format!("w{n}"), 1, vec![edit.clone()]));
                    assert!(matches!(done, Ok(_) | Err(ChangeRejected::Conflict(_))), "{done:?}");
                    // Sent again, it is the same.
                    let again = open().commit(change(&format!("w{n}"), 1, vec![edit]));
                    assert_eq!(again.is_ok_and(|committed| committed.was_committed_before), done.is_ok());
                    (n, done.is_ok())
                })
            })
            .collect();
        writers.into_iter().map(|writer| writer.join().expect("it ends")).collect()
    });
    let done = results.iter().filter(|(_, done)| *done).count();
    // Three plans and two fields: six of the forty that conflict, and all others.
    assert_eq!(done, 160 + 6);
    let disk = Disk::read_only(&folder);
    assert_eq!(log::verify(&disk).expect("whole"), 1 + done as u64);
    let history = log::history(&disk, 1).expect("whole");
    let mut ids: Vec<&str> = history.iter().map(|committed| committed.change.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), done);
}
