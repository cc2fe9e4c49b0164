//! The scheduler of one gateway: which queued op is sent to which store, when, and which op is rejected.
//!
//! [`Scheduler::handle`] takes the events of one moment, starting with an [`Event::Start`], and returns the
//! actions to perform. Each submodule has one concern; this module holds the shared state and dispatches
//! events.
//!
//! The ordinary path follows Argon: at each store, one volume at a time holds a quantum limited by a number
//! of ops and by time (`fair_queue`), and a concurrency limit bounds the units in flight
//! (`concurrency_limit`). docs/design.md explains the departures from the paper and the numbered rules.

mod admission;
mod attempt_result;
mod concurrency_limit;
mod dispatch;
mod endpoint_list;
mod fair_queue;
mod key_order;
mod outlier;
mod pending_op;
mod placement;
mod quota;
mod random;
mod retry;
mod settings;
mod slow_start;
mod snapshot;
mod store;
mod store_table;
mod sweep;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use self::admission::LongestTimeLeft;
use self::endpoint_list::EndpointWatch;
use self::key_order::KeyOrders;
use self::pending_op::PendingOp;
use self::quota::Quotas;
use self::random::RandomSource;
use self::retry::RetryBudget;
use self::settings::{
    SchedulerSettings, SettingsError, discovery_requires_subscription, number, parse_settings,
};
use self::store::StoreBaseline;
use self::store_table::StoreTable;
use crate::interface::{Action, Event, OpId, Settings, VolumeId};

/// The scheduler of one gateway. It performs no I/O and reads no clock; its random draws follow from the
/// seed.
#[derive(Default)]
pub struct Scheduler {
    /// Absent until an [`Event::Start`] with valid settings.
    state: Option<SchedulerState>,
}

impl Scheduler {
    /// Processes the events that occurred at `now` and returns the actions to perform.
    ///
    /// Invalid settings in an [`Event::Start`] produce only an [`Action::Fatal`]. Events before the start are
    /// ignored.
    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        for event in events {
            if let Event::Start { seed, settings } = event {
                match SchedulerState::start(now, seed, &settings) {
                    Ok(state) => self.state = Some(state),
                    Err(error) => return vec![Action::Fatal(error.to_string())],
                }
            } else if let Some(state) = &mut self.state {
                state.on_event(now, event);
            }
        }
        let Some(state) = &mut self.state else { return Vec::new() };
        state.dispatch_ready();
        std::mem::take(&mut state.actions)
    }

    /// Forgets volumes that owe nothing: without ops, not served more than others at any store, and with full
    /// buckets of their limits. Returns them; their ids must not be used again. Volumes in `kept` stay.
    ///
    /// Only the average latency of their ops is lost. A host that never calls this keeps all volumes.
    pub fn forget_idle_volumes(&mut self, now: Duration, kept: &BTreeSet<VolumeId>) -> Vec<VolumeId> {
        self.state.as_mut().map_or_else(Vec::new, |state| state.forget_idle_volumes(now, kept))
    }

    /// Number of queues of a volume at a store.
    pub fn volume_queue_count(&self) -> usize {
        let stores = self.state.iter().flat_map(|state| state.stores.iter());
        stores.map(|(_, store)| store.queues.volume_count()).sum()
    }

    /// Number of active stores: those that are gone, or had work or an endpoint list update since the last
    /// sweep. The next sweep examines at most these.
    pub fn active_store_count(&self) -> usize {
        self.state.as_ref().map_or(0, |state| state.stores.active_count())
    }
}

/// State of a started gateway; each submodule implements its part of the decisions on it.
struct SchedulerState {
    now: Duration,
    started_at: Duration,
    random: RandomSource,
    settings: SchedulerSettings,
    /// Units of a mean op, from the settings at the start.
    mean_units: f64,
    /// Units of the smallest op that has arrived so far.
    smallest_op_units: f64,
    /// The shortest latency objective of all op types, from the settings at the start.
    shortest_objective: Duration,
    ops: BTreeMap<OpId, PendingOp>,
    stores: StoreTable,
    key_orders: KeyOrders,
    quotas: Quotas,
    /// Indexed by op type.
    longest_time_left: Vec<LongestTimeLeft>,
    retry_budget: RetryBudget,
    endpoint_watch: EndpointWatch,
    next_sweep_at: Duration,
    /// Whether the clock last advanced to more than a sweep interval past the time at which the sweep timer
    /// was due, which means that this gateway was stalled.
    is_stalled: bool,
    shutdown_at: Option<Duration>,
    actions: Vec<Action>,
}

impl SchedulerState {
    fn start(now: Duration, seed: u64, settings: &Settings) -> Result<Self, SettingsError> {
        let parsed = parse_settings(settings)?;
        let objectives = parsed.op_types.iter().map(|op_type| op_type.latency_objective);
        let shortest_objective =
            objectives.min().ok_or_else(|| SettingsError::Invalid("op_types.count".into()))?;
        let mut state = Self {
            now,
            started_at: now,
            random: RandomSource::new(seed),
            mean_units: number(settings, "stores.mean_units")?,
            smallest_op_units: f64::INFINITY,
            shortest_objective,
            ops: BTreeMap::new(),
            stores: StoreTable::default(),
            key_orders: KeyOrders::default(),
            quotas: Quotas::new(&parsed.plans),
            longest_time_left: vec![LongestTimeLeft::default(); parsed.op_types.len()],
            retry_budget: RetryBudget::default(),
            endpoint_watch: EndpointWatch::new(discovery_requires_subscription(settings).then_some(now)),
            next_sweep_at: now,
            is_stalled: false,
            shutdown_at: None,
            actions: Vec::new(),
            settings: parsed,
        };
        state.sweep();
        Ok(state)
    }

