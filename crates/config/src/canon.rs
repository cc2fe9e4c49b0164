//! Settings as calls, every default filled in: what a script says after it was understood.

use std::time::Duration;

use serde_json::{Value, json};
use umbertray_routing::settings::{Bounds, Idempotency, OpType, Plan, Rules, TypeRule, Volume};

use crate::calls::FunctionCall;
use crate::{ChangeSource, SettingsDocument, check};

fn seconds(span: Duration) -> Value {
    json!(span.as_secs_f64())
}

fn optional(figure: Option<f64>) -> Value {
    figure.map_or(Value::Null, |figure| json!(figure))
}

fn changes(changes: &Option<ChangeSource>) -> (Value, Value) {
    match changes {
        None => (Value::Null, Value::Null),
        Some(ChangeSource::Folder(folder)) => (json!(folder), Value::Null),
        Some(ChangeSource::Relays { upstreams, quorum: vouch }) => {
            (json!(upstreams.iter().map(ToString::to_string).collect::<Vec<_>>()), json!(vouch))
        }
    }
}

pub fn gateway(document: &SettingsDocument) -> FunctionCall {
    let s = &document.settings;
    let listen: Vec<String> = document.listen.iter().map(ToString::to_string).collect();
    let (changes, vouch) = changes(&document.changes);
    let text = |text: &Option<String>| text.as_ref().map_or(Value::Null, |text| json!(text));
    FunctionCall::from_script(
        "gateway",
        Value::Null,
        [
            ("listen", json!(listen)),
            ("list", json!(document.endpoint_list.to_string())),
            ("keeper", text(&document.coordinator.map(|address| address.to_string()))),
            ("seed", json!(document.seed)),
            ("state", text(&document.state)),
            ("changes", changes),
            ("vouch", vouch),
            ("name", json!(document.name)),
            ("zone", json!(document.zone)),
            ("gateways", json!(s.gateways)),
            ("extent", json!(s.extent_bytes)),
            ("unit", json!(s.unit_bytes)),
            ("most_units", json!(s.max_units)),
            ("mean_units", json!(s.mean_units)),
            ("max_dispatches", json!(s.max_attempts)),
            ("max_retry_after", seconds(s.max_retry_after)),
            ("connect_timeout", seconds(s.connect_timeout)),
            ("tick", seconds(s.tick)),
        ],
    )
}

pub fn op_type(op_type: &OpType) -> FunctionCall {
    let (repeats, span) = match op_type.idempotency {
        Idempotency::Idempotent => ("replayable", Value::Null),
        Idempotency::NotIdempotent => ("once_only", Value::Null),
        Idempotency::Deduplicated(span) => ("deduplicated", seconds(span)),
    };
    FunctionCall::from_script(
        "op_type",
        json!(op_type.name),
        [
            ("target_latency", seconds(op_type.target_latency)),
            ("op_timeout", seconds(op_type.op_timeout)),
            ("utility", json!(op_type.priority_weight)),
            ("repeats", json!(repeats)),
            ("dedup_span", span),
            ("in_order", json!(op_type.ordered_by_key)),
        ],
    )
}

pub fn request(rule: &TypeRule, op_types: &[OpType]) -> FunctionCall {
    let works: Vec<&str> = rule.kinds.iter().map(|work| check::work_name(*work)).collect();
    let up_to = rule.max_length.map_or(Value::Null, |most| json!(most));
    FunctionCall::from_script(
        "request",
        json!(works),
        [("op_type", json!(op_types[rule.op_type].name)), ("up_to", up_to)],
    )
}

pub fn plan(plan: &Plan) -> FunctionCall {
    let limit = |of: fn(&umbertray_routing::settings::Limit) -> f64| optional(plan.limit.as_ref().map(of));
    FunctionCall::from_script(
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

pub fn volume(volume: &Volume, plan: &str) -> FunctionCall {
    FunctionCall::from_script(
        "volume",
        json!(volume.name),
        [("size", json!(volume.size)), ("plan", json!(plan)), ("gateways", json!(volume.gateways))],
    )
}

pub fn rules(rules: &Rules) -> FunctionCall {
    let further = rules.retry_budget.as_ref();
    FunctionCall::from_script(
        "rules",
        Value::Null,
        [
            ("drain_grace", seconds(rules.drain_grace)),
            ("cold_from", json!(rules.slow_start_from)),
            ("cold_time", seconds(rules.slow_start_duration)),
            ("cold_units", json!(rules.slow_start_units)),
            ("fall_multiple", json!(rules.slow_start_multiple)),
            ("fall_time", seconds(rules.slow_start_window)),
            ("order_pause", seconds(rules.order_pause)),
            ("ask_within", seconds(rules.poll_within)),
            ("further_free", optional(further.map(|further| further.reserve))),
            ("further_share", optional(further.map(|further| further.ratio))),
            ("further_span", further.map_or(Value::Null, |further| seconds(further.window))),
            ("capacity", optional(rules.capacity)),
        ],
    )
}

pub fn bounds(bounds: &Bounds) -> FunctionCall {
    FunctionCall::from_script(
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
