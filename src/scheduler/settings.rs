//! Settings of the scheduler, parsed at the start and again at each change.
//!
//! Hazard: a setting that is present but unreadable is an error and is never treated as absent, because the
//! rule that it configures would silently be disabled.

use std::fmt;
use std::time::Duration;

use super::quota::Limit;
use crate::interface::Settings;

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SettingsError {
    /// The named setting is required but missing, or its value is invalid.
    Invalid(String),
    /// The new settings define fewer op types or plans than the current ones.
    FewerEntries,
}

impl SettingsError {
    /// Name of the offending setting, for log lines.
    pub(super) fn setting_name(&self) -> &str {
        match self {
            Self::Invalid(name) => name,
            Self::FewerEntries => "op_types.count or plans.count",
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is missing or unreadable", self.setting_name())
    }
}

impl std::error::Error for SettingsError {}

/// Whether an op may be retried after an attempt that may have been executed.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Idempotency {
    /// Retries are safe at any store, any number of times.
    Always,
    /// Retries are safe at any store while its idempotency key is remembered.
    ByKey,
    /// Retries are safe within the first attempt's zone while its idempotency key is remembered.
    ByKeyInZone,
    /// Retries are safe within the first attempt's shard while its idempotency key is remembered.
    ByKeyInShard,
    /// Retries are never safe.
    Never,
}

/// A class of ops with the same latency objective and rules.
pub(super) struct OpType {
    /// Latency up to which a response earns the full priority.
    pub(super) latency_objective: Duration,
    /// Upper bound on the time that a client of such an op is assumed to wait.
    pub(super) op_timeout: Duration,
    /// Relative to the greatest weight of all op types: 1 is the most important type.
    pub(super) priority_weight: f64,
    pub(super) idempotency: Idempotency,
    /// How long a store remembers an idempotency key.
    pub(super) deduplication_window: Duration,
    /// Whether ops on the same key are executed one at a time in order of arrival.
    pub(super) ordered_by_key: bool,
}

/// The service to which a volume's plan entitles it, over all gateways.
pub(super) struct Plan {
    /// Relative to the mean weight of all plans.
    pub(super) weight: f64,
    pub(super) limit: Limit,
    /// Rate that the plan is sized for, in units per second.
    pub(super) rate: f64,
    /// Rate up to which a volume need not leave capacity for others, in units per second: its reservation
    /// plus its share, by weight, of the rates that plans are sized for beyond their reservations.
    pub(super) guaranteed_rate: f64,
}

/// How much may be sent to a store that has just started (rule 4).
pub(super) struct SlowStartSettings {
    /// Fraction of its full load that a store can carry when it starts.
    pub(super) initial_progress: f64,
    /// Seconds from a store's start until it can carry its full load.
    pub(super) duration_secs: f64,
    /// The window over which the units sent to a store are counted.
    pub(super) window: Duration,
    /// Multiple of the plan's rate up to which paced ops are sent, before the scheduler's own margin.
    pub(super) rate_multiple: f64,
    /// Units that a store can carry within the window when it starts; absent: the units of a mean op.
    pub(super) initial_units: Option<f64>,
}

/// Bounds the retries of all ops of this gateway together (rule 6).
pub(super) struct RetryBudgetSettings {
    /// Retries that are always allowed within the window.
    pub(super) free: f64,
    /// Retries allowed per op that arrived within the window; absent: retries are unlimited.
    pub(super) per_arrival: Option<f64>,
    pub(super) window: Duration,
}

/// All settings that may change while the gateway runs.
pub(super) struct SchedulerSettings {
    pub(super) op_types: Vec<OpType>,
    pub(super) plans: Vec<Plan>,
    pub(super) slow_start: SlowStartSettings,
    pub(super) retry_budget: RetryBudgetSettings,
    /// Number of gateways that share the stores, at least one.
    pub(super) gateways: f64,
    /// Minimum interval between batches of events.
    pub(super) tick: Duration,
    /// Maximum attempts per op for the op type of the greatest weight; at least one.
    pub(super) max_attempts: f64,
    pub(super) max_retry_after: Duration,
    /// After a failure, the subscription to the endpoint list is retried within this time.
    pub(super) max_watch_backoff: Duration,
    /// How long ops may still be sent to a draining store.
    pub(super) drain_grace: Duration,
    /// How long ops on a key wait after an attempt that the store may still be executing.
    pub(super) key_order_pause: Duration,
}

/// A setting as a number and as a duration. Both readings must be valid, even if only one is used.
#[derive(Clone, Copy)]
struct SettingValue {
    number: f64,
    duration: Duration,
}

