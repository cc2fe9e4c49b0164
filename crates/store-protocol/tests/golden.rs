//! Golden examples of the wires: one of every frame, recorded; every later version has to write and read them byte for byte.

use std::fmt::Debug;

use bytes::{Bytes, BytesMut};
use umbertray_store_protocol::changes::{
    Behind, Checkpoint, FromUpstream, Level, Position, Role, Status, Sums, ToUpstream, Why,
};
use umbertray_store_protocol::list::{Entry, FromList, Place, State, ToList};
use umbertray_store_protocol::orders::{Content, Mark, Order, PAGE, Reply, Span};
use umbertray_store_protocol::store::{Answer, Code, Dispatch, FromStore, Stretch, ToStore, Work};
use umbertray_store_protocol::{Message, next_frame, volume_id};

const RECORDED: &str = include_str!("golden/frames.txt");
const SPAN: Span = Span { volume: 1, from: 2, to: 9 };
const MARK: Mark = Mark { run: 1, op: 2, extent: 3, kept: 4 };
const CODES: [Code; 7] =
    [Code::Acked, Code::Error, Code::Full, Code::Fenced, Code::Cancelled, Code::Elsewhere, Code::Stale];
const REFUSALS: [Why; 5] = [Why::Fork, Why::Loop, Why::Ahead, Why::Nonsense, Why::Full];
const AT: Position = Position { version: 7, hash: [5; 32] };

#[derive(Default)]
struct Transcript(String);

impl Transcript {
    /// Records the frames of one direction, and holds that each is read back as it was written.
    fn frames<M: Message + PartialEq + Debug>(&mut self, direction: &str, messages: &[M]) {
        for message in messages {
            let frame = message.frame();
            let read = next_frame::<M>(&mut BytesMut::from(&frame[..])).expect("well formed").expect("whole");
            assert_eq!(&read, message);
            let hex: String = frame.iter().map(|byte| format!("{byte:02x}")).collect();
            self.0.push_str(&format!("{direction} {}: {hex}\n", message.kind()));
        }
    }
}

fn dispatch(work: Work, data: &'static [u8]) -> ToStore {
    ToStore::Dispatch(Dispatch {
        number: 1,
        op: 2,
        volume: 3,
        extent: 4,
        epoch: 5,
        work,
        offset: 5,
        length: 3,
        units: 1.5,
        not_after: 6,
        voids: vec![7],
        durable: true,
        data: Bytes::from_static(data),
    })
}

fn content(pages: Vec<(u32, Bytes)>) -> Content {
    Content { extent: 3, stamp: 4, pages }
}

