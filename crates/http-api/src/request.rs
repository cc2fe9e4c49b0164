//! Parsing of client requests: a valid request becomes an operation, otherwise the client gets an error
//! response.

use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::Settings;
use umbertray_http::server::Request;

use crate::active_settings::SettingsError;
use crate::config::duration_setting;
use crate::protocol;
use crate::stable_positions;

/// A validated operation of a client. Requests to stores are encoded from these parts.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The request id, in hexadecimal.
    pub id: Box<str>,
    /// The request id as a number, which is the same for upper and lower case digits.
    pub id_number: u64,
    /// The idempotency key as sent by the client; `None` if the client sent none.
    pub idempotency_key: Option<Bytes>,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: Box<str>,
    /// Body of the request.
    pub body: Bytes,
    /// Position of the operation type in the settings.
    pub op_type: usize,
    /// Position of the plan in the settings.
    pub plan: usize,
    /// The volume.
    pub volume: u64,
    /// The piece of data, which determines the order of operations; 0 means none.
    pub key: u64,
    /// How long the client waits, counted from the first byte of the request.
    pub time_left: Duration,
    /// Cost of the operation.
    pub units: f64,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<u32>,
    /// Number of gateways that the volume's operations are sent through.
    pub gateways: f64,
}

/// A request that is not a valid operation, with the error response for its client.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct RequestError {
    /// HTTP status.
    pub status: u16,
    /// Description of the error.
    pub message: String,
}

fn error<T>(status: u16, message: impl Into<String>) -> Result<T, RequestError> {
    Err(RequestError { status, message: message.into() })
}

/// An operation type of the settings.
struct OpTypeEntry {
    /// `None` for a type that was removed and keeps its position.
    name: Option<String>,
    deadline: Duration,
}

/// Parses requests by the names and limits of the settings. List positions are those of the settings.
pub(crate) struct RequestParser {
    op_types: Vec<OpTypeEntry>,
    /// `None` for a plan that was removed and keeps its position.
    plans: Vec<Option<String>>,
    shards: Option<u32>,
    max_units: Option<f64>,
}

/// The operation type, volume and key in a request's path.
struct RequestPath {
    op_type: usize,
    volume: u64,
    key: u64,
}

/// Location of a request's data and cost of the operation, as stated by the client.
struct Placement {
    units: f64,
    shard: Option<u32>,
    gateways: f64,
}

impl RequestParser {
    /// The longest time that any operation may take.
    pub(crate) fn longest_deadline(&self) -> Duration {
        self.op_types.iter().map(|op_type| op_type.deadline).max().unwrap_or_default()
    }

    pub(crate) fn from_settings(settings: &Settings) -> Result<RequestParser, SettingsError> {
        let number = |name: &str| settings.get(name).and_then(|text| text.parse::<f64>().ok());
        let op_types =
            (0..list_count(settings, "op_types")?).map(|position| op_type_entry(settings, position));
        let op_types = op_types.collect::<Result<_, _>>()?;
        let plans =
            (0..list_count(settings, "plans")?).map(|position| listed_name(settings, "plans", position));
        Ok(RequestParser {
            op_types,
            plans: plans.collect::<Result<_, _>>()?,
            shards: number("stores.slots_total").map(|shards| shards as u32).filter(|shards| *shards > 0),
            max_units: number("stores.max_units").filter(|units| *units > 0.0),
        })
    }

    /// Parses a request as an operation.
    pub(crate) fn parse(&self, request: &Request) -> Result<ClientRequest, RequestError> {
        let method = parse_method(request)?;
        let RequestPath { op_type, volume, key } = self.parse_path(&request.target)?;
        let plan = self.plan_position(required_header(request, protocol::PLAN)?)?;
        let id = required_header(request, protocol::REQUEST_ID)?;
        let Some(id_number) = parse_hex(id) else {
            let message = format!("{}: not {} hex digits", protocol::REQUEST_ID, protocol::HEX_DIGITS);
            return error(400, message);
        };
        let Ok(idempotency_key) = request.headers.single(protocol::IDEMPOTENCY_KEY) else {
            return error(400, format!("{} stands more than once", protocol::IDEMPOTENCY_KEY));
        };
        let time_left = parse_time_left(required_header(request, protocol::TIME_LEFT)?)?;
        let Placement { units, shard, gateways } =
            self.parse_placement(required_header(request, protocol::PLACEMENT)?)?;
        Ok(ClientRequest {
            id: id.into(),
            id_number,
            idempotency_key: idempotency_key.map(Bytes::copy_from_slice),
            method,
            target: request.target.clone(),
            body: request.body.clone(),
            op_type,
            plan,
            volume,
            key,
            time_left: time_left.min(self.op_types[op_type].deadline),
            units,
            shard,
            gateways,
        })
    }

    fn plan_position(&self, name: &str) -> Result<usize, RequestError> {
        match self.plans.iter().position(|plan| plan.as_deref() == Some(name)) {
            Some(plan) => Ok(plan),
            None => error(400, format!("{}: no plan of this name", protocol::PLAN)),
        }
    }

