//! The bound on units in flight to one store, steered by the latency of its answers.
//!
//! Other gateways fill the same store: the limit falls while answers are slow, rises by weight while it is used up, and
//! below one mean op it spaces ops in time instead.

use std::time::Duration;

/// Mean ops in flight that a store starts with.
const INITIAL_LIMIT_OPS: f64 = 4.0;
/// Mean ops in flight at most.
const MAX_LIMIT_OPS: f64 = 16.0;
/// The least limit, in mean ops: three ops that it spaces take about 28 latency objectives, each answer bringing it
/// back (docs/design.md, "No state that outlasts its cause").
const MIN_LIMIT_OPS: f64 = 0.015625;
/// How far an answer moves the limit: down by this part of itself, up by this part of a mean op times the weight.
const LIMIT_STEP: f64 = 0.03;
/// What an answer within the objective multiplies a limit below one mean op by.
const RECOVERY_FACTOR: f64 = 4.0;
/// What an overloaded store's limit is multiplied by.
const OVERLOAD_FACTOR: f64 = 0.5;
/// The limit counts as used up when fewer than this many mean ops more would fit.
const FULL_MARGIN_OPS: f64 = 2.0;

/// What an answer tells the limit, latencies in seconds.
pub(super) struct LimitFeedback {
    pub(super) answer_latency: f64,
    /// The store's average, with this answer.
    pub(super) average_latency: f64,
    /// The average that the limit is steered to.
    pub(super) target_latency: f64,
    pub(super) shortest_objective: f64,
    /// Without the op that was answered.
    pub(super) units_in_flight: f64,
    /// Of the plan whose op was answered.
    pub(super) plan_weight: f64,
}

/// Units in flight at most.
///
/// Invariant: between `MIN_LIMIT_OPS` and `MAX_LIMIT_OPS` mean ops.
pub(super) struct ConcurrencyLimit {
    units: f64,
    mean_units: f64,
}

impl ConcurrencyLimit {
    pub(super) fn new(mean_units: f64) -> Self {
        Self { units: INITIAL_LIMIT_OPS * mean_units, mean_units }
    }

    pub(super) fn units(&self) -> f64 {
        self.units
    }

    pub(super) fn on_success(&mut self, feedback: &LimitFeedback) {
        let mean = self.mean_units;
        if self.units < mean {
            if feedback.answer_latency < feedback.shortest_objective {
                self.units *= RECOVERY_FACTOR;
            }
            return;
        }
        let is_full = feedback.units_in_flight + FULL_MARGIN_OPS * mean > self.units;
        let increase = if is_full { mean * feedback.plan_weight } else { 0.0 };
        let is_slow = feedback.average_latency > feedback.target_latency;
        let change = if is_slow { -self.units } else { increase };
        self.units += LIMIT_STEP * change;
        self.units = self.units.clamp(mean, MAX_LIMIT_OPS * mean);
    }

    pub(super) fn on_overload(&mut self) {
        self.units = (self.units * OVERLOAD_FACTOR).max(self.mean_units * MIN_LIMIT_OPS);
    }

    /// The time between ops that a limit below one mean op stands for.
    ///
    /// A limit of one op at each of many gateways would still bury a store.
    pub(super) fn spacing(&self, target_latency: f64) -> Duration {
        let gap = target_latency * (self.mean_units / self.units - 1.0).max(0.0);
        Duration::from_secs_f64(gap)
    }

    /// Moves towards an earlier run's limit by the part that it is trusted.
    pub(super) fn restore(&mut self, units: f64, trust: f64) {
        let (least, most) = (self.mean_units * MIN_LIMIT_OPS, self.mean_units * MAX_LIMIT_OPS);
        self.units += trust * (units.clamp(least, most) - self.units);
    }
}
