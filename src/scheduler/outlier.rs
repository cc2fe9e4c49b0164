//! Outlier detection: stores suspected of not responding, and responses that are overdue because their
//! connection may have lost them.

use std::time::Duration;

use super::fair_queue::IDLE_TIMEOUT;
use crate::interface::Outcome;

/// Silence after which a store is suspected, as a multiple of the shortest latency objective.
const SILENCE_PER_OBJECTIVE: f64 = 0.5;
/// Silence after which a store is suspected, as a multiple of the store's average latency; the longer of the
/// two timeouts applies.
const SILENCE_PER_LATENCY: f64 = 4.0;

/// How long a response may be overdue before its store is suspected; `average_latency` is in seconds.
pub(super) fn silence_timeout(shortest_objective: Duration, average_latency: f64) -> Duration {
    let by_latency = Duration::from_secs_f64(average_latency * SILENCE_PER_LATENCY);
    trial_interval(shortest_objective).max(by_latency)
}

/// Minimum interval between trial attempts at a suspected store.
fn trial_interval(shortest_objective: Duration) -> Duration {
    shortest_objective.mul_f64(SILENCE_PER_OBJECTIVE)
}

/// Judges a store by its responses and by their absence.
pub(super) struct OutlierDetector {
    shortest_objective: Duration,
    /// Start of the most recently started attempt to which the store has responded; responses to earlier
    /// attempts are out of order.
    newest_responded_start: Duration,
    /// Until this time the store is assumed to drop responses: an attempt timed out although a later one
    /// received a response.
    drops_responses_until: Duration,
    /// Present while the store is suspected, or has just returned to service, until it responds: ops are sent
    /// one at a time, the next no earlier than this.
    next_trial_at: Option<Duration>,
}

impl OutlierDetector {
    pub(super) fn new(shortest_objective: Duration, now: Duration) -> Self {
        Self {
            shortest_objective,
            newest_responded_start: now,
            drops_responses_until: Duration::ZERO,
            next_trial_at: None,
        }
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.next_trial_at.is_some()
    }

    /// Whether an op may be sent now; a suspected store is sent its next trial when that is due.
    pub(super) fn allows_attempt(&self, now: Duration) -> bool {
        self.next_trial_at.is_none_or(|trial_at| now >= trial_at)
    }

    /// Marks the store as suspected, with the first trial at `trial_at`; an earlier suspicion keeps its trial
    /// time.
    pub(super) fn suspect(&mut self, trial_at: Duration) {
        self.next_trial_at = self.next_trial_at.or(Some(trial_at));
    }

    /// The store has returned to service: its first trial is at `trial_at`, replacing any earlier suspicion.
    pub(super) fn on_store_returned(&mut self, trial_at: Duration) {
        self.next_trial_at = Some(trial_at);
    }

    /// An attempt starts: postpones the next trial of a suspected store.
    pub(super) fn on_attempt_started(&mut self, now: Duration) {
        if self.next_trial_at.is_some() {
            self.next_trial_at = Some(now + trial_interval(self.shortest_objective));
        }
    }

    /// Whether the response to an attempt may be lost rather than slow: later attempts received responses, or
    /// the store drops responses.
    pub(super) fn may_be_lost(&self, started_at: Duration, now: Duration) -> bool {
        started_at < self.newest_responded_start || now < self.drops_responses_until
    }

    /// Whether no response has been received for longer than the timeout since this attempt started.
    pub(super) fn is_silent_since(
        &self,
        started_at: Duration,
        now: Duration,
        silence_timeout: Duration,
    ) -> bool {
        started_at.max(self.newest_responded_start) + silence_timeout < now
    }

    /// Whether no attempt that started later received a response before this one.
    pub(super) fn is_newest_responded(&self, started_at: Duration) -> bool {
        self.newest_responded_start <= started_at
    }

    /// Time between the starts of this attempt and of the newest one with a response, as a multiple of the
    /// shortest latency objective.
    pub(super) fn objectives_since_last_response(&self, started_at: Duration) -> f64 {
        let gap = started_at.saturating_sub(self.newest_responded_start);
        gap.as_secs_f64() / self.shortest_objective.as_secs_f64()
    }

    pub(super) fn on_attempt_finished(&mut self, outcome: Outcome, started_at: Duration, now: Duration) {
        if outcome == Outcome::TimedOut && started_at < self.newest_responded_start {
            self.drops_responses_until = now + IDLE_TIMEOUT;
        }
        match outcome {
            Outcome::Succeeded | Outcome::Failed => {
                self.next_trial_at = None;
                self.newest_responded_start = self.newest_responded_start.max(started_at);
            }
            Outcome::NotSent | Outcome::Cancelled | Outcome::Unknown => {}
            Outcome::Rejected | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.suspect(now + trial_interval(self.shortest_objective));
            }
        }
    }
}
