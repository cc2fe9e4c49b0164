//! A request read and checked: what it asks, in our words, or why it is refused.

use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::Settings;
use umbertray_http::server::Request;

use crate::config::duration_setting;
use crate::fields;
use crate::stable_positions;

/// An op as its client asked for it. What goes to a store is written anew from these parts.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    pub id: Box<str>,
    /// As its client wrote it.
    pub idempotency_key: Option<Bytes>,
    pub method: &'static str,
    /// Path and query.
    pub target: Box<str>,
    pub body: Bytes,
    pub op_type: usize,
    pub plan: usize,
    pub volume: u64,
    /// 0: none.
    pub key: u64,
    /// How long the client waits, counted from the request's first byte.
    pub time_left: Duration,
    pub units: f64,
    /// Absent: a new object.
    pub shard: Option<u32>,
    pub gateways: f64,
}

/// A request that is no op, and the status that its client gets.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct RequestError {
    pub status: u16,
    pub message: String,
}

fn refused<T>(status: u16, what: impl Into<String>) -> Result<T, RequestError> {
    Err(RequestError { status, message: what.into() })
}

/// What requests may name, by the settings.
pub struct Names {
    /// In their places; without a name those that are no more.
    op_types: Vec<(Option<String>, Duration)>,
    plans: Vec<Option<String>>,
    shards: Option<u32>,
    most_units: Option<f64>,
}

impl Names {
    pub fn of(settings: &Settings) -> Result<Names, String> {
        let number = |name: &str| settings.get(name).and_then(|text| text.parse::<f64>().ok());
        let count =
            |list: &str| stable_positions::count(settings, list).ok_or_else(|| format!("{list}.count"));
        let named = |list: &str, i: usize| {
            let gone = settings.get(&format!("{list}.{i}.gone")).is_some_and(|gone| gone == "true");
            let name = format!("{list}.{i}.name");
            Ok(Some(settings.get(&name).cloned().ok_or(name)?).filter(|_| !gone))
        };
        let op_type = |i: usize| {
            let timeout = format!("op_types.{i}.op_timeout");
            let patience = duration_setting(settings, &timeout);
            Ok((named("op_types", i)?, patience.ok_or(timeout)?))
        };
        let plan = |i: usize| named("plans", i);
        Ok(Names {
            op_types: (0..count("op_types")?).map(op_type).collect::<Result<_, String>>()?,
            plans: (0..count("plans")?).map(plan).collect::<Result<_, String>>()?,
            shards: number("stores.slots_total").map(|n| n as u32).filter(|n| *n > 0),
            most_units: number("stores.max_units").filter(|n| *n > 0.0),
        })
    }

    pub fn ask(&self, request: &Request) -> Result<ClientRequest, RequestError> {
        let method = match &*request.method {
            "PUT" => "PUT",
            "GET" if request.body.is_empty() => "GET",
            "GET" => return refused(400, "a GET with a body"),
            other => return refused(405, format!("method {other}")),
        };
        let (op_type, volume, key) = self.path(&request.target)?;
        let plan = text(request, fields::PLAN)?;
        let Some(plan) = self.plans.iter().position(|own| own.as_deref() == Some(plan)) else {
            return refused(400, format!("{}: no plan of this name", fields::PLAN));
        };
        let id = text(request, fields::REQUEST_ID)?;
        if hex(id).is_none() {
            return refused(400, format!("{}: not {} hex digits", fields::REQUEST_ID, fields::HEX_DIGITS));
        }
        let Ok(mark) = request.headers.one(fields::IDEMPOTENCY_KEY) else {
            return refused(400, format!("{} stands more than once", fields::IDEMPOTENCY_KEY));
        };
        let left = text(request, fields::TIME_LEFT)?;
        let digits = !left.is_empty() && left.bytes().all(|byte| byte.is_ascii_digit());
        let Some(left) = left.parse().ok().filter(|left| digits && *left > 0) else {
            return refused(400, format!("{}: not a whole number of milliseconds", fields::TIME_LEFT));
        };
        let (units, shard, gateways) = self.placement(text(request, fields::PLACEMENT)?)?;
        Ok(ClientRequest {
            id: id.into(),
            idempotency_key: mark.map(Bytes::copy_from_slice),
            method,
            target: request.target.clone(),
            body: request.body.clone(),
            op_type,
            plan,
            volume,
            key,
            time_left: Duration::from_millis(left).min(self.op_types[op_type].1),
            units,
            shard,
            gateways,
        })
    }

    /// Strictly `/op-type/volume/key`, with a query or without.
    fn path(&self, target: &str) -> Result<(usize, u64, u64), RequestError> {
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        let mut steps = path.split('/');
        let steps = [steps.next(), steps.next(), steps.next(), steps.next(), steps.next()];
        let [Some(""), Some(op_type), Some(volume), Some(key), None] = steps else {
            return refused(404, "the path is not /op-type/volume/key");
        };
        let Some(op_type) = self.op_types.iter().position(|(name, _)| name.as_deref() == Some(op_type))
        else {
            return refused(404, "the path names no op type");
        };
        let Some((volume, key)) = hex(volume).zip(hex(key)) else {
            return refused(404, format!("volume and key are not {} hex digits each", fields::HEX_DIGITS));
        };
        Ok((op_type, volume, key))
    }

    fn placement(&self, text: &str) -> Result<(f64, Option<u32>, f64), RequestError> {
        let part = |name: &str| {
            let mut own = text.split(',').filter_map(|part| part.trim().split_once('='));
            own.find(|(own, _)| *own == name).map(|(_, value)| value)
        };
        let wrong =
            |name: &str| refused(400, format!("{}: {name} is missing or not to be had", fields::PLACEMENT));
        let number = |name: &str| part(name).and_then(|text| text.parse::<f64>().ok());
        let units = number(fields::UNITS).filter(|n| n.is_finite() && *n > 0.0);
        let Some(units) = units.filter(|n| self.most_units.is_none_or(|most| *n <= most)) else {
            return wrong(fields::UNITS);
        };
        let Some(gateways) = number(fields::GATEWAYS).filter(|n| n.is_finite() && *n >= 1.0) else {
            return wrong(fields::GATEWAYS);
        };
        let shard = match part(fields::SHARD) {
            Some(fields::NEW_OBJECT) => None,
            Some(text) => {
                let shard = text.parse().ok().filter(|n| self.shards.is_none_or(|all| *n < all));
                let Some(shard) = shard else { return wrong(fields::SHARD) };
                Some(shard)
            }
            None => return wrong(fields::SHARD),
        };
        Ok((units, shard, gateways))
    }
}

fn text<'a>(request: &'a Request, name: &'static str) -> Result<&'a str, RequestError> {
    match request.headers.one(name) {
        Ok(Some(value)) => match std::str::from_utf8(value) {
            Ok(value) => Ok(value.trim()),
            Err(_) => refused(400, format!("{name} is not text")),
        },
        Ok(None) => refused(400, format!("{name} is missing")),
        Err(_) => refused(400, format!("{name} stands more than once")),
    }
}

fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == fields::HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
