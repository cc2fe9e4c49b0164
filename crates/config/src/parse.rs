//! Parses and validates the calls of a script.
//!
//! Each function parses one kind of call. It records problems and continues with placeholders for invalid
//! values, so that [`document`] finds all problems of a script in one run.

mod deployment;
mod limits;
mod operations;
mod process;
mod source;

use std::collections::{HashMap, HashSet};

use imbl::Vector;
use serde_json::Value;
use umbertray_routing::settings::{Bounds, OpType, Plan, Rules, TypeRule, Volume};

use crate::{FunctionCall, Problem, SettingsDocument};

pub use deployment::{plan, volume};
pub use limits::rules;
pub(crate) use operations::kind_name;
pub use operations::{op_type, type_rule, uncovered_kinds};
pub(crate) use process::{coordinator, relay};

/// The longest duration of any setting, seconds.
const MAX_DURATION_SECONDS: f64 = 86_400.0;

/// The largest value of a numeric setting that has no specific limit.
const MAX_NUMBER: f64 = 1e12;

/// Looks up the index of an op type or plan by its name.
pub type IndexOf<'a> = &'a dyn Fn(&str) -> Option<usize>;

/// The settings from all calls other than `gateway`: those that the deployment shares, and the gateway's
/// bounds.
struct SharedSettings {
    op_types: Vec<OpType>,
    type_rules: Vec<TypeRule>,
    plans: Vector<Plan>,
    volumes: Vector<Volume>,
    rules: Rules,
    bounds: Bounds,
}

/// Parses the settings that a script's calls define.
///
/// # Errors
/// All problems with the calls.
pub fn document(file: &str, calls: &[FunctionCall]) -> Result<SettingsDocument, Vec<Problem>> {
    let mut problems = Vec::new();
    let script = Script { file, calls };
    let op_types = script.op_types(&mut problems);
    let plans = script.plans(&mut problems);
    let type_rules = script.type_rules(&op_types, &mut problems);
    let volumes = script.volumes(&plans, &mut problems);
    script.check_names(&op_types, &plans, &volumes, &mut problems);
    script.check_complete(&type_rules, &mut problems);
    let gateway_call = script.single_call("gateway", &mut problems);
    let rules_call = script.single_call("rules", &mut problems);
    let bounds_call = script.single_call("bounds", &mut problems);
    let rules = rules(&rules_call, &mut problems);
    let bounds = limits::bounds(&bounds_call, &mut problems);
    let shared = SharedSettings { op_types, type_rules, plans, volumes, rules, bounds };
    let document = process::gateway(&gateway_call, shared, &mut problems);
    if problems.is_empty() { Ok(document) } else { Err(problems) }
}

/// A script's calls, accessed by function.
struct Script<'a> {
    file: &'a str,
    calls: &'a [FunctionCall],
}

impl<'a> Script<'a> {
    fn calls_of(&self, function: &'static str) -> impl Iterator<Item = &'a FunctionCall> + use<'a> {
        self.calls.iter().filter(move |call| call.function == function)
    }

    fn op_types(&self, problems: &mut Vec<Problem>) -> Vec<OpType> {
        self.calls_of("op_type").map(|call| op_type(call, problems)).collect()
    }

    fn plans(&self, problems: &mut Vec<Problem>) -> Vector<Plan> {
        self.calls_of("plan").map(|call| plan(call, problems)).collect()
    }

    fn type_rules(&self, op_types: &[OpType], problems: &mut Vec<Problem>) -> Vec<TypeRule> {
        let index_of = |name: &str| op_types.iter().position(|op_type| op_type.name == name);
        self.calls_of("request").map(|call| type_rule(call, &index_of, problems)).collect()
    }

    fn volumes(&self, plans: &Vector<Plan>, problems: &mut Vec<Problem>) -> Vector<Volume> {
        let indices: HashMap<&str, usize> = plans.iter().map(|plan| plan.name.as_str()).zip(0..).collect();
        let index_of = |name: &str| indices.get(name).copied();
        self.calls_of("volume").map(|call| volume(call, &index_of, problems)).collect()
    }

    fn check_names(
        &self,
        op_types: &[OpType],
        plans: &Vector<Plan>,
        volumes: &Vector<Volume>,
        problems: &mut Vec<Problem>,
    ) {
        problems
            .extend(self.duplicate_names("op_type", op_types.iter().map(|op_type| op_type.name.as_str())));
        problems.extend(self.duplicate_names("plan", plans.iter().map(|plan| plan.name.as_str())));
        problems.extend(self.duplicate_names("volume", volumes.iter().map(|volume| volume.name.as_str())));
    }

    /// Returns a problem for each call of `function` that repeats the name of an earlier one. `names` are the
    /// names that the calls define, in the order of the calls.
    fn duplicate_names<'n>(
        &self,
        function: &'static str,
        names: impl Iterator<Item = &'n str>,
    ) -> Vec<Problem> {
        let mut seen_names = HashSet::new();
        let mut problems = Vec::new();
        for (call, name) in self.calls_of(function).zip(names) {
            if !seen_names.insert(name) {
                problems.push(call.problem(format!("the name {name:?} is taken")));
            }
        }
        problems
    }

    fn check_complete(&self, type_rules: &[TypeRule], problems: &mut Vec<Problem>) {
        for function in ["op_type", "plan", "volume"] {
            if self.calls_of(function).next().is_none() {
                problems.push(Problem::for_file(self.file, format!("the script defines no {function}")));
            }
        }
        for kind in uncovered_kinds(type_rules) {
            let message = format!("no request rule without up_to covers {kind:?}");
            problems.push(Problem::for_file(self.file, message));
        }
    }

    /// The only call of a function, or a call without arguments if the script has none. Further calls are
    /// problems.
    fn single_call(&self, function: &'static str, problems: &mut Vec<Problem>) -> FunctionCall {
        let mut calls = self.calls_of(function);
        let first = calls.next();
        problems.extend(calls.map(|call| call.problem("is called twice")));
        let absent =
            || FunctionCall { file: self.file.into(), ..FunctionCall::synthetic(function, Value::Null, []) };
        first.cloned().unwrap_or_else(absent)
    }
}
