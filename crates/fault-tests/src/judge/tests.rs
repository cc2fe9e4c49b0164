//! Tests of the judge: a small correct record breaks no rule, and an altered copy of it breaks the rule that
//! the alteration violates.

use umbertray_fakes::event_log::{Entry, StoreEvent};
use umbertray_store_protocol::volume_id;

use super::judge;
use crate::record::{Asked, Outcome, Record, RequestKind, TestEvent};
use crate::script::Scenario;

const SCENARIO: &str = r#"
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1", extent = 256 * KiB)
op_type("get", target_latency = 0.1, op_timeout = 1.0, utility = 3)
op_type("put", target_latency = 0.1, op_timeout = 1.0, utility = 2, repeats = "once_only", in_order = True)
request(["read", "status"], op_type = "get")
request(["write", "zero", "trim", "flush"], op_type = "put")
plan("p", rate = 100, limit = 10, limit_burst = 20, limit_slack = 2)
volume("v", size = 1 * MiB, plan = "p")
rules(cold_time = 4, fall_time = 1, order_pause = 0.2, further_free = 1, further_share = 0, further_span = 10)
day(length = 1, gateways = 1, stores = 1, slack = 0.05, unit_ms = 100, cores = 1)
clients("v", count = 1)
"#;

fn request(kind: RequestKind, mark: u64, sent: u64) -> Asked {
    let found = if kind == RequestKind::Read { vec![Some(mark)] } else { Vec::new() };
    let mark = if kind == RequestKind::Read { 0 } else { mark };
    Asked {
        client: 0,
        gateway: 0,
        volume: 0,
        kind,
        offset: 0,
        length: 4096,
        mark,
        sent,
        ended: sent + 50_000,
        outcome: Outcome::Acked,
        found,
    }
}

fn received(at: u64, number: u64, op: u64, mark: u64, units: f64) -> Entry {
    let (run, volume, extent, offset, length) = (9, volume_id("v"), 0, 0, 4096);
    let work = "Write".into();
    let seen = StoreEvent::Received { run, number, op, volume, extent, work, offset, length, units, mark };
    Entry { at, store: 1, seen }
}

fn entry(at: u64, seen: StoreEvent) -> Entry {
    Entry { at, store: 1, seen }
}

/// Two writes through one gateway to one store, each with one attempt, and a read after each write.
fn correct_record() -> Record {
    let answered = |number| StoreEvent::Answered { run: 9, number, code: "Acked".into() };
    Record {
        client_requests: vec![
            request(RequestKind::Write, 1, 1_000_000),
            request(RequestKind::Read, 1, 1_100_000),
            request(RequestKind::Write, 2, 1_200_000),
            request(RequestKind::Read, 2, 1_300_000),
        ],
        stores: vec![
            entry(0, StoreEvent::Up { units_a_second: 10.0, cold: true }),
            received(1_010_000, 1, 1, 1, 1.0),
            entry(1_020_000, StoreEvent::Ran { run: 9, number: 1 }),
            entry(1_020_000, answered(1)),
            received(1_210_000, 2, 2, 2, 1.0),
            entry(1_220_000, StoreEvent::Ran { run: 9, number: 2 }),
            entry(1_220_000, answered(2)),
        ],
        events: Vec::new(),
        ..Record::default()
    }
}

fn broken_rules(alter: impl FnOnce(&mut Record)) -> Vec<&'static str> {
    let scenario = Scenario::read("test.star", SCENARIO.into()).expect("the scenario is valid");
    let mut record = correct_record();
    alter(&mut record);
    let verdict = judge(&scenario, &record);
    verdict
        .findings
        .into_iter()
        .filter(|finding| finding.breach_count > 0)
        .map(|finding| finding.rule)
        .collect()
}

#[test]
fn a_correct_record_breaks_no_rule() {
    assert_eq!(broken_rules(|_| {}), [""; 0]);
}

#[test]
fn a_late_a_missing_and_a_doubled_answer_break_rule_1() {
    assert_eq!(broken_rules(|record| record.client_requests[1].ended += 1_100_000), ["1 one final answer"]);
    assert_eq!(
        broken_rules(|record| record.client_requests[1].outcome = Outcome::Silent),
        ["1 one final answer"]
    );
    assert_eq!(
        broken_rules(|record| record.unmatched_replies.push("cookie 7".into())),
        ["1 one final answer"]
    );
}

#[test]
fn a_dispatch_after_the_answer_breaks_rule_1() {
    let after = broken_rules(|record| {
        record.client_requests[2].ended = 1_201_000;
        record.stores[4].at = 1_290_000;
    });
    assert_eq!(after, ["1 one final answer"]);
}

