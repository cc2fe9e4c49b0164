//! Generated changes against a slow plain model, crashes at every step, logs that are wrong, and writers that race.

use std::collections::BTreeMap;
use std::path::Path as File;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use umbertray_config_log::change::{Change, ChangeRejected};
use umbertray_config_log::follow::{FollowError, Follower};
use umbertray_config_log::guard::Guard;
use umbertray_config_log::log::{self, CommittedChange, Log, LogError};
use umbertray_config_log::model::{Configuration, Edit, Fields, Key, Kind};
use umbertray_config_log::segment::{self, Corruption};
use umbertray_config_log::version::{SettingsChange, Version, document};
use umbertray_snapshot::sim::{SimulatedDisk, StorageFault};
use umbertray_snapshot::{Disk, Storage};

const ALL: [Guard; 4] = [Guard::Reserve, Guard::Cut, Guard::Removal, Guard::Parts];

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
    let document = umbertray_config::read("start.star", script.into()).expect("right");
    Configuration::of_calls(&document.calls())
}

fn change(id: &str, base: u64, edits: Vec<Edit>) -> Change {
    let (actor, reason) = ("ann".to_string(), "to see".to_string());
    Change { id: id.into(), base, actor, reason, at: 1_000_000 * base, edits, allow: ALL.to_vec() }
}

fn import(log: &mut Log) {
    let edits = log.head().configuration.diff(&start());
    log.commit(change("import", 0, edits)).expect("the first version");
}

fn set(kind: Kind, name: &str, field: &str, value: Value) -> Edit {
    Edit::Set { key: Key::new(kind, name), field: field.into(), value }
}

/// One edit drawn by the bits: mostly right, some never.
fn drawn(bits: u32) -> Edit {
    let (n, figure) = (bits / 16 % 6, f64::from(bits / 128 % 8 + 1));
    let (plan, volume) = (format!("p{}", n % 4), format!("v{n}"));
    let fields = |fields: Value| serde_json::from_value::<Fields>(fields).expect("an object");
    match bits % 16 {
        0..4 => set(Kind::Plan, &plan, "weight", json!(figure)),
        4 => set(Kind::Plan, &plan, "limit", if figure > 4.0 { json!(10.0 * figure) } else { Value::Null }),
        5 => set(Kind::Plan, &plan, "reserve", json!(20.0 * figure)),
        6..9 => set(Kind::Volume, &volume, "plan", json!(format!("p{}", bits / 128 % 4))),
        9 => set(Kind::Volume, &volume, "size", json!(figure * 1024.0 * 512.0)),
        10 => Edit::Put {
            key: Key::new(Kind::Volume, &volume),
            fields: fields(json!({ "size": 1 << 22, "plan": plan, "gateways": bits / 128 % 3 + 1 })),
        },
        11 => Edit::Remove { key: Key::new(Kind::Volume, &volume) },
        12 => {
            Edit::Put { key: Key::new(Kind::Plan, &plan), fields: fields(json!({ "rate": 100.0 * figure })) }
        }
        13 => Edit::Remove { key: Key::new(Kind::Plan, &plan) },
        14 => set(Kind::Rules, "", "cold_time", json!(figure)),
        _ => set(Kind::OpType, "get", "utility", json!(figure - 1.0)),
    }
}

/// The slow way: plain maps, each change checked as a whole script; who touched what since when.
#[derive(Default)]
struct Model {
    versions: Vec<(BTreeMap<Key, Fields>, Vec<u8>)>,
    changes: Vec<Change>,
}

impl Model {
    fn check(entities: &BTreeMap<Key, Fields>) -> Option<Configuration> {
        let entities =
            entities.iter().map(|(key, fields)| (key.clone(), std::sync::Arc::new(fields.clone())));
        let calls = Configuration { entities: entities.collect() }.calls();
        document(&calls, &[]).ok().map(|document| Configuration::of_calls(&document.calls()))
    }

