//! A plain world for the tests: gateways, what is out of them, and a slow model of the rules that judges each action.

use std::collections::BTreeMap;
use std::time::Duration;

use umbertray::interface::*;
use umbertray::scheduler::Scheduler;

pub(crate) const GATEWAYS: usize = 2;
pub(crate) const COLD_UNITS: f64 = 12.0;
pub(crate) const LIMIT: (f64, f64, f64) = (20.0, 24.0, 2.4);
const COLD: (f64, f64, f64) = (0.25, 8.0, 1.0);
const FURTHER: (f64, f64, f64) = (1.0, 0.2, 2.0);
const PAUSE: Duration = Duration::from_millis(300);
type Memory = (Duration, Duration, Vec<StoreSnapshot>, Vec<VolumeSnapshot>);

/// Twice the least time between two saves.
pub(crate) const PROMISED: Duration = Duration::from_millis(400);
pub(crate) const GRACE: Duration = Duration::from_millis(1000);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Four op types: replayable, deduplicated in a cell, once-only, and replayable in order.
pub(crate) fn settings() -> Settings {
    let text = format!(
        "gateways={GATEWAYS} tick=0.002 stores.mean_units=2 stores.cold_units={COLD_UNITS} limits.max_dispatches=3 \
         limits.max_retry_after=1 rules.drain_grace=1 rules.cold_from={} rules.cold_time={} rules.fall_time={} rules.order_pause=0.3 \
         rules.further_free={} rules.further_share={} rules.further_span={} rules.ask_within=10 op_types.count=4 \
         plans.count=2 plans.0.weight=1 plans.0.rate=4 plans.1.weight=2 plans.1.rate=8 plans.1.limit={} \
         plans.1.limit_burst={} plans.1.limit_slack={}",
        COLD.0, COLD.1, COLD.2, FURTHER.0, FURTHER.1, FURTHER.2, LIMIT.0, LIMIT.1, LIMIT.2
    );
    let kinds = [("replayable", 3), ("deduplicated", 2), ("once_only", 2), ("replayable", 1)];
    let types = kinds.iter().enumerate().flat_map(|(i, (repeats, utility))| {
        format!(
            "op_types.{i}.repeats={repeats} op_types.{i}.utility={utility} op_types.{i}.target_latency=0.2 \
             op_types.{i}.op_timeout=1 op_types.{i}.dedup_scope=cell op_types.{i}.dedup_span=0.1 \
             op_types.{i}.in_order={}",
            i == 3
        )
        .split_whitespace()
        .map(String::from)
        .collect::<Vec<_>>()
    });
    let pairs = text.split_whitespace().map(String::from).chain(types);
    pairs.filter_map(|pair| pair.split_once('=').map(|(k, v)| (k.to_string(), v.to_string()))).collect()
}

pub(crate) fn listing(store: u32, shard: u32, started: Option<Duration>, state: StoreState) -> Endpoint {
    Endpoint { store: StoreId(store), shard, zone: 0, started_at: started, state }
}

pub(crate) fn op(id: u32, volume: u32, op_type: usize) -> Op {
    let (volume, left) = (VolumeId(volume), ms(1000));
    let name = volume.0.into();
    Op {
        id: OpId(id),
        units: 2.0,
        volume,
        volume_name: name,
        key: None,
        shard: Some(0),
        time_left: left,
        plan: 0,
        op_type,
        gateways: 1.0,
    }
}

pub(crate) struct Sent {
    pub(crate) store: StoreId,
    pub(crate) at: Duration,
    pub(crate) ends: Duration,
    pub(crate) outcome: Option<(Outcome, Duration)>,
}

/// One op as the model sees it.
pub(crate) struct Seen {
    pub(crate) op: Op,
    pub(crate) at: Duration,
    pub(crate) sent: Vec<Sent>,
    pub(crate) ended: bool,
    pub(crate) order: usize,
}

#[derive(Default)]
pub(crate) struct Side {
    gateway: Scheduler,
    pub(crate) ops: BTreeMap<OpId, Seen>,
    timers: Vec<(Duration, u64)>,
    taken: Vec<Duration>,
    further: Vec<Duration>,
    pub(crate) actions: Vec<Action>,
}

