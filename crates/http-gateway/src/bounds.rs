//! What the program may hold, as ratios to the configuration, and its waits ([`Timeouts`]).

use std::time::Duration;

use umbertray_http::Limits;
use umbertray_http_api::{Config, config, fields};
use umbertray_lifecycle::{SettingsTimes, Timeouts};

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
    pub timeouts: Timeouts,
}

impl Bounds {
    pub fn of(told: &Config) -> Result<Bounds, String> {
        let settings = &told.settings;
        let span = |name: &str| {
            config::duration_setting(settings, name)
                .ok_or_else(|| format!("settings: {name} is missing or unreadable"))
        };
        let part = |of: usize, part: f64| ((of as f64 * part) as usize).max(1);
        let timeouts = settings.keys().filter(|name| name.ends_with(".op_timeout"));
        let timeouts = timeouts.map(|name| span(name)).collect::<Result<Vec<_>, _>>()?;
        let missing = "settings: op_types.count is missing";
        let longest = *timeouts.iter().max().ok_or(missing)?;
        let targets = settings.keys().filter(|name| name.ends_with(".target_latency"));
        let targets = targets.map(|name| span(name)).collect::<Result<Vec<_>, _>>()?;
        let shortest = *targets.iter().min().ok_or(missing)?;
        let timeouts = Timeouts::from_settings(&SettingsTimes {
            longest_deadline: longest,
            shortest_objective: shortest,
            connect_timeout: span("limits.connect_timeout")?,
            connection_idle: span("limits.conn_idle")?,
        });
        let memory = (told.limits.memory_mb * MEGABYTE) as usize;
        let head = part(fields::MAX_BODY, HEAD);
        let stores = part(told.limits.sockets, STORES);
        Ok(Bounds {
            http: Limits { head, body: fields::MAX_BODY },
            answer: Limits { head, body: part(memory, ANSWER).max(fields::MAX_BODY) },
            answers: part(memory, ANSWERS),
            ahead: part(fields::MAX_BODY, AHEAD),
            list: part(memory, LIST),
            clients: part(told.limits.sockets, CLIENTS),
            rejected_clients: part(told.limits.sockets, TURNED_AWAY),
            retry_after: span("limits.max_retry_after").map_or(shortest, |most| most.min(shortest)),
            stores,
            one_store: part(stores, ONE_STORE),
            timeouts,
        })
    }
}
