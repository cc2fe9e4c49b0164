//! The scheduler's rules, checked by a plain model in generated scenarios, and a small test for each failure
//! found.

mod fleet;
mod forgetting;

use fleet::{TestFleet, endpoint, ms, op, settings};
use quickcheck::{Gen, QuickCheck};
use umbertray::interface::*;
use umbertray::scheduler::Scheduler;

const START: u64 = 1_000_000;

fn at(millis: u64) -> std::time::Duration {
    ms(START + millis)
}

fn one_store() -> TestFleet {
    TestFleet::new(at(0), vec![endpoint(0, 0, None, StoreState::Ready)])
}

const OUTCOMES: [Outcome; 11] = [
    Outcome::Succeeded,
    Outcome::Succeeded,
    Outcome::Succeeded,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Unknown,
];

/// The op that a step of a scenario represents.
fn drawn_op(id: u32, bits: usize) -> Op {
    let mut op = op(id, (bits / 128 % 4) as u32, bits / 512 % 4);
    op.plan = bits / 128 % 2;
    op.gateways = 2.0;
    op.units = (1 + bits / 2048 % 6) as f64;
    op.shard = (bits / 8192 > 1).then_some((bits / 2 % 3) as u32);
    op.key = Some(1 + (bits / 4096 % 2) as u64);
    op.time_left = ms([1000, 400, 30, 1000][bits / 16384]);
    op
}

/// Runs the scenario that the steps encode; the fleet panics if an action breaks a rule.
fn run_scenario(steps: &[u16]) -> TestFleet {
    let mut list: Vec<Endpoint> = (0..3).map(|i| endpoint(i, i, None, StoreState::Ready)).collect();
    let mut fleet = TestFleet::new(at(0), list.clone());
    for (i, step) in steps.iter().enumerate() {
        let bits = usize::from(*step);
        let (gateway, store) = (bits % 2, bits / 2 % 3);
        match bits / 8 % 16 {
            0..7 => fleet.submit(gateway, drawn_op(i as u32, bits)),
            7..13 => {
                let in_flight = fleet.in_flight(gateway);
                if let Some((id, n, _)) = in_flight.get(bits / 128 % in_flight.len().max(1)) {
                    fleet.finish_attempt(gateway, *id, *n, OUTCOMES[bits / 2048 % OUTCOMES.len()]);
                }
            }
            13 => {
                let state = [StoreState::Draining, StoreState::Gone, StoreState::Ready, StoreState::Ready]
                    [bits / 128 % 4];
                list[store].started_at =
                    if state == StoreState::Ready { Some(fleet.now) } else { list[store].started_at };
                list[store].state = state;
                fleet.publish_list(list.clone());
            }
            14 if bits / 128 % 4 == 0 => fleet.restart(gateway),
            14 if bits / 128 % 4 == 1 => fleet.restart_and_restore(gateway, bits / 512 % 4 > 0),
            14 if bits / 128 % 4 == 2 => {
                // Snapshots are taken no more often than the promise allows for.
                fleet.advance(fleet::PROMISE_DURATION / 2);
                fleet.take_snapshot(gateway);
            }
            14 => fleet.deliver(
                gateway,
                vec![
                    Event::EndpointList(EndpointListUpdate::Failed),
                    Event::ClientDisconnected { op: OpId(u32::MAX) },
                ],
            ),
            // Each gateway is notified of a changed limit at its own time; one may never be.
            _ if bits / 128 % 4 == 0 => {
                let (limit, burst) = [(20.0, 24.0), (5.0, 6.0), (40.0, 40.0), (0.0, 0.0)][bits / 512 % 4];
                fleet.change_limit(gateway, limit, burst);
            }
            _ => fleet.advance(ms((bits / 128 % 64) as u64)),
        }
        fleet.advance(ms((bits / 4096) as u64));
    }
    fleet.advance(ms(1100));
    fleet
}

#[test]
fn generated_scenario_keeps_rules_and_is_deterministic() {
    #[allow(clippy::needless_pass_by_value)] // QuickCheck passes arguments by value.
    fn runs_identically(steps: Vec<u16>) -> bool {
        let actions =
            |fleet: TestFleet| fleet.gateways.into_iter().map(|gateway| gateway.actions).collect::<Vec<_>>();
        actions(run_scenario(&steps)) == actions(run_scenario(&steps))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 1))
        .tests(150)
        .quickcheck(runs_identically as fn(Vec<u16>) -> bool);
}

#[test]
fn missing_setting_at_start_is_named_in_fatal() {
    let mut incomplete = settings();
    incomplete.remove("rules.fall_time");
    let actions = Scheduler::default().handle(at(0), vec![Event::Start { seed: 1, settings: incomplete }]);
    assert!(matches!(&actions[..], [Action::Fatal(text)] if text.contains("rules.fall_time")));
}

