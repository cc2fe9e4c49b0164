//! What a gateway is told at its start, checked by whoever wrote it down.

use std::time::Duration;

use imbl::{HashMap, Vector};
use umbertray_store_protocol::store::OperationKind;

/// Whether an operation may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// Stores discard a retry within this window after the first execution.
    Deduplicated(Duration),
    /// A second execution would be a second effect.
    NotIdempotent,
}

/// An operation type.
#[derive(Clone, Debug, PartialEq)]
pub struct OpType {
    /// Its name.
    pub name: String,
    /// Latency objective.
    pub target_latency: Duration,
    /// Deadline of a request, from its first byte.
    pub op_timeout: Duration,
    /// What an answer within the objective is worth, relative to other types.
    pub priority_weight: f64,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether operations on one extent are executed in the order they came.
    pub ordered_by_key: bool,
}

/// Assigns requests to an operation type. The first rule that fits applies.
#[derive(Clone, Debug, PartialEq)]
pub struct TypeRule {
    /// Kinds of requests.
    pub kinds: Vec<OperationKind>,
    /// Longest request, bytes; absent: any.
    pub max_length: Option<u32>,
    /// Index of the operation type.
    pub op_type: usize,
}

/// The rate limit of a plan's volumes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Most tokens, units.
    pub burst: f64,
    /// Units by which all gateways together may exceed it.
    pub slack: f64,
}

/// What the volumes of a plan are granted.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Share of what is not reserved, relative to other plans.
    pub weight: f64,
    /// Units per second that a volume is sized for.
    pub rate: f64,
    /// Units per second that are reserved.
    pub reserve: f64,
    /// Its rate limit, if any.
    pub limit: Option<Limit>,
    /// Removed; its index stays, so that those of the others do.
    pub is_removed: bool,
}

/// A volume.
#[derive(Clone, Debug, PartialEq)]
pub struct Volume {
    /// Its name.
    pub name: String,
    /// Bytes.
    pub size: u64,
    /// Index of its plan.
    pub plan: usize,
    /// Number of gateways that its operations come through.
    pub gateways: u32,
    /// Removed; its index stays, for requests that are still open.
    pub is_removed: bool,
}

/// Figures of the operators' rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How long a draining store may still be sent attempts.
    pub drain_grace: Duration,
    /// Fraction of its capacity that a store has at its start.
    pub slow_start_from: f64,
    /// How long a store takes to reach its capacity.
    pub slow_start_duration: Duration,
    /// Multiple of its capacity at which a store in slow start collapses.
    pub slow_start_multiple: f64,
    /// Window in which that multiple counts.
    pub slow_start_window: Duration,
    /// Units that a store can take at its start within the window.
    pub slow_start_units: f64,
    /// Pause of a key after an attempt of unknown outcome.
    pub order_pause: Duration,
    /// The retry budget; absent: none is stated.
    pub retry_budget: Option<RetryBudget>,
    /// A failed poll of the endpoint list is repeated within this time.
    pub poll_within: Duration,
    /// Units per second of all stores together, if known: more cannot be reserved.
    pub capacity: Option<f64>,
}

/// The retry budget: in any window at most `reserve` retries and `ratio` of the operations that arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub reserve: f64,
    /// Retries for each operation that arrived.
    pub ratio: f64,
    /// The window.
    pub window: Duration,
}

/// Bounds of a gateway's memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Open sessions.
    pub sessions: usize,
    /// Open requests of a session.
    pub requests_per_session: usize,
    /// Bytes held for open requests and unread replies.
    pub bytes: usize,
    /// The same for one session.
    pub bytes_per_session: usize,
    /// A request's data, bytes.
    pub request_bytes: u32,
    /// Extents whose location is cached.
    pub locations: usize,
}

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Operation types.
    pub op_types: Vec<OpType>,
    /// Rules by which requests get their type.
    pub type_rules: Vec<TypeRule>,
    /// Plans, removed ones included.
    pub plans: Vector<Plan>,
    /// Volumes, removed ones included.
    pub volumes: Vector<Volume>,
    /// Indices of the volumes that are not removed, by name.
    pub volume_indices: HashMap<String, usize>,
    /// Number of gateways of the deployment.
    pub gateways: u32,
    /// Size of an extent.
    pub extent_bytes: u32,
    /// Bytes that count as one unit.
    pub unit_bytes: u32,
    /// Most units that one operation counts.
    pub max_units: u32,
    /// Units of an average operation.
    pub mean_units: f64,
    /// Most attempts of an operation.
    pub max_attempts: u32,
    /// Longest time that a rejected client is told to wait.
    pub max_retry_after: Duration,
    /// Time for a connection to a store to come up.
    pub connect_timeout: Duration,
    /// Precision of the gateway's timers.
    pub tick: Duration,
    /// Figures of the rules.
    pub rules: Rules,
    /// Bounds of memory.
    pub bounds: Bounds,
}

