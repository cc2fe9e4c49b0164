//! A small right record, and one altered for each rule: the judge must tell them apart.

use umbertray_fakes::book::{Entry, Seen};
use umbertray_store_protocol::volume_id;

use super::judge;
use crate::day::Day;
use crate::record::{Asked, Deed, Kind, Outcome, Record};

const DAY: &str = r#"
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

fn asked(kind: Kind, mark: u64, sent: u64) -> Asked {
    let found = if kind == Kind::Read { vec![Some(mark)] } else { Vec::new() };
    let mark = if kind == Kind::Read { 0 } else { mark };
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
    let seen = Seen::Received { run, number, op, volume, extent, work, offset, length, units, mark };
    Entry { at, store: 1, seen }
}

fn entry(at: u64, seen: Seen) -> Entry {
    Entry { at, store: 1, seen }
}

/// Two writes through one gateway to one store, each sent once, and reads between.
fn right() -> Record {
    let answered = |number| Seen::Answered { run: 9, number, code: "Acked".into() };
    Record {
        asked: vec![
            asked(Kind::Write, 1, 1_000_000),
            asked(Kind::Read, 1, 1_100_000),
            asked(Kind::Write, 2, 1_200_000),
            asked(Kind::Read, 2, 1_300_000),
        ],
        stores: vec![
            entry(0, Seen::Up { units_a_second: 10.0, cold: true }),
            received(1_010_000, 1, 1, 1, 1.0),
            entry(1_020_000, Seen::Ran { run: 9, number: 1 }),
            entry(1_020_000, answered(1)),
            received(1_210_000, 2, 2, 2, 1.0),
            entry(1_220_000, Seen::Ran { run: 9, number: 2 }),
            entry(1_220_000, answered(2)),
        ],
        deeds: Vec::new(),
        ..Record::default()
    }
}

fn broken(change: impl FnOnce(&mut Record)) -> Vec<&'static str> {
    let day = Day::read("test.star", DAY.into()).expect("the day is well written");
    let mut record = right();
    change(&mut record);
    let verdict = judge(&day, &record);
    verdict.findings.into_iter().filter(|finding| finding.broken > 0).map(|finding| finding.rule).collect()
}

#[test]
fn a_right_record_breaks_nothing() {
    assert_eq!(broken(|_| {}), [""; 0]);
}

#[test]
fn a_late_a_missing_and_a_doubled_answer_break_rule_1() {
    assert_eq!(broken(|record| record.asked[1].ended += 1_100_000), ["1 one final answer"]);
    assert_eq!(broken(|record| record.asked[1].outcome = Outcome::Silent), ["1 one final answer"]);
    assert_eq!(broken(|record| record.strays.push("cookie 7".into())), ["1 one final answer"]);
}

#[test]
fn a_dispatch_after_the_answer_breaks_rule_1() {
    let after = broken(|record| {
        record.asked[2].ended = 1_201_000;
        record.stores[4].at = 1_290_000;
    });
    assert_eq!(after, ["1 one final answer"]);
}

#[test]
fn a_stand_still_excuses_a_late_answer_only_while_it_lasts() {
    let stall = |from, until| {
        move |record: &mut Record| {
            record.asked[3].ended = 3_000_000;
            record.deeds.push((from, Deed::Stalled { gateway: 0, until }));
        }
    };
    // The answer was due while the gateway stood still.
    assert_eq!(broken(stall(1_310_000, 2_990_000)), [""; 0]);
    assert_eq!(broken(stall(1_310_000, 2_500_000)), ["1 one final answer"]);
    // The request came while it did: its time counts from the end of that.
    assert_eq!(broken(stall(1_200_000, 2_100_000)), [""; 0]);
    assert_eq!(broken(stall(1_200_000, 1_900_000)), ["1 one final answer"]);
}

#[test]
fn a_write_that_runs_twice_breaks_rule_2() {
    let twice = broken(|record| {
        record.stores.push(received(1_225_000, 3, 2, 2, 1.0));
        record.stores.push(entry(1_226_000, Seen::Ran { run: 9, number: 3 }));
    });
    assert!(twice.contains(&"2 no effect twice"), "{twice:?}");
    let throttled = broken(|record| record.asked[2].outcome = Outcome::Throttled);
    assert!(throttled.contains(&"2 no effect twice"), "once-only, may have run: {throttled:?}");
}

#[test]
fn a_dispatch_to_a_drained_store_breaks_rule_3() {
    assert_eq!(broken(|r| r.deeds.push((100_000, Deed::Barred { store: 1 }))), ["3 drains are kept"]);
    assert_eq!(broken(|r| r.deeds.push((1_000_000, Deed::Barred { store: 1 }))), [""; 0]);
}

#[test]
fn a_fallen_store_or_one_sent_too_much_breaks_rule_4() {
    assert_eq!(broken(|r| r.stores.push(entry(1_300_000, Seen::Fell))), ["4 no cold store pushed over"]);
    let heavy = broken(|r| r.stores[1] = received(1_010_000, 1, 1, 1, 21.0));
    assert!(heavy.contains(&"4 no cold store pushed over"), "{heavy:?}");
}

#[test]
fn a_key_whose_earlier_op_is_out_breaks_rule_5() {
    let out = broken(|record| {
        record.stores.remove(3);
        record.stores[1].at = 1_100_000;
    });
    assert_eq!(out, ["5 order by key"]);
}

#[test]
fn too_many_further_dispatches_break_rule_6() {
    let more = broken(|record| {
        for number in 3..5 {
            record.stores.push(received(1_221_000, number, 2, 2, 0.0));
            let code = "Full".into();
            record.stores.push(entry(1_221_000, Seen::Answered { run: 9, number, code }));
        }
    });
    assert_eq!(more, ["6 budget of further dispatches"]);
}

#[test]
fn a_volume_past_its_limit_breaks_rule_7() {
    let past = broken(|r| {
        r.stores[0] = entry(0, Seen::Up { units_a_second: 1e6, cold: true });
        r.stores[1] = received(1_010_000, 1, 1, 1, 23.0);
    });
    assert_eq!(past, ["7 limits are kept"]);
}

#[test]
fn a_stale_an_unwritten_a_torn_and_a_returning_value_are_found() {
    let rule = ["reads return what stands"];
    assert_eq!(broken(|record| record.asked[3].found = vec![Some(1)]), rule, "an older write");
    assert_eq!(broken(|record| record.asked[3].found = vec![Some(0)]), rule, "zeros again");
    assert_eq!(broken(|record| record.asked[1].found = vec![Some(2)]), rule, "not begun");
    assert_eq!(broken(|record| record.asked[1].found = vec![None]), rule, "torn");
    // Two writes at once may stand in either order, but not 1, then 2, then 1.
    let returns = broken(|record| {
        record.asked[0].ended = 1_900_000;
        record.asked[2].ended = 1_900_000;
        record.asked.push(asked(Kind::Read, 1, 1_400_000));
    });
    assert_eq!(returns, rule);
    // A throttled write has run, if at all, when its answer comes; one without an answer may run later.
    let late = |outcome| {
        move |record: &mut Record| {
            record.asked[0].outcome = outcome;
            record.asked.remove(1);
            record.asked[2].found = vec![Some(1)];
        }
    };
    assert!(broken(late(Outcome::Aborted)).contains(&rule[0]));
    assert!(!broken(late(Outcome::Lost)).contains(&rule[0]));
}
