//! Round trips of every message, the exact bytes of some frames, and rejected frames.

use bytes::{Bytes, BytesMut};
use quickcheck::{Gen, QuickCheck};
use umbertray_store_protocol::changes::{
    Checkpoint, FromUpstream, LaggingMember, MAX_BODY, MAX_CHANGE_FRAME, MAX_CHECKPOINT, MAX_LAGGING,
    MAX_NAME, MAX_PART, MAX_PATH, MAX_RETRY_AFTER, MAX_VERSION_COUNTS, Position, ProgressSummary,
    RejectionReason, Role, Status, ToUpstream, VersionCount,
};
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::orders::{ExtentContent, ExtentRange, OrderReply, PAGE_BYTES};
use umbertray_store_protocol::store::{
    Attempt, AttemptResult, DataRange, FromStore, OperationKind, ResultCode, ToStore,
};
use umbertray_store_protocol::{FrameError, MAX_FRAME, Message, next_frame};

use common::{EXECUTED_OP, orders};

mod common;

fn attempt() -> Attempt {
    Attempt {
        number: 1,
        op: 2,
        volume: 3,
        extent: 4,
        epoch: 5,
        kind: OperationKind::Write,
        offset: 5,
        length: 3,
        units: 1.0,
        not_after: 6,
        supersedes: vec![7],
        durable: true,
        data: Bytes::from_static(b"abc"),
    }
}

fn content() -> ExtentContent {
    ExtentContent { extent: 3, change_count: 4, pages: vec![(7, Bytes::from(vec![1; PAGE_BYTES]))] }
}

fn assert_round_trip<M: Message + PartialEq + std::fmt::Debug>(messages: &[M]) {
    let frames: Vec<u8> = messages.iter().flat_map(|message| message.frame().to_vec()).collect();
    let mut input = BytesMut::from(&frames[..]);
    for message in messages {
        assert_eq!(next_frame::<M>(&mut input).as_ref(), Ok(&Some(M::read_back(message))));
        let frame = message.frame();
        for cut in 0..frame.len() {
            assert_eq!(next_frame::<M>(&mut BytesMut::from(&frame[..cut])), Ok(None));
            // A frame whose length is too short for its fields.
            if cut > 4 {
                let mut shortened = BytesMut::from(&frame[..cut]);
                shortened[..4].copy_from_slice(&((cut - 4) as u32).to_be_bytes());
                assert_ne!(next_frame::<M>(&mut shortened).ok().flatten().as_ref(), Some(message));
            }
        }
    }
    assert!(input.is_empty());
}

trait ReadBack: Sized {
    fn read_back(message: &Self) -> Self;
}

impl<M: Message> ReadBack for M {
    fn read_back(message: &M) -> M {
        next_frame(&mut BytesMut::from(&message.frame()[..])).ok().flatten().expect("a complete frame")
    }
}

#[test]
fn messages_to_store_written_read_back_equal() {
    assert_round_trip(&[
        ToStore::Hello { run: 9 },
        ToStore::Attempt(attempt()),
        ToStore::Cancel { number: 8 },
        ToStore::HealthCheck { token: 7 },
    ]);
    let empty = ExtentContent { pages: vec![], ..content() };
    assert_round_trip(&orders(empty).map(|order| ToStore::Order { token: 1, term: 2, number: 3, order }));
    assert_eq!(ToStore::read_back(&ToStore::Attempt(attempt())), ToStore::Attempt(attempt()));
}

#[test]
fn messages_from_store_written_read_back_equal() {
    let load_report = vec![("queue".to_string(), 2.5)];
    let attempt_result = |code| AttemptResult {
        number: 1,
        code,
        clock: 2,
        epoch: 5,
        plan_rate_used: Some(0.5),
        units_elsewhere: 3.0,
        load_report: load_report.clone(),
        data_ranges: vec![DataRange { length: 4, has_data: true }],
    };
    let messages = [
        FromStore::Welcome { store: 1, shard: 2, clock: 3 },
        FromStore::Data { number: 1, offset: 2, data: Bytes::from_static(b"xyz") },
        FromStore::Hole { number: 1, offset: 2, length: 3 },
        FromStore::AttemptResult(attempt_result(Ok(ResultCode::Fenced))),
        FromStore::AttemptResult(attempt_result(Err(200))),
        FromStore::Healthy { token: 1, clock: 2, load_report: load_report.clone() },
        FromStore::OrderReply { token: 1, reply: OrderReply::Done },
        FromStore::OrderReply { token: 1, reply: OrderReply::ExtentsLeft(2) },
        FromStore::OrderReply { token: 1, reply: OrderReply::NextExtent(None) },
        FromStore::OrderReply { token: 1, reply: OrderReply::NextExtent(Some(content())) },
        FromStore::OrderReply { token: 1, reply: OrderReply::ExecutedOps(vec![EXECUTED_OP]) },
        FromStore::OrderReply { token: 1, reply: OrderReply::StaleTerm(9) },
        FromStore::OrderReply { token: 1, reply: OrderReply::WrongState },
    ];
    assert_round_trip(&messages);
    messages.iter().for_each(|message| assert_eq!(&FromStore::read_back(message), message));
}

