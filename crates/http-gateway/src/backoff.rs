//! Timeouts and backoff of the endpoint list watch, by the number of consecutive failures.
//!
//! This module uses no clock, no randomness and no I/O. All times are multiples of the heartbeat interval.
//!
//! A change that a silent watch missed is known within 6 s of the start of the silence, which is 3 heartbeat
//! intervals. Worst case:
//!
//! | step | heartbeat intervals |
//! | --- | --- |
//! | watch falls silent right after a heartbeat, until the timeout detects it | 1.25 |
//! | backoff, first attempt times out | 0.05 + 0.4 |
//! | backoff, second attempt times out | 0.05 + 0.4 |
//! | backoff, third attempt receives its list at the last moment | 0.05 + 0.4 |
//! | total | 2.6: 5.2 s |
//!
//! After an outage, all changes are known within 6 s of the moment when discovery has them and is reachable.
//! Worst case from that moment, after any number of failures:
//!
//! | step | heartbeat intervals |
//! | --- | --- |
//! | attempt started just before that moment is lost and times out | 1.4 |
//! | backoff, another attempt is lost and times out | 0.05 + 1.4 |
//! | backoff, third attempt receives its list at once | 0.05 |
//! | total | 2.9: 5.8 s |
//!
//! An attempt that fails in another way costs less: from its start to the start of the next attempt, up to
//! 0.5, or its own duration plus 0.05 if that is longer.

#[cfg(test)]
mod tests;

use std::time::Duration;

use umbertray_http_api::protocol::WATCH_HEARTBEAT_INTERVAL;

/// Time within which an open watch has to deliver a complete line. Below 1 every heartbeat would be late. The
/// extra quarter tolerates a network path or gateway that is late by 0.5 s; the bound of 6 s does not allow
/// more.
const WATCH_IDLE: f64 = 1.25;
/// Timeout from the connect to the first complete response. The agent on the gateway's own machine responds
/// at once or not at all.
const FIRST_RESPONSE: f64 = 0.4;
/// Number of attempts that keep the initial timeout; after them, each attempt has twice the timeout of the
/// one before.
const SHORT_ATTEMPTS: u32 = 3;
/// Maximum time before the next attempt starts, and maximum silence within an attempt. It limits the query
/// rate during an outage, and still allows for two lost attempts after it.
const MAX_RESPONSE: f64 = 1.4;
/// Maximum duration of a complete response while its bytes arrive, alongside further attempts.
///
/// Hazard: a large list on a slow network path needs this time.
const MAX_TRANSFER: f64 = 12.8;
/// Backoff after the first failure.
const MIN_BACKOFF: f64 = 0.05;
/// Maximum backoff if lists are polled, where each query has a cost for discovery, and after an unusable
/// response.
const MAX_BACKOFF: f64 = 0.5;
/// Maximum backoff if a query costs nothing because the local agent pushes lists. A pushed list counts as
/// notified as soon as the agent returns, and its drain grace starts then, so the backoff must be short. A
/// shorter one would mean more than 10 queries a second.
const MAX_BACKOFF_LOCAL: f64 = 0.1;
/// Consecutive failures beyond this number do not change the timeout or the backoff.
const MAX_COUNTED: u32 = 8;

/// Number of consecutive failed attempts. A complete list or line resets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConsecutiveFailures(u32);

/// The way in which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No complete response, or no complete line of an open watch, before the timeout.
    TimedOut,
    /// The agent on the gateway's own machine, which pushes lists, refused or closed the connection. A query
    /// costs nothing.
    ClosedLocally,
    /// The connection was refused or closed where lists are polled, or the response was unusable.
    Immediate,
}

impl ConsecutiveFailures {
    /// Counts one more failure.
    #[must_use]
    pub(crate) fn plus_one(self) -> ConsecutiveFailures {
        ConsecutiveFailures((self.0 + 1).min(MAX_COUNTED))
    }

    /// Timeout of a response, counted from the connect or from a further request on the same connection. When
    /// it expires, the next attempt starts.
    pub(crate) fn response_timeout(self) -> Duration {
        heartbeats(self.response_ratio().min(MAX_RESPONSE))
    }

    /// Maximum backoff; jitter reduces it by up to half.
    ///
    /// Hazard: a change that arrives while no attempt is active is received late. An attempt that timed out
    /// has already taken its time, and the next one follows at once. Only attempts that fail immediately have
    /// to be delayed, to avoid a busy loop.
    pub(crate) fn max_backoff(self, kind: FailureKind) -> Duration {
        let longest = match kind {
            FailureKind::TimedOut => MIN_BACKOFF,
            FailureKind::ClosedLocally => MAX_BACKOFF_LOCAL,
            FailureKind::Immediate => MAX_BACKOFF,
        };
        heartbeats((MIN_BACKOFF * f64::from(1 << self.0)).min(longest))
    }

    /// Maximum backoff after an attempt that lasted `elapsed`.
    ///
    /// Hazard: an unusable response may arrive as late as a timeout, and a full backoff would come on top.
    pub(crate) fn max_backoff_after(self, elapsed: Duration, kind: FailureKind) -> Duration {
        self.max_backoff(kind).saturating_sub(elapsed).max(self.max_backoff(FailureKind::TimedOut))
    }

    fn response_ratio(self) -> f64 {
        FIRST_RESPONSE * f64::from(1 << (self.0 + 1).saturating_sub(SHORT_ATTEMPTS))
    }
}

/// Timeout of each read of an attempt that continues alongside the next one.
pub(crate) fn longest_response_timeout() -> Duration {
    heartbeats(MAX_RESPONSE)
}

/// Timeout of the complete response of an attempt that continues alongside the next one.
pub(crate) fn transfer_timeout() -> Duration {
    heartbeats(MAX_TRANSFER)
}

/// Timeout of a line of an open watch, counted from the previous line or from the first byte of this line.
pub(crate) fn watch_idle_timeout() -> Duration {
    heartbeats(WATCH_IDLE)
}

fn heartbeats(ratio: f64) -> Duration {
    WATCH_HEARTBEAT_INTERVAL.mul_f64(ratio)
}

/// Maximum time from the last heartbeat until the last of `attempts` attempts starts, if all earlier ones
/// fail.
#[cfg(test)]
pub(crate) fn last_attempt_begins_within(attempts: u32) -> Duration {
    let wait = |n| ConsecutiveFailures(n).max_backoff(FailureKind::TimedOut);
    let failed = (0..attempts - 1).map(|n| wait(n) + ConsecutiveFailures(n).response_timeout());
    watch_idle_timeout() + failed.sum::<Duration>() + wait(attempts - 1)
}
