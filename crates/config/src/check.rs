//! The whole of what a script said, checked.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use imbl::Vector;

use serde_json::Value;
use umbertray_routing::Settings;
use umbertray_routing::settings::{
    Bounds, Idempotency, Limit, OpType, Plan, RetryBudget, Rules, TypeRule, Volume,
};
use umbertray_store_protocol::store::OperationKind;

use crate::calls::{Arguments, FunctionCall};
use crate::{ChangeSource, Problem, RelaySettings, SettingsDocument, Upstream};

const WORKS: [(&str, OperationKind); 6] = [
    ("read", OperationKind::Read),
    ("write", OperationKind::Write),
    ("zero", OperationKind::Zero),
    ("trim", OperationKind::Trim),
    ("flush", OperationKind::Flush),
    ("status", OperationKind::Status),
];

/// The longest span that any setting may name, seconds.
const DAY: f64 = 86_400.0;
const MOST: f64 = 1e12;

pub fn work_name(work: OperationKind) -> &'static str {
    WORKS.iter().find(|(_, known)| *known == work).map_or("read", |(name, _)| name)
}

/// The whole that a script's calls say.
pub fn document(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    let mut problems = Vec::new();
    let whole = |what: &str| Problem { file: file.into(), line: 0, column: 0, what: what.into() };
    let of = |function: &str| calls.iter().filter(move |call| call.function == function).collect::<Vec<_>>();
    let op_types: Vec<OpType> = of("op_type").into_iter().map(|call| op_type(call, &mut problems)).collect();
    let plans: Vector<Plan> = of("plan").into_iter().map(|call| plan(call, &mut problems)).collect();
    let names: Vec<&str> = op_types.iter().map(|op_type| op_type.name.as_str()).collect();
    let place = |name: &str| names.iter().position(|known| *known == name);
    let type_rules: Vec<TypeRule> =
        of("request").into_iter().map(|call| type_rule(call, &place, &mut problems)).collect();
    let plan_names: Vec<&str> = plans.iter().map(|plan| plan.name.as_str()).collect();
    let by_name: HashMap<&str, usize> = plan_names.iter().copied().zip(0..).collect();
    let place = |name: &str| by_name.get(name).copied();
    let volumes: Vector<Volume> =
        of("volume").into_iter().map(|call| volume(call, &place, &mut problems)).collect();
    unique(&of("op_type"), &names, &mut problems);
    unique(&of("plan"), &plan_names, &mut problems);
    let volume_names: Vec<&str> = volumes.iter().map(|volume| volume.name.as_str()).collect();
    unique(&of("volume"), &volume_names, &mut problems);
    for (function, count) in [("op_type", op_types.len()), ("plan", plans.len()), ("volume", volumes.len())] {
        if count == 0 {
            problems.push(whole(&format!("no {function} is named")));
        }
    }
    problems.extend(
        unruled(&type_rules).map(|name| whole(&format!("no request rule without up_to covers {name:?}"))),
    );
    let empty = |function: &'static str| FunctionCall {
        function,
        first: serde_json::Value::Null,
        named: Default::default(),
        file: file.into(),
        line: 0,
        column: 0,
    };
    let mut single = |function: &'static str| {
        let given = of(function);
        for call in given.iter().skip(1) {
            problems.push(call.problem("is called twice".into()));
        }
        given.first().copied().cloned().unwrap_or_else(|| empty(function))
    };
    let (gateway_call, rules_call, bounds_call) = (single("gateway"), single("rules"), single("bounds"));
    let rules = rules(&rules_call, &mut problems);
    let bounds = bounds(&bounds_call, &mut problems);
    let document =
        gateway(&gateway_call, (op_types, type_rules, plans, volumes), (rules, bounds), &mut problems);
    if problems.is_empty() { Ok(document) } else { Err(problems) }
}

