//! Gateways under test, and a simple, slow model of the numbered rules of docs/design.md that checks each of
//! their actions.

use std::collections::BTreeMap;
use std::time::Duration;

use umbertray::interface::{
    Action, AttemptResult, Endpoint, EndpointListUpdate, Event, Op, OpId, Outcome, Settings, StoreId,
    StoreSnapshot, StoreState, VolumeId, VolumeSnapshot,
};
use umbertray::scheduler::Scheduler;

pub(crate) const GATEWAYS: usize = 2;
/// Units that a store can carry within the slow start window when it starts.
pub(crate) const SLOW_START_UNITS: f64 = 12.0;
const SLOW_START_INITIAL_PROGRESS: f64 = 0.25;
const SLOW_START_SECS: f64 = 8.0;
const SLOW_START_WINDOW_SECS: f64 = 1.0;
/// The limit of plan 1: units per second, burst in units, and the number of units by which the model lets it
/// be exceeded.
pub(crate) const LIMIT_RATE: f64 = 20.0;
pub(crate) const LIMIT_BURST: f64 = 24.0;
pub(crate) const LIMIT_SLACK: f64 = 2.4;
const FREE_RETRIES: f64 = 1.0;
const RETRIES_PER_ARRIVAL: f64 = 0.2;
const RETRY_WINDOW_SECS: f64 = 2.0;
const KEY_ORDER_PAUSE: Duration = Duration::from_millis(300);
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(100);
/// Twice the minimum time between two snapshots.
pub(crate) const PROMISE_DURATION: Duration = Duration::from_millis(400);
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(1000);
/// Time by which a final response may be late.
const RESPONSE_GRACE: Duration = Duration::from_millis(8);

/// Indices of the op types in [`settings`].
const DEDUPLICATED: usize = 1;
const ONCE_ONLY: usize = 2;
const ORDERED: usize = 3;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Settings with four op types: replayable, deduplicated within a shard, once-only, and replayable in order.
pub(crate) fn settings() -> Settings {
    let text = format!(
        "gateways={GATEWAYS} tick=0.002 stores.mean_units=2 stores.cold_units={SLOW_START_UNITS} \
         limits.max_dispatches=3 limits.max_retry_after=1 rules.drain_grace=1 \
         rules.cold_from={SLOW_START_INITIAL_PROGRESS} rules.cold_time={SLOW_START_SECS} \
         rules.fall_time={SLOW_START_WINDOW_SECS} rules.order_pause=0.3 rules.further_free={FREE_RETRIES} \
         rules.further_share={RETRIES_PER_ARRIVAL} rules.further_span={RETRY_WINDOW_SECS} \
         rules.ask_within=10 op_types.count=4 plans.count=2 plans.0.weight=1 plans.0.rate=4 \
         plans.1.weight=2 plans.1.rate=8 plans.1.limit={LIMIT_RATE} plans.1.limit_burst={LIMIT_BURST} \
         plans.1.limit_slack={LIMIT_SLACK}",
    );
    let repeats_and_utility = [("replayable", 3), ("deduplicated", 2), ("once_only", 2), ("replayable", 1)];
    let op_types = repeats_and_utility.iter().enumerate().flat_map(|(i, (repeats, utility))| {
        format!(
            "op_types.{i}.repeats={repeats} op_types.{i}.utility={utility} op_types.{i}.target_latency=0.2 \
             op_types.{i}.op_timeout=1 op_types.{i}.dedup_scope=cell op_types.{i}.dedup_span=0.1 \
             op_types.{i}.in_order={}",
            i == ORDERED
        )
        .split_whitespace()
        .map(String::from)
        .collect::<Vec<_>>()
    });
    let pairs = text.split_whitespace().map(String::from).chain(op_types);
    pairs.filter_map(|pair| pair.split_once('=').map(|(k, v)| (k.to_string(), v.to_string()))).collect()
}

pub(crate) fn endpoint(store: u32, shard: u32, started_at: Option<Duration>, state: StoreState) -> Endpoint {
    Endpoint { store: StoreId(store), shard, zone: 0, started_at, state }
}

/// An op of two units on existing data whose client waits one second.
pub(crate) fn op(id: u32, volume: u32, op_type: usize) -> Op {
    Op {
        id: OpId(id),
        units: 2.0,
        volume: VolumeId(volume),
        volume_name: volume.into(),
        key: None,
        shard: Some(0),
        time_left: ms(1000),
        plan: 0,
        op_type,
        gateways: 1.0,
    }
}

