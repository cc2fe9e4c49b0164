//! A recorded call of a script.

use std::collections::BTreeMap;
use std::fmt::Display;

use serde_json::Value;

use crate::Problem;

/// A call of one of the functions that this package offers to scripts.
#[derive(Clone, Debug)]
pub struct FunctionCall {
    /// The function's name.
    pub function: &'static str,
    /// The positional argument; null if there is none.
    pub positional: Value,
    /// The named arguments.
    pub named: BTreeMap<String, Value>,
    /// Name of the script file; empty for a synthetic call.
    pub file: String,
    /// Line of the call, counted from 1; 0 if unknown.
    pub line: usize,
    /// Column of the call, counted from 1; 0 if unknown.
    pub column: usize,
}

impl FunctionCall {
    /// Creates a call that does not come from a script. Fields that are null are omitted.
    pub fn synthetic(
        function: &'static str,
        positional: Value,
        fields: impl IntoIterator<Item = (&'static str, Value)>,
    ) -> FunctionCall {
        let given = fields.into_iter().filter(|(_, value)| !value.is_null());
        let named = given.map(|(name, value)| (name.to_string(), value)).collect();
        FunctionCall { function, positional, named, file: String::new(), line: 0, column: 0 }
    }

    /// The call as a line of a script, without the trailing line feed.
    pub fn as_script(&self) -> String {
        let mut arguments = Vec::new();
        if !self.positional.is_null() {
            arguments.push(literal(&self.positional));
        }
        arguments.extend(self.named.iter().map(|(name, value)| format!("{name} = {}", literal(value))));
        format!("{}({})", self.function, arguments.join(", "))
    }

    /// Creates a problem with this call, at the call's line and column.
    pub fn problem(&self, message: impl Display) -> Problem {
        Problem {
            file: self.file.clone(),
            line: self.line,
            column: self.column,
            message: format!("{}: {message}", self.function),
        }
    }
}

/// A value as a Starlark literal.
fn literal(value: &Value) -> String {
    match value {
        Value::Bool(true) => "True".into(),
        Value::Bool(false) => "False".into(),
        Value::Null => "None".into(),
        Value::Array(items) => format!("[{}]", items.iter().map(literal).collect::<Vec<_>>().join(", ")),
        // JSON strings and numbers are also valid Starlark literals.
        other => other.to_string(),
    }
}
