//! The rules on generated days beside the plain model, and a small test for each failure found.

mod world;

use quickcheck::{Gen, QuickCheck};
use umbertray::interface::*;
use umbertray::scheduler::Scheduler;
use world::{World, listing, ms, op, settings};

const START: u64 = 1_000_000;

fn at(millis: u64) -> std::time::Duration {
    ms(START + millis)
}

fn one_store() -> World {
    World::new(at(0), vec![listing(0, 0, None, StoreState::Ready)])
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

/// The op that a step of a day stands for.
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

/// Plays a day drawn by the bytes; the world panics where an action breaks a rule.
fn day(steps: &[u16]) -> World {
    let mut list: Vec<Endpoint> = (0..3).map(|i| listing(i, i, None, StoreState::Ready)).collect();
    let mut world = World::new(at(0), list.clone());
    for (i, step) in steps.iter().enumerate() {
        let bits = usize::from(*step);
        let (side, which) = (bits % 2, bits / 2 % 3);
        match bits / 8 % 16 {
            0..7 => world.arrive(side, drawn_op(i as u32, bits)),
            7..13 => {
                let out = world.out(side);
                if let Some((id, n, _)) = out.get(bits / 128 % out.len().max(1)) {
                    world.answer(side, *id, *n, OUTCOMES[bits / 2048 % OUTCOMES.len()]);
                }
            }
            13 => {
                let state = [StoreState::Draining, StoreState::Gone, StoreState::Ready, StoreState::Ready]
                    [bits / 128 % 4];
                list[which].started_at =
                    if state == StoreState::Ready { Some(world.now) } else { list[which].started_at };
                list[which].state = state;
                world.relist(list.clone());
            }
            14 if bits / 128 % 4 == 0 => world.restart(side),
            14 if bits / 128 % 4 == 1 => world.recall(side, bits / 512 % 4 > 0),
            14 if bits / 128 % 4 == 2 => {
                // Saves come no more often than the promise allows for.
                world.pass(world::PROMISED / 2);
                world.remember(side);
            }
            14 => world.tell(
                side,
                vec![
                    Event::EndpointList(EndpointListUpdate::Failed),
                    Event::ClientDisconnected { op: OpId(u32::MAX) },
                ],
            ),
            // Each side learns of another limit at its own time; one may never.
            _ if bits / 128 % 4 == 0 => {
                let (limit, burst) = [(20.0, 24.0), (5.0, 6.0), (40.0, 40.0), (0.0, 0.0)][bits / 512 % 4];
                world.limit(side, limit, burst);
            }
            _ => world.pass(ms((bits / 128 % 64) as u64)),
        }
        world.pass(ms((bits / 4096) as u64));
    }
    world.pass(ms(1100));
    world
}

#[test]
fn generated_day_keeps_rules_and_repeats() {
    #[allow(clippy::needless_pass_by_value)] // The generator hands over what it made.
    fn keeps(steps: Vec<u16>) -> bool {
        let actions = |world: World| world.sides.into_iter().map(|side| side.actions).collect::<Vec<_>>();
        actions(day(&steps)) == actions(day(&steps))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 1))
        .tests(150)
        .quickcheck(keeps as fn(Vec<u16>) -> bool);
}

#[test]
fn missing_setting_at_start_is_named_in_fatal() {
    let mut lacking = settings();
    lacking.remove("rules.fall_time");
    let actions = Scheduler::default().handle(at(0), vec![Event::Start { seed: 1, settings: lacking }]);
    assert!(matches!(&actions[..], [Action::Fatal(text)] if text.contains("rules.fall_time")));
}

#[test]
fn op_without_time_left_is_answered_on_arrival() {
    let mut world = one_store();
    world.arrive(0, Op { time_left: ms(5), ..op(1, 1, 0) });
    assert!(world.sides[0].ops[&OpId(1)].ended);
}

