//! Golden test of the wire format: recorded examples of every frame. Every later version must write and read
//! them byte for byte.

use std::fmt::Debug;

use bytes::{Bytes, BytesMut};
use umbertray_store_protocol::changes::{
    Checkpoint, FromUpstream, LaggingMember, Position, ProgressSummary, RejectionReason, Role, Status,
    ToUpstream, VersionCount,
};
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::orders::{ExtentContent, ExtentRange, OrderReply, PAGE_BYTES};
use umbertray_store_protocol::store::{
    Attempt, AttemptResult, DataRange, FromStore, OperationKind, ResultCode, ToStore,
};
use umbertray_store_protocol::{Message, next_frame, volume_id};

use common::{EXECUTED_OP, orders};

mod common;

const RECORDED: &str = include_str!("golden/frames.txt");
const RESULT_CODES: [ResultCode; 7] = [
    ResultCode::Succeeded,
    ResultCode::Failed,
    ResultCode::Rejected,
    ResultCode::Fenced,
    ResultCode::Cancelled,
    ResultCode::ExtentNotHeld,
    ResultCode::StaleEpoch,
];
const REJECTION_REASONS: [RejectionReason; 5] = [
    RejectionReason::Fork,
    RejectionReason::Loop,
    RejectionReason::Ahead,
    RejectionReason::ProtocolViolation,
    RejectionReason::TooManyFollowers,
];
const POSITION: Position = Position { version: 7, hash: [5; 32] };

#[derive(Default)]
struct Transcript(String);

impl Transcript {
    /// Records the frames of one direction, and asserts that each is read back as it was written.
    fn frames<M: Message + PartialEq + Debug>(&mut self, direction: &str, messages: &[M]) {
        for message in messages {
            let frame = message.frame();
            let read = next_frame::<M>(&mut BytesMut::from(&frame[..]))
                .expect("a valid frame")
                .expect("a complete frame");
            assert_eq!(&read, message);
            let hex: String = frame.iter().map(|byte| format!("{byte:02x}")).collect();
            self.0.push_str(&format!("{direction} {}: {hex}\n", message.kind()));
        }
    }
}

fn attempt(kind: OperationKind, data: &'static [u8]) -> ToStore {
    ToStore::Attempt(Attempt {
        number: 1,
        op: 2,
        volume: 3,
        extent: 4,
        epoch: 5,
        kind,
        offset: 5,
        length: 3,
        units: 1.5,
        not_after: 6,
        supersedes: vec![7],
        durable: true,
        data: Bytes::from_static(data),
    })
}

fn content(pages: Vec<(u32, Bytes)>) -> ExtentContent {
    ExtentContent { extent: 3, change_count: 4, pages }
}

fn store_frames(transcript: &mut Transcript) {
    let kinds_without_data = [
        OperationKind::Read,
        OperationKind::Zero,
        OperationKind::Trim,
        OperationKind::Flush,
        OperationKind::Status,
    ];
    let mut to_store = vec![ToStore::Hello { run: 9 }, attempt(OperationKind::Write, b"abc")];
    to_store.extend(kinds_without_data.map(|kind| attempt(kind, b"")));
    to_store.extend([ToStore::Cancel { number: 8 }, ToStore::HealthCheck { token: 7 }]);
    let put_content = content(vec![(7, Bytes::from(vec![1; PAGE_BYTES]))]);
    to_store.extend(orders(put_content).map(|order| ToStore::Order { token: 1, term: 2, number: 3, order }));
    transcript.frames("to store", &to_store);

    let load_report = vec![("queue".to_string(), 2.5)];
    let attempt_result = |code| {
        FromStore::AttemptResult(AttemptResult {
            number: 1,
            code,
            clock: 2,
            epoch: 5,
            plan_rate_used: Some(0.5),
            units_elsewhere: 3.0,
            load_report: load_report.clone(),
            data_ranges: vec![DataRange { length: 4, has_data: true }],
        })
    };
    let mut from_store = vec![
        FromStore::Welcome { store: 1, shard: 2, clock: 3 },
        FromStore::Data { number: 1, offset: 2, data: Bytes::from_static(b"xyz") },
        FromStore::Hole { number: 1, offset: 2, length: 3 },
        attempt_result(Err(200)),
        FromStore::Healthy { token: 1, clock: 2, load_report: load_report.clone() },
    ];
    from_store.extend(RESULT_CODES.map(|code| attempt_result(Ok(code))));
    let replies = [
        OrderReply::Done,
        OrderReply::ExtentsLeft(2),
        OrderReply::NextExtent(None),
        OrderReply::NextExtent(Some(content(vec![]))),
        OrderReply::ExecutedOps(vec![EXECUTED_OP]),
        OrderReply::StaleTerm(9),
        OrderReply::WrongState,
    ];
    from_store.extend(replies.map(|reply| FromStore::OrderReply { token: 1, reply }));
    transcript.frames("from store", &from_store);
}