#[test]
fn op_without_time_left_is_answered_on_arrival() {
    let mut fleet = one_store();
    fleet.submit(0, Op { time_left: ms(5), ..op(1, 1, 0) });
    assert!(fleet.gateways[0].ops[&OpId(1)].has_ended);
}

/// 350 gateways, each deciding independently, together keep to what a store in slow start can carry and to
/// the plans' limits, and their parts do not round down to nothing.
#[test]
fn hundreds_of_gateways_keep_rules_in_sum_and_serve() {
    const GATEWAYS_PER_VOLUME: u32 = 8;
    let mut fleet_settings = settings();
    fleet_settings.insert("rules.fall_multiple".into(), "2".into());
    fleet_settings.insert("gateways".into(), "350".into());
    let cold = endpoint(0, 0, Some(at(0)), StoreState::Ready);
    let mut fleet = TestFleet::with_gateways(
        at(0),
        vec![cold, endpoint(1, 1, None, StoreState::Ready)],
        fleet_settings,
        350,
    );
    // Some tens of ops per second at a few gateways and none at most of them: six volumes at the store in
    // slow start, whose plans' rates add up to what it can carry once it is warm, and two volumes with a
    // limit at the other store, each through some of the gateways.
    let mut id = 0;
    for round in 0..40 {
        for volume in 0..8 {
            let gateway = ((volume * 23 + round * 7 % GATEWAYS_PER_VOLUME) % 350) as usize;
            let (plan, shard) = if volume < 6 { (0, 0) } else { (1, 1) };
            let submitted = Op {
                plan,
                shard: Some(shard),
                gateways: GATEWAYS_PER_VOLUME.into(),
                units: 1.0,
                ..op(id, volume, 0)
            };
            fleet.submit(gateway, submitted);
            id += 1;
        }
        fleet.advance(ms(50));
        for gateway in 0..350 {
            let in_flight = fleet.in_flight(gateway);
            in_flight
                .into_iter()
                .for_each(|(id, n, _)| fleet.finish_attempt(gateway, id, n, Outcome::Succeeded));
        }
    }
    let sent = |store| (0..350).map(|gateway| fleet.sent_to(gateway, store).len()).sum::<usize>();
    assert!(sent(0) > 3, "{} ops sent to the store in slow start", sent(0));
    assert!(sent(1) > 20, "{} ops sent for the limited volumes", sent(1));
}

/// Guards against ops lost at shutdown: ops whose clients would wait longer than the gateway runs must get a
/// final response before it terminates.
#[test]
fn open_ops_at_shutdown_are_answered_before_it() {
    let mut long_timeouts = settings();
    for i in 0..4 {
        long_timeouts.insert(format!("op_types.{i}.target_latency"), "4".into());
        long_timeouts.insert(format!("op_types.{i}.op_timeout"), "40".into());
    }
    let mut fleet =
        TestFleet::with_settings(at(0), vec![endpoint(0, 0, None, StoreState::Ready)], long_timeouts);
    (0..30).for_each(|id| fleet.submit(0, Op { time_left: ms(40_000), ..op(id, 1, id as usize % 3) }));
    let shutdown_at = fleet.now + ms(3000);
    fleet.deliver(0, vec![Event::ShuttingDown { at: shutdown_at }]);
    assert!(fleet.gateways[0].ops.values().any(|tracked| !tracked.attempts.is_empty()));
    assert!(
        fleet.gateways[0].ops.values().all(|tracked| !tracked.has_ended),
        "no op is ended before the shutdown time"
    );
    // Ops that arrive after the event are still sent to a store, with a timeout capped at the shutdown time,
    // and get their final response with the others.
    fleet.advance(ms(1500));
    fleet.submit(0, Op { time_left: ms(40_000), shard: None, ..op(50, 2, 0) });
    fleet.advance(ms(1500));
    let times_out_in_time =
        |tracked: &fleet::TrackedOp| tracked.attempts.iter().all(|sent| sent.times_out_at <= shutdown_at);
    assert!(
        fleet.gateways[0].ops.values().filter(|tracked| tracked.arrived_at > at(0)).all(times_out_in_time),
        "no attempt lasts past the shutdown time"
    );
    // Sweeps are a sixteenth of the latency objective apart.
    fleet.advance(ms(250));
    assert!(fleet.gateways[0].ops.values().all(|tracked| tracked.has_ended));
    fleet.submit(0, Op { time_left: ms(40_000), ..op(60, 3, 0) });
    assert!(
        fleet.gateways[0].ops[&OpId(60)].has_ended,
        "an op that arrives after the shutdown time must be ended at once"
    );
}

