//! All timeouts of the HTTP gateway, derived from the settings in force and from the limits that the
//! operators' pages state in seconds ([`limits`](crate::limits)).
//!
//! A timeout is a fraction of a setting, and never exceeds what the limit that a page states leaves for it.
//! Such a limit is the time from an action of a peer until the peer sees the response. The process may be
//! paused once before it reads the clock that starts the timeout, and once before it writes; therefore two
//! [`MAX_PROCESS_PAUSE`]s are subtracted from each limit.

use std::time::Duration;

use crate::limits::{
    CONNECTIONS_AFTER_SIGTERM, KILL_MARGIN, MAX_KILL_AFTER, MAX_PROCESS_PAUSE, MISBEHAVING_CLIENT_LIMIT,
};

/// Maximum timeout after which a misbehaving client has to get an error or a close.
pub const MAX_MISBEHAVING_CLIENT_WAIT: Duration =
    MISBEHAVING_CLIENT_LIMIT.saturating_sub(MAX_PROCESS_PAUSE).saturating_sub(MAX_PROCESS_PAUSE);

/// The timeout for the rest of a message whose first bytes were received: `wanted`, within the limit for
/// misbehaving clients.
pub fn bounded_wait(wanted: Duration) -> Duration {
    wanted.min(MAX_MISBEHAVING_CLIENT_WAIT)
}

/// Fraction of the longest deadline within which a request has to be received completely, a response has to
/// be read, and a new connection has to start its first request.
const REQUEST_READ_RATIO: f64 = 1.0 / 3.0;
/// Fraction of the longest deadline for which received bytes are discarded after sending was shut down.
const LINGER_RATIO: f64 = 1.0 / 6.0;
/// Fraction of the time between the longest deadline and SIGKILL within which all requests are answered after
/// SIGTERM.
const DRAIN_DEADLINE_RATIO: f64 = 0.7;
/// Fraction of the same time, after the drain deadline, for clients to read their last responses and close.
const DRAIN_CLOSE_RATIO: f64 = 0.15;
/// Fraction of the shortest latency objective: how long before the drain deadline new requests are no longer
/// accepted. A store that is not overloaded takes about this long for a response.
const LAST_ACCEPT_RATIO: f64 = 0.5;
/// Fraction of the shortest latency objective: how long before the drain deadline all open requests are given
/// up, since the scheduler module looks at them only at intervals of about this length.
const LAST_RETRY_RATIO: f64 = 0.125;
/// Fraction of the connect timeout for which a connection to a store has to be silent after a response before
/// it is used again. Further bytes that a store sends for the last request are in flight no longer than a
/// connection takes to be established.
const REUSE_DELAY_RATIO: f64 = 1.0 / 16.0;
/// Fraction of the idle time in the settings after which idle connections of clients and to stores are
/// closed.
const IDLE_RATIO: f64 = 0.5;
/// Fraction of the idle timeout of store connections: the interval at which idle connections are checked.
const SWEEP_RATIO: f64 = 0.5;

/// The durations in the settings that the timeouts are derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsTimes {
    /// Longest deadline of any operation type.
    pub longest_deadline: Duration,
    /// Shortest latency objective of any operation type.
    pub shortest_objective: Duration,
    /// Time for a connection to a store to be established.
    pub connect_timeout: Duration,
    /// Time after which peers close an idle connection.
    pub connection_idle: Duration,
}

/// The timeouts of the gateway's client and store connections. Those of a drain are measured from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From a request's first byte until the request is complete.
    pub request_read: Duration,
    /// From a connection's accept until its first byte.
    pub first_request: Duration,
    /// The same if there is no capacity for the connection.
    pub first_request_without_capacity: Duration,
    /// For a client to read a response.
    pub response_write: Duration,
    /// From the shutdown of sending until the close, while received bytes are discarded.
    pub linger: Duration,
    /// From a response until an idle connection of a client is closed.
    pub client_idle: Duration,
    /// From a response until an idle connection to a store is closed.
    pub store_idle: Duration,
    /// Interval at which idle connections to stores are checked.
    pub store_sweep: Duration,
    /// For a connection to a store to be established.
    pub connect: Duration,
    /// From a response until the connection to its store may be used again.
    pub reuse_delay: Duration,
    /// Until when new requests are accepted in a drain.
    pub accept_until: Duration,
    /// Until when open requests are tried in a drain, before they are given up.
    pub retry_until: Duration,
    /// Until when all requests are answered in a drain.
    pub drain_deadline: Duration,
    /// For clients to close, from the drain deadline or the last response, whichever is later.
    pub drain_close: Duration,
}

impl Timeouts {
    /// Derives the timeouts from these settings.
    pub fn from_settings(times: &SettingsTimes) -> Timeouts {
        let request_read = times.longest_deadline.mul_f64(REQUEST_READ_RATIO);
        let objective = |ratio: f64| times.shortest_objective.mul_f64(ratio);
        let idle = times.connection_idle.mul_f64(IDLE_RATIO);
        let kill_after = times.longest_deadline.min(MAX_KILL_AFTER);
        let drain_deadline = kill_after + KILL_MARGIN.mul_f64(DRAIN_DEADLINE_RATIO);
        let last_accept = drain_deadline.saturating_sub(objective(LAST_ACCEPT_RATIO));
        Timeouts {
            request_read: bounded_wait(request_read),
            first_request: request_read,
            first_request_without_capacity: bounded_wait(times.connect_timeout),
            response_write: bounded_wait(request_read),
            linger: bounded_wait(times.longest_deadline.mul_f64(LINGER_RATIO)),
            client_idle: idle,
            store_idle: idle,
            store_sweep: times.connect_timeout.min(idle.mul_f64(SWEEP_RATIO)),
            connect: times.connect_timeout,
            reuse_delay: times.connect_timeout.mul_f64(REUSE_DELAY_RATIO),
            // Hazard: a client that connects after the listener was closed gets no response.
            accept_until: last_accept.max(CONNECTIONS_AFTER_SIGTERM),
            retry_until: drain_deadline.saturating_sub(objective(LAST_RETRY_RATIO)),
            drain_deadline,
            drain_close: KILL_MARGIN.mul_f64(DRAIN_CLOSE_RATIO),
        }
    }

    /// These timeouts for a drain that has to satisfy both `self` and `other`: each drain time and the
    /// response write timeout is the smaller one of the two.
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
