//! A sweep examines only the stores that have work, no matter how many are listed.

use std::time::Duration;

use umbertray::interface::{
    Action, AttemptResult, Endpoint, EndpointListUpdate, Event, LoadReport, Op, OpId, Outcome, Settings,
    StoreId, StoreState, VolumeId,
};
use umbertray::scheduler::Scheduler;

const START: Duration = Duration::from_secs(1000);
const STORES: u32 = 4000;
const ANSWER_LATENCY: Duration = Duration::from_millis(1);

fn settings() -> Settings {
    let text = "gateways=2 tick=0.002 stores.mean_units=1 stores.cold_units=8 rules.cold_time=8 \
        rules.fall_time=1 plans.count=1 plans.0.weight=1 plans.0.rate=1000 op_types.count=1 \
        op_types.0.repeats=replayable op_types.0.utility=1 op_types.0.target_latency=0.2 \
        op_types.0.op_timeout=1";
    let pairs = text.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

fn endpoint(id: u32, state: StoreState) -> Endpoint {
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

/// One gateway with an endpoint list of warm stores, one for each shard, after two sweeps.
struct TestGateway {
    scheduler: Scheduler,
    now: Duration,
    sweep_at: Duration,
}

impl TestGateway {
    fn new() -> TestGateway {
        let list = (0..STORES).map(|id| endpoint(id, StoreState::Ready)).collect();
        let mut gateway = TestGateway { scheduler: Scheduler::default(), now: START, sweep_at: START };
        gateway.deliver(vec![
            Event::Start { seed: 1, settings: settings() },
            Event::EndpointList(EndpointListUpdate::Complete(list)),
        ]);
        gateway.sweep(2);
        gateway
    }

    /// Delivers events and returns the stores that were sent an op.
    fn deliver(&mut self, events: Vec<Event>) -> Vec<StoreId> {
        let mut sent = Vec::new();
        for action in self.scheduler.handle(self.now, events) {
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
            self.deliver(vec![Event::Timer { token: 0 }]);
        }
    }

    /// The op's first attempt succeeds.
    fn succeed(&mut self, op: u32, store: u32) {
        let result = AttemptResult {
            op: OpId(op),
            attempt: 0,
            store: StoreId(store),
            outcome: Outcome::Succeeded,
            latency: ANSWER_LATENCY,
            op_ended: true,
            plan_rate_used: None,
            units_elsewhere: 0.0,
            report: LoadReport::new(),
        };
        self.deliver(vec![Event::AttemptFinished(result)]);
    }
}

#[test]
fn sweep_without_work_looks_at_no_store() {
    let mut gateway = TestGateway::new();
    assert_eq!(gateway.scheduler.active_store_count(), 0);
    gateway.sweep(100);
    assert_eq!(gateway.scheduler.active_store_count(), 0);
    gateway.deliver(vec![Event::EndpointList(EndpointListUpdate::Changes(vec![endpoint(
        7,
        StoreState::Draining,
    )]))]);
    assert_eq!(gateway.scheduler.active_store_count(), 1, "an update of one store activates only that store");
}

#[test]
fn store_with_ops_stays_active_until_it_has_none() {
    let mut gateway = TestGateway::new();
    for id in 0..30 {
        assert_eq!(gateway.deliver(vec![Event::OpArrived(op(id, id * 100))]), [StoreId(id * 100)]);
    }
    gateway.sweep(1);
    assert_eq!(gateway.scheduler.active_store_count(), 30, "all ops are in flight");
    (0..10).for_each(|id| gateway.succeed(id, id * 100));
    gateway.sweep(2);
    assert_eq!(gateway.scheduler.active_store_count(), 20);
    (10..30).for_each(|id| gateway.succeed(id, id * 100));
    gateway.sweep(2);
    assert_eq!(gateway.scheduler.active_store_count(), 0, "decaying averages do not keep a store active");
}

/// Ops sent to a store that is gone count against its next incarnation for twice the slow start window, which
/// is one second here.
#[test]
fn store_that_is_gone_stays_active_until_dropped() {
    let mut gateway = TestGateway::new();
    gateway.deliver(vec![Event::OpArrived(op(1, 5))]);
    gateway.succeed(1, 5);
    gateway
        .deliver(vec![Event::EndpointList(EndpointListUpdate::Changes(vec![endpoint(5, StoreState::Gone)]))]);
    let gone_at = gateway.now;
    while gateway.scheduler.active_store_count() > 0 {
        assert!(gateway.now < gone_at + Duration::from_millis(2100));
        gateway.sweep(1);
    }
    assert!(gateway.now > gone_at + Duration::from_secs(2));
    gateway.deliver(vec![Event::EndpointList(EndpointListUpdate::Complete(
        (0..100).map(|id| endpoint(id, StoreState::Ready)).collect(),
    ))]);
    assert_eq!(
        gateway.scheduler.active_store_count(),
        STORES as usize,
        "a complete list activates the stores that it names and those that it omits"
    );
    gateway.sweep(2);
    assert_eq!(gateway.scheduler.active_store_count(), 0);
}