#[test]
fn late_op_is_ended_at_next_sweep() {
    let mut fleet = one_store();
    (0..30).for_each(|id| fleet.submit(0, op(id, 1, 0)));
    fleet.advance(ms(250));
    let ops = &fleet.gateways[0].ops;
    assert!(
        ops.values().all(|tracked| tracked.has_ended != tracked.attempts.iter().any(|s| s.outcome.is_none()))
    );
    assert!(ops.values().any(|tracked| tracked.has_ended));
}

#[test]
fn time_client_waited_before_retry_counts_towards_objective() {
    let mut fleet = one_store();
    (0..4).for_each(|id| fleet.submit(0, Op { time_left: ms(500), ..op(id, 1, 0) }));
    fleet.submit(0, Op { time_left: ms(500), ..op(9, 2, 0) });
    fleet.submit(0, Op { time_left: ms(250), ..op(10, 2, 0) });
    fleet.advance(ms(40));
    assert!(
        !fleet.gateways[0].ops[&OpId(9)].has_ended,
        "a first try with less than the op timeout is not late"
    );
    assert!(fleet.gateways[0].ops[&OpId(10)].has_ended, "a retry past its latency objective is late");
}

#[test]
fn quantum_goes_to_smallest_virtual_time_by_weight() {
    let mut fleet = one_store();
    (0..40).for_each(|id| fleet.submit(0, Op { plan: 0, ..op(id, 1, 0) }));
    let sent_alone = fleet.sent_to(0, 0).len();
    (40..48).for_each(|id| fleet.submit(0, Op { ..op(id, 2, 0) }));
    for n in 0..sent_alone {
        fleet.advance(ms(5));
        let id = fleet.sent_to(0, 0)[n];
        fleet.finish_attempt(0, id, 0, Outcome::Succeeded);
    }
    let next = fleet.sent_to(0, 0)[sent_alone..].first().copied();
    assert!(next.is_some_and(|id| id.0 >= 40), "the volume served least must be next, not {next:?}");
}

#[test]
fn concurrency_limit_bounds_units_in_flight() {
    let mut fleet = one_store();
    (0..40).for_each(|id| fleet.submit(0, op(id, id, 0)));
    assert_eq!(fleet.sent_to(0, 0).len(), 4, "the initial limit is four mean ops");
}

#[test]
fn op_of_less_priority_leaves_capacity() {
    let mut fleet = one_store();
    fleet.submit(0, op(0, 1, 0));
    fleet.submit(0, op(1, 1, 0));
    fleet.submit(0, op(2, 2, 3));
    assert_eq!(fleet.sent_to(0, 0), [OpId(0), OpId(1)]);
    fleet.submit(0, op(3, 3, 0));
    assert_eq!(fleet.sent_to(0, 0), [OpId(0), OpId(1), OpId(3)]);
}

#[test]
fn volume_beyond_guaranteed_rate_leaves_capacity() {
    let mut fleet = one_store();
    for id in 0..20 {
        fleet.submit(0, op(id, 1, 0));
        fleet.finish_attempt(0, OpId(id), 0, Outcome::Succeeded);
    }
    (20..24).for_each(|id| fleet.submit(0, op(id, 1, 0)));
    (24..26).for_each(|id| fleet.submit(0, op(id, 2, 0)));
    assert_eq!(fleet.sent_to(0, 0)[20..], [OpId(20), OpId(24), OpId(25)]);
}

#[test]
fn warm_store_with_cold_successor_is_preferred() {
    let mut fleet = one_store();
    let mut list =
        vec![endpoint(0, 0, None, StoreState::Ready), endpoint(1, 0, Some(at(0)), StoreState::Ready)];
    fleet.publish_list(list.clone());
    fleet.advance(ms(2000));
    fleet.submit(0, op(0, 1, 0));
    assert_eq!(fleet.sent_to(0, 0), [OpId(0)]);
    list[0].state = StoreState::Draining;
    fleet.publish_list(list);
    fleet.submit(0, op(1, 1, 0));
    assert_eq!(fleet.sent_to(0, 1), [OpId(1)]);
}

/// A draining store that alone holds its data is sent ops within the grace; the model panics if one is sent
/// later.
#[test]
fn draining_store_within_grace_serves_its_data() {
    let mut fleet = one_store();
    fleet.publish_list(vec![endpoint(0, 0, None, StoreState::Draining)]);
    let grace = fleet::DRAIN_GRACE;
    for id in 0..20 {
        fleet.submit(0, op(id, 1, 0));
        fleet.advance(grace / 10);
        fleet
            .in_flight(0)
            .into_iter()
            .for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
    }
    let sent = fleet.sent_to(0, 0).len();
    assert!((8..=10).contains(&sent), "ops are sent for most of the grace and not beyond it: {sent}");
}

