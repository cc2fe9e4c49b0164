//! Stores that may not answer: suspected ones, and connections on which an answer is overdue.

use std::time::Duration;

use super::fair_queue::IDLE_TIMEOUT;
use crate::interface::Outcome;

/// Silence after which a store is suspected, in shortest latency objectives.
const SILENCE_PER_OBJECTIVE: f64 = 0.5;
/// Silence after which a store is suspected, in the store's average latencies; the longer of the two counts.
const SILENCE_PER_LATENCY: f64 = 4.0;

/// How long an answer may be overdue before its store is suspected, from the average latency in seconds.
pub(super) fn silence_timeout(shortest_objective: Duration, average_latency: f64) -> Duration {
    let by_latency = Duration::from_secs_f64(average_latency * SILENCE_PER_LATENCY);
    trial_interval(shortest_objective).max(by_latency)
}

/// How long a suspected store is left alone between trials.
fn trial_interval(shortest_objective: Duration) -> Duration {
    shortest_objective.mul_f64(SILENCE_PER_OBJECTIVE)
}

/// What a store's answers, and their absence, tell of it.
pub(super) struct OutlierDetector {
    shortest_objective: Duration,
    /// The start of the newest attempt that was answered: earlier ones were overtaken.
    reordered_until: Duration,
    /// Until then the store is taken to drop answers: one never came while later ones did.
    dropping_until: Duration,
    /// The store may not answer, or is just back: until it does, ops go one at a time, no sooner than this.
    suspected_until: Option<Duration>,
}

impl OutlierDetector {
    pub(super) fn new(shortest_objective: Duration, now: Duration) -> Self {
        Self {
            shortest_objective,
            reordered_until: now,
            dropping_until: Duration::ZERO,
            suspected_until: None,
        }
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.suspected_until.is_some()
    }

    /// Whether an op may be sent now: a suspected store gets its next trial when that is due.
    pub(super) fn allows_attempt(&self, now: Duration) -> bool {
        self.suspected_until.is_none_or(|trial_at| now >= trial_at)
    }

    /// Suspects the store, with the first trial at `trial_at`; an earlier suspicion stays as it is.
    pub(super) fn suspect(&mut self, trial_at: Duration) {
        self.suspected_until = self.suspected_until.or(Some(trial_at));
    }

    /// The store is back: its first trial is at `trial_at`, whatever was suspected before.
    pub(super) fn restart(&mut self, trial_at: Duration) {
        self.suspected_until = Some(trial_at);
    }

    /// An attempt starts: the next trial of a suspected store must wait.
    pub(super) fn on_attempt_started(&mut self, now: Duration) {
        if self.suspected_until.is_some() {
            self.suspected_until = Some(now + trial_interval(self.shortest_objective));
        }
    }

    /// Whether the answer to an attempt may be lost rather than slow: later ones were answered, or the store drops
    /// answers.
    pub(super) fn may_be_lost(&self, started_at: Duration, now: Duration) -> bool {
        started_at < self.reordered_until || now < self.dropping_until
    }

    /// Whether no answer has come for too long since this attempt started.
    pub(super) fn is_silent_since(
        &self,
        started_at: Duration,
        now: Duration,
        silence_timeout: Duration,
    ) -> bool {
        started_at.max(self.reordered_until) + silence_timeout < now
    }

    /// Whether no later attempt than this one was answered before it.
    pub(super) fn is_latest(&self, started_at: Duration) -> bool {
        self.reordered_until <= started_at
    }

    /// Shortest objectives between the starts of this attempt and of the last answered one.
    pub(super) fn objectives_since_answered(&self, started_at: Duration) -> f64 {
        let gap = started_at.saturating_sub(self.reordered_until);
        gap.as_secs_f64() / self.shortest_objective.as_secs_f64()
    }

    pub(super) fn on_attempt_finished(&mut self, outcome: Outcome, started_at: Duration, now: Duration) {
        if outcome == Outcome::TimedOut && started_at < self.reordered_until {
            self.dropping_until = now + IDLE_TIMEOUT;
        }
        match outcome {
            Outcome::Succeeded | Outcome::Failed => {
                self.suspected_until = None;
                self.reordered_until = self.reordered_until.max(started_at);
            }
            Outcome::NotSent | Outcome::Cancelled | Outcome::Unknown => {}
            Outcome::Rejected | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.suspect(now + trial_interval(self.shortest_objective));
            }
        }
    }
}
