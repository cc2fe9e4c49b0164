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
//! If the list is polled, the first backoff is up to 0.35: 2.9 intervals, 5.8 s.
//!
//! After an outage, all changes are known within 6 s of the moment when discovery has them and is reachable.
//! Worst case from that moment, after any number of failures, whether the list is pushed or polled:
//!
//! | step | heartbeat intervals |
//! | --- | --- |
//! | attempt started just before that moment is lost and times out | 1.4 |
//! | backoff, another attempt is lost and times out | 0.05 + 1.4 |
//! | backoff, third attempt receives its list at once | 0.05 |
//! | total | 2.9: 5.8 s |
//!
//! An attempt that fails in another way costs no more: from its start to the start of the next attempt, up to
//! 1.45 if the list is polled, and up to 0.5 otherwise, or its own duration plus 0.05 if that is longer.
//!
//! These waits are the only ones between two attempts: nothing else may delay an attempt after a failure.

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
/// Maximum backoff after an unusable response, which takes time to parse.
const MAX_BACKOFF: f64 = 0.5;
/// Maximum backoff if a query costs nothing because the local agent pushes lists. A pushed list counts as
/// notified as soon as the agent returns, and its drain grace starts then, so the backoff must be short. A
/// shorter one would mean more than 10 queries a second.
const MAX_BACKOFF_LOCAL: f64 = 0.1;
/// Maximum backoff after a watch has ended if lists are polled. All gateways lose their watches at the same
/// time, and the jitter of this backoff spreads their queries.
const FIRST_POLL_BACKOFF: f64 = 0.35;
/// Maximum time between the starts of two attempts with the initial timeout if lists are polled, where each
/// query has a cost for discovery.
const MIN_POLL_INTERVAL: f64 = FIRST_RESPONSE + MIN_BACKOFF;
/// The same for later attempts. Two of these intervals leave a third attempt in time after an outage.
const MAX_POLL_INTERVAL: f64 = MAX_RESPONSE + MIN_BACKOFF;
/// Minimum fraction of the backoff that jitter leaves.
const MIN_JITTER: f64 = 0.5;
/// The same for the backoff that spreads the queries of a fleet. It still prevents a busy loop.
const MIN_FIRST_POLL_JITTER: f64 = 0.1;
/// Consecutive failures beyond this number do not change the timeout or the backoff.
const MAX_COUNTED: u32 = 8;

/// Number of consecutive failed attempts. A complete list or line resets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConsecutiveFailures(u32);

/// How changes of the endpoint list reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The agent on the gateway's own machine pushes them. A query costs nothing.
    Pushed,
    /// Discovery has to be queried, and each query has a cost for it.
    Polled,
}

/// The way in which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No complete response, or no complete line of an open watch, before the timeout.
    TimedOut,
    /// The connection was refused or closed.
    Closed,
    /// The response was unusable.
    Unusable,
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

    /// Backoff after an attempt that lasted `elapsed`. `jitter` is a random number from 0 to 1.
    pub(crate) fn backoff_after(
        self,
        elapsed: Duration,
        delivery: Delivery,
        kind: FailureKind,
        jitter: f64,
    ) -> Duration {
        let min_jitter = match delivery {
            Delivery::Polled if self.is_first() => MIN_FIRST_POLL_JITTER,
            Delivery::Polled | Delivery::Pushed => MIN_JITTER,
        };
        let fraction = min_jitter + (1.0 - min_jitter) * jitter;
        self.max_backoff_after(elapsed, delivery, kind).mul_f64(fraction)
    }

    /// Maximum backoff after an attempt that lasted `elapsed`.
    ///
    /// Hazard: a change that arrives while no attempt is active is received late. An attempt that timed out
    /// has already taken its time, and an unusable response may arrive as late as a timeout, so the interval
    /// counts from the start of the attempt. Attempts that fail immediately have to be delayed, to avoid a
    /// busy loop.
    fn max_backoff_after(self, elapsed: Duration, delivery: Delivery, kind: FailureKind) -> Duration {
        let interval = heartbeats(self.attempt_interval_ratio(delivery, kind));
        interval.saturating_sub(elapsed).max(self.backoff_after_timeout(delivery))
    }

    /// Maximum backoff after an attempt that has taken its time.
    fn backoff_after_timeout(self, delivery: Delivery) -> Duration {
        heartbeats(match delivery {
            Delivery::Polled if self.is_first() => FIRST_POLL_BACKOFF,
            Delivery::Polled | Delivery::Pushed => MIN_BACKOFF,
        })
    }

    /// Maximum time between the starts of two attempts, unless the first one takes longer.
    fn attempt_interval_ratio(self, delivery: Delivery, kind: FailureKind) -> f64 {
        let doubled = MIN_BACKOFF * f64::from(1 << self.0);
        match (delivery, kind) {
            (Delivery::Polled, _) if self.0 < SHORT_ATTEMPTS => MIN_POLL_INTERVAL,
            (Delivery::Polled, _) => MAX_POLL_INTERVAL,
            (Delivery::Pushed, FailureKind::TimedOut) => MIN_BACKOFF,
            (Delivery::Pushed, FailureKind::Closed) => doubled.min(MAX_BACKOFF_LOCAL),
            (Delivery::Pushed, FailureKind::Unusable) => doubled.min(MAX_BACKOFF),
        }
    }

    /// Whether the watch that ended had received something.
    fn is_first(self) -> bool {
        self == ConsecutiveFailures::default()
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
/// time out.
#[cfg(test)]
pub(crate) fn last_attempt_begins_within(attempts: u32, delivery: Delivery) -> Duration {
    let wait = |n| ConsecutiveFailures(n).backoff_after_timeout(delivery);
    let failed = (0..attempts - 1).map(|n| {
        let timeout = ConsecutiveFailures(n).response_timeout();
        let failures = ConsecutiveFailures(n + 1);
        timeout + failures.max_backoff_after(timeout, delivery, FailureKind::TimedOut)
    });
    watch_idle_timeout() + wait(0) + failed.sum::<Duration>()
}