impl SettingValue {
    fn read(settings: &Settings, name: &str) -> Result<Self, SettingsError> {
        Ok(Self { number: number(settings, name)?, duration: duration(settings, name)? })
    }
}

type Reader<T> = fn(&Settings, &str) -> Result<T, SettingsError>;

fn invalid(name: &str) -> SettingsError {
    SettingsError::Invalid(name.to_string())
}

/// Reads a finite, non-negative number.
pub(super) fn number(settings: &Settings, name: &str) -> Result<f64, SettingsError> {
    let value = settings.get(name).and_then(|text| text.parse::<f64>().ok());
    value.filter(|value| value.is_finite() && *value >= 0.0).ok_or_else(|| invalid(name))
}

fn duration(settings: &Settings, name: &str) -> Result<Duration, SettingsError> {
    // Hazard: sums and small multiples of longer durations would overflow.
    const OVERFLOW_MARGIN: u32 = 64;
    let duration = Duration::try_from_secs_f64(number(settings, name)?).ok();
    duration.filter(|duration| *duration <= Duration::MAX / OVERFLOW_MARGIN).ok_or_else(|| invalid(name))
}

/// Reads a setting that may be absent but must not be unreadable.
fn optional_setting<T>(settings: &Settings, name: &str, read: Reader<T>) -> Result<Option<T>, SettingsError> {
    if settings.contains_key(name) { read(settings, name).map(Some) } else { Ok(None) }
}

fn text_setting<'a>(settings: &'a Settings, name: &str) -> Option<&'a str> {
    settings.get(name).map(String::as_str)
}

/// Parses all settings that the rules depend on.
pub(super) fn parse_settings(settings: &Settings) -> Result<SchedulerSettings, SettingsError> {
    check_discovery(settings)?;
    let op_types = parse_op_types(settings)?;
    let plans = parse_plans(settings)?;
    parse_rules(settings, op_types, plans)
}

/// Whether the gateway must subscribe to the endpoint list; otherwise updates are pushed without a request.
pub(super) fn discovery_requires_subscription(settings: &Settings) -> bool {
    text_setting(settings, "discovery") == Some("asked")
}

fn check_discovery(settings: &Settings) -> Result<(), SettingsError> {
    match text_setting(settings, "discovery") {
        None | Some("pushed" | "asked") => Ok(()),
        Some(_) => Err(invalid("discovery")),
    }
}