/// The wait before the first op to a store that returns to service scales with the progress it lacks: a store
/// that is nearly warm has a short wait.
#[test]
fn store_back_nearly_warm_is_used_soon() {
    let mut custom_settings = settings();
    custom_settings.insert("rules.cold_from".into(), "0.9".into());
    let mut fleet =
        TestFleet::with_settings(at(0), vec![endpoint(0, 0, None, StoreState::Ready)], custom_settings);
    fleet.advance(ms(1500));
    fleet.publish_list(vec![endpoint(0, 0, Some(fleet.now), StoreState::Ready)]);
    fleet.submit(0, op(0, 1, 0));
    fleet.advance(ms(110));
    assert_eq!(fleet.sent_to(0, 0), [OpId(0)]);
}

/// Responses are lost with their connections while the store keeps working. Once later responses show this,
/// neither the rotation of quanta nor volumes beyond their guaranteed rate, which leave capacity for others,
/// wait for the timeouts.
#[test]
fn stuck_attempts_take_little_from_their_store() {
    let mut fleet = one_store();
    let is_lost = |id: OpId| id.0 % 25 == 5;
    for step in 0..400 {
        if step % 2 == 0 {
            fleet.submit(0, op(step / 2, step / 2 % 2, 0));
        }
        fleet.advance(ms(10));
        for (id, n, ends) in fleet.in_flight(0) {
            if !is_lost(id) {
                fleet.finish_attempt(0, id, n, Outcome::Succeeded);
            } else if fleet.now >= ends {
                fleet.finish_attempt(0, id, n, Outcome::TimedOut);
            }
        }
    }
    let sent = fleet.sent_to(0, 0).iter().filter(|id| id.0 >= 110).count();
    assert!(sent >= 85, "all ops but those delayed by a lost response are sent in time: {sent} of 90");
}

/// Guards against assuming forever that a store drops responses: such a store could be sent any number of ops
/// without ever responding.
#[test]
fn store_that_dropped_answer_long_ago_has_its_limit_again() {
    let mut fleet = one_store();
    fleet.submit(0, op(0, 1, 0));
    fleet.advance(ms(10));
    fleet.submit(0, op(1, 1, 0));
    fleet.finish_attempt(0, OpId(1), 0, Outcome::Succeeded);
    fleet.advance(ms(1000));
    let in_flight_while_silent = |fleet: &mut TestFleet, from: u32| {
        for id in from..from + 20 {
            fleet.submit(0, Op { time_left: ms(20_000), ..op(id, 1, 0) });
            fleet.advance(ms(120));
        }
        fleet.in_flight(0).len()
    };
    assert!(in_flight_while_silent(&mut fleet, 10) > 6, "stuck attempts do not count against the limit");
    fleet.advance(ms(62_000));
    let in_flight = in_flight_while_silent(&mut fleet, 40);
    assert!(in_flight <= 6, "{in_flight} ops in flight at a store with no recent sign of lost responses");
}

/// Service that a volume received while no other volume had ops does not count against it when others arrive.
#[test]
fn volume_served_alone_does_not_wait_for_newcomer_to_catch_up() {
    let mut fleet = one_store();
    for id in 0..100 {
        fleet.submit(0, op(id, 1, 0));
        fleet.finish_attempt(0, OpId(id), 0, Outcome::Succeeded);
    }
    (100..140).for_each(|id| fleet.submit(0, op(id, 2, 0)));
    fleet.submit(0, op(200, 1, 0));
    for _ in 0..12 {
        fleet.advance(ms(5));
        let in_flight = fleet.in_flight(0);
        in_flight.into_iter().for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
    }
    assert!(fleet.sent_to(0, 0).contains(&OpId(200)), "the op must not wait behind all ops of a new volume");
}

/// A healthy store takes longer for a heavy op than for a mean op, so latencies must be scaled by size.
#[test]
fn heavy_ops_alone_restore_concurrency_limit() {
    let mut fleet = one_store();
    for id in 0..40 {
        fleet.submit(0, op(id, 1, 0));
        fleet
            .in_flight(0)
            .into_iter()
            .for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Rejected));
        fleet.advance(ms(100));
    }
    for id in 100..160 {
        fleet.submit(0, Op { units: 16.0, ..op(id, 1, 0) });
        for _ in 0..12 {
            fleet.advance(ms(20));
            for (id, n, _) in fleet.in_flight(0) {
                if fleet.gateways[0].ops[&id].attempts[n].started_at + ms(220) <= fleet.now {
                    fleet.finish_attempt(0, id, n, Outcome::Succeeded);
                }
            }
        }
    }
    let sent = fleet.sent_to(0, 0).into_iter().filter(|id| id.0 >= 140).count();
    assert!(
        sent >= 19,
        "{sent} of the last 20 sent, though each response met the latency objective for its size"
    );
}

#[test]
fn silent_store_does_not_block_other_volumes() {
    let mut fleet = one_store();
    (0..4).for_each(|id| fleet.submit(0, op(id, 1, 0)));
    fleet.advance(ms(400));
    fleet.finish_attempt(0, OpId(0), 0, Outcome::Succeeded);
    fleet.submit(0, op(9, 2, 0));
    assert!(fleet.sent_to(0, 0).contains(&OpId(9)));
}