/// Kinds of requests that no rule covers whatever their length: their op type would be the last by chance only.
pub fn unruled(rules: &[TypeRule]) -> impl Iterator<Item = &'static str> {
    let ruled = |work: OperationKind| {
        rules.iter().any(|rule| rule.kinds.contains(&work) && rule.max_length.is_none())
    };
    WORKS.into_iter().filter(move |(_, work)| !ruled(*work)).map(|(name, _)| name)
}

fn unique(calls: &[&FunctionCall], names: &[&str], problems: &mut Vec<Problem>) {
    let mut known = HashSet::new();
    for (call, name) in calls.iter().zip(names) {
        if !known.insert(name) {
            problems.push(call.problem(format!("the name {name:?} is taken")));
        }
    }
}

pub fn op_type(call: &FunctionCall, problems: &mut Vec<Problem>) -> OpType {
    let mut args = Arguments::new(call, problems);
    let name = args.first_text();
    let target_latency = args.duration("target_latency", 0.001..=DAY, None);
    let op_timeout = args.duration("op_timeout", 0.001..=DAY, None);
    if op_timeout < target_latency {
        args.problem(format!("op_timeout {op_timeout:?} is under target_latency {target_latency:?}"));
    }
    let utility = args.number("utility", 1e-6..=MOST, None);
    let repeats = match args.text("repeats", Some("replayable")).as_str() {
        "replayable" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::Deduplicated(args.duration("dedup_span", 0.001..=DAY, None)),
        "once_only" => Idempotency::NotIdempotent,
        other => {
            args.problem(format!("repeats = {other:?} is none of replayable, deduplicated, once_only"));
            Idempotency::Idempotent
        }
    };
    if !matches!(repeats, Idempotency::Deduplicated(_)) && args.optional("dedup_span", 0.0..=DAY).is_some() {
        args.problem("dedup_span goes with repeats = \"deduplicated\" only".into());
    }
    let in_order = args.flag("in_order");
    args.end();
    OpType {
        name,
        target_latency,
        op_timeout,
        priority_weight: utility,
        idempotency: repeats,
        ordered_by_key: in_order,
    }
}

pub fn plan(call: &FunctionCall, problems: &mut Vec<Problem>) -> Plan {
    let mut args = Arguments::new(call, problems);
    let name = args.first_text();
    let weight = args.number("weight", 1e-6..=MOST, Some(1.0));
    let rate = args.number("rate", 1e-6..=MOST, None);
    let reserve = args.number("reserve", 0.0..=MOST, Some(0.0));
    if reserve > rate {
        args.problem(format!("reserve {reserve} is over rate {rate}"));
    }
    let limit = args.optional("limit", 1e-6..=MOST);
    let burst = args.optional("limit_burst", 1e-6..=MOST);
    let slack = args.optional("limit_slack", 0.0..=MOST);
    let limit = match limit {
        Some(rate) => Some(Limit { rate, burst: burst.unwrap_or(rate), slack: slack.unwrap_or(rate / 10.0) }),
        None => {
            if burst.or(slack).is_some() {
                args.problem("limit_burst and limit_slack go with limit only".into());
            }
            None
        }
    };
    if let Some(limit) = limit.as_ref().filter(|limit| limit.rate < reserve) {
        args.problem(format!("limit {} is under reserve {reserve}", limit.rate));
    }
    args.end();
    Plan { name, weight, rate, reserve, limit, is_removed: false }
}

/// Where an op type or plan of a name stands, if there is one.
pub type Place<'a> = &'a dyn Fn(&str) -> Option<usize>;

pub fn type_rule(call: &FunctionCall, op_types: Place, problems: &mut Vec<Problem>) -> TypeRule {
    let mut args = Arguments::new(call, problems);
    let mut works = Vec::new();
    for kind in args.first_texts() {
        match WORKS.iter().find(|(name, _)| *name == kind) {
            Some((_, work)) => works.push(*work),
            None => {
                let known = WORKS.map(|(name, _)| name).join(", ");
                args.problem(format!("{kind:?} is none of {known}"));
            }
        }
    }
    let up_to = args.optional("up_to", 1.0..=f64::from(u32::MAX)).map(|most| most as u32);
    let wanted = args.text("op_type", None);
    let op_type = op_types(&wanted);
    if op_type.is_none() {
        args.problem(format!("there is no op type {wanted:?}"));
    }
    args.end();
    TypeRule { kinds: works, max_length: up_to, op_type: op_type.unwrap_or(0) }
}