#[test]
fn list_messages_written_read_back_equal() {
    let entry = |age| ListedStore {
        store: 1,
        address: "127.0.0.1:80".parse().expect("an address"),
        shard: 2,
        zone: 3,
        state: EndpointState::Draining,
        incarnation: 4,
        age,
    };
    assert_round_trip(&[
        ToList::Hello { run: 1 },
        ToList::Watch,
        ToList::Fetch,
        ToList::Lookup { token: 1, volume: 2, extent: 3, min_epoch: 4 },
        ToList::Move { token: 1, range: ExtentRange { volume: 2, start: 3, end: 4 }, shard: 5 },
        ToList::MoveStatus { token: 1, number: 2, abandon: true },
        ToList::Claim { token: 1, volume: 2, extent: 3, shard: 4 },
        ToList::Shards { token: 1, volume: 2 },
    ]);
    let messages = [
        FromList::Welcome { term: 3 },
        FromList::Complete(vec![entry(None), entry(Some(5))]),
        FromList::Changes(vec![entry(Some(5))]),
        FromList::Failed,
        FromList::Location { token: 1, location: Some(Location { shard: 2, epoch: 3 }) },
        FromList::Location { token: 1, location: None },
        FromList::Shards { token: 1, shards: vec![1, 2] },
        FromList::Move { token: 1, number: Ok(2) },
        FromList::Move { token: 1, number: Err("why".into()) },
        FromList::MoveStatus { token: 1, state: "over".into(), is_finished: true },
    ];
    assert_round_trip(&messages);
    messages.iter().for_each(|message| assert_eq!(&FromList::read_back(message), message));
}

/// The bytes of protocol version 2: changing them requires a new version.
#[test]
fn attempt_written_has_bytes_of_version_2() {
    let mut expected = vec![0, 0, 0, 74, 2];
    [1u64, 2, 3, 4, 5].iter().for_each(|number| expected.extend(number.to_be_bytes()));
    expected.extend([1, 0, 0, 0, 5, 0, 0, 0, 3]);
    expected.extend(1.0f64.to_be_bytes());
    expected.extend(6u64.to_be_bytes());
    expected.extend([0, 1]);
    expected.extend(7u64.to_be_bytes());
    expected.push(1);
    expected.extend(b"abc");
    expected[3] = (expected.len() - 4) as u8;
    assert_eq!(ToStore::Attempt(attempt()).frame(), expected);
}

#[test]
fn malformed_frames_are_rejected_with_specific_error() {
    let read_error =
        |bytes: &[u8]| next_frame::<ToStore>(&mut BytesMut::from(bytes)).expect_err("a rejected frame");
    assert_eq!(read_error(&[0; 4]), FrameError::Empty);
    assert_eq!(read_error(&[255; 4]), FrameError::TooLong { length: u32::MAX, max: MAX_FRAME });
    assert_eq!(read_error(&[0, 0, 0, 1, 99]), FrameError::UnknownKind(99));
    assert_eq!(read_error(&[0, 0, 0, 2, 3, 0]), FrameError::Truncated { kind: 3 });
    let mut with_extra_byte = ToStore::Cancel { number: 1 }.frame().to_vec();
    with_extra_byte[3] += 1;
    with_extra_byte.push(0);
    assert_eq!(read_error(&with_extra_byte), FrameError::TrailingBytes { kind: 3, extra_bytes: 1 });
    let mut hello = ToStore::Hello { run: 1 }.frame().to_vec();
    hello[10] = 1;
    assert!(matches!(read_error(&hello), FrameError::VersionMismatch { version: 1, .. }));
    let wrong_length = ToStore::Attempt(Attempt { length: 9, ..attempt() });
    assert!(matches!(read_error(&wrong_length.frame()), FrameError::InvalidValue { field: "length", .. }));
    let nan_units = ToStore::Attempt(Attempt { units: f64::NAN, ..attempt() });
    assert!(matches!(read_error(&nan_units.frame()), FrameError::InvalidValue { field: "units", .. }));
}