fn orders() -> [Order; 12] {
    let (span, epoch) = (SPAN, 6);
    [
        Order::Prepare { span, epoch },
        Order::Follow { span },
        Order::Fetch { span, copied: Some((3, 4)) },
        Order::Put { span, epoch, content: content(vec![(7, Bytes::from(vec![1; PAGE]))]) },
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

fn store_frames(transcript: &mut Transcript) {
    let works = [Work::Read, Work::Zero, Work::Trim, Work::Flush, Work::Status];
    let mut to_store = vec![ToStore::Hello { run: 9 }, dispatch(Work::Write, b"abc")];
    to_store.extend(works.map(|work| dispatch(work, b"")));
    to_store.extend([ToStore::Cancel { number: 8 }, ToStore::Probe { token: 7 }]);
    to_store.extend(orders().map(|order| ToStore::Order { token: 1, term: 2, number: 3, order }));
    transcript.frames("to store", &to_store);

    let report = vec![("queue".to_string(), 2.5)];
    let answer = |code| {
        FromStore::Answer(Answer {
            number: 1,
            code,
            clock: 2,
            epoch: 5,
            used: Some(0.5),
            elsewhere: 3.0,
            report: report.clone(),
            stretches: vec![Stretch { length: 4, data: true }],
        })
    };
    let mut from_store = vec![
        FromStore::Welcome { store: 1, shard: 2, clock: 3 },
        FromStore::Data { number: 1, offset: 2, data: Bytes::from_static(b"xyz") },
        FromStore::Hole { number: 1, offset: 2, length: 3 },
        answer(Err(200)),
        FromStore::Probed { token: 1, clock: 2, report: report.clone() },
    ];
    from_store.extend(CODES.map(|code| answer(Ok(code))));
    let replies = [
        Reply::Done,
        Reply::Left(2),
        Reply::Next(None),
        Reply::Next(Some(content(vec![]))),
        Reply::Marks(vec![MARK]),
        Reply::OldTerm(9),
        Reply::Unfit,
    ];
    from_store.extend(replies.map(|reply| FromStore::Ordered { token: 1, reply }));
    transcript.frames("from store", &from_store);
}

fn list_frames(transcript: &mut Transcript) {
    transcript.frames(
        "to list",
        &[
            ToList::Hello { run: 1 },
            ToList::Subscribe,
            ToList::Fetch,
            ToList::Lookup { token: 1, volume: 2, extent: 3, least: 4 },
            ToList::Move { token: 1, span: Span { volume: 2, from: 3, to: 4 }, shard: 5 },
            ToList::Moving { token: 1, number: 2, give_up: true },
            ToList::Claim { token: 1, volume: 2, extent: 3, shard: 4 },
            ToList::Shards { token: 1, volume: 2 },
        ],
    );
    let entry = |address: &str, state, age| Entry {
        store: 1,
        address: address.parse().expect("an address"),
        shard: 2,
        zone: 3,
        state,
        start: 4,
        age,
    };
    transcript.frames(
        "from list",
        &[
            FromList::Welcome { term: 3 },
            FromList::Full(vec![
                entry("127.0.0.1:80", State::Ready, None),
                entry("[::1]:81", State::Draining, Some(5)),
            ]),
            FromList::Changes(vec![entry("127.0.0.1:80", State::Gone, Some(5))]),
            FromList::Failed,
            FromList::Place { token: 1, place: Some(Place { shard: 2, epoch: 3 }) },
            FromList::Place { token: 1, place: None },
            FromList::Shards { token: 1, shards: vec![1, 2] },
            FromList::Move { token: 1, number: Ok(2) },
            FromList::Move { token: 1, number: Err("why".into()) },
            FromList::Moving { token: 1, state: "over".into(), over: true },
        ],
    );
}

fn change_frames(transcript: &mut Transcript) {
    let name = || "relay-1".to_string();
    let behind = Behind { name: name(), version: 6, since: 5 };
    let sums = Sums { levels: vec![Level { version: 7, members: 3 }], behind: vec![behind] };
    let hello = |role| ToUpstream::Hello { name: name(), zone: "a".into(), role };
    transcript.frames(
        "to upstream",
        &[
            hello(Role::Gateway),
            hello(Role::Relay),
            ToUpstream::Follow { after: AT },
            ToUpstream::Ask { version: 3 },
            ToUpstream::Fetch { version: 7, offset: 65536 },
            ToUpstream::Taken { bytes: 9 },
            ToUpstream::Acted(sums.clone()),
            ToUpstream::Ping,
            ToUpstream::Status,
        ],
    );
    let checkpoint = Checkpoint { at: AT, digest: [6; 32], length: 9 };
    let part = Bytes::from_static(b"part");
    let mut from_upstream = vec![
        FromUpstream::Hello { name: name(), path: vec!["top".into(), name()] },
        FromUpstream::Path(vec![name()]),
        FromUpstream::At { head: AT, from: 3, checkpoint: Some(checkpoint) },
        FromUpstream::At { head: Position::START, from: 0, checkpoint: None },
        FromUpstream::Had { at: AT },
        FromUpstream::Entry { at: AT, length: 9, offset: 2, part: part.clone() },
        FromUpstream::Part { version: 7, offset: 3, part },
        FromUpstream::Later { after: std::time::Duration::from_millis(1500) },
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
    from_upstream.extend(REFUSALS.map(|why| FromUpstream::Refused { why }));
    transcript.frames("from upstream", &from_upstream);
}

#[test]
fn frames_match_recorded_bytes() {
    let mut transcript = Transcript::default();
    store_frames(&mut transcript);
    list_frames(&mut transcript);
    change_frames(&mut transcript);
    transcript.0.push_str(&format!("volume_id: {:x}\n", volume_id("vol")));
    assert!(transcript.0 == RECORDED, "differs from tests/golden/frames.txt:\n{}", transcript.0);
}
