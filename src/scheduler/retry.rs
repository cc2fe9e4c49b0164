//! Attempts of an op: whether another one is safe, and whether there may be one.

use std::collections::VecDeque;
use std::time::Duration;

use super::SchedulerState;
use super::pending_op::{AttemptState, PendingOp};
use super::settings::{Idempotency, RetryBudgetSettings};
use crate::interface::StoreId;

/// Counts ops and retries within the window of the retry budget (rule 6).
///
/// Both are in order of time: to look through all of them for each queued op would cost more the more came.
#[derive(Default)]
pub(super) struct RetryBudget {
    arrivals: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    pub(super) fn record_arrival(&mut self, now: Duration) {
        self.arrivals.push_back(now);
    }

    pub(super) fn record_retry(&mut self, now: Duration) {
        self.retries.push_back(now);
    }

    /// Whether one more retry stays within the budget.
    pub(super) fn allows_retry(&self, settings: &RetryBudgetSettings, now: Duration) -> bool {
        let Some(per_arrival) = settings.per_arrival else { return true };
        let since = now.saturating_sub(settings.window);
        let arrivals = (self.arrivals.len() - self.arrivals.partition_point(|at| *at <= since)) as f64;
        let retries = (self.retries.len() - self.retries.partition_point(|at| *at < since)) as f64;
        retries + 1.0 <= settings.free + per_arrival * arrivals
    }

    /// Forgets what is older than twice the window.
    pub(super) fn drop_old(&mut self, window: Duration, now: Duration) {
        let kept = 2 * window;
        for times in [&mut self.arrivals, &mut self.retries] {
            while times.pop_front_if(|at| *at + kept < now).is_some() {}
        }
    }
}

impl SchedulerState {
    /// Whether an attempt at this store is safe now (rule 2): nothing is executed twice, and no two attempts of an op
    /// are in flight at once.
    pub(super) fn may_attempt_at(&self, pending: &PendingOp, store: StoreId) -> bool {
        if pending.is_in_flight() {
            return false;
        }
        let op_type = self.op_type(pending);
        if op_type.idempotency == Idempotency::Always {
            return true;
        }
        let executed = pending.attempts.iter().find(|attempt| attempt.state != AttemptState::NotExecuted);
        let Some(first) = executed else { return true };
        let Some(first_store) = self.stores.get(first.store) else { return false };
        let Some(next_store) = self.stores.get(store) else { return false };
        let is_remembered = self.now + self.settings.tick < first.started_at + op_type.deduplication_window;
        let (first_at, next_at) = (&first_store.endpoint, &next_store.endpoint);
        match op_type.idempotency {
            Idempotency::Always => true,
            Idempotency::ByKey => is_remembered,
            Idempotency::ByKeyInZone => is_remembered && first_at.zone == next_at.zone,
            Idempotency::ByKeyInShard => is_remembered && first_at.shard == next_at.shard,
            Idempotency::Never => false,
        }
    }

    /// Retries go by priority weight: all that are allowed for the most important op type, fewer for others.
    pub(super) fn has_attempts_left(&self, pending: &PendingOp) -> bool {
        let retries = (self.settings.max_attempts - 1.0) * self.op_type(pending).priority_weight;
        (pending.attempts.len() as f64) < 1.0 + retries.round()
    }
}
