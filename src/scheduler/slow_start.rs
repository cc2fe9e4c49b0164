//! Slow start of stores that have just started and cannot carry their full load yet (rule 4).
//!
//! Each gateway sends such a store at most an equal part of what the store can carry. Where that part is less
//! than an op, the ops of each volume are paced instead, so that the gateways of a volume together stay below
//! a multiple of its plan's rate.

use std::time::Duration;

use super::SchedulerState;
use super::settings::SlowStartSettings;
use super::store::Store;
use crate::interface::{Endpoint, Op};

/// Fraction of rule 4's multiple of the plan's rate (the setting `rules.fall_multiple`) that paced ops may
/// use; the rest absorbs random variation and other stores in slow start.
const PACED_SHARE: f64 = 0.375;

/// Units sent to a store, with the times of sending.
#[derive(Default)]
pub(super) struct RecentSends(Vec<(Duration, f64)>);

impl RecentSends {
    pub(super) fn record(&mut self, now: Duration, units: f64) {
        self.0.push((now, units));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn units_within(&self, window: Duration, now: Duration) -> f64 {
        let recent = self.0.iter().filter(|(at, _)| *at + window >= now);
        recent.map(|(_, units)| units).sum()
    }

    /// Drops sends older than twice the window; until then they count against the store's next incarnation.
    pub(super) fn drop_old(&mut self, window: Duration, now: Duration) {
        self.0.retain(|(at, _)| *at + 2 * window >= now);
    }
}

impl SlowStartSettings {
    /// Minimum fraction of its full load that a store can carry at its age; absent: all of it.
    pub(super) fn progress(&self, endpoint: &Endpoint, now: Duration) -> Option<f64> {
        let age = now.saturating_sub(endpoint.started_at?).as_secs_f64();
        let (initial, duration) = (self.initial_progress, self.duration_secs);
        (age < duration).then(|| initial + (1.0 - initial) * age / duration)
    }
}

impl SchedulerState {
    pub(super) fn slow_start_progress(&self, endpoint: &Endpoint) -> Option<f64> {
        self.settings.slow_start.progress(endpoint, self.now)
    }

    /// Whether the op may be sent to a store in slow start, within this gateway's equal part or as a paced
    /// op.
    ///
    /// Nothing is sent within one window after this gateway's own start, since the ops of an earlier run
    /// still count.
    pub(super) fn has_slow_start_budget(&self, store: &Store, op: &Op, progress: f64) -> bool {
        let rules = &self.settings.slow_start;
        let sent = store.recent_sends.units_within(rules.window, self.now);
        let initial_progress = rules.initial_progress.max(f64::MIN_POSITIVE);
        let capacity = rules.initial_units.unwrap_or(self.mean_units) * progress / initial_progress;
        let gateway_units = capacity / self.settings.gateways;
        // Hazard: paced ops share one budget with the equal part and with one another. If they were allowed
        // in addition to the equal part, or counted for each volume alone, the total would exceed rule 4.
        let paced_units =
            if self.is_paced_send_due(store, op, progress) { self.mean_units.max(op.units) } else { 0.0 };
        self.now >= self.started_at + rules.window && op.units + sent <= gateway_units.max(paced_units)
    }

    /// Whether the next paced op of the volume is due; the first one is sent at a random time within one
    /// interval of the store's return.
    fn is_paced_send_due(&self, store: &Store, op: &Op, progress: f64) -> bool {
        let Some(interval) = self.pacing_interval(op, progress) else { return false };
        let phase = self.random.phase(op.volume, store.returned_at);
        let first_at = store.returned_at + interval.mul_f64(phase);
        let next_at = store.queues.volume(op.volume).map(|queue| queue.next_paced_send_at);
        self.now >= next_at.unwrap_or_default().max(first_at)
    }

    /// Interval after such an op until the volume's next one to a store in slow start; absent: too long to
    /// represent.
    pub(super) fn pacing_interval(&self, op: &Op, progress: f64) -> Option<Duration> {
        let rate_share = self.settings.slow_start.rate_multiple * PACED_SHARE * progress;
        let plan_rate = self.settings.plans[op.plan].rate;
        let seconds = op.units * op.gateways.max(1.0) / (plan_rate * rate_share);
        Duration::try_from_secs_f64(seconds).ok()
    }
}