/// An attempt that a gateway has started.
pub(crate) struct SentAttempt {
    pub(crate) store: StoreId,
    pub(crate) started_at: Duration,
    pub(crate) times_out_at: Duration,
    pub(crate) outcome: Option<(Outcome, Duration)>,
}

impl SentAttempt {
    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn was_not_executed(&self) -> bool {
        matches!(self.outcome, Some((Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent, _)))
    }

    /// Whether the next op on the key must wait because the store may still be executing this one.
    fn pauses_key(&self, now: Duration) -> bool {
        self.outcome.is_some_and(|(outcome, at)| may_still_execute(outcome) && now < at + KEY_ORDER_PAUSE)
    }
}

fn may_still_execute(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Unknown)
}

/// The model's record of one op.
pub(crate) struct TrackedOp {
    pub(crate) op: Op,
    pub(crate) arrived_at: Duration,
    pub(crate) attempts: Vec<SentAttempt>,
    pub(crate) has_ended: bool,
    /// Number of ops that arrived before this one.
    pub(crate) arrival_index: usize,
}

/// One gateway, and the model's record of it.
#[derive(Default)]
pub(crate) struct TestGateway {
    scheduler: Scheduler,
    pub(crate) ops: BTreeMap<OpId, TrackedOp>,
    timers: Vec<(Duration, u64)>,
    arrivals: Vec<Duration>,
    retries: Vec<Duration>,
    pub(crate) actions: Vec<Action>,
}

/// The content of a gateway's last snapshot.
#[derive(Clone)]
struct SavedSnapshot {
    taken_at: Duration,
    promise_duration: Duration,
    stores: Vec<StoreSnapshot>,
    volumes: Vec<VolumeSnapshot>,
}

/// Units sent to a store in slow start.
struct SlowStartSend {
    store: StoreId,
    at: Duration,
    units: f64,
}

/// All gateways, the endpoint list that they share, and what the model counts over all of them to check the
/// rules.
#[derive(Default)]
pub(crate) struct TestFleet {
    pub(crate) now: Duration,
    pub(crate) gateways: Vec<TestGateway>,
    pub(crate) list: Vec<Endpoint>,
    /// The settings in force at each gateway.
    settings: Vec<Settings>,
    /// Time until which a store that is no longer ready may be sent ops.
    drain_until: BTreeMap<StoreId, Duration>,
    slow_start_sends: Vec<SlowStartSend>,
    /// Tokens of each volume's limit, and the time of that count.
    limit_tokens: BTreeMap<VolumeId, (f64, Duration)>,
    snapshots: BTreeMap<usize, SavedSnapshot>,
}

impl TestFleet {
    pub(crate) fn new(now: Duration, list: Vec<Endpoint>) -> Self {
        Self::with_settings(now, list, settings())
    }

    pub(crate) fn with_settings(now: Duration, list: Vec<Endpoint>, settings: Settings) -> Self {
        Self::with_gateways(now, list, settings, GATEWAYS)
    }

    /// Like [`Self::with_settings`], with the given number of gateways.
    pub(crate) fn with_gateways(
        now: Duration,
        list: Vec<Endpoint>,
        settings: Settings,
        gateways: usize,
    ) -> Self {
        let mut fleet = Self { now, list, settings: vec![settings; gateways], ..Self::default() };
        for gateway in 0..gateways {
            fleet.gateways.push(TestGateway::default());
            fleet.restart(gateway);
        }
        fleet
    }

    pub(crate) fn restart(&mut self, gateway: usize) {
        self.gateways[gateway] = TestGateway::default();
        let start = Event::Start { seed: gateway as u64, settings: self.settings[gateway].clone() };
        let list = EndpointListUpdate::Cached(self.list.clone());
        self.deliver(gateway, vec![start, Event::EndpointList(list)]);
    }

    /// Changes the limit and burst of plan 1 at one gateway; 0: no limit.
    pub(crate) fn change_limit(&mut self, gateway: usize, limit: f64, burst: f64) {
        let volumes: Vec<VolumeId> = self.limit_tokens.keys().copied().collect();
        for volume in volumes {
            self.fill_tokens(volume);
        }
        let settings = &mut self.settings[gateway];
        settings.insert("plans.1.limit".into(), limit.to_string());
        settings.insert("plans.1.limit_burst".into(), burst.to_string());
        let settings = settings.clone();
        self.deliver(gateway, vec![Event::SettingsChanged { settings }]);
    }