#[derive(Default)]
pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) sides: Vec<Side>,
    pub(crate) list: Vec<Endpoint>,
    /// What each side acts on.
    settings: Vec<Settings>,
    barred: BTreeMap<StoreId, Duration>,
    cold_sent: Vec<(StoreId, Duration, f64)>,
    limits: BTreeMap<VolumeId, (f64, Duration)>,
    memories: BTreeMap<usize, Memory>,
}

impl World {
    pub(crate) fn new(now: Duration, list: Vec<Endpoint>) -> World {
        World::with(now, list, settings())
    }

    pub(crate) fn with(now: Duration, list: Vec<Endpoint>, settings: Settings) -> World {
        World::wide(now, list, settings, GATEWAYS)
    }

    /// The same with so many gateways.
    pub(crate) fn wide(now: Duration, list: Vec<Endpoint>, settings: Settings, gateways: usize) -> World {
        let mut world = World { now, list, settings: vec![settings; gateways], ..World::default() };
        for side in 0..gateways {
            world.sides.push(Side::default());
            world.restart(side);
        }
        world
    }

    pub(crate) fn restart(&mut self, side: usize) {
        self.sides[side] = Side::default();
        let start = Event::Start { seed: side as u64, settings: self.settings[side].clone() };
        self.tell(side, vec![start, Event::EndpointList(EndpointListUpdate::Cached(self.list.clone()))]);
    }

    /// A side acts on another limit and burst of plan 1 from now on; 0: none.
    pub(crate) fn limit(&mut self, side: usize, limit: f64, burst: f64) {
        let volumes: Vec<VolumeId> = self.limits.keys().copied().collect();
        volumes.into_iter().for_each(|volume| _ = self.left(volume));
        let settings = &mut self.settings[side];
        settings.insert("plans.1.limit".into(), limit.to_string());
        settings.insert("plans.1.limit_burst".into(), burst.to_string());
        let settings = settings.clone();
        self.tell(side, vec![Event::SettingsChanged { settings }]);
    }

    /// Rule 7: what is left of a volume's limit. It fills as fast, and holds as much, as the parts do that the sides act on.
    fn left(&mut self, volume: VolumeId) -> f64 {
        let mean = |name: &str| {
            let figures = self.settings.iter().map(|settings| settings[name].parse::<f64>());
            figures.map(|figure| figure.expect("a number")).sum::<f64>() / self.settings.len() as f64
        };
        let (rate, burst) = (mean("plans.1.limit"), mean("plans.1.limit_burst"));
        let (left, at) = self.limits.get(&volume).copied().unwrap_or((burst, self.now));
        let left = (left + rate * (self.now - at).as_secs_f64()).min(burst);
        self.limits.insert(volume, (left, self.now));
        left
    }

    /// What a side would keep now, at its moment.
    pub(crate) fn remember(&mut self, side: usize) {
        self.tell(side, vec![Event::TakeSnapshot { promise_duration: PROMISED }]);
        let known = self.sides[side].actions.pop();
        let Some(Action::Snapshot { stores, volumes }) = known else { panic!("not told: {known:?}") };
        self.memories.insert(side, (self.now, PROMISED, stores, volumes));
    }

    /// Whoever keeps it lets each promise be believed once: restart loops would draw it again and again.
    fn claimed(&mut self, side: usize) {
        self.memories.get_mut(&side).into_iter().for_each(|memory| memory.1 = ms(0));
    }

    /// Restarts a side that recalls what it kept last; its age may be unknown.
    pub(crate) fn recall(&mut self, side: usize, sure: bool) {
        self.restart(side);
        if let Some((at, promised, stores, volumes)) = self.memories.get(&side).cloned() {
            let age = sure.then_some(self.now - at);
            self.tell(side, vec![Event::Restore { age, promise_duration: promised, stores, volumes }]);
            self.claimed(side);
        }
    }

