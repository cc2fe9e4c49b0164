//! Resource limits of the process as fractions of the configured resources, and its timeouts ([`Timeouts`]).

use std::time::Duration;

use umbertray_http::Limits;
use umbertray_http_api::Settings;
use umbertray_http_api::config::duration_setting;
use umbertray_http_api::{Config, TableLimits, protocol};
use umbertray_lifecycle::{SettingsTimes, Timeouts};

/// Fraction of the file descriptors for client connections. The fractions below leave the rest to the
/// listener, discovery and the system.
const CLIENT_SOCKETS: f64 = 0.55;
/// Fraction of the file descriptors for clients that are rejected, until they have received their response.
const REJECTED_CLIENT_SOCKETS: f64 = 0.05;
/// Fraction of the file descriptors for connections to stores.
const STORE_SOCKETS: f64 = 0.3;
/// Fraction of the store connections that a single store may have.
const SINGLE_STORE: f64 = 0.5;
/// Maximum length of a message head, relative to the maximum body length.
const HEAD_PER_BODY: f64 = 0.125;
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// Fraction of the memory for one response of a store.
///
/// Hazard: stores do send more than the platform's maximum body length, and may announce more than fits into
/// any memory.
const RESPONSE_MEMORY: f64 = 1.0 / 32.0;
/// Fraction of the memory for the requests of all clients: received bytes, parsed heads and bodies.
const REQUESTS_MEMORY: f64 = 0.125;
/// Fraction of the memory for all responses, from their first byte until they are written to their clients.
const RESPONSES_MEMORY: f64 = 0.125;
/// Fraction of the memory for an endpoint list as received. The data structures built from it take several
/// times as much.
const LIST_MEMORY: f64 = 1.0 / 16.0;

/// Fraction of the memory for the request ids in use.
const REQUEST_IDS_MEMORY: f64 = 1.0 / 16.0;
/// Memory of one request id in use, with the unused part of the tables that hold it.
const REQUEST_ID_BYTES: usize = 48;

/// Fraction of the memory for the volumes that are known before any is forgotten.
const VOLUMES_MEMORY: f64 = 1.0 / 16.0;
/// Memory of one volume, with its queues at two stores.
const VOLUME_BYTES: usize = 768;

/// Limits cannot be derived from the configuration.
#[derive(Debug, thiserror::Error)]
pub enum LimitsError {
    /// A duration setting is missing or cannot be parsed.
    #[error("settings: {0} is missing or unreadable")]
    Setting(String),
    /// The settings contain no operation type.
    #[error("settings: op_types.count is missing")]
    NoOpTypes,
}

/// Resource limits and timeouts derived from a configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResourceLimits {
    /// Limits of requests, and of discovery's responses except for their body.
    pub(crate) http: Limits,
    /// Limits of a store's response.
    pub(crate) response: Limits,
    /// Maximum bytes held for the requests of all clients.
    pub(crate) request_memory: usize,
    /// Maximum bytes held for all responses.
    pub(crate) response_memory: usize,
    /// Maximum bytes kept that a client sends while its request waits for its response: a request of the
    /// largest size.
    pub(crate) read_ahead: usize,
    /// Maximum bytes of the complete endpoint list, or of one object of its watch.
    pub(crate) endpoint_list: usize,
    /// Maximum number of client connections.
    pub(crate) clients: usize,
    /// Maximum number of further client connections, which are rejected.
    pub(crate) rejected_clients: usize,
    /// The `Retry-After` time sent to a rejected client.
    pub(crate) retry_after: Duration,
    /// Maximum number of connections to stores.
    pub(crate) store_connections: usize,
    /// Maximum number of connections to a single store.
    pub(crate) single_store_connections: usize,
    /// Maximum sizes of the core's tables.
    pub(crate) tables: TableLimits,
    /// Timeouts.
    pub(crate) timeouts: Timeouts,
}

impl ResourceLimits {
    /// Derives the limits from a configuration.
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
        let head = fraction_of(protocol::MAX_BODY, HEAD_PER_BODY);
        let store_connections = fraction_of(sockets, STORE_SOCKETS);
        Ok(ResourceLimits {
            http: Limits { head, body: protocol::MAX_BODY },
            response: Limits { head, body: fraction_of(memory, RESPONSE_MEMORY).max(protocol::MAX_BODY) },
            request_memory: fraction_of(memory, REQUESTS_MEMORY),
            response_memory: fraction_of(memory, RESPONSES_MEMORY),
            read_ahead: head + protocol::MAX_BODY,
            endpoint_list: fraction_of(memory, LIST_MEMORY),
            clients: fraction_of(sockets, CLIENT_SOCKETS),
            rejected_clients: fraction_of(sockets, REJECTED_CLIENT_SOCKETS),
            retry_after: max_retry_after.min(shortest_objective),
            store_connections,
            single_store_connections: fraction_of(store_connections, SINGLE_STORE),
            tables: TableLimits {
                request_ids: fraction_of(memory, REQUEST_IDS_MEMORY) / REQUEST_ID_BYTES,
                volumes: fraction_of(memory, VOLUMES_MEMORY) / VOLUME_BYTES,
            },
            timeouts,
        })
    }
}

fn duration(settings: &Settings, name: &str) -> Result<Duration, LimitsError> {
    duration_setting(settings, name).ok_or_else(|| LimitsError::Setting(name.into()))
}

/// All duration settings whose name ends with `suffix`.
fn durations(settings: &Settings, suffix: &str) -> Result<Vec<Duration>, LimitsError> {
    let names = settings.keys().filter(|name| name.ends_with(suffix));
    names.map(|name| duration(settings, name)).collect()
}

/// A fraction of `total`, rounded down, but at least 1.
fn fraction_of(total: usize, ratio: f64) -> usize {
    ((total as f64 * ratio) as usize).max(1)
}
