//! What guards the program itself, in one place: ratios to the configuration.

use std::time::Duration;

use umbertray_http::Limits;
use umbertray_platform::{Config, config, words};

/// Parts of the descriptors for clients, for those that there is no room for until they have their answer, and for
/// stores; the rest is for the listener, discovery and the system.
const CLIENTS: f64 = 0.55;
const TURNED_AWAY: f64 = 0.05;
const STORES: f64 = 0.3;
/// The part of all store connections that one store may have.
const ONE_STORE: f64 = 0.5;
/// A head against the largest body.
const HEAD: f64 = 0.125;
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// What is read ahead of a request that waits for its answer, against the largest body.
const AHEAD: f64 = 0.25;
/// Parts of the memory for one answer of a store, and for what all answers hold beyond the largest body that the
/// platform tells of. Danger: stores do send more, and may say that there is more than any memory holds.
const ANSWER: f64 = 1.0 / 32.0;
const ANSWERS: f64 = 0.25;
/// The part of the memory for a list of stores as it is told. What is made of it takes a few times as much.
const LIST: f64 = 1.0 / 16.0;
/// Against the longest op timeout: the time for the first whole request of a connection, for the rest of a later one
/// and for an answer to be taken; how long what is still sent by a client that was refused is passed over.
const REQUEST_READ_TIMEOUT: f64 = 1.0 / 3.0;
const LINGER_TIMEOUT: f64 = 1.0 / 6.0;
/// The part of the time between the longest op timeout and SIGKILL by which all is to be answered after SIGTERM.
const DRAIN_DEADLINE: f64 = 0.7;
/// The part of it for clients to read their last answers in and close, after that.
const DRAIN_CLOSE_TIMEOUT: f64 = 0.15;
/// Against the shortest target latency: how long before that the last ops are taken, since an answer takes about so
/// long at a store that bears its load; and how long before it all are given up, since looks at them are that rare.
const LAST: f64 = 0.5;
const GIVEN_UP: f64 = 0.125;
/// Against the connect time-out: for so long a connection to a store has to be silent after an answer before it is used
/// again. What a store still says of the last request is under way no longer than a connection takes to come up.
const REUSE_DELAY: f64 = 1.0 / 16.0;
/// Parts of the idle time in the settings after which connections to stores and of clients are closed.
const STORE_IDLE: f64 = 0.5;
const CLIENT_IDLE: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub http: Limits,
    /// Of stores' answers.
    pub answer: Limits,
    pub answers: usize,
    pub ahead: usize,
    /// The whole list of stores, or one object of its watch.
    pub list: usize,
    pub clients: usize,
    pub rejected_clients: usize,
    /// What those are told.
    pub retry_after: Duration,
    pub stores: usize,
    pub one_store: usize,
    pub connect: Duration,
    pub reuse_delay: Duration,
    pub store_idle: Duration,
    pub client_idle: Duration,
    pub request_read_timeout: Duration,
    /// After SIGTERM: until when ops are taken, until when those open are tried, and until when all are answered.
    pub accept_until: Duration,
    pub retry_until: Duration,
    pub drain_deadline: Duration,
    /// After that, and after the last answer if that is later: for clients to close.
    pub drain_close_timeout: Duration,
    pub linger_timeout: Duration,
}

impl Bounds {
    pub fn of(told: &Config) -> Result<Bounds, String> {
        let settings = &told.settings;
        let span = |name: &str| {
            config::span(settings, name).ok_or_else(|| format!("settings: {name} is missing or unreadable"))
        };
        let part = |of: usize, part: f64| ((of as f64 * part) as usize).max(1);
        let timeouts = settings.keys().filter(|name| name.ends_with(".op_timeout"));
        let timeouts = timeouts.map(|name| span(name)).collect::<Result<Vec<_>, _>>()?;
        let missing = "settings: op_types.count is missing";
        let longest = *timeouts.iter().max().ok_or(missing)?;
        let targets = settings.keys().filter(|name| name.ends_with(".target_latency"));
        let targets = targets.map(|name| span(name)).collect::<Result<Vec<_>, _>>()?;
        let shortest = *targets.iter().min().ok_or(missing)?;
        let drain_deadline =
            longest.min(words::KILLED_AFTER) + words::KILLED_AFTER_THAT.mul_f64(DRAIN_DEADLINE);
        let idle = span("limits.conn_idle")?;
        let memory = (told.limits.memory_mb * MEGABYTE) as usize;
        let head = part(words::BODY, HEAD);
        let stores = part(told.limits.sockets, STORES);
        Ok(Bounds {
            http: Limits { head, body: words::BODY },
            answer: Limits { head, body: part(memory, ANSWER).max(words::BODY) },
            answers: part(memory, ANSWERS),
            ahead: part(words::BODY, AHEAD),
            list: part(memory, LIST),
            clients: part(told.limits.sockets, CLIENTS),
            rejected_clients: part(told.limits.sockets, TURNED_AWAY),
            retry_after: span("limits.max_retry_after").map_or(shortest, |most| most.min(shortest)),
            stores,
            one_store: part(stores, ONE_STORE),
            connect: span("limits.connect_timeout")?,
            reuse_delay: span("limits.connect_timeout")?.mul_f64(REUSE_DELAY),
            store_idle: idle.mul_f64(STORE_IDLE),
            client_idle: idle.mul_f64(CLIENT_IDLE),
            request_read_timeout: longest.mul_f64(REQUEST_READ_TIMEOUT),
            // Danger: whoever connects after the listener has gone is not served at all.
            accept_until: drain_deadline.saturating_sub(shortest.mul_f64(LAST)).max(words::STILL_COMING),
            retry_until: drain_deadline.saturating_sub(shortest.mul_f64(GIVEN_UP)),
            drain_deadline,
            drain_close_timeout: words::KILLED_AFTER_THAT.mul_f64(DRAIN_CLOSE_TIMEOUT),
            linger_timeout: longest.mul_f64(LINGER_TIMEOUT),
        })
    }
}
