//! Tests of following a change log that grows, is replaced by an older one, or is damaged.

use serde_json::json;
use umbertray_config_log::follow::{FollowError, Follower};
use umbertray_config_log::log::{self, CommittedChange, Log, LogError};
use umbertray_config_log::model::Kind;
use umbertray_config_log::segment;
use umbertray_config_log::version::SettingsChange;
use umbertray_snapshot::Storage;
use umbertray_snapshot::sim::SimulatedDisk;

use crate::{change, disk_with_segment, import, one_segment, set};

#[test]
fn follower_applies_synced_changes_in_order_and_never_goes_back() {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 700).expect("a folder");
    assert!(matches!(Follower::open(&disk, None), Err(FollowError::NoLog)));
    import(&mut log);
    let mut follower = Follower::open(&disk, None).expect("version 1");
    assert!(follower.poll(&disk).expect("an intact log").is_empty());
    let mut steps = Vec::new();
    for n in 1..=30u32 {
        let edit = match n % 3 {
            0 => set(Kind::Plan, "p1", "limit", json!(50.0 + f64::from(n))),
            1 => set(Kind::Volume, "v1", "plan", json!(format!("p{}", n % 2))),
            _ => set(Kind::Rules, "", "cold_time", json!(f64::from(n))),
        };
        log.commit(change(&format!("c{n}"), u64::from(n), vec![edit])).expect("a valid change");
        // The follower polls only after every fourth change.
        if n % 4 == 0 {
            steps.extend(follower.poll(&disk).expect("an intact log"));
        }
    }
    steps.extend(follower.poll(&disk).expect("an intact log"));
    let numbers: Vec<u64> = steps.iter().map(|(version, _)| version.number).collect();
    assert_eq!(numbers, (2..=31).collect::<Vec<_>>());
    assert_eq!(follower.replica.version.configuration.to_bytes(), log.head().configuration.to_bytes());
    assert_eq!(steps[0].1, [SettingsChange::Volume(1)]);
    // A follower that missed removed segments catches up from a checkpoint, and the indices of its plans and
    // volumes stay the same.
    let mut lagging = Follower::open(
        &disk_with_segment(&disk.read(&segment::file_name(0), 1 << 20).expect("readable")),
        None,
    )
    .expect("an old log");
    let mut newest = SimulatedDisk::default();
    let last = *log::segments(&disk).expect("readable").last().expect("a segment");
    newest
        .write(&segment::file_name(last), &disk.read(&segment::file_name(last), 1 << 20).expect("readable"))
        .expect("a successful write");
    let caught_up = lagging.poll(&newest).expect("an intact log");
    assert_eq!(caught_up.last().map(|(version, _)| version.number), Some(31));
    assert_eq!(lagging.replica.version.configuration.to_bytes(), log.head().configuration.to_bytes());
    // A follower rejects a log that was replaced by an older one or that has a different history.
    let committed: CommittedChange = log::history(&disk, 29).expect("an intact log").remove(0);
    assert_eq!(committed.version, 30);
    let applied = Some((31, follower.replica.hash));
    assert!(matches!(
        Follower::open(&disk_with_segment(&one_segment()), applied),
        Err(FollowError::LogOlder { applied: 31, found: 10 })
    ));
    assert!(matches!(Follower::open(&disk, Some((31, [1; 32]))), Err(FollowError::DivergentHistory(31))));
    assert!(Follower::open(&disk, applied).is_ok());
}

/// Changes read before the damage are returned; the damage is reported by the next poll and each after.
#[test]
fn damaged_later_segment_keeps_changes_read_before_it() {
    let disk = SimulatedDisk::default();
    let mut log = Log::open(Box::new(disk.clone()), 700).expect("a folder");
    import(&mut log);
    let first = disk.read(&segment::file_name(0), 1 << 20).expect("readable");
    let mut follower = Follower::open(&disk_with_segment(&first), None).expect("version 1");
    for n in 1..=30u32 {
        let edit = set(Kind::Plan, "p1", "limit", json!(50.0 + f64::from(n)));
        log.commit(change(&format!("c{n}"), u64::from(n), vec![edit])).expect("a valid change");
    }
    let segments = log::segments(&disk).expect("readable");
    let (last, damaged_start) = (*segments.last().expect("a segment"), segments[segments.len() - 2]);
    assert!(damaged_start > 1 && last > damaged_start, "{segments:?}");
    let mut damaged = disk.clone();
    damaged.write(&segment::file_name(damaged_start), b"no log").expect("a successful write");
    let polled = follower.poll(&damaged).expect("the changes before the damage");
    let numbers: Vec<u64> = polled.iter().map(|(version, _)| version.number).collect();
    assert_eq!(numbers, (2..=damaged_start).collect::<Vec<_>>());
    assert_eq!(follower.replica.version.number, damaged_start);
    for _ in 0..2 {
        assert!(matches!(follower.poll(&damaged), Err(FollowError::Log(LogError::Broken { .. }))));
    }
}
