//! A plan for which there is no capacity is rejected before any process starts, with the needed amount and
//! the limit.

use umbertray_scale::plan::{Limits, Plan, PlanRejected, check_demand};

const LIMITS: Limits = Limits { descriptors: 20_000, bytes: 12 << 30, processes: 300 };

fn plan(gateways: u32, stores: u32, answering: Option<u32>) -> Plan {
    Plan {
        gateways,
        real_gateways: 1,
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

/// Asserts that the error message contains all `parts`.
fn assert_message_contains(rejection: &PlanRejected, parts: &[&str]) {
    let text = rejection.to_string();
    for part in parts {
        assert!(text.contains(part), "{text:?} does not contain {part:?}");
    }
}

#[test]
fn demand_within_limits_says_what_is_needed() {
    let small = check_demand(&plan(3, 8, Some(8)), &LIMITS).expect("the plan is within the limits");
    // This process, the list, the coordinator, a real gateway, a worker and a process of stores.
    assert_eq!((small.processes, small.workers, small.store_processes, small.answering), (6, 1, 1, 8));
    let large = check_demand(&plan(1700, 1000, None), &LIMITS)
        .expect("the default of few answering stores is within the limits");
    assert!(large.answering >= 8 && large.descriptors <= LIMITS.descriptors && large.bytes <= LIMITS.bytes);
}

#[test]
fn demand_beyond_memory_limit_is_rejected_with_both_figures() {
    let small = Limits { bytes: 1 << 30, ..LIMITS };
    let rejection = check_demand(&plan(1700, 1000, Some(8)), &small).expect_err("more memory than the limit");
    let PlanRejected::Memory { need, limit } = rejection else { panic!("{rejection}") };
    assert!(need > limit && limit == 1024);
    assert_message_contains(&PlanRejected::Memory { need, limit }, &[&need.to_string(), "1024 MB"]);
    let fits = Limits { bytes: (need + 1) << 20, ..LIMITS };
    check_demand(&plan(1700, 1000, Some(8)), &fits).expect("a limit of the needed amount is enough");
    let rejection = check_demand(&plan(1700, 4000, None), &LIMITS)
        .expect_err("the expected future fleet, 1700 gateways and 4000 stores, needs more than 12 GiB");
    assert_message_contains(&rejection, &["12288 MB"]);
}

#[test]
fn demand_beyond_process_limit_is_rejected_with_both_figures() {
    let many = Plan { real_gateways: 300, ..plan(301, 8, Some(8)) };
    let rejection = check_demand(&many, &LIMITS).expect_err("more processes than the limit");
    assert_eq!(rejection, PlanRejected::Processes { need: 305, limit: 300, connections: 301 * 8 });
    assert_message_contains(&rejection, &["305", "300"]);
    // The expected future fleet, 1700 gateways and 4000 stores, has 6.8 million connections if all stores
    // answer.
    let rejection = check_demand(&plan(1700, 4000, Some(4000)), &LIMITS)
        .expect_err("6.8 million connections need too many processes");
    assert_message_contains(&rejection, &["processes", "300", "6800000"]);
}

#[test]
fn demand_beyond_descriptor_limit_is_rejected_with_both_figures() {
    let few = Limits { descriptors: 1024, ..LIMITS };
    let rejection = check_demand(&plan(4, 4000, Some(4000)), &few)
        .expect_err("a single gateway has more connections than the limit");
    assert_eq!(rejection, PlanRejected::Descriptors { role: "gateway", need: 4070, limit: 1024 });
    assert_message_contains(&rejection, &["gateway", "4070", "1024", "ulimit -n"]);
    let rejection = check_demand(&plan(1700, 4, Some(1)), &few)
        .expect_err("a single store has more connections than the limit");
    assert_message_contains(&rejection, &["store", "1766", "1024"]);
    let rejection = check_demand(&plan(1700, 4, Some(0)), &few)
        .expect_err("the list has more connections than the limit");
    assert_message_contains(&rejection, &["list", "1765", "1024"]);
}

#[test]
fn demand_of_inconsistent_plan_is_rejected() {
    for (plan, expected) in [
        (plan(0, 1, None), "0 gateways"),
        (plan(1, 0, None), "0 stores"),
        (plan(1, 2, Some(3)), "3 answering stores of 2"),
        (Plan { real_gateways: 2, ..plan(1, 1, None) }, "2 real gateways of 1"),
        (Plan { seconds: f64::NAN, ..plan(1, 1, None) }, "seconds"),
        (Plan { changes_per_second: -1.0, ..plan(1, 1, None) }, "changes a second"),
        (Plan { restarts_per_hour: 1e9, ..plan(1, 1, None) }, "restarts an hour"),
    ] {
        assert_message_contains(&check_demand(&plan, &LIMITS).expect_err(expected), &[expected]);
    }
}

#[test]
fn demand_of_any_plan_keeps_each_process_within_limits() {
    for gateways in [1, 3, 40, 449, 450, 451, 1700] {
        for answering in [0, 1, 8, 40] {
            let demand = check_demand(&plan(gateways, 400, Some(answering)), &LIMITS)
                .expect("the plan is within the limits");
            assert!(demand.descriptors <= LIMITS.descriptors, "{gateways} {answering} {demand:?}");
            let hollow = gateways - 1;
            assert!(demand.workers * 450 >= hollow && (hollow == 0) == (demand.workers == 0));
        }
    }
}
