//! Every message there and back, the bytes of one pinned, and frames that are wrong.

use bytes::{Bytes, BytesMut};
use quickcheck::{Gen, QuickCheck};
use umbertray_store_protocol::changes::{
    Behind, Checkpoint, FromUpstream, Level, MOST_BEHIND, MOST_BODY, MOST_CHECKPOINT, MOST_FRAME,
    MOST_LEVELS, MOST_NAME, MOST_PATH, MOST_WAIT, PART, Position, Role, Status, Sums, ToUpstream, Why,
};
use umbertray_store_protocol::list::{Entry, FromList, Place, State, ToList};
use umbertray_store_protocol::orders::{Content, Mark, Order, PAGE, Reply, Span};
use umbertray_store_protocol::store::{Answer, Code, Dispatch, FromStore, Stretch, ToStore, Work};
use umbertray_store_protocol::{MAX_FRAME, Malformed, Message, next_frame};

fn dispatch() -> Dispatch {
    Dispatch {
        number: 1,
        op: 2,
        volume: 3,
        extent: 4,
        epoch: 5,
        work: Work::Write,
        offset: 5,
        length: 3,
        units: 1.0,
        not_after: 6,
        voids: vec![7],
        durable: true,
        data: Bytes::from_static(b"abc"),
    }
}

const SPAN: Span = Span { volume: 1, from: 2, to: 9 };
const MARK: Mark = Mark { run: 1, op: 2, extent: 3, kept: 4 };

fn content() -> Content {
    Content { extent: 3, stamp: 4, pages: vec![(7, Bytes::from(vec![1; PAGE]))] }
}

fn orders() -> [Order; 12] {
    let (span, epoch) = (SPAN, 6);
    [
        Order::Prepare { span, epoch },
        Order::Follow { span },
        Order::Fetch { span, copied: Some((3, 4)) },
        Order::Put { span, epoch, content: Content { pages: vec![], ..content() } },
        Order::Raise { span, epoch },
        Order::Marks { span },
        Order::Mark { span, epoch, marks: vec![MARK] },
        Order::Seal { span, epoch },
        Order::Open { span, epoch },
        Order::Reopen { span, epoch },
        Order::Clear { span, epoch },
        Order::Leave { span },
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
        ToStore::Dispatch(dispatch()),
        ToStore::Cancel { number: 8 },
        ToStore::Probe { token: 7 },
    ]);
    round(&orders().map(|order| ToStore::Order { token: 1, term: 2, number: 3, order }));
    assert_eq!(ToStore::read_back(&ToStore::Dispatch(dispatch())), ToStore::Dispatch(dispatch()));
    let report = vec![("queue".to_string(), 2.5)];
    let answer = |code| Answer {
        number: 1,
        code,
        clock: 2,
        epoch: 5,
        used: Some(0.5),
        elsewhere: 3.0,
        report: report.clone(),
        stretches: vec![Stretch { length: 4, data: true }],
    };
    let all = [
        FromStore::Welcome { store: 1, shard: 2, clock: 3 },
        FromStore::Data { number: 1, offset: 2, data: Bytes::from_static(b"xyz") },
        FromStore::Hole { number: 1, offset: 2, length: 3 },
        FromStore::Answer(answer(Ok(Code::Fenced))),
        FromStore::Answer(answer(Err(200))),
        FromStore::Probed { token: 1, clock: 2, report: report.clone() },
        FromStore::Ordered { token: 1, reply: Reply::Done },
        FromStore::Ordered { token: 1, reply: Reply::Left(2) },
        FromStore::Ordered { token: 1, reply: Reply::Next(None) },
        FromStore::Ordered { token: 1, reply: Reply::Next(Some(content())) },
        FromStore::Ordered { token: 1, reply: Reply::Marks(vec![MARK]) },
        FromStore::Ordered { token: 1, reply: Reply::OldTerm(9) },
        FromStore::Ordered { token: 1, reply: Reply::Unfit },
    ];
    round(&all);
    all.iter().for_each(|message| assert_eq!(&FromStore::read_back(message), message));
    let entry = |age| Entry {
        store: 1,
        address: "127.0.0.1:80".parse().expect("an address"),
        shard: 2,
        zone: 3,
        state: State::Draining,
        start: 4,
        age,
    };
    round(&[
        ToList::Hello { run: 1 },
        ToList::Subscribe,
        ToList::Fetch,
        ToList::Lookup { token: 1, volume: 2, extent: 3, least: 4 },
        ToList::Move { token: 1, span: Span { volume: 2, from: 3, to: 4 }, shard: 5 },
        ToList::Moving { token: 1, number: 2, give_up: true },
        ToList::Claim { token: 1, volume: 2, extent: 3, shard: 4 },
        ToList::Shards { token: 1, volume: 2 },
    ]);
    let all = [
        FromList::Welcome { term: 3 },
        FromList::Full(vec![entry(None), entry(Some(5))]),
        FromList::Changes(vec![entry(Some(5))]),
        FromList::Failed,
        FromList::Place { token: 1, place: Some(Place { shard: 2, epoch: 3 }) },
        FromList::Place { token: 1, place: None },
        FromList::Shards { token: 1, shards: vec![1, 2] },
        FromList::Move { token: 1, number: Ok(2) },
        FromList::Move { token: 1, number: Err("why".into()) },
        FromList::Moving { token: 1, state: "over".into(), over: true },
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
    assert_eq!(ToStore::Dispatch(dispatch()).frame(), wanted);
}

