//! What the process may hold, as ratios to the configuration, and its waits ([`Timeouts`]).

use std::time::Duration;

use umbertray_http::Limits;
use umbertray_http_api::Settings;
use umbertray_http_api::config::duration_setting;
use umbertray_http_api::{Config, fields};
use umbertray_lifecycle::{SettingsTimes, Timeouts};

/// Fraction of the descriptors for connections of clients. The rest, beyond those below, is for the listener, discovery and
/// the system.
const CLIENT_SOCKETS: f64 = 0.55;
/// Fraction of the descriptors for clients that are rejected, until they have their response.
const REJECTED_CLIENT_SOCKETS: f64 = 0.05;
/// Fraction of the descriptors for connections to stores.
const STORE_SOCKETS: f64 = 0.3;
/// Fraction of the connections to stores that one store may have.
const SINGLE_STORE: f64 = 0.5;
/// Longest head of a message, against the longest body.
const HEAD_PER_BODY: f64 = 0.125;
/// Bytes that are read behind a request that waits for its response, against the longest body.
const READ_AHEAD_PER_BODY: f64 = 0.25;
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// Fraction of the memory for one response of a store.
///
/// Hazard: stores do send more than the longest body of the platform, and may announce more than any memory holds.
const RESPONSE_MEMORY: f64 = 1.0 / 32.0;
/// Fraction of the memory for what all responses hold beyond the longest body of the platform.
const ALL_RESPONSES_MEMORY: f64 = 0.25;
/// Fraction of the memory for an endpoint list as it is received. What is built from it takes a few times as much.
const LIST_MEMORY: f64 = 1.0 / 16.0;

/// Why limits cannot be derived from a configuration.
#[derive(Debug, thiserror::Error)]
pub enum LimitsError {
    /// A duration among the settings.
    #[error("settings: {0} is missing or unreadable")]
    Setting(String),
    /// There is no operation type.
    #[error("settings: op_types.count is missing")]
    NoOpTypes,
}

/// Limits and waits under a configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResourceLimits {
    /// Of requests, and of responses of discovery but for their body.
    pub(crate) http: Limits,
    /// Of a store's response.
    pub(crate) response: Limits,
    /// Bytes of all responses, beyond the longest body of the platform.
    pub(crate) all_responses: usize,
    /// Bytes that are read behind a request that waits for its response.
    pub(crate) read_ahead: usize,
    /// Bytes of the whole endpoint list, or of one object of its watch.
    pub(crate) endpoint_list: usize,
    /// Connections of clients.
    pub(crate) clients: usize,
    /// Connections of clients beyond those, which are rejected.
    pub(crate) rejected_clients: usize,
    /// When a rejected client is told to retry.
    pub(crate) retry_after: Duration,
    /// Connections to stores.
    pub(crate) store_connections: usize,
    /// Connections to one store.
    pub(crate) single_store_connections: usize,
    /// The waits.
    pub(crate) timeouts: Timeouts,
}

impl ResourceLimits {
    /// The limits under a configuration.
    pub(crate) fn from_config(config: &Config) -> Result<ResourceLimits, LimitsError> {
        let settings = &config.settings;
        let deadlines = durations(settings, ".op_timeout")?;
        let longest_deadline = *deadlines.iter().max().ok_or(LimitsError::NoOpTypes)?;
        let objectives = durations(settings, ".target_latency")?;
        let shortest_objective = *objectives.iter().min().ok_or(LimitsError::NoOpTypes)?;
        let timeouts = Timeouts::from_settings(&SettingsTimes {
            longest_deadline,
            shortest_objective,
            connect_timeout: duration(settings, "limits.connect_timeout")?,
            connection_idle: duration(settings, "limits.conn_idle")?,
        });
        let max_retry_after = duration(settings, "limits.max_retry_after").unwrap_or(shortest_objective);
        let memory = (config.limits.memory_mb * MEGABYTE) as usize;
        let sockets = config.limits.sockets;
        let head = fraction(fields::MAX_BODY, HEAD_PER_BODY);
        let store_connections = fraction(sockets, STORE_SOCKETS);
        Ok(ResourceLimits {
            http: Limits { head, body: fields::MAX_BODY },
            response: Limits { head, body: fraction(memory, RESPONSE_MEMORY).max(fields::MAX_BODY) },
            all_responses: fraction(memory, ALL_RESPONSES_MEMORY),
            read_ahead: fraction(fields::MAX_BODY, READ_AHEAD_PER_BODY),
            endpoint_list: fraction(memory, LIST_MEMORY),
            clients: fraction(sockets, CLIENT_SOCKETS),
            rejected_clients: fraction(sockets, REJECTED_CLIENT_SOCKETS),
            retry_after: max_retry_after.min(shortest_objective),
            store_connections,
            single_store_connections: fraction(store_connections, SINGLE_STORE),
            timeouts,
        })
    }
}

fn duration(settings: &Settings, name: &str) -> Result<Duration, LimitsError> {
    duration_setting(settings, name).ok_or_else(|| LimitsError::Setting(name.into()))
}

/// All durations whose setting ends so.
fn durations(settings: &Settings, suffix: &str) -> Result<Vec<Duration>, LimitsError> {
    let names = settings.keys().filter(|name| name.ends_with(suffix));
    names.map(|name| duration(settings, name)).collect()
}

/// At least one.
fn fraction(whole: usize, fraction: f64) -> usize {
    ((whole as f64 * fraction) as usize).max(1)
}
