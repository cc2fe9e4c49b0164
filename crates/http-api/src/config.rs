//! What a gateway is told at its start: one JSON document.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use umbertray::interface::Settings;

use crate::endpoint_list::EndpointList;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("line {line}, column {column}: {what}")]
    Json { line: usize, column: usize, what: String },
    #[error("{field}: {what}")]
    Field { field: &'static str, what: String },
}

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// The list as this gateway last held it; it may be old.
    pub known: EndpointList,
    /// In our words, as the module takes them.
    pub settings: Settings,
}

/// What the machine has for this gateway.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
}

#[derive(Deserialize)]
struct Told {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Value,
    settings: Value,
}

impl Config {
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        let told: Told = serde_json::from_str(text).map_err(|error| ConfigError::Json {
            line: error.line(),
            column: error.column(),
            what: error.to_string(),
        })?;
        let field =
            |field, what: &dyn std::fmt::Display| ConfigError::Field { field, what: what.to_string() };
        let address = |name, text: &str| text.parse().map_err(|error| field(name, &error));
        if told.limits.sockets == 0 || told.limits.memory_mb.is_nan() || told.limits.memory_mb <= 0.0 {
            return Err(field("limits", &"sockets and memory_mb are to be above 0"));
        }
        let mut pairs = Vec::new();
        flatten(&told.settings, &mut String::new(), &mut pairs);
        Ok(Config {
            name: told.name,
            listen: address("listen", &told.listen)?,
            discovery: address("discovery", &told.discovery)?,
            seed: u64::from_str_radix(&told.seed, 16).map_err(|error| field("seed", &error))?,
            limits: told.limits,
            known: EndpointList::read(told.known.to_string().as_bytes())
                .map_err(|error| field("known", &error))?,
            settings: umbertray_setting_names::from_pairs(
                pairs.iter().map(|(k, v)| (k.as_str(), v.as_str())),
            ),
        })
    }
}

/// A span among the settings; nothing where it is missing or unreadable.
pub fn duration_setting(settings: &Settings, name: &str) -> Option<Duration> {
    let seconds = settings.get(name)?.parse::<f64>().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Nested settings as the paths and values that the simulator's wire tells: a list of plain values is joined with
/// commas, a list of objects has its length under `count` and its items under their numbers.
fn flatten(value: &Value, path: &mut String, pairs: &mut Vec<(String, String)>) {
    let plain =
        |value: &Value| value.as_str().map_or_else(|| value.to_string(), |s| s.replace([' ', ','], "_"));
    let mut below = |step: &str, value: &Value, pairs: &mut Vec<(String, String)>| {
        let length = path.len();
        if length > 0 {
            path.push('.');
        }
        path.push_str(step);
        flatten(value, path, pairs);
        path.truncate(length);
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| below(name, value, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            below("count", &items.len().into(), pairs);
            items.iter().enumerate().for_each(|(i, item)| below(&i.to_string(), item, pairs));
        }
        Value::Array(items) => {
            let joined = items.iter().map(plain).collect::<Vec<_>>().join(",");
            pairs.push((path.clone(), joined));
        }
        Value::Null => {}
        value => pairs.push((path.clone(), plain(value))),
    }
}
