//! Tests of a crash at every step of generated histories, and of damaged, foreign and old files.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use umbertray_fakes::test_folder::TestFolder;
use umbertray_routing::Snapshot;
use umbertray_routing::snapshot_records::{LearnedValues, StoreRecord, VolumeRecord};
use umbertray_snapshot::delta::CurrentSnapshot;
use umbertray_snapshot::folder::SnapshotStore;
use umbertray_snapshot::format::{self, FileHeader, FileRecord, ParsedFile, StampedSnapshot};
use umbertray_snapshot::record::encode_record;
use umbertray_snapshot::sim::{SimulatedDisk, StorageFault};
use umbertray_snapshot::{Age, Disk, FolderError, LoadNote, Stamp, Storage};

/// Size of a file, bytes. Small, so that a history has several generations.
const MAX_FILE_BYTES: usize = 1024;

fn stamp(n: u64) -> Stamp {
    Stamp { wall: n, boot: 7, since_boot: n }
}

/// A distinct state for each `n`, with `size + 1` volumes.
fn saved(n: u64, size: usize) -> Snapshot {
    let volume =
        |volume| VolumeRecord { volume, rate: 1.0, reported_rate: 2.0, reserved_tokens: 1000.0 * n as f64 };
    let volumes = (0..=size as u64).map(volume).collect();
    Snapshot { stores: Vec::new(), volumes, promise_duration: Duration::from_secs(2) }
}

/// The `n` of a state. All its volumes must agree.
fn number(saved: &Snapshot) -> u64 {
    let tokens = saved.volumes[0].reserved_tokens;
    assert!(
        saved.volumes.iter().all(|volume| volume.reserved_tokens == tokens),
        "mix of two states: {saved:?}"
    );
    (tokens / 1000.0) as u64
}

fn open(disk: &SimulatedDisk) -> (SnapshotStore, u64, Vec<LoadNote>) {
    let (folder, loaded, notes) =
        SnapshotStore::open(Box::new(disk.clone()), 1, 2, stamp(1000), MAX_FILE_BYTES)
            .expect("a usable folder");
    let n = loaded.map_or(0, |loaded| number(&loaded.snapshot));
    (folder, n, notes)
}

/// Saves states of these sizes, some of which begin a new file. Returns the `n` of the last state reported as
/// saved.
fn history(disk: &SimulatedDisk, sizes: &[u16], first: u64) -> u64 {
    let (mut folder, ..) = open(disk);
    let (mut now, mut last_saved) = (Duration::ZERO, 0);
    for (n, size) in sizes.iter().enumerate() {
        now += Duration::from_secs(100);
        let n = first + n as u64;
        // Some states fill a file, so that the next begins a new generation.
        let size = if size % 4 == 0 { 60 } else { usize::from(*size % 10) };
        if folder.save(now, stamp(n), saved(n, size)).is_ok_and(|is_saved| is_saved) {
            last_saved = n;
        }
        if disk.has_crashed() {
            break;
        }
    }
    last_saved
}

#[test]
fn crash_at_any_step_keeps_last_saved_state() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands over what it generates")]
    fn holds(sizes: Vec<u16>, seed: u64) -> bool {
        let sizes = &sizes[..sizes.len().min(8)];
        let undisturbed = SimulatedDisk::default();
        history(&undisturbed, sizes, 1);
        (1..=undisturbed.steps()).all(|step| {
            let disk = SimulatedDisk::default();
            disk.inject_fault(step, StorageFault::Crash);
            let last_saved = history(&disk, sizes, 1);
            let restarted = disk.after_crash(seed ^ step);
            let (_, n, _) = open(&restarted);
            // Either the last state reported as saved, or the one that was being written.
            if !(n == last_saved || n == last_saved + 1) {
                return false;
            }
            // Saving continues from there, through another crash.
            restarted.inject_fault(restarted.steps() + 1 + step % 4, StorageFault::Crash);
            let later = history(&restarted, &[1, 1], 100);
            let (_, again, _) = open(&restarted.after_crash(seed));
            again == later
                || again == later.max(99) + 1
                || later == 0 && (again == n || again == 100 || n == 0)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 1))
        .tests(60)
        .quickcheck(holds as fn(Vec<u16>, u64) -> bool);
}

#[test]
fn failed_step_never_reports_saved() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands over what it generates")]
    fn holds(sizes: Vec<u16>, at: u8, seed: u64) -> bool {
        let sizes = &sizes[..sizes.len().min(8)];
        let disk = SimulatedDisk::default();
        (0..3).for_each(|n| disk.inject_fault(u64::from(at % 20) + n * 5, StorageFault::Fail));
        let last_saved = history(&disk, sizes, 1);
        let (_, n, _) = open(&disk.after_crash(seed));
        n >= last_saved
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 1))
        .tests(300)
        .quickcheck(holds as fn(Vec<u16>, u8, u64) -> bool);
}

