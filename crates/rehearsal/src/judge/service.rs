//! Utility acked within target latency, over time, by op type and by plan.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::day::Day;
use crate::record::{Deed, Outcome, Record};

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    pub asked: u64,
    pub acked: u64,
    pub in_target: u64,
    pub throttled: u64,
    pub aborted: u64,
    pub lost: u64,
    /// Utility asked for, and acked within the target latency.
    pub utility: f64,
    pub utility_in_target: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    pub all: Count,
    pub by_op_type: BTreeMap<String, Count>,
    pub by_plan: BTreeMap<String, Count>,
    /// Of requests to a gateway within two seconds after it was killed.
    pub after_return: Count,
    /// By second of the day.
    pub by_second: BTreeMap<u64, Count>,
}

/// How long after a gateway's death its requests count as those after its return, microseconds.
const RETURN: u64 = 2_000_000;

pub(crate) fn service(day: &Day, record: &Record) -> Service {
    let settings = &day.document.settings;
    let mut service = Service::default();
    for asked in &record.asked {
        let op_type = &settings.op_types[settings.op_type(asked.kind.work(), asked.length)];
        let plan = &settings.plans[settings.volumes[asked.volume].plan].name;
        let in_time = asked.ended - asked.sent <= op_type.target_latency.as_micros() as u64;
        let killed = |(at, deed): &(u64, Deed)| {
            *deed == Deed::Killed { gateway: asked.gateway } && (*at..*at + RETURN).contains(&asked.sent)
        };
        let mut other = Count::default();
        let returned = record.deeds.iter().any(killed);
        let counts = [
            if returned { &mut service.after_return } else { &mut other },
            &mut service.all,
            service.by_op_type.entry(op_type.name.clone()).or_default(),
            service.by_plan.entry(plan.clone()).or_default(),
            service.by_second.entry(asked.sent / 1_000_000).or_default(),
        ];
        for count in counts {
            count.asked += 1;
            count.utility += op_type.utility;
            match asked.outcome {
                Outcome::Acked => {
                    count.acked += 1;
                    if in_time {
                        count.in_target += 1;
                        count.utility_in_target += op_type.utility;
                    }
                }
                Outcome::Throttled => count.throttled += 1,
                Outcome::Aborted | Outcome::Shutdown => count.aborted += 1,
                Outcome::Lost | Outcome::Silent => count.lost += 1,
            }
        }
    }
    service
}
