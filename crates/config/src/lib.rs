//! The settings script and what it evaluates to.
//!
//! A script is Starlark: calls of `gateway`, `op_type`, `request`, `plan`, `volume`, `rules` and `bounds`, with the
//! language's own means to compute them. [`evaluate`] runs it within bounds and records its calls ([`FunctionCall`]);
//! [`check`] reads their [`Arguments`] and names every problem with its place; [`canonical`] turns checked settings back
//! into calls. docs/settings.md is the operators' page.

mod arguments;
pub mod canonical;
pub mod check;
mod document;
mod function_call;
mod problem;
mod script;

pub use arguments::Arguments;
pub use document::{ChangeSource, CoordinatorSettings, RelaySettings, SettingsDocument, Upstream};
pub use function_call::FunctionCall;
pub use problem::Problem;
pub use script::evaluate;

/// The functions whose calls make up settings; the others that a script may call belong to a fault test.
const SETTINGS_FUNCTIONS: [&str; 7] = ["gateway", "op_type", "request", "plan", "volume", "rules", "bounds"];

/// The functions whose calls are a gateway's own, not shared by its deployment.
const OWN_FUNCTIONS: [&str; 2] = ["gateway", "bounds"];

/// Evaluates a gateway's script and checks its settings.
///
/// # Errors
/// All problems with the script or its settings.
pub fn read(file: &str, text: String) -> Result<SettingsDocument, Vec<Problem>> {
    parse_whole(file, &evaluate_script(file, text)?)
}

/// Evaluates a coordinator's script and checks its settings.
///
/// # Errors
/// All problems with the script or its settings.
pub fn read_coordinator(file: &str, text: String) -> Result<CoordinatorSettings, Vec<Problem>> {
    check::coordinator(file, &evaluate_script(file, text)?)
}

/// Evaluates a relay's script and checks its settings.
///
/// # Errors
/// All problems with the script or its settings.
pub fn read_relay(file: &str, text: String) -> Result<RelaySettings, Vec<Problem>> {
    check::relay(file, &evaluate_script(file, text)?)
}

fn evaluate_script(file: &str, text: String) -> Result<Vec<FunctionCall>, Vec<Problem>> {
    evaluate(file, text).map_err(|problem| vec![problem])
}

/// Checks that a script's calls are settings and nothing else, and what they say.
///
/// # Errors
/// All problems with the calls.
pub fn parse_whole(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    check_functions(calls, &SETTINGS_FUNCTIONS, "does not belong in settings")?;
    document(file, calls)
}

/// Checks a gateway's own calls, where a log of changes has the shared settings, which are not known yet:
/// placeholders stand in for those.
///
/// # Errors
/// All problems with the calls, among them any that make shared settings.
pub fn own_part(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    check_functions(calls, &OWN_FUNCTIONS, "is the log's to say, since gateway(changes = ...) names one")?;
    document(file, &[calls, &placeholder_settings()].concat())
}

/// Checks the settings among a script's calls; calls of other functions are left to the caller.
///
/// # Errors
/// All problems with the settings.
pub fn document(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    check::document(file, calls)
}

fn check_functions(calls: &[FunctionCall], allowed: &[&str], what: &str) -> Result<(), Vec<Problem>> {
    let others = calls.iter().filter(|call| !allowed.contains(&call.function));
    let problems: Vec<Problem> = others.map(|call| call.problem(what)).collect();
    if problems.is_empty() { Ok(()) } else { Err(problems) }
}

/// The fewest shared settings that are valid.
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