pub fn volume(call: &FunctionCall, plans: Place, problems: &mut Vec<Problem>) -> Volume {
    let mut args = Arguments::new(call, problems);
    let name = args.first_text();
    let size = args.count("size", 512..=1 << 50, None);
    if !size.is_multiple_of(512) {
        args.problem(format!("size = {size} is not a multiple of 512"));
    }
    if name.len() > 255 {
        args.problem("the name is longer than 255 bytes".into());
    }
    let wanted = args.text("plan", None);
    let plan = plans(&wanted);
    if plan.is_none() {
        args.problem(format!("there is no plan {wanted:?}"));
    }
    let gateways = args.count("gateways", 1..=10_000, Some(1)) as u32;
    args.end();
    Volume { name, size, plan: plan.unwrap_or(0), gateways, is_removed: false }
}

pub fn rules(call: &FunctionCall, problems: &mut Vec<Problem>) -> Rules {
    let mut args = Arguments::new(call, problems);
    let free = args.optional("further_free", 0.0..=MOST);
    let share = args.optional("further_share", 0.0..=1e3);
    let span = args.optional("further_span", 0.001..=DAY);
    let further = match (free, share, span) {
        (None, None, None) => None,
        (Some(free), Some(share), Some(span)) => Some(RetryBudget {
            reserve: free,
            ratio: share,
            window: std::time::Duration::from_secs_f64(span),
        }),
        _ => {
            args.problem("further_free, further_share and further_span go together".into());
            None
        }
    };
    let rules = Rules {
        drain_grace: args.duration("drain_grace", 0.0..=DAY, Some(1.0)),
        slow_start_from: args.number("cold_from", 0.001..=1.0, Some(0.25)),
        slow_start_duration: args.duration("cold_time", 0.0..=DAY, Some(10.0)),
        slow_start_units: args.number("cold_units", 0.0..=MOST, Some(8.0)),
        slow_start_multiple: args.number("fall_multiple", 1.0..=1e3, Some(2.0)),
        slow_start_window: args.duration("fall_time", 0.001..=DAY, Some(1.0)),
        order_pause: args.duration("order_pause", 0.0..=DAY, Some(0.5)),
        poll_within: args.duration("ask_within", 0.01..=DAY, Some(10.0)),
        capacity: args.optional("capacity", 1e-6..=MOST),
        retry_budget: further,
    };
    args.end();
    rules
}

fn bounds(call: &FunctionCall, problems: &mut Vec<Problem>) -> Bounds {
    let mut args = Arguments::new(call, problems);
    let bounds = Bounds {
        sessions: args.count("sessions", 1..=1_000_000, Some(4096)) as usize,
        requests_per_session: args.count("requests_a_session", 1..=65_536, Some(256)) as usize,
        bytes: args.count("bytes", 1 << 16..=1 << 40, Some(256 << 20)) as usize,
        bytes_per_session: args.count("bytes_a_session", 1 << 16..=1 << 40, Some(32 << 20)) as usize,
        request_bytes: args.count("request_bytes", 4096..=32 << 20, Some(4 << 20)) as u32,
        locations: args.count("places", 1..=1 << 32, Some(1 << 20)) as usize,
    };
    // A request that its session's bound has no room for would wait for ever.
    if bounds.request_bytes as usize > bounds.bytes_per_session || bounds.bytes_per_session > bounds.bytes {
        let (one, session, all) = (bounds.request_bytes, bounds.bytes_per_session, bounds.bytes);
        args.problem(format!(
            "request_bytes {one}, bytes_a_session {session} and bytes {all} must not fall in this order"
        ));
    }
    // Half of the room is kept by volume, in parts that may be small: a request beyond the other half might never be held.
    if bounds.request_bytes as usize > bounds.bytes / 2 {
        let (one, all) = (bounds.request_bytes, bounds.bytes);
        args.problem(format!("request_bytes {one} is over half of bytes {all}"));
    }
    args.end();
    bounds
}

