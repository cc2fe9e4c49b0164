//! Following a log that grows, goes back or is damaged.

use serde_json::json;
use umbertray_config_log::follow::{FollowError, Follower};
use umbertray_config_log::log::{self, CommittedChange, Log, LogError};
use umbertray_config_log::model::Kind;
use umbertray_config_log::segment;
use umbertray_config_log::version::SettingsChange;
use umbertray_snapshot::Storage;
use umbertray_snapshot::sim::SimulatedDisk;

use crate::{change, import, one_segment, set, with};

#[test]
fn follower_applies_synced_changes_in_order_and_never_goes_back() {
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
        // It polls now and then only.
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
    let committed: CommittedChange = log::history(&disk, 29).expect("whole").remove(0);
    assert_eq!(committed.version, 30);
    let acted = Some((31, follower.replica.hash));
    assert!(matches!(
        Follower::open(&with(&one_segment()), acted),
        Err(FollowError::LogOlder { have: 31, found: 10 })
    ));
    assert!(matches!(Follower::open(&disk, Some((31, [1; 32]))), Err(FollowError::DivergentHistory(31))));
    assert!(Follower::open(&disk, acted).is_ok());
}

/// Changes read before the damage are returned; the damage is reported by the next poll and each after.
#[test]
fn damaged_later_segment_keeps_changes_read_before_it() {
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
