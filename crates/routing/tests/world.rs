//! Randomized test of two routing cores with three stores and one directory in virtual time. Results, broken
//! connections and lost messages are drawn at random. Checks that each request gets exactly one final result
//! in time, and that each extent has one location.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use umbertray_routing::{
    Core, FinalResult, Input, Output, ReplyPart, Request, RequestHandler, RequestId, SessionId, Snapshot,
    StoreId,
};
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::store::{
    Attempt, AttemptResult, FromStore, OperationKind, ResultCode, ToStore,
};

use common::{TIMEOUT, ms, settings};

struct TrackedRequest {
    kind: OperationKind,
    offset: u64,
    length: u32,
    started_at: Duration,
    /// Lengths of the parts that were delivered, by offset.
    covered: BTreeMap<u64, u64>,
    result: Option<FinalResult>,
    is_session_closed: bool,
}

struct Gateway {
    core: Core,
    timer_at: Duration,
    /// Attempts that were sent and have no result yet.
    sent_attempts: Vec<(StoreId, Attempt)>,
    requests: HashMap<RequestId, TrackedRequest>,
    /// Queries that the directory has not answered yet.
    directory_queries: Vec<ToList>,
    saved_snapshot: Option<Snapshot>,
}

struct World {
    now: Duration,
    gateways: Vec<Gateway>,
    /// The directory's map: the shard of each extent.
    extent_shards: HashMap<u64, u32>,
    last_cookie: u64,
}

impl World {
    fn new() -> World {
        let now = Duration::from_secs(1000);
        let gateway = |seed| Gateway {
            core: Core::new(Arc::new(settings()), seed, now),
            timer_at: now,
            sent_attempts: Vec::new(),
            requests: HashMap::new(),
            directory_queries: Vec::new(),
            saved_snapshot: None,
        };
        let mut world = World {
            now,
            gateways: vec![gateway(1), gateway(2)],
            extent_shards: HashMap::new(),
            last_cookie: 0,
        };
        (0..2).for_each(|gateway| world.deliver(gateway, Vec::new()));
        (0..2).for_each(|gateway| world.answer_queries(gateway));
        world
    }

    fn deliver(&mut self, gateway: usize, inputs: Vec<Input>) {
        let mut inputs = inputs;
        loop {
            let outputs = self.gateways[gateway].core.handle(self.now, std::mem::take(&mut inputs));
            for output in outputs {
                self.on_output(gateway, output, &mut inputs);
            }
            if inputs.is_empty() {
                return;
            }
        }
    }

    fn on_output(&mut self, gateway: usize, output: Output, inputs: &mut Vec<Input>) {
        let state = &mut self.gateways[gateway];
        match output {
            Output::Reply { id, part, .. } => {
                let request = state.requests.get_mut(&id).expect("a reply to a request");
                assert!(request.result.is_none(), "nothing follows the final result");
                match part {
                    ReplyPart::Data { offset, data } => request.cover(offset, data.len() as u64),
                    ReplyPart::Hole { offset, length } => request.cover(offset, length.into()),
                    ReplyPart::DataRanges(ranges) => {
                        let total: u64 = ranges.iter().map(|range| u64::from(range.length)).sum();
                        request.cover(request.offset, total);
                    }
                    ReplyPart::Final(result) => {
                        assert!(
                            self.now <= request.started_at + TIMEOUT,
                            "a final result before the timeout"
                        );
                        request.result = Some(result);
                        let is_read = matches!(request.kind, OperationKind::Read | OperationKind::Status);
                        if result == FinalResult::Succeeded && is_read {
                            let covered: u64 = request.covered.values().sum();
                            assert_eq!(
                                covered,
                                u64::from(request.length),
                                "a read that succeeded is complete"
                            );
                        }
                    }
                }
            }
            Output::ConnectStore { store, .. } => {
                let lasting_id = lasting_id(store.0);
                inputs.push(Input::StoreConnected { store, lasting_id, shard: store.0, clock: 5 });
            }
            Output::DisconnectStore { .. } | Output::Log(_) => {}
            Output::ToStore { store, message: ToStore::Attempt(attempt), .. } => {
                if attempt.kind != OperationKind::Flush {
                    let shard = self.extent_shards.get(&attempt.extent);
                    assert_eq!(shard, Some(&store.0), "one location per extent");
                }
                if let Some(cookie) = attempt.data.first_chunk::<8>() {
                    let id = RequestId(SessionId(gateway as u64), u64::from_be_bytes(*cookie));
                    let request = &state.requests[&id];
                    assert!(
                        request.result.is_none() && !request.is_session_closed,
                        "nothing is sent for a finished request"
                    );
                }
                state.sent_attempts.push((store, attempt));
            }
            Output::ToStore { .. } => {}
            Output::ToList(query) => state.directory_queries.push(query),
            Output::SaveSnapshot(snapshot) => state.saved_snapshot = Some(snapshot),
            Output::SetTimer(at) => state.timer_at = at,
            Output::Fatal(why) => panic!("{why}"),
        }
    }