    /// What a change from this base comes to: the versions it meets, or nothing if it is wrong.
    fn commit(&mut self, change: &Change) -> Result<bool, Vec<u64>> {
        let meets = |other: &Change| {
            other.edits.iter().any(|theirs| change.edits.iter().any(|ours| ours.path().meets(&theirs.path())))
        };
        let since = self.changes.iter().zip(1..).filter(|(_, version)| *version > change.base);
        let met: Vec<u64> = since.filter(|(other, _)| meets(other)).map(|(_, version)| version).collect();
        if !met.is_empty() {
            return Err(met);
        }
        let before = &self.versions.last().expect("the first version").0;
        let mut after = before.clone();
        for edit in &change.edits {
            let there = after.contains_key(edit.key());
            match edit {
                Edit::Set { key, field, value } => {
                    let Some(fields) = after.get_mut(key) else { return Ok(false) };
                    if value.is_null() {
                        fields.remove(field)
                    } else {
                        fields.insert(field.clone(), value.clone())
                    };
                }
                Edit::Put { key, fields } => _ = after.insert(key.clone(), fields.clone()),
                Edit::Remove { .. } if !there => return Ok(false),
                Edit::Remove { key } => _ = after.remove(key),
            }
        }
        let Some(whole) = Model::check(&after) else { return Ok(false) };
        let size = |entities: &BTreeMap<Key, Fields>, key: &Key| entities.get(key)?.get("size")?.as_f64();
        let whole_map: BTreeMap<Key, Fields> =
            whole.entities.iter().map(|(key, fields)| (key.clone(), (**fields).clone())).collect();
        if before.keys().any(|key| size(&whole_map, key) < size(before, key) && whole_map.contains_key(key)) {
            return Ok(false);
        }
        self.versions.push((whole_map, whole.bytes()));
        self.changes.push(change.clone());
        Ok(true)
    }
}

#[test]
fn every_version_is_rebuilt_to_the_byte_and_conflicts_agree_with_the_model() {
    fn keeps(steps: Vec<(u32, u8, u8)>) -> bool {
        let disk = SimulatedDisk::default();
        // Segments of a few changes each, so that histories cross them.
        let mut log = Log::open(Box::new(disk.clone()), 256).expect("a folder");
        import(&mut log);
        let whole = start();
        let entities = whole.entities.iter().map(|(key, fields)| (key.clone(), (**fields).clone())).collect();
        let mut model = Model::default();
        model.versions.push((entities, whole.bytes()));
        model.changes.push(change("import", 0, vec![]));
        for (n, (bits, more, behind)) in steps.iter().enumerate() {
            let count = u32::from(more % 3) + 1;
            let edits = (0..count).map(|n| drawn(bits.rotate_left(n * 9))).collect();
            let base = log.head().number.saturating_sub(u64::from(behind % 4)).max(1);
            let change = change(&format!("c{n}"), base, edits);
            let ours = log.commit(change.clone());
            let same = match (model.commit(&change), ours) {
                (Ok(true), Ok(done)) => {
                    done.version == model.changes.len() as u64 && !done.was_committed_before
                }
                (Ok(false), Err(ChangeRejected::Invalid(_))) => true,
                (Err(met), Err(ChangeRejected::Conflict(found))) => {
                    let mut found: Vec<u64> = found.iter().map(|conflict| conflict.version).collect();
                    found.dedup();
                    met == found
                }
                (theirs, ours) => panic!("model {theirs:?}, log {ours:?}: {change:?}"),
            };
            if !same {
                return false;
            }
        }
        drop(log);
        let rebuilt = model.versions.iter().zip(1..).all(|((_, bytes), number)| {
            log::version(&disk, number).expect("rebuilt").configuration.bytes() == *bytes
        });
        rebuilt && log::verify(&disk).expect("whole") == model.changes.len() as u64
    }
    for seed in 0..120 {
        let steps = Arbitrary::arbitrary(&mut Gen::from_size_and_seed(40, seed));
        assert!(keeps(steps), "seed {seed}");
    }
}

/// Commits until the disk fails; the last version that was said to be done.
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
fn after_a_crash_at_any_step_what_was_committed_is_there_and_no_gateway_was_ahead() {
    let whole = SimulatedDisk::default();
    assert_eq!(commit_all(&whole, 1, 9), 10);
    for step in 1..=whole.steps() {
        for seed in 0..4 {
            let disk = SimulatedDisk::default();
            disk.inject_fault(step, StorageFault::Crash);
            let done = commit_all(&disk, 1, 9);
            // What a gateway reads through the same page cache when the machine is about to stop.
            let acted =
                Follower::open(&disk.visible_at_crash(), None).map_or(0, |follower| follower.replica.version.number);
            let found = disk.after_crash(seed * 1000 + step);
            let log = Log::open(Box::new(found.clone()), 700).expect("a log after a crash");
            let head = log.head().number;
            assert!(head == done || head == done + 1, "step {step}: {done} done, {head} found");
            assert!(acted <= head, "step {step}: acted on {acted}, {head} is left");
            drop(log);
            assert_eq!(log::verify(&found).expect("whole"), head);
            let follower = Follower::open(&found, None).map_or(0, |follower| follower.replica.version.number);
            assert_eq!(follower, head, "step {step}: all is marked safe once a writer has been there");
            assert_eq!(commit_all(&found, 100, 3).max(head), head.max(1) + 3);
        }
    }
}

