//! Parses the settings of each kind of process: gateway, coordinator and relay.

use umbertray_routing::Settings;

use super::source::{Identity, address, change_source, identity};
use super::{MAX_DURATION_SECONDS, SharedSettings};
use crate::{Arguments, CoordinatorSettings, FunctionCall, Problem, RelaySettings, SettingsDocument};

/// The page size, bytes. An extent's size is a multiple of it.
const PAGE_BYTES: u32 = 4096;

/// Largest seed: numbers from a script are read as `f64`, which holds integers up to this one exactly.
const MAX_SEED: u64 = 1 << 53;

/// Parses a call of `gateway`.
pub(super) fn gateway(
    call: &FunctionCall,
    shared: SharedSettings,
    problems: &mut Vec<Problem>,
) -> SettingsDocument {
    let mut args = Arguments::new(call, problems);
    let listen_texts = args.texts("listen");
    let listen = listen_texts.iter().map(|text| address(&mut args, "listen", text)).collect();
    let list_text = args.text("list", None);
    let endpoint_list = address(&mut args, "list", &list_text);
    let coordinator_text = args.optional_text("keeper");
    let coordinator = coordinator_text.map(|text| address(&mut args, "keeper", &text));
    let state = args.optional_text("state");
    let changes = change_source(&mut args);
    let seed = args.count("seed", 0..=MAX_SEED, Some(0));
    let Identity { name, zone } = identity(&mut args, &format!("gateway-{seed}"));
    let settings = settings(&mut args, shared);
    args.reject_unread();
    SettingsDocument { listen, endpoint_list, coordinator, seed, state, changes, name, zone, settings }
}

fn settings(args: &mut Arguments, shared: SharedSettings) -> Settings {
    let extent_bytes = args.count("extent", PAGE_BYTES.into()..=32 << 20, Some(1 << 20)) as u32;
    if !extent_bytes.is_multiple_of(PAGE_BYTES) {
        args.problem(format!("extent = {extent_bytes} is not a multiple of {PAGE_BYTES}"));
    }
    let SharedSettings { op_types, type_rules, plans, volumes, rules, bounds } = shared;
    Settings {
        op_types,
        type_rules,
        plans,
        volume_indices: volumes.iter().map(|volume| volume.name.clone()).zip(0..).collect(),
        volumes,
        gateways: args.count("gateways", 1..=10_000, Some(1)) as u32,
        extent_bytes,
        unit_bytes: args.count("unit", 512..=32 << 20, Some(16 << 10)) as u32,
        max_units: args.count("most_units", 1..=1 << 16, Some(8)) as u32,
        mean_units: args.number("mean_units", 0.01..=65_536.0, Some(1.5)),
        max_attempts: args.count("max_dispatches", 1..=100, Some(3)) as u32,
        max_retry_after: args.duration("max_retry_after", 0.0..=MAX_DURATION_SECONDS, Some(1.0)),
        connect_timeout: args.duration("connect_timeout", 0.001..=MAX_DURATION_SECONDS, Some(0.25)),
        tick: args.duration("tick", 0.001..=1.0, Some(0.002)),
        rules,
        bounds,
    }
}

/// Parses a coordinator's script, which consists of one call of `keeper`.
///
/// # Errors
/// All problems with the script.
pub(crate) fn coordinator(file: &str, calls: &[FunctionCall]) -> Result<CoordinatorSettings, Vec<Problem>> {
    let call = only_call(file, calls, "keeper")?;
    let mut problems = Vec::new();
    let mut args = Arguments::new(call, &mut problems);
    let [listen, endpoint_list] = ["listen", "list"].map(|name| {
        let text = args.text(name, None);
        address(&mut args, name, &text)
    });
    let folder = args.text("folder", None);
    args.reject_unread();
    if problems.is_empty() {
        Ok(CoordinatorSettings { listen, endpoint_list, folder })
    } else {
        Err(problems)
    }
}

/// Parses a relay's script, which consists of one call of `relay`.
///
/// # Errors
/// All problems with the script.
pub(crate) fn relay(file: &str, calls: &[FunctionCall]) -> Result<RelaySettings, Vec<Problem>> {
    let call = only_call(file, calls, "relay")?;
    let mut problems = Vec::new();
    let mut args = Arguments::new(call, &mut problems);
    let listen_text = args.text("listen", None);
    let listen = address(&mut args, "listen", &listen_text);
    let Identity { name, zone } = identity(&mut args, &listen.to_string());
    let changes = change_source(&mut args);
    if changes.is_none() {
        args.problem("changes is missing: a folder, or a list of relays");
    }
    let folder = args.optional_text("folder");
    args.reject_unread();
    match changes {
        Some(changes) if problems.is_empty() => Ok(RelaySettings { listen, name, zone, changes, folder }),
        _ => Err(problems),
    }
}

/// Returns the call of `function`, which must be the only call of the script.
fn only_call<'a>(
    file: &str,
    calls: &'a [FunctionCall],
    function: &str,
) -> Result<&'a FunctionCall, Vec<Problem>> {
    let [call] = calls else {
        let message =
            format!("expected exactly one call, of {function}; the script makes {} calls", calls.len());
        return Err(vec![Problem::for_file(file, message)]);
    };
    if call.function != function {
        return Err(vec![call.problem(format!("does not belong in a {function}'s script"))]);
    }
    Ok(call)
}
