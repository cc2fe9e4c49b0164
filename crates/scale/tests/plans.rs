//! What there is no room for is refused before anything starts, with the figure and the limit.

use umbertray_scale::plan::{Limits, Plan, Refused, demand};

const LIMITS: Limits = Limits { descriptors: 20_000, bytes: 12 << 30, processes: 300 };

fn plan(gateways: u32, stores: u32, answering: Option<u32>) -> Plan {
    Plan {
        gateways,
        real: 1,
        stores,
        answering,
        volumes: 100,
        changes_per_second: 0.0,
        restarts_per_hour: 0.0,
        seconds: 1.0,
        seed: 1,
        relays: 0,
        fault: None,
    }
}

/// What is refused says the figure and the limit.
fn says(refused: &Refused, parts: &[&str]) {
    let text = refused.to_string();
    for part in parts {
        assert!(text.contains(part), "{text:?} does not say {part:?}");
    }
}

#[test]
fn demand_within_limits_says_what_is_needed() {
    let small = demand(&plan(3, 8, Some(8)), &LIMITS).expect("there is room");
    // This process, list, coordinator, a real gateway, a worker, a process of stores.
    assert_eq!((small.processes, small.workers, small.store_processes, small.answering), (6, 1, 1, 8));
    let large = demand(&plan(1700, 1000, None), &LIMITS).expect("with few that answer");
    assert!(large.answering >= 8 && large.descriptors <= LIMITS.descriptors && large.bytes <= LIMITS.bytes);
}

#[test]
fn demand_beyond_memory_limit_is_rejected_with_both_figures() {
    let small = Limits { bytes: 1 << 30, ..LIMITS };
    let refused = demand(&plan(1700, 1000, Some(8)), &small).expect_err("it is too much");
    let Refused::Memory { need, limit } = refused else { panic!("{refused}") };
    assert!(need > limit && limit == 1024);
    says(&Refused::Memory { need, limit }, &[&need.to_string(), "1024 MB"]);
    let fits = Limits { bytes: (need + 1) << 20, ..LIMITS };
    demand(&plan(1700, 1000, Some(8)), &fits).expect("what it says it needs is enough");
    let refused = demand(&plan(1700, 4000, None), &LIMITS).expect_err("all of the size that is coming");
    says(&refused, &["12288 MB"]);
}

#[test]
fn demand_beyond_process_limit_is_rejected_with_both_figures() {
    let many = Plan { real: 300, ..plan(301, 8, Some(8)) };
    let refused = demand(&many, &LIMITS).expect_err("it is too many");
    assert_eq!(refused, Refused::Processes { need: 305, limit: 300, links: 301 * 8 });
    says(&refused, &["305", "300"]);
    // All links of the size that is coming.
    let refused = demand(&plan(1700, 4000, Some(4000)), &LIMITS).expect_err("6.8 million links");
    says(&refused, &["processes", "300", "6800000"]);
}

#[test]
fn demand_beyond_descriptor_limit_is_rejected_with_both_figures() {
    let few = Limits { descriptors: 1024, ..LIMITS };
    let refused = demand(&plan(4, 4000, Some(4000)), &few).expect_err("a gateway alone has more links");
    assert_eq!(refused, Refused::Descriptors { role: "gateway", need: 4070, limit: 1024 });
    says(&refused, &["gateway", "4070", "1024", "ulimit -n"]);
    let refused = demand(&plan(1700, 4, Some(1)), &few).expect_err("a store alone has more links");
    says(&refused, &["store", "1766", "1024"]);
    let refused = demand(&plan(1700, 4, Some(0)), &few).expect_err("a list alone has more peers");
    says(&refused, &["list", "1765", "1024"]);
}

#[test]
fn demand_of_inconsistent_plan_is_rejected() {
    for (wrong, says_what) in [
        (plan(0, 1, None), "0 gateways"),
        (plan(1, 0, None), "0 stores"),
        (plan(1, 2, Some(3)), "3 answering stores of 2"),
        (Plan { real: 2, ..plan(1, 1, None) }, "2 real gateways of 1"),
        (Plan { seconds: f64::NAN, ..plan(1, 1, None) }, "seconds"),
        (Plan { changes_per_second: -1.0, ..plan(1, 1, None) }, "changes a second"),
        (Plan { restarts_per_hour: 1e9, ..plan(1, 1, None) }, "restarts an hour"),
    ] {
        says(&demand(&wrong, &LIMITS).expect_err(says_what), &[says_what]);
    }
}

#[test]
fn demand_of_any_plan_keeps_each_process_within_limits() {
    for gateways in [1, 3, 40, 449, 450, 451, 1700] {
        for answering in [0, 1, 8, 40] {
            let demand = demand(&plan(gateways, 400, Some(answering)), &LIMITS).expect("there is room");
            assert!(demand.descriptors <= LIMITS.descriptors, "{gateways} {answering} {demand:?}");
            let hollow = gateways - 1;
            assert!(demand.workers * 450 >= hollow && (hollow == 0) == (demand.workers == 0));
        }
    }
}