type Named = (Vec<OpType>, Vec<TypeRule>, Vector<Plan>, Vector<Volume>);

fn address(args: &mut Arguments, name: &str, text: &str) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        args.problem(format!("{name} = {text:?} is not an address and port"));
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

/// The one call of a script that makes a process of another kind than a gateway.
fn alone<'a>(
    file: &str,
    calls: &'a [FunctionCall],
    function: &str,
) -> Result<&'a FunctionCall, Vec<Problem>> {
    let [call] = calls else {
        let what = format!("one call of {function} is wanted, and no other; there are {}", calls.len());
        return Err(vec![Problem { file: file.into(), line: 0, column: 0, what }]);
    };
    if call.function != function {
        return Err(vec![call.problem(format!("does not belong in a {function}'s script"))]);
    }
    Ok(call)
}

pub fn keeper(file: &str, calls: &[FunctionCall]) -> Result<crate::CoordinatorSettings, Vec<Problem>> {
    let call = alone(file, calls, "keeper")?;
    let mut problems = Vec::new();
    let mut args = Arguments::new(call, &mut problems);
    let [listen, list] = ["listen", "list"].map(|name| {
        let text = args.text(name, None);
        address(&mut args, name, &text)
    });
    let folder = args.text("folder", None);
    args.end();
    if problems.is_empty() {
        Ok(crate::CoordinatorSettings { listen, endpoint_list: list, folder })
    } else {
        Err(problems)
    }
}

/// A folder is a string, relays are a list.
fn changes(args: &mut Arguments) -> Option<ChangeSource> {
    let relays = args.call.named.get("changes").is_some_and(Value::is_array);
    let changes = if relays {
        let texts = args.texts("changes");
        let upstreams: Vec<Upstream> = texts.iter().map(|text| upstream(args, text)).collect();
        let named = |upstream: &Upstream| {
            let same = |other: &&Upstream| other.name == upstream.name || other.address == upstream.address;
            upstreams.iter().filter(same).count() > 1
        };
        if let Some(twice) = upstreams.iter().find(|upstream| named(upstream)) {
            args.problem(format!("changes: the relay {twice} is named twice: it would vouch for itself"));
        }
        let most = upstreams.len().max(1) as u64;
        let vouch = args.count("vouch", 1..=most, Some(VOUCH.min(most))) as usize;
        Some(ChangeSource::Relays { upstreams, quorum: vouch })
    } else {
        Some(args.text("changes", Some(""))).filter(|text| !text.is_empty()).map(ChangeSource::Folder)
    };
    if !relays && args.optional("vouch", 1.0..=MOST).is_some() {
        args.problem("vouch goes with a list of relays only".into());
    }
    changes
}

/// One more than the relays that may lie, unless it is said otherwise.
const VOUCH: u64 = 2;

/// The longest name of a relay or gateway or zone, bytes.
const MOST_NAME: usize = umbertray_store_protocol::changes::MAX_NAME;

/// The zone of whoever names none.
const ZONE: &str = "default";

/// ZONE/NAME=HOST:PORT, or HOST:PORT of a relay that has no other name, in the default zone.
fn upstream(args: &mut Arguments, text: &str) -> Upstream {
    let (place, at) = text.split_once('=').unwrap_or(("", text));
    let (zone, name) = place.split_once('/').unwrap_or((ZONE, place));
    let address = address(args, "changes", at);
    let name = if name.is_empty() { address.to_string() } else { name.to_string() };
    if zone.is_empty() || name.len() > MOST_NAME || zone.len() > MOST_NAME {
        args.problem(format!(
            "changes: a name or zone in {text:?} is empty or longer than {MOST_NAME} bytes"
        ));
    }
    Upstream { name, zone: zone.into(), address }
}

