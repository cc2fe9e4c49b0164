//! Processing of an attempt's result: effects on the op, its volume and its store, and whether to retry.

use super::SchedulerState;
use super::pending_op::AttemptState;
use super::store::FinishedAttempt;
use crate::interface::{AttemptResult, Outcome, StoreId};

/// Attempts count as executed unless the outcome code proves otherwise; so do attempts with unknown codes
/// (rule 2).
fn state_after(outcome: Outcome) -> AttemptState {
    match outcome {
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => AttemptState::NotExecuted,
        Outcome::Succeeded
        | Outcome::Failed
        | Outcome::TimedOut
        | Outcome::Reset
        | Outcome::Cancelled
        | Outcome::Unknown => AttemptState::MaybeExecuted,
    }
}

/// Whether the store may still be executing the op.
fn may_still_execute(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Unknown)
}

impl SchedulerState {
    /// Processes the result of an attempt; ignored if the attempt is not in flight.
    pub(super) fn on_attempt_finished(&mut self, result: &AttemptResult) {
        let Some((store, finished)) = self.record_outcome(result) else { return };
        let pending = &self.ops[&result.op];
        if let Some(key) = pending.op.key.filter(|_| may_still_execute(result.outcome)) {
            self.key_orders.pause(key, self.now + self.settings.key_order_pause);
        }
        let plan_rate = self.settings.plans[pending.op.plan].rate;
        if let Some(quota) = self.quotas.volume_mut(finished.volume) {
            let reported_rate = result.plan_rate_used.map(|used| used * plan_rate);
            quota.record_service_elsewhere(result.units_elsewhere, reported_rate);
        }
        if let Some(store) = self.stores.get_mut(store) {
            store.on_attempt_finished(&finished, self.now, self.is_stalled);
        }
        self.retry_or_end(result);
    }

    fn record_outcome(&mut self, result: &AttemptResult) -> Option<(StoreId, FinishedAttempt)> {
        let pending = self.ops.get_mut(&result.op)?;
        let attempt = pending.attempts.get_mut(result.attempt as usize)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        attempt.state = state_after(result.outcome);
        let size_in_mean_ops = (pending.op.units / self.mean_units).max(1.0);
        let finished = FinishedAttempt {
            op: result.op,
            attempt: result.attempt,
            volume: pending.op.volume,
            outcome: result.outcome,
            started_at: attempt.started_at,
            latency: result.latency.as_secs_f64() / size_in_mean_ops,
            units_elsewhere: result.units_elsewhere,
            plan_weight: self.settings.plans[pending.op.plan].weight,
        };
        Some((attempt.store, finished))
    }

    /// Retries the op if time and attempts are left, and ends it otherwise. There is no retry after a
    /// timeout, since the op's time is used up.
    fn retry_or_end(&mut self, result: &AttemptResult) {
        let pending = &self.ops[&result.op];
        if result.op_ended || pending.has_ended {
            self.on_op_ended(result.op);
            return;
        }
        let has_time_left = result.outcome != Outcome::TimedOut && self.now < pending.deadline_at;
        if has_time_left && self.has_attempts_left(pending) {
            self.enqueue(result.op);
        } else {
            self.reject_or_fail(result.op);
        }
    }
}
