//! What is to be looked at when.

use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The module's own.
    Module(u64),
    /// A dispatch's time is up.
    Dispatch(u64),
    /// A piece without a place, or with an answer that waits for its fences, is due.
    Piece(u32),
    /// Questions that the directory has not answered are asked again.
    AskAgain,
    /// Stores long gone are forgotten.
    Forget,
}

#[derive(Default)]
pub(crate) struct Timers {
    set: BTreeSet<(Duration, Timer)>,
    told: Option<Duration>,
}

impl Timers {
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.set.insert((at, timer));
    }

    pub fn unset(&mut self, at: Duration, timer: Timer) {
        self.set.remove(&(at, timer));
    }

    pub fn due(&mut self, now: Duration) -> Option<Timer> {
        let (at, _) = self.set.first()?;
        if *at > now {
            return None;
        }
        self.set.pop_first().map(|(_, timer)| timer)
    }

    /// The next time to wake at, if it differs from what was told last.
    pub fn wake(&mut self) -> Option<Duration> {
        let next = self.set.first().map(|(at, _)| *at);
        if next == self.told {
            return None;
        }
        self.told = next;
        next
    }

    pub fn woken(&mut self) {
        self.told = None;
    }
}
