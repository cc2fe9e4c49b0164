//! Every message there and back, the bytes of one pinned, and frames that are wrong.

use bytes::{Bytes, BytesMut};
use quickcheck::{Gen, QuickCheck};
use umbertray_store_protocol::changes::{
    Checkpoint, FromUpstream, LaggingMember, MAX_BODY, MAX_CHANGE_FRAME, MAX_CHECKPOINT, MAX_LAGGING,
    MAX_NAME, MAX_PART, MAX_PATH, MAX_RETRY_AFTER, MAX_VERSION_COUNTS, Position, ProgressSummary,
    RefusalReason, Role, Status, ToUpstream, VersionCount,
};
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, ExtentRange, Order, OrderReply, PAGE};
use umbertray_store_protocol::store::{
    Attempt, AttemptResult, DataRange, FromStore, OperationKind, ResultCode, ToStore,
};
use umbertray_store_protocol::{MAX_FRAME, Malformed, Message, next_frame};

fn dispatch() -> Attempt {
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

const SPAN: ExtentRange = ExtentRange { volume: 1, start: 2, end: 9 };
const MARK: ExecutedOp = ExecutedOp { gateway_run: 1, op: 2, extent: 3, remembered_for: 4 };

fn content() -> ExtentContent {
    ExtentContent { extent: 3, change_count: 4, pages: vec![(7, Bytes::from(vec![1; PAGE]))] }
}

fn orders() -> [Order; 12] {
    let (span, epoch) = (SPAN, 6);
    [
        Order::Prepare { span, epoch },
        Order::TrackChanges { span },
        Order::FetchNext { span, copied: Some((3, 4)) },
        Order::Put { span, epoch, content: ExtentContent { pages: vec![], ..content() } },
        Order::Fence { span, epoch },
        Order::FetchExecuted { span },
        Order::RecordExecuted { span, epoch, marks: vec![MARK] },
        Order::Sync { span, epoch },
        Order::Activate { span, epoch },
        Order::Reactivate { span, epoch },
        Order::Clear { span, epoch },
        Order::StopTracking { span },
    ]
}

fn round<M: Message + PartialEq + std::fmt::Debug>(messages: &[M]) {
    let whole: Vec<u8> = messages.iter().flat_map(|message| message.frame().to_vec()).collect();
    let mut input = BytesMut::from(&whole[..]);
    for message in messages {
        assert_eq!(next_frame::<M>(&mut input).as_ref(), Ok(&Some(M::read_back(message))));
        let frame = message.frame();
        for cut in 0..frame.len() {
            assert_eq!(next_frame::<M>(&mut BytesMut::from(&frame[..cut])), Ok(None));
            // A frame that says it is shorter than its fields.
            if cut > 4 {
                let mut short = BytesMut::from(&frame[..cut]);
                short[..4].copy_from_slice(&((cut - 4) as u32).to_be_bytes());
                assert_ne!(next_frame::<M>(&mut short).ok().flatten().as_ref(), Some(message));
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
        next_frame(&mut BytesMut::from(&message.frame()[..])).ok().flatten().expect("a whole frame")
    }
}

#[test]
fn messages_come_back_as_they_went() {
    round(&[
        ToStore::Hello { run: 9 },
        ToStore::Attempt(dispatch()),
        ToStore::Cancel { number: 8 },
        ToStore::HealthCheck { token: 7 },
    ]);
    round(&orders().map(|order| ToStore::Order { token: 1, term: 2, number: 3, order }));
    assert_eq!(ToStore::read_back(&ToStore::Attempt(dispatch())), ToStore::Attempt(dispatch()));
    let report = vec![("queue".to_string(), 2.5)];
    let answer = |code| AttemptResult {
        number: 1,
        code,
        clock: 2,
        epoch: 5,
        plan_rate_used: Some(0.5),
        units_elsewhere: 3.0,
        load_report: report.clone(),
        data_ranges: vec![DataRange { length: 4, has_data: true }],
    };
    let all = [
        FromStore::Welcome { store: 1, shard: 2, clock: 3 },
        FromStore::Data { number: 1, offset: 2, data: Bytes::from_static(b"xyz") },
        FromStore::Hole { number: 1, offset: 2, length: 3 },
        FromStore::AttemptResult(answer(Ok(ResultCode::Fenced))),
        FromStore::AttemptResult(answer(Err(200))),
        FromStore::Healthy { token: 1, clock: 2, load_report: report.clone() },
        FromStore::OrderReply { token: 1, reply: OrderReply::Done },
        FromStore::OrderReply { token: 1, reply: OrderReply::ExtentsLeft(2) },
        FromStore::OrderReply { token: 1, reply: OrderReply::NextExtent(None) },
        FromStore::OrderReply { token: 1, reply: OrderReply::NextExtent(Some(content())) },
        FromStore::OrderReply { token: 1, reply: OrderReply::ExecutedOps(vec![MARK]) },
        FromStore::OrderReply { token: 1, reply: OrderReply::StaleTerm(9) },
        FromStore::OrderReply { token: 1, reply: OrderReply::WrongState },
    ];
    round(&all);
    all.iter().for_each(|message| assert_eq!(&FromStore::read_back(message), message));
    let entry = |age| ListedStore {
        store: 1,
        address: "127.0.0.1:80".parse().expect("an address"),
        shard: 2,
        zone: 3,
        state: EndpointState::Draining,
        incarnation: 4,
        age,
    };
    round(&[
        ToList::Hello { run: 1 },
        ToList::Watch,
        ToList::Fetch,
        ToList::Lookup { token: 1, volume: 2, extent: 3, min_epoch: 4 },
        ToList::Move { token: 1, span: ExtentRange { volume: 2, start: 3, end: 4 }, shard: 5 },
        ToList::MoveStatus { token: 1, number: 2, abandon: true },
        ToList::Claim { token: 1, volume: 2, extent: 3, shard: 4 },
        ToList::Shards { token: 1, volume: 2 },
    ]);
    let all = [
        FromList::Welcome { term: 3 },
        FromList::Full(vec![entry(None), entry(Some(5))]),
        FromList::Changes(vec![entry(Some(5))]),
        FromList::Failed,
        FromList::Location { token: 1, place: Some(Location { shard: 2, epoch: 3 }) },
        FromList::Location { token: 1, place: None },
        FromList::Shards { token: 1, shards: vec![1, 2] },
        FromList::Move { token: 1, number: Ok(2) },
        FromList::Move { token: 1, number: Err("why".into()) },
        FromList::MoveStatus { token: 1, state: "over".into(), over: true },
    ];
    round(&all);
    all.iter().for_each(|message| assert_eq!(&FromList::read_back(message), message));
}

/// Version 2 on the wire: a change of these bytes is a change of version.
#[test]
fn the_bytes_of_a_dispatch_are_those_of_version_2() {
    let mut wanted = vec![0, 0, 0, 74, 2];
    [1u64, 2, 3, 4, 5].iter().for_each(|number| wanted.extend(number.to_be_bytes()));
    wanted.extend([1, 0, 0, 0, 5, 0, 0, 0, 3]);
    wanted.extend(1.0f64.to_be_bytes());
    wanted.extend(6u64.to_be_bytes());
    wanted.extend([0, 1]);
    wanted.extend(7u64.to_be_bytes());
    wanted.push(1);
    wanted.extend(b"abc");
    wanted[3] = (wanted.len() - 4) as u8;
    assert_eq!(ToStore::Attempt(dispatch()).frame(), wanted);
}

#[test]
fn wrong_frames_are_named() {
    let read = |bytes: &[u8]| next_frame::<ToStore>(&mut BytesMut::from(bytes)).unwrap_err();
    assert_eq!(read(&[0; 4]), Malformed::Empty);
    assert_eq!(read(&[255; 4]), Malformed::TooLong { length: u32::MAX, max: MAX_FRAME });
    assert_eq!(read(&[0, 0, 0, 1, 99]), Malformed::Kind(99));
    assert_eq!(read(&[0, 0, 0, 2, 3, 0]), Malformed::Truncated { kind: 3 });
    let mut long = ToStore::Cancel { number: 1 }.frame().to_vec();
    long[3] += 1;
    long.push(0);
    assert_eq!(read(&long), Malformed::Trailing { kind: 3, left: 1 });
    let mut hello = ToStore::Hello { run: 1 }.frame().to_vec();
    hello[10] = 1;
    assert!(matches!(read(&hello), Malformed::Version { version: 1, .. }));
    let lying = ToStore::Attempt(Attempt { length: 9, ..dispatch() });
    assert!(matches!(read(&lying.frame()), Malformed::Value { field: "length", .. }));
    let endless = ToStore::Attempt(Attempt { units: f64::NAN, ..dispatch() });
    assert!(matches!(read(&endless.frame()), Malformed::Value { field: "units", .. }));
}

#[test]
fn no_bytes_panic() {
    fn survives(kind: u8, noise: Vec<u8>) -> bool {
        let mut frame = ((noise.len() + 1) as u32).to_be_bytes().to_vec();
        frame.push(kind % 110);
        frame.extend(noise);
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
        .quickcheck(survives as fn(u8, Vec<u8>) -> bool);
}

const AT: Position = Position { version: 7, hash: [5; 32] };

fn checkpoint() -> Checkpoint {
    Checkpoint { at: AT, digest: [6; 32], length: 9 }
}

#[test]
fn frames_of_the_log_of_changes_come_back_as_they_went() {
    let name = || "relay-1".to_string();
    let behind = LaggingMember { name: name(), version: 6, lag_seconds: 5 };
    let sums =
        ProgressSummary { levels: vec![VersionCount { version: 7, members: 3 }], lagging: vec![behind] };
    round(&[
        ToUpstream::Hello { name: name(), zone: "a".into(), role: Role::Gateway },
        ToUpstream::Follow { after: AT },
        ToUpstream::QueryHash { version: 3 },
        ToUpstream::Fetch { version: 7, offset: 65536 },
        ToUpstream::WindowUpdate { bytes: 9 },
        ToUpstream::Progress(sums.clone()),
        ToUpstream::Heartbeat,
        ToUpstream::Status,
    ]);
    assert_eq!(
        ToUpstream::read_back(&ToUpstream::Progress(sums.clone())),
        ToUpstream::Progress(sums.clone())
    );
    let part = Bytes::from_static(b"part");
    let all = [
        FromUpstream::Hello { name: name(), path: vec!["top".into(), name()] },
        FromUpstream::Path(vec![name()]),
        FromUpstream::Head { head: AT, oldest_version: 3, checkpoint: Some(checkpoint()) },
        FromUpstream::Head { head: Position::START, oldest_version: 0, checkpoint: None },
        FromUpstream::HashAt { at: AT },
        FromUpstream::Entry { at: AT, length: 9, offset: 2, part: part.clone() },
        FromUpstream::CheckpointPart { version: 7, offset: 3, part },
        FromUpstream::RetryAfter { after: MAX_RETRY_AFTER },
        FromUpstream::Refused { reason: RefusalReason::Loop },
        FromUpstream::Heartbeat,
        FromUpstream::Status(Status {
            name: name(),
            head: AT,
            path: vec![name()],
            followers: 2,
            held_bytes: 3,
            progress: sums,
        }),
    ];
    round(&all);
    all.iter().for_each(|message| assert_eq!(&FromUpstream::read_back(message), message));
}

/// A change of these bytes is a change of version.
#[test]
fn the_bytes_of_where_an_upstream_stands() {
    let frame = FromUpstream::Head { head: AT, oldest_version: 3, checkpoint: Some(checkpoint()) }.frame();
    let mut wanted = vec![0, 0, 0, 126, 99];
    wanted.extend(7u64.to_be_bytes());
    wanted.extend([5; 32]);
    wanted.extend(3u64.to_be_bytes());
    wanted.push(1);
    wanted.extend(7u64.to_be_bytes());
    wanted.extend([5; 32]);
    wanted.extend([6; 32]);
    wanted.extend(9u32.to_be_bytes());
    assert_eq!(frame, wanted);
    assert_eq!(FromUpstream::Heartbeat.frame(), [0, 0, 0, 1, 104][..]);
}

#[test]
fn frames_of_the_log_of_changes_keep_their_bounds() {
    let up =
        |frame: ToUpstream| next_frame::<ToUpstream>(&mut BytesMut::from(&frame.frame()[..])).unwrap_err();
    let down = |frame: FromUpstream| {
        next_frame::<FromUpstream>(&mut BytesMut::from(&frame.frame()[..])).unwrap_err()
    };
    let value = |error: Malformed| match error {
        Malformed::Value { field, .. } => field,
        other => panic!("{other}"),
    };
    let long = "n".repeat(MAX_NAME + 1);
    let hello = |name: &str| ToUpstream::Hello { name: name.into(), zone: "a".into(), role: Role::Relay };
    assert_eq!(value(up(hello(&long))), "name");
    let levels = vec![VersionCount { version: 1, members: 1 }; MAX_VERSION_COUNTS + 1];
    assert_eq!(value(up(ToUpstream::Progress(ProgressSummary { levels, lagging: vec![] }))), "count");
    let behind = vec![LaggingMember { name: "g".into(), version: 1, lag_seconds: 1 }; MAX_LAGGING + 1];
    assert_eq!(value(up(ToUpstream::Progress(ProgressSummary { levels: vec![], lagging: behind }))), "count");
    assert_eq!(value(down(FromUpstream::Path(vec!["r".into(); MAX_PATH + 1]))), "count");
    let entry = |length, offset, part: usize| FromUpstream::Entry {
        at: AT,
        length,
        offset,
        part: Bytes::from(vec![0; part]),
    };
    assert_eq!(value(down(entry(MAX_BODY + 1, 0, 1))), "length");
    assert_eq!(value(down(entry(9, 8, 2))), "part");
    assert_eq!(value(down(entry(u32::MAX >> 8, 0, MAX_PART + 1))), "part");
    assert_eq!(value(down(entry(9, u32::MAX, 1))), "part");
    let part = |offset, part: usize| FromUpstream::CheckpointPart {
        version: 1,
        offset,
        part: Bytes::from(vec![0; part]),
    };
    assert_eq!(value(down(part(0, MAX_PART + 1))), "part");
    assert_eq!(value(down(part(MAX_CHECKPOINT, 1))), "part");
    let far = Checkpoint { length: MAX_CHECKPOINT + 1, ..checkpoint() };
    assert_eq!(
        value(down(FromUpstream::Head { head: AT, oldest_version: 0, checkpoint: Some(far) })),
        "length"
    );
    assert_eq!(value(down(FromUpstream::RetryAfter { after: MAX_RETRY_AFTER * 2 })), "wait");
    let wide = |length: u32| {
        let mut head = BytesMut::from(&length.to_be_bytes()[..]);
        next_frame::<FromUpstream>(&mut head)
    };
    assert_eq!(wide(MAX_CHANGE_FRAME), Ok(None));
    let length = MAX_CHANGE_FRAME + 1;
    assert_eq!(wide(length), Err(Malformed::TooLong { length, max: MAX_CHANGE_FRAME }));
    // The longest sums there are fit.
    let name = "n".repeat(MAX_NAME);
    let behind = vec![LaggingMember { name: name.clone(), version: 1, lag_seconds: 1 }; MAX_LAGGING];
    let levels = vec![VersionCount { version: 1, members: 1 }; MAX_VERSION_COUNTS];
    let sums = ToUpstream::Progress(ProgressSummary { levels, lagging: behind });
    assert_eq!(ToUpstream::read_back(&sums), sums);
    let other = ToUpstream::Hello { name, zone: "a".into(), role: Role::Relay }.frame();
    let mut other = BytesMut::from(&other[..]);
    other[10] = 1;
    assert!(matches!(next_frame::<ToUpstream>(&mut other), Err(Malformed::Version { version: 1, .. })));
}
