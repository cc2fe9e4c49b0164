//! What a gateway is told at its start, checked by whoever wrote it down.

use std::time::Duration;

use imbl::{HashMap, Vector};
use umbertray_store_protocol::store::OperationKind;

/// How often an effect may happen, as the module knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Stores discard a repeat for so long after the first.
    Deduplicated(Duration),
    NotIdempotent,
}

#[derive(Clone, Debug, PartialEq)]
pub struct OpType {
    pub name: String,
    pub target_latency: Duration,
    pub op_timeout: Duration,
    pub priority_weight: f64,
    pub idempotency: Idempotency,
    pub ordered_by_key: bool,
}

/// Requests of these kinds and up to this length (bytes; absent: any) are ops of the type. The first rule that fits holds.
#[derive(Clone, Debug, PartialEq)]
pub struct TypeRule {
    pub kinds: Vec<OperationKind>,
    pub max_length: Option<u32>,
    pub op_type: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units held at most.
    pub burst: f64,
    /// Units by which all gateways together may go beyond it.
    pub slack: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    pub weight: f64,
    /// Units a second that a volume is sized for.
    pub rate: f64,
    /// Units a second that are reserved.
    pub reserve: f64,
    pub limit: Option<Limit>,
    /// It is no more; its place stays, so that those of the others do.
    pub is_removed: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Volume {
    pub name: String,
    /// Bytes.
    pub size: u64,
    pub plan: usize,
    /// Through how many gateways its ops come.
    pub gateways: u32,
    /// It is no more; its place stays, for what is still open of it.
    pub is_removed: bool,
}

/// The figures of the rules, as the operators state them.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    pub drain_grace: Duration,
    pub slow_start_from: f64,
    pub slow_start_duration: Duration,
    pub slow_start_multiple: f64,
    pub slow_start_window: Duration,
    pub slow_start_units: f64,
    pub order_pause: Duration,
    pub retry_budget: Option<RetryBudget>,
    pub poll_within: Duration,
    /// Units a second that all stores can do together, if it is known: more cannot be reserved.
    pub capacity: Option<f64>,
}

/// The budget of further dispatches: so many, and a share of the ops taken, in any span.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    pub reserve: f64,
    pub ratio: f64,
    pub window: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub sessions: usize,
    pub requests_per_session: usize,
    /// Bytes held for open requests and unread replies, in all and for one session.
    pub bytes: usize,
    pub bytes_per_session: usize,
    /// A request's data, bytes.
    pub request_bytes: u32,
    /// Extents whose place is remembered.
    pub locations: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub op_types: Vec<OpType>,
    pub type_rules: Vec<TypeRule>,
    pub plans: Vector<Plan>,
    pub volumes: Vector<Volume>,
    /// Places of the volumes there are, by name.
    pub volume_indices: HashMap<String, usize>,
    pub gateways: u32,
    pub extent_bytes: u32,
    /// Bytes that count as one unit, and the most units that one op counts.
    pub unit_bytes: u32,
    pub max_units: u32,
    pub mean_units: f64,
    pub max_attempts: u32,
    pub max_retry_after: Duration,
    pub connect_timeout: Duration,
    /// The precision of the gateway's own time-keeping.
    pub tick: Duration,
    pub rules: Rules,
    pub bounds: Bounds,
}

/// What changed in service, by the places of plans and volumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsChange {
    /// Figures of op types, request rules or the rules.
    Figures,
    /// A plan's figures, a new plan, or one that is gone.
    Plan(usize),
    /// A volume that is new, of another plan or size, or comes through another number of gateways.
    Volume(usize),
    Removed(usize),
}

impl Settings {
    /// Puts a volume in its place, or in the next.
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

    /// The op type of a request, by the first rule that fits; the last op type where none does.
    pub fn op_type(&self, work: OperationKind, length: u32) -> usize {
        let fits = |rule: &&TypeRule| {
            rule.kinds.contains(&work) && rule.max_length.is_none_or(|most| length <= most)
        };
        self.type_rules.iter().find(fits).map_or(self.op_types.len() - 1, |rule| rule.op_type)
    }

    /// The longest op timeout of all op types.
    pub fn longest_timeout(&self) -> Duration {
        self.op_types.iter().map(|op_type| op_type.op_timeout).max().unwrap_or_default()
    }

    pub fn units(&self, length: u32) -> f64 {
        f64::from(length.div_ceil(self.unit_bytes).clamp(1, self.max_units))
    }

    /// The settings as the module reads them.
    pub fn scheduler_settings(&self) -> umbertray::interface::Settings {
        let mut map = umbertray::interface::Settings::new();
        let mut put = |name: String, value: String| _ = map.insert(name, value);
        let seconds = |span: Duration| span.as_secs_f64().to_string();
        put("op_types.count".into(), self.op_types.len().to_string());
        for (i, op_type) in self.op_types.iter().enumerate() {
            let name = |field: &str| format!("op_types.{i}.{field}");
            put(name("target_latency"), seconds(op_type.target_latency));
            put(name("op_timeout"), seconds(op_type.op_timeout));
            put(name("utility"), op_type.priority_weight.to_string());
            put(name("in_order"), op_type.ordered_by_key.to_string());
            let repeats = match op_type.idempotency {
                Idempotency::Idempotent => "replayable",
                Idempotency::Deduplicated(span) => {
                    put(name("dedup_span"), seconds(span));
                    // A shard's medium discards repeats, whichever of its stores they come to.
                    put(name("dedup_scope"), "cell".into());
                    "deduplicated"
                }
                Idempotency::NotIdempotent => "once_only",
            };
            put(name("repeats"), repeats.into());
        }
        put("plans.count".into(), self.plans.len().to_string());
        for (i, plan) in self.plans.iter().enumerate() {
            let name = |field: &str| format!("plans.{i}.{field}");
            if plan.is_removed {
                put(name("gone"), "true".into());
                continue;
            }
            put(name("weight"), plan.weight.to_string());
            put(name("rate"), plan.rate.to_string());
            put(name("reserve"), plan.reserve.to_string());
            if let Some(limit) = &plan.limit {
                put(name("limit"), limit.rate.to_string());
                put(name("limit_burst"), limit.burst.to_string());
                put(name("limit_slack"), limit.slack.to_string());
            }
        }
        let rules = &self.rules;
        if let Some(further) = &rules.retry_budget {
            put("rules.further_free".into(), further.reserve.to_string());
            put("rules.further_share".into(), further.ratio.to_string());
            put("rules.further_span".into(), seconds(further.window));
        }
        let rest = [
            ("gateways", self.gateways.to_string()),
            ("discovery", "asked".into()),
            ("tick", seconds(self.tick)),
            ("stores.mean_units", self.mean_units.to_string()),
            ("stores.cold_units", rules.slow_start_units.to_string()),
            ("limits.max_dispatches", self.max_attempts.to_string()),
            ("limits.max_retry_after", seconds(self.max_retry_after)),
            ("rules.drain_grace", seconds(rules.drain_grace)),
            ("rules.cold_from", rules.slow_start_from.to_string()),
            ("rules.cold_time", seconds(rules.slow_start_duration)),
            ("rules.fall_multiple", rules.slow_start_multiple.to_string()),
            ("rules.fall_time", seconds(rules.slow_start_window)),
            ("rules.order_pause", seconds(rules.order_pause)),
            ("rules.ask_within", seconds(rules.poll_within)),
        ];
        rest.into_iter().for_each(|(name, value)| put(name.into(), value));
        map
    }
}