/// Who follows relays: its name, and its zone.
fn member(args: &mut Arguments, otherwise: &str) -> (String, String) {
    let (name, zone) = (args.text("name", Some(otherwise)), args.text("zone", Some(ZONE)));
    for (field, text) in [("name", &name), ("zone", &zone)] {
        if text.is_empty() || text.len() > MOST_NAME {
            args.problem(format!("{field} = {text:?} is empty or longer than {MOST_NAME} bytes"));
        }
        if text.contains(['/', '=']) {
            args.problem(format!("{field} = {text:?} has a / or = in it"));
        }
    }
    (name, zone)
}

pub fn relay(file: &str, calls: &[FunctionCall]) -> Result<RelaySettings, Vec<Problem>> {
    let call = alone(file, calls, "relay")?;
    let mut problems = Vec::new();
    let mut args = Arguments::new(call, &mut problems);
    let listen = args.text("listen", None);
    let listen = address(&mut args, "listen", &listen);
    let (name, zone) = member(&mut args, &listen.to_string());
    let changes = changes(&mut args);
    if changes.is_none() {
        args.problem("changes is missing: a folder, or a list of relays".into());
    }
    let folder = Some(args.text("folder", Some(""))).filter(|text| !text.is_empty());
    args.end();
    match changes {
        Some(changes) if problems.is_empty() => Ok(RelaySettings { listen, name, zone, changes, folder }),
        _ => Err(problems),
    }
}

fn gateway(
    call: &FunctionCall,
    (op_types, type_rules, plans, volumes): Named,
    (rules, bounds): (Rules, Bounds),
    problems: &mut Vec<Problem>,
) -> SettingsDocument {
    let mut args = Arguments::new(call, problems);
    let listen = args.texts("listen");
    let listen = listen.iter().map(|text| address(&mut args, "listen", text)).collect();
    let list = args.text("list", None);
    let list = address(&mut args, "list", &list);
    let optional =
        |args: &mut Arguments, name| Some(args.text(name, Some(""))).filter(|text| !text.is_empty());
    let keeper = optional(&mut args, "keeper").map(|text| address(&mut args, "keeper", &text));
    let (state, changes) = (optional(&mut args, "state"), changes(&mut args));
    let seed = args.count("seed", 0..=1 << 53, Some(0));
    let (name, zone) = member(&mut args, &format!("gateway-{seed}"));
    let extent_bytes = args.count("extent", 4096..=32 << 20, Some(1 << 20)) as u32;
    if !extent_bytes.is_multiple_of(4096) {
        args.problem(format!("extent = {extent_bytes} is not a multiple of 4096"));
    }
    let settings = Settings {
        op_types,
        type_rules,
        plans,
        volume_indices: volumes.iter().map(|volume| volume.name.clone()).zip(0..).collect(),
        volumes,
        gateways: args.count("gateways", 1..=10_000, Some(1)) as u32,
        extent_bytes,
        unit_bytes: args.count("unit", 512..=32 << 20, Some(16 << 10)) as u32,
        max_units: args.count("most_units", 1..=1 << 16, Some(8)) as u32,
        mean_units: args.number("mean_units", 0.01..=65_536.0, Some(1.5)),
        max_attempts: args.count("max_dispatches", 1..=100, Some(3)) as u32,
        max_retry_after: args.duration("max_retry_after", 0.0..=DAY, Some(1.0)),
        connect_timeout: args.duration("connect_timeout", 0.001..=DAY, Some(0.25)),
        tick: args.duration("tick", 0.001..=1.0, Some(0.002)),
        rules,
        bounds,
    };
    args.end();
    SettingsDocument {
        listen,
        endpoint_list: list,
        coordinator: keeper,
        seed,
        state,
        changes,
        name,
        zone,
        settings,
    }
}
