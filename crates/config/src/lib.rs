//! The settings script and what it evaluates to.
//!
//! A script is Starlark: calls of `gateway`, `op_type`, `request`, `plan`, `volume`, `rules` and `bounds`, with the
//! language's own means to compute them. [`read`] evaluates it within bounds and checks the whole, naming every
//! problem with its place. docs/settings.md is the operators' page.

mod calls;
pub mod canon;
pub mod check;
mod script;

pub use calls::{Arguments, FunctionCall};
pub use script::evaluate;

use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;
use umbertray_routing::Settings;

/// What a gateway is to be: its own addresses, and the settings that all gateways of a deployment share.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsDocument {
    pub listen: Vec<SocketAddr>,
    pub endpoint_list: SocketAddr,
    /// The coordinator of the map; absent: the list's service has the directory of extents too.
    pub coordinator: Option<SocketAddr>,
    pub seed: u64,
    /// The folder in which state is kept over restarts.
    pub state: Option<String>,
    /// Whence the log of changes comes, whose plans, volumes, op types and rules hold in place of the script's.
    pub changes: Option<ChangeSource>,
    /// What relays know it by; a name of its own among all that follow them.
    pub name: String,
    pub zone: String,
    pub settings: Settings,
}

/// Whence a log of changes comes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The writer's folder.
    Folder(String),
    /// Relays, and how many of them must say the same before it is acted on.
    Relays { upstreams: Vec<Upstream>, quorum: usize },
}

/// A relay that is followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
}

impl fmt::Display for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}={}", self.zone, self.name, self.address)
    }
}

/// Something that must be mended, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    pub file: String,
    /// From 1; 0 where the whole file is meant.
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.what),
            line => write!(f, "{}:{line}:{}: {}", self.file, self.column, self.what),
        }
    }
}

impl std::error::Error for Problem {}

/// The functions whose calls make up settings; the others that a script may call belong to a rehearsal's day.
const SETTINGS: [&str; 7] = ["gateway", "op_type", "request", "plan", "volume", "rules", "bounds"];

/// Evaluates a script and checks what it says.
pub fn read(file: &str, text: String) -> Result<SettingsDocument, Vec<Problem>> {
    parse_whole(file, &script::evaluate(file, text).map_err(|problem| vec![problem])?)
}

/// What a coordinator is to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorSettings {
    pub listen: SocketAddr,
    pub endpoint_list: SocketAddr,
    /// The folder of its log.
    pub folder: String,
}

/// Evaluates a coordinator's script and checks what it says.
pub fn read_coordinator(file: &str, text: String) -> Result<CoordinatorSettings, Vec<Problem>> {
    check::keeper(file, &script::evaluate(file, text).map_err(|problem| vec![problem])?)
}

/// What a relay is to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    pub listen: SocketAddr,
    /// What others know it by; a name of its own among all that follow relays.
    pub name: String,
    pub zone: String,
    pub changes: ChangeSource,
    /// Where it keeps what it carries, over its restarts.
    pub folder: Option<String>,
}

/// Evaluates a relay's script and checks what it says.
pub fn read_relay(file: &str, text: String) -> Result<RelaySettings, Vec<Problem>> {
    check::relay(file, &script::evaluate(file, text).map_err(|problem| vec![problem])?)
}

/// Checks that a script's calls are settings, and what they say.
pub fn parse_whole(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    let strange = calls.iter().filter(|call| !SETTINGS.contains(&call.function));
    let strange: Vec<Problem> =
        strange.map(|call| call.problem("does not belong in settings".into())).collect();
    if strange.is_empty() { document(file, calls) } else { Err(strange) }
}

/// Checks that a script's calls are a gateway's own: what is shared is said by the log of changes that it follows.
pub fn check_own(calls: &[FunctionCall]) -> Result<(), Vec<Problem>> {
    let strange = calls.iter().filter(|call| !["gateway", "bounds"].contains(&call.function));
    let what = "is the log's to say, since gateway(changes = ...) names one";
    let strange: Vec<Problem> = strange.map(|call| call.problem(what.into())).collect();
    if strange.is_empty() { Ok(()) } else { Err(strange) }
}

/// A gateway's own calls, read beside stand-ins for what the log has, which is not known yet.
pub fn own_part(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    check_own(calls)?;
    let (latency, works) = (0.001.into(), ["read", "write", "zero", "trim", "flush", "status"]);
    let op = [("target_latency", latency), ("op_timeout", 1.into()), ("utility", 1.into())];
    let shared = [
        FunctionCall::from_script("op_type", "op".into(), op),
        FunctionCall::from_script("request", works.as_slice().into(), [("op_type", "op".into())]),
        FunctionCall::from_script("plan", "plan".into(), [("rate", 1.into())]),
        FunctionCall::from_script("volume", "volume".into(), [("size", 512.into()), ("plan", "plan".into())]),
    ];
    document(file, &[calls, &shared].concat())
}

/// Checks the settings among a script's calls.
pub fn document(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    check::document(file, calls)
}

impl SettingsDocument {
    /// The settings as understood, every default filled in, as a script that reads back to the same.
    pub fn as_script(&self) -> String {
        self.calls().iter().map(|call| call.as_script() + "\n").collect()
    }

    /// A gateway's own part of that script.
    pub fn own_script(&self) -> String {
        let calls = [canon::gateway(self), canon::bounds(&self.settings.bounds)];
        calls.iter().map(|call| call.as_script() + "\n").collect()
    }

    /// The calls of that script.
    pub fn calls(&self) -> Vec<FunctionCall> {
        let settings = &self.settings;
        let mut calls = vec![canon::gateway(self)];
        calls.extend(settings.op_types.iter().map(canon::op_type));
        calls.extend(settings.type_rules.iter().map(|rule| canon::request(rule, &settings.op_types)));
        calls.extend(settings.plans.iter().filter(|plan| !plan.is_removed).map(canon::plan));
        let volumes = settings.volumes.iter().filter(|volume| !volume.is_removed);
        calls.extend(volumes.map(|volume| canon::volume(volume, &settings.plans[volume.plan].name)));
        calls.extend([canon::rules(&settings.rules), canon::bounds(&settings.bounds)]);
        calls
    }
}
