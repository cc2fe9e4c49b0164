//! The core's timers, of which the caller keeps one: the next that is due.

use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The scheduler's, by its token.
    Scheduler(u64),
    /// An attempt's time is up.
    Attempt(u64),
    /// A fragment that is not located, or whose result waits for its fences, is due.
    Fragment(u32),
    /// Queries that the directory has not answered are sent again.
    RetryQueries,
    /// Stores that have been gone for long are forgotten.
    ForgetStores,
}

#[derive(Default)]
pub(crate) struct Timers {
    set: BTreeSet<(Duration, Timer)>,
    requested: Option<Duration>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Duration, timer: Timer) {
        self.set.insert((at, timer));
    }

    pub(crate) fn unset(&mut self, at: Duration, timer: Timer) {
        self.set.remove(&(at, timer));
    }

    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let (at, _) = self.set.first()?;
        if *at > now {
            return None;
        }
        self.set.pop_first().map(|(_, timer)| timer)
    }

    /// The time to request of the caller's timer, if it differs from the last request.
    pub(crate) fn next_request(&mut self) -> Option<Duration> {
        let next = self.set.first().map(|(at, _)| *at);
        if next == self.requested {
            return None;
        }
        self.requested = next;
        next
    }

    pub(crate) fn on_expired(&mut self) {
        self.requested = None;
    }
}
