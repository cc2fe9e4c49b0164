//! Golden test of the folder format: the recorded example is a log with a move in each phase. Every later
//! version must write the same records as the same bytes, and read the recorded files.

use umbertray_control_plane::{Move, Phase};
use umbertray_snapshot::sim::SimulatedDisk;
use umbertray_store_protocol::orders::ExtentRange;

use super::*;

const MAX_BYTES: usize = 1 << 20;
/// One line per file: its name and its bytes in hex.
const RECORDED: &str = include_str!("golden/folder.txt");

fn open(disk: &SimulatedDisk) -> (Log, Coordinator) {
    let opened = Log::open(Box::new(disk.clone()), Path::new("folder"), || Ok(())).expect("the log opens");
    (opened.log, opened.coordinator)
}

/// The batches of records that one run of the coordinator logs: claims and moves, with one move left in each
/// phase.
fn record_batches() -> Vec<Vec<Record>> {
    let mut batches = vec![vec![Record::Term(1)]];
    for volume in 1..=6 {
        let range = ExtentRange { volume, start: 2, end: 900 };
        let claimed = |extent| Record::Claimed { volume, extent, shard: 4 };
        batches.push(vec![claimed(2), claimed(899)]);
        batches.push(vec![Record::Planned { number: volume, planned: Move::new(range, 4, 5, 1) }]);
    }
    let entered = |number, phase| vec![Record::Entered { number, phase }];
    batches.extend([
        entered(2, Phase::Fenced),
        entered(3, Phase::Fenced),
        entered(3, Phase::Committed),
        entered(4, Phase::Fenced),
        entered(4, Phase::RolledBack),
        entered(5, Phase::Abandoned),
        entered(6, Phase::Fenced),
        entered(6, Phase::Committed),
        entered(6, Phase::Finished),
    ]);
    batches
}

fn write_log() -> (SimulatedDisk, CoordinatorState) {
    let disk = SimulatedDisk::default();
    let (mut log, coordinator) = open(&disk);
    let mut state = coordinator.state().clone();
    // The first batch, the run's term, is already part of the state.
    for batch in &record_batches()[1..] {
        batch.iter().for_each(|record| state.apply(record));
        log.append(batch, &state).expect("the append succeeds");
    }
    (disk, state)
}

fn transcript(disk: &SimulatedDisk) -> String {
    let mut names = disk.names().expect("the folder is readable");
    names.sort();
    let file = |name: String| {
        let bytes = disk.read(&name, MAX_BYTES).expect("the file is readable");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name}: {hex}\n")
    };
    names.into_iter().map(file).collect()
}

fn recorded_disk() -> SimulatedDisk {
    let mut disk = SimulatedDisk::default();
    for line in RECORDED.lines() {
        let (name, hex) = line.split_once(": ").expect("a file name and its bytes");
        let byte = |index: usize| u8::from_str_radix(&hex[index..index + 2], 16).expect("hex digits");
        let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        disk.write(name, &bytes).expect("the write succeeds");
        disk.sync(name).expect("the sync succeeds");
    }
    disk.sync_folder().expect("the folder sync succeeds");
    disk
}

#[test]
fn log_is_written_to_recorded_bytes() {
    let text = transcript(&write_log().0);
    assert!(text == RECORDED, "differs from src/log/golden/folder.txt:\n{text}");
}

#[test]
fn recorded_log_is_read() {
    let (_, coordinator) = open(&recorded_disk());
    let mut expected = write_log().1;
    // The new run has already incremented the term in memory; it will log the term first.
    expected.term = coordinator.state().term;
    assert_eq!(coordinator.state(), &expected);
    assert_eq!(coordinator.state().moves.len(), 5);
}
