//! The configuration that a gateway is started with: one JSON document.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use umbertray::interface::Settings;

use crate::endpoint_list::EndpointList;

/// A configuration that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No JSON of this form.
    #[error("line {line}, column {column}: {what}")]
    Json {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error, from 1.
        column: usize,
        /// What is wrong.
        what: String,
    },
    /// A field that cannot be used.
    #[error("{field}: {what}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// What is wrong.
        what: String,
    },
}

impl ConfigError {
    fn field(field: &'static str, what: &dyn Display) -> ConfigError {
        ConfigError::Field { field, what: what.to_string() }
    }
}

/// The configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the gateway.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Seed of the gateway's random numbers.
    pub seed: u64,
    /// What the machine grants this process.
    pub limits: Limits,
    /// The endpoint list as this gateway last had it; it may be old.
    pub known: EndpointList,
    /// By this project's names, as the scheduler takes them.
    pub settings: Settings,
}

/// What the machine grants this process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Memory, megabytes.
    pub memory_mb: f64,
    /// Open sockets.
    pub sockets: usize,
}

/// The document as its JSON has it.
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
    /// It is no JSON of this form, or a field of it cannot be used.
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        let config: ConfigJson = serde_json::from_str(text).map_err(|error| ConfigError::Json {
            line: error.line(),
            column: error.column(),
            what: error.to_string(),
        })?;
        let limits = config.limits;
        if limits.sockets == 0 || limits.memory_mb.is_nan() || limits.memory_mb <= 0.0 {
            return Err(ConfigError::field("limits", &"sockets and memory_mb are to be above 0"));
        }
        let address = |name, text: &str| text.parse().map_err(|error| ConfigError::field(name, &error));
        let listen = address("listen", &config.listen)?;
        let discovery = address("discovery", &config.discovery)?;
        let seed =
            u64::from_str_radix(&config.seed, 16).map_err(|error| ConfigError::field("seed", &error))?;
        let known = EndpointList::read(config.known.to_string().as_bytes())
            .map_err(|error| ConfigError::field("known", &error))?;
        let mut pairs = Vec::new();
        flatten(&config.settings, &mut String::new(), &mut pairs);
        let pairs = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str()));
        let settings = umbertray_setting_names::from_pairs(pairs);
        Ok(Config { name: config.name, listen, discovery, seed, limits, known, settings })
    }
}

/// A duration among the settings, which have it in seconds; nothing where it is missing or cannot be read.
pub fn duration_setting(settings: &Settings, name: &str) -> Option<Duration> {
    let seconds = settings.get(name)?.parse::<f64>().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Flattens nested settings into paths and values, as the simulator's wire has them: a list of plain values is joined with
/// commas; a list of objects has its length under `count` and its items under their numbers.
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

/// Flattens a value one step below a path.
fn flatten_below(step: &str, value: &Value, path: &mut String, pairs: &mut Vec<(String, String)>) {
    let length = path.len();
    if length > 0 {
        path.push('.');
    }
    path.push_str(step);
    flatten(value, path, pairs);
    path.truncate(length);
}

/// A plain value as text; a comma or space in it would be taken for the end of a list's item.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), |text| text.replace([' ', ','], "_"))
}