    /// Lets the directory answer all open queries of one gateway.
    fn answer_queries(&mut self, gateway: usize) {
        for query in std::mem::take(&mut self.gateways[gateway].directory_queries) {
            let response = match query {
                ToList::Watch | ToList::Fetch => FromList::Complete((0..3).map(listed_store).collect()),
                ToList::Lookup { token, extent, .. } => FromList::Location {
                    token,
                    location: self.extent_shards.get(&extent).map(|shard| location_at(*shard)),
                },
                ToList::Claim { token, extent, shard, .. } => {
                    let shard = *self.extent_shards.entry(extent).or_insert(shard);
                    FromList::Location { token, location: Some(location_at(shard)) }
                }
                ToList::Shards { token, .. } => {
                    let mut shards: Vec<u32> = self.extent_shards.values().copied().collect();
                    shards.sort_unstable();
                    shards.dedup();
                    FromList::Shards { token, shards }
                }
                ToList::Hello { .. } | ToList::Move { .. } | ToList::MoveStatus { .. } => continue,
            };
            self.deliver(gateway, vec![Input::FromList(response)]);
        }
    }

    fn submit(&mut self, gateway: usize, kind: OperationKind, block: u64, blocks: u32) {
        self.last_cookie += 1;
        let id = RequestId(SessionId(gateway as u64), self.last_cookie);
        let (offset, length) =
            if kind == OperationKind::Flush { (0, 0) } else { (block * 4096, blocks * 4096) };
        let mut data = vec![0; if kind == OperationKind::Write { length as usize } else { 0 }];
        data.chunks_mut(4096).for_each(|block| block[..8].copy_from_slice(&self.last_cookie.to_be_bytes()));
        let request = TrackedRequest {
            kind,
            offset,
            length,
            started_at: self.now,
            covered: BTreeMap::new(),
            result: None,
            is_session_closed: false,
        };
        self.gateways[gateway].requests.insert(id, request);
        let (data, buffer_guard, started_at) = (Bytes::from(data), Arc::new(()), self.now);
        let request =
            Request { id, volume: 0, kind, offset, length, durable: false, data, started_at, buffer_guard };
        self.deliver(gateway, vec![Input::Request(request)]);
    }

    /// Ends a sent attempt: `choice` selects the attempt, `fault` from 0 to 15 how it ends (0 to 8: success).
    fn end_attempt(&mut self, gateway: usize, choice: usize, fault: usize) {
        if self.gateways[gateway].sent_attempts.is_empty() {
            return;
        }
        let index = choice % self.gateways[gateway].sent_attempts.len();
        let (store, attempt) = self.gateways[gateway].sent_attempts.remove(index);
        let (number, offset, half) = (attempt.number, attempt.offset, attempt.length / 2);
        let received_at = self.now;
        let data = |offset, length: u32| {
            let data = Bytes::from(vec![1; length as usize]);
            Input::FromStore { store, message: FromStore::Data { number, offset, data }, received_at }
        };
        let result = |code| {
            let result = AttemptResult {
                number,
                code,
                clock: 9,
                epoch: 0,
                plan_rate_used: None,
                units_elsewhere: 0.0,
                load_report: Vec::new(),
                data_ranges: Vec::new(),
            };
            Input::FromStore { store, message: FromStore::AttemptResult(result), received_at }
        };
        let mut inputs = Vec::new();
        if attempt.kind == OperationKind::Read && fault < 12 {
            inputs.push(data(offset, half));
            if fault < 9 {
                let length = attempt.length - half;
                inputs.push(Input::FromStore {
                    store,
                    message: FromStore::Hole { number, offset: offset + half, length },
                    received_at,
                });
            }
        }
        inputs.push(match fault {
            0..9 => result(Ok(ResultCode::Succeeded)),
            9 => result(Ok(ResultCode::Failed)),
            10 => result(Ok(ResultCode::Rejected)),
            11 => result(Ok(ResultCode::Fenced)),
            12 => result(Err(77)),
            13 => result(Ok(ResultCode::Cancelled)),
            // The connection breaks, and all attempts sent on it are lost.
            14 => {
                self.gateways[gateway].sent_attempts.retain(|(other, _)| *other != store);
                Input::StoreDisconnected { store }
            }
            // The result is lost.
            _ => return,
        });
        self.deliver(gateway, inputs);
    }

