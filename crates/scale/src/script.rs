//! The settings that a fleet of a run works by, as scripts and as a log of changes.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::json;
use umbertray_config_log::guard::GUARDS;
use umbertray_config_log::log::{Log, SEGMENT_BYTES};
use umbertray_config_log::{Change, Configuration, Edit, Key, Kind};
use umbertray_routing::Settings;
use umbertray_snapshot::Disk;

use crate::ScaleError;
use crate::plan::Plan;
use crate::point::ZONES;

/// Name of the plan whose rate tells versions apart: settings do not carry their version.
const MARK: &str = "mark";
/// The rate of that plan is this plus the version.
const MARKED: f64 = 1000.0;

/// Settings that all gateways of a run share, besides its volumes.
const SHARED: &str = r#"
op_type("lookup", target_latency = 100 * ms, op_timeout = 1.0, utility = 3)
op_type("update", target_latency = 200 * ms, op_timeout = 2.0, utility = 2)
op_type("bulk", target_latency = 800 * ms, op_timeout = 4.0, utility = 1)
request("read", up_to = 64 * KiB, op_type = "lookup")
request("status", op_type = "lookup")
request(["write", "zero"], up_to = 64 * KiB, op_type = "update")
request(["flush", "trim"], op_type = "update")
request(["read", "write", "zero"], op_type = "bulk")
plan("basic", weight = 1, rate = 300)
plan("priority", weight = 4, rate = 600, reserve = 20)
plan("mark", weight = 1, rate = 1001)
rules(cold_from = 0.25, cold_time = 4, cold_units = 40, fall_multiple = 3, fall_time = 1,
      further_free = 5, further_share = 0.2, further_span = 10)
"#;

/// Settings that each gateway has for itself.
const OWN: &str = r#"
bounds(sessions = 4096, bytes = 128 * MiB, bytes_a_session = 8 * MiB, request_bytes = 4 * MiB)
"#;

/// The call `gateway(...)` of a script.
fn gateway(listen: &str, rest: &str) -> String {
    format!("gateway(listen = [{listen:?}], extent = 256 * KiB, unit = 16 * KiB, most_units = 8, {rest})\n")
}

/// A gateway's own script. Its other settings come from the change log, which `changes` names as a script
/// writes it.
pub(crate) fn own(
    (number, seed): (u32, u64),
    list: SocketAddr,
    keeper: SocketAddr,
    changes: &str,
    state: &Path,
) -> String {
    let rest = format!(
        "name = \"gateway-{number}\", zone = \"{}\", list = {:?}, keeper = {:?}, seed = {seed}, changes = {changes}, state = {:?}",
        number % ZONES,
        list.to_string(),
        keeper.to_string(),
        state.display().to_string()
    );
    gateway("127.0.0.1:0", &rest) + OWN
}

/// A relay's script; `changes` is as a script writes it.
pub(crate) fn relay(name: &str, zone: u32, changes: &str, folder: &Path) -> String {
    let folder = folder.display().to_string();
    format!(
        "relay(listen = \"127.0.0.1:0\", name = {name:?}, zone = \"{zone}\", changes = {changes}, folder = {folder:?})\n"
    )
}

/// The coordinator's script.
pub(crate) fn keeper(listen: SocketAddr, list: SocketAddr, folder: &Path) -> String {
    let (listen, list, folder) = (listen.to_string(), list.to_string(), folder.display().to_string());
    format!("keeper(listen = {listen:?}, list = {list:?}, folder = {folder:?})\n")
}

/// The settings that all gateways of a plan share, as one script.
pub(crate) fn shared(plan: &Plan) -> String {
    let volumes = format!(
        "for n in range({}):\n    volume(\"v%d\" % n, size = 64 * MiB, plan = [\"basic\", \"priority\"][n % 2], gateways = {})\n",
        plan.volumes, plan.gateways
    );
    gateway("127.0.0.1:0", "list = \"127.0.0.1:1\"") + SHARED + &volumes + OWN
}

/// The version of the configuration that settings are from.
pub(crate) fn version(settings: &Settings) -> u64 {
    let mark = settings.plans.iter().find(|plan| plan.name == MARK);
    mark.map_or(0, |plan| (plan.rate - MARKED) as u64)
}

/// The writer of the run's change log.
pub(crate) struct Writer {
    log: Log,
}

impl Writer {
    /// Creates a log in an empty folder, with the plan's settings as version 1.
    pub(crate) fn begin(folder: &Path, plan: &Plan) -> Result<Writer, ScaleError> {
        let failed = |why: String| ScaleError::Changes(why);
        let document = umbertray_config::read("scale.star", shared(plan))
            .map_err(|problems| failed(problems.iter().map(|problem| format!("{problem}\n")).collect()))?;
        let disk = Disk::open(folder).map_err(|error| failed(error.to_string()))?;
        let log = Log::open(Box::new(disk), SEGMENT_BYTES).map_err(|error| failed(error.to_string()))?;
        let mut writer = Writer { log };
        let first = Configuration::of_calls(&document.calls());
        writer.commit(writer.log.head().configuration.diff(&first))?;
        Ok(writer)
    }

    /// Commits a change of one value; returns the version that it makes.
    pub(crate) fn change(&mut self) -> Result<u64, ScaleError> {
        let next = self.log.head().number + 1;
        let edit = Edit::Set {
            key: Key::new(Kind::Plan, MARK),
            field: "rate".into(),
            value: json!(MARKED + next as f64),
        };
        self.commit(vec![edit])
    }

    /// The last committed version.
    pub(crate) fn version(&self) -> u64 {
        self.log.head().number
    }

    /// Commits edits on top of the last version; returns the version that they make.
    fn commit(&mut self, edits: Vec<Edit>) -> Result<u64, ScaleError> {
        let base = self.log.head().number;
        let change = Change {
            id: format!("scale-{base}"),
            base,
            actor: "scale".into(),
            reason: "to measure".into(),
            at: 0,
            edits,
            allow: GUARDS.iter().map(|(_, guard)| *guard).collect(),
        };
        self.log.commit(change).map_err(|error| ScaleError::Changes(error.to_string()))?;
        Ok(self.log.head().number)
    }
}