    pub(crate) fn relist(&mut self, list: Vec<Endpoint>) {
        for known in &self.list {
            let now = list.iter().find(|l| l.store == known.store);
            if now.is_none_or(|l| l.state != StoreState::Ready) {
                self.barred.entry(known.store).or_insert(self.now + GRACE);
            }
        }
        self.barred.retain(|id, _| !list.iter().any(|l| l.store == *id && l.state == StoreState::Ready));
        self.list = list;
        for side in 0..self.sides.len() {
            self.tell(side, vec![Event::EndpointList(EndpointListUpdate::Whole(self.list.clone()))]);
        }
    }

    pub(crate) fn arrive(&mut self, side: usize, op: Op) {
        let order = self.sides[side].taken.len();
        self.sides[side].taken.push(self.now);
        let seen = Seen { op: op.clone(), at: self.now, sent: vec![], ended: false, order };
        self.sides[side].ops.insert(op.id, seen);
        self.tell(side, vec![Event::OpArrived(op)]);
    }

    pub(crate) fn answer(&mut self, side: usize, id: OpId, dispatch: usize, outcome: Outcome) {
        let now = self.now;
        let seen = self.sides[side].ops.get_mut(&id).expect("an op that was sent");
        let sent = &mut seen.sent[dispatch];
        sent.outcome = Some((outcome, now));
        seen.ended |= outcome == Outcome::Succeeded;
        let (store, latency, ended) = (sent.store, now - sent.at, seen.ended);
        let (dispatch, report) = (dispatch as u32, vec![]);
        let answer = AttemptResult {
            op: id,
            attempt: dispatch,
            store,
            outcome,
            latency,
            op_ended: ended,
            plan_rate_used: None,
            units_elsewhere: 0.0,
            report,
        };
        self.tell(side, vec![Event::AttemptFinished(answer)]);
    }