    /// Rule 7: fills and returns the tokens left of a volume's limit. Fill rate and burst are those of the
    /// gateways' parts, each taken from the settings in force at that gateway.
    fn fill_tokens(&mut self, volume: VolumeId) -> f64 {
        let mean = |name: &str| {
            let values = self.settings.iter().map(|settings| settings[name].parse::<f64>());
            values.map(|value| value.expect("a number")).sum::<f64>() / self.settings.len() as f64
        };
        let (rate, burst) = (mean("plans.1.limit"), mean("plans.1.limit_burst"));
        let (tokens, at) = self.limit_tokens.get(&volume).copied().unwrap_or((burst, self.now));
        let tokens = (tokens + rate * (self.now - at).as_secs_f64()).min(burst);
        self.limit_tokens.insert(volume, (tokens, self.now));
        tokens
    }

    /// Takes and keeps a snapshot of the gateway's state.
    pub(crate) fn take_snapshot(&mut self, gateway: usize) {
        self.deliver(gateway, vec![Event::TakeSnapshot { promise_duration: PROMISE_DURATION }]);
        let action = self.gateways[gateway].actions.pop();
        let Some(Action::Snapshot { stores, volumes }) = action else {
            panic!("expected a snapshot, got {action:?}")
        };
        let snapshot =
            SavedSnapshot { taken_at: self.now, promise_duration: PROMISE_DURATION, stores, volumes };
        self.snapshots.insert(gateway, snapshot);
    }

    /// A stored snapshot's promise may be used only once: a gateway that restarts in a loop would otherwise
    /// draw the same tokens again each time.
    fn use_up_promise(&mut self, gateway: usize) {
        if let Some(snapshot) = self.snapshots.get_mut(&gateway) {
            snapshot.promise_duration = ms(0);
        }
    }

    /// Restarts a gateway, which restores its last snapshot; the snapshot's age may be unknown.
    pub(crate) fn restart_and_restore(&mut self, gateway: usize, is_age_known: bool) {
        self.restart(gateway);
        let Some(snapshot) = self.snapshots.get(&gateway).cloned() else { return };
        let age = is_age_known.then_some(self.now - snapshot.taken_at);
        let SavedSnapshot { promise_duration, stores, volumes, .. } = snapshot;
        self.deliver(gateway, vec![Event::Restore { age, promise_duration, stores, volumes }]);
        self.use_up_promise(gateway);
    }

    /// Publishes a new endpoint list to all gateways.
    pub(crate) fn publish_list(&mut self, list: Vec<Endpoint>) {
        for known in &self.list {
            let listed = list.iter().find(|endpoint| endpoint.store == known.store);
            if listed.is_none_or(|endpoint| endpoint.state != StoreState::Ready) {
                self.drain_until.entry(known.store).or_insert(self.now + DRAIN_GRACE);
            }
        }
        let is_ready =
            |id: StoreId| list.iter().any(|known| known.store == id && known.state == StoreState::Ready);
        self.drain_until.retain(|id, _| !is_ready(*id));
        self.list = list;
        for gateway in 0..self.gateways.len() {
            let update = EndpointListUpdate::Complete(self.list.clone());
            self.deliver(gateway, vec![Event::EndpointList(update)]);
        }
    }

    pub(crate) fn submit(&mut self, gateway: usize, op: Op) {
        let arrivals = &mut self.gateways[gateway].arrivals;
        let arrival_index = arrivals.len();
        arrivals.push(self.now);
        let tracked = TrackedOp {
            op: op.clone(),
            arrived_at: self.now,
            attempts: vec![],
            has_ended: false,
            arrival_index,
        };
        self.gateways[gateway].ops.insert(op.id, tracked);
        self.deliver(gateway, vec![Event::OpArrived(op)]);
    }

    pub(crate) fn finish_attempt(&mut self, gateway: usize, id: OpId, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let tracked = self.gateways[gateway].ops.get_mut(&id).expect("an op that was sent");
        let sent = &mut tracked.attempts[attempt];
        sent.outcome = Some((outcome, now));
        tracked.has_ended |= outcome == Outcome::Succeeded;
        let result = AttemptResult {
            op: id,
            attempt: attempt as u32,
            store: sent.store,
            outcome,
            latency: now - sent.started_at,
            op_ended: tracked.has_ended,
            plan_rate_used: None,
            units_elsewhere: 0.0,
            report: vec![],
        };
        self.deliver(gateway, vec![Event::AttemptFinished(result)]);
    }