    fn forget_idle_volumes(&mut self, now: Duration, kept: &BTreeSet<VolumeId>) -> Vec<VolumeId> {
        let mut in_use = kept.clone();
        in_use.extend(self.ops.values().map(|pending| pending.op.volume));
        for queues in self.stores.queues_mut() {
            queues.drop_settled(|id| in_use.contains(&id));
        }
        for (_, store) in self.stores.iter() {
            in_use.extend(store.queues.known_volumes());
            in_use.extend(store.queues.quantum.as_ref().map(|quantum| quantum.volume));
        }
        self.quotas.forget_settled(&self.settings.plans, now, |id| in_use.contains(&id))
    }

    fn store_baseline(&self) -> StoreBaseline {
        StoreBaseline { mean_units: self.mean_units, shortest_objective: self.shortest_objective }
    }

    /// A late timer reveals a stall of this gateway. Delays that span the stall are not attributed to the
    /// stores.
    fn advance_clock(&mut self, now: Duration) {
        if now > self.now {
            self.is_stalled = now > self.next_sweep_at + self.sweep_interval();
            self.now = now;
        }
    }

    fn on_event(&mut self, now: Duration, event: Event) {
        self.advance_clock(now);
        match event {
            Event::EndpointList(update) => self.on_endpoint_list(update),
            Event::OpArrived(op) => self.on_op_arrived(op),
            Event::StreamStarted { op } => self.on_stream_started(op),
            Event::AttemptFinished(result) => self.on_attempt_finished(&result),
            Event::ClientDisconnected { op } => self.on_op_ended(op),
            Event::OpPlaced { op, shard } => self.on_op_placed(op, shard),
            Event::SettingsChanged { settings } => self.on_settings_changed(&settings),
            Event::VolumeMoved { volume, plan, gateways } => self.on_volume_moved(volume, plan, gateways),
            Event::ShuttingDown { at } => self.on_shutting_down(at),
            Event::TakeSnapshot { promise_duration } => self.snapshot(promise_duration),
            Event::Restore { age, promise_duration, stores, volumes } => {
                self.restore(age, promise_duration, stores, &volumes);
            }
            Event::Timer { .. } if now >= self.next_sweep_at => self.sweep(),
            Event::Timer { .. } | Event::HealthChecked { .. } | Event::Start { .. } => {}
        }
    }

    /// The response to the op has begun: the client alone decides from now on how long the attempt lasts.
    fn on_stream_started(&mut self, op: OpId) {
        if let Some(pending) = self.ops.get_mut(&op) {
            pending.deadline_at = Duration::MAX;
        }
    }

    fn on_op_placed(&mut self, op: OpId, shard: u32) {
        if let Some(pending) = self.ops.get_mut(&op) {
            pending.op.shard = Some(shard);
        }
    }

    /// Hazard: ops still open when the gateway terminates are lost, no matter how long their clients would
    /// wait.
    fn on_shutting_down(&mut self, at: Duration) {
        for pending in self.ops.values_mut() {
            pending.deadline_at = pending.deadline_at.min(at);
        }
        self.shutdown_at = Some(at);
    }

    /// New settings must keep every op type and plan at its index. Invalid settings are logged and the
    /// previous ones stay in force.
    fn on_settings_changed(&mut self, settings: &Settings) {
        self.stores.apply_all_missed_sweeps(&self.settings);
        match self.parse_changed_settings(settings) {
            Ok(parsed) => {
                self.longest_time_left.resize(parsed.op_types.len(), LongestTimeLeft::default());
                self.quotas.change_limits(&parsed.plans, self.now);
                self.settings = parsed;
            }
            Err(error) => {
                let name = error.setting_name();
                let reason = format!("{name} is missing, invalid or lower than before");
                let message = format!("settings change rejected, previous settings kept: {reason}");
                self.actions.push(Action::Log(message));
            }
        }
    }

    fn parse_changed_settings(&self, settings: &Settings) -> Result<SchedulerSettings, SettingsError> {
        let parsed = parse_settings(settings)?;
        let keeps_op_types = parsed.op_types.len() >= self.settings.op_types.len();
        let keeps_plans = parsed.plans.len() >= self.settings.plans.len();
        if keeps_op_types && keeps_plans { Ok(parsed) } else { Err(SettingsError::FewerEntries) }
    }

    /// Hazard: a volume that is new to this gateway may have been served by others before, so its token
    /// bucket starts empty.
    fn on_volume_moved(&mut self, volume: VolumeId, plan: usize, gateways: f64) {
        if plan >= self.settings.plans.len() {
            return;
        }
        self.quotas.assign(volume, plan, gateways, self.now, self.now);
        // Queued ops follow the new plan; ops with an attempt in flight keep the old one.
        for store in self.stores.with_queued_ops() {
            let queue = self.stores[store].queues.volume(volume);
            for op in queue.map_or(&[][..], |queue| queue.queued()) {
                if let Some(pending) = self.ops.get_mut(op) {
                    pending.op.plan = plan;
                    pending.op.gateways = gateways;
                }
            }
        }
    }
}