    /// Advances the virtual time, firing the gateways' timers that become due.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let first = (0..2).min_by_key(|gateway| self.gateways[*gateway].timer_at).expect("two gateways");
            let timer_at = self.gateways[first].timer_at;
            if timer_at > end {
                break;
            }
            self.now = self.now.max(timer_at);
            self.gateways[first].timer_at = Duration::MAX;
            self.deliver(first, vec![Input::TimerExpired]);
        }
        self.now = end;
    }
}

impl TrackedRequest {
    fn cover(&mut self, offset: u64, length: u64) {
        let end = self.offset + u64::from(self.length);
        assert!(offset >= self.offset && offset + length <= end, "within the range");
        let previous = self.covered.range(..=offset).next_back();
        assert!(previous.is_none_or(|(start, length)| start + length <= offset), "no part overlaps another");
        self.covered.insert(offset, length);
    }
}

fn location_at(shard: u32) -> Location {
    Location { shard, epoch: 0 }
}

fn lasting_id(shard: u32) -> u64 {
    u64::from(shard) + 10
}

fn listed_store(shard: u32) -> ListedStore {
    let address = "127.0.0.1:1".parse().expect("an address");
    ListedStore {
        store: lasting_id(shard),
        address,
        shard,
        zone: 0,
        state: EndpointState::Ready,
        incarnation: 1,
        age: None,
    }
}

/// Runs a scenario in which each step's bits select an event, then lets all requests time out.
fn run_scenario(steps: &[u16]) -> World {
    let mut world = World::new();
    for step in steps {
        let bits = usize::from(*step);
        let gateway = bits % 2;
        match bits / 2 % 16 {
            0..6 => {
                let kind = [
                    OperationKind::Read,
                    OperationKind::Write,
                    OperationKind::Write,
                    OperationKind::Zero,
                    OperationKind::Flush,
                    OperationKind::Read,
                ][bits / 32 % 6];
                world.submit(gateway, kind, (bits / 256 % 16) as u64, 1 + (bits / 4096 % 4) as u32);
            }
            6..12 => world.end_attempt(gateway, bits / 512, bits / 32 % 16),
            12 => world.answer_queries(gateway),
            13 => world.advance(ms((bits / 32 % 64) as u64)),
            14 if bits / 32 % 8 == 0 => {
                for request in world.gateways[gateway].requests.values_mut() {
                    request.is_session_closed |= request.result.is_none();
                }
                world.deliver(gateway, vec![Input::SessionClosed(SessionId(gateway as u64))]);
            }
            14 => world.answer_queries(gateway),
            _ if bits / 32 % 8 == 0 => world.deliver(gateway, vec![Input::ListDisconnected]),
            _ => world.answer_queries(gateway),
        }
    }
    world.advance(ms(1500));
    world
}

#[test]
fn every_request_gets_one_final_result_and_every_extent_one_location() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck hands generated values over by value")]
    fn all_requests_settled(steps: Vec<u16>) -> bool {
        run_scenario(&steps).gateways.iter().all(|gateway| {
            let is_settled = |request: &TrackedRequest| request.is_session_closed != request.result.is_some();
            gateway.core.open_requests() == 0 && gateway.requests.values().all(is_settled)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 1))
        .tests(300)
        .quickcheck(all_requests_settled as fn(Vec<u16>) -> bool);
}

