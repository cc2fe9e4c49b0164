//! The service that clients received: utility acked within the target latency, over time, by op type and by
//! plan.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::record::{Asked, Outcome, Record, TestEvent};
use crate::script::Scenario;

/// Counts of requests by outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// All requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Acknowledged.
    pub acked: u64,
    /// Acknowledged within the target latency.
    pub in_target: u64,
    /// Throttled.
    pub throttled: u64,
    /// Aborted, also because of a gateway's shutdown.
    pub aborted: u64,
    /// Without a response.
    pub lost: u64,
    /// Utility of all requests: the sum of their priority weights.
    pub utility: f64,
    /// Utility of the requests acked within the target latency.
    pub utility_in_target: f64,
}

/// The service that clients received.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// All requests.
    pub all: Count,
    /// Requests by op type.
    pub by_op_type: BTreeMap<String, Count>,
    /// Requests by plan.
    pub by_plan: BTreeMap<String, Count>,
    /// Requests to a gateway within ten seconds after it was started again after a kill.
    pub after_return: Count,
    /// Requests in those seconds to gateways that had not been killed recently.
    pub others_then: Count,
    /// For each return of a gateway, the time in microseconds until its service, counted in steps of half a
    /// second, first matched that of the other gateways, or its own before the kill if there are no others.
    /// `None` if that did not happen within the ten seconds.
    pub recovered: Vec<Option<u64>>,
    /// Requests by second of the scenario.
    pub by_second: BTreeMap<u64, Count>,
}

/// Time after a gateway's return in which its requests count towards `after_return`, in microseconds.
const RETURN_WINDOW_MICROS: u64 = 10_000_000;

/// Length of the steps in which recovery is checked, in microseconds.
const RECOVERY_STEP_MICROS: u64 = 500_000;

/// A gateway has recovered when it serves this fraction of the utility that the others serve.
const RECOVERED_RATIO: f64 = 0.95;

impl Count {
    fn add(&mut self, request: &Asked, utility: f64, is_in_target: bool) {
        self.requests += 1;
        self.utility += utility;
        match request.outcome {
            Outcome::Acked => {
                self.acked += 1;
                if is_in_target {
                    self.in_target += 1;
                    self.utility_in_target += utility;
                }
            }
            Outcome::Throttled => self.throttled += 1,
            Outcome::Aborted | Outcome::Shutdown => self.aborted += 1,
            Outcome::Lost | Outcome::Silent => self.lost += 1,
        }
    }

    /// Utility acked within the target latency, as a fraction of the utility requested.
    pub fn served(&self) -> f64 {
        self.utility_in_target / self.utility.max(1e-9)
    }
}

/// One return of a gateway after a kill; its requests between `from` and `until` count towards
/// `after_return`.
struct GatewayReturn {
    gateway: usize,
    killed_at: u64,
    from: u64,
    until: u64,
}

impl GatewayReturn {
    fn covers(&self, request: &Asked) -> bool {
        request.gateway == self.gateway && (self.from..self.until).contains(&request.sent)
    }
}

fn returns(record: &Record) -> Vec<GatewayReturn> {
    let mut killed = BTreeMap::new();
    let mut returns: Vec<GatewayReturn> = Vec::new();
    for (at, event) in &record.events {
        match event {
            TestEvent::Killed { gateway } => {
                killed.insert(*gateway, *at);
                let earlier = returns.iter_mut().filter(|r| r.gateway == *gateway);
                earlier.for_each(|r| r.until = r.until.min(*at));
            }
            TestEvent::Returned { gateway } => {
                let killed_at = killed.get(gateway).copied().unwrap_or(*at);
                let (gateway, from, until) = (*gateway, *at, at + RETURN_WINDOW_MICROS);
                returns.push(GatewayReturn { gateway, killed_at, from, until });
            }
            _ => {}
        }
    }
    returns
}

pub(crate) fn service(scenario: &Scenario, record: &Record) -> Service {
    let settings = &scenario.document.settings;
    let mut service = Service::default();
    let returns = returns(record);
    // For each return and each step after it: requests to this gateway, and to those not recently killed.
    let mut steps: Vec<BTreeMap<u64, [Count; 2]>> = returns.iter().map(|_| BTreeMap::new()).collect();
    let mut before = vec![Count::default(); returns.len()];
    for request in &record.client_requests {
        let op_type = &settings.op_types[settings.op_type(request.kind.operation_kind(), request.length)];
        let plan = &settings.plans[settings.volumes[request.volume].plan].name;
        let is_in_target = request.ended - request.sent <= op_type.target_latency.as_micros() as u64;
        let after_return = returns.iter().any(|r| r.covers(request));
        for (i, r) in returns.iter().enumerate() {
            if (r.from..r.until).contains(&request.sent) && (request.gateway == r.gateway || !after_return) {
                let step = steps[i].entry((request.sent - r.from) / RECOVERY_STEP_MICROS).or_default();
                step[usize::from(request.gateway != r.gateway)].add(
                    request,
                    op_type.priority_weight,
                    is_in_target,
                );
            }
            if request.gateway == r.gateway
                && (r.killed_at.saturating_sub(4 * RECOVERY_STEP_MICROS)..r.killed_at).contains(&request.sent)
            {
                before[i].add(request, op_type.priority_weight, is_in_target);
            }
        }
        let during_other_return = returns.iter().any(|r| (r.from..r.until).contains(&request.sent));
        let mut ignored = Count::default();
        let counts = [
            match (after_return, during_other_return) {
                (true, _) => &mut service.after_return,
                (false, true) => &mut service.others_then,
                (false, false) => &mut ignored,
            },
            &mut service.all,
            service.by_op_type.entry(op_type.name.clone()).or_default(),
            service.by_plan.entry(plan.clone()).or_default(),
            service.by_second.entry(request.sent / 1_000_000).or_default(),
        ];
        counts.into_iter().for_each(|count| count.add(request, op_type.priority_weight, is_in_target));
    }
    service.recovered =
        steps.iter().zip(&before).map(|(steps, before)| recovery_time(steps, before)).collect();
    service
}

/// Time until the service after a return first matched that of the other gateways, or, where there are none,
/// the gateway's own service before the kill.
fn recovery_time(steps: &BTreeMap<u64, [Count; 2]>, before: &Count) -> Option<u64> {
    let has_recovered = |(_, [own, others]): &(&u64, &[Count; 2])| {
        let expected = if others.requests > 0 { others.served() } else { before.served() };
        own.requests > 0 && own.served() >= RECOVERED_RATIO * expected
    };
    steps.iter().find(has_recovered).map(|(step, _)| step * RECOVERY_STEP_MICROS)
}