#[test]
fn wrong_frames_are_named() {
    let read = |bytes: &[u8]| next_frame::<ToStore>(&mut BytesMut::from(bytes)).unwrap_err();
    assert_eq!(read(&[0; 4]), Malformed::Empty);
    assert_eq!(read(&[255; 4]), Malformed::Long { length: u32::MAX, most: MAX_FRAME });
    assert_eq!(read(&[0, 0, 0, 1, 99]), Malformed::Kind(99));
    assert_eq!(read(&[0, 0, 0, 2, 3, 0]), Malformed::Truncated { kind: 3 });
    let mut long = ToStore::Cancel { number: 1 }.frame().to_vec();
    long[3] += 1;
    long.push(0);
    assert_eq!(read(&long), Malformed::Trailing { kind: 3, left: 1 });
    let mut hello = ToStore::Hello { run: 1 }.frame().to_vec();
    hello[10] = 1;
    assert!(matches!(read(&hello), Malformed::Version { version: 1, .. }));
    let lying = ToStore::Dispatch(Dispatch { length: 9, ..dispatch() });
    assert!(matches!(read(&lying.frame()), Malformed::Value { field: "length", .. }));
    let endless = ToStore::Dispatch(Dispatch { units: f64::NAN, ..dispatch() });
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
    let behind = Behind { name: name(), version: 6, since: 5 };
    let sums = Sums { levels: vec![Level { version: 7, members: 3 }], behind: vec![behind] };
    round(&[
        ToUpstream::Hello { name: name(), zone: "a".into(), role: Role::Gateway },
        ToUpstream::Follow { after: AT },
        ToUpstream::Ask { version: 3 },
        ToUpstream::Fetch { version: 7, offset: 65536 },
        ToUpstream::Taken { bytes: 9 },
        ToUpstream::Acted(sums.clone()),
        ToUpstream::Ping,
        ToUpstream::Status,
    ]);
    assert_eq!(ToUpstream::read_back(&ToUpstream::Acted(sums.clone())), ToUpstream::Acted(sums.clone()));
    let part = Bytes::from_static(b"part");
    let all = [
        FromUpstream::Hello { name: name(), path: vec!["top".into(), name()] },
        FromUpstream::Path(vec![name()]),
        FromUpstream::At { head: AT, from: 3, checkpoint: Some(checkpoint()) },
        FromUpstream::At { head: Position::START, from: 0, checkpoint: None },
        FromUpstream::Had { at: AT },
        FromUpstream::Entry { at: AT, length: 9, offset: 2, part: part.clone() },
        FromUpstream::Part { version: 7, offset: 3, part },
        FromUpstream::Later { after: MOST_WAIT },
        FromUpstream::Refused { why: Why::Loop },
        FromUpstream::Same,
        FromUpstream::Status(Status {
            name: name(),
            head: AT,
            path: vec![name()],
            followers: 2,
            held: 3,
            sums,
        }),
    ];
    round(&all);
    all.iter().for_each(|message| assert_eq!(&FromUpstream::read_back(message), message));
}