/// Each alone, 350 gateways keep to what a cold store bears and to plans' limits, and their parts do not round to nothing.
#[test]
fn hundreds_of_gateways_keep_rules_in_sum_and_serve() {
    const HOSTS: u32 = 8;
    let mut wide = settings();
    wide.insert("rules.fall_multiple".into(), "2".into());
    wide.insert("gateways".into(), "350".into());
    let cold = listing(0, 0, Some(at(0)), StoreState::Ready);
    let mut world = World::wide(at(0), vec![cold, listing(1, 1, None, StoreState::Ready)], wide, 350);
    // Some tens of ops a second at a few gateways, none at most: six volumes at the cold store, whose plans' rates sum
    // to what it bears once it is warm, and two with a limit at the other, each through some of the gateways.
    let mut id = 0;
    for round in 0..40 {
        for volume in 0..8 {
            let side = ((volume * 23 + round * 7 % HOSTS) % 350) as usize;
            let (plan, shard) = if volume < 6 { (0, 0) } else { (1, 1) };
            let asked =
                Op { plan, shard: Some(shard), gateways: HOSTS.into(), units: 1.0, ..op(id, volume, 0) };
            world.arrive(side, asked);
            id += 1;
        }
        world.pass(ms(50));
        for side in 0..350 {
            let out = world.out(side);
            out.into_iter().for_each(|(id, n, _)| world.answer(side, id, n, Outcome::Succeeded));
        }
    }
    let sent = |store| (0..350).map(|side| world.sent_to(side, store).len()).sum::<usize>();
    assert!(sent(0) > 3, "{} to the cold store", sent(0));
    assert!(sent(1) > 20, "{} of the limited volumes", sent(1));
}

/// What a gateway had taken was lost with it, its clients' time being longer than the gateway's own.
#[test]
fn open_ops_at_shutdown_are_answered_before_it() {
    let mut patient = settings();
    for i in 0..4 {
        patient.insert(format!("op_types.{i}.target_latency"), "4".into());
        patient.insert(format!("op_types.{i}.op_timeout"), "40".into());
    }
    let mut world = World::with(at(0), vec![listing(0, 0, None, StoreState::Ready)], patient);
    (0..30).for_each(|id| world.arrive(0, Op { time_left: ms(40_000), ..op(id, 1, id as usize % 3) }));
    let end = world.now + ms(3000);
    world.tell(0, vec![Event::ShuttingDown { at: end }]);
    assert!(world.sides[0].ops.values().any(|seen| !seen.sent.is_empty()));
    assert!(world.sides[0].ops.values().all(|seen| !seen.ended), "nothing is given up before");
    // What still comes goes on to a store, its time being that of its client, and is answered with the rest.
    world.pass(ms(1500));
    world.arrive(0, Op { time_left: ms(40_000), shard: None, ..op(50, 2, 0) });
    world.pass(ms(1500));
    let out = |seen: &world::Seen| seen.sent.iter().all(|sent| sent.ends <= end);
    assert!(
        world.sides[0].ops.values().filter(|seen| seen.at > at(0)).all(out),
        "nothing is sent past the end"
    );
    // Looks are a sixteenth of the target latency apart.
    world.pass(ms(250));
    assert!(world.sides[0].ops.values().all(|seen| seen.ended));
    world.arrive(0, Op { time_left: ms(40_000), ..op(60, 3, 0) });
    assert!(world.sides[0].ops[&OpId(60)].ended, "nothing is held that nobody will answer");
}

#[test]
fn late_op_is_ended_at_next_sweep() {
    let mut world = one_store();
    (0..30).for_each(|id| world.arrive(0, op(id, 1, 0)));
    world.pass(ms(250));
    let ops = &world.sides[0].ops;
    assert!(ops.values().all(|seen| seen.ended != seen.sent.iter().any(|s| s.outcome.is_none())));
    assert!(ops.values().any(|seen| seen.ended));
}

#[test]
fn earlier_wait_of_client_counts_against_longest_remaining() {
    let mut world = one_store();
    (0..4).for_each(|id| world.arrive(0, Op { time_left: ms(500), ..op(id, 1, 0) }));
    world.arrive(0, Op { time_left: ms(500), ..op(9, 2, 0) });
    world.arrive(0, Op { time_left: ms(250), ..op(10, 2, 0) });
    world.pass(ms(40));
    assert!(!world.sides[0].ops[&OpId(9)].ended, "a try with a part of the op timeout is not late");
    assert!(world.sides[0].ops[&OpId(10)].ended, "a repeat past its target latency is");
}

