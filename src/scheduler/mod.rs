//! Every decision of a gateway: which held op goes to which store, when, and which is turned away.
//! [`Scheduler::handle`] takes what happened at one moment, a `Start` first, and returns what is to be done.
//!
//! The ordinary path is Argon's: at each store one volume at a time holds a turn of a count and a quantum,
//! the next goes to the smallest tag, a cap bounds the units out. Departures are explained in docs/design.md.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use crate::interface::{
    Action, AttemptResult, Endpoint, EndpointListUpdate, Event, Op, OpId, Outcome, Settings, StoreId,
    StoreSnapshot, StoreState, VolumeId, VolumeSnapshot,
};

/// The quantum, against the shortest target latency sent to the store.
const QUANTUM_PER_OBJECTIVE: f64 = 0.25;
/// Weight of a new answer in a latency average, and the average's seed against the target latency.
const LATENCY_SMOOTHING: f64 = 0.2;
const INITIAL_LATENCY_PER_OBJECTIVE: f64 = 0.125;
/// The cap on units out a store at first, and at most, in average ops.
const INITIAL_LIMIT_OPS: f64 = 4.0;
const MAX_LIMIT_OPS: f64 = 16.0;
/// The least cap, and the latency against the shortest target latency at which it is steered below an op.
const MIN_LIMIT_OPS: f64 = 0.015625;
const OVERLOAD_LATENCY_PER_OBJECTIVE: f64 = 0.6;
/// The answer latency that the cap steers for, against the shortest target latency; its step an answer.
const TARGET_LATENCY_PER_OBJECTIVE: f64 = 0.35;
const LIMIT_STEP: f64 = 0.03;
/// Up to so much of that latency, and as much again as its part, an op that yields may go to an idle store.
const IDLE_STORE_LATENCY_SLACK: f64 = 0.75;
/// How often what only time changes is looked at, against the shortest target latency.
const SWEEP_INTERVAL_PER_OBJECTIVE: f64 = 0.0625;
/// Silence that puts a store in doubt, against the shortest target latency and the store's average latency.
const SILENCE_TIMEOUT_FACTORS: (f64, f64) = (0.5, 4.0);
/// The part of the multiple in the rule on cold stores that ops spaced by their volume may use.
const PACED_SLOW_START_SHARE: f64 = 0.375;
/// A volume idle at a store for so long is dropped; what is recalled fades within the same span.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The part of an allowance that a promise keeps undrawn, and how much longer than promised it is kept.
const RESERVED_TOKEN_SHARE: f64 = 0.5;
const RESERVATION_MARGIN: f64 = 1.25;
/// So many former limits of a plan are told apart; of earlier ones the least counts.
const MAX_PREVIOUS_LIMITS: usize = 16;

#[derive(Clone, Copy, PartialEq)]
enum Idempotency {
    Always,
    ByKey,
    ByKeyInZone,
    ByKeyInShard,
    Never,
}

struct OpType {
    target: Duration,
    op_timeout: Duration,
    /// The longest time that a client of such an op still waited on its arrival lately, and when that was.
    longest_remaining: (Duration, Duration),
    /// Against the best op type's.
    priority_weight: f64,
    idempotency: Idempotency,
    dedup_span: Duration,
    ordered_by_key: bool,
}

#[derive(Clone)]
struct Plan {
    /// Against the plans' mean.
    weight: f64,
    limit: f64,
    limit_burst: f64,
    /// Limits and bursts that were in force, each until when: a volume's part fills as it would have then.
    previous_limits: VecDeque<(Duration, f64, f64)>,
    rate: f64,
    /// Units a second before a volume yields: its reserve, and by weight what the plans' rates go beyond it.
    guaranteed_rate: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum AttemptState {
    InFlight,
    NotExecuted,
    MaybeExecuted,
}

struct Attempt {
    store: StoreId,
    at: Duration,
    state: AttemptState,
}

struct PendingOp {
    op: Op,
    /// Until when an answer earns the full utility, and when the final answer is due.
    objective_at: Duration,
    deadline_at: Duration,
    queued_at: Option<StoreId>,
    attempts: Vec<Attempt>,
    ended: bool,
}

impl PendingOp {
    fn out(&self) -> bool {
        self.attempts.iter().any(|dispatch| dispatch.state == AttemptState::InFlight)
    }
}

#[derive(Default)]
struct VolumeQueue {
    held: Vec<OpId>,
    /// The same with their keys, of most utility first, then as they were taken.
    ranked: Vec<(OpId, Option<u64>)>,
    out: usize,
    tag: f64,
    latency: f64,
    seen: Duration,
    paced_to: Duration,
}

impl VolumeQueue {
    fn active(&self) -> bool {
        !self.held.is_empty() || self.out > 0
    }
}

struct Quantum {
    volume: VolumeId,
    count: f64,
    ends: Duration,
}

#[derive(Default)]
struct Store {
    listing: Endpoint,
    /// Units sent, with their times, within the last span of the rule on cold stores.
    recent_sends: Vec<(Duration, f64)>,
    out: BTreeMap<(OpId, u32), (Duration, f64)>,
    units_out: f64,
    held: usize,
    volumes: BTreeMap<VolumeId, VolumeQueue>,
    turn: Option<Quantum>,
    last_key: Option<u64>,
    cap: f64,
    latency: f64,
    shortest: Duration,
    /// When the newest dispatch that it has answered was sent.
    reordered_until: Duration,
    /// Until then connections to it are taken to hang: an answer never came while later ones did.
    dropping_until: Duration,
    /// When it was last sent an op, and when this gateway heard that it is back, and that it drains.
    sent_at: Duration,
    back_at: Duration,
    drains_at: Option<Duration>,
    /// It may not answer, or is just back: until it does, ops go one at a time, no sooner than this.
    suspected_until: Option<Duration>,
    /// So many sweeps count as having looked at it.
    swept: u64,
}

impl Store {
    fn ready(&self) -> bool {
        self.listing.state == StoreState::Ready
    }
    fn goal(&self) -> f64 {
        self.shortest.as_secs_f64() * TARGET_LATENCY_PER_OBJECTIVE
    }
    fn patience(&self) -> Duration {
        self.shortest
            .mul_f64(SILENCE_TIMEOUT_FACTORS.0)
            .max(Duration::from_secs_f64(self.latency * SILENCE_TIMEOUT_FACTORS.1))
    }
    /// Departure: one overdue hangs if later ones overtook it or its store loses answers; it holds up none.
    fn is_stuck(&self, sent: Duration, now: Duration) -> bool {
        (sent < self.reordered_until || now < self.dropping_until) && sent + self.patience() < now
    }
    fn count_out(&mut self, now: Duration) {
        self.units_out =
            self.out.values().filter(|(sent, _)| !self.is_stuck(*sent, now)).map(|(_, u)| u).sum();
    }
    /// What sweeps up to the one at `now` do. With nothing held or out there, many later at once do the same.
    fn apply_missed_sweeps(&mut self, (sweeps, now): (u64, Duration), rules: &Rules) {
        let missed = sweeps - std::mem::replace(&mut self.swept, sweeps);
        if missed == 0 {
            return;
        }
        self.recent_sends.retain(|(at, _)| *at + 2 * rules["rules.fall_time"].1 >= now);
        self.volumes.retain(|_, share| share.active() || share.seen + IDLE_TIMEOUT > now);
        self.count_out(now);
        // Departure: an average that no answer renews fades, or what it keeps away would never show its end.
        let (seed, fade) = (
            self.shortest.as_secs_f64() * INITIAL_LATENCY_PER_OBJECTIVE,
            SWEEP_INTERVAL_PER_OBJECTIVE / rules["gateways"].0.max(1.0),
        );
        let faded = |from: &f64| Some(from + (seed - from) * fade).filter(|to| to != from);
        let times = if self.out.is_empty() { missed as usize } else { 0 };
        self.latency =
            std::iter::successors(Some(self.latency), faded).take(times + 1).last().unwrap_or(seed);
    }
}

#[derive(Default)]
struct KeyOrder {
    ops: VecDeque<OpId>,
    rest_until: Duration,
}

#[derive(Default)]
struct Volume {
    /// Rule 7: what is left of the gateway's part of the limit. It starts empty: it may be drawn down.
    tokens: f64,
    /// What stays undrawn, and until when, by the last two promises: a crash may come before one is kept.
    reserved_tokens: [(f64, Duration); 2],
    /// Units a second lately sent from here or told as served elsewhere, and the whole as stores told it.
    rate: f64,
    reported_rate: f64,
    at: Duration,
    plan: Option<usize>,
    gateways: f64,
}

impl Volume {
    /// Its part of the limit fills at what was in force at each time, its rate fades within a second.
    fn advance(&mut self, plan: &Plan, now: Duration) {
        let gateways = self.gateways.max(1.0);
        let (mut at, present) = (self.at, (now, plan.limit, plan.limit_burst));
        let was = plan.previous_limits.iter().filter(|(until, ..)| *until > self.at);
        for (until, limit, burst) in was.chain([&present]) {
            let past = until.saturating_sub(at).as_secs_f64();
            // Without a limit anything may have been drawn: a first limit starts from nothing.
            let filled = if *limit > 0.0 { self.tokens + limit / gateways * past } else { 0.0 };
            (self.tokens, at) = (filled.min(burst / gateways), *until);
        }
        let past = now.saturating_sub(self.at).as_secs_f64();
        (self.rate, self.reported_rate) = (self.rate * (-past).exp(), self.reported_rate * (-past).exp());
        self.at = now;
    }

