//! The verdict on a day, from what clients and stores saw and never from the gateways' own word.

mod registers;
mod rules;
mod service;
mod surroundings;

use serde::Serialize;

use crate::day::Day;
use crate::record::{HeldUp, LateStep, Record};

pub use service::{Count, Service};

/// What one rule came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The rule.
    pub rule: &'static str,
    /// How often it was looked at: a rule that was never tried says nothing.
    pub looked: u64,
    /// Its figure, in the words of `unit`.
    pub figure: f64,
    /// What the figure counts.
    pub unit: &'static str,
    /// The first few breaches.
    pub breaches: Vec<String>,
    /// How often it was broken.
    pub broken: u64,
}

impl Finding {
    pub(crate) fn new(rule: &'static str, unit: &'static str) -> Finding {
        Finding { rule, looked: 0, figure: 0.0, unit, breaches: Vec::new(), broken: 0 }
    }

    pub(crate) fn breach(&mut self, what: impl FnOnce() -> String) {
        self.broken += 1;
        if self.breaches.len() < 5 {
            self.breaches.push(what());
        }
    }

    pub(crate) fn at_most(&mut self, figure: f64) {
        self.figure = self.figure.max(figure);
    }
}

/// What a scenario came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// No rule was broken.
    pub kept: bool,
    /// What each rule came to.
    pub findings: Vec<Finding>,
    /// What clients were served.
    pub service: Service,
    /// Steps of faults that began later than the day's slack.
    pub late_steps: Vec<LateStep>,
    /// Times in which the test itself was held up: timed rules are less sure of what falls into them.
    pub held_up: Vec<HeldUp>,
}

/// Judges a scenario by its record.
pub fn judge(day: &Day, record: &Record) -> Verdict {
    let seen = rules::Seen::new(day, record);
    let findings = vec![
        rules::one_answer(&seen),
        rules::no_effect_twice(&seen),
        rules::drains(&seen),
        rules::cold_stores(&seen),
        rules::order(&seen),
        rules::budget(&seen),
        rules::limits(&seen),
        registers::registers(&seen),
    ];
    let kept = findings.iter().all(|finding| finding.broken == 0);
    let service = service::service(day, record);
    let (late_steps, held_up) = (record.late_steps.clone(), record.held_up.clone());
    Verdict { kept, findings, service, late_steps, held_up }
}

#[cfg(test)]
mod tests;