#[test]
fn promise_is_given_once_and_only_if_claimed() {
    let saved_disk = || {
        let disk = SimulatedDisk::default();
        assert_eq!(history(&disk, &[1], 7), 7);
        disk
    };
    let load = |disk: &SimulatedDisk| {
        let opened = SnapshotStore::open(Box::new(disk.clone()), 1, 2, stamp(1000), MAX_FILE_BYTES)
            .expect("a usable folder");
        opened.1.map(|loaded| (loaded.snapshot.promise_duration, loaded.age))
    };
    let age = Age::Known(Duration::from_micros(993));
    let disk = saved_disk();
    assert_eq!(load(&disk), Some((Duration::from_secs(2), age)));
    assert_eq!(load(&disk), Some((Duration::ZERO, age)), "the previous run may have used it");
    // Claiming a promise takes four steps. If one of them fails or the machine crashes, the promise is void.
    for fault in [StorageFault::Fail, StorageFault::Crash] {
        for step in 1..=4 {
            let disk = saved_disk();
            disk.inject_fault(disk.steps() + step, fault);
            assert_eq!(load(&disk), Some((Duration::ZERO, age)), "{fault:?} at {step}");
        }
    }
    let disk = saved_disk();
    load(&disk);
    assert_eq!(load(&disk.after_crash(5)), Some((Duration::ZERO, age)));
}

fn file(gateway: u64, digest: u64, generation: u64, n: u64) -> Vec<u8> {
    let mut bytes = format::file_preamble();
    bytes.extend(encode_record(&FileHeader { gateway, digest, generation }).expect("small"));
    bytes.extend(
        encode_record(&FileRecord::Snapshot(StampedSnapshot { taken_at: stamp(n), state: saved(n, 0) }))
            .expect("small"),
    );
    bytes
}

fn put(disk: &mut SimulatedDisk, generation: u64, bytes: &[u8]) {
    disk.write(&format!("state-{generation:020}.umb"), bytes).expect("no injected fault");
}

#[test]
fn damaged_file_gives_older_state_or_none() {
    let good = file(1, 2, 2, 9);
    for at in 0..good.len() {
        let mut disk = SimulatedDisk::default();
        put(&mut disk, 1, &file(1, 2, 1, 5));
        let mut flipped = good.clone();
        flipped[at] ^= 1 << (at % 8);
        put(&mut disk, 2, &flipped);
        match SnapshotStore::open(Box::new(disk.clone()), 1, 2, stamp(1000), MAX_FILE_BYTES) {
            Ok((_, loaded, notes)) => {
                let n = loaded.map(|loaded| number(&loaded.snapshot));
                assert!(n == Some(5) && !notes.is_empty(), "bit in byte {at}: {n:?} {notes:?}");
            }
            // A flipped bit in the version makes the file look newer. It is left unchanged then.
            Err(FolderError::Newer { .. }) => assert!((6..8).contains(&at)),
            Err(other) => panic!("{other}"),
        }
        let mut disk = SimulatedDisk::default();
        put(&mut disk, 1, &file(1, 2, 1, 5));
        put(&mut disk, 2, &good[..at]);
        assert_eq!(open(&disk).1, 5, "cut at {at}");
    }
    let mut disk = SimulatedDisk::default();
    let mut tail = good.clone();
    tail.extend([0; 5000]);
    put(&mut disk, 2, &tail);
    let (_, n, notes) = open(&disk);
    assert!(n == 9 && matches!(&notes[..], [LoadNote::TornWrite { bytes: 5000, .. }]), "{notes:?}");
    let mut disk = SimulatedDisk::default();
    put(&mut disk, 1, &file(1, 2, 2, 9));
    put(&mut disk, 2, &file(1, 2, 1, 5));
    assert_eq!(open(&disk).1, 0, "neither file has the name of its generation");
}

#[test]
fn foreign_and_newer_files_are_left_alone() {
    let mut disk = SimulatedDisk::default();
    put(&mut disk, 1, &file(8, 2, 1, 5));
    let opened = SnapshotStore::open(Box::new(disk.clone()), 1, 2, stamp(9), MAX_FILE_BYTES);
    assert!(matches!(opened.err(), Some(FolderError::Foreign { found: 8, expected: 1 })));
    let mut disk = SimulatedDisk::default();
    let mut future = file(1, 2, 1, 5);
    future[6] = 3;
    put(&mut disk, 1, &future);
    let opened = SnapshotStore::open(Box::new(disk.clone()), 1, 2, stamp(9), MAX_FILE_BYTES);
    assert!(matches!(opened.err(), Some(FolderError::Newer { version: 3, .. })));
    assert_eq!(disk.read("state-00000000000000000001.umb", 1 << 20).expect("readable"), future);
}

