//! Parses op types and the rules that assign op types to requests.

use umbertray_routing::settings::{Idempotency, OpType, TypeRule};
use umbertray_store_protocol::store::OperationKind;

use super::{IndexOf, MAX_DURATION_SECONDS, MAX_NUMBER};
use crate::{Arguments, FunctionCall, Problem};

const KINDS: [(&str, OperationKind); 6] = [
    ("read", OperationKind::Read),
    ("write", OperationKind::Write),
    ("zero", OperationKind::Zero),
    ("trim", OperationKind::Trim),
    ("flush", OperationKind::Flush),
    ("status", OperationKind::Status),
];

/// The name of an operation kind in scripts.
pub(crate) fn kind_name(kind: OperationKind) -> &'static str {
    KINDS.iter().find(|(_, known)| *known == kind).map_or("read", |(name, _)| name)
}

/// Parses a call of `op_type`.
pub fn op_type(call: &FunctionCall, problems: &mut Vec<Problem>) -> OpType {
    let mut args = Arguments::new(call, problems);
    let name = args.positional_text();
    let target_latency = args.duration("target_latency", 0.001..=MAX_DURATION_SECONDS, None);
    let op_timeout = args.duration("op_timeout", 0.001..=MAX_DURATION_SECONDS, None);
    if op_timeout < target_latency {
        args.problem(format!("op_timeout {op_timeout:?} is under target_latency {target_latency:?}"));
    }
    let priority_weight = args.number("utility", 1e-6..=MAX_NUMBER, None);
    let idempotency = idempotency(&mut args);
    let ordered_by_key = args.flag("in_order");
    args.reject_unread();
    OpType { name, target_latency, op_timeout, priority_weight, idempotency, ordered_by_key }
}

fn idempotency(args: &mut Arguments) -> Idempotency {
    let idempotency = match args.text("repeats", Some("replayable")).as_str() {
        "replayable" => Idempotency::Idempotent,
        "deduplicated" => {
            Idempotency::Deduplicated(args.duration("dedup_span", 0.001..=MAX_DURATION_SECONDS, None))
        }
        "once_only" => Idempotency::NotIdempotent,
        other => {
            args.problem(format!("repeats = {other:?} is none of replayable, deduplicated, once_only"));
            Idempotency::Idempotent
        }
    };
    let is_deduplicated = matches!(idempotency, Idempotency::Deduplicated(_));
    if !is_deduplicated && args.optional("dedup_span", 0.0..=MAX_DURATION_SECONDS).is_some() {
        args.problem("dedup_span requires repeats = \"deduplicated\"");
    }
    idempotency
}

/// Parses a call of `request`, a rule that assigns an op type to requests.
pub fn type_rule(call: &FunctionCall, op_types: IndexOf, problems: &mut Vec<Problem>) -> TypeRule {
    let mut args = Arguments::new(call, problems);
    let kinds = operation_kinds(&mut args);
    let max_length = args.optional("up_to", 1.0..=f64::from(u32::MAX)).map(|length| length as u32);
    let op_type_name = args.text("op_type", None);
    let op_type = op_types(&op_type_name);
    if op_type.is_none() {
        args.problem(format!("there is no op type {op_type_name:?}"));
    }
    args.reject_unread();
    TypeRule { kinds, max_length, op_type: op_type.unwrap_or(0) }
}

fn operation_kinds(args: &mut Arguments) -> Vec<OperationKind> {
    let mut kinds = Vec::new();
    for name in args.positional_texts() {
        match KINDS.iter().find(|(known, _)| *known == name) {
            Some((_, kind)) => kinds.push(*kind),
            None => {
                let known = KINDS.map(|(name, _)| name).join(", ");
                args.problem(format!("{name:?} is none of {known}"));
            }
        }
    }
    kinds
}

/// Names of the request kinds that are not covered by any rule without `up_to`. The op type of their longest
/// requests would be undefined.
pub fn uncovered_kinds(rules: &[TypeRule]) -> impl Iterator<Item = &'static str> {
    let is_covered = |kind: OperationKind| {
        rules.iter().any(|rule| rule.kinds.contains(&kind) && rule.max_length.is_none())
    };
    KINDS.into_iter().filter(move |(_, kind)| !is_covered(*kind)).map(|(name, _)| name)
}
