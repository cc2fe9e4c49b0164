//! The settings of a gateway. They were validated when the configuration was read.

use std::time::Duration;

use imbl::{HashMap, Vector};
use umbertray_lifecycle::list_retry;
use umbertray_store_protocol::store::OperationKind;

/// Whether an operation may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated executions have the same effect as one.
    Idempotent,
    /// Stores recognize and discard a retry within this window after the first execution.
    Deduplicated(Duration),
    /// A repeated execution has a second effect.
    NotIdempotent,
}

/// An operation type.
#[derive(Clone, Debug, PartialEq)]
pub struct OpType {
    /// Its name.
    pub name: String,
    /// Latency objective.
    pub target_latency: Duration,
    /// Timeout of a request, measured from its first byte.
    pub op_timeout: Duration,
    /// Value of a response within the latency objective, relative to other operation types.
    pub priority_weight: f64,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether operations on one extent are executed in order of arrival.
    pub ordered_by_key: bool,
}

/// Assigns an operation type to requests. The first matching rule applies.
#[derive(Clone, Debug, PartialEq)]
pub struct TypeRule {
    /// Kinds of requests that the rule matches.
    pub kinds: Vec<OperationKind>,
    /// Longest request that the rule matches, bytes; unlimited if absent.
    pub max_length: Option<u32>,
    /// Index of the operation type.
    pub op_type: usize,
}

/// The rate limit of a plan's volumes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Maximum number of tokens, units.
    pub burst: f64,
    /// Units by which all gateways together may exceed the limit.
    pub slack: f64,
}

/// A plan: the rates and reservations that each of its volumes is granted.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Share of the unreserved capacity, relative to other plans.
    pub weight: f64,
    /// Units per second that a volume is sized for.
    pub rate: f64,
    /// Units per second that are reserved.
    pub reserve: f64,
    /// Its rate limit, if any.
    pub limit: Option<Limit>,
    /// Whether the plan was removed. Its entry is kept so that the indices of other plans do not change.
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
    /// Number of gateways that serve the volume.
    pub gateways: u32,
    /// Whether the volume was removed. Its entry is kept for requests that are still open.
    pub is_removed: bool,
}

/// Parameters of the operators' rules; docs/design.md explains the numbered ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How long attempts may still be sent to a draining store.
    pub drain_grace: Duration,
    /// Fraction of its capacity that a store has right after its start.
    pub slow_start_fraction: f64,
    /// How long a store takes after its start to reach full capacity.
    pub slow_start_duration: Duration,
    /// Multiple of its capacity at which a store in slow start collapses.
    pub slow_start_multiple: f64,
    /// Window over which `slow_start_multiple` is measured.
    pub slow_start_window: Duration,
    /// Units that a store can execute within the window right after its start.
    pub slow_start_units: f64,
    /// How long operations of the same key are paused after an attempt of unknown outcome.
    pub key_pause: Duration,
    /// The retry budget, if one is configured.
    pub retry_budget: Option<RetryBudget>,
    /// Time within which a failed subscription to the endpoint list is retried, within the limits of
    /// [`list_retry`].
    pub poll_retry_interval: Duration,
    /// Units per second of all stores together, if known. Reservations must not exceed it.
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

/// Bounds on a gateway's memory use.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum number of open sessions.
    pub sessions: usize,
    /// Maximum number of open requests of one session.
    pub requests_per_session: usize,
    /// Maximum number of bytes buffered for open requests and unsent replies.
    pub bytes: usize,
    /// Maximum number of bytes buffered for one session.
    pub bytes_per_session: usize,
    /// Maximum data length of one request, bytes.
    pub request_bytes: u32,
    /// Maximum number of extents whose location is cached.
    pub locations: usize,
}

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Operation types.
    pub op_types: Vec<OpType>,
    /// Rules that assign operation types to requests.
    pub type_rules: Vec<TypeRule>,
    /// Plans, including removed ones.
    pub plans: Vector<Plan>,
    /// Volumes, including removed ones.
    pub volumes: Vector<Volume>,
    /// Indices of the volumes that are not removed, by name.
    pub volume_indices: HashMap<String, usize>,
    /// Number of gateways in the deployment.
    pub gateways: u32,
    /// Size of an extent, bytes.
    pub extent_bytes: u32,
    /// Bytes per unit of work.
    pub unit_bytes: u32,
    /// Maximum cost of one operation, in units of work.
    pub max_units: u32,
    /// Units of work of an average operation.
    pub mean_units: f64,
    /// Maximum number of attempts for one operation.
    pub max_attempts: u32,
    /// Longest wait before a retry that is suggested to a rejected client.
    pub max_retry_after: Duration,
    /// Timeout for connecting to a store.
    pub connect_timeout: Duration,
    /// Precision of the gateway's timers.
    pub tick: Duration,
    /// Parameters of the operators' rules.
    pub rules: Rules,
    /// Bounds on memory use.
    pub bounds: Bounds,
}

/// A change of the settings while the gateway runs. Plans and volumes are given by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsChange {
    /// Parameters of operation types, type rules or the operators' rules.
    Parameters,
    /// A plan that is new, was changed or was removed.
    Plan(usize),
    /// A volume that is new, or whose plan, size or number of gateways changed.
    Volume(usize),
    /// A volume that was removed.
    Removed(usize),
}

impl Settings {
    /// Replaces the volume at an index, or appends it if the index is not in use.
    pub fn put_volume(&mut self, index: usize, volume: Volume) {
        if volume.is_removed {
            self.volume_indices.remove(&volume.name);
        } else {
            self.volume_indices.insert(volume.name.clone(), index);
        }
        match self.volumes.get_mut(index) {
            Some(existing) => *existing = volume,
            None => self.volumes.push_back(volume),
        }
    }

    /// Index of a request's operation type: that of the first matching rule, or the last type if no rule
    /// matches.
    pub fn op_type(&self, kind: OperationKind, length: u32) -> usize {
        let matches = |rule: &&TypeRule| {
            rule.kinds.contains(&kind) && rule.max_length.is_none_or(|max_length| length <= max_length)
        };
        self.type_rules.iter().find(matches).map_or(self.op_types.len() - 1, |rule| rule.op_type)
    }

    /// The longest timeout of all operation types.
    pub fn longest_timeout(&self) -> Duration {
        self.op_types.iter().map(|op_type| op_type.op_timeout).max().unwrap_or_default()
    }

    /// Cost of a request of this length, in units of work.
    pub fn units(&self, length: u32) -> f64 {
        f64::from(length.div_ceil(self.unit_bytes).clamp(1, self.max_units))
    }

    /// The settings as the map of names and values that the scheduler reads.
    ///
    /// Hazard: saved snapshots are matched by a digest of this map. If a name or value changes, existing
    /// snapshots are treated as taken under other settings.
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
                    // All stores of a shard share one storage, which discards retries whichever store they
                    // are sent to.
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
        put("rules.cold_from", rules.slow_start_fraction.to_string());
        put("rules.cold_time", seconds(rules.slow_start_duration));
        put("rules.fall_multiple", rules.slow_start_multiple.to_string());
        put("rules.fall_time", seconds(rules.slow_start_window));
        put("rules.order_pause", seconds(rules.key_pause));
        put("rules.ask_within", seconds(list_retry::retry_interval(rules.poll_retry_interval)));
    }
}

/// Formats a duration as the scheduler's settings have it: in seconds.
fn seconds(duration: Duration) -> String {
    duration.as_secs_f64().to_string()
}
