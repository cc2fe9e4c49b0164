//! How long the watch of the list waits for what, by the attempts that have failed one after the other. No clock, no
//! chance, no I/O. All are ratios to the time between two signs of life.
//!
//! What a watch misses counts as told 6 s after it fell silent, 3 signs of life. At worst, one after the other:
//!
//! | what | signs of life |
//! | --- | --- |
//! | silent right after a sign of life, until that is found | 1.25 |
//! | wait, first attempt hangs | 0.05 + 0.4 |
//! | wait, second attempt hangs | 0.05 + 0.4 |
//! | wait, third attempt has its list in the last moment | 0.05 + 0.4 |
//! | together | 2.6: 5.2 s |
//!
//! After an outage all counts as told 6 s after discovery had it and could be reached. At worst from that moment, after
//! any row of failures:
//!
//! | what | signs of life |
//! | --- | --- |
//! | begun just before, and lost: hangs | 1.4 |
//! | wait, another attempt is lost: hangs | 0.05 + 1.4 |
//! | wait, third attempt has its list at once | 0.05 |
//! | together | 2.9: 5.8 s |
//!
//! An attempt that fails in another way takes less: up to 0.5 from its beginning to the next, or its own time and 0.05.

use std::time::Duration;

use umbertray_http_api::fields::WATCH_HEARTBEAT_INTERVAL;

/// An open watch has to bring a whole line in this time. Below 1 each sign of life comes too late. The quarter is for a
/// path or a gateway that is late by 0.5 s; more of it is not left within the 6 s.
const WATCH_IDLE: f64 = 1.25;
/// From the dial to the first whole answer. The agent on the gateway's own machine answers at once or not at all.
const FIRST_RESPONSE: f64 = 0.4;
/// So many attempts are as short as the first. Then each has twice the time of the one before.
const SHORT_ATTEMPTS: u32 = 3;
/// The most that an attempt may take before the next begins, and that nothing may come: an outage is not asked more often
/// than this allows. Two attempts may be lost after it.
const MAX_RESPONSE: f64 = 1.4;
/// The most that a whole answer may take while its bytes come, beside the next attempts. Danger: a large list on a slow
/// path needs it.
const MAX_TRANSFER: f64 = 12.8;
/// The wait after a failure, at first and at most.
const MIN_BACKOFF: f64 = 0.05;
const MAX_BACKOFF: f64 = 0.5;
/// The same where a call costs nothing. What a pushed list has at the return counts at once, and what is told by it has
/// its grace from then on; shorter waits would be more than 10 calls a second.
const MAX_BACKOFF_LOCAL: f64 = 0.1;
/// More failures change nothing.
const MAX_COUNTED: u32 = 8;

/// After so many failures in a row. A whole list or line ends the row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Failures(u32);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// Nothing came for as long as was waited.
    TimedOut,
    /// Refused or ended by the agent on the gateway's own machine, to which lists are pushed: that costs nobody a thing.
    ClosedLocally,
    /// Refused or ended where lists are asked for, or answered with what is of no use.
    Immediate,
}

impl Failures {
    #[must_use]
    pub fn plus_one(self) -> Failures {
        Failures((self.0 + 1).min(MAX_COUNTED))
    }

    /// From the dial, or from asking again on the same connection, until the answer is whole or another attempt begins.
    pub fn response_timeout(self) -> Duration {
        heartbeats(self.response_ratio().min(MAX_RESPONSE))
    }

    /// At most; chance takes up to a half of it. Danger: news that come while nothing listens are heard late. An attempt that
    /// hung has taken its time already, and is followed at once; only those that fail at once must not spin.
    pub fn max_backoff(self, how: FailureKind) -> Duration {
        let longest = match how {
            FailureKind::TimedOut => MIN_BACKOFF,
            FailureKind::ClosedLocally => MAX_BACKOFF_LOCAL,
            FailureKind::Immediate => MAX_BACKOFF,
        };
        heartbeats((MIN_BACKOFF * f64::from(1 << self.0)).min(longest))
    }

    /// After an attempt that has taken so long. Danger: an answer of no use may come as late as any, and the wait on top.
    pub fn max_backoff_after(self, taken: Duration, how: FailureKind) -> Duration {
        self.max_backoff(how).saturating_sub(taken).max(self.max_backoff(FailureKind::TimedOut))
    }

