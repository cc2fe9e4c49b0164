//! Evaluates and validates the settings scripts of gateways, coordinators and relays.
//!
//! A script is written in Starlark. It calls the functions `gateway`, `op_type`, `request`, `plan`, `volume`,
//! `rules` and `bounds`, and may compute their arguments with the language's loops and functions.
//! [`evaluate`] runs a script with limits on steps and memory and records its calls ([`FunctionCall`]).
//! [`parse`] reads the [`Arguments`] of the calls and reports every problem with its line and column.
//! [`canonical`] converts validated settings back into calls. docs/settings.md documents the settings for
//! operators.

mod arguments;
pub mod canonical;
mod document;
mod function_call;
pub mod parse;
mod problem;
mod script;

pub use arguments::Arguments;
pub use document::{ChangeSource, CoordinatorSettings, RelaySettings, SettingsDocument, Upstream};
pub use function_call::FunctionCall;
pub use problem::Problem;
pub use script::evaluate;

/// The functions that define a gateway's settings. All other functions that a script may call belong to the
/// scripts of coordinators, relays and fault tests.
const SETTINGS_FUNCTIONS: [&str; 7] = ["gateway", "op_type", "request", "plan", "volume", "rules", "bounds"];

/// The functions that define the settings of a single gateway. The settings of the other functions are shared
/// by all gateways of the deployment.
const LOCAL_FUNCTIONS: [&str; 2] = ["gateway", "bounds"];

/// Evaluates a gateway's script and validates its settings.
///
/// # Errors
/// All problems with the script or its settings.
pub fn read(file: &str, text: String) -> Result<SettingsDocument, Vec<Problem>> {
    parse_settings(file, &evaluate_script(file, text)?)
}

/// Evaluates a coordinator's script and validates its settings.
///
/// # Errors
/// All problems with the script or its settings.
pub fn read_coordinator(file: &str, text: String) -> Result<CoordinatorSettings, Vec<Problem>> {
    parse::coordinator(file, &evaluate_script(file, text)?)
}

/// Evaluates a relay's script and validates its settings.
///
/// # Errors
/// All problems with the script or its settings.
pub fn read_relay(file: &str, text: String) -> Result<RelaySettings, Vec<Problem>> {
    parse::relay(file, &evaluate_script(file, text)?)
}

fn evaluate_script(file: &str, text: String) -> Result<Vec<FunctionCall>, Vec<Problem>> {
    evaluate(file, text).map_err(|problem| vec![problem])
}

/// Parses the settings of a gateway's script that may call the settings functions only.
///
/// # Errors
/// All problems with the calls, or all calls of other functions.
pub fn parse_settings(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    check_functions(calls, &SETTINGS_FUNCTIONS, "does not belong in settings")?;
    document(file, calls)
}

/// Parses the script of a gateway that reads the shared settings from a change log.
///
/// The script may define only the settings of the gateway itself. The shared settings are not known yet, so
/// the returned document holds placeholders for them.
///
/// # Errors
/// All problems with the calls, or all calls that define shared settings.
pub fn parse_local_settings(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    check_functions(
        calls,
        &LOCAL_FUNCTIONS,
        "must be set in the change log, which gateway(changes = ...) refers to",
    )?;
    document(file, &[calls, &placeholder_settings()].concat())
}

/// Parses the settings among a script's calls. Calls of other functions are ignored; the caller handles them.
///
/// # Errors
/// All problems with the settings.
pub fn document(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    parse::document(file, calls)
}

/// Reports `message` for each call of a function that is not in `allowed`.
fn check_functions(calls: &[FunctionCall], allowed: &[&str], message: &str) -> Result<(), Vec<Problem>> {
    let others = calls.iter().filter(|call| !allowed.contains(&call.function));
    let problems: Vec<Problem> = others.map(|call| call.problem(message)).collect();
    if problems.is_empty() { Ok(()) } else { Err(problems) }
}

/// A minimal valid set of shared settings.
fn placeholder_settings() -> [FunctionCall; 4] {
    let kinds = ["read", "write", "zero", "trim", "flush", "status"];
    let op_type = [("target_latency", 0.001.into()), ("op_timeout", 1.into()), ("utility", 1.into())];
    let volume = [("size", 512.into()), ("plan", "plan".into())];
    [
        FunctionCall::synthetic("op_type", "op".into(), op_type),
        FunctionCall::synthetic("request", kinds.as_slice().into(), [("op_type", "op".into())]),
        FunctionCall::synthetic("plan", "plan".into(), [("rate", 1.into())]),
        FunctionCall::synthetic("volume", "volume".into(), volume),
    ]
}
