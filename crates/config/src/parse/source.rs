//! Parses addresses, the identity of a process and the source of the change log.

use std::net::SocketAddr;

use serde_json::Value;
use umbertray_store_protocol::changes::MAX_NAME;

use super::MAX_NUMBER;
use crate::{Arguments, ChangeSource, Upstream};

/// The default quorum. Two relays must agree, so that a single relay that reports false data is harmless.
const DEFAULT_QUORUM: u64 = 2;

/// The zone of a process whose script does not set one.
const DEFAULT_ZONE: &str = "default";

/// Parses an address and port from the argument `name` or a part of it.
pub(super) fn address(args: &mut Arguments, name: &str, text: &str) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        args.problem(format!("{name} = {text:?} is not an address and port"));
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

/// Parses `changes` and `vouch`. A string is a folder, a list names relays.
pub(super) fn change_source(args: &mut Arguments) -> Option<ChangeSource> {
    if args.is_given_as("changes", Value::is_array) {
        return Some(relays(args));
    }
    let source = args.optional_text("changes").map(ChangeSource::Folder);
    if args.optional("vouch", 1.0..=MAX_NUMBER).is_some() {
        args.problem("vouch requires a list of relays in changes");
    }
    source
}

fn relays(args: &mut Arguments) -> ChangeSource {
    let texts = args.texts("changes");
    let upstreams: Vec<Upstream> = texts.iter().map(|text| upstream(args, text)).collect();
    if let Some(repeated) = upstreams.iter().find(|upstream| is_repeated(upstream, &upstreams)) {
        args.problem(format!("changes: the relay {repeated} is named twice: it would vouch for itself"));
    }
    let max_quorum = upstreams.len().max(1) as u64;
    let quorum = args.count("vouch", 1..=max_quorum, Some(DEFAULT_QUORUM.min(max_quorum))) as usize;
    ChangeSource::Relays { upstreams, quorum }
}

/// Whether a relay with the same name or address is listed more than once.
///
/// Hazard: a relay that is listed twice would count twice towards the quorum.
fn is_repeated(upstream: &Upstream, upstreams: &[Upstream]) -> bool {
    let is_same = |other: &&Upstream| other.name == upstream.name || other.address == upstream.address;
    upstreams.iter().filter(is_same).count() > 1
}

/// Parses `ZONE/NAME=HOST:PORT`. The zone and the name are optional: they default to the default zone and the
/// address.
fn upstream(args: &mut Arguments, text: &str) -> Upstream {
    let (zone_and_name, address_text) = text.split_once('=').unwrap_or(("", text));
    let (zone, name) = zone_and_name.split_once('/').unwrap_or((DEFAULT_ZONE, zone_and_name));
    let address = address(args, "changes", address_text);
    let name = if name.is_empty() { address.to_string() } else { name.to_string() };
    if zone.is_empty() || name.len() > MAX_NAME || zone.len() > MAX_NAME {
        args.problem(format!("changes: a name or zone in {text:?} is empty or longer than {MAX_NAME} bytes"));
    }
    Upstream { name, zone: zone.into(), address }
}

/// The name and zone by which a process identifies itself to relays.
pub(super) struct Identity {
    pub(super) name: String,
    pub(super) zone: String,
}

/// Parses `name` and `zone`.
pub(super) fn identity(args: &mut Arguments, default_name: &str) -> Identity {
    let name = args.text("name", Some(default_name));
    let zone = args.text("zone", Some(DEFAULT_ZONE));
    for (field, text) in [("name", &name), ("zone", &zone)] {
        if text.is_empty() || text.len() > MAX_NAME {
            args.problem(format!("{field} = {text:?} is empty or longer than {MAX_NAME} bytes"));
        }
        if text.contains(['/', '=']) {
            args.problem(format!("{field} = {text:?} contains / or ="));
        }
    }
    Identity { name, zone }
}
