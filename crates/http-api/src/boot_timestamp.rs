//! Age of a store, computed without relying on this machine's wall clock.
//!
//! Discovery sends boot timestamps in Unix time. The wall clock of this machine may be wrong by seconds or by
//! an hour, so the difference between the two is not reliable. Two facts are certain: the newest boot
//! timestamp received is not later than the current time of the clock that issued it, and real time passes
//! after that. They give a lower bound for the age of a store. The smaller of this bound and the difference
//! to the local clock is used: treating a warm store as cold for too long costs some capacity, but treating
//! a cold store as warm overloads it (rule 4). Taking the smaller value also means that a timestamp from the
//! future makes no other store warm while the local clock is right. See docs/clocks.md.

use std::time::Duration;

/// Boot time of a store on the wall clock of another machine, since the Unix epoch. Only comparable with
/// other boot timestamps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTimestamp(Duration);

impl BootTimestamp {
    /// Converts milliseconds since the Unix epoch. 0 means "long ago" and returns `None`.
    pub fn from_millis(since_1970: u64) -> Option<BootTimestamp> {
        (since_1970 > 0).then(|| BootTimestamp(Duration::from_millis(since_1970)))
    }

    /// Time from `earlier` to this timestamp; zero if this timestamp is the earlier one.
    fn elapsed_since(self, earlier: BootTimestamp) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// Lower bound of the current time on the clock that issues boot timestamps.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootTimestampClock {
    /// The newest timestamp, and when it was observed on the local monotonic clock.
    newest: Option<(BootTimestamp, Duration)>,
}

impl BootTimestampClock {
    /// Records a timestamp observed at `now` on the local monotonic clock. The issuing clock has reached it
    /// by then.
    pub fn observe(&mut self, timestamp: BootTimestamp, now: Duration) {
        if self.lower_bound(now).is_none_or(|present| timestamp > present) {
            self.newest = Some((timestamp, now));
        }
    }

    /// Minimum age of a store that started at `start`. `now` is the time since the Unix epoch, based on the
    /// wall clock as read at the start of this process.
    pub fn min_age(&self, start: BootTimestamp, now: Duration) -> Duration {
        let by_timestamps =
            self.lower_bound(now).map_or(Duration::ZERO, |present| present.elapsed_since(start));
        let by_own_clock = BootTimestamp(now).elapsed_since(start);
        by_timestamps.min(by_own_clock)
    }

    /// Lower bound of the current time on the issuing clock.
    fn lower_bound(&self, now: Duration) -> Option<BootTimestamp> {
        self.newest
            .map(|(timestamp, observed_at)| BootTimestamp(timestamp.0 + now.saturating_sub(observed_at)))
    }
}
