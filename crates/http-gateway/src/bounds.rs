//! What the program may hold, as ratios to the configuration, and its waits ([`Timeouts`]).

use std::time::Duration;

use umbertray_http::Limits;
use umbertray_http_api::{Config, fields};
use umbertray_lifecycle::{SettingsTimes, Timeouts};

/// Parts of the descriptors for clients, for those that there is no room for until they have their answer, and for
/// stores; the rest is for the listener, discovery and the system.
const CLIENT_SOCKETS: f64 = 0.55;
const REJECTED_CLIENT_SOCKETS: f64 = 0.05;
const STORE_SOCKETS: f64 = 0.3;
/// The part of all store connections that one store may have.
const SINGLE_STORE: f64 = 0.5;
/// A head against the largest body.
const HEAD_PER_BODY: f64 = 0.125;
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// What is read ahead of a request that waits for its answer, against the largest body.
const READ_AHEAD_PER_BODY: f64 = 0.25;
/// Parts of the memory for one answer of a store, and for what all answers hold beyond the largest body that the
/// platform tells of. Danger: stores do send more, and may say that there is more than any memory holds.
const RESPONSE_MEMORY: f64 = 1.0 / 32.0;
const ALL_RESPONSES_MEMORY: f64 = 0.25;
/// The part of the memory for a list of stores as it is config. What is made of it takes a few times as much.
const LIST_MEMORY: f64 = 1.0 / 16.0;
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    pub http: Limits,
    /// Of stores' answers.
    pub response: Limits,
    pub all_responses: usize,
    pub read_ahead: usize,
    /// The whole list of stores, or one object of its watch.
    pub endpoint_list: usize,
    pub clients: usize,
    pub rejected_clients: usize,
    /// What those are config.
    pub retry_after: Duration,
    pub store_connections: usize,
    pub single_store_connections: usize,
    pub timeouts: Timeouts,
}

impl ResourceLimits {
    pub fn from_config(config: &Config) -> Result<ResourceLimits, String> {
        let settings = &config.settings;
        let span = |name: &str| {
            umbertray_http_api::config::duration_setting(settings, name)
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
        let memory = (config.limits.memory_mb * MEGABYTE) as usize;
        let head = part(fields::MAX_BODY, HEAD_PER_BODY);
        let stores = part(config.limits.sockets, STORE_SOCKETS);
        Ok(ResourceLimits {
            http: Limits { head, body: fields::MAX_BODY },
            response: Limits { head, body: part(memory, RESPONSE_MEMORY).max(fields::MAX_BODY) },
            all_responses: part(memory, ALL_RESPONSES_MEMORY),
            read_ahead: part(fields::MAX_BODY, READ_AHEAD_PER_BODY),
            endpoint_list: part(memory, LIST_MEMORY),
            clients: part(config.limits.sockets, CLIENT_SOCKETS),
            rejected_clients: part(config.limits.sockets, REJECTED_CLIENT_SOCKETS),
            retry_after: span("limits.max_retry_after").map_or(shortest, |most| most.min(shortest)),
            store_connections: stores,
            single_store_connections: part(stores, SINGLE_STORE),
            timeouts,
        })
    }
}
