//! Timeouts and backoff of the watch on the endpoint list, by the attempts that have failed in a row.
//!
//! There is no clock, chance or I/O here, and every time is a ratio of the heartbeat interval.
//!
//! What a watch misses is known within 6 s of its falling silent, which is 3 heartbeat intervals. The worst case, step by
//! step:
//!
//! | step | heartbeat intervals |
//! | --- | --- |
//! | silent right after a heartbeat, until that is noticed | 1.25 |
//! | backoff, first attempt hangs | 0.05 + 0.4 |
//! | backoff, second attempt hangs | 0.05 + 0.4 |
//! | backoff, third attempt has its list in the last moment | 0.05 + 0.4 |
//! | total | 2.6: 5.2 s |
//!
//! After an outage everything is known within 6 s of discovery having it and being reachable. The worst case from that
//! moment, after any number of failures:
//!
//! | step | heartbeat intervals |
//! | --- | --- |
//! | started just before, and lost: hangs | 1.4 |
//! | backoff, another attempt is lost: hangs | 0.05 + 1.4 |
//! | backoff, third attempt has its list at once | 0.05 |
//! | total | 2.9: 5.8 s |
//!
//! An attempt that fails in another way takes less: up to 0.5 from its start to the next, or its own time and 0.05.

#[cfg(test)]
mod tests;

use std::time::Duration;

use umbertray_http_api::fields::WATCH_HEARTBEAT_INTERVAL;

/// An open watch has to deliver a whole line in this time. Below 1 every heartbeat would be late. The quarter allows for a
/// path or a gateway that is late by 0.5 s; the 6 s leave no more.
const WATCH_IDLE: f64 = 1.25;
/// From the connect to the first whole response. The agent on the gateway's own machine responds at once or not at all.
const FIRST_RESPONSE: f64 = 0.4;
/// How many attempts are as short as the first; after them each has twice the time of the one before.
const SHORT_ATTEMPTS: u32 = 3;
/// The longest an attempt may take before the next starts, and the longest silence within one. It bounds the rate of
/// queries during an outage, after which two attempts may still be lost.
const MAX_RESPONSE: f64 = 1.4;
/// The longest a whole response may take while its bytes arrive, beside the next attempts.
///
/// Hazard: a large list on a slow path needs it.
const MAX_TRANSFER: f64 = 12.8;
/// The backoff after the first failure.
const MIN_BACKOFF: f64 = 0.05;
/// The longest backoff where each query costs the other side something.
const MAX_BACKOFF: f64 = 0.5;
/// The longest backoff where a query costs nothing. A pushed list counts from the agent's return on, with its grace; a
/// shorter backoff would mean more than 10 queries a second.
const MAX_BACKOFF_LOCAL: f64 = 0.1;
/// Further failures in a row change nothing.
const MAX_COUNTED: u32 = 8;

/// How many attempts have failed in a row. A whole list or line resets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Failures(u32);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// Nothing arrived before the timeout.
    TimedOut,
    /// Refused or closed by the agent on the gateway's own machine, to which lists are pushed: a query costs nothing.
    ClosedLocally,
    /// Refused or closed where lists are polled, or a response that is of no use.
    Immediate,
}

impl Failures {
    /// One failure more.
    #[must_use]
    pub(crate) fn plus_one(self) -> Failures {
        Failures((self.0 + 1).min(MAX_COUNTED))
    }

    /// From the connect, or from another request on the same connection, until the response is whole or the next attempt
    /// starts.
    pub(crate) fn response_timeout(self) -> Duration {
        heartbeats(self.response_ratio().min(MAX_RESPONSE))
    }

    /// The longest backoff; jitter takes off up to a half.
    ///
    /// Hazard: a change that comes while nothing listens is seen late. An attempt that hung has taken its time already and
    /// is followed at once; only attempts that fail at once must not spin.
    pub(crate) fn max_backoff(self, kind: FailureKind) -> Duration {
        let longest = match kind {
            FailureKind::TimedOut => MIN_BACKOFF,
            FailureKind::ClosedLocally => MAX_BACKOFF_LOCAL,
            FailureKind::Immediate => MAX_BACKOFF,
        };
        heartbeats((MIN_BACKOFF * f64::from(1 << self.0)).min(longest))
    }

    /// The longest backoff after an attempt that has taken `elapsed`.
    ///
    /// Hazard: a response of no use may come as late as any, with the backoff on top.
    pub(crate) fn max_backoff_after(self, elapsed: Duration, kind: FailureKind) -> Duration {
        self.max_backoff(kind).saturating_sub(elapsed).max(self.max_backoff(FailureKind::TimedOut))
    }

    fn response_ratio(self) -> f64 {
        FIRST_RESPONSE * f64::from(1 << (self.0 + 1).saturating_sub(SHORT_ATTEMPTS))
    }
}

/// The timeout of each read of an attempt that continues beside the next.
pub(crate) fn longest_response_timeout() -> Duration {
    heartbeats(MAX_RESPONSE)
}

/// The timeout of the whole response of such an attempt.
pub(crate) fn transfer_timeout() -> Duration {
    heartbeats(MAX_TRANSFER)
}

/// The timeout of a line of an open watch: from the line before, or from its own first byte.
pub(crate) fn watch_idle_timeout() -> Duration {
    heartbeats(WATCH_IDLE)
}

fn heartbeats(ratio: f64) -> Duration {
    WATCH_HEARTBEAT_INTERVAL.mul_f64(ratio)
}

/// The longest time from the last heartbeat until the last of `attempts` starts, all before it having failed.
#[cfg(test)]
pub(crate) fn last_attempt_begins_within(attempts: u32) -> Duration {
    let wait = |n| Failures(n).max_backoff(FailureKind::TimedOut);
    let failed = (0..attempts - 1).map(|n| wait(n) + Failures(n).response_timeout());
    watch_idle_timeout() + failed.sum::<Duration>() + wait(attempts - 1)
}