#[test]
fn quantum_goes_to_smallest_virtual_time_by_weight() {
    let mut world = one_store();
    (0..40).for_each(|id| world.arrive(0, Op { plan: 0, ..op(id, 1, 0) }));
    let full = world.sent_to(0, 0).len();
    (40..48).for_each(|id| world.arrive(0, Op { ..op(id, 2, 0) }));
    for n in 0..full {
        world.pass(ms(5));
        let id = world.sent_to(0, 0)[n];
        world.answer(0, id, 0, Outcome::Succeeded);
    }
    let next = world.sent_to(0, 0)[full..].first().copied();
    assert!(next.is_some_and(|id| id.0 >= 40), "the volume served least goes next, not {next:?}");
}

#[test]
fn concurrency_limit_bounds_units_in_flight() {
    let mut world = one_store();
    (0..40).for_each(|id| world.arrive(0, op(id, id, 0)));
    assert_eq!(world.sent_to(0, 0).len(), 4, "four average ops at first");
}

#[test]
fn op_of_less_priority_leaves_capacity() {
    let mut world = one_store();
    world.arrive(0, op(0, 1, 0));
    world.arrive(0, op(1, 1, 0));
    world.arrive(0, op(2, 2, 3));
    assert_eq!(world.sent_to(0, 0), [OpId(0), OpId(1)]);
    world.arrive(0, op(3, 3, 0));
    assert_eq!(world.sent_to(0, 0), [OpId(0), OpId(1), OpId(3)]);
}

#[test]
fn volume_beyond_guaranteed_rate_leaves_capacity() {
    let mut world = one_store();
    for id in 0..20 {
        world.arrive(0, op(id, 1, 0));
        world.answer(0, OpId(id), 0, Outcome::Succeeded);
    }
    (20..24).for_each(|id| world.arrive(0, op(id, 1, 0)));
    (24..26).for_each(|id| world.arrive(0, op(id, 2, 0)));
    assert_eq!(world.sent_to(0, 0)[20..], [OpId(20), OpId(24), OpId(25)]);
}

#[test]
fn warm_store_with_cold_successor_is_preferred() {
    let mut world = one_store();
    let mut list =
        vec![listing(0, 0, None, StoreState::Ready), listing(1, 0, Some(at(0)), StoreState::Ready)];
    world.relist(list.clone());
    world.pass(ms(2000));
    world.arrive(0, op(0, 1, 0));
    assert_eq!(world.sent_to(0, 0), [OpId(0)]);
    list[0].state = StoreState::Draining;
    world.relist(list);
    world.arrive(0, op(1, 1, 0));
    assert_eq!(world.sent_to(0, 1), [OpId(1)]);
}

/// While nothing else has its data, a store that drains is sent to within the grace; the model panics beyond it.
#[test]
fn draining_store_within_grace_serves_its_data() {
    let mut world = one_store();
    world.relist(vec![listing(0, 0, None, StoreState::Draining)]);
    let grace = world::GRACE;
    for id in 0..20 {
        world.arrive(0, op(id, 1, 0));
        world.pass(grace / 10);
        world.out(0).into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
    }
    let sent = world.sent_to(0, 0).len();
    assert!((8..=10).contains(&sent), "for most of the grace and not beyond it: {sent}");
}

/// The wait before the first op to a store just back is for the cold: one that is nearly warm has a short one.
#[test]
fn store_back_nearly_warm_is_used_soon() {
    let mut asked = settings();
    asked.insert("rules.cold_from".into(), "0.9".into());
    let mut world = World::with(at(0), vec![listing(0, 0, None, StoreState::Ready)], asked);
    world.pass(ms(1500));
    world.relist(vec![listing(0, 0, Some(world.now), StoreState::Ready)]);
    world.arrive(0, op(0, 1, 0));
    world.pass(ms(110));
    assert_eq!(world.sent_to(0, 0), [OpId(0)]);
}

