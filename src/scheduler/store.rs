//! State of one store: its entry in the endpoint list, its attempts in flight and its response latency.

use std::collections::BTreeMap;
use std::time::Duration;

use super::concurrency_limit::{ConcurrencyLimit, LimitFeedback};
use super::fair_queue::FairQueue;
use super::outlier::{OutlierDetector, silence_timeout};
use super::settings::SchedulerSettings;
use super::slow_start::RecentSends;
use super::sweep::{SWEEP_INTERVAL_PER_OBJECTIVE, SweepTime};
use crate::interface::{Endpoint, OpId, Outcome, StoreState, VolumeId};

/// Weight of a new response in the moving average of latency, as in Argon.
pub(super) const LATENCY_SMOOTHING: f64 = 0.2;
/// Upper bound of the factor by which a response weighs more if its attempt started long after that of the
/// previous response.
const MAX_SMOOTHING_FACTOR: f64 = 2.0;
/// Initial value of a latency average, as a fraction of the latency objective.
pub(super) const INITIAL_LATENCY_PER_OBJECTIVE: f64 = 0.125;
/// Latency that the concurrency limit aims for, as a fraction of the shortest latency objective.
const TARGET_LATENCY_PER_OBJECTIVE: f64 = 0.35;
/// Average latency above which the store is treated as overloaded, as a fraction of the shortest latency
/// objective.
const OVERLOAD_LATENCY_PER_OBJECTIVE: f64 = 0.6;

/// Settings that all stores share and that stay constant from the gateway's start to its shutdown.
#[derive(Clone, Copy)]
pub(super) struct StoreBaseline {
    pub(super) mean_units: f64,
    pub(super) shortest_objective: Duration,
}

impl StoreBaseline {
    /// Latency in seconds at which a store's average starts and to which it decays.
    pub(super) fn initial_latency(&self) -> f64 {
        self.shortest_objective.as_secs_f64() * INITIAL_LATENCY_PER_OBJECTIVE
    }
}

/// A finished attempt with its outcome.
pub(super) struct FinishedAttempt {
    pub(super) op: OpId,
    pub(super) attempt: u32,
    pub(super) volume: VolumeId,
    pub(super) outcome: Outcome,
    pub(super) started_at: Duration,
    /// Latency in seconds. That of an op heavier than the mean is scaled down to a mean op, because heavy ops
    /// would inflate the average.
    pub(super) latency: f64,
    /// Units that the store's shard served for the volume through other gateways.
    pub(super) units_elsewhere: f64,
    /// Weight of the volume's plan.
    pub(super) plan_weight: f64,
}

struct InFlightAttempt {
    started_at: Duration,
    units: f64,
}

/// State that the scheduler keeps about one store.
pub(super) struct Store {
    pub(super) endpoint: Endpoint,
    pub(super) queues: FairQueue,
    pub(super) limit: ConcurrencyLimit,
    pub(super) outlier: OutlierDetector,
    pub(super) recent_sends: RecentSends,
    in_flight: BTreeMap<(OpId, u32), InFlightAttempt>,
    /// Units in flight without those of stuck attempts, as of the store's latest event.
    units_in_flight: f64,
    /// Average response latency in seconds.
    pub(super) latency: f64,
    baseline: StoreBaseline,
    pub(super) last_sent_at: Duration,
    /// When this gateway was notified that the store had returned to service.
    pub(super) returned_at: Duration,
    /// When this gateway was notified that the store had changed from ready to draining.
    pub(super) draining_since: Option<Duration>,
    /// Number of the last sweep that was applied to this store.
    last_sweep: u64,
}

