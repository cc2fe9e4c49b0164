//! Parses plans and volumes.

use umbertray_routing::settings::{Limit, Plan, Volume};

use super::{IndexOf, MAX_NUMBER};
use crate::{Arguments, FunctionCall, Problem};

/// The block size of volumes, bytes. Volume sizes are multiples of it.
const BLOCK_BYTES: u64 = 512;

/// The largest volume, bytes.
const MAX_VOLUME_BYTES: u64 = 1 << 50;

/// The longest name of a volume, bytes.
const MAX_VOLUME_NAME_BYTES: usize = 255;

/// The default slack of a limit is its rate divided by this number.
const DEFAULT_SLACK_DIVISOR: f64 = 10.0;

/// Parses a call of `plan`.
pub fn plan(call: &FunctionCall, problems: &mut Vec<Problem>) -> Plan {
    let mut args = Arguments::new(call, problems);
    let name = args.positional_text();
    let weight = args.number("weight", 1e-6..=MAX_NUMBER, Some(1.0));
    let rate = args.number("rate", 1e-6..=MAX_NUMBER, None);
    let reserve = args.number("reserve", 0.0..=MAX_NUMBER, Some(0.0));
    if reserve > rate {
        args.problem(format!("reserve {reserve} is over rate {rate}"));
    }
    let limit = limit(&mut args);
    if let Some(limit) = limit.as_ref().filter(|limit| limit.rate < reserve) {
        args.problem(format!("limit {} is under reserve {reserve}", limit.rate));
    }
    args.reject_unread();
    Plan { name, weight, rate, reserve, limit, is_removed: false }
}

fn limit(args: &mut Arguments) -> Option<Limit> {
    let rate = args.optional("limit", 1e-6..=MAX_NUMBER);
    let burst = args.optional("limit_burst", 1e-6..=MAX_NUMBER);
    let slack = args.optional("limit_slack", 0.0..=MAX_NUMBER);
    let Some(rate) = rate else {
        if burst.or(slack).is_some() {
            args.problem("limit_burst and limit_slack require limit");
        }
        return None;
    };
    Some(Limit { rate, burst: burst.unwrap_or(rate), slack: slack.unwrap_or(rate / DEFAULT_SLACK_DIVISOR) })
}

/// Parses a call of `volume`.
pub fn volume(call: &FunctionCall, plans: IndexOf, problems: &mut Vec<Problem>) -> Volume {
    let mut args = Arguments::new(call, problems);
    let name = args.positional_text();
    let size = args.count("size", BLOCK_BYTES..=MAX_VOLUME_BYTES, None);
    if !size.is_multiple_of(BLOCK_BYTES) {
        args.problem(format!("size = {size} is not a multiple of {BLOCK_BYTES}"));
    }
    if name.len() > MAX_VOLUME_NAME_BYTES {
        args.problem(format!("the name is longer than {MAX_VOLUME_NAME_BYTES} bytes"));
    }
    let plan_name = args.text("plan", None);
    let plan = plans(&plan_name);
    if plan.is_none() {
        args.problem(format!("there is no plan {plan_name:?}"));
    }
    let gateways = args.count("gateways", 1..=10_000, Some(1)) as u32;
    args.reject_unread();
    Volume { name, size, plan: plan.unwrap_or(0), gateways, is_removed: false }
}
