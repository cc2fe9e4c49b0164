//! One store: its place in the endpoint list, what is in flight to it, and how it answers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::concurrency_limit::{ConcurrencyLimit, LimitFeedback};
use super::fair_queue::FairQueue;
use super::outlier::{OutlierDetector, silence_timeout};
use super::settings::SchedulerSettings;
use super::slow_start::RecentSends;
use super::sweep::{SWEEP_INTERVAL_PER_OBJECTIVE, SweepTime};
use crate::interface::{Endpoint, OpId, Outcome, StoreState, VolumeId};

/// Weight of a new answer in a latency average, after Argon.
const LATENCY_SMOOTHING: f64 = 0.2;
/// How much more an answer may weigh whose attempt started long after that of the last answer.
const MAX_SMOOTHING_FACTOR: f64 = 2.0;
/// What a latency average starts at, in latency objectives.
pub(super) const INITIAL_LATENCY_PER_OBJECTIVE: f64 = 0.125;
/// The latency that the concurrency limit is steered to, in shortest latency objectives.
const TARGET_LATENCY_PER_OBJECTIVE: f64 = 0.35;
/// The average latency at which the store counts as overloaded, in shortest latency objectives.
const OVERLOAD_LATENCY_PER_OBJECTIVE: f64 = 0.6;

/// What all stores share: settings that hold from the start of the gateway to its end.
#[derive(Clone, Copy)]
pub(super) struct StoreBaseline {
    pub(super) mean_units: f64,
    pub(super) shortest_objective: Duration,
}

impl StoreBaseline {
    /// Seconds that a store's latency average starts at and fades to.
    pub(super) fn initial_latency(&self) -> f64 {
        self.shortest_objective.as_secs_f64() * INITIAL_LATENCY_PER_OBJECTIVE
    }
}

/// Which attempt an outcome is of.
pub(super) struct FinishedAttempt {
    pub(super) op: OpId,
    pub(super) attempt: u32,
    pub(super) volume: VolumeId,
    pub(super) outcome: Outcome,
    pub(super) started_at: Duration,
    /// Seconds; of an op heavier than the mean as a mean op's, since heavy ops would inflate the average.
    pub(super) latency: f64,
    /// Units that the store's shard served for the volume through other gateways.
    pub(super) units_elsewhere: f64,
    /// Of the volume's plan.
    pub(super) plan_weight: f64,
}

struct InFlightAttempt {
    started_at: Duration,
    units: f64,
}

/// What is known of one store.
pub(super) struct Store {
    pub(super) endpoint: Endpoint,
    pub(super) queues: FairQueue,
    pub(super) limit: ConcurrencyLimit,
    pub(super) outlier: OutlierDetector,
    pub(super) recent_sends: RecentSends,
    in_flight: BTreeMap<(OpId, u32), InFlightAttempt>,
    /// Without stuck attempts, as of the last event of the store.
    units_in_flight: f64,
    /// Seconds of an average answer.
    pub(super) latency: f64,
    baseline: StoreBaseline,
    pub(super) last_sent_at: Duration,
    /// When this gateway heard that the store is back.
    pub(super) back_at: Duration,
    /// When this gateway heard that the store, ready before, is draining.
    pub(super) draining_since: Option<Duration>,
    /// So many sweeps count as having looked at it.
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
            back_at: Duration::ZERO,
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

    /// Whether ops are queued here or in flight.
    pub(super) fn has_work(&self) -> bool {
        self.queues.queued_count() > 0 || !self.in_flight.is_empty()
    }

    /// Whether nothing of it counts any more, not even against its next start.
    pub(super) fn can_be_dropped(&self) -> bool {
        self.is_gone() && !self.has_work() && self.recent_sends.is_empty()
    }

    pub(super) fn units_in_flight(&self) -> f64 {
        self.units_in_flight
    }

    /// Seconds that the average latency is steered to.
    pub(super) fn target_latency(&self) -> f64 {
        self.baseline.shortest_objective.as_secs_f64() * TARGET_LATENCY_PER_OBJECTIVE
    }

    fn silence_timeout(&self) -> Duration {
        silence_timeout(self.baseline.shortest_objective, self.latency)
    }

    /// Whether an attempt is overdue on its connection rather than slow at the store.
    fn is_stuck(&self, attempt: &InFlightAttempt, now: Duration) -> bool {
        let started_at = attempt.started_at;
        self.outlier.may_be_lost(started_at, now) && started_at + self.silence_timeout() < now
    }

    /// Departure from Argon: a stuck attempt takes no room, or each lost answer would cost up to an op timeout.
    fn recount_units_in_flight(&mut self, now: Duration) {
        let counted = self.in_flight.values().filter(|attempt| !self.is_stuck(attempt, now));
        self.units_in_flight = counted.map(|attempt| attempt.units).sum();
    }

    /// Whether attempts that match are in flight and not stuck.
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

    /// Takes in an outcome. After this gateway's own stall neither averages nor limit learn from it, since the wait
    /// may have been here.
    pub(super) fn on_attempt_finished(
        &mut self,
        finished: &FinishedAttempt,
        now: Duration,
        is_stalled: bool,
    ) {
        let is_measured = finished.outcome == Outcome::Succeeded && !is_stalled;
        self.in_flight.remove(&(finished.op, finished.attempt));
        self.recount_units_in_flight(now);
        if let Some(queue) = self.queues.volume_mut(finished.volume) {
            queue.finish_attempt(now, finished.units_elsewhere / finished.plan_weight);
            if is_measured {
                queue.latency += LATENCY_SMOOTHING * (finished.latency - queue.latency);
            }
        }
        // With an answer a second the average would lag by seconds.
        let gap = self.outlier.objectives_since_answered(finished.started_at);
        let smoothing = LATENCY_SMOOTHING * gap.clamp(1.0, MAX_SMOOTHING_FACTOR);
        self.outlier.on_attempt_finished(finished.outcome, finished.started_at, now);
        if is_measured {
            self.latency += smoothing * (finished.latency - self.latency);
            self.limit.on_success(&self.limit_feedback(finished));
        }
        let tells_of_now = self.outlier.is_latest(finished.started_at) && !is_stalled;
        if finished.outcome == Outcome::Rejected || self.is_overloaded() && tells_of_now {
            self.limit.on_overload();
        }
    }

    fn limit_feedback(&self, finished: &FinishedAttempt) -> LimitFeedback {
        LimitFeedback {
            answer_latency: finished.latency,
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

    /// Moves the average towards an earlier run's by the part that it is trusted.
    pub(super) fn restore_latency(&mut self, latency: f64, trust: f64) {
        self.latency += trust * (latency - self.latency);
    }

    /// Does what sweeps up to this one do. With nothing queued or in flight, many at once do the same as one by one.
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
            self.fade_latency(missed, settings.gateways);
        }
    }

    /// Departure from Argon: an average that no answer renews fades, or what it keeps away would never show its end.
    ///
    /// By a sixteenth over the number of gateways a sweep, since together they look that much more often.
    fn fade_latency(&mut self, sweeps: u64, gateways: f64) {
        let initial = self.baseline.initial_latency();
        let part = SWEEP_INTERVAL_PER_OBJECTIVE / gateways;
        for _ in 0..sweeps {
            let faded = self.latency + (initial - self.latency) * part;
            if faded == self.latency {
                return;
            }
            self.latency = faded;
        }
    }
}