/// Answers are lost with their connections while the store goes on: once that has shown, neither the rotation nor
/// volumes that yield, as they ask for more than is due to them, wait for the time-outs.
#[test]
fn stuck_attempts_take_little_from_their_store() {
    let mut world = one_store();
    let lost = |id: OpId| id.0 % 25 == 5;
    for step in 0..400 {
        if step % 2 == 0 {
            world.arrive(0, op(step / 2, step / 2 % 2, 0));
        }
        world.pass(ms(10));
        for (id, n, ends) in world.out(0) {
            if !lost(id) {
                world.answer(0, id, n, Outcome::Succeeded);
            } else if world.now >= ends {
                world.answer(0, id, n, Outcome::TimedOut);
            }
        }
    }
    let sent = world.sent_to(0, 0).iter().filter(|id| id.0 >= 110).count();
    assert!(sent >= 85, "all go in their time but those caught by a loss: {sent} of 90");
}

/// Taken for good, a store that once lost an answer could be sent any number of ops that it never answers.
#[test]
fn store_that_dropped_answer_long_ago_has_its_limit_again() {
    let mut world = one_store();
    world.arrive(0, op(0, 1, 0));
    world.pass(ms(10));
    world.arrive(0, op(1, 1, 0));
    world.answer(0, OpId(1), 0, Outcome::Succeeded);
    world.pass(ms(1000));
    let silent = |world: &mut World, from: u32| {
        for id in from..from + 20 {
            world.arrive(0, Op { time_left: ms(20_000), ..op(id, 1, 0) });
            world.pass(ms(120));
        }
        world.out(0).len()
    };
    assert!(silent(&mut world, 10) > 6, "what hangs by its connection does not count");
    world.pass(ms(62_000));
    let out = silent(&mut world, 40);
    assert!(out <= 6, "{out} at a store of which nothing tells any more that it loses answers");
}

/// What a volume was served while no other asked is no debt to those that come later.
#[test]
fn volume_served_alone_does_not_wait_for_newcomer_to_catch_up() {
    let mut world = one_store();
    for id in 0..100 {
        world.arrive(0, op(id, 1, 0));
        world.answer(0, OpId(id), 0, Outcome::Succeeded);
    }
    (100..140).for_each(|id| world.arrive(0, op(id, 2, 0)));
    world.arrive(0, op(200, 1, 0));
    for _ in 0..12 {
        world.pass(ms(5));
        let out = world.out(0);
        out.into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
    }
    assert!(world.sent_to(0, 0).contains(&OpId(200)), "it waits behind the flood of a newcomer");
}

/// A heavy op is answered later than an average one by a store that is well.
#[test]
fn heavy_ops_alone_restore_concurrency_limit() {
    let mut world = one_store();
    for id in 0..40 {
        world.arrive(0, op(id, 1, 0));
        world.out(0).into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Rejected));
        world.pass(ms(100));
    }
    for id in 100..160 {
        world.arrive(0, Op { units: 16.0, ..op(id, 1, 0) });
        for _ in 0..12 {
            world.pass(ms(20));
            for (id, n, _) in world.out(0) {
                if world.sides[0].ops[&id].sent[n].at + ms(220) <= world.now {
                    world.answer(0, id, n, Outcome::Succeeded);
                }
            }
        }
    }
    let last = world.sent_to(0, 0).into_iter().filter(|id| id.0 >= 140).count();
    assert!(last >= 19, "{last} of the last 20, each answered within its target latency for its size");
}

#[test]
fn silent_store_does_not_block_other_volumes() {
    let mut world = one_store();
    (0..4).for_each(|id| world.arrive(0, op(id, 1, 0)));
    world.pass(ms(400));
    world.answer(0, OpId(0), 0, Outcome::Succeeded);
    world.arrive(0, op(9, 2, 0));
    assert!(world.sent_to(0, 0).contains(&OpId(9)));
}

/// Answers that waited for this gateway's own stall must not make a quick store look slow or silent.
#[test]
fn stall_of_gateway_leaves_store_unsuspected() {
    let mut world = one_store();
    for id in 0..4 {
        world.arrive(0, op(id, id, 0));
    }
    world.now += ms(700);
    (0..4).for_each(|id| world.answer(0, OpId(id), 0, Outcome::Succeeded));
    (4..8).for_each(|id| world.arrive(0, op(id, id, 0)));
    assert_eq!(world.sent_to(0, 0).len(), 8, "the cap and the average stand as before the stall");
}