#[test]
fn changed_settings_keep_learned_state_and_void_promise() {
    let mut disk = SimulatedDisk::default();
    put(&mut disk, 1, &file(1, 3, 1, 5));
    let (_, loaded, notes) =
        SnapshotStore::open(Box::new(disk), 1, 2, stamp(9), MAX_FILE_BYTES).expect("a usable folder");
    let loaded = loaded.expect("loaded");
    assert_eq!((loaded.snapshot.promise_duration, number(&loaded.snapshot)), (Duration::ZERO, 5));
    assert_eq!((loaded.age, notes), (Age::Known(Duration::from_micros(4)), vec![LoadNote::OtherSettings]));
}

/// Later versions of the program must be able to read the recorded files of each format version.
#[test]
fn files_of_every_version_are_readable() {
    let learned = LearnedValues { latency: 0.25, concurrency_limit: 6.0, virtual_times: vec![(6, 1.5)] };
    let store = |store: u64, address: &str, shard, state, incarnation, learned_values| {
        let address = address.parse().expect("an address");
        StoreRecord { store, address, shard, zone: 1, state, incarnation, learned_values }
    };
    let stores =
        vec![store(4, "127.0.0.1:700", 2, 1, 3, Some(learned)), store(5, "[::1]:701", 3, 2, 1, None)];
    let volumes = vec![VolumeRecord { volume: 6, rate: 1.0, reported_rate: 2.0, reserved_tokens: 3.0 }];
    let state = Snapshot { stores, volumes, promise_duration: Duration::from_secs(2) };
    let header = FileHeader { gateway: 1, digest: 2, generation: 1 };
    let read = |bytes| format::parse_file(bytes).expect("an intact file");
    let snapshot = StampedSnapshot { taken_at: stamp(6), state };
    let expected =
        ParsedFile { header: header.clone(), snapshot: snapshot.clone(), record_count: 2, torn_bytes: 0 };
    assert_eq!(read(include_bytes!("version-1-stores.umb")), expected);
    let mut bytes = format::file_preamble();
    let mut current =
        CurrentSnapshot::new(StampedSnapshot { taken_at: stamp(5), state: Snapshot::default() });
    let delta = current.delta_to(stamp(6), snapshot.state.clone());
    bytes.extend(encode_record(&header).expect("small"));
    bytes.extend(
        encode_record(&FileRecord::Snapshot(current.clone().into_stamped_snapshot())).expect("small"),
    );
    bytes.extend(encode_record(&FileRecord::Delta(delta.clone())).expect("small"));
    current.apply(delta);
    assert_eq!(read(include_bytes!("version-2.umb")), expected);
    assert_eq!(
        bytes[..],
        include_bytes!("version-2.umb")[..],
        "version 2 is written with the same bytes as recorded"
    );
}

#[test]
fn version_1_file_is_readable() {
    let bytes = include_bytes!("version-1.umb");
    let read = format::parse_file(bytes).expect("version 1");
    assert_eq!(read.header, FileHeader { gateway: 1, digest: 2, generation: 1 });
    let volume = VolumeRecord { volume: 5, rate: 1.0, reported_rate: 2.0, reserved_tokens: 3.0 };
    let state =
        Snapshot { stores: Vec::new(), volumes: vec![volume], promise_duration: Duration::from_secs(2) };
    assert_eq!(read.snapshot, StampedSnapshot { taken_at: stamp(5), state });
}

#[test]
fn real_folder_is_locked_and_reloads_saved_state() {
    let folder = TestFolder::create(env!("CARGO_TARGET_TMPDIR"), "state-folder").expect("a folder");
    let disk = Disk::open(&folder).expect("a folder");
    assert_eq!(Disk::open(&folder).err().map(|error| error.kind()), Some(std::io::ErrorKind::WouldBlock));
    let (mut first, ..) =
        SnapshotStore::open(Box::new(disk), 1, 2, stamp(1), MAX_FILE_BYTES).expect("a usable folder");
    for (n, size) in [(1, 0), (2, 60), (3, 60)] {
        let now = Duration::from_secs(100 * n);
        assert!(first.save(now, stamp(n), saved(n, size)).expect("a working disk"));
    }
    drop(first);
    let disk = Disk::open(&folder).expect("unlocked again");
    assert_eq!(disk.names().expect("readable").len(), 3, "two generations and the lock");
    let (_, loaded, _) =
        SnapshotStore::open(Box::new(disk), 1, 2, stamp(9), MAX_FILE_BYTES).expect("a usable folder");
    assert_eq!(number(&loaded.expect("loaded").snapshot), 3);
}