    /// Lets time pass: timers ring, dispatches time out, and every final answer must be in.
    pub(crate) fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = until.min(self.now + ms(2));
            for side in 0..self.sides.len() {
                let now = self.now;
                let (due, later) = self.sides[side].timers.drain(..).partition(|(at, _)| *at <= now);
                self.sides[side].timers = later;
                let due: Vec<(Duration, u64)> = due;
                self.tell(side, due.into_iter().map(|(_, token)| Event::Timer { token }).collect());
                let out: Vec<_> = self.out(side).into_iter().filter(|(_, _, ends)| *ends <= now).collect();
                out.into_iter().for_each(|(id, n, _)| self.answer(side, id, n, Outcome::TimedOut));
                for seen in self.sides[side].ops.values().filter(|seen| !seen.ended) {
                    assert!(
                        now <= seen.at + seen.op.time_left + ms(8),
                        "rule 1: {:?} without its final answer",
                        seen.op.id
                    );
                }
            }
        }
    }

    pub(crate) fn out(&self, side: usize) -> Vec<(OpId, usize, Duration)> {
        let sent = self.sides[side]
            .ops
            .iter()
            .flat_map(|(id, seen)| seen.sent.iter().enumerate().map(move |s| (*id, s)));
        sent.filter(|(_, (_, s))| s.outcome.is_none()).map(|(id, (n, s))| (id, n, s.ends)).collect()
    }

    pub(crate) fn sent_to(&self, side: usize, store: u32) -> Vec<OpId> {
        let to = |a: &Action| match a {
            Action::StartAttempt { op, store: s, .. } if s.0 == store => Some(*op),
            _ => None,
        };
        self.sides[side].actions.iter().filter_map(to).collect()
    }

    pub(crate) fn tell(&mut self, side: usize, events: Vec<Event>) {
        let actions = self.sides[side].gateway.handle(self.now, events);
        for action in actions {
            self.judge(side, &action);
            self.sides[side].actions.push(action);
        }
    }

    fn judge(&mut self, side: usize, action: &Action) {
        let (now, host) = (self.now, &mut self.sides[side]);
        match action {
            Action::SetTimer { token, at } => host.timers.push((*at, *token)),
            Action::Reject { op, .. } | Action::Fail { op } => {
                let seen = host.ops.get_mut(op).expect("rule 1: a final answer to an op never taken");
                assert!(!seen.ended, "rule 1: a second final answer to {op:?}");
                let ran = seen.sent.iter().any(|s| !never_ran(s));
                let throttled = matches!(action, Action::Reject { .. });
                assert!(
                    !(throttled && ran && [1, 2].contains(&seen.op.op_type)),
                    "rule 2: {op:?} throttled after it may have run"
                );
                seen.ended = true;
            }
            Action::StartAttempt { op, store, timeout } => {
                self.judge_dispatch(side, *op, *store, now + *timeout);
            }
            Action::Fatal(text) => panic!("fatal: {text}"),
            _ => {}
        }
    }

    fn judge_dispatch(&mut self, side: usize, id: OpId, store: StoreId, ends: Duration) {
        let now = self.now;
        let place = self.list.iter().find(|l| l.store == store).cloned();
        let shard_of = |s: StoreId| self.list.iter().find(|l| l.store == s).map(|l| l.shard);
        let host = &self.sides[side];
        let seen = &host.ops[&id];
        let units = seen.op.units;
        assert!(!seen.ended, "rule 1: {id:?} sent after its final answer");
        assert!(
            self.barred.get(&store).is_none_or(|until| now <= *until),
            "rule 3: {id:?} sent to a draining store"
        );
        let first = seen.sent.iter().find(|s| !never_ran(s));
        if let Some(first) = first {
            assert!(seen.op.op_type != 2, "rule 2: a once-only op sent again");
            let same = shard_of(first.store) == shard_of(store) && now <= first.at + ms(100);
            assert!(seen.op.op_type != 1 || same, "rule 2: a deduplicated op sent outside its scope or span");
        }
        assert!(seen.sent.iter().all(|s| s.outcome.is_some()), "rule 2: two dispatches of one op at once");
        if seen.op.op_type == 3 {
            for before in host
                .ops
                .values()
                .filter(|s| s.op.op_type == 3 && s.op.key == seen.op.key && s.order < seen.order)
            {
                let open = !before.ended || before.sent.iter().any(|s| s.outcome.is_none());
                let rest =
                    before.sent.iter().filter_map(|s| s.outcome).any(|(o, at)| unsure(o) && now < at + PAUSE);
                assert!(!open && !rest, "rule 5: {id:?} sent before {:?} was over", before.op.id);
            }
        }
        if !seen.sent.is_empty() {
            let since = |times: &[Duration]| {
                times.iter().filter(|at| (now - **at).as_secs_f64() < FURTHER.2).count() as f64
            };
            let most = FURTHER.0 + FURTHER.1 * since(&host.taken);
            assert!(since(&host.further) + 1.0 <= most, "rule 6: more further dispatches than the budget");
        } else if seen.op.plan == 1 && self.settings[side]["plans.1.limit"] != "0" {
            let volume = seen.op.volume;
            let left = self.left(volume) - units;
            assert!(left >= -LIMIT.2, "rule 7: a volume past its limit by {left}");
            self.limits.insert(volume, (left, now));
        }
        if let Some(started) =
            place.and_then(|p| p.started_at).filter(|at| (now - *at).as_secs_f64() < COLD.1)
        {
            // What went to an earlier process of the store died with it.
            self.cold_sent.push((store, now, units));
            let recent = |(to, at, _): &&(StoreId, Duration, f64)| {
                *to == store && *at >= started && (now - *at).as_secs_f64() <= COLD.2
            };
            let sum: f64 = self.cold_sent.iter().filter(recent).map(|(_, _, units)| units).sum();
            let warmth = 1.0 + (1.0 - COLD.0) / COLD.0 * (now - started).as_secs_f64() / COLD.1;
            assert!(sum <= COLD_UNITS * warmth, "rule 4: {sum} units to a cold store");
        }
        let host = &mut self.sides[side];
        let seen = host.ops.get_mut(&id).expect("known above");
        if !seen.sent.is_empty() {
            host.further.push(now);
        }
        seen.sent.push(Sent { store, at: now, ends, outcome: None });
    }
}

fn unsure(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Unknown)
}

fn never_ran(sent: &Sent) -> bool {
    matches!(sent.outcome, Some((Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent, _)))
}