/// Guards against ops that all wait for one of two suspected stores: it held attempts that hung, and was
/// preferred by its rank until they timed out, while the other store of the shard would have responded.
#[test]
fn suspected_store_with_stuck_attempts_does_not_hide_the_other_one() {
    let mut custom_settings = settings();
    for op_type in 0..4 {
        custom_settings.insert(format!("op_types.{op_type}.op_timeout"), "30".into());
    }
    let stores = [0, 1].map(|store| endpoint(store, 0, None, StoreState::Ready));
    let mut fleet = TestFleet::with_settings(at(0), stores.to_vec(), custom_settings);
    // Outcomes of attempts at each store, while the stores fail, while the first one has recovered, and from
    // then on, when it never responds.
    let outcomes = |step| match step {
        0..5 => [Some(Outcome::Rejected), Some(Outcome::Reset)],
        5..15 => [Some(Outcome::Succeeded), Some(Outcome::Reset)],
        _ => [None, Some(Outcome::Succeeded)],
    };
    for step in 0..100 {
        fleet.submit(0, Op { time_left: ms(30_000), ..op(step, step, 0) });
        fleet.advance(ms(50));
        for (id, attempt, _) in fleet.in_flight(0) {
            let store = fleet.gateways[0].ops[&id].attempts[attempt].store;
            if let Some(outcome) = outcomes(step)[store.0 as usize] {
                fleet.finish_attempt(0, id, attempt, outcome);
            }
        }
    }
    let served = fleet.sent_to(0, 1).into_iter().filter(|id| id.0 >= 40).count();
    assert!(served >= 50, "the second store serves most of 60 ops: {served}");
}

/// Responses that waited during a stall of this gateway must not make a fast store look slow or silent.
#[test]
fn stall_of_gateway_leaves_store_unsuspected() {
    let mut fleet = one_store();
    for id in 0..4 {
        fleet.submit(0, op(id, id, 0));
    }
    fleet.now += ms(700);
    (0..4).for_each(|id| fleet.finish_attempt(0, OpId(id), 0, Outcome::Succeeded));
    (4..8).for_each(|id| fleet.submit(0, op(id, id, 0)));
    assert_eq!(
        fleet.sent_to(0, 0).len(),
        8,
        "concurrency limit and average latency are the same as before the stall"
    );
}

#[test]
fn new_object_goes_to_same_store_from_every_gateway() {
    let list = (0..5).map(|i| endpoint(i, i, None, StoreState::Ready)).collect();
    let mut fleet = TestFleet::new(at(0), list);
    (0..2).for_each(|gateway| fleet.submit(gateway, Op { shard: None, ..op(0, 7, 0) }));
    let preferred = |gateway: usize| fleet.gateways[gateway].ops[&OpId(0)].attempts[0].store;
    assert_eq!(preferred(0), preferred(1));
}

/// Submits ops for twelve seconds through both gateways in turn, each completed within 10 ms; returns how
/// many each gateway sent.
fn flood(fleet: &mut TestFleet, plan: usize) -> Vec<usize> {
    for id in 0..1200 {
        let units = (1 + id / 2 % 6) as f64;
        fleet.submit(id % 2, Op { units, plan, gateways: 2.0, ..op(id as u32, (id % 4) as u32, 0) });
        fleet.advance(ms(10));
        (0..2).for_each(|gateway| {
            fleet
                .in_flight(gateway)
                .into_iter()
                .for_each(|(id, n, _)| fleet.finish_attempt(gateway, id, n, Outcome::Succeeded));
        });
    }
    (0..2).map(|gateway| fleet.sent_to(gateway, 0).len()).collect()
}

#[test]
fn cold_store_stays_within_capacity_and_warms_up() {
    let mut fleet = one_store();
    fleet.advance(ms(1500));
    fleet.publish_list(vec![endpoint(0, 0, Some(fleet.now), StoreState::Ready)]);
    let sent = flood(&mut fleet, 0);
    assert!(sent.iter().all(|n| *n > 100), "both gateways use their part: {sent:?}");
}

/// How many ops the first of `gateways` gateways sends to a store in its first four seconds of slow start
/// while every volume requests much more. The model panics if the equal part and the paced ops together break
/// rule 4.
fn sent_in_slow_start(gateways: f64) -> usize {
    let mut custom_settings = settings();
    custom_settings.insert("gateways".into(), gateways.to_string());
    custom_settings.insert("rules.fall_multiple".into(), "4".into());
    let mut fleet =
        TestFleet::with_settings(at(0), vec![endpoint(0, 0, None, StoreState::Ready)], custom_settings);
    fleet.advance(ms(1500));
    fleet.publish_list(vec![endpoint(0, 0, Some(fleet.now), StoreState::Ready)]);
    for id in 0..400 {
        fleet.submit(0, Op { gateways: gateways / 100.0, units: 1.0, ..op(id, id % 4, 0) });
        fleet.advance(ms(10));
        fleet
            .in_flight(0)
            .into_iter()
            .for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
    }
    fleet.sent_to(0, 0).len()
}

