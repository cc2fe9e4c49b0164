//! The scripts with the settings of a run's gateways, relays and coordinator.

use std::net::SocketAddr;
use std::path::Path;

use crate::measurement::ZONES;
use crate::plan::Plan;

/// Settings that all gateways of a run share, without its volumes.
const SHARED_SETTINGS: &str = r#"
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

/// Settings that each gateway has in its own script.
const GATEWAY_BOUNDS: &str = r#"
bounds(sessions = 4096, bytes = 128 * MiB, bytes_a_session = 8 * MiB, request_bytes = 4 * MiB)
"#;

/// The call `gateway(...)` of a script, with `rest` as its further arguments.
fn gateway_call(listen: &str, rest: &str) -> String {
    format!("gateway(listen = [{listen:?}], extent = 256 * KiB, unit = 16 * KiB, most_units = 8, {rest})\n")
}

/// A gateway's own script. Its other settings come from the change log. `changes` is the script's expression
/// for where the gateway reads that log.
pub(crate) fn gateway_script(
    (number, seed): (u32, u64),
    list: SocketAddr,
    coordinator: SocketAddr,
    changes: &str,
    state: &Path,
) -> String {
    let rest = format!(
        "name = \"gateway-{number}\", zone = \"{}\", list = {:?}, keeper = {:?}, seed = {seed}, \
         changes = {changes}, state = {:?}",
        number % ZONES,
        list.to_string(),
        coordinator.to_string(),
        state.display().to_string()
    );
    gateway_call("127.0.0.1:0", &rest) + GATEWAY_BOUNDS
}

/// A relay's script. `changes` is the script's expression for where the relay reads the change log.
pub(crate) fn relay_script(name: &str, zone: u32, changes: &str, folder: &Path) -> String {
    let folder = folder.display().to_string();
    format!(
        "relay(listen = \"127.0.0.1:0\", name = {name:?}, zone = \"{zone}\", changes = {changes}, \
         folder = {folder:?})\n"
    )
}

/// The coordinator's script.
pub(crate) fn coordinator_script(listen: SocketAddr, list: SocketAddr, folder: &Path) -> String {
    let (listen, list, folder) = (listen.to_string(), list.to_string(), folder.display().to_string());
    format!("keeper(listen = {listen:?}, list = {list:?}, folder = {folder:?})\n")
}

/// The settings that all gateways of a plan share, as one script.
pub(crate) fn shared_settings(plan: &Plan) -> String {
    let volumes = format!(
        "for n in range({}):\n    \
         volume(\"v%d\" % n, size = 64 * MiB, plan = [\"basic\", \"priority\"][n % 2], gateways = {})\n",
        plan.volumes, plan.gateways
    );
    gateway_call("127.0.0.1:0", "list = \"127.0.0.1:1\"") + SHARED_SETTINGS + &volumes + GATEWAY_BOUNDS
}
