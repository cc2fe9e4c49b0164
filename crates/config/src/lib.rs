//! The settings script and what it evaluates to.
//!
//! A script is Starlark: calls of `gateway`, `op_type`, `request`, `plan`, `volume`, `rules` and `bounds`, with the
//! language's own means to compute them. [`read`] evaluates it within bounds and checks the whole, naming every
//! problem with its place. docs/settings.md is the operators' page.

mod calls;
mod check;
mod script;

pub use calls::{Arguments, Call};
pub use script::evaluate;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use umbertray_routing::Settings;

/// What a gateway is to be: its own addresses, and the settings that all gateways of a deployment share.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    pub listen: Vec<SocketAddr>,
    pub list: SocketAddr,
    pub seed: u64,
    /// The folder in which state is kept over restarts.
    pub state: Option<String>,
    pub settings: Settings,
}

/// Something that must be mended, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    pub file: String,
    /// From 1; 0 where the whole file is meant.
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.what),
            line => write!(f, "{}:{line}:{}: {}", self.file, self.column, self.what),
        }
    }
}

impl std::error::Error for Problem {}

/// The functions whose calls make up settings; the others that a script may call belong to a rehearsal's day.
const SETTINGS: [&str; 7] = ["gateway", "op_type", "request", "plan", "volume", "rules", "bounds"];

/// Evaluates a script and checks what it says.
pub fn read(file: &str, text: String) -> Result<Document, Vec<Problem>> {
    let calls = script::evaluate(file, text).map_err(|problem| vec![problem])?;
    let strange = calls.iter().filter(|call| !SETTINGS.contains(&call.function));
    let strange: Vec<Problem> =
        strange.map(|call| call.problem("does not belong in settings".into())).collect();
    if strange.is_empty() { document(file, &calls) } else { Err(strange) }
}

/// Checks the settings among a script's calls.
pub fn document(file: &str, calls: &[Call]) -> Result<Document, Vec<Problem>> {
    check::document(file, calls)
}

impl Document {
    /// The settings as understood, every default filled in, as a script that reads back to the same.
    pub fn as_script(&self) -> String {
        let mut out = String::new();
        let s = &self.settings;
        let seconds = |span: Duration| span.as_secs_f64();
        let list = |items: &mut dyn Iterator<Item = String>| items.collect::<Vec<_>>().join(", ");
        let mut say = |line: String| {
            out.push_str(&line);
            out.push('\n');
        };
        say(format!(
            "gateway(listen = [{}], list = {:?}, seed = {}, gateways = {}, extent = {}, unit = {}, most_units = {}, \
             mean_units = {:?}, max_dispatches = {}, max_retry_after = {:?}, connect_timeout = {:?}, tick = {:?}{})",
            list(&mut self.listen.iter().map(|address| format!("{:?}", address.to_string()))),
            self.list.to_string(),
            self.seed,
            s.gateways,
            s.extent_bytes,
            s.unit_bytes,
            s.most_units,
            s.mean_units,
            s.max_dispatches,
            seconds(s.max_retry_after),
            seconds(s.connect_timeout),
            seconds(s.tick),
            self.state.as_ref().map_or(String::new(), |folder| format!(", state = {folder:?}"))
        ));
        for op_type in &s.op_types {
            let repeats = match op_type.repeats {
                umbertray_routing::settings::Repeats::Replayable => "\"replayable\"".to_string(),
                umbertray_routing::settings::Repeats::OnceOnly => "\"once_only\"".to_string(),
                umbertray_routing::settings::Repeats::Deduplicated(span) => {
                    format!("\"deduplicated\", dedup_span = {:?}", seconds(span))
                }
            };
            say(format!(
                "op_type({:?}, target_latency = {:?}, op_timeout = {:?}, utility = {:?}, repeats = {repeats}, in_order = {})",
                op_type.name,
                seconds(op_type.target_latency),
                seconds(op_type.op_timeout),
                op_type.utility,
                if op_type.in_order { "True" } else { "False" }
            ));
        }
        for rule in &s.type_rules {
            let works = list(&mut rule.works.iter().map(|work| format!("{:?}", check::work_name(*work))));
            let up_to = rule.up_to.map_or(String::new(), |most| format!(", up_to = {most}"));
            say(format!("request([{works}], op_type = {:?}{up_to})", s.op_types[rule.op_type].name));
        }
        for plan in &s.plans {
            let limit = plan.limit.as_ref().map_or(String::new(), |limit| {
                format!(
                    ", limit = {:?}, limit_burst = {:?}, limit_slack = {:?}",
                    limit.rate, limit.burst, limit.slack
                )
            });
            say(format!(
                "plan({:?}, weight = {:?}, rate = {:?}, reserve = {:?}{limit})",
                plan.name, plan.weight, plan.rate, plan.reserve
            ));
        }
        for volume in &s.volumes {
            let plan = &s.plans[volume.plan].name;
            say(format!(
                "volume({:?}, size = {}, plan = {plan:?}, gateways = {})",
                volume.name, volume.size, volume.gateways
            ));
        }
        let rules = &s.rules;
        let further = rules.further.as_ref().map_or(String::new(), |further| {
            format!(
                ", further_free = {:?}, further_share = {:?}, further_span = {:?}",
                further.free,
                further.share,
                seconds(further.span)
            )
        });
        say(format!(
            "rules(drain_grace = {:?}, cold_from = {:?}, cold_time = {:?}, cold_units = {:?}, fall_multiple = {:?}, \
             fall_time = {:?}, order_pause = {:?}, ask_within = {:?}{further})",
            seconds(rules.drain_grace),
            rules.cold_from,
            seconds(rules.cold_time),
            rules.cold_units,
            rules.fall_multiple,
            seconds(rules.fall_time),
            seconds(rules.order_pause),
            seconds(rules.ask_within)
        ));
        let bounds = &s.bounds;
        say(format!(
            "bounds(sessions = {}, requests_a_session = {}, bytes = {}, bytes_a_session = {}, request_bytes = {}, places = {})",
            bounds.sessions,
            bounds.requests_a_session,
            bounds.bytes,
            bounds.bytes_a_session,
            bounds.request_bytes,
            bounds.places
        ));
        out
    }
}