fn parse_op_types(settings: &Settings) -> Result<Vec<OpType>, SettingsError> {
    let mut op_types = Vec::new();
    for index in 0..number(settings, "op_types.count")? as usize {
        op_types.push(parse_op_type(settings, index)?);
    }
    let max_weight = op_types.iter().map(|op_type| op_type.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
    for op_type in &mut op_types {
        op_type.priority_weight /= max_weight;
    }
    Ok(op_types)
}

fn parse_op_type(settings: &Settings, index: usize) -> Result<OpType, SettingsError> {
    let name = |field: &str| format!("op_types.{index}.{field}");
    let latency_objective = duration(settings, &name("target_latency"))?;
    // Hazard: the sweep interval is a fraction of the objective; an objective of zero would cause an endless
    // loop of sweeps.
    if latency_objective.is_zero() {
        return Err(SettingsError::Invalid(name("target_latency")));
    }
    let op_timeout = optional_setting(settings, &name("op_timeout"), duration)?;
    let priority_weight = number(settings, &name("utility"))?;
    let idempotency = parse_idempotency(settings, &name("repeats"), &name("dedup_scope"))?;
    let deduplication_window = optional_setting(settings, &name("dedup_span"), duration)?;
    let ordered_by_key = text_setting(settings, &name("in_order")).unwrap_or("false").parse();
    Ok(OpType {
        latency_objective,
        op_timeout: op_timeout.unwrap_or_default(),
        priority_weight,
        idempotency,
        deduplication_window: deduplication_window.unwrap_or_default(),
        ordered_by_key: ordered_by_key.map_err(|_| SettingsError::Invalid(name("in_order")))?,
    })
}

fn parse_idempotency(settings: &Settings, name: &str, scope: &str) -> Result<Idempotency, SettingsError> {
    match (text_setting(settings, name), text_setting(settings, scope)) {
        (Some("replayable"), _) => Ok(Idempotency::Always),
        (Some("deduplicated"), Some("all")) => Ok(Idempotency::ByKey),
        (Some("deduplicated"), Some("zone")) => Ok(Idempotency::ByKeyInZone),
        (Some("deduplicated"), Some("cell") | None) => Ok(Idempotency::ByKeyInShard),
        (Some("deduplicated"), Some(_)) => Err(invalid(scope)),
        (Some("once_only"), _) => Ok(Idempotency::Never),
        _ => Err(invalid(name)),
    }
}

fn parse_plans(settings: &Settings) -> Result<Vec<Plan>, SettingsError> {
    let mut plans = Vec::new();
    let mut in_use = Vec::new();
    for index in 0..number(settings, "plans.count")? as usize {
        // A plan that is no longer offered keeps its index and is excluded from the means.
        let is_removed = text_setting(settings, &format!("plans.{index}.gone")) == Some("true");
        if !is_removed {
            in_use.push(index);
        }
        plans.push(parse_plan(settings, index, is_removed)?);
    }
    normalize_plans(&mut plans, &in_use);
    Ok(plans)
}

/// Parses one plan; its weight is not normalized yet and its guaranteed rate is only the reservation.
fn parse_plan(settings: &Settings, index: usize, is_removed: bool) -> Result<Plan, SettingsError> {
    let name = |field: &str| format!("plans.{index}.{field}");
    let number_if_in_use = |field: &str| if is_removed { Ok(1.0) } else { number(settings, &name(field)) };
    let weight = number_if_in_use("weight")?;
    let limit = optional_setting(settings, &name("limit"), number)?;
    let burst = optional_setting(settings, &name("limit_burst"), number)?;
    let rate = number_if_in_use("rate")?;
    let reservation = optional_setting(settings, &name("reserve"), number)?;
    Ok(Plan {
        weight: weight.max(f64::MIN_POSITIVE),
        limit: Limit { rate: limit.unwrap_or_default(), burst: burst.unwrap_or_default() },
        rate,
        guaranteed_rate: reservation.unwrap_or_default(),
    })
}

/// Divides weights by their mean, and adds to each plan's reservation its share, by weight, of the rates
/// beyond the reservations.
fn normalize_plans(plans: &mut [Plan], in_use: &[usize]) {
    let mean = |value_of: &dyn Fn(&Plan) -> f64| {
        in_use.iter().map(|index| value_of(&plans[*index])).sum::<f64>() / in_use.len() as f64
    };
    let mean_weight = mean(&|plan| plan.weight);
    let mean_spare_rate = mean(&|plan| (plan.rate - plan.guaranteed_rate) / (plan.weight / mean_weight));
    for plan in plans {
        plan.weight /= mean_weight;
        plan.guaranteed_rate += plan.weight * mean_spare_rate;
    }
}

fn parse_rules(
    settings: &Settings,
    op_types: Vec<OpType>,
    plans: Vec<Plan>,
) -> Result<SchedulerSettings, SettingsError> {
    let optional = |name| optional_setting(settings, name, SettingValue::read);
    let required = |name| SettingValue::read(settings, name);
    let number_or = |value: Option<SettingValue>, default| value.map_or(default, |value| value.number);
    let duration_or_zero = |value: Option<SettingValue>| value.map_or(Duration::ZERO, |value| value.duration);
    // The error names the first invalid setting in this order.
    let max_attempts = optional("limits.max_dispatches")?;
    let max_retry_after = optional("limits.max_retry_after")?;
    let max_watch_backoff = optional("rules.ask_within")?;
    let initial_progress = optional("rules.cold_from")?;
    let drain_grace = optional("rules.drain_grace")?;
    let rate_multiple = optional("rules.fall_multiple")?;
    let free_retries = optional("rules.further_free")?;
    let retries_per_arrival = optional("rules.further_share")?;
    let retry_window = optional("rules.further_span")?;
    let key_order_pause = optional("rules.order_pause")?;
    let initial_units = optional("stores.cold_units")?;
    let gateways = required("gateways")?;
    let tick = required("tick")?;
    let slow_start_duration = required("rules.cold_time")?;
    let slow_start_window = required("rules.fall_time")?;
    Ok(SchedulerSettings {
        op_types,
        plans,
        slow_start: SlowStartSettings {
            initial_progress: number_or(initial_progress, 1.0),
            duration_secs: slow_start_duration.number,
            window: slow_start_window.duration,
            rate_multiple: number_or(rate_multiple, 0.0),
            initial_units: initial_units.map(|value| value.number),
        },
        retry_budget: RetryBudgetSettings {
            free: number_or(free_retries, 0.0),
            per_arrival: retries_per_arrival.map(|value| value.number),
            window: duration_or_zero(retry_window),
        },
        gateways: gateways.number.max(1.0),
        tick: tick.duration,
        max_attempts: number_or(max_attempts, 1.0).max(1.0),
        max_retry_after: duration_or_zero(max_retry_after),
        max_watch_backoff: duration_or_zero(max_watch_backoff),
        drain_grace: duration_or_zero(drain_grace),
        key_order_pause: duration_or_zero(key_order_pause),
    })
}