impl Store {
    pub(super) fn new(baseline: StoreBaseline, now: Duration, last_sweep: u64) -> Self {
        Self {
            endpoint: Endpoint::default(),
            queues: FairQueue::default(),
            limit: ConcurrencyLimit::new(baseline.mean_units),
            outlier: OutlierDetector::new(baseline.shortest_objective, now),
            recent_sends: RecentSends::default(),
            in_flight: BTreeMap::new(),
            units_in_flight: 0.0,
            latency: baseline.initial_latency(),
            baseline,
            last_sent_at: Duration::ZERO,
            returned_at: Duration::ZERO,
            draining_since: None,
            last_sweep,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == StoreState::Ready
    }

    pub(super) fn is_gone(&self) -> bool {
        self.endpoint.state == StoreState::Gone
    }

    /// Whether ops are queued or in flight at this store.
    pub(super) fn has_work(&self) -> bool {
        self.queues.queued_count() > 0 || !self.in_flight.is_empty()
    }

    /// Whether the store no longer affects any decision, not even the slow start of its next incarnation.
    pub(super) fn can_be_removed(&self) -> bool {
        self.is_gone() && !self.has_work() && self.recent_sends.is_empty()
    }

    pub(super) fn units_in_flight(&self) -> f64 {
        self.units_in_flight
    }

    /// Target of the average latency, in seconds.
    pub(super) fn target_latency(&self) -> f64 {
        self.baseline.shortest_objective.as_secs_f64() * TARGET_LATENCY_PER_OBJECTIVE
    }

    fn silence_timeout(&self) -> Duration {
        silence_timeout(self.baseline.shortest_objective, self.latency)
    }

    /// Whether the attempt's response is overdue and presumably lost with its connection, rather than delayed
    /// by a slow store.
    fn is_stuck(&self, attempt: &InFlightAttempt, now: Duration) -> bool {
        let started_at = attempt.started_at;
        self.outlier.may_be_lost(started_at, now) && started_at + self.silence_timeout() < now
    }

    /// Recomputes the units in flight. Departure from Argon: stuck attempts are not counted, because
    /// otherwise each lost response would occupy capacity for up to an op timeout.
    fn recount_units_in_flight(&mut self, now: Duration) {
        let counted = self.in_flight.values().filter(|attempt| !self.is_stuck(attempt, now));
        self.units_in_flight = counted.map(|attempt| attempt.units).sum();
    }

    /// Whether any matching attempt is in flight and not stuck.
    pub(super) fn has_in_flight(&self, now: Duration, matches: impl Fn(OpId) -> bool) -> bool {
        let mut matching = self.in_flight.iter().filter(|((op, _), _)| matches(*op));
        matching.any(|(_, attempt)| !self.is_stuck(attempt, now))
    }

    pub(super) fn is_silent(&self, now: Duration) -> bool {
        let timeout = self.silence_timeout();
        let mut attempts = self.in_flight.values();
        attempts.any(|attempt| self.outlier.is_silent_since(attempt.started_at, now, timeout))
    }

    pub(super) fn on_attempt_started(&mut self, op: OpId, attempt: u32, units: f64, now: Duration) {
        self.in_flight.insert((op, attempt), InFlightAttempt { started_at: now, units });
        self.recount_units_in_flight(now);
        self.recent_sends.record(now, units);
        self.last_sent_at = now;
        self.outlier.on_attempt_started(now);
    }

    /// Applies the outcome of an attempt. After a stall of this gateway, latency averages and the concurrency
    /// limit are not updated from it, because the attempt may have waited here rather than at the store.
    pub(super) fn on_attempt_finished(
        &mut self,
        finished: &FinishedAttempt,
        now: Duration,
        is_stalled: bool,
    ) {
        let is_latency_valid = finished.outcome == Outcome::Succeeded && !is_stalled;
        self.in_flight.remove(&(finished.op, finished.attempt));
        self.recount_units_in_flight(now);
        let valid_latency = is_latency_valid.then_some(finished.latency);
        let units_elsewhere_per_weight = finished.units_elsewhere / finished.plan_weight;
        self.queues.on_attempt_finished(finished.volume, now, units_elsewhere_per_weight, valid_latency);
        // With only one response per second and constant smoothing, the average would lag by seconds.
        let gap = self.outlier.objectives_since_last_response(finished.started_at);
        let smoothing = LATENCY_SMOOTHING * gap.clamp(1.0, MAX_SMOOTHING_FACTOR);
        self.outlier.on_attempt_finished(finished.outcome, finished.started_at, now);
        if is_latency_valid {
            self.latency += smoothing * (finished.latency - self.latency);
            self.limit.on_success(&self.limit_feedback(finished));
        }
        let reflects_current_load = self.outlier.is_newest_responded(finished.started_at) && !is_stalled;
        if finished.outcome == Outcome::Rejected || self.is_overloaded() && reflects_current_load {
            self.limit.on_overload();
        }
    }

    fn limit_feedback(&self, finished: &FinishedAttempt) -> LimitFeedback {
        LimitFeedback {
            response_latency: finished.latency,
            average_latency: self.latency,
            target_latency: self.target_latency(),
            shortest_objective: self.baseline.shortest_objective.as_secs_f64(),
            units_in_flight: self.units_in_flight,
            plan_weight: finished.plan_weight,
        }
    }

    fn is_overloaded(&self) -> bool {
        self.latency > OVERLOAD_LATENCY_PER_OBJECTIVE * self.baseline.shortest_objective.as_secs_f64()
    }

    /// Moves the average towards that of an earlier run; `trust` is the fraction of the way, from 0 to 1.
    pub(super) fn restore_latency(&mut self, latency: f64, trust: f64) {
        self.latency += trust * (latency - self.latency);
    }

    /// Applies all sweeps up to `sweep` that the store has missed. With nothing queued or in flight, applying
    /// many at once has the same effect as applying them one by one.
    pub(super) fn apply_missed_sweeps(&mut self, sweep: SweepTime, settings: &SchedulerSettings) {
        let missed = sweep.number - self.last_sweep;
        self.last_sweep = sweep.number;
        if missed == 0 {
            return;
        }
        self.recent_sends.drop_old(settings.slow_start.window, sweep.at);
        self.queues.drop_idle(sweep.at);
        self.recount_units_in_flight(sweep.at);
        if self.in_flight.is_empty() {
            self.decay_latency(missed, settings.gateways);
        }
    }

    /// Lets the latency average decay towards its initial value. Departure from Argon: without decay, a high
    /// average that keeps ops away from the store would never be corrected, since no response would update
    /// it.
    ///
    /// Each sweep moves it by a sixteenth divided by the number of gateways: together, the gateways probe the
    /// store that much more often.
    fn decay_latency(&mut self, sweeps: u64, gateways: f64) {
        let initial = self.baseline.initial_latency();
        let decay_fraction = SWEEP_INTERVAL_PER_OBJECTIVE / gateways;
        for _ in 0..sweeps {
            let decayed = self.latency + (initial - self.latency) * decay_fraction;
            if decayed == self.latency {
                return;
            }
            self.latency = decayed;
        }
    }
}