#[test]
fn a_step_that_fails_never_pretends_and_a_change_sent_again_is_done_once() {
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

#[test]
fn an_id_is_of_one_change_and_who_and_why_must_be_said() {
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
    let Err(ChangeRejected::Conflict(met)) = log.commit(change("f", 1, edit(5.0))) else {
        panic!("both from 1")
    };
    assert_eq!(
        (met[0].place.as_str(), met[0].theirs.as_str(), met[0].actor.as_str()),
        ("plan/p0:weight", "3.0", "ann")
    );
    assert_eq!(log.head().number, 2);
}

#[test]
fn what_is_guarded_needs_its_word() {
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

/// A log of ten versions in one segment; its file's bytes.
fn one_segment() -> Vec<u8> {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 1 << 20).expect("a folder");
    import(&mut log);
    for n in 1..=9u32 {
        let edit = set(Kind::Plan, "p0", "weight", json!(f64::from(n)));
        log.commit(change(&format!("c{n}"), u64::from(n), vec![edit])).expect("right");
    }
    disk.read(&segment::file_name(0), 1 << 20).expect("there")
}

fn with(bytes: &[u8]) -> SimulatedDisk {
    let mut disk = SimulatedDisk::default();
    disk.write(&segment::file_name(0), bytes).expect("no trouble");
    disk.sync(&segment::file_name(0)).expect("no trouble");
    disk.sync_folder().expect("no trouble");
    disk
}

#[test]
fn a_log_that_was_edited_is_told_and_a_torn_tail_is_cut() {
    let good = one_segment();
    for at in (0..good.len() - 1).step_by(3) {
        let mut bad = good.clone();
        bad[at] ^= 1 << (at % 8);
        let disk = with(&bad);
        match Log::open(Box::new(disk.clone()), 1 << 20) {
            Err(LogError::Broken { .. }) => {}
            // Only the last change or the marker after it may be taken for a write that was cut off.
            Ok(log) => {
                assert!(
                    log.head().number >= 9 && log.torn_bytes > 0,
                    "bit in byte {at}: {}",
                    log.head().number
                )
            }
            Err(error) => panic!("{error}"),
        }
    }
    for cut in (0..good.len()).rev().step_by(7) {
        let disk = with(&good[..cut]);
        if let Ok(log) = Log::open(Box::new(disk.clone()), 1 << 20) {
            let head = log.head().number;
            drop(log);
            assert_eq!(log::verify(&disk).expect("whole again"), head, "cut at {cut}");
            // Whoever acted on more says so, and does not go back.
            let acted = Some((10, [7; 32]));
            let followed = Follower::open(&disk, acted).map(|follower| follower.replica.version.number);
            assert!(
                matches!(
                    followed,
                    Err(FollowError::LogOlder { .. }
                        | FollowError::DivergentHistory(10)
                        | FollowError::NoLog)
                ),
                "cut at {cut}: {followed:?}"
            );
        }
    }
}

/// The whole records of a segment, as bytes.
fn records(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut rest = &bytes[8..];
    let mut all = Vec::new();
    while !rest.is_empty() {
        let length = u32::from_le_bytes(*rest.first_chunk().expect("a length")) as usize;
        let (record, after) = rest.split_at(8 + length);
        all.push(record.to_vec());
        rest = after;
    }
    all
}

#[test]
fn records_left_out_swapped_or_told_twice_break_the_chain() {
    let good = one_segment();
    let records = records(&good);
    // A head, then a change and a marker each.
    assert_eq!(records.len(), 1 + 2 * 10);
    let joined = |order: &[usize]| {
        let mut bytes = good[..8].to_vec();
        order.iter().for_each(|n| bytes.extend(&records[*n]));
        bytes
    };
    let all: Vec<usize> = (0..records.len()).collect();
    let mut left_out = all.clone();
    left_out.remove(7);
    let mut swapped = all.clone();
    swapped.swap(7, 9);
    let mut twice = all.clone();
    twice.insert(8, 7);
    for order in [left_out, swapped, twice] {
        let opened = Log::open(Box::new(with(&joined(&order))), 1 << 20);
        assert!(matches!(opened, Err(LogError::Broken { why: Corruption::BrokenChain(_), .. })));
    }
    let mut newer = good.clone();
    newer[6] = 9;
    let opened = Log::open(Box::new(with(&newer)), 1 << 20);
    assert!(matches!(opened, Err(LogError::Broken { why: Corruption::NewerFormat(9), .. })));
}

#[test]
fn hundreds_of_racing_writers_lose_nothing() {
    let folder = File::new(env!("CARGO_TARGET_TMPDIR")).join("racing");
    _ = std::fs::remove_dir_all(&folder);
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
    // Three plans and two fields: six of the fortieth part that met, and all that met nobody.
    assert_eq!(done, 160 + 6);
    let disk = Disk::read_only(&folder);
    assert_eq!(log::verify(&disk).expect("whole"), 1 + done as u64);
    let past = log::history(&disk, 1).expect("whole");
    let mut ids: Vec<&str> = past.iter().map(|past| past.change.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), done);
}

