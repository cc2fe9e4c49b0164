//! A call that a script made.

use std::collections::BTreeMap;
use std::fmt::Display;

use serde_json::Value;

use crate::Problem;

/// A call of one of the script's own functions.
#[derive(Clone, Debug)]
pub struct FunctionCall {
    /// The function's name.
    pub function: &'static str,
    /// The positional argument; null where there is none.
    pub first: Value,
    /// The named arguments.
    pub named: BTreeMap<String, Value>,
    /// The script's name; empty where no script made the call.
    pub file: String,
    /// Line of the call, from 1; 0 where it has no place.
    pub line: usize,
    /// Column of the call, from 1; 0 where it has no place.
    pub column: usize,
}

impl FunctionCall {
    /// A call that no script made. Fields that are null are left out.
    pub fn synthetic(
        function: &'static str,
        first: Value,
        fields: impl IntoIterator<Item = (&'static str, Value)>,
    ) -> FunctionCall {
        let given = fields.into_iter().filter(|(_, value)| !value.is_null());
        let named = given.map(|(name, value)| (name.to_string(), value)).collect();
        FunctionCall { function, first, named, file: String::new(), line: 0, column: 0 }
    }

    /// The call as a line of a script, without its line feed.
    pub fn as_script(&self) -> String {
        let mut arguments = Vec::new();
        if !self.first.is_null() {
            arguments.push(literal(&self.first));
        }
        arguments.extend(self.named.iter().map(|(name, value)| format!("{name} = {}", literal(value))));
        format!("{}({})", self.function, arguments.join(", "))
    }

    /// A problem with this call, at its place.
    pub fn problem(&self, what: impl Display) -> Problem {
        Problem {
            file: self.file.clone(),
            line: self.line,
            column: self.column,
            what: format!("{}: {what}", self.function),
        }
    }
}

/// A value as Starlark writes it.
fn literal(value: &Value) -> String {
    match value {
        Value::Bool(true) => "True".into(),
        Value::Bool(false) => "False".into(),
        Value::Null => "None".into(),
        Value::Array(items) => format!("[{}]", items.iter().map(literal).collect::<Vec<_>>().join(", ")),
        // A JSON string is one of Starlark's, and numbers are written alike.
        other => other.to_string(),
    }
}