    /// Parses the path, strictly `/op-type/volume/key`, optionally followed by a query.
    fn parse_path(&self, target: &str) -> Result<RequestPath, RequestError> {
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        let mut steps = path.split('/');
        let steps = [steps.next(), steps.next(), steps.next(), steps.next(), steps.next()];
        let [Some(""), Some(op_type), Some(volume), Some(key), None] = steps else {
            return error(404, "the path is not /op-type/volume/key");
        };
        let known = self.op_types.iter().position(|known| known.name.as_deref() == Some(op_type));
        let Some(op_type) = known else {
            return error(404, "the path names no op type");
        };
        let Some((volume, key)) = parse_hex(volume).zip(parse_hex(key)) else {
            return error(404, format!("volume and key are not {} hex digits each", protocol::HEX_DIGITS));
        };
        Ok(RequestPath { op_type, volume, key })
    }

    fn parse_placement(&self, text: &str) -> Result<Placement, RequestError> {
        let units = placement_number(text, protocol::UNITS).filter(|units| *units > 0.0);
        let Some(units) = units.filter(|units| self.max_units.is_none_or(|max| *units <= max)) else {
            return placement_error(protocol::UNITS);
        };
        let gateways = placement_number(text, protocol::GATEWAYS).filter(|gateways| *gateways >= 1.0);
        let Some(gateways) = gateways else { return placement_error(protocol::GATEWAYS) };
        let shard = match placement_part(text, protocol::SHARD) {
            Some(protocol::NEW_OBJECT) => None,
            Some(shard) => Some(self.parse_shard(shard)?),
            None => return placement_error(protocol::SHARD),
        };
        Ok(Placement { units, shard, gateways })
    }

    fn parse_shard(&self, text: &str) -> Result<u32, RequestError> {
        let shard = text.parse().ok();
        match shard.filter(|shard| self.shards.is_none_or(|shards| *shard < shards)) {
            Some(shard) => Ok(shard),
            None => placement_error(protocol::SHARD),
        }
    }
}

fn list_count(settings: &Settings, list: &str) -> Result<usize, SettingsError> {
    let count = stable_positions::entry_count(settings, list);
    count.ok_or_else(|| SettingsError::Setting(format!("{list}.count")))
}

/// The name at a position of a list; `None` if it was removed.
fn listed_name(settings: &Settings, list: &str, position: usize) -> Result<Option<String>, SettingsError> {
    let is_removed = settings.get(&format!("{list}.{position}.gone")).is_some_and(|gone| gone == "true");
    let setting = format!("{list}.{position}.name");
    match settings.get(&setting) {
        Some(name) => Ok(Some(name.clone()).filter(|_| !is_removed)),
        None => Err(SettingsError::Setting(setting)),
    }
}

fn op_type_entry(settings: &Settings, position: usize) -> Result<OpTypeEntry, SettingsError> {
    let setting = format!("op_types.{position}.op_timeout");
    let deadline = duration_setting(settings, &setting);
    let name = listed_name(settings, "op_types", position)?;
    Ok(OpTypeEntry { name, deadline: deadline.ok_or(SettingsError::Setting(setting))? })
}

fn parse_method(request: &Request) -> Result<&'static str, RequestError> {
    match &*request.method {
        "PUT" => Ok("PUT"),
        "GET" if request.body.is_empty() => Ok("GET"),
        "GET" => error(400, "a GET with a body"),
        other => error(405, format!("method {other}")),
    }
}

/// Parses a number of milliseconds, which must consist of decimal digits.
fn parse_time_left(text: &str) -> Result<Duration, RequestError> {
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse().ok().filter(|millis| is_decimal && *millis > 0) {
        Some(millis) => Ok(Duration::from_millis(millis)),
        None => error(400, format!("{}: not a whole number of milliseconds", protocol::TIME_LEFT)),
    }
}

/// The value of a `name=value` pair in a placement.
fn placement_part<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut parts = text.split(',').filter_map(|part| part.trim().split_once('='));
    parts.find(|(part, _)| *part == name).map(|(_, value)| value)
}

fn placement_number(text: &str, name: &str) -> Option<f64> {
    let number = placement_part(text, name)?.parse::<f64>().ok();
    number.filter(|number| number.is_finite())
}

fn placement_error<T>(part: &str) -> Result<T, RequestError> {
    error(400, format!("{}: {part} is missing or not to be had", protocol::PLACEMENT))
}

/// The value of a header field that must occur exactly once.
fn required_header<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, RequestError> {
    match request.headers.single(name) {
        Ok(Some(value)) => match std::str::from_utf8(value) {
            Ok(value) => Ok(value.trim()),
            Err(_) => error(400, format!("{name} is not text")),
        },
        Ok(None) => error(400, format!("{name} is missing")),
        Err(_) => error(400, format!("{name} stands more than once")),
    }
}

fn parse_hex(text: &str) -> Option<u64> {
    let is_hex = text.len() == protocol::HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