#[test]
fn new_object_goes_to_same_store_from_every_gateway() {
    let list = (0..5).map(|i| listing(i, i, None, StoreState::Ready)).collect();
    let mut world = World::new(at(0), list);
    (0..2).for_each(|side| world.arrive(side, Op { shard: None, ..op(0, 7, 0) }));
    let home = |side: usize| world.sides[side].ops[&OpId(0)].sent[0].store;
    assert_eq!(home(0), home(1));
}

/// Twelve seconds of ops that are acked within 10 ms, through both gateways in turn; how many each sent.
fn flood(world: &mut World, plan: usize) -> Vec<usize> {
    for id in 0..1200 {
        let units = (1 + id / 2 % 6) as f64;
        world.arrive(id % 2, Op { units, plan, gateways: 2.0, ..op(id as u32, (id % 4) as u32, 0) });
        world.pass(ms(10));
        (0..2).for_each(|side| {
            world.out(side).into_iter().for_each(|(id, n, _)| world.answer(side, id, n, Outcome::Succeeded));
        });
    }
    (0..2).map(|side| world.sent_to(side, 0).len()).collect()
}

#[test]
fn cold_store_stays_within_capacity_and_warms_up() {
    let mut world = one_store();
    world.pass(ms(1500));
    world.relist(vec![listing(0, 0, Some(world.now), StoreState::Ready)]);
    let sent = flood(&mut world, 0);
    assert!(sent.iter().all(|n| *n > 100), "both gateways get their part: {sent:?}");
}

/// What the first of so many gateways sends a store in its first four cold seconds when every volume asks for
/// much more; the model panics where the even part and the paces together pass the rule.
fn sent_while_cold(gateways: f64) -> usize {
    let mut asked = settings();
    asked.insert("gateways".into(), gateways.to_string());
    asked.insert("rules.fall_multiple".into(), "4".into());
    let mut world = World::with(at(0), vec![listing(0, 0, None, StoreState::Ready)], asked);
    world.pass(ms(1500));
    world.relist(vec![listing(0, 0, Some(world.now), StoreState::Ready)]);
    for id in 0..400 {
        world.arrive(0, Op { gateways: gateways / 100.0, units: 1.0, ..op(id, id % 4, 0) });
        world.pass(ms(10));
        world.out(0).into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
    }
    world.sent_to(0, 0).len()
}

#[test]
fn cold_store_with_many_gateways_is_used_in_proportion() {
    let (few, many) = (sent_while_cold(300.0), sent_while_cold(3000.0));
    assert!(few > 4 && many < few && many <= 8, "an even part alone would allow none: {few}, {many}");
}

#[test]
fn overloaded_store_is_sent_ops_spaced_in_time() {
    let mut world = one_store();
    let mut sent = Vec::new();
    for id in 0..120 {
        world.arrive(0, op(id, 1, 0));
        world.pass(ms(50));
        let due: Vec<_> =
            world.out(0).into_iter().filter(|(_, _, ends)| *ends < world.now + ms(400)).collect();
        due.into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
        sent.push(world.sent_to(0, 0).len());
    }
    assert!(sent[119] - sent[79] < 10, "forty ops in two seconds, each answered late: {sent:?}");
    for id in 120..320 {
        world.arrive(0, op(id, 1, 0));
        world.pass(ms(50));
        world.out(0).into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
    }
    assert!(world.sent_to(0, 0).len() > sent[119] + 20, "quick answers bring it back");
}

#[test]
fn limit_is_kept_by_gateways_together_and_used() {
    let sent = flood(&mut one_store(), 1);
    assert!(sent.iter().all(|n| *n > 50), "both gateways use their part: {sent:?}");
}

/// Of a limit with a burst of 24 units through two gateways, what the first may send at once after this.
fn sent_at_once(restart: impl FnOnce(&mut World)) -> usize {
    let mut world = one_store();
    let limited = |id: u32| Op { plan: 1, gateways: 2.0, ..op(id, 1, 0) };
    world.arrive(0, Op { units: 0.5, ..limited(100) });
    world.pass(ms(2500));
    restart(&mut world);
    (0..10).for_each(|id| world.arrive(0, limited(id)));
    world.sent_to(0, 0).iter().filter(|id| id.0 < 100).count()
}