    fn free(&self, now: Duration) -> f64 {
        let floors = self.reserved_tokens.iter().filter(|(_, until)| now < *until).map(|(floor, _)| *floor);
        self.tokens - floors.fold(0.0, f64::max)
    }
}

#[derive(Default)]
pub struct Scheduler {
    running: Option<SchedulerState>,
}

impl Scheduler {
    /// Takes what happened at `now` and returns what is to be done.
    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        for event in events {
            if let Event::Start { seed, settings } = event {
                match SchedulerState::start(now, seed, &settings) {
                    Ok(running) => self.running = Some(running),
                    Err(name) => return vec![Action::Fatal(format!("{name} is missing or unreadable"))],
                }
            } else if let Some(running) = &mut self.running {
                running.on_event(now, event);
            }
        }
        let Some(running) = &mut self.running else { return Vec::new() };
        running.dispatch_ready();
        std::mem::take(&mut running.actions)
    }

    /// How many stores something was at work at since the last sweep: what the next one may look at.
    pub fn at_work(&self) -> usize {
        self.running.as_ref().map_or(0, |running| running.active_stores.len())
    }
}

#[derive(Default)]
struct SchedulerState {
    now: Duration,
    started: Duration,
    seed: u64,
    draws: u64,
    rules: Rules,
    op_types: Vec<OpType>,
    plans: Vec<Plan>,
    mean_units: f64,
    least_units: f64,
    shortest: Duration,
    ops: BTreeMap<OpId, PendingOp>,
    stores: BTreeMap<StoreId, Store>,
    /// Stores by their shards; those where ops are held; and those that each sweep looks at: gone, or with
    /// ops held or out since the last. The others are caught up with before they are used.
    shards: BTreeSet<(u32, StoreId)>,
    holding: BTreeSet<StoreId>,
    active_stores: BTreeSet<StoreId>,
    /// How many sweeps there were, and when the last began. The next has come to a store in the order of ids.
    swept: (u64, Duration),
    swept_to: Option<StoreId>,
    caught_up: Option<StoreId>,
    key_orders: BTreeMap<u64, KeyOrder>,
    volumes: BTreeMap<VolumeId, Volume>,
    /// When ops were taken and further dispatches made, within the budget's span.
    taken: VecDeque<Duration>,
    retries: VecDeque<Duration>,
    list_failures: u32,
    subscribe_at: Option<Duration>,
    sweep_at: Duration,
    stalled: bool,
    ends: Option<Duration>,
    actions: Vec<Action>,
}

fn number(settings: &Settings, name: &str) -> Result<f64, String> {
    let value = settings.get(name).and_then(|text| text.parse::<f64>().ok());
    value.filter(|v| v.is_finite() && *v >= 0.0).ok_or_else(|| name.to_string())
}

fn span(settings: &Settings, name: &str) -> Result<Duration, String> {
    let span = Duration::try_from_secs_f64(number(settings, name)?).ok();
    // Danger: sums and small multiples of longer ones are more than can be counted.
    span.filter(|span| *span <= Duration::MAX / 64).ok_or_else(|| name.to_string())
}

type Read<T> = fn(&Settings, &str) -> Result<T, String>;

/// What may be absent. Danger: where it stands there unreadable it is not absent, or its rule would be off.
fn optional_setting<T: Default>(settings: &Settings, name: &str, read: Read<T>) -> Result<T, String> {
    if settings.contains_key(name) { read(settings, name) } else { Ok(T::default()) }
}

/// The other figures, as numbers and as spans: those that must be there, and those that may be absent.
type Rules = BTreeMap<&'static str, (f64, Duration)>;
const NEEDED: &str = "gateways tick rules.cold_time rules.fall_time";
const OTHERS: &str = "limits.max_dispatches limits.max_retry_after rules.ask_within rules.cold_from \
    rules.drain_grace rules.fall_multiple rules.further_free rules.further_share rules.further_span \
    rules.order_pause stores.cold_units";