/// What changed in service, by the indices of plans and volumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsChange {
    /// Figures of operation types, request rules or the rules.
    Figures,
    /// A plan's figures, a new plan, or one that was removed.
    Plan(usize),
    /// A volume that is new, of another plan or size, or that comes through another number of gateways.
    Volume(usize),
    /// A volume that was removed.
    Removed(usize),
}

impl Settings {
    /// Sets the volume at an index, or appends it.
    pub fn put_volume(&mut self, place: usize, volume: Volume) {
        if volume.is_removed {
            self.volume_indices.remove(&volume.name);
        } else {
            self.volume_indices.insert(volume.name.clone(), place);
        }
        match self.volumes.get_mut(place) {
            Some(known) => *known = volume,
            None => self.volumes.push_back(volume),
        }
    }

    /// Index of a request's operation type, by the first rule that fits; the last type where none does.
    pub fn op_type(&self, work: OperationKind, length: u32) -> usize {
        let fits = |rule: &&TypeRule| {
            rule.kinds.contains(&work) && rule.max_length.is_none_or(|most| length <= most)
        };
        self.type_rules.iter().find(fits).map_or(self.op_types.len() - 1, |rule| rule.op_type)
    }

    /// The longest deadline of all operation types.
    pub fn longest_timeout(&self) -> Duration {
        self.op_types.iter().map(|op_type| op_type.op_timeout).max().unwrap_or_default()
    }

    /// Cost of a request of a length.
    pub fn units(&self, length: u32) -> f64 {
        f64::from(length.div_ceil(self.unit_bytes).clamp(1, self.max_units))
    }

    /// The settings by the names that the scheduler reads. Hazard: saved snapshots are matched by a digest of this map; a change
    /// of a name or value makes them those of other settings.
    pub fn scheduler_settings(&self) -> umbertray::interface::Settings {
        let mut map = umbertray::interface::Settings::new();
        self.put_op_types(&mut map);
        self.put_plans(&mut map);
        self.put_rules(&mut map);
        map
    }

    fn put_op_types(&self, map: &mut umbertray::interface::Settings) {
        map.insert("op_types.count".into(), self.op_types.len().to_string());
        for (index, op_type) in self.op_types.iter().enumerate() {
            let mut put = |field: &str, value: String| {
                map.insert(format!("op_types.{index}.{field}"), value);
            };
            put("target_latency", seconds(op_type.target_latency));
            put("op_timeout", seconds(op_type.op_timeout));
            put("utility", op_type.priority_weight.to_string());
            put("in_order", op_type.ordered_by_key.to_string());
            match op_type.idempotency {
                Idempotency::Idempotent => put("repeats", "replayable".into()),
                Idempotency::Deduplicated(window) => {
                    put("dedup_span", seconds(window));
                    // The storage of a shard discards retries, whichever of its stores they come to.
                    put("dedup_scope", "cell".into());
                    put("repeats", "deduplicated".into());
                }
                Idempotency::NotIdempotent => put("repeats", "once_only".into()),
            }
        }
    }

    fn put_plans(&self, map: &mut umbertray::interface::Settings) {
        map.insert("plans.count".into(), self.plans.len().to_string());
        for (index, plan) in self.plans.iter().enumerate() {
            let mut put = |field: &str, value: String| {
                map.insert(format!("plans.{index}.{field}"), value);
            };
            if plan.is_removed {
                put("gone", "true".into());
                continue;
            }
            put("weight", plan.weight.to_string());
            put("rate", plan.rate.to_string());
            put("reserve", plan.reserve.to_string());
            if let Some(limit) = &plan.limit {
                put("limit", limit.rate.to_string());
                put("limit_burst", limit.burst.to_string());
                put("limit_slack", limit.slack.to_string());
            }
        }
    }

    fn put_rules(&self, map: &mut umbertray::interface::Settings) {
        let mut put = |name: &str, value: String| {
            map.insert(name.into(), value);
        };
        let rules = &self.rules;
        if let Some(budget) = &rules.retry_budget {
            put("rules.further_free", budget.reserve.to_string());
            put("rules.further_share", budget.ratio.to_string());
            put("rules.further_span", seconds(budget.window));
        }
        put("gateways", self.gateways.to_string());
        put("discovery", "asked".into());
        put("tick", seconds(self.tick));
        put("stores.mean_units", self.mean_units.to_string());
        put("stores.cold_units", rules.slow_start_units.to_string());
        put("limits.max_dispatches", self.max_attempts.to_string());
        put("limits.max_retry_after", seconds(self.max_retry_after));
        put("rules.drain_grace", seconds(rules.drain_grace));
        put("rules.cold_from", rules.slow_start_from.to_string());
        put("rules.cold_time", seconds(rules.slow_start_duration));
        put("rules.fall_multiple", rules.slow_start_multiple.to_string());
        put("rules.fall_time", seconds(rules.slow_start_window));
        put("rules.order_pause", seconds(rules.order_pause));
        put("rules.ask_within", seconds(rules.poll_within));
    }
}

/// A duration as settings have it.
fn seconds(duration: Duration) -> String {
    duration.as_secs_f64().to_string()
}