#[test]
fn a_stall_excuses_a_late_response_only_while_it_lasts() {
    let stall = |from, until| {
        move |record: &mut Record| {
            record.client_requests[3].ended = 3_000_000;
            record.events.push((from, TestEvent::Stalled { gateway: 0, until }));
        }
    };
    // The response was due while the gateway was stalled.
    assert_eq!(broken_rules(stall(1_310_000, 2_990_000)), [""; 0]);
    assert_eq!(broken_rules(stall(1_310_000, 2_500_000)), ["1 one final answer"]);
    // The request was sent during the stall: its timeout counts from the end of the stall.
    assert_eq!(broken_rules(stall(1_200_000, 2_100_000)), [""; 0]);
    assert_eq!(broken_rules(stall(1_200_000, 1_900_000)), ["1 one final answer"]);
}

#[test]
fn a_write_that_runs_twice_breaks_rule_2() {
    let twice = broken_rules(|record| {
        record.stores.push(received(1_225_000, 3, 2, 2, 1.0));
        record.stores.push(entry(1_226_000, StoreEvent::Ran { run: 9, number: 3 }));
    });
    assert!(twice.contains(&"2 no effect twice"), "{twice:?}");
    let throttled = broken_rules(|record| record.client_requests[2].outcome = Outcome::Throttled);
    assert!(throttled.contains(&"2 no effect twice"), "once-only, may have run: {throttled:?}");
}

#[test]
fn a_dispatch_to_a_drained_store_breaks_rule_3() {
    assert_eq!(
        broken_rules(|r| r.events.push((100_000, TestEvent::Barred { store: 1 }))),
        ["3 drains are kept"]
    );
    assert_eq!(broken_rules(|r| r.events.push((1_000_000, TestEvent::Barred { store: 1 }))), [""; 0]);
}

#[test]
fn a_crashed_or_overloaded_cold_store_breaks_rule_4() {
    assert_eq!(
        broken_rules(|r| r.stores.push(entry(1_300_000, StoreEvent::Fell))),
        ["4 no cold store pushed over"]
    );
    let heavy = broken_rules(|r| r.stores[1] = received(1_010_000, 1, 1, 1, 21.0));
    assert!(heavy.contains(&"4 no cold store pushed over"), "{heavy:?}");
}

#[test]
fn an_attempt_while_an_earlier_op_of_its_key_is_pending_breaks_rule_5() {
    let pending = broken_rules(|record| {
        record.stores.remove(3);
        record.stores[1].at = 1_100_000;
    });
    assert_eq!(pending, ["5 order by key"]);
}

#[test]
fn too_many_further_dispatches_break_rule_6() {
    let more = broken_rules(|record| {
        for number in 3..5 {
            record.stores.push(received(1_221_000, number, 2, 2, 0.0));
            let code = "Full".into();
            record.stores.push(entry(1_221_000, StoreEvent::Answered { run: 9, number, code }));
        }
    });
    assert_eq!(more, ["6 budget of further dispatches"]);
}

#[test]
fn a_volume_past_its_limit_breaks_rule_7() {
    let past = broken_rules(|r| {
        r.stores[0] = entry(0, StoreEvent::Up { units_a_second: 1e6, cold: true });
        r.stores[1] = received(1_010_000, 1, 1, 1, 23.0);
    });
    assert_eq!(past, ["7 limits are kept"]);
}

#[test]
fn a_read_of_a_stale_unwritten_torn_or_reappearing_value_is_found() {
    let rule = ["reads return what stands"];
    assert_eq!(
        broken_rules(|record| record.client_requests[3].found = vec![Some(1)]),
        rule,
        "an overwritten value"
    );
    assert_eq!(
        broken_rules(|record| record.client_requests[3].found = vec![Some(0)]),
        rule,
        "zeros after a write"
    );
    assert_eq!(
        broken_rules(|record| record.client_requests[1].found = vec![Some(2)]),
        rule,
        "a write that has not begun"
    );
    assert_eq!(broken_rules(|record| record.client_requests[1].found = vec![None]), rule, "a torn block");
    // Two concurrent writes may take effect in either order, but reads must not return 1, then 2, then 1.
    let returns = broken_rules(|record| {
        record.client_requests[0].ended = 1_900_000;
        record.client_requests[2].ended = 1_900_000;
        record.client_requests.push(request(RequestKind::Read, 1, 1_400_000));
    });
    assert_eq!(returns, rule);
    // A throttled or aborted write that runs has run by the time of its response; one without a response may
    // run later.
    let late = |outcome| {
        move |record: &mut Record| {
            record.client_requests[0].outcome = outcome;
            record.client_requests.remove(1);
            record.client_requests[2].found = vec![Some(1)];
        }
    };
    assert!(broken_rules(late(Outcome::Aborted)).contains(&rule[0]));
    assert!(!broken_rules(late(Outcome::Lost)).contains(&rule[0]));
}
