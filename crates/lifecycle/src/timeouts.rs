//! Every wait of the HTTP gateway, derived from the settings in force and the limits that the pages state in seconds.
//!
//! A wait is a ratio to a setting, and never longer than what a page leaves for it. A limit of the page counts from
//! what a peer did to what it sees: the process may be held up once before it reads the clock that starts the wait and
//! once before it writes, so that two [`HOLD_UP`]s come off each limit.

use std::time::Duration;

use crate::limits::{BAD_CLIENT_LIMIT, CONNECTIONS_AFTER_SIGTERM, HOLD_UP, KILL_AFTER_AT_MOST, KILL_MARGIN};

/// The most that a wait may take whose end a bad client is owed.
pub const BAD_CLIENT_WAIT: Duration = BAD_CLIENT_LIMIT.saturating_sub(HOLD_UP).saturating_sub(HOLD_UP);

/// The wait for the rest of a message whose first bytes have come: `wanted`, within the limit for bad clients.
pub fn bounded_wait(wanted: Duration) -> Duration {
    wanted.min(BAD_CLIENT_WAIT)
}

/// Against the longest deadline: the time for a request to come whole, for a response to be read, and for a new
/// connection to begin its first request.
const REQUEST_READ: f64 = 1.0 / 3.0;
/// Against the longest deadline: how long what still comes is discarded after sending was shut down.
const LINGER: f64 = 1.0 / 6.0;
/// The part of the time between the longest deadline and SIGKILL by which all is answered after SIGTERM.
const DRAIN_DEADLINE: f64 = 0.7;
/// The part of it for clients to read their last responses and close, after that.
const DRAIN_CLOSE: f64 = 0.15;
/// Against the shortest latency objective: how long before the drain deadline the last requests are accepted, since an
/// answer takes about so long at a store that bears its load.
const LAST_ACCEPT: f64 = 0.5;
/// Against the shortest latency objective: how long before the drain deadline all are given up, since the module looks
/// at them that rarely.
const LAST_RETRY: f64 = 0.125;
/// Against the connect time-out: for so long a connection to a store has to be silent after an answer before it is used
/// again. What a store still says of the last request is under way no longer than a connection takes to come up.
const REUSE_DELAY: f64 = 1.0 / 16.0;
/// Against the idle time in the settings: when connections of clients and to stores are closed.
const IDLE: f64 = 0.5;
/// Against the time until an idle connection to a store is closed: how often it is looked at.
const SWEEP: f64 = 0.5;

/// Durations from the settings that waits are derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsTimes {
    /// Longest deadline of any operation type.
    pub longest_deadline: Duration,
    /// Shortest latency objective of any operation type.
    pub shortest_objective: Duration,
    /// Time for a connection to a store to come up.
    pub connect_timeout: Duration,
    /// Time after which peers close an idle connection.
    pub connection_idle: Duration,
}

/// The waits of the front. Those of a drain count from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From a request's first byte until it is whole.
    pub request_read: Duration,
    /// From a connection's accept until its first byte.
    pub first_request: Duration,
    /// The same where there is no capacity for the connection.
    pub first_request_rejecting: Duration,
    /// For a client to read a response.
    pub response_write: Duration,
    /// From the shutdown of sending until the close, while what comes is discarded.
    pub linger: Duration,
    /// From a response until an idle connection of a client is closed.
    pub client_idle: Duration,
    /// The same of a connection to a store.
    pub store_idle: Duration,
    /// How often idle connections to stores are looked at.
    pub store_sweep: Duration,
    /// For a connection to a store to come up.
    pub connect: Duration,
    /// From an answer until the connection to its store is used again.
    pub reuse_delay: Duration,
    /// Until when new requests are accepted in a drain.
    pub accept_until: Duration,
    /// Until when open requests are tried in a drain.
    pub retry_until: Duration,
    /// Until when all is answered in a drain.
    pub drain_deadline: Duration,
    /// After that, and after the last response if that is later: for clients to close.
    pub drain_close: Duration,
}

impl Timeouts {
    /// The waits under these settings.
    pub fn from_settings(times: &SettingsTimes) -> Timeouts {
        let request_read = times.longest_deadline.mul_f64(REQUEST_READ);
        let objective = |ratio: f64| times.shortest_objective.mul_f64(ratio);
        let idle = times.connection_idle.mul_f64(IDLE);
        let kill_after = times.longest_deadline.min(KILL_AFTER_AT_MOST);
        let drain_deadline = kill_after + KILL_MARGIN.mul_f64(DRAIN_DEADLINE);
        let last_accept = drain_deadline.saturating_sub(objective(LAST_ACCEPT));
        Timeouts {
            request_read: bounded_wait(request_read),
            first_request: request_read,
            first_request_rejecting: bounded_wait(times.connect_timeout),
            response_write: bounded_wait(request_read),
            linger: bounded_wait(times.longest_deadline.mul_f64(LINGER)),
            client_idle: idle,
            store_idle: idle,
            store_sweep: times.connect_timeout.min(idle.mul_f64(SWEEP)),
            connect: times.connect_timeout,
            reuse_delay: times.connect_timeout.mul_f64(REUSE_DELAY),
            // Hazard: a client that connects after the listener has gone is not served at all.
            accept_until: last_accept.max(CONNECTIONS_AFTER_SIGTERM),
            retry_until: drain_deadline.saturating_sub(objective(LAST_RETRY)),
            drain_deadline,
            drain_close: KILL_MARGIN.mul_f64(DRAIN_CLOSE),
        }
    }

    /// The same with a drain that ends by both these and others: by the earlier of each.
    pub fn with_earlier_drain(self, other: &Timeouts) -> Timeouts {
        Timeouts {
            accept_until: self.accept_until.min(other.accept_until),
            retry_until: self.retry_until.min(other.retry_until),
            drain_deadline: self.drain_deadline.min(other.drain_deadline),
            drain_close: self.drain_close.min(other.drain_close),
            response_write: self.response_write.min(other.response_write),
            ..self
        }
    }
}
