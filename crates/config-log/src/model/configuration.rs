//! The complete configuration: its conversion from and to script calls and bytes, and the difference of two
//! configurations.

use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use serde_json::Value;
use umbertray_config::FunctionCall;

use super::{Edit, Fields, Key, Kind, Path};

/// The complete configuration. Clones share unchanged entities.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Entities by key, in order. In a validated configuration every default is stated explicitly.
    pub entities: OrdMap<Key, Arc<Fields>>,
}

impl Configuration {
    /// The configuration that a script's calls define. Calls that define settings of a single gateway are
    /// ignored.
    pub fn from_calls(calls: &[FunctionCall]) -> Configuration {
        let mut entities = OrdMap::new();
        let mut request_rules = Vec::new();
        for call in calls {
            let kind = match call.function {
                "op_type" => Kind::OpType,
                "plan" => Kind::Plan,
                "volume" => Kind::Volume,
                "rules" => Kind::Rules,
                "request" => {
                    request_rules.push(request_rule(call));
                    continue;
                }
                _ => continue,
            };
            let key = Key::new(kind, call.positional.as_str().unwrap_or_default());
            entities.insert(key, Arc::new(call.named.clone()));
        }
        let requests = Fields::from([(RULES_FIELD.to_string(), Value::Array(request_rules))]);
        entities.insert(Key::new(Kind::Requests, ""), Arc::new(requests));
        Configuration { entities }
    }

    /// The script calls that define this configuration.
    pub fn calls(&self) -> Vec<FunctionCall> {
        self.entities.iter().flat_map(|(key, fields)| calls(key, fields)).collect()
    }

    /// The value at a path. The value of an entity is an object of its fields.
    pub fn field(&self, path: &Path) -> Option<Value> {
        let fields = self.entities.get(&path.key)?;
        match &path.field {
            Some(field) => fields.get(field).cloned(),
            None => serde_json::to_value(&**fields).ok(),
        }
    }

    /// The edits that turn this configuration into `to`. Only fields that differ are edited.
    pub fn diff(&self, to: &Configuration) -> Vec<Edit> {
        let mut edits = Vec::new();
        for item in self.entities.diff(&to.entities) {
            match item {
                DiffItem::Add(key, fields) => {
                    edits.push(Edit::Put { key: key.clone(), fields: (**fields).clone() });
                }
                DiffItem::Remove(key, _) => edits.push(Edit::Remove { key: key.clone() }),
                DiffItem::Update { old: (key, old), new: (_, new) } => {
                    edits.extend(field_edits(key, old, new));
                }
            }
        }
        edits
    }

    /// Encodes the configuration: a line of JSON for each entity, in order. Equal configurations have equal
    /// bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for entity in &self.entities {
            // Serializing strings and numbers to memory cannot fail.
            _ = serde_json::to_writer(&mut bytes, &entity);
            bytes.push(b'\n');
        }
        bytes
    }

    /// Decodes a configuration; `None` if the bytes are not one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Configuration> {
        let mut entities = OrdMap::new();
        for line in bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let (key, fields): (Key, Fields) = serde_json::from_slice(line).ok()?;
            entities.insert(key, Arc::new(fields));
        }
        Some(Configuration { entities })
    }
}

/// Edits of the fields that differ: first the removed fields, then the new and changed ones.
fn field_edits(key: &Key, old: &Fields, new: &Fields) -> Vec<Edit> {
    let set = |field: &str, value: Value| Edit::Set { key: key.clone(), field: field.into(), value };
    let removed = old.keys().filter(|field| !new.contains_key(*field)).map(|field| set(field, Value::Null));
    let changed = new.iter().filter(|(field, value)| old.get(*field) != Some(value));
    removed.chain(changed.map(|(field, value)| set(field, value.clone()))).collect()
}

/// The field of [`Kind::Requests`] that holds the list of rules.
const RULES_FIELD: &str = "rules";

/// The field of a request rule that holds a call's positional argument.
const KINDS_FIELD: &str = "kinds";

fn request_rule(call: &FunctionCall) -> Value {
    let mut rule = serde_json::Map::from_iter(call.named.clone());
    rule.insert(KINDS_FIELD.into(), call.positional.clone());
    Value::Object(rule)
}

/// The calls that define one entity: exactly one, except that [`Kind::Requests`] has a call for each rule and
/// may have none.
pub fn calls(key: &Key, fields: &Fields) -> Vec<FunctionCall> {
    match key.kind {
        Kind::Requests => request_calls(fields),
        Kind::Rules => vec![call("rules", Value::Null, fields.clone())],
        kind => vec![call(kind.name(), key.name.clone().into(), fields.clone())],
    }
}

fn call(function: &'static str, first: Value, named: Fields) -> FunctionCall {
    FunctionCall { named, ..FunctionCall::synthetic(function, first, []) }
}

/// A call for each rule of the list. Items that are not rules are ignored.
fn request_calls(fields: &Fields) -> Vec<FunctionCall> {
    let rules = fields.get(RULES_FIELD).and_then(Value::as_array).into_iter().flatten();
    let rules = rules.filter_map(Value::as_object).cloned();
    rules
        .map(|mut rule| {
            let kinds = rule.remove(KINDS_FIELD).unwrap_or_default();
            call("request", kinds, rule.into_iter().collect())
        })
        .collect()
}
