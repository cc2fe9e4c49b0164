//! The age of a store's start, where this machine's wall clock may be wrong.
//!
//! Discovery stamps starts in Unix time. This machine's wall clock may be wrong by seconds or by an hour, so the difference
//! of the two is not taken on trust. What is certain: the newest stamp that was seen is no later than the present of the
//! clock that stamps, and from then on real time passes. A store is at least as old as that says. The smaller of that and
//! the difference to this machine's clock counts: a store that is taken for cold for too long costs some service, one that
//! is taken for warm is overloaded (rule 4). A stamp from the future then makes no other store warm while the clock here
//! is right. See docs/clocks.md.

use std::time::Duration;

/// A store's start on the wall clock of another machine, since the Unix epoch. Comparable with other stamps only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTimestamp(Duration);

impl BootTimestamp {
    /// From milliseconds since the Unix epoch; 0 means long ago, which is no stamp.
    pub fn from_millis(since_1970: u64) -> Option<BootTimestamp> {
        (since_1970 > 0).then(|| BootTimestamp(Duration::from_millis(since_1970)))
    }

    /// How much later this one is; zero where it is earlier.
    fn since(self, earlier: BootTimestamp) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// The latest time on the clock of the stamps that is known to be past.
#[derive(Clone, Copy, Debug, Default)]
pub struct StampClock {
    /// A stamp, and when it was seen on the monotonic clock here.
    newest: Option<(BootTimestamp, Duration)>,
}

impl StampClock {
    /// Takes a stamp seen at `now` on the monotonic clock. The present of the stamping clock is no earlier.
    pub fn see(&mut self, stamp: BootTimestamp, now: Duration) {
        if self.at_least(now).is_none_or(|present| stamp > present) {
            self.newest = Some((stamp, now));
        }
    }

    /// The least age of a start. `now` counts from the Unix epoch by the wall clock that this process read at its start.
    pub fn age(&self, start: BootTimestamp, now: Duration) -> Duration {
        let by_stamps = self.at_least(now).map_or(Duration::ZERO, |present| present.since(start));
        let by_own_clock = BootTimestamp(now).since(start);
        by_stamps.min(by_own_clock)
    }

    /// A lower bound of the present on the stamping clock.
    fn at_least(&self, now: Duration) -> Option<BootTimestamp> {
        self.newest.map(|(stamp, seen)| BootTimestamp(stamp.0 + now.saturating_sub(seen)))
    }
}