#[test]
fn cold_store_with_many_gateways_is_used_in_proportion() {
    let (few, many) = (sent_in_slow_start(300.0), sent_in_slow_start(3000.0));
    assert!(few > 4 && many < few && many <= 8, "the equal part alone would allow no op: {few}, {many}");
}

#[test]
fn overloaded_store_is_sent_ops_spaced_in_time() {
    let mut fleet = one_store();
    let mut sent = Vec::new();
    for id in 0..120 {
        fleet.submit(0, op(id, 1, 0));
        fleet.advance(ms(50));
        let due: Vec<_> =
            fleet.in_flight(0).into_iter().filter(|(_, _, ends)| *ends < fleet.now + ms(400)).collect();
        due.into_iter().for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
        sent.push(fleet.sent_to(0, 0).len());
    }
    assert!(
        sent[119] - sent[79] < 10,
        "few of the forty ops of two seconds are sent while each response is late: {sent:?}"
    );
    for id in 120..320 {
        fleet.submit(0, op(id, 1, 0));
        fleet.advance(ms(50));
        fleet
            .in_flight(0)
            .into_iter()
            .for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
    }
    assert!(fleet.sent_to(0, 0).len() > sent[119] + 20, "fast responses raise the limit again");
}

#[test]
fn limit_is_kept_by_gateways_together_and_used() {
    let sent = flood(&mut one_store(), 1);
    assert!(sent.iter().all(|n| *n > 50), "both gateways use their part: {sent:?}");
}

/// How many ops the first of two gateways, which share a burst of 24 units, may send at once after `restart`.
fn sent_at_once(restart: impl FnOnce(&mut TestFleet)) -> usize {
    let mut fleet = one_store();
    let limited = |id: u32| Op { plan: 1, gateways: 2.0, ..op(id, 1, 0) };
    fleet.submit(0, Op { units: 0.5, ..limited(100) });
    fleet.advance(ms(2500));
    restart(&mut fleet);
    (0..10).for_each(|id| fleet.submit(0, limited(id)));
    fleet.sent_to(0, 0).iter().filter(|id| id.0 < 100).count()
}

#[test]
fn reserved_tokens_are_available_after_restart() {
    let sent_after_restore = |age_ms: u64, is_age_known: bool| {
        sent_at_once(|fleet| {
            fleet.submit(0, Op { plan: 1, gateways: 2.0, units: 0.5, ..op(101, 1, 0) });
            fleet.take_snapshot(0);
            fleet.advance(ms(age_ms));
            fleet.restart_and_restore(0, is_age_known);
        })
    };
    assert_eq!(sent_at_once(|fleet| fleet.restart(0)), 0, "without a snapshot the bucket starts empty");
    assert_eq!(
        sent_after_restore(200, true),
        2,
        "half of what was left of twelve units, in ops of two units"
    );
    assert_eq!(sent_after_restore(500, true), 0, "the promise has expired");
    assert_eq!(sent_after_restore(200, false), 0, "the age of the snapshot is unknown");
}

#[test]
fn restored_store_knowledge_counts_less_with_age() {
    let initial_ops = |age: u64| {
        let mut fleet = one_store();
        let snapshot = StoreSnapshot {
            store: StoreId(0),
            latency: 0.01,
            concurrency_limit: 24.0,
            virtual_times: vec![(VolumeId(1), 50.0)],
        };
        let (age, promise_duration) = (Some(ms(age)), ms(0));
        fleet.deliver(
            0,
            vec![Event::Restore { age, promise_duration, stores: vec![snapshot], volumes: vec![] }],
        );
        (0..40).for_each(|id| fleet.submit(0, op(id, id, 0)));
        fleet.sent_to(0, 0).len()
    };
    assert_eq!((initial_ops(0), initial_ops(10_000_000)), (12, 4));
    assert!((5..12).contains(&initial_ops(30_000)), "{}", initial_ops(30_000));
}

/// A truncated snapshot may name a volume only in a store's virtual times. Guards against filling its bucket
/// from the clock's zero: it started full, so that tokens which an earlier run may have drawn were available
/// twice.
#[test]
fn volume_restored_by_virtual_times_alone_starts_with_an_empty_bucket() {
    let mut fleet = one_store();
    fleet.advance(ms(10_000));
    fleet.restart(0);
    let snapshot = StoreSnapshot {
        store: StoreId(0),
        latency: 0.01,
        concurrency_limit: 24.0,
        virtual_times: vec![(VolumeId(1), 50.0)],
    };
    let (age, promise_duration) = (Some(ms(0)), ms(0));
    fleet.deliver(0, vec![Event::Restore { age, promise_duration, stores: vec![snapshot], volumes: vec![] }]);
    (0..20).for_each(|id| fleet.submit(0, Op { plan: 1, gateways: 2.0, ..op(id, 1, 0) }));
    assert_eq!(fleet.sent_to(0, 0).len(), 0, "no tokens have filled since the start");
}

