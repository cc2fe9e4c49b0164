//! Converts validated settings into calls that state every default explicitly.
//!
//! Invariant: parsing these calls yields the settings that they were made from.

use std::time::Duration;

use serde_json::{Value, json};
use umbertray_routing::settings::{Bounds, Idempotency, Limit, OpType, Plan, Rules, TypeRule, Volume};

use crate::{ChangeSource, FunctionCall, SettingsDocument, parse};

fn seconds(duration: Duration) -> Value {
    json!(duration.as_secs_f64())
}

/// The value of `changes` for a source of the change log: a folder, or a list of relays.
fn change_source(changes: &ChangeSource) -> Value {
    match changes {
        ChangeSource::Folder(folder) => json!(folder),
        ChangeSource::Relays { upstreams, .. } => {
            json!(upstreams.iter().map(ToString::to_string).collect::<Vec<_>>())
        }
    }
}

/// The value of `vouch`, the quorum of relays; `None` if the source is a folder.
fn quorum(changes: &ChangeSource) -> Option<usize> {
    match changes {
        ChangeSource::Folder(_) => None,
        ChangeSource::Relays { quorum, .. } => Some(*quorum),
    }
}

/// The call of `gateway` with the settings of a single gateway.
pub fn gateway(document: &SettingsDocument) -> FunctionCall {
    let settings = &document.settings;
    let listen: Vec<String> = document.listen.iter().map(ToString::to_string).collect();
    let coordinator = document.coordinator.map(|address| address.to_string());
    let changes = document.changes.as_ref();
    FunctionCall::synthetic(
        "gateway",
        Value::Null,
        [
            ("listen", json!(listen)),
            ("list", json!(document.endpoint_list.to_string())),
            ("keeper", json!(coordinator)),
            ("seed", json!(document.seed)),
            ("state", json!(document.state)),
            ("changes", json!(changes.map(change_source))),
            ("vouch", json!(changes.and_then(quorum))),
            ("name", json!(document.name)),
            ("zone", json!(document.zone)),
            ("gateways", json!(settings.gateways)),
            ("extent", json!(settings.extent_bytes)),
            ("unit", json!(settings.unit_bytes)),
            ("most_units", json!(settings.max_units)),
            ("mean_units", json!(settings.mean_units)),
            ("max_dispatches", json!(settings.max_attempts)),
            ("max_retry_after", seconds(settings.max_retry_after)),
            ("connect_timeout", seconds(settings.connect_timeout)),
            ("tick", seconds(settings.tick)),
        ],
    )
}

/// The call of `op_type` that defines an op type.
pub fn op_type(op_type: &OpType) -> FunctionCall {
    let (repeats, dedup_span) = match op_type.idempotency {
        Idempotency::Idempotent => ("replayable", Value::Null),
        Idempotency::NotIdempotent => ("once_only", Value::Null),
        Idempotency::Deduplicated(span) => ("deduplicated", seconds(span)),
    };
    FunctionCall::synthetic(
        "op_type",
        json!(op_type.name),
        [
            ("target_latency", seconds(op_type.target_latency)),
            ("op_timeout", seconds(op_type.op_timeout)),
            ("utility", json!(op_type.priority_weight)),
            ("repeats", json!(repeats)),
            ("dedup_span", dedup_span),
            ("in_order", json!(op_type.ordered_by_key)),
        ],
    )
}

/// The call of `request` that defines a request rule; the rule refers to one of `op_types` by index.
pub fn request(rule: &TypeRule, op_types: &[OpType]) -> FunctionCall {
    let kinds: Vec<&str> = rule.kinds.iter().map(|kind| parse::kind_name(*kind)).collect();
    FunctionCall::synthetic(
        "request",
        json!(kinds),
        [("op_type", json!(op_types[rule.op_type].name)), ("up_to", json!(rule.max_length))],
    )
}

/// The call of `plan` that defines a plan.
pub fn plan(plan: &Plan) -> FunctionCall {
    let limit = |field: fn(&Limit) -> f64| json!(plan.limit.as_ref().map(field));
    FunctionCall::synthetic(
        "plan",
        json!(plan.name),
        [
            ("weight", json!(plan.weight)),
            ("rate", json!(plan.rate)),
            ("reserve", json!(plan.reserve)),
            ("limit", limit(|limit| limit.rate)),
            ("limit_burst", limit(|limit| limit.burst)),
            ("limit_slack", limit(|limit| limit.slack)),
        ],
    )
}

/// The call of `volume` that defines a volume; `plan` is the name of the volume's plan.
pub fn volume(volume: &Volume, plan: &str) -> FunctionCall {
    FunctionCall::synthetic(
        "volume",
        json!(volume.name),
        [("size", json!(volume.size)), ("plan", json!(plan)), ("gateways", json!(volume.gateways))],
    )
}

/// The call of `rules` with the deployment's rules.
pub fn rules(rules: &Rules) -> FunctionCall {
    let retry_budget = rules.retry_budget.as_ref();
    FunctionCall::synthetic(
        "rules",
        Value::Null,
        [
            ("drain_grace", seconds(rules.drain_grace)),
            ("cold_from", json!(rules.slow_start_fraction)),
            ("cold_time", seconds(rules.slow_start_duration)),
            ("cold_units", json!(rules.slow_start_units)),
            ("fall_multiple", json!(rules.slow_start_multiple)),
            ("fall_time", seconds(rules.slow_start_window)),
            ("order_pause", seconds(rules.key_pause)),
            ("ask_within", seconds(rules.poll_retry_interval)),
            ("further_free", json!(retry_budget.map(|budget| budget.reserve))),
            ("further_share", json!(retry_budget.map(|budget| budget.ratio))),
            ("further_span", json!(retry_budget.map(|budget| seconds(budget.window)))),
            ("capacity", json!(rules.capacity)),
        ],
    )
}

/// The call of `bounds` with a gateway's bounds.
pub fn bounds(bounds: &Bounds) -> FunctionCall {
    FunctionCall::synthetic(
        "bounds",
        Value::Null,
        [
            ("sessions", json!(bounds.sessions)),
            ("requests_a_session", json!(bounds.requests_per_session)),
            ("bytes", json!(bounds.bytes)),
            ("bytes_a_session", json!(bounds.bytes_per_session)),
            ("request_bytes", json!(bounds.request_bytes)),
            ("places", json!(bounds.locations)),
        ],
    )
}
