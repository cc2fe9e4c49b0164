//! A sweep looks at the stores where something is at work, however many are listed.

use std::time::Duration;

use umbertray::interface::*;
use umbertray::scheduler::Scheduler;

const START: Duration = Duration::from_secs(1000);
const STORES: u32 = 4000;
const ANSWER: Duration = Duration::from_millis(1);

fn settings() -> Settings {
    let text = "gateways=2 tick=0.002 stores.mean_units=1 stores.cold_units=8 rules.cold_time=8 rules.fall_time=1 \
        plans.count=1 plans.0.weight=1 plans.0.rate=1000 op_types.count=1 op_types.0.repeats=replayable \
        op_types.0.utility=1 op_types.0.target_latency=0.2 op_types.0.op_timeout=1";
    let pairs = text.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

fn listing(id: u32, state: StoreState) -> Endpoint {
    Endpoint { store: StoreId(id), shard: id, zone: 0, started_at: None, state }
}

fn op(id: u32, shard: u32) -> Op {
    Op {
        id: OpId(id),
        units: 1.0,
        volume: VolumeId(shard),
        volume_name: shard.into(),
        key: None,
        shard: Some(shard),
        time_left: Duration::from_secs(1),
        plan: 0,
        op_type: 0,
        gateways: 1.0,
    }
}

/// One gateway with warm stores listed, a shard each, and two sweeps made since.
struct Idle {
    gateway: Scheduler,
    now: Duration,
    sweep_at: Duration,
}

impl Idle {
    fn new() -> Idle {
        let list = (0..STORES).map(|id| listing(id, StoreState::Ready)).collect();
        let mut idle = Idle { gateway: Scheduler::default(), now: START, sweep_at: START };
        idle.tell(vec![
            Event::Start { seed: 1, settings: settings() },
            Event::EndpointList(EndpointListUpdate::Whole(list)),
        ]);
        idle.sweep(2);
        idle
    }

    /// The stores that were sent an op.
    fn tell(&mut self, events: Vec<Event>) -> Vec<StoreId> {
        let mut sent = Vec::new();
        for action in self.gateway.handle(self.now, events) {
            match action {
                Action::SetTimer { at, .. } => self.sweep_at = at,
                Action::StartAttempt { store, .. } => sent.push(store),
                _ => {}
            }
        }
        sent
    }

    fn sweep(&mut self, times: usize) {
        for _ in 0..times {
            self.now = self.sweep_at;
            self.tell(vec![Event::Timer { token: 0 }]);
        }
    }

    fn acked(&mut self, op: u32, store: u32) {
        let (op, store, report) = (OpId(op), StoreId(store), Report::new());
        let (outcome, latency, ended) = (Outcome::Succeeded, ANSWER, true);
        let answer = AttemptResult {
            op,
            attempt: 0,
            store,
            outcome,
            latency,
            op_ended: ended,
            plan_rate_used: None,
            units_elsewhere: 0.0,
            report,
        };
        self.tell(vec![Event::AttemptFinished(answer)]);
    }
}

#[test]
fn sweep_without_work_looks_at_no_store() {
    let mut idle = Idle::new();
    assert_eq!(idle.gateway.at_work(), 0);
    idle.sweep(100);
    assert_eq!(idle.gateway.at_work(), 0);
    idle.tell(vec![Event::EndpointList(EndpointListUpdate::Changes(vec![listing(7, StoreState::Draining)]))]);
    assert_eq!(idle.gateway.at_work(), 1, "what is told of one store costs one");
}

#[test]
fn store_with_ops_stays_active_until_it_has_none() {
    let mut idle = Idle::new();
    for id in 0..30 {
        assert_eq!(idle.tell(vec![Event::OpArrived(op(id, id * 100))]), [StoreId(id * 100)]);
    }
    idle.sweep(1);
    assert_eq!(idle.gateway.at_work(), 30, "all are out");
    (0..10).for_each(|id| idle.acked(id, id * 100));
    idle.sweep(2);
    assert_eq!(idle.gateway.at_work(), 20);
    (10..30).for_each(|id| idle.acked(id, id * 100));
    idle.sweep(2);
    assert_eq!(idle.gateway.at_work(), 0, "a past that fades is no work");
}

/// What a store that is gone was sent counts against its next start for twice the fall time, one second here.
#[test]
fn store_that_is_gone_stays_active_until_dropped() {
    let mut idle = Idle::new();
    idle.tell(vec![Event::OpArrived(op(1, 5))]);
    idle.acked(1, 5);
    idle.tell(vec![Event::EndpointList(EndpointListUpdate::Changes(vec![listing(5, StoreState::Gone)]))]);
    let gone = idle.now;
    while idle.gateway.at_work() > 0 {
        assert!(idle.now < gone + Duration::from_millis(2100));
        idle.sweep(1);
    }
    assert!(idle.now > gone + Duration::from_secs(2));
    idle.tell(vec![Event::EndpointList(EndpointListUpdate::Whole(
        (0..100).map(|id| listing(id, StoreState::Ready)).collect(),
    ))]);
    assert_eq!(idle.gateway.at_work(), STORES as usize, "a whole list: those it names, those it leaves out");
    idle.sweep(2);
    assert_eq!(idle.gateway.at_work(), 0);
}