fn list_frames(transcript: &mut Transcript) {
    transcript.frames(
        "to list",
        &[
            ToList::Hello { run: 1 },
            ToList::Watch,
            ToList::Fetch,
            ToList::Lookup { token: 1, volume: 2, extent: 3, min_epoch: 4 },
            ToList::Move { token: 1, range: ExtentRange { volume: 2, start: 3, end: 4 }, shard: 5 },
            ToList::MoveStatus { token: 1, number: 2, abandon: true },
            ToList::Claim { token: 1, volume: 2, extent: 3, shard: 4 },
            ToList::Shards { token: 1, volume: 2 },
        ],
    );
    let entry = |address: &str, state, age| ListedStore {
        store: 1,
        address: address.parse().expect("an address"),
        shard: 2,
        zone: 3,
        state,
        incarnation: 4,
        age,
    };
    transcript.frames(
        "from list",
        &[
            FromList::Welcome { term: 3 },
            FromList::Complete(vec![
                entry("127.0.0.1:80", EndpointState::Ready, None),
                entry("[::1]:81", EndpointState::Draining, Some(5)),
            ]),
            FromList::Changes(vec![entry("127.0.0.1:80", EndpointState::Gone, Some(5))]),
            FromList::Failed,
            FromList::Location { token: 1, location: Some(Location { shard: 2, epoch: 3 }) },
            FromList::Location { token: 1, location: None },
            FromList::Shards { token: 1, shards: vec![1, 2] },
            FromList::Move { token: 1, number: Ok(2) },
            FromList::Move { token: 1, number: Err("why".into()) },
            FromList::MoveStatus { token: 1, state: "over".into(), is_finished: true },
        ],
    );
}

fn change_frames(transcript: &mut Transcript) {
    let name = || "relay-1".to_string();
    let lagging = LaggingMember { name: name(), version: 6, lag_seconds: 5 };
    let progress = ProgressSummary {
        version_counts: vec![VersionCount { version: 7, members: 3 }],
        lagging: vec![lagging],
    };
    let hello = |role| ToUpstream::Hello { name: name(), zone: "a".into(), role };
    transcript.frames(
        "to upstream",
        &[
            hello(Role::Gateway),
            hello(Role::Relay),
            ToUpstream::Follow { after: POSITION },
            ToUpstream::QueryHash { version: 3 },
            ToUpstream::Fetch { version: 7, offset: 65536 },
            ToUpstream::WindowUpdate { bytes: 9 },
            ToUpstream::Progress(progress.clone()),
            ToUpstream::Heartbeat,
            ToUpstream::Status,
        ],
    );
    let checkpoint = Checkpoint { position: POSITION, digest: [6; 32], length: 9 };
    let part = Bytes::from_static(b"part");
    let mut from_upstream = vec![
        FromUpstream::Hello { name: name(), path: vec!["top".into(), name()] },
        FromUpstream::Path(vec![name()]),
        FromUpstream::Head { head: POSITION, oldest_version: 3, checkpoint: Some(checkpoint) },
        FromUpstream::Head { head: Position::START, oldest_version: 0, checkpoint: None },
        FromUpstream::HashAt { position: POSITION },
        FromUpstream::Entry { position: POSITION, length: 9, offset: 2, part: part.clone() },
        FromUpstream::CheckpointPart { version: 7, offset: 3, part },
        FromUpstream::RetryAfter { after: std::time::Duration::from_millis(1500) },
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
    from_upstream.extend(REJECTION_REASONS.map(|reason| FromUpstream::Rejected { reason }));
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