#[test]
fn reserved_tokens_are_available_after_restart() {
    let kept = |after: u64, sure: bool| {
        sent_at_once(|world| {
            world.arrive(0, Op { plan: 1, gateways: 2.0, units: 0.5, ..op(101, 1, 0) });
            world.remember(0);
            world.pass(ms(after));
            world.recall(0, sure);
        })
    };
    assert_eq!(sent_at_once(|world| world.restart(0)), 0, "without it the part starts empty");
    assert_eq!(kept(200, true), 2, "half of what was left of twelve units, in ops of two");
    assert_eq!(kept(500, true), 0, "the promise has run out");
    assert_eq!(kept(200, false), 0, "nobody can tell how old it is");
}

#[test]
fn restored_store_knowledge_counts_less_with_age() {
    let cap = |age: u64| {
        let mut world = one_store();
        let memory = StoreSnapshot {
            store: StoreId(0),
            latency: 0.01,
            concurrency_limit: 24.0,
            virtual_times: vec![(VolumeId(1), 50.0)],
        };
        let (age, promised) = (Some(ms(age)), ms(0));
        world.tell(
            0,
            vec![Event::Restore { age, promise_duration: promised, stores: vec![memory], volumes: vec![] }],
        );
        (0..40).for_each(|id| world.arrive(0, op(id, id, 0)));
        world.sent_to(0, 0).len()
    };
    assert_eq!((cap(0), cap(10_000_000)), (12, 4));
    assert!((5..12).contains(&cap(30_000)), "{}", cap(30_000));
}

/// What one gateway sends at once after changes, in ops of two units, of a volume that had two seconds to fill.
fn sent_after(change: impl FnOnce(&mut World)) -> usize {
    sent_through(2.0, change)
}

/// As `sent_after`; what comes after the changes comes through so many gateways, of two before.
fn sent_through(gateways: f64, change: impl FnOnce(&mut World)) -> usize {
    let mut world = one_store();
    let limited = |id: u32| Op { plan: 1, gateways, ..op(id, 1, 0) };
    world.arrive(0, Op { units: 0.5, gateways: 2.0, ..limited(100) });
    world.pass(ms(2000));
    change(&mut world);
    (0..20).for_each(|id| world.arrive(0, limited(id)));
    // The cap on units out is no part of this.
    (0..12).for_each(|_| {
        world.out(0).into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
    });
    world.sent_to(0, 0).iter().filter(|id| id.0 != 100).count()
}

#[test]
fn changed_limit_fills_at_what_was_in_force_at_each_time() {
    assert_eq!(sent_after(|_| {}), 6, "a burst of twelve units");
    assert_eq!(sent_after(|world| world.limit(0, 20.0, 8.0)), 2, "lowered below what had filled");
    assert_eq!(sent_after(|world| world.limit(0, 20.0, 80.0)), 6, "raised: it was full at twelve until now");
    let raised = |world: &mut World, then: u64| {
        world.limit(0, 20.0, 80.0);
        world.pass(ms(then));
    };
    assert_eq!(sent_after(|world| raised(world, 1000)), 11, "ten units a second after that");
    let both = |world: &mut World| {
        raised(world, 1000);
        world.limit(0, 2.0, 80.0);
        world.pass(ms(1000));
    };
    assert_eq!(sent_after(both), 11, "one unit more in the last second");
    let freed = |world: &mut World| {
        world.limit(0, 0.0, 0.0);
        world.limit(0, 20.0, 24.0);
        world.pass(ms(450));
    };
    assert_eq!(sent_after(freed), 2, "a first limit starts from nothing");
    let drawn = |world: &mut World| {
        world.limit(0, 0.0, 0.0);
        for id in 200..230 {
            world.arrive(0, Op { plan: 1, gateways: 2.0, ..op(id, 1, 0) });
            world.out(0).into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
        }
        world.limit(0, 20.0, 24.0);
        world.pass(ms(450));
    };
    // The last op without a limit may count against the first of it.
    assert!((31..=32).contains(&sent_after(drawn)), "nor from less, whatever was drawn without a limit");
    let often = |world: &mut World| (0..40).for_each(|n| world.limit(0, 20.0, 24.0 + f64::from(n % 2)));
    assert_eq!(sent_after(often), 6, "many changes");
}