fn hashed(value: impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}

/// The op types and plans that settings name, once all that rules are kept by can be read.
fn parse_settings(s: &Settings) -> Result<(Vec<OpType>, Vec<Plan>, Rules), String> {
    let word = |name: &str| s.get(name).map(String::as_str);
    if !matches!(word("discovery"), None | Some("pushed" | "asked")) {
        return Err("discovery".into());
    }
    let mut op_types = Vec::new();
    for i in 0..number(s, "op_types.count")? as usize {
        let name = |field: &str| format!("op_types.{i}.{field}");
        op_types.push(OpType {
            // Danger: the next look is a part of it away; with none there would be no end of looks.
            target: Some(span(s, &name("target_latency"))?)
                .filter(|target| !target.is_zero())
                .ok_or_else(|| name("target_latency"))?,
            op_timeout: optional_setting(s, &name("op_timeout"), span)?,
            longest_remaining: Default::default(),
            priority_weight: number(s, &name("utility"))?,
            idempotency: match (word(&name("repeats")), word(&name("dedup_scope"))) {
                (Some("replayable"), _) => Idempotency::Always,
                (Some("deduplicated"), Some("all")) => Idempotency::ByKey,
                (Some("deduplicated"), Some("zone")) => Idempotency::ByKeyInZone,
                (Some("deduplicated"), Some("cell") | None) => Idempotency::ByKeyInShard,
                (Some("deduplicated"), _) => return Err(name("dedup_scope")),
                (Some("once_only"), _) => Idempotency::Never,
                _ => return Err(name("repeats")),
            },
            dedup_span: optional_setting(s, &name("dedup_span"), span)?,
            ordered_by_key: word(&name("in_order"))
                .unwrap_or("false")
                .parse()
                .map_err(|_| name("in_order"))?,
        });
    }
    let (mut plans, mut present) = (Vec::new(), Vec::new());
    for i in 0..number(s, "plans.count")? as usize {
        let name = |field: &str| format!("plans.{i}.{field}");
        // A plan that is no more keeps its place and has no part in the means.
        let gone = word(&name("gone")) == Some("true");
        present.extend((!gone).then_some(i));
        plans.push(Plan {
            weight: if gone { 1.0 } else { number(s, &name("weight"))?.max(f64::MIN_POSITIVE) },
            limit: optional_setting(s, &name("limit"), number)?,
            limit_burst: optional_setting(s, &name("limit_burst"), number)?,
            previous_limits: VecDeque::new(),
            rate: if gone { 1.0 } else { number(s, &name("rate"))? },
            guaranteed_rate: optional_setting(s, &name("reserve"), number)?,
        });
    }
    let read = |name: &'static str| Ok((name, (number(s, name)?, span(s, name)?)));
    let others = OTHERS.split_whitespace().filter(|name| s.contains_key(*name));
    let rules = others.chain(NEEDED.split_whitespace()).map(read).collect::<Result<_, String>>()?;
    let best = op_types.iter().map(|t| t.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
    op_types.iter_mut().for_each(|op_type| op_type.priority_weight /= best);
    let of_all = |of: &dyn Fn(&Plan) -> f64| {
        present.iter().map(|i| of(&plans[*i])).sum::<f64>() / present.len() as f64
    };
    let mean_weight = of_all(&|plan| plan.weight);
    let spare = of_all(&|plan| (plan.rate - plan.guaranteed_rate) / (plan.weight / mean_weight));
    for plan in &mut plans {
        plan.weight /= mean_weight;
        plan.guaranteed_rate += plan.weight * spare;
    }
    Ok((op_types, plans, rules))
}

impl SchedulerState {
    fn start(now: Duration, seed: u64, s: &Settings) -> Result<SchedulerState, String> {
        let (op_types, plans, rules) = parse_settings(s)?;
        let shortest = op_types.iter().map(|t| t.target).min().ok_or("op_types.count")?;
        let mut running = SchedulerState {
            now,
            started: now,
            seed,
            mean_units: number(s, "stores.mean_units")?,
            least_units: f64::INFINITY,
            op_types,
            plans,
            shortest,
            subscribe_at: s.get("discovery").is_some_and(|word| word == "asked").then_some(now),
            rules,
            ..SchedulerState::default()
        };
        running.sweep();
        Ok(running)
    }

    fn setting(&self, name: &str, otherwise: f64) -> f64 {
        self.rules.get(name).map_or(otherwise, |(number, _)| *number)
    }

    fn setting_span(&self, name: &str) -> Duration {
        self.rules.get(name).map_or(Duration::ZERO, |(_, span)| *span)
    }

    fn op_type(&self, taken: &PendingOp) -> &OpType {
        &self.op_types[taken.op.op_type]
    }

    fn random_fraction(&mut self) -> f64 {
        self.draws += 1;
        hashed((self.seed, self.draws)) as f64 / u64::MAX as f64
    }

    fn on_event(&mut self, now: Duration, event: Event) {
        // A timer that rings late tells of this gateway's own stall: what spans it is no store's doing.
        if now > self.now {
            (self.stalled, self.now) =
                (now > self.sweep_at + self.shortest.mul_f64(SWEEP_INTERVAL_PER_OBJECTIVE), now);
        }
        if matches!(event, Event::SettingsChanged { .. } | Event::TakeSnapshot { .. } | Event::Restore { .. })
        {
            self.stores.values_mut().for_each(|store| store.apply_missed_sweeps(self.swept, &self.rules));
        }
        match event {
            Event::EndpointList(news) => self.on_endpoint_list(news),
            Event::OpArrived(op) => self.on_arrival(op),
            Event::StreamStarted { op } => {
                _ = self.ops.get_mut(&op).map(|taken| taken.deadline_at = Duration::MAX)
            }
            Event::AttemptFinished(answer) => self.on_attempt_finished(&answer),
            Event::ClientDisconnected { op } => self.on_op_ended(op),
            Event::OpPlaced { op, shard } => _ = self.ops.get_mut(&op).map(|t| t.op.shard = Some(shard)),
            Event::SettingsChanged { settings } => self.on_settings_changed(settings),
            Event::VolumeMoved { volume, plan, gateways } => self.on_volume_moved(volume, plan, gateways),
            Event::ShuttingDown { at } => {
                // Danger: what is open when the gateway ends is lost, however long its client would wait.
                self.ops.values_mut().for_each(|taken| taken.deadline_at = taken.deadline_at.min(at));
                self.ends = Some(at);
            }
            Event::TakeSnapshot { promise_duration: promised } => self.snapshot(promised),
            Event::Restore { age, promise_duration: promised, stores, volumes } => {
                self.restore(age, promised, (stores, volumes))
            }
            Event::Timer { .. } if now >= self.sweep_at => self.sweep(),
            Event::Timer { .. } | Event::HealthChecked { .. } | Event::Start { .. } => {}
        }
    }

    fn on_endpoint_list(&mut self, news: EndpointListUpdate) {
        let (whole, listings) = match news {
            EndpointListUpdate::Failed => {
                // Ask again, later each time and not in step with others: the list serves few calls at once.
                self.list_failures += 1;
                let wait = self.setting_span("rules.ask_within") / 2u32.pow(5 - self.list_failures.min(4));
                return self.subscribe_at = Some(self.now + wait.mul_f64(1.0 + self.random_fraction()));
            }
            EndpointListUpdate::Changes(listings) => (false, listings),
            EndpointListUpdate::Whole(listings) | EndpointListUpdate::Cached(listings) => (true, listings),
        };
        self.list_failures = 0;
        if whole {
            let named: BTreeSet<StoreId> = listings.iter().map(|listing| listing.store).collect();
            let unnamed: Vec<_> = self.stores.keys().filter(|id| !named.contains(id)).copied().collect();
            unnamed.into_iter().for_each(|id| self.activate(id).listing.state = StoreState::Gone);
        }
        listings.into_iter().for_each(|listing| self.on_endpoint(listing));
    }

    /// A store at which something is at work from now on, as sweeps up to now would have left it.
    fn activate(&mut self, id: StoreId) -> &mut Store {
        let (sweeps, at) = self.swept;
        let swept = if Some(id) <= self.swept_to { (sweeps + 1, self.now) } else { (sweeps, at) };
        self.active_stores.insert(id);
        let store = self.stores.get_mut(&id).expect("a listed store is known");
        store.apply_missed_sweeps(swept, &self.rules);
        store
    }

    fn on_endpoint(&mut self, listing: Endpoint) {
        let known = self.stores.get(&listing.store);
        let news = known.is_none_or(|known| known.listing.started_at != listing.started_at || !known.ready());
        let back = news && listing.state == StoreState::Ready && listing.started_at.is_some();
        let drains = known.is_some_and(Store::ready) && listing.state == StoreState::Draining;
        let cold =
            self.slow_start_progress(&listing).map_or(SWEEP_INTERVAL_PER_OBJECTIVE, |slow_start_progress| {
                (1.0 - slow_start_progress).max(SWEEP_INTERVAL_PER_OBJECTIVE)
            });
        let open_at = self.now + self.setting_span("rules.fall_time").mul_f64(cold * self.random_fraction());
        let (now, shortest, swept) = (self.now, self.shortest, self.swept.0);
        let (latency, cap) =
            (shortest.as_secs_f64() * INITIAL_LATENCY_PER_OBJECTIVE, INITIAL_LIMIT_OPS * self.mean_units);
        let new = || Store { cap, latency, shortest, reordered_until: now, swept, ..Store::default() };
        let store = self.stores.entry(listing.store).or_insert_with(new);
        self.shards.remove(&(store.listing.shard, listing.store));
        self.shards.insert((listing.shard, listing.store));
        let store = self.activate(listing.store);
        store.drains_at = if drains { Some(now) } else { store.drains_at };
        // A store just back meets all gateways at once: a random wait, longer for a colder one, spreads them.
        (store.back_at, store.suspected_until) =
            if back { (now, Some(open_at)) } else { (store.back_at, store.suspected_until) };
        store.listing = listing;
    }

    /// Tells what is known. The floors bind from now on, or a crash in a moment would make them untrue.
    fn snapshot(&mut self, promised: Duration) {
        let until = self.now + promised.mul_f64(RESERVATION_MARGIN);
        let known = |(id, store): (&StoreId, &Store)| {
            let tags = store.volumes.iter().map(|(volume, share)| (*volume, share.tag)).collect();
            StoreSnapshot {
                store: *id,
                latency: store.latency,
                concurrency_limit: store.cap,
                virtual_times: tags,
            }
        };
        let stores = self.stores.iter().filter(|(_, store)| store.ready()).map(known).collect();
        let mut volumes = Vec::new();
        for (id, volume) in &mut self.volumes {
            let floor = volume.tokens.max(0.0) * RESERVED_TOKEN_SHARE;
            volume.reserved_tokens = [volume.reserved_tokens[1], (floor, until)];
            volumes.push(VolumeSnapshot {
                volume: *id,
                rate: volume.rate,
                reported_rate: volume.reported_rate,
                reserved_tokens: floor,
            });
        }
        self.actions.push(Action::Snapshot { stores, volumes });
    }

    /// Believes an earlier run the less the older it is. Rule 7: of a limit only what it promised to keep.
    fn restore(
        &mut self,
        age: Option<Duration>,
        kept: Duration,
        of: (Vec<StoreSnapshot>, Vec<VolumeSnapshot>),
    ) {
        let Some(age) = age else { return };
        let (trust, past) = ((-age.as_secs_f64() / IDLE_TIMEOUT.as_secs_f64()).exp(), age.as_secs_f64());
        let (mean, now, shortest) = (self.mean_units, self.now, self.shortest.as_secs_f64());
        for memory in of.0 {
            let Some(store) = self.stores.get_mut(&memory.store) else { continue };
            store.latency += trust * (memory.latency - store.latency);
            store.cap += trust
                * (memory.concurrency_limit.clamp(mean * MIN_LIMIT_OPS, mean * MAX_LIMIT_OPS) - store.cap);
            for (volume, tag) in memory.virtual_times {
                let share = || VolumeQueue {
                    latency: shortest * INITIAL_LATENCY_PER_OBJECTIVE,
                    seen: now,
                    ..VolumeQueue::default()
                };
                store.volumes.entry(volume).or_insert_with(share).tag += trust * tag;
                self.volumes.entry(volume).or_default();
            }
        }
        for memory in of.1 {
            let volume = self.volumes.entry(memory.volume).or_default();
            (volume.rate, volume.reported_rate) =
                (memory.rate * (-past).exp(), memory.reported_rate * (-past).exp());
            volume.tokens += if age <= kept { memory.reserved_tokens } else { 0.0 };
            volume.at = now;
        }
    }

    fn on_settings_changed(&mut self, settings: Settings) {
        let (mut op_types, mut plans, rules) = match parse_settings(&settings) {
            Ok(read) if read.0.len() >= self.op_types.len() && read.1.len() >= self.plans.len() => read,
            read => {
                let name = read.err().unwrap_or("op_types.count or plans.count".into());
                return self.actions.push(Action::Log(format!("settings not taken: {name} cannot hold")));
            }
        };
        op_types
            .iter_mut()
            .zip(&self.op_types)
            .for_each(|(new, old)| new.longest_remaining = old.longest_remaining);
        for (plan, old) in plans.iter_mut().zip(&mut self.plans) {
            plan.previous_limits = std::mem::take(&mut old.previous_limits);
            if (plan.limit, plan.limit_burst) != (old.limit, old.limit_burst) {
                plan.previous_limits.push_back((self.now, old.limit, old.limit_burst));
            }
            if plan.previous_limits.len() > MAX_PREVIOUS_LIMITS
                && let Some(((_, limit, burst), next)) =
                    plan.previous_limits.pop_front().zip(plan.previous_limits.front_mut())
            {
                (next.1, next.2) = (next.1.min(limit), next.2.min(burst));
            }
        }
        (self.op_types, self.plans, self.rules) = (op_types, plans, rules);
    }

    /// Danger: what is new may have been there before, so its part starts empty; held ops go by the new plan.
    fn on_volume_moved(&mut self, volume: VolumeId, plan: usize, gateways: f64) {
        let Some(_) = self.plans.get(plan) else { return };
        self.volumes.entry(volume).or_insert(Volume { at: self.now, ..Volume::default() });
        self.belongs(volume, plan, gateways);
        let shares = self.holding.iter().filter_map(|id| self.stores[id].volumes.get(&volume));
        for id in shares.flat_map(|share| &share.held) {
            let op = &mut self.ops.get_mut(id).expect("a held op is known").op;
            (op.plan, op.gateways) = (plan, gateways);
        }
    }

    fn belongs(&mut self, id: VolumeId, plan: usize, gateways: f64) {
        let volume = self.volumes.entry(id).or_insert(Volume { at: self.started, ..Volume::default() });
        if let Some(last) = volume.plan {
            volume.advance(&self.plans[last], self.now);
        }
        (volume.plan, volume.gateways) = (Some(plan), gateways);
        volume.advance(&self.plans[plan], self.now);
    }

    fn on_arrival(&mut self, op: Op) {
        // The final answer must be in before the client's own time is up; a sweep may come this much late.
        let margin = self.shortest.mul_f64(SWEEP_INTERVAL_PER_OBJECTIVE) + 3 * self.setting_span("tick");
        let (Some(op_type), Some(_)) = (self.op_types.get_mut(op.op_type), self.plans.get(op.plan)) else {
            return self.actions.push(Action::Fail { op: op.id });
        };
        self.taken.push_back(self.now);
        self.least_units = self.least_units.min(op.units);
        // Earlier tries show against the longest left. Danger: kept, one patient client made all others late.
        let old = op_type.longest_remaining;
        let renews = op.time_left >= old.0 || old.1 + IDLE_TIMEOUT < self.now;
        op_type.longest_remaining = if renews { (op.time_left, self.now) } else { old };
        let waited = op_type.longest_remaining.0.min(op_type.op_timeout).saturating_sub(op.time_left);
        let taken = PendingOp {
            objective_at: self.now + op_type.target.saturating_sub(waited),
            deadline_at: (self.now + op.time_left.saturating_sub(margin))
                .min(self.ends.unwrap_or(Duration::MAX)),
            queued_at: None,
            attempts: Vec::new(),
            ended: false,
            op,
        };
        let id = taken.op.id;
        let key = taken.op.key.filter(|_| op_type.ordered_by_key);
        _ = key.map(|key| self.key_orders.entry(key).or_default().ops.push_back(id));
        self.belongs(taken.op.volume, taken.op.plan, taken.op.gateways);
        let hopeless = taken.deadline_at <= self.now;
        self.ops.insert(id, taken);
        if hopeless { self.give_up(id) } else { self.enqueue(id) }
    }

    fn enqueue(&mut self, id: OpId) {
        let to = self.preferred_store(&self.ops[&id]);
        let taken = self.ops.get_mut(&id).expect("a held op is known");
        let (volume, target) = (taken.op.volume, self.op_types[taken.op.op_type].target);
        if to.is_some() && to == taken.queued_at {
            return;
        }
        _ = taken.queued_at.take().map(|from| self.dequeue(id, from, volume));
        let Some(to) = to else { return self.give_up(id) };
        self.ops.get_mut(&id).expect("a held op is known").queued_at = Some(to);
        self.holding.insert(to);
        self.activate(to).held += 1;
        let store = self.stores.get_mut(&to).expect("a home is known");
        // With none active the greatest tag: behind what was served alone, a volume would wait for as much.
        let tags = |active: bool| store.volumes.values().filter(move |s| s.active() == active).map(|s| s.tag);
        let floor = tags(true).reduce(f64::min).or(tags(false).reduce(f64::max)).unwrap_or(0.0);
        let newcomer = VolumeQueue {
            tag: floor,
            latency: target.as_secs_f64() * INITIAL_LATENCY_PER_OBJECTIVE,
            ..VolumeQueue::default()
        };
        let share = store.volumes.entry(volume).or_insert(newcomer);
        (share.tag, share.seen) = (share.tag.max(floor), self.now);
        let order = |id: &OpId| (-self.op_types[self.ops[id].op.op_type].priority_weight, *id);
        let at = share.ranked.partition_point(|(held, _)| order(held) < order(&id));
        share.ranked.insert(at, (id, self.ops[&id].op.key));
        share.held.push(id);
    }

    fn dequeue(&mut self, id: OpId, store: StoreId, volume: VolumeId) {
        let Some(place) = self.stores.get_mut(&store) else { return };
        place.held -= 1;
        _ = (place.held == 0).then(|| self.holding.remove(&store));
        if let Some(share) = place.volumes.get_mut(&volume) {
            share.held.retain(|op| *op != id);
            share.ranked.retain(|(op, _)| *op != id);
        }
    }

    /// The first in rank that has not enough: by age within a shard, by the volume's hash for a new object.
    fn preferred_store(&self, taken: &PendingOp) -> Option<StoreId> {
        let shard = taken.op.shard;
        let of_shard = shard.map(|shard| (shard, StoreId(0))..=(shard, StoreId(u32::MAX)));
        let of_volume = |store: &Store| hashed((taken.op.volume_name, store.listing.shard));
        let rank = |s: &Store| shard.map_or((None, of_volume(s)), |_| (s.listing.started_at, 0));
        let rounds = |store: &Store| {
            if store.suspected_until.is_some() || self.slow_start_progress(&store.listing).is_some() {
                return u64::MAX;
            }
            let load = (store.units_out + store.held as f64 * self.mean_units) / store.cap;
            if load < 1.0 { 0 } else { (load / QUANTUM_PER_OBJECTIVE) as u64 }
        };
        let ids = || of_shard.iter().flat_map(|range| self.shards.range(range.clone()));
        let all = || shard.is_none().then_some(&self.stores).into_iter().flatten();
        let stores = || ids().map(|(_, id)| (id, &self.stores[id])).chain(all());
        let ready = stores().filter(|(id, store)| store.ready() && self.may_resend(taken, **id));
        let best = ready.min_by_key(|(_, store)| (rounds(store), rank(store)));
        let newest = || stores().max_by_key(|(_, store)| store.listing.started_at);
        best.or_else(|| newest().filter(|_| shard.is_some())).map(|(id, _)| *id)
    }

    /// Rule 2: no effect twice, and no two dispatches at once where they are not allowed.
    fn may_resend(&self, taken: &PendingOp, to: StoreId) -> bool {
        let op_type = self.op_type(taken);
        let ran = taken.attempts.iter().find(|d| d.state != AttemptState::NotExecuted);
        let Some(first) = ran.filter(|_| op_type.idempotency != Idempotency::Always) else {
            return !taken.out();
        };
        let Some((a, b)) = self.stores.get(&first.store).zip(self.stores.get(&to)) else { return false };
        let remembered = !taken.out() && self.now + self.setting_span("tick") < first.at + op_type.dedup_span;
        match op_type.idempotency {
            Idempotency::Always | Idempotency::ByKey => remembered,
            Idempotency::ByKeyInZone => remembered && a.listing.zone == b.listing.zone,
            Idempotency::ByKeyInShard => remembered && a.listing.shard == b.listing.shard,
            Idempotency::Never => false,
        }
    }

    /// Further dispatches go by utility: all that are allowed for the op type worth most, fewer for others.
    fn dispatches_left(&self, taken: &PendingOp) -> bool {
        let most = self.setting("limits.max_dispatches", 1.0).max(1.0);
        (taken.attempts.len() as f64) < 1.0 + ((most - 1.0) * self.op_type(taken).priority_weight).round()
    }

    /// Rule 6. In order of time: to look through all for each held op would cost more the more came.
    fn budget_left(&self) -> bool {
        let Some((share, _)) = self.rules.get("rules.further_share") else { return true };
        let since = self.now.saturating_sub(self.setting_span("rules.further_span"));
        let taken = (self.taken.len() - self.taken.partition_point(|at| *at <= since)) as f64;
        let retries = (self.retries.len() - self.retries.partition_point(|at| *at < since)) as f64;
        retries + 1.0 <= self.setting("rules.further_free", 0.0) + share * taken
    }

    /// Rule 3. Departure: one that drains serves on within the grace, as ops on its data have no other place.
    fn usable(&self, store: &Store) -> bool {
        let grace = self.setting_span("rules.drain_grace").mul_f64(1.0 - SWEEP_INTERVAL_PER_OBJECTIVE);
        let draining = store.drains_at.filter(|_| store.listing.state == StoreState::Draining);
        store.ready() || draining.is_some_and(|at| self.now < at + grace)
    }

    /// The least part of its full work that a store can carry at its age; absent: it is warm.
    fn slow_start_progress(&self, listing: &Endpoint) -> Option<f64> {
        let age = self.now.saturating_sub(listing.started_at?).as_secs_f64();
        let (from, whole) = (self.setting("rules.cold_from", 1.0), self.setting("rules.cold_time", 0.0));
        (age < whole).then(|| from + (1.0 - from) * age / whole)
    }

    /// Rule 4: a gateway's even part of what a cold store bears, nothing within a span of the start, as an
    /// earlier run's ops count. Departure: a volume's ops also go spaced by `pace`, the first at random.
    fn bears(&self, store: &Store, op: &Op, slow_start_progress: f64) -> bool {
        let window = self.setting_span("rules.fall_time");
        let recent = store.recent_sends.iter().filter(|(at, _)| *at + window >= self.now);
        let spent: f64 = recent.map(|(_, units)| units).sum();
        let from = self.setting("rules.cold_from", 1.0).max(f64::MIN_POSITIVE);
        let bearable = self.setting("stores.cold_units", self.mean_units) * slow_start_progress / from;
        let even = bearable / self.setting("gateways", 1.0).max(1.0);
        let phase = hashed((self.seed, op.volume, store.back_at)) as f64 / u64::MAX as f64;
        let to = store.volumes[&op.volume].paced_to;
        let due = |pace: &Duration| self.now >= to.max(store.back_at + pace.mul_f64(phase));
        // Danger: beside the even part, or each volume's by itself, what is paced passes the rule in sum.
        let paced =
            self.pace(op, slow_start_progress).filter(due).map_or(0.0, |_| self.mean_units.max(op.units));
        self.now >= self.started + window && op.units + spent <= even.max(paced)
    }

    /// How long a volume waits after such an op to a cold store: its gateways together go by the plan's rate.
    fn pace(&self, op: &Op, slow_start_progress: f64) -> Option<Duration> {
        let part = self.setting("rules.fall_multiple", 0.0) * PACED_SLOW_START_SHARE * slow_start_progress;
        let wait = op.units * op.gateways.max(1.0) / (self.plans[op.plan].rate * part);
        Duration::try_from_secs_f64(wait).ok()
    }

    /// Rule 5: it is this op's turn among those of its key.
    fn in_turn(&self, taken: &PendingOp) -> bool {
        let key = taken.op.key.filter(|_| self.op_type(taken).ordered_by_key);
        let Some(line) = key.and_then(|key| self.key_orders.get(&key)) else { return true };
        let rested = self.now >= line.rest_until || !taken.attempts.is_empty();
        line.ops.front() == Some(&taken.op.id) && rested
    }

    /// Answered late. Danger: counted for more than half, a slow spell made all late and had no end.
    fn misses_objective(&self, taken: &PendingOp, store: &Store) -> bool {
        let expected = Duration::from_secs_f64(store.latency).min(self.op_type(taken).target / 2);
        self.now + expected > taken.objective_at
    }

    fn dispatch_ready(&mut self) {
        let holding: Vec<StoreId> = self.holding.iter().copied().collect();
        for id in holding {
            while let Some(op) = self.next_op(id) {
                self.dispatch(op, id);
            }
        }
    }

    fn select_next(&self, store: StoreId, volume: VolumeId) -> Option<OpId> {
        let place = &self.stores[&store];
        let (slow_start_progress, left) =
            (self.slow_start_progress(&place.listing), self.volumes[&volume].free(self.now));
        let may_go = |id: &OpId| {
            let taken = &self.ops[id];
            let in_limit = || self.plans[taken.op.plan].limit <= 0.0 || left >= taken.op.units;
            slow_start_progress
                .is_none_or(|slow_start_progress| self.bears(place, &taken.op, slow_start_progress))
                && self.in_turn(taken)
                && self.may_resend(taken, store)
                && if taken.attempts.is_empty() { in_limit() } else { self.budget_left() }
                && self.now < taken.deadline_at
                && self.leaves_room(place, taken)
                && !self.misses_objective(taken, place)
        };
        let able = || place.volumes.get(&volume).into_iter().flat_map(|share| &share.ranked);
        let run = able().find(|(id, key)| key.is_some() && *key == place.last_key && may_go(id));
        run.or_else(|| able().find(|(id, _)| may_go(id))).map(|(id, _)| *id)
    }

    /// Departure: it has as much of the cap as its utility is of the best and its volume's due of the rate.
    fn leaves_room(&self, store: &Store, taken: &PendingOp) -> bool {
        let volume = &self.volumes[&taken.op.volume];
        let due =
            (self.plans[taken.op.plan].guaranteed_rate / volume.rate.max(volume.reported_rate)).min(1.0);
        let part = self.op_type(taken).priority_weight * due;
        let calm = store.latency <= store.goal() * (IDLE_STORE_LATENCY_SLACK + part);
        part >= 1.0 || store.units_out == 0.0 && calm || store.units_out + taken.op.units <= store.cap * part
    }

    fn next_op(&mut self, id: StoreId) -> Option<OpId> {
        let store = &self.stores[&id];
        let (out, cap) = (store.units_out, store.cap);
        let full = out > 0.0 && out + self.least_units > cap;
        if full || !self.usable(store) || store.suspected_until.is_some_and(|trial_at| self.now < trial_at) {
            return None;
        }
        // Departure: a cap below one op spaces ops in time, or many gateways of one op each bury a store.
        let gap = store.goal() * (self.mean_units / cap - 1.0).max(0.0);
        let spaced = store.sent_at + Duration::from_secs_f64(gap) <= self.now;
        let fits = |op: &OpId| out == 0.0 && spaced || out + self.ops[op].op.units <= cap;
        let holder = store.turn.as_ref().and_then(|turn| Some((turn, self.select_next(id, turn.volume)?)));
        if let Some((Quantum { volume, count, ends }, op)) = holder {
            if *count >= 1.0 && self.now < *ends {
                return fits(&op).then_some(op);
            }
            let mut out = store.out.iter().filter(|((op, _), _)| self.ops[op].op.volume == *volume);
            if store.suspected_until.is_none() && out.any(|(_, (sent, _))| !store.is_stuck(*sent, self.now)) {
                return None;
            }
        }
        let waiting = store.volumes.iter().filter(|(_, share)| !share.held.is_empty());
        let mut waiting: Vec<_> = waiting.map(|(volume, share)| (share.tag, *volume)).collect();
        waiting.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let mut able =
            waiting.iter().filter_map(|(_, volume)| Some((*volume, self.select_next(id, *volume)?)));
        let (volume, op) = able.next().filter(|(_, op)| fits(op))?;
        let store = self.stores.get_mut(&id)?;
        let quantum = store.shortest.mul_f64(QUANTUM_PER_OBJECTIVE);
        let count = quantum.as_secs_f64() / store.volumes[&volume].latency * store.cap / self.mean_units;
        store.turn = Some(Quantum { volume, count: count.max(1.0), ends: self.now + quantum });
        Some(op)
    }

    fn dispatch(&mut self, id: OpId, to: StoreId) {
        let taken = self.ops.get_mut(&id).expect("a picked op is known");
        let op = taken.op.clone();
        taken.queued_at = None;
        if !taken.attempts.is_empty() {
            self.retries.push_back(self.now);
        } else if let Some(volume) = self.volumes.get_mut(&op.volume) {
            (volume.tokens, volume.rate) = (volume.tokens - op.units, volume.rate + op.units);
        }
        let number = taken.attempts.len() as u32;
        taken.attempts.push(Attempt { store: to, at: self.now, state: AttemptState::InFlight });
        let timeout = taken.deadline_at.saturating_sub(self.now);
        let pace = self
            .slow_start_progress(&self.stores[&to].listing)
            .and_then(|slow_start_progress| self.pace(&op, slow_start_progress));
        self.dequeue(id, to, op.volume);
        let store = self.stores.get_mut(&to).expect("a picked store is known");
        store.out.insert((id, number), (self.now, op.units));
        store.count_out(self.now);
        store.recent_sends.push((self.now, op.units));
        (store.sent_at, store.last_key) = (self.now, op.key);
        store.suspected_until =
            store.suspected_until.map(|_| self.now + self.shortest.mul_f64(SILENCE_TIMEOUT_FACTORS.0));
        let share = store.volumes.get_mut(&op.volume).expect("a picked volume is known");
        (share.seen, share.paced_to) = (self.now, self.now + pace.unwrap_or_default());
        (share.out, share.tag) = (share.out + 1, share.tag + op.units / self.plans[op.plan].weight);
        _ = store.turn.as_mut().map(|turn| turn.count -= 1.0);
        self.actions.push(Action::StartAttempt { op: id, store: to, timeout });
    }

    fn on_attempt_finished(&mut self, answer: &AttemptResult) {
        let (now, mean, shortest) = (self.now, self.mean_units, self.shortest);
        let pause = self.setting_span("rules.order_pause");
        let Some(taken) = self.ops.get_mut(&answer.op) else { return };
        let dispatch = taken.attempts.get_mut(answer.attempt as usize);
        let Some(dispatch) = dispatch.filter(|d| d.state == AttemptState::InFlight) else { return };
        dispatch.state = match answer.outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => AttemptState::NotExecuted,
            _ => AttemptState::MaybeExecuted,
        };
        let (place, at) = (dispatch.store, dispatch.at);
        let (volume, key, plan) = (taken.op.volume, taken.op.key, taken.op.plan);
        let latency = answer.latency.as_secs_f64() / (taken.op.units / mean).max(1.0);
        use Outcome::{Cancelled, Reset, TimedOut, Unknown};
        let unsure = matches!(answer.outcome, TimedOut | Reset | Cancelled | Unknown);
        let line = key.filter(|_| unsure).and_then(|key| self.key_orders.get_mut(&key));
        _ = line.map(|line| line.rest_until = now + pause);
        if let Some(known) = self.volumes.get_mut(&volume) {
            known.rate += answer.units_elsewhere;
            known.reported_rate = answer
                .plan_rate_used
                .map_or(known.reported_rate, |used| known.reported_rate.max(used * self.plans[plan].rate));
        }
        if let Some(store) = self.stores.get_mut(&place) {
            store.out.remove(&(answer.op, answer.attempt));
            store.count_out(now);
            if let Some(share) = store.volumes.get_mut(&volume) {
                (share.out, share.seen) = (share.out.saturating_sub(1), now);
                share.tag += answer.units_elsewhere / self.plans[plan].weight;
                if answer.outcome == Outcome::Succeeded && !self.stalled {
                    share.latency += LATENCY_SMOOTHING * (latency - share.latency);
                }
            }
            let lost = answer.outcome == Outcome::TimedOut && at < store.reordered_until;
            store.dropping_until = if lost { now + IDLE_TIMEOUT } else { store.dropping_until };
            let gap = at.saturating_sub(store.reordered_until).as_secs_f64() / shortest.as_secs_f64();
            let smoothing = LATENCY_SMOOTHING * gap.clamp(1.0, 2.0);
            match answer.outcome {
                Outcome::Succeeded | Outcome::Failed => {
                    store.suspected_until = None;
                    store.reordered_until = store.reordered_until.max(at);
                }
                Outcome::NotSent | Outcome::Cancelled | Outcome::Unknown => {}
                _ => {
                    store.suspected_until =
                        store.suspected_until.or(Some(now + shortest.mul_f64(SILENCE_TIMEOUT_FACTORS.0)))
                }
            }
            if answer.outcome == Outcome::Succeeded && !self.stalled {
                store.latency += smoothing * (latency - store.latency);
                let (goal, full) = (store.goal(), store.units_out + 2.0 * mean > store.cap);
                let step = if full { mean * self.plans[plan].weight } else { 0.0 };
                if store.cap >= mean {
                    store.cap += LIMIT_STEP * if store.latency > goal { -store.cap } else { step };
                    store.cap = store.cap.clamp(mean, MAX_LIMIT_OPS * mean);
                } else if latency < shortest.as_secs_f64() {
                    store.cap /= QUANTUM_PER_OBJECTIVE;
                }
            }
            let late = store.latency > OVERLOAD_LATENCY_PER_OBJECTIVE * shortest.as_secs_f64();
            if answer.outcome == Outcome::Rejected || late && store.reordered_until <= at && !self.stalled {
                store.cap = (store.cap / 2.0).max(mean * MIN_LIMIT_OPS);
            }
        }
        let taken = &self.ops[&answer.op];
        if answer.op_ended || taken.ended {
            return self.on_op_ended(answer.op);
        }
        let again =
            answer.outcome != Outcome::TimedOut && self.dispatches_left(taken) && now < taken.deadline_at;
        if again { self.enqueue(answer.op) } else { self.give_up(answer.op) }
    }

    fn on_op_ended(&mut self, id: OpId) {
        let Some(taken) = self.ops.get_mut(&id) else { return };
        taken.ended = true;
        let (out, key, volume) = (taken.out(), taken.op.key, taken.op.volume);
        _ = taken.queued_at.take().map(|store| self.dequeue(id, store, volume));
        if !out {
            self.ops.remove(&id);
            if let Some(line) = key.and_then(|key| self.key_orders.get_mut(&key)) {
                line.ops.retain(|op| *op != id);
            }
        }
    }

    fn give_up(&mut self, id: OpId) {
        let taken = &self.ops[&id];
        let op_type = self.op_type(taken);
        let never_ran = taken.attempts.iter().all(|d| d.state == AttemptState::NotExecuted);
        let throttled = never_ran || matches!(op_type.idempotency, Idempotency::Always | Idempotency::ByKey);
        let retry_after = op_type.target.min(self.setting_span("limits.max_retry_after"));
        let throttle = Action::Reject { op: id, retry_after };
        self.actions.push(if throttled { throttle } else { Action::Fail { op: id } });
        self.on_op_ended(id);
    }

    fn sweep(&mut self) {
        let now = self.now;
        self.sweep_at = now + self.shortest.mul_f64(SWEEP_INTERVAL_PER_OBJECTIVE);
        self.actions.push(Action::SetTimer { token: 0, at: self.sweep_at });
        self.actions.extend(self.subscribe_at.take_if(|at| now >= *at).map(|_| Action::WatchEndpoints));
        let due = |taken: &PendingOp| !taken.ended && now >= taken.deadline_at;
        let over: Vec<OpId> = self.ops.iter().filter(|(_, t)| due(t)).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.give_up(id));
        // A store that is gone is dropped once nothing of it counts, not even against its next start.
        let at_work = |s: &Store| s.held > 0 || !s.out.is_empty();
        let over =
            |s: &Store| s.listing.state == StoreState::Gone && !at_work(s) && s.recent_sends.is_empty();
        if self.active_stores.iter().any(|id| over(&self.stores[id])) {
            self.stores.retain(|_, store| !over(store));
            self.shards.retain(|(_, id)| self.stores.contains_key(id));
        }
        let stays = |s: &Store| at_work(s) || s.listing.state == StoreState::Gone;
        self.active_stores.retain(|id| self.stores.get(id).is_some_and(stays));
        while let Some(id) =
            self.active_stores.range((self.swept_to.map_or(Unbounded, Excluded), Unbounded)).next()
        {
            self.sweep_store(*id);
        }
        (self.swept, self.swept_to) = ((self.swept.0 + 1, now), None);
        // One of the others a sweep, in turn: none keeps for long what is over, or has long to be caught up.
        let next = self.stores.range_mut((self.caught_up.map_or(Unbounded, Excluded), Unbounded)).next();
        self.caught_up = next.map(|(id, store)| (*id, store.apply_missed_sweeps(self.swept, &self.rules)).0);
        let kept = 2 * self.setting_span("rules.further_span");
        for times in [&mut self.taken, &mut self.retries] {
            while times.pop_front_if(|at| *at + kept < now).is_some() {}
        }
        self.key_orders.retain(|_, line| !line.ops.is_empty() || line.rest_until > now);
    }

    fn sweep_store(&mut self, id: StoreId) {
        let (now, stalled) = (self.now, self.stalled);
        self.swept_to = Some(id);
        let store = self.activate(id);
        let wait = store.patience();
        if !stalled && store.out.values().any(|(at, _)| (*at).max(store.reordered_until) + wait < now) {
            store.suspected_until = store.suspected_until.or(Some(now));
        }
        // Another store may do, or a successor: a drain that is not yet told looks like doubt.
        let held: Vec<OpId> = store.volumes.values().flat_map(|share| share.held.iter().copied()).collect();
        if store.suspected_until.is_some() || !store.ready() {
            held.iter().for_each(|op| self.enqueue(*op));
        }
        // Late ops are given up at the next look: kept, they fill gaps that other gateways' ops could use.
        let store = &self.stores[&id];
        let here = held.into_iter().filter(|op| self.ops.get(op).is_some_and(|t| t.queued_at == Some(id)));
        let over =
            |op: &OpId| self.misses_objective(&self.ops[op], store) || !self.may_resend(&self.ops[op], id);
        let over: Vec<OpId> = here.filter(over).collect();
        over.into_iter().for_each(|op| self.give_up(op));
    }
}
