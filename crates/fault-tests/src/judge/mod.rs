//! The verdict on a scenario, computed only from what clients and stores observed, never from what gateways
//! report.

mod concurrent_events;
mod registers;
mod rules;
mod service;

use serde::Serialize;

use crate::record::{HeldUp, LateStep, Record};
use crate::script::Scenario;

pub use service::{Count, Service};

/// Result of checking one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// Name of the rule.
    pub rule: &'static str,
    /// Number of cases checked. A rule with no cases proves nothing.
    #[serde(rename = "looked")]
    pub cases_checked: u64,
    /// Value measured for the rule; `unit` says what it is.
    #[serde(rename = "figure")]
    pub value: f64,
    /// What `value` measures.
    pub unit: &'static str,
    /// Descriptions of the first few breaches.
    pub breaches: Vec<String>,
    /// Number of breaches.
    #[serde(rename = "broken")]
    pub breach_count: u64,
}

impl Finding {
    pub(crate) fn new(rule: &'static str, unit: &'static str) -> Finding {
        Finding { rule, cases_checked: 0, value: 0.0, unit, breaches: Vec::new(), breach_count: 0 }
    }

    pub(crate) fn breach(&mut self, describe: impl FnOnce() -> String) {
        self.breach_count += 1;
        if self.breaches.len() < 5 {
            self.breaches.push(describe());
        }
    }

    pub(crate) fn record_max(&mut self, value: f64) {
        self.value = self.value.max(value);
    }
}

/// Result of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Whether no rule was breached.
    #[serde(rename = "kept")]
    pub has_passed: bool,
    /// Result of each rule.
    pub findings: Vec<Finding>,
    /// Service that clients received.
    pub service: Service,
    /// Steps of faults that began later than planned by more than the scenario's slack.
    pub late_steps: Vec<LateStep>,
    /// Pauses of the test process. Findings of timed rules during a pause are less certain.
    pub held_up: Vec<HeldUp>,
}

/// Checks a scenario's record against all rules.
pub fn judge(scenario: &Scenario, record: &Record) -> Verdict {
    let indexed = rules::IndexedRecord::new(scenario, record);
    let findings = vec![
        rules::one_final_response(&indexed),
        rules::at_most_one_effect(&indexed),
        rules::drained_stores(&indexed),
        rules::cold_stores(&indexed),
        rules::order_by_key(&indexed),
        rules::retry_budget(&indexed),
        rules::volume_limits(&indexed),
        registers::registers(&indexed),
    ];
    let has_passed = findings.iter().all(|finding| finding.breach_count == 0);
    let service = service::service(scenario, record);
    let (late_steps, held_up) = (record.late_steps.clone(), record.held_up.clone());
    Verdict { has_passed, findings, service, late_steps, held_up }
}

#[cfg(test)]
mod tests;
