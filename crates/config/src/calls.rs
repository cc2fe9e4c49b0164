//! What a script called, and the reading of its arguments.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde_json::Value;

use crate::Problem;

/// A call of one of the script's own functions.
#[derive(Clone, Debug)]
pub struct FunctionCall {
    pub function: &'static str,
    /// The positional argument, where there is one.
    pub first: Value,
    pub named: BTreeMap<String, Value>,
    pub file: String,
    pub line: usize,
    pub column: usize,
}

impl FunctionCall {
    /// A call that no script made: of settings as they are known.
    pub fn from_script(
        function: &'static str,
        first: Value,
        fields: impl IntoIterator<Item = (&'static str, Value)>,
    ) -> FunctionCall {
        let named = fields.into_iter().filter(|(_, value)| !value.is_null());
        let named = named.map(|(name, value)| (name.to_string(), value)).collect();
        FunctionCall { function, first, named, file: String::new(), line: 0, column: 0 }
    }

    /// The call as a line of a script.
    pub fn as_script(&self) -> String {
        let first = (!self.first.is_null()).then(|| literal(&self.first));
        let named = self.named.iter().map(|(name, value)| format!("{name} = {}", literal(value)));
        format!("{}({})", self.function, first.into_iter().chain(named).collect::<Vec<_>>().join(", "))
    }

    pub fn problem(&self, what: String) -> Problem {
        let (file, line, column) = (self.file.clone(), self.line, self.column);
        Problem { file, line, column, what: format!("{}: {what}", self.function) }
    }
}

fn literal(value: &Value) -> String {
    match value {
        Value::Bool(true) => "True".into(),
        Value::Bool(false) => "False".into(),
        Value::Null => "None".into(),
        Value::Array(items) => format!("[{}]", items.iter().map(literal).collect::<Vec<_>>().join(", ")),
        // A JSON string is one of Starlark's; numbers are written alike.
        other => other.to_string(),
    }
}

/// Reads a call's arguments; each problem is noted and a stand-in value goes on, so that all are found at once.
pub struct Arguments<'a> {
    pub call: &'a FunctionCall,
    problems: &'a mut Vec<Problem>,
    known: Vec<&'static str>,
}

impl<'a> Arguments<'a> {
    pub fn new(call: &'a FunctionCall, problems: &'a mut Vec<Problem>) -> Arguments<'a> {
        Arguments { call, problems, known: Vec::new() }
    }

    pub fn problem(&mut self, what: String) {
        self.problems.push(self.call.problem(what));
    }

    fn get(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.call.named.get(name).filter(|value| !value.is_null())
    }

    /// A number within a range; `otherwise` where it is absent, or a problem if that is absent too.
    pub fn number(&mut self, name: &'static str, range: RangeInclusive<f64>, otherwise: Option<f64>) -> f64 {
        let value = self.get(name);
        match (value.map(|value| value.as_f64().ok_or(value)), otherwise) {
            (Some(Ok(number)), _) if range.contains(&number) => return number,
            (Some(Ok(number)), _) => {
                let (from, to) = (range.start(), range.end());
                self.problem(format!("{name} = {number} is out of range, {from} to {to}"));
            }
            (Some(Err(value)), _) => self.problem(format!("{name} = {value} is not a number")),
            (None, Some(otherwise)) => return otherwise,
            (None, None) => self.problem(format!("{name} is missing")),
        }
        *range.start()
    }

    pub fn optional(&mut self, name: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let given = self.call.named.get(name).is_some_and(|value| !value.is_null());
        let number = self.number(name, range, Some(0.0));
        given.then_some(number)
    }

    pub fn count(&mut self, name: &'static str, range: RangeInclusive<u64>, otherwise: Option<u64>) -> u64 {
        let range = *range.start() as f64..=*range.end() as f64;
        let number = self.number(name, range, otherwise.map(|count| count as f64));
        if number.fract() != 0.0 {
            self.problem(format!("{name} = {number} is not a whole number"));
        }
        number as u64
    }

    /// Seconds.
    pub fn duration(
        &mut self,
        name: &'static str,
        range: RangeInclusive<f64>,
        otherwise: Option<f64>,
    ) -> Duration {
        Duration::from_secs_f64(self.number(name, range, otherwise))
    }

    pub fn flag(&mut self, name: &'static str) -> bool {
        match self.get(name) {
            None => false,
            Some(Value::Bool(flag)) => *flag,
            Some(other) => {
                self.problem(format!("{name} = {other} is neither True nor False"));
                false
            }
        }
    }

    pub fn text(&mut self, name: &'static str, otherwise: Option<&str>) -> String {
        match (self.get(name), otherwise) {
            (Some(Value::String(text)), _) => return text.clone(),
            (Some(other), _) => self.problem(format!("{name} = {other} is not a string")),
            (None, Some(otherwise)) => return otherwise.into(),
            (None, None) => self.problem(format!("{name} is missing")),
        }
        String::new()
    }

    pub fn texts(&mut self, name: &'static str) -> Vec<String> {
        match self.get(name) {
            Some(value) => self.strings(name, value),
            None => {
                self.problem(format!("{name} is missing"));
                Vec::new()
            }
        }
    }

    /// The positional argument as a list of strings; one string is a list of one.
    pub fn first_texts(&mut self) -> Vec<String> {
        self.strings("the first argument", &self.call.first)
    }

    pub fn first_text(&mut self) -> String {
        self.first_texts().pop().unwrap_or_default()
    }

    fn strings(&mut self, name: &str, value: &Value) -> Vec<String> {
        let items =
            if let Value::Array(items) = value { items.as_slice() } else { std::slice::from_ref(value) };
        let texts: Option<Vec<String>> = items.iter().map(|item| item.as_str().map(String::from)).collect();
        texts.filter(|texts| !texts.is_empty()).unwrap_or_else(|| {
            self.problem(format!("{name} = {value} is not a string or a list of strings"));
            Vec::new()
        })
    }

    /// Names what the call was given and none of the reads asked for.
    pub fn end(mut self) {
        let unknown: Vec<&String> =
            self.call.named.keys().filter(|name| !self.known.contains(&name.as_str())).collect();
        for name in unknown {
            let known = self.known.join(", ");
            self.problem(format!("unknown argument {name}; known are {known}"));
        }
    }
}
