//! Recorded examples of the coordinator's stored data: its state and each kind of log record. Every later
//! version has to write and read them byte for byte.

use umbertray_control_plane::moves::{Move, Phase};
use umbertray_control_plane::{CoordinatorState, Record};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::ExtentRange;

const RECORDED: &str = include_str!("golden/state.txt");
const PHASES: [Phase; 6] =
    [Phase::Copying, Phase::Fenced, Phase::Committed, Phase::RolledBack, Phase::Abandoned, Phase::Finished];

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn range(volume: u64) -> ExtentRange {
    ExtentRange { volume, start: 2, end: 900 }
}

/// Claims of extents, then one move per volume, each in a different phase.
fn records() -> Vec<Record> {
    let mut records = vec![Record::Term(3)];
    for volume in 1..=6 {
        let claimed = |extent| Record::Claimed { volume, extent, shard: 4 };
        records.extend([claimed(2), claimed(3), claimed(899)]);
        let planned = Move::new(range(volume), 4, 5, 1);
        records.push(Record::Planned { number: volume, planned });
    }
    for (number, phase) in (1..).zip(PHASES) {
        let earlier = match phase {
            Phase::Committed | Phase::RolledBack => Some(Phase::Fenced),
            Phase::Finished => Some(Phase::Committed),
            _ => None,
        };
        records.extend(earlier.map(|phase| Record::Entered { number, phase }));
        records.push(Record::Entered { number, phase });
    }
    records
}

fn state() -> CoordinatorState {
    let mut state = CoordinatorState::default();
    records().iter().for_each(|record| state.apply(record));
    state
}

#[test]
fn state_and_records_match_recorded_bytes() {
    let mut transcript = String::new();
    for record in records() {
        let bytes = postcard::to_stdvec(&record).expect("small");
        assert_eq!(postcard::from_bytes::<Record>(&bytes).as_ref(), Ok(&record));
        transcript.push_str(&format!("record: {}\n", hex(&bytes)));
    }
    transcript.push_str(&format!("state: {}\n", hex(&state().encode())));
    assert!(transcript == RECORDED, "differs from tests/golden/state.txt:\n{transcript}");
}

#[test]
fn recorded_state_is_read() {
    let recorded = RECORDED.lines().find_map(|line| line.strip_prefix("state: ")).expect("a state");
    let byte = |at: usize| u8::from_str_radix(&recorded[at..at + 2], 16).expect("hex");
    let bytes: Vec<u8> = (0..recorded.len()).step_by(2).map(byte).collect();
    let read = CoordinatorState::decode(&bytes).expect("a state");
    assert_eq!(read, state());
    assert_eq!(read.map.location(3, 2), Some(Location { shard: 5, epoch: 1 }), "committed");
    assert_eq!(read.map.location(4, 2), Some(Location { shard: 4, epoch: 2 }), "rolled back");
    assert_eq!(read.ended_moves.get(&6), Some(&Phase::Committed));
}