/// How many ops of two units one gateway sends at once after `change`, for a volume that had two seconds to
/// fill its bucket.
fn sent_after(change: impl FnOnce(&mut TestFleet)) -> usize {
    sent_through(2.0, change)
}

/// Like `sent_after`; the volume's ops arrive through two gateways before the change and through `gateways`
/// after it.
fn sent_through(gateways: f64, change: impl FnOnce(&mut TestFleet)) -> usize {
    let mut fleet = one_store();
    let limited = |id: u32| Op { plan: 1, gateways, ..op(id, 1, 0) };
    fleet.submit(0, Op { units: 0.5, gateways: 2.0, ..limited(100) });
    fleet.advance(ms(2000));
    change(&mut fleet);
    (0..20).for_each(|id| fleet.submit(0, limited(id)));
    // Completes attempts so that the concurrency limit does not matter here.
    (0..12).for_each(|_| {
        fleet
            .in_flight(0)
            .into_iter()
            .for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
    });
    fleet.sent_to(0, 0).iter().filter(|id| id.0 != 100).count()
}

#[test]
fn changed_limit_fills_at_what_was_in_force_at_each_time() {
    assert_eq!(sent_after(|_| {}), 6, "a burst of twelve units");
    assert_eq!(sent_after(|fleet| fleet.change_limit(0, 20.0, 8.0)), 2, "lowered below what had filled");
    assert_eq!(
        sent_after(|fleet| fleet.change_limit(0, 20.0, 80.0)),
        6,
        "raised: the bucket was full at twelve units until now"
    );
    let raise_burst = |fleet: &mut TestFleet, wait_ms: u64| {
        fleet.change_limit(0, 20.0, 80.0);
        fleet.advance(ms(wait_ms));
    };
    assert_eq!(sent_after(|fleet| raise_burst(fleet, 1000)), 11, "ten units per second after that");
    let raise_and_lower_rate = |fleet: &mut TestFleet| {
        raise_burst(fleet, 1000);
        fleet.change_limit(0, 2.0, 80.0);
        fleet.advance(ms(1000));
    };
    assert_eq!(sent_after(raise_and_lower_rate), 11, "only one more unit in the last second");
    let lift_and_set_limit = |fleet: &mut TestFleet| {
        fleet.change_limit(0, 0.0, 0.0);
        fleet.change_limit(0, 20.0, 24.0);
        fleet.advance(ms(450));
    };
    assert_eq!(sent_after(lift_and_set_limit), 2, "a newly introduced limit starts with an empty bucket");
    let draw_without_limit = |fleet: &mut TestFleet| {
        fleet.change_limit(0, 0.0, 0.0);
        for id in 200..230 {
            fleet.submit(0, Op { plan: 1, gateways: 2.0, ..op(id, 1, 0) });
            fleet
                .in_flight(0)
                .into_iter()
                .for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
        }
        fleet.change_limit(0, 20.0, 24.0);
        fleet.advance(ms(450));
    };
    // The last op sent without a limit may count against the first tokens of the new limit.
    assert!((31..=32).contains(&sent_after(draw_without_limit)), "units drawn without a limit leave no debt");
    let change_often =
        |fleet: &mut TestFleet| (0..40).for_each(|n| fleet.change_limit(0, 20.0, 24.0 + f64::from(n % 2)));
    assert_eq!(sent_after(change_often), 6, "many changes lose no tokens");
}

#[test]
fn moved_volume_takes_along_no_more_than_either_plan_gives() {
    let move_volume = |fleet: &mut TestFleet, plan| {
        fleet.deliver(0, vec![Event::VolumeMoved { volume: VolumeId(1), plan, gateways: 2.0 }]);
    };
    let move_away_and_back = |fleet: &mut TestFleet| {
        move_volume(fleet, 0);
        move_volume(fleet, 1);
    };
    assert_eq!(sent_after(move_away_and_back), 0, "without a limit any amount may have been drawn");
    assert_eq!(sent_through(1.0, |_| {}), 6, "the bucket was filled for one of two gateways until now");
    let mut fleet = one_store();
    // More ops than the concurrency limit allows: the rest is queued, under a plan without a limit.
    (0..20).for_each(|id| fleet.submit(0, op(id, 1, 0)));
    let before = fleet.sent_to(0, 0).len();
    move_volume(&mut fleet, 1);
    (0..12).for_each(|_| {
        fleet
            .in_flight(0)
            .into_iter()
            .for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
    });
    assert_eq!(fleet.sent_to(0, 0).len(), before, "queued ops follow the new plan");
}