#[test]
fn a_follower_takes_what_is_safe_in_order_and_never_goes_back() {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 700).expect("a folder");
    assert!(matches!(Follower::open(&disk, None), Err(FollowError::NoLog)));
    import(&mut log);
    let mut follower = Follower::open(&disk, None).expect("version 1");
    assert!(follower.poll(&disk).expect("whole").is_empty());
    let mut steps = Vec::new();
    for n in 1..=30u32 {
        let edit = match n % 3 {
            0 => set(Kind::Plan, "p1", "limit", json!(50.0 + f64::from(n))),
            1 => set(Kind::Volume, "v1", "plan", json!(format!("p{}", n % 2))),
            _ => set(Kind::Rules, "", "cold_time", json!(f64::from(n))),
        };
        log.commit(change(&format!("c{n}"), u64::from(n), vec![edit])).expect("right");
        // It looks now and then only.
        if n % 4 == 0 {
            steps.extend(follower.poll(&disk).expect("whole"));
        }
    }
    steps.extend(follower.poll(&disk).expect("whole"));
    let numbers: Vec<u64> = steps.iter().map(|(version, _)| version.number).collect();
    assert_eq!(numbers, (2..=31).collect::<Vec<_>>());
    assert_eq!(follower.replica.version.configuration.bytes(), log.head().configuration.bytes());
    assert_eq!(steps[0].1, [SettingsChange::Volume(1)]);
    // One that was away while segments went finds the difference, and keeps its places.
    let mut away = Follower::open(&with(&disk.read(&segment::file_name(0), 1 << 20).expect("there")), None)
        .expect("old");
    let mut newest = SimulatedDisk::default();
    let last = *log::segments(&disk).expect("there").last().expect("some");
    newest
        .write(&segment::file_name(last), &disk.read(&segment::file_name(last), 1 << 20).expect("there"))
        .expect("room");
    let caught_up = away.poll(&newest).expect("whole");
    assert_eq!(caught_up.last().map(|(version, _)| version.number), Some(31));
    assert_eq!(away.replica.version.configuration.bytes(), log.head().configuration.bytes());
    // Its log is put back to what it was: it keeps what it has.
    let past: CommittedChange = log::history(&disk, 29).expect("whole").remove(0);
    assert_eq!(past.version, 30);
    let acted = Some((31, follower.replica.hash));
    assert!(matches!(
        Follower::open(&with(&one_segment()), acted),
        Err(FollowError::LogOlder { have: 31, found: 10 })
    ));
    assert!(matches!(Follower::open(&disk, Some((31, [1; 32]))), Err(FollowError::DivergentHistory(31))));
    assert!(Follower::open(&disk, acted).is_ok());
}

/// Changes that were read before the trouble are told; the trouble is told at the next look, and at each after.
#[test]
fn trouble_further_on_takes_nothing_from_what_was_read_before_it() {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 700).expect("a folder");
    import(&mut log);
    let first = disk.read(&segment::file_name(0), 1 << 20).expect("there");
    let mut follower = Follower::open(&with(&first), None).expect("version 1");
    for n in 1..=30u32 {
        let edit = set(Kind::Plan, "p1", "limit", json!(50.0 + f64::from(n)));
        log.commit(change(&format!("c{n}"), u64::from(n), vec![edit])).expect("right");
    }
    let segments = log::segments(&disk).expect("there");
    let (last, broken) = (*segments.last().expect("some"), segments[segments.len() - 2]);
    assert!(broken > 1 && last > broken, "{segments:?}");
    let mut damaged = disk.clone();
    damaged.write(&segment::file_name(broken), b"no log").expect("room");
    let taken = follower.poll(&damaged).expect("what was read before");
    let numbers: Vec<u64> = taken.iter().map(|(version, _)| version.number).collect();
    assert_eq!(numbers, (2..=broken).collect::<Vec<_>>());
    assert_eq!(follower.replica.version.number, broken);
    for _ in 0..2 {
        assert!(matches!(follower.poll(&damaged), Err(FollowError::Log(LogError::Broken { .. }))));
    }
}

#[test]
fn a_clock_that_runs_backwards_changes_no_order() {
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
fn places_stay_whatever_goes_and_comes() {
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
fn many_changes_of_many_volumes_stay_small() {
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
    assert_eq!((again.volumes(), again.volume_count("p2")), (version.volumes(), version.volume_count("p2")));
    assert!((again.reserved() - version.reserved()).abs() < 1e-6);
}