    fn response_ratio(self) -> f64 {
        FIRST_RESPONSE * f64::from(1 << (self.0 + 1).saturating_sub(SHORT_ATTEMPTS))
    }
}

/// For each read of an attempt that goes on beside the next.
pub fn longest_response_timeout() -> Duration {
    heartbeats(MAX_RESPONSE)
}

/// For the whole answer of such an attempt.
pub fn transfer_timeout() -> Duration {
    heartbeats(MAX_TRANSFER)
}

/// For a line of an open watch: from the line before, or from its own first byte.
pub fn watch_idle_timeout() -> Duration {
    heartbeats(WATCH_IDLE)
}

fn heartbeats(ratio: f64) -> Duration {
    WATCH_HEARTBEAT_INTERVAL.mul_f64(ratio)
}

/// At most from the last sign of life until the last of so many attempts begins, all before it having failed.
#[cfg(test)]
pub fn last_attempt_begins_within(attempts: u32) -> Duration {
    let wait = |n| Failures(n).max_backoff(FailureKind::TimedOut);
    let failed = (0..attempts - 1).map(|n| wait(n) + Failures(n).response_timeout());
    watch_idle_timeout() + failed.sum::<Duration>() + wait(attempts - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    const TOLD: Duration = Duration::from_secs(6);
    const MINUTE: Duration = Duration::from_secs(60);

    #[test]
    fn two_failures_after_a_silence_leave_a_third_attempt_within_the_time_that_counts_as_told() {
        let told = last_attempt_begins_within(3) + Failures(2).response_timeout();
        assert!(told < TOLD, "{told:?}");
    }

    #[test]
    fn two_attempts_that_are_lost_after_an_outage_leave_a_third_within_the_time_that_counts_as_told() {
        let lost = Failures(MAX_COUNTED).response_timeout()
            + Failures(MAX_COUNTED).max_backoff(FailureKind::TimedOut);
        assert!(2 * lost < TOLD, "{lost:?}");
        for (tenths, how) in (0..=10)
            .flat_map(|tenths| [(tenths, FailureKind::ClosedLocally), (tenths, FailureKind::Immediate)])
        {
            let taken = Failures(MAX_COUNTED).response_timeout() * tenths / 10;
            assert!(
                taken + Failures(MAX_COUNTED).max_backoff_after(taken, how) <= lost,
                "{how:?} after {taken:?}"
            );
        }
    }

    /// After SIGHUP has moved discovery.
    #[test]
    fn two_failures_at_a_new_address_leave_a_third_attempt_within_the_time_that_counts_as_told() {
        let told = last_attempt_begins_within(3) - watch_idle_timeout() + Failures(2).response_timeout();
        assert!(told < Duration::from_secs(4), "{told:?}");
    }

    #[test]
    fn a_sign_of_life_that_is_a_little_late_breaks_nothing() {
        assert!(watch_idle_timeout() > WATCH_HEARTBEAT_INTERVAL.mul_f64(1.2));
    }

    /// Calls in a minute of which each hangs, with the shortest waits that chance gives.
    fn calls(patience: impl Fn(Failures) -> Duration) -> usize {
        let (mut at, mut failures, mut calls) = (Duration::ZERO, Failures::default(), 0);
        while at < MINUTE {
            calls += 1;
            at += patience(failures);
            failures = failures.plus_one();
            at += failures.max_backoff(FailureKind::TimedOut) / 2;
        }
        calls
    }

    #[test]
    fn an_outage_is_asked_hardly_more_often_than_with_one_long_patience() {
        let (now, before) = (calls(Failures::response_timeout), calls(|_| heartbeats(MAX_RESPONSE)));
        assert!(now <= before + 2, "{now} calls in the first minute, {before} with one patience");
    }

    #[test]
    fn patience_never_shrinks_and_ends_at_its_bounds() {
        let row = std::iter::successors(Some(Failures::default()), |failures| Some(failures.plus_one()));
        let row: Vec<_> = row.take(12).collect();
        assert!(row.is_sorted_by_key(|failures| (
            failures.response_timeout(),
            failures.max_backoff(FailureKind::Immediate)
        )));
        assert_eq!(
            (row[11].response_timeout(), transfer_timeout()),
            (longest_response_timeout(), heartbeats(MAX_TRANSFER))
        );
    }
}
