//! Utility acked within target latency, over time, by op type and by plan.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::day::Day;
use crate::record::{Asked, Deed, Outcome, Record};

/// Requests by how they ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// All.
    pub asked: u64,
    /// Acknowledged.
    pub acked: u64,
    /// Acknowledged within the target latency.
    pub in_target: u64,
    /// Throttled.
    pub throttled: u64,
    /// Aborted.
    pub aborted: u64,
    /// Without an answer.
    pub lost: u64,
    /// Utility asked for, and acked within the target latency.
    pub utility: f64,
    /// See `utility`.
    pub utility_in_target: f64,
}

/// What clients were served.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// All requests.
    pub all: Count,
    /// By op type.
    pub by_op_type: BTreeMap<String, Count>,
    /// By plan.
    pub by_plan: BTreeMap<String, Count>,
    /// Of requests to a gateway within ten seconds after it came back from its death.
    pub after_return: Count,
    /// Of requests in those seconds to gateways that had not lately died.
    pub others_then: Count,
    /// How long after a return a gateway's service, counted by half seconds, was first as good as that of the others, or
    /// as its own before it died where there are none. Microseconds, one a return; absent: not within that time.
    pub recovered: Vec<Option<u64>>,
    /// By second of the day.
    pub by_second: BTreeMap<u64, Count>,
}

/// How long after a gateway's return its requests count as those after it, microseconds.
const RETURN: u64 = 10_000_000;

/// Recovery is looked for by steps of this length.
const STEP: u64 = 500_000;

/// Service is as good as that of the others when it is so great a part of theirs.
const AS_GOOD: f64 = 0.95;

impl Count {
    fn add(&mut self, asked: &Asked, utility: f64, in_time: bool) {
        self.asked += 1;
        self.utility += utility;
        match asked.outcome {
            Outcome::Acked => {
                self.acked += 1;
                if in_time {
                    self.in_target += 1;
                    self.utility_in_target += utility;
                }
            }
            Outcome::Throttled => self.throttled += 1,
            Outcome::Aborted | Outcome::Shutdown => self.aborted += 1,
            Outcome::Lost | Outcome::Silent => self.lost += 1,
        }
    }

    /// Utility acked in target latency, as a part of what was asked for.
    pub fn served(&self) -> f64 {
        self.utility_in_target / self.utility.max(1e-9)
    }
}

/// One return of a gateway: from when to when its requests count as those after it.
struct Return {
    gateway: usize,
    died: u64,
    from: u64,
    until: u64,
}

impl Return {
    fn covers(&self, asked: &Asked) -> bool {
        asked.gateway == self.gateway && (self.from..self.until).contains(&asked.sent)
    }
}

fn returns(record: &Record) -> Vec<Return> {
    let mut died = BTreeMap::new();
    let mut returns: Vec<Return> = Vec::new();
    for (at, deed) in &record.deeds {
        match deed {
            Deed::Killed { gateway } => {
                died.insert(*gateway, *at);
                let before = returns.iter_mut().filter(|r| r.gateway == *gateway);
                before.for_each(|r| r.until = r.until.min(*at));
            }
            Deed::Returned { gateway } => {
                let died = died.get(gateway).copied().unwrap_or(*at);
                returns.push(Return { gateway: *gateway, died, from: *at, until: at + RETURN });
            }
            _ => {}
        }
    }
    returns
}

pub(crate) fn service(day: &Day, record: &Record) -> Service {
    let settings = &day.document.settings;
    let mut service = Service::default();
    let returns = returns(record);
    // Of each return and each step after it: this gateway's, and that of those that had not lately died.
    let mut steps: Vec<BTreeMap<u64, [Count; 2]>> = returns.iter().map(|_| BTreeMap::new()).collect();
    let mut before = vec![Count::default(); returns.len()];
    for asked in &record.asked {
        let op_type = &settings.op_types[settings.op_type(asked.kind.work(), asked.length)];
        let plan = &settings.plans[settings.volumes[asked.volume].plan].name;
        let in_time = asked.ended - asked.sent <= op_type.target_latency.as_micros() as u64;
        let returned = returns.iter().any(|r| r.covers(asked));
        for (i, r) in returns.iter().enumerate() {
            if (r.from..r.until).contains(&asked.sent) && (asked.gateway == r.gateway || !returned) {
                let step = steps[i].entry((asked.sent - r.from) / STEP).or_default();
                step[usize::from(asked.gateway != r.gateway)].add(asked, op_type.priority_weight, in_time);
            }
            if asked.gateway == r.gateway && (r.died.saturating_sub(4 * STEP)..r.died).contains(&asked.sent) {
                before[i].add(asked, op_type.priority_weight, in_time);
            }
        }
        let then = returns.iter().any(|r| (r.from..r.until).contains(&asked.sent));
        let mut other = Count::default();
        let counts = [
            match (returned, then) {
                (true, _) => &mut service.after_return,
                (false, true) => &mut service.others_then,
                (false, false) => &mut other,
            },
            &mut service.all,
            service.by_op_type.entry(op_type.name.clone()).or_default(),
            service.by_plan.entry(plan.clone()).or_default(),
            service.by_second.entry(asked.sent / 1_000_000).or_default(),
        ];
        counts.into_iter().for_each(|count| count.add(asked, op_type.priority_weight, in_time));
    }
    service.recovered = steps.iter().zip(&before).map(|(steps, before)| recovered(steps, before)).collect();
    service
}

/// When the service after a return was first as good as that of the others, or as the gateway's own before.
fn recovered(steps: &BTreeMap<u64, [Count; 2]>, before: &Count) -> Option<u64> {
    let good = |(_, [own, others]): &(&u64, &[Count; 2])| {
        let wanted = if others.asked > 0 { others.served() } else { before.served() };
        own.asked > 0 && own.served() >= AS_GOOD * wanted
    };
    steps.iter().find(good).map(|(step, _)| step * STEP)
}
