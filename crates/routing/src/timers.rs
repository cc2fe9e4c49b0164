//! The core's timers. The caller runs only one timer, for the earliest of them.

use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer of the scheduler, by its token.
    Scheduler(u64),
    /// An attempt has reached its deadline.
    Attempt(u64),
    /// The deadline of a fragment without a known location, or the end of the time fences that a fragment's
    /// result is withheld for.
    Fragment(u32),
    /// Resend the queries that the directory has not answered.
    RetryQueries,
    /// Remove the stores that have been gone for long.
    ForgetStores,
}

#[derive(Default)]
pub(crate) struct Timers {
    pending: BTreeSet<(Duration, Timer)>,
    last_requested: Option<Duration>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Duration, timer: Timer) {
        self.pending.insert((at, timer));
    }

    pub(crate) fn unset(&mut self, at: Duration, timer: Timer) {
        self.pending.remove(&(at, timer));
    }

    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let (at, _) = self.pending.first()?;
        if *at > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }

    /// The time to set the caller's timer to, if it differs from the time requested last.
    pub(crate) fn next_request(&mut self) -> Option<Duration> {
        let next = self.pending.first().map(|(at, _)| *at);
        if next == self.last_requested {
            return None;
        }
        self.last_requested = next;
        next
    }

    pub(crate) fn on_expired(&mut self) {
        self.last_requested = None;
    }
}