    /// Advances the clock: fires timers, times out attempts and checks that final responses are sent in time.
    pub(crate) fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now = until.min(self.now + ms(2));
            for gateway in 0..self.gateways.len() {
                self.fire_timers(gateway);
                self.time_out_attempts(gateway);
                self.check_deadlines(gateway);
            }
        }
    }

    fn fire_timers(&mut self, gateway: usize) {
        let now = self.now;
        let timers = &mut self.gateways[gateway].timers;
        let (due, later): (Vec<_>, Vec<_>) = timers.drain(..).partition(|(at, _)| *at <= now);
        *timers = later;
        self.deliver(gateway, due.into_iter().map(|(_, token)| Event::Timer { token }).collect());
    }

    fn time_out_attempts(&mut self, gateway: usize) {
        let in_flight = self.in_flight(gateway).into_iter();
        let timed_out: Vec<_> = in_flight.filter(|(_, _, times_out_at)| *times_out_at <= self.now).collect();
        for (op, attempt, _) in timed_out {
            self.finish_attempt(gateway, op, attempt, Outcome::TimedOut);
        }
    }

    fn check_deadlines(&self, gateway: usize) {
        for tracked in self.gateways[gateway].ops.values().filter(|tracked| !tracked.has_ended) {
            assert!(
                self.now <= tracked.arrived_at + tracked.op.time_left + RESPONSE_GRACE,
                "rule 1: {:?} has no final response at its deadline",
                tracked.op.id
            );
        }
    }

    /// Attempts in flight: the op, the index of the attempt, and the time at which it times out.
    pub(crate) fn in_flight(&self, gateway: usize) -> Vec<(OpId, usize, Duration)> {
        let mut in_flight = Vec::new();
        for (id, tracked) in &self.gateways[gateway].ops {
            for (number, attempt) in tracked.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    in_flight.push((*id, number, attempt.times_out_at));
                }
            }
        }
        in_flight
    }

    /// The ops that the gateway has sent to the store, once for each attempt.
    pub(crate) fn sent_to(&self, gateway: usize, store: u32) -> Vec<OpId> {
        let sent_op = |action: &Action| match action {
            Action::StartAttempt { op, store: to, .. } if to.0 == store => Some(*op),
            _ => None,
        };
        self.gateways[gateway].actions.iter().filter_map(sent_op).collect()
    }

    /// Delivers events to a gateway and checks the resulting actions.
    pub(crate) fn deliver(&mut self, gateway: usize, events: Vec<Event>) {
        let actions = self.gateways[gateway].scheduler.handle(self.now, events);
        for action in actions {
            self.check_action(gateway, &action);
            self.gateways[gateway].actions.push(action);
        }
    }

    fn check_action(&mut self, gateway: usize, action: &Action) {
        match action {
            Action::SetTimer { token, at } => self.gateways[gateway].timers.push((*at, *token)),
            Action::Reject { op, .. } => self.check_final_response(gateway, *op, true),
            Action::Fail { op } => self.check_final_response(gateway, *op, false),
            Action::StartAttempt { op, store, timeout } => {
                self.check_attempt(gateway, *op, *store);
                self.record_attempt(gateway, *op, *store, *timeout);
            }
            Action::Fatal(text) => panic!("fatal: {text}"),
            _ => {}
        }
    }

    fn check_final_response(&mut self, gateway: usize, id: OpId, is_rejection: bool) {
        let tracked = self.gateways[gateway].ops.get_mut(&id);
        let tracked = tracked.expect("rule 1: final response to an op that was never submitted");
        assert!(!tracked.has_ended, "rule 1: second final response to {id:?}");
        let may_be_executed = tracked.attempts.iter().any(|attempt| !attempt.was_not_executed());
        let is_unsafe = [DEDUPLICATED, ONCE_ONLY].contains(&tracked.op.op_type);
        assert!(
            !(is_rejection && may_be_executed && is_unsafe),
            "rule 2: {id:?} rejected after it may have been executed"
        );
        tracked.has_ended = true;
    }

    fn check_attempt(&mut self, gateway: usize, id: OpId, store: StoreId) {
        let tracked = &self.gateways[gateway].ops[&id];
        assert!(!tracked.has_ended, "rule 1: {id:?} sent after its final response");
        assert!(
            self.drain_until.get(&store).is_none_or(|until| self.now <= *until),
            "rule 3: {id:?} sent to a draining store"
        );
        self.check_idempotency(tracked, store);
        self.check_key_order(gateway, tracked);
        let (units, volume) = (tracked.op.units, tracked.op.volume);
        let is_retry = !tracked.attempts.is_empty();
        let is_limited = tracked.op.plan == 1 && self.settings[gateway]["plans.1.limit"] != "0";
        if is_retry {
            self.check_retry_budget(gateway);
        } else if is_limited {
            self.check_limit(volume, units);
        }
        self.check_slow_start(store, units);
    }

    /// Rule 2.
    fn check_idempotency(&self, tracked: &TrackedOp, store: StoreId) {
        let shard_of =
            |id: StoreId| self.list.iter().find(|known| known.store == id).map(|known| known.shard);
        if let Some(first) = tracked.attempts.iter().find(|attempt| !attempt.was_not_executed()) {
            assert!(tracked.op.op_type != ONCE_ONLY, "rule 2: a once-only op was sent again");
            let is_within_window = self.now <= first.started_at + DEDUPLICATION_WINDOW;
            let is_deduplicated = shard_of(first.store) == shard_of(store) && is_within_window;
            assert!(
                tracked.op.op_type != DEDUPLICATED || is_deduplicated,
                "rule 2: a deduplicated op was sent outside its deduplication scope or window"
            );
        }
        assert!(
            tracked.attempts.iter().all(|attempt| !attempt.is_in_flight()),
            "rule 2: two attempts of one op in flight at once"
        );
    }

    /// Rule 5.
    fn check_key_order(&self, gateway: usize, tracked: &TrackedOp) {
        if tracked.op.op_type != ORDERED {
            return;
        }
        let precedes = |other: &&TrackedOp| {
            other.op.op_type == ORDERED
                && other.op.key == tracked.op.key
                && other.arrival_index < tracked.arrival_index
        };
        for earlier in self.gateways[gateway].ops.values().filter(precedes) {
            let is_open = !earlier.has_ended || earlier.attempts.iter().any(SentAttempt::is_in_flight);
            let pauses_key = earlier.attempts.iter().any(|attempt| attempt.pauses_key(self.now));
            assert!(
                !is_open && !pauses_key,
                "rule 5: {:?} sent before {:?} had finished",
                tracked.op.id,
                earlier.op.id
            );
        }
    }

    /// Rule 6.
    fn check_retry_budget(&self, gateway: usize) {
        let within_window = |times: &[Duration]| {
            times.iter().filter(|at| (self.now - **at).as_secs_f64() < RETRY_WINDOW_SECS).count() as f64
        };
        let gateway = &self.gateways[gateway];
        let budget = FREE_RETRIES + RETRIES_PER_ARRIVAL * within_window(&gateway.arrivals);
        assert!(
            within_window(&gateway.retries) + 1.0 <= budget,
            "rule 6: more retries than the budget allows"
        );
    }

    /// Rule 7.
    fn check_limit(&mut self, volume: VolumeId, units: f64) {
        let left = self.fill_tokens(volume) - units;
        assert!(left >= -LIMIT_SLACK, "rule 7: a volume exceeded its limit, tokens left: {left}");
        self.limit_tokens.insert(volume, (left, self.now));
    }

    /// Rule 4, over all gateways.
    fn check_slow_start(&mut self, store: StoreId, units: f64) {
        let now = self.now;
        let listed = self.list.iter().find(|known| known.store == store);
        let Some(started_at) = listed.and_then(|known| known.started_at) else { return };
        let age = (now - started_at).as_secs_f64();
        if age >= SLOW_START_SECS {
            return;
        }
        // Work sent to an earlier incarnation of the store ended with that process.
        self.slow_start_sends.push(SlowStartSend { store, at: now, units });
        let is_recent = |send: &&SlowStartSend| {
            let is_in_window = (now - send.at).as_secs_f64() <= SLOW_START_WINDOW_SECS;
            send.store == store && send.at >= started_at && is_in_window
        };
        let sum: f64 = self.slow_start_sends.iter().filter(is_recent).map(|send| send.units).sum();
        let growth = (1.0 - SLOW_START_INITIAL_PROGRESS) / SLOW_START_INITIAL_PROGRESS;
        let progress = 1.0 + growth * age / SLOW_START_SECS;
        assert!(sum <= SLOW_START_UNITS * progress, "rule 4: {sum} units sent to a store in slow start");
    }

    fn record_attempt(&mut self, gateway: usize, id: OpId, store: StoreId, timeout: Duration) {
        let now = self.now;
        let gateway = &mut self.gateways[gateway];
        let tracked = gateway.ops.get_mut(&id).expect("checked before");
        if !tracked.attempts.is_empty() {
            gateway.retries.push(now);
        }
        let times_out_at = now + timeout;
        tracked.attempts.push(SentAttempt { store, started_at: now, times_out_at, outcome: None });
    }
}
