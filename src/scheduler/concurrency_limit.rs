//! The limit on units in flight to one store, adjusted by the latency of its responses.
//!
//! Other gateways send to the same store. The limit decreases while responses are slow and increases, by plan
//! weight, while it is fully used; below one mean op it spaces ops in time instead.

use std::time::Duration;

/// Initial limit, in mean ops.
const INITIAL_LIMIT_OPS: f64 = 4.0;
/// Maximum limit, in mean ops.
const MAX_LIMIT_OPS: f64 = 16.0;
/// Minimum limit, in mean ops: three ops that it spaces take about 28 latency objectives, and each response
/// raises the limit again (docs/design.md, "No state that outlasts its cause").
const MIN_LIMIT_OPS: f64 = 0.015625;
/// Step by which a response changes the limit: down by this fraction of the limit, up by this fraction of a
/// mean op times the plan weight.
const LIMIT_STEP: f64 = 0.03;
/// Factor by which a response within the objective raises a limit below one mean op.
const RECOVERY_FACTOR: f64 = 4.0;
/// Factor by which overload reduces the limit.
const OVERLOAD_FACTOR: f64 = 0.5;
/// The limit counts as fully used if fewer than this many additional mean ops would fit.
const FULL_MARGIN_OPS: f64 = 2.0;

/// What the limit learns from a response; latencies are in seconds.
pub(super) struct LimitFeedback {
    pub(super) response_latency: f64,
    /// The store's average latency, including this response.
    pub(super) average_latency: f64,
    /// The average latency that the limit aims for.
    pub(super) target_latency: f64,
    pub(super) shortest_objective: f64,
    /// Units in flight without the op of this response.
    pub(super) units_in_flight: f64,
    /// Weight of the plan to which the op belongs.
    pub(super) plan_weight: f64,
}

/// The maximum number of units in flight.
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
            if feedback.response_latency < feedback.shortest_objective {
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

    /// Minimum time between ops that a limit below one mean op represents.
    ///
    /// Without it, a limit of one op at each of many gateways would still overload a store.
    pub(super) fn spacing(&self, target_latency: f64) -> Duration {
        let gap = target_latency * (self.mean_units / self.units - 1.0).max(0.0);
        Duration::from_secs_f64(gap)
    }

    /// Moves the limit towards that of an earlier run; `trust` is the fraction of the way, from 0 to 1.
    pub(super) fn restore(&mut self, units: f64, trust: f64) {
        let (min, max) = (self.mean_units * MIN_LIMIT_OPS, self.mean_units * MAX_LIMIT_OPS);
        self.units += trust * (units.clamp(min, max) - self.units);
    }
}
