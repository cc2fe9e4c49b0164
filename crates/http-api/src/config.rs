//! The configuration file of a gateway: one JSON document.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use umbertray::interface::Settings;

use crate::endpoint_list::EndpointList;

/// The configuration cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The document is not valid JSON, or lacks a field.
    #[error("line {line}, column {column}: {reason}")]
    Json {
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// Description of the error.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Description of the error.
        reason: String,
    },
}

impl ConfigError {
    fn field(field: &'static str, reason: &dyn Display) -> ConfigError {
        ConfigError::Field { field, reason: reason.to_string() }
    }
}

/// Configuration of a gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the gateway.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the gateway's random number generator.
    pub seed: u64,
    /// Resources available to this process.
    pub limits: Limits,
    /// The endpoint list that this gateway had last; it may be out of date.
    pub cached_endpoints: EndpointList,
    /// Settings under this project's names, as the scheduler expects them.
    pub settings: Settings,
}

/// Resources available to this process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub sockets: usize,
}

/// The document as deserialized from JSON.
#[derive(Deserialize)]
struct ConfigJson {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Value,
    settings: Value,
}

impl Config {
    /// Parses the document.
    ///
    /// # Errors
    /// The text is not a JSON document of this form, or a field has an invalid value.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let config: ConfigJson = serde_json::from_str(text).map_err(|error| ConfigError::Json {
            line: error.line(),
            column: error.column(),
            reason: error.to_string(),
        })?;
        let limits = config.limits;
        if limits.sockets == 0 || limits.memory_mb.is_nan() || limits.memory_mb <= 0.0 {
            return Err(ConfigError::field("limits", &"sockets and memory_mb must be above 0"));
        }
        let address = |name, text: &str| text.parse().map_err(|error| ConfigError::field(name, &error));
        let listen = address("listen", &config.listen)?;
        let discovery = address("discovery", &config.discovery)?;
        let seed =
            u64::from_str_radix(&config.seed, 16).map_err(|error| ConfigError::field("seed", &error))?;
        let cached_endpoints = EndpointList::parse(config.known.to_string().as_bytes())
            .map_err(|error| ConfigError::field("known", &error))?;
        let mut pairs = Vec::new();
        flatten(&config.settings, &mut String::new(), &mut pairs);
        let pairs = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str()));
        let settings = umbertray_setting_names::from_pairs(pairs);
        Ok(Config { name: config.name, listen, discovery, seed, limits, cached_endpoints, settings })
    }
}

/// Reads a duration setting, given in seconds. `None` if it is missing or cannot be parsed.
pub fn duration_setting(settings: &Settings, name: &str) -> Option<Duration> {
    let seconds = settings.get(name)?.parse::<f64>().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Flattens nested settings into pairs of path and value, in the form of the simulator's protocol. A list of
/// plain values is joined with commas. A list of objects yields its length under `count`, and its items under
/// their indexes.
fn flatten(value: &Value, path: &mut String, pairs: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| flatten_below(name, value, path, pairs));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flatten_below("count", &items.len().into(), path, pairs);
            for (position, item) in items.iter().enumerate() {
                flatten_below(&position.to_string(), item, path, pairs);
            }
        }
        Value::Array(items) => {
            let joined = items.iter().map(plain_text).collect::<Vec<_>>().join(",");
            pairs.push((path.clone(), joined));
        }
        Value::Null => {}
        value => pairs.push((path.clone(), plain_text(value))),
    }
}

/// Flattens a value one level below a path.
fn flatten_below(step: &str, value: &Value, path: &mut String, pairs: &mut Vec<(String, String)>) {
    let length = path.len();
    if length > 0 {
        path.push('.');
    }
    path.push_str(step);
    flatten(value, path, pairs);
    path.truncate(length);
}

/// Formats a plain value as text. Commas and spaces are replaced, because they would be parsed as separators
/// of a list.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), |text| text.replace([' ', ','], "_"))
}
