//! Retries of an op: whether another attempt is safe, and whether it is allowed.

use std::collections::VecDeque;
use std::time::Duration;

use super::SchedulerState;
use super::pending_op::{AttemptState, PendingOp};
use super::settings::{Idempotency, RetryBudgetSettings};
use crate::interface::StoreId;

/// Counts arrived ops and retries within the window of the retry budget (rule 6).
///
/// Both queues are ordered by time and searched by bisection: scanning all entries for each queued op would
/// make the cost grow with the load.
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

    /// Removes entries older than twice the window.
    pub(super) fn drop_old(&mut self, window: Duration, now: Duration) {
        let retention = 2 * window;
        for timestamps in [&mut self.arrivals, &mut self.retries] {
            while timestamps.pop_front_if(|at| *at + retention < now).is_some() {}
        }
    }
}

impl SchedulerState {
    /// Whether an attempt at this store is safe now (rule 2): no op may be executed twice, and no op may have
    /// two attempts in flight at once.
    pub(super) fn may_attempt_at(&self, pending: &PendingOp, store: StoreId) -> bool {
        if pending.is_in_flight() {
            return false;
        }
        let op_type = self.op_type(pending);
        if op_type.idempotency == Idempotency::Always {
            return true;
        }
        let maybe_executed =
            pending.attempts.iter().find(|attempt| attempt.state != AttemptState::NotExecuted);
        let Some(first) = maybe_executed else { return true };
        let Some(first_store) = self.stores.get(first.store) else { return false };
        let Some(next_store) = self.stores.get(store) else { return false };
        let is_key_remembered =
            self.now + self.settings.tick < first.started_at + op_type.deduplication_window;
        let (first_endpoint, next_endpoint) = (&first_store.endpoint, &next_store.endpoint);
        match op_type.idempotency {
            Idempotency::Always => true,
            Idempotency::ByKey => is_key_remembered,
            Idempotency::ByKeyInZone => is_key_remembered && first_endpoint.zone == next_endpoint.zone,
            Idempotency::ByKeyInShard => is_key_remembered && first_endpoint.shard == next_endpoint.shard,
            Idempotency::Never => false,
        }
    }

    /// Whether the op may be attempted again. Retries scale with priority weight: the most important op type
    /// may use all that are allowed, others fewer.
    pub(super) fn has_attempts_left(&self, pending: &PendingOp) -> bool {
        let retries = (self.settings.max_attempts - 1.0) * self.op_type(pending).priority_weight;
        (pending.attempts.len() as f64) < 1.0 + retries.round()
    }
}
