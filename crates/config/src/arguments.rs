//! Reading the arguments of a call.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde_json::Value;

use crate::{FunctionCall, Problem};

/// Reads a call's arguments by name.
///
/// Each problem is noted and a placeholder value is returned in place of the wrong one, so that all problems of a script
/// are found at once. A `default` of `None` makes an argument required.
pub struct Arguments<'a> {
    /// The call whose arguments are read.
    pub call: &'a FunctionCall,
    problems: &'a mut Vec<Problem>,
    /// Names read so far, in order; the message for an unknown argument lists them.
    known: Vec<&'static str>,
}

impl<'a> Arguments<'a> {
    /// Begins to read a call; its problems are appended to `problems`.
    pub fn new(call: &'a FunctionCall, problems: &'a mut Vec<Problem>) -> Arguments<'a> {
        Arguments { call, problems, known: Vec::new() }
    }

    /// Notes a problem with the call.
    pub fn problem(&mut self, what: impl Display) {
        self.problems.push(self.call.problem(what));
    }

    fn get(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.call.named.get(name).filter(|value| !value.is_null())
    }

    /// Whether an argument is given, not null and of a kind; does not count as reading it.
    pub(crate) fn is_given_as(&self, name: &str, is_kind: fn(&Value) -> bool) -> bool {
        self.call.named.get(name).is_some_and(is_kind)
    }

    /// A number within a range.
    pub fn number(&mut self, name: &'static str, range: RangeInclusive<f64>, default: Option<f64>) -> f64 {
        let problem = match (self.get(name), default) {
            (Some(value), _) => match value.as_f64() {
                Some(number) if range.contains(&number) => return number,
                Some(number) => {
                    let (from, to) = (range.start(), range.end());
                    format!("{name} = {number} is out of range, {from} to {to}")
                }
                None => format!("{name} = {value} is not a number"),
            },
            (None, Some(default)) => return default,
            (None, None) => format!("{name} is missing"),
        };
        self.problem(problem);
        *range.start()
    }

    /// A number within a range, where one is given.
    pub fn optional(&mut self, name: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let is_given = self.is_given_as(name, |value| !value.is_null());
        let number = self.number(name, range, Some(0.0));
        is_given.then_some(number)
    }

    /// A whole number within a range.
    pub fn count(&mut self, name: &'static str, range: RangeInclusive<u64>, default: Option<u64>) -> u64 {
        let range = *range.start() as f64..=*range.end() as f64;
        let number = self.number(name, range, default.map(|count| count as f64));
        if number.fract() != 0.0 {
            self.problem(format!("{name} = {number} is not a whole number"));
        }
        number as u64
    }

    /// A duration in seconds, within a range.
    pub fn duration(
        &mut self,
        name: &'static str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> Duration {
        Duration::from_secs_f64(self.number(name, range, default))
    }

    /// A truth value; false where it is absent.
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

    /// A string.
    pub fn text(&mut self, name: &'static str, default: Option<&str>) -> String {
        let problem = match (self.get(name), default) {
            (Some(Value::String(text)), _) => return text.clone(),
            (Some(other), _) => format!("{name} = {other} is not a string"),
            (None, Some(default)) => return default.into(),
            (None, None) => format!("{name} is missing"),
        };
        self.problem(problem);
        String::new()
    }

    /// A string that is not empty, where one is given.
    pub(crate) fn optional_text(&mut self, name: &'static str) -> Option<String> {
        Some(self.text(name, Some(""))).filter(|text| !text.is_empty())
    }

    /// A list of strings, required and not empty; one string is a list of one.
    pub fn texts(&mut self, name: &'static str) -> Vec<String> {
        match self.get(name) {
            Some(value) => self.strings(name, value),
            None => {
                self.problem(format!("{name} is missing"));
                Vec::new()
            }
        }
    }

    /// The positional argument as a list of strings, not empty; one string is a list of one.
    pub fn first_texts(&mut self) -> Vec<String> {
        self.strings("the first argument", &self.call.first)
    }

    /// The positional argument as a string, the last of a list.
    pub fn first_text(&mut self) -> String {
        self.first_texts().pop().unwrap_or_default()
    }

    fn strings(&mut self, name: &str, value: &Value) -> Vec<String> {
        let items = match value {
            Value::Array(items) => items.as_slice(),
            single => std::slice::from_ref(single),
        };
        let texts: Option<Vec<String>> = items.iter().map(|item| item.as_str().map(String::from)).collect();
        match texts {
            Some(texts) if !texts.is_empty() => texts,
            _ => {
                self.problem(format!("{name} = {value} is not a string or a list of strings"));
                Vec::new()
            }
        }
    }

    /// Notes every argument that was given and not read. Must come after all reads.
    pub fn end(mut self) {
        let known = self.known.join(", ");
        for name in self.call.named.keys() {
            if !self.known.contains(&name.as_str()) {
                self.problem(format!("unknown argument {name}; known are {known}"));
            }
        }
    }
}