/// A change of these bytes is a change of version.
#[test]
fn the_bytes_of_where_an_upstream_stands() {
    let frame = FromUpstream::At { head: AT, from: 3, checkpoint: Some(checkpoint()) }.frame();
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
    assert_eq!(FromUpstream::Same.frame(), [0, 0, 0, 1, 104][..]);
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
    let long = "n".repeat(MOST_NAME + 1);
    let hello = |name: &str| ToUpstream::Hello { name: name.into(), zone: "a".into(), role: Role::Relay };
    assert_eq!(value(up(hello(&long))), "name");
    let levels = vec![Level { version: 1, members: 1 }; MOST_LEVELS + 1];
    assert_eq!(value(up(ToUpstream::Acted(Sums { levels, behind: vec![] }))), "count");
    let behind = vec![Behind { name: "g".into(), version: 1, since: 1 }; MOST_BEHIND + 1];
    assert_eq!(value(up(ToUpstream::Acted(Sums { levels: vec![], behind }))), "count");
    assert_eq!(value(down(FromUpstream::Path(vec!["r".into(); MOST_PATH + 1]))), "count");
    let entry = |length, offset, part: usize| FromUpstream::Entry {
        at: AT,
        length,
        offset,
        part: Bytes::from(vec![0; part]),
    };
    assert_eq!(value(down(entry(MOST_BODY + 1, 0, 1))), "length");
    assert_eq!(value(down(entry(9, 8, 2))), "part");
    assert_eq!(value(down(entry(u32::MAX >> 8, 0, PART + 1))), "part");
    assert_eq!(value(down(entry(9, u32::MAX, 1))), "part");
    let part =
        |offset, part: usize| FromUpstream::Part { version: 1, offset, part: Bytes::from(vec![0; part]) };
    assert_eq!(value(down(part(0, PART + 1))), "part");
    assert_eq!(value(down(part(MOST_CHECKPOINT, 1))), "part");
    let far = Checkpoint { length: MOST_CHECKPOINT + 1, ..checkpoint() };
    assert_eq!(value(down(FromUpstream::At { head: AT, from: 0, checkpoint: Some(far) })), "length");
    assert_eq!(value(down(FromUpstream::Later { after: MOST_WAIT * 2 })), "wait");
    let wide = |length: u32| {
        let mut head = BytesMut::from(&length.to_be_bytes()[..]);
        next_frame::<FromUpstream>(&mut head)
    };
    assert_eq!(wide(MOST_FRAME), Ok(None));
    let length = MOST_FRAME + 1;
    assert_eq!(wide(length), Err(Malformed::Long { length, most: MOST_FRAME }));
    // The longest sums there are fit.
    let name = "n".repeat(MOST_NAME);
    let behind = vec![Behind { name: name.clone(), version: 1, since: 1 }; MOST_BEHIND];
    let levels = vec![Level { version: 1, members: 1 }; MOST_LEVELS];
    let sums = ToUpstream::Acted(Sums { levels, behind });
    assert_eq!(ToUpstream::read_back(&sums), sums);
    let other = ToUpstream::Hello { name, zone: "a".into(), role: Role::Relay }.frame();
    let mut other = BytesMut::from(&other[..]);
    other[10] = 1;
    assert!(matches!(next_frame::<ToUpstream>(&mut other), Err(Malformed::Version { version: 1, .. })));
}