#[test]
fn changed_weight_leaves_served_units_as_they_counted() {
    // Volumes 1 and 2 have sent four ops each under plan 0. From then on volume 2 belongs to plan 1, and with
    // `swap` the weights of the plans are swapped at the same time.
    let served_ratio = |swap: bool| {
        let mut fleet = one_store();
        (0..8).for_each(|id| fleet.submit(0, Op { units: 1.0, ..op(id, 1 + id % 2, 0) }));
        let mut settings = settings();
        settings.remove("plans.1.limit");
        if swap {
            settings.insert("plans.0.weight".into(), "2".into());
            settings.insert("plans.1.weight".into(), "1".into());
        }
        fleet.deliver(0, vec![Event::SettingsChanged { settings }]);
        let queued = |id: u32| Op { units: 1.0, plan: (id % 2) as usize, ..op(id, 1 + id % 2, 0) };
        (100..180).for_each(|id| fleet.submit(0, queued(id)));
        for _ in 0..40 {
            let in_flight = fleet.in_flight(0);
            in_flight
                .into_iter()
                .take(1)
                .for_each(|(id, n, _)| fleet.finish_attempt(0, id, n, Outcome::Succeeded));
            fleet.advance(ms(4));
        }
        let sent = fleet.sent_to(0, 0);
        let count_of =
            |volume: u32| sent.iter().filter(|id| id.0 >= 100 && id.0 % 2 == volume).count() as f64;
        count_of(0) / count_of(1)
    };
    let (unchanged, swapped) = (served_ratio(false), served_ratio(true));
    assert!((0.35..0.7).contains(&unchanged), "one to two: {unchanged}");
    assert!((1.4..2.9).contains(&swapped), "two to one after the change: {swapped}");
}

#[test]
fn changed_settings_with_fewer_entries_are_refused() {
    let mut fleet = one_store();
    for name in ["plans.count", "op_types.count"] {
        let mut fewer = settings();
        fewer.insert(name.into(), "1".into());
        fleet.deliver(0, vec![Event::SettingsChanged { settings: fewer }]);
    }
    fleet.submit(0, Op { plan: 1, ..op(1, 1, 3) });
    assert!(!fleet.gateways[0].ops[&OpId(1)].has_ended);
    let mut removed_plan = settings();
    removed_plan.insert("plans.1.gone".into(), "true".into());
    ["weight", "rate"].iter().for_each(|field| _ = removed_plan.remove(&format!("plans.1.{field}")));
    fleet.deliver(0, vec![Event::SettingsChanged { settings: removed_plan }]);
    fleet.submit(0, op(2, 2, 0));
    assert_eq!(fleet.sent_to(0, 0).last(), Some(&OpId(2)));
}

/// If treated as absent, each of these values would disable a rule or cause an endless loop of sweeps.
#[test]
fn unreadable_setting_is_named_at_start_and_in_service() {
    for (name, value) in [
        ("discovery", "told"),
        ("gateways", "some"),
        ("limits.max_dispatches", "few"),
        ("op_types.0.target_latency", "0"),
        ("op_types.1.dedup_scope", "rack"),
        ("op_types.1.dedup_span", "soon"),
        ("op_types.2.repeats", "rarely"),
        ("op_types.3.in_order", "mostly"),
        ("plans.0.reserve", "-1"),
        ("plans.1.limit", "20/s"),
        ("plans.1.limit_burst", "inf"),
        ("rules.cold_from", "nan"),
        ("rules.cold_time", "1e300"),
        ("rules.drain_grace", "1e300"),
        ("rules.further_share", "0,2"),
        ("rules.further_span", ""),
        ("rules.fall_time", "1e19"),
        ("tick", "1e19"),
        ("rules.order_pause", "300ms"),
        ("stores.cold_units", "4 units"),
    ] {
        let mut invalid = settings();
        invalid.insert(name.into(), value.into());
        let start = Event::Start { seed: 1, settings: invalid.clone() };
        let actions = Scheduler::default().handle(at(0), vec![start]);
        assert!(matches!(&actions[..], [Action::Fatal(text)] if text.contains(name)), "{name}: {actions:?}");
        let mut fleet = one_store();
        fleet.deliver(0, vec![Event::SettingsChanged { settings: invalid }]);
        let action = fleet.gateways[0].actions.last();
        assert!(matches!(action, Some(Action::Log(text)) if text.contains(name)), "{name}: {action:?}");
        fleet.submit(0, Op { plan: 1, ..op(1, 1, 3) });
        assert!(
            !fleet.gateways[0].ops[&OpId(1)].has_ended,
            "{name}: the previous settings must stay in force"
        );
    }
}