#[test]
fn arbitrary_bytes_read_never_panic() {
    fn reads_without_panic(kind: u8, body: Vec<u8>) -> bool {
        let mut frame = ((body.len() + 1) as u32).to_be_bytes().to_vec();
        frame.push(kind % 110);
        frame.extend(body);
        let copy = || BytesMut::from(&frame[..]);
        _ = next_frame::<ToStore>(&mut copy());
        _ = next_frame::<FromStore>(&mut copy());
        _ = next_frame::<ToList>(&mut copy());
        _ = next_frame::<FromList>(&mut copy());
        _ = next_frame::<ToUpstream>(&mut copy());
        _ = next_frame::<FromUpstream>(&mut copy());
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(2000)
        .quickcheck(reads_without_panic as fn(u8, Vec<u8>) -> bool);
}

const POSITION: Position = Position { version: 7, hash: [5; 32] };

fn checkpoint() -> Checkpoint {
    Checkpoint { position: POSITION, digest: [6; 32], length: 9 }
}

#[test]
fn change_frames_written_read_back_equal() {
    let name = || "relay-1".to_string();
    let lagging = LaggingMember { name: name(), version: 6, lag_seconds: 5 };
    let progress = ProgressSummary {
        version_counts: vec![VersionCount { version: 7, members: 3 }],
        lagging: vec![lagging],
    };
    assert_round_trip(&[
        ToUpstream::Hello { name: name(), zone: "a".into(), role: Role::Gateway },
        ToUpstream::Follow { after: POSITION },
        ToUpstream::QueryHash { version: 3 },
        ToUpstream::Fetch { version: 7, offset: 65536 },
        ToUpstream::WindowUpdate { bytes: 9 },
        ToUpstream::Progress(progress.clone()),
        ToUpstream::Heartbeat,
        ToUpstream::Status,
    ]);
    assert_eq!(
        ToUpstream::read_back(&ToUpstream::Progress(progress.clone())),
        ToUpstream::Progress(progress.clone())
    );
    let part = Bytes::from_static(b"part");
    let messages = [
        FromUpstream::Hello { name: name(), path: vec!["top".into(), name()] },
        FromUpstream::Path(vec![name()]),
        FromUpstream::Head { head: POSITION, oldest_version: 3, checkpoint: Some(checkpoint()) },
        FromUpstream::Head { head: Position::START, oldest_version: 0, checkpoint: None },
        FromUpstream::HashAt { position: POSITION },
        FromUpstream::Entry { position: POSITION, length: 9, offset: 2, part: part.clone() },
        FromUpstream::CheckpointPart { version: 7, offset: 3, part },
        FromUpstream::RetryAfter { after: MAX_RETRY_AFTER },
        FromUpstream::Rejected { reason: RejectionReason::Loop },
        FromUpstream::Heartbeat,
        FromUpstream::Status(Status {
            name: name(),
            head: POSITION,
            path: vec![name()],
            followers: 2,
            held_bytes: 3,
            progress,
        }),
    ];
    assert_round_trip(&messages);
    messages.iter().for_each(|message| assert_eq!(&FromUpstream::read_back(message), message));
}

/// Changing these bytes requires a new protocol version.
#[test]
fn head_frame_written_has_recorded_bytes() {
    let frame =
        FromUpstream::Head { head: POSITION, oldest_version: 3, checkpoint: Some(checkpoint()) }.frame();
    let mut expected = vec![0, 0, 0, 126, 99];
    expected.extend(7u64.to_be_bytes());
    expected.extend([5; 32]);
    expected.extend(3u64.to_be_bytes());
    expected.push(1);
    expected.extend(7u64.to_be_bytes());
    expected.extend([5; 32]);
    expected.extend([6; 32]);
    expected.extend(9u32.to_be_bytes());
    assert_eq!(frame, expected);
    assert_eq!(FromUpstream::Heartbeat.frame(), [0, 0, 0, 1, 104][..]);
}

#[test]
fn change_frames_over_bounds_are_rejected() {
    let to_upstream = |frame: ToUpstream| {
        next_frame::<ToUpstream>(&mut BytesMut::from(&frame.frame()[..])).expect_err("a rejected frame")
    };
    let from_upstream = |frame: FromUpstream| {
        next_frame::<FromUpstream>(&mut BytesMut::from(&frame.frame()[..])).expect_err("a rejected frame")
    };
    let field = |error: FrameError| match error {
        FrameError::InvalidValue { field, .. } => field,
        other => panic!("{other}"),
    };
    let long_name = "n".repeat(MAX_NAME + 1);
    let hello = |name: &str| ToUpstream::Hello { name: name.into(), zone: "a".into(), role: Role::Relay };
    assert_eq!(field(to_upstream(hello(&long_name))), "name");
    let version_counts = vec![VersionCount { version: 1, members: 1 }; MAX_VERSION_COUNTS + 1];
    assert_eq!(
        field(to_upstream(ToUpstream::Progress(ProgressSummary { version_counts, lagging: vec![] }))),
        "count"
    );
    let lagging = vec![LaggingMember { name: "g".into(), version: 1, lag_seconds: 1 }; MAX_LAGGING + 1];
    assert_eq!(
        field(to_upstream(ToUpstream::Progress(ProgressSummary { version_counts: vec![], lagging }))),
        "count"
    );
    assert_eq!(field(from_upstream(FromUpstream::Path(vec!["r".into(); MAX_PATH + 1]))), "count");
    let entry = |length, offset, part: usize| FromUpstream::Entry {
        position: POSITION,
        length,
        offset,
        part: Bytes::from(vec![0; part]),
    };
    assert_eq!(field(from_upstream(entry(MAX_BODY + 1, 0, 1))), "length");
    assert_eq!(field(from_upstream(entry(9, 8, 2))), "part");
    assert_eq!(field(from_upstream(entry(u32::MAX >> 8, 0, MAX_PART + 1))), "part");
    assert_eq!(field(from_upstream(entry(9, u32::MAX, 1))), "part");
    let part = |offset, part: usize| FromUpstream::CheckpointPart {
        version: 1,
        offset,
        part: Bytes::from(vec![0; part]),
    };
    assert_eq!(field(from_upstream(part(0, MAX_PART + 1))), "part");
    assert_eq!(field(from_upstream(part(MAX_CHECKPOINT, 1))), "part");
    let oversized = Checkpoint { length: MAX_CHECKPOINT + 1, ..checkpoint() };
    assert_eq!(
        field(from_upstream(FromUpstream::Head {
            head: POSITION,
            oldest_version: 0,
            checkpoint: Some(oversized)
        })),
        "length"
    );
    assert_eq!(field(from_upstream(FromUpstream::RetryAfter { after: MAX_RETRY_AFTER * 2 })), "wait");
}

#[test]
fn change_frame_length_over_bound_is_rejected() {
    let read_length = |length: u32| {
        let mut input = BytesMut::from(&length.to_be_bytes()[..]);
        next_frame::<FromUpstream>(&mut input)
    };
    assert_eq!(read_length(MAX_CHANGE_FRAME), Ok(None));
    let length = MAX_CHANGE_FRAME + 1;
    assert_eq!(read_length(length), Err(FrameError::TooLong { length, max: MAX_CHANGE_FRAME }));
}

#[test]
fn progress_summary_at_bounds_is_accepted() {
    let name = "n".repeat(MAX_NAME);
    let lagging = vec![LaggingMember { name, version: 1, lag_seconds: 1 }; MAX_LAGGING];
    let version_counts = vec![VersionCount { version: 1, members: 1 }; MAX_VERSION_COUNTS];
    let progress = ToUpstream::Progress(ProgressSummary { version_counts, lagging });
    assert_eq!(ToUpstream::read_back(&progress), progress);
}

#[test]
fn follower_hello_of_other_version_is_rejected() {
    let hello = ToUpstream::Hello { name: "n".repeat(MAX_NAME), zone: "a".into(), role: Role::Relay }.frame();
    let mut other_version = BytesMut::from(&hello[..]);
    other_version[10] = 1;
    assert!(matches!(
        next_frame::<ToUpstream>(&mut other_version),
        Err(FrameError::VersionMismatch { version: 1, .. })
    ));
}
