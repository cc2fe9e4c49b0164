//! Reads the arguments of a script's function call.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde_json::Value;

use crate::{FunctionCall, Problem};

/// Reads a call's arguments by name.
///
/// An invalid argument is recorded as a problem and replaced by a placeholder value, so that all problems of
/// a script are found in one run. An argument that is read with a `default` of `None` is required.
pub struct Arguments<'a> {
    /// The call whose arguments are read.
    pub call: &'a FunctionCall,
    problems: &'a mut Vec<Problem>,
    /// Names of the arguments read so far, in order. The message for an unknown argument lists them.
    names_read: Vec<&'static str>,
}

impl<'a> Arguments<'a> {
    /// Creates a reader of a call's arguments that appends the problems it finds to `problems`.
    pub fn new(call: &'a FunctionCall, problems: &'a mut Vec<Problem>) -> Arguments<'a> {
        Arguments { call, problems, names_read: Vec::new() }
    }

    /// Records a problem with the call.
    pub fn problem(&mut self, message: impl Display) {
        self.problems.push(self.call.problem(message));
    }

    fn get(&mut self, name: &'static str) -> Option<&'a Value> {
        self.names_read.push(name);
        self.call.named.get(name).filter(|value| !value.is_null())
    }

    /// Whether an argument is present and satisfies `is_kind`. The argument does not count as read.
    pub(crate) fn is_given_as(&self, name: &str, is_kind: fn(&Value) -> bool) -> bool {
        self.call.named.get(name).is_some_and(is_kind)
    }

    /// Reads a number within a range.
    pub fn number(&mut self, name: &'static str, range: RangeInclusive<f64>, default: Option<f64>) -> f64 {
        let message = match (self.get(name), default) {
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
        self.problem(message);
        *range.start()
    }

    /// Reads an optional number within a range; `None` if the argument is absent.
    pub fn optional(&mut self, name: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let is_given = self.is_given_as(name, |value| !value.is_null());
        let number = self.number(name, range, Some(0.0));
        is_given.then_some(number)
    }

    /// Reads an integer within a range.
    pub fn count(&mut self, name: &'static str, range: RangeInclusive<u64>, default: Option<u64>) -> u64 {
        let range = *range.start() as f64..=*range.end() as f64;
        let number = self.number(name, range, default.map(|count| count as f64));
        if number.fract() != 0.0 {
            self.problem(format!("{name} = {number} is not a whole number"));
        }
        number as u64
    }

    /// Reads a duration, given in seconds, within a range in seconds.
    pub fn duration(
        &mut self,
        name: &'static str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> Duration {
        Duration::from_secs_f64(self.number(name, range, default))
    }

    /// Reads a Boolean; false if the argument is absent.
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

    /// Reads a string.
    pub fn text(&mut self, name: &'static str, default: Option<&str>) -> String {
        let message = match (self.get(name), default) {
            (Some(Value::String(text)), _) => return text.clone(),
            (Some(other), _) => format!("{name} = {other} is not a string"),
            (None, Some(default)) => return default.into(),
            (None, None) => format!("{name} is missing"),
        };
        self.problem(message);
        String::new()
    }

    /// Reads an optional string; `None` if the argument is absent or the string is empty.
    pub(crate) fn optional_text(&mut self, name: &'static str) -> Option<String> {
        Some(self.text(name, Some(""))).filter(|text| !text.is_empty())
    }

    /// Reads a required, non-empty list of strings. A single string counts as a list of one.
    pub fn texts(&mut self, name: &'static str) -> Vec<String> {
        match self.get(name) {
            Some(value) => self.strings(name, value),
            None => {
                self.problem(format!("{name} is missing"));
                Vec::new()
            }
        }
    }

    /// Reads the positional argument as a non-empty list of strings. A single string counts as a list of one.
    pub fn positional_texts(&mut self) -> Vec<String> {
        self.strings("the first argument", &self.call.positional)
    }

    /// Reads the positional argument as a string; of a list, the last string.
    pub fn positional_text(&mut self) -> String {
        self.positional_texts().pop().unwrap_or_default()
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
                self.problem(format!("{name} = {value} is not a string or a non-empty list of strings"));
                Vec::new()
            }
        }
    }

    /// Records a problem for every argument that was not read. Must be called after all arguments have been
    /// read.
    pub fn reject_unread(mut self) {
        let known = self.names_read.join(", ");
        for name in self.call.named.keys() {
            if !self.names_read.contains(&name.as_str()) {
                self.problem(format!("unknown argument {name}; known are {known}"));
            }
        }
    }
}