#[test]
fn moved_volume_takes_along_no_more_than_either_plan_gives() {
    let moved = |world: &mut World, plan| {
        world.tell(0, vec![Event::VolumeMoved { volume: VolumeId(1), plan, gateways: 2.0 }]);
    };
    let away = |world: &mut World| {
        moved(world, 0);
        moved(world, 1);
    };
    assert_eq!(sent_after(away), 0, "without a limit anything may have been drawn");
    assert_eq!(sent_through(1.0, |_| {}), 6, "its part was half until now");
    let mut world = one_store();
    // More than may be out: the rest is held, without a limit.
    (0..20).for_each(|id| world.arrive(0, op(id, 1, 0)));
    let before = world.sent_to(0, 0).len();
    moved(&mut world, 1);
    (0..12).for_each(|_| {
        world.out(0).into_iter().for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
    });
    assert_eq!(world.sent_to(0, 0).len(), before, "those held go by the new plan");
}

#[test]
fn changed_weight_leaves_served_units_as_they_counted() {
    // Volume 1 of plan 0 has been served four ops alone; volume 2 of plan 1 comes, and the weights are swapped at once.
    let served = |swap: bool| {
        let mut world = one_store();
        (0..8).for_each(|id| world.arrive(0, Op { units: 1.0, ..op(id, 1 + id % 2, 0) }));
        let mut settings = settings();
        settings.remove("plans.1.limit");
        if swap {
            settings.insert("plans.0.weight".into(), "2".into());
            settings.insert("plans.1.weight".into(), "1".into());
        }
        world.tell(0, vec![Event::SettingsChanged { settings }]);
        let held = |id: u32| Op { units: 1.0, plan: (id % 2) as usize, ..op(id, 1 + id % 2, 0) };
        (100..180).for_each(|id| world.arrive(0, held(id)));
        for _ in 0..40 {
            let out = world.out(0);
            out.into_iter().take(1).for_each(|(id, n, _)| world.answer(0, id, n, Outcome::Succeeded));
            world.pass(ms(4));
        }
        let sent = world.sent_to(0, 0);
        let of = |volume: u32| sent.iter().filter(|id| id.0 >= 100 && id.0 % 2 == volume).count() as f64;
        of(0) / of(1)
    };
    let (plain, swapped) = (served(false), served(true));
    assert!((0.35..0.7).contains(&plain), "one to two: {plain}");
    assert!((1.4..2.9).contains(&swapped), "two to one from then on: {swapped}");
}

#[test]
fn changed_settings_with_fewer_entries_are_refused() {
    let mut world = one_store();
    for lacking in ["plans.count", "op_types.count"] {
        let mut fewer = settings();
        fewer.insert(lacking.into(), "1".into());
        world.tell(0, vec![Event::SettingsChanged { settings: fewer }]);
    }
    world.arrive(0, Op { plan: 1, ..op(1, 1, 3) });
    assert!(!world.sides[0].ops[&OpId(1)].ended);
    let mut gone = settings();
    gone.insert("plans.1.gone".into(), "true".into());
    ["weight", "rate"].iter().for_each(|field| _ = gone.remove(&format!("plans.1.{field}")));
    world.tell(0, vec![Event::SettingsChanged { settings: gone }]);
    world.arrive(0, op(2, 2, 0));
    assert_eq!(world.sent_to(0, 0).last(), Some(&OpId(2)));
}

/// Taken for absent, each of these would put a rule out of force, or have the module look at all of it without end.
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
        let mut wrong = settings();
        wrong.insert(name.into(), value.into());
        let start = Event::Start { seed: 1, settings: wrong.clone() };
        let said = Scheduler::default().handle(at(0), vec![start]);
        assert!(matches!(&said[..], [Action::Fatal(text)] if text.contains(name)), "{name}: {said:?}");
        let mut world = one_store();
        world.tell(0, vec![Event::SettingsChanged { settings: wrong }]);
        let said = world.sides[0].actions.last();
        assert!(matches!(said, Some(Action::Log(text)) if text.contains(name)), "{name}: {said:?}");
        world.arrive(0, Op { plan: 1, ..op(1, 1, 3) });
        assert!(!world.sides[0].ops[&OpId(1)].ended, "{name}: the former hold");
    }
}