#[test]
fn racing_first_writes_agree_on_one_location() {
    let mut world = World::new();
    world.submit(0, OperationKind::Write, 0, 1);
    world.submit(1, OperationKind::Write, 0, 1);
    // Both gateways learn that the extent has no location, and only then does either claim it.
    (0..2).for_each(|gateway| world.answer_queries(gateway));
    world.extent_shards.insert(0, 2);
    (0..2).for_each(|gateway| world.answer_queries(gateway));
    for gateway in 0..2 {
        world.advance(ms(5));
        let (store, _) = world.gateways[gateway].sent_attempts[0];
        assert_eq!(store.0, 2, "another claim won, and both gateways write to its shard");
        world.end_attempt(gateway, 0, 0);
    }
    assert!(world.gateways.iter().all(|gateway| {
        gateway.requests.values().all(|request| request.result == Some(FinalResult::Succeeded))
    }));
}

#[test]
fn abandoned_write_is_not_answered_before_its_fence() {
    let mut world = World::new();
    world.submit(0, OperationKind::Write, 0, 1);
    (0..2).for_each(|_| world.answer_queries(0));
    world.gateways[0].sent_attempts.clear();
    // The connection breaks, so the write's outcome is unknown; no store of the shard is left for a retry.
    world.deliver(0, vec![Input::StoreDisconnected { store: StoreId(world.extent_shards[&0]) }]);
    let gone =
        (0..3).map(|shard| ListedStore { state: EndpointState::Gone, ..listed_store(shard) }).collect();
    world.deliver(0, vec![Input::FromList(FromList::Complete(gone))]);
    let result =
        |world: &World| world.gateways[0].requests.values().next().and_then(|request| request.result);
    world.advance(ms(600));
    assert_eq!(result(&world), None, "the time fence of the write has not passed");
    world.advance(ms(400));
    assert!(matches!(result(&world), Some(FinalResult::Rejected { .. })));
}

#[test]
fn retry_supersedes_attempts_of_unknown_outcome() {
    let mut world = World::new();
    world.submit(0, OperationKind::Write, 0, 1);
    (0..2).for_each(|_| world.answer_queries(0));
    let (store, first) = world.gateways[0].sent_attempts.remove(0);
    world.deliver(0, vec![Input::StoreDisconnected { store }]);
    world.advance(ms(300));
    let (_, second) = world.gateways[0].sent_attempts.remove(0);
    assert_eq!((second.op, &second.supersedes[..]), (first.op, &[first.number][..]));
    assert!(second.not_after <= 5 + 1_000_000, "by the store's clock, at most the request's timeout");
}

/// Guards against a query storm: with the endpoint list down for 0.8 s, each failed query resent all the
/// others, and after the list returned the gateway learned of a drain 1.4 s late, because its notification
/// was queued behind the queries.
#[test]
fn failing_directory_gets_no_growing_number_of_queries() {
    let mut world = World::new();
    (0..10).for_each(|extent| world.submit(0, OperationKind::Write, extent * 2, 1));
    let mut query_count = 0;
    for _ in 0..80 {
        let queries = std::mem::take(&mut world.gateways[0].directory_queries);
        query_count += queries.len();
        for _ in queries {
            world.advance(Duration::from_micros(50));
            world.deliver(0, vec![Input::FromList(FromList::Failed)]);
        }
        world.advance(ms(10));
    }
    // Ten at first, then ten per connect timeout of 100 ms, and occasionally a subscription.
    assert!((70..=110).contains(&query_count), "{query_count} queries in 0.8 s");
}

#[test]
fn restored_core_connects_to_saved_stores_without_a_list() {
    let mut world = World::new();
    world.deliver(0, vec![Input::TakeSnapshot { promise_duration: ms(2000) }]);
    let snapshot = world.gateways[0].saved_snapshot.take().expect("a snapshot at once");
    assert_eq!(snapshot.stores.iter().filter(|store| store.learned_values.is_some()).count(), 3);
    let mut restarted = Core::new(Arc::new(settings()), 1, world.now + ms(500));
    restarted.handle(world.now + ms(500), vec![Input::Restore { snapshot, age: Some(ms(500)) }]);
    let outputs = restarted.handle(world.now + ms(501), vec![Input::ListDisconnected]);
    let connections = outputs.iter().filter(|output| matches!(output, Output::ConnectStore { .. })).count();
    assert_eq!(connections, 3, "the saved list is used");
}
