//! Measures the time in [`Scheduler::handle`] per completed op as the numbers of open ops and listed stores
//! grow.
//!
//! `cargo run --release --example cost`
//!
//! Runs one gateway in virtual time: each attempt succeeds after 1 ms and each completed op is replaced by a
//! new one, so the number of open ops stays constant. All ops have one plan, one type and one unit.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use umbertray::interface::{
    Action, AttemptResult, Endpoint, EndpointListUpdate, Event, Op, OpId, Outcome, Settings, StoreId,
    StoreState, VolumeId,
};
use umbertray::scheduler::Scheduler;

const RESPONSE_LATENCY: Duration = Duration::from_millis(1);

fn settings() -> Settings {
    let text = "gateways=1 tick=0.002 stores.mean_units=1 stores.cold_units=8 limits.max_dispatches=3 \
        limits.max_retry_after=1 rules.cold_from=0.25 rules.cold_time=8 rules.fall_time=1 \
        rules.order_pause=0.3 rules.further_free=1 rules.further_share=0.2 rules.further_span=2 \
        rules.ask_within=10 plans.count=1 plans.0.weight=1 plans.0.rate=1000000 op_types.count=1 \
        op_types.0.repeats=replayable op_types.0.utility=1 op_types.0.target_latency=20 \
        op_types.0.op_timeout=60 op_types.0.in_order=false";
    let pairs = text.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

fn op(id: u32, volumes: u32, stores: u32) -> Op {
    // Multiplicative hashing; any order that spreads volumes over stores would do.
    let hash = id.wrapping_mul(2_654_435_761);
    let volume = hash % volumes;
    Op {
        id: OpId(id),
        units: 1.0,
        volume: VolumeId(volume),
        volume_name: volume.into(),
        key: None,
        shard: Some(volume % stores),
        time_left: Duration::from_secs(60),
        plan: 0,
        op_type: 0,
        gateways: 1.0,
    }
}

/// Average time in the scheduler per completed op, in microseconds, measured over `measured_ops` ops.
fn micros_per_op(stores: u32, volumes: u32, open_ops: u32, measured_ops: u32) -> f64 {
    let mut scheduler = Scheduler::default();
    let mut now = Duration::from_secs(1000);
    let endpoint =
        |n| Endpoint { store: StoreId(n), shard: n, zone: 0, started_at: None, state: StoreState::Ready };
    let list = Event::EndpointList(EndpointListUpdate::Complete((0..stores).map(endpoint).collect()));
    let mut events = vec![Event::Start { seed: 1, settings: settings() }, list];
    events.extend((0..open_ops).map(|id| Event::OpArrived(op(id, volumes, stores))));
    let mut next_id = open_ops;
    let (mut completed, mut measured) = (0u32, 0u32);
    let mut in_flight = VecDeque::new();
    let mut timer = Duration::MAX;
    let mut elapsed = Duration::ZERO;
    while measured < measured_ops {
        let started = Instant::now();
        let actions = scheduler.handle(now, std::mem::take(&mut events));
        // The first round of all open ops is a warm-up and not measured.
        if completed > open_ops {
            elapsed += started.elapsed();
        }
        for action in actions {
            match action {
                Action::StartAttempt { op, store, .. } => {
                    in_flight.push_back((now + RESPONSE_LATENCY, op, store));
                }
                Action::SetTimer { at, .. } => timer = at,
                Action::Reject { op: ended, .. } | Action::Fail { op: ended } => {
                    panic!(
                        "{ended:?} was rejected or failed: the measurement is valid only if all ops succeed"
                    )
                }
                _ => {}
            }
        }
        now = in_flight.front().map_or(timer, |(at, ..)| timer.min(*at));
        if timer <= now {
            events.push(Event::Timer { token: 0 });
            timer = Duration::MAX;
        }
        // Responses are delivered one by one, as an event loop without a backlog receives them.
        let is_due = |(at, ..): &mut (Duration, OpId, StoreId)| *at <= now;
        if let Some((_, op_id, store)) = in_flight.pop_front_if(is_due) {
            events.push(Event::AttemptFinished(AttemptResult {
                op: op_id,
                attempt: 0,
                store,
                outcome: Outcome::Succeeded,
                latency: RESPONSE_LATENCY,
                op_ended: true,
                plan_rate_used: None,
                units_elsewhere: 0.0,
                report: Vec::new(),
            }));
            events.push(Event::OpArrived(op(next_id, volumes, stores)));
            measured += u32::from(completed > open_ops);
            next_id += 1;
            completed += 1;
        }
    }
    elapsed.as_secs_f64() * 1e6 / f64::from(measured)
}

fn main() {
    let growing_open_ops =
        [(10, 10, 100), (10, 100, 1000), (10, 1000, 1000), (50, 1000, 16_000), (500, 10_000, 100_000)];
    let growing_lists = [(250, 4000, 200), (1000, 4000, 200), (4000, 4000, 200)];
    for (stores, volumes, open_ops) in growing_open_ops.into_iter().chain(growing_lists) {
        let micros = micros_per_op(stores, volumes, open_ops, 20_000);
        println!("{stores} stores, {volumes} volumes, {open_ops} open: {micros:.1} us an op");
    }
}
