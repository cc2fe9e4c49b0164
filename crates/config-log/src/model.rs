//! The configuration as data: entities of named fields, and places in it.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use umbertray_config::FunctionCall;

/// What can change in service. A gateway's own addresses, identity and bounds are its script's and need a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    OpType,
    /// The rules that make requests ops of a type: a list whose order counts, so one entity.
    Requests,
    Plan,
    Volume,
    Rules,
}

const KINDS: [(&str, Kind); 5] = [
    ("op_type", Kind::OpType),
    ("requests", Kind::Requests),
    ("plan", Kind::Plan),
    ("volume", Kind::Volume),
    ("rules", Kind::Rules),
];

impl Kind {
    pub fn word(self) -> &'static str {
        KINDS.iter().find(|(_, kind)| *kind == self).map_or("", |(word, _)| word)
    }

    /// There is one of it, without a name.
    pub fn single(self) -> bool {
        matches!(self, Kind::Requests | Kind::Rules)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub kind: Kind,
    /// Empty where there is one of the kind only.
    pub name: String,
}

impl Key {
    pub fn new(kind: Kind, name: &str) -> Key {
        Key { kind, name: name.into() }
    }
}

pub type Fields = BTreeMap<String, Value>;

/// An entity, or one field of it: `plan/basic`, `plan/basic:weight`, `rules:cold_time`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path {
    pub key: Key,
    pub field: Option<String>,
}

impl Path {
    /// What one is about the other is about too.
    pub fn meets(&self, other: &Path) -> bool {
        self.key == other.key
            && match (&self.field, &other.field) {
                (Some(one), Some(other)) => one == other,
                _ => true,
            }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.key.kind.word())?;
        if !self.key.kind.single() {
            write!(f, "/{}", self.key.name)?;
        }
        self.field.iter().try_for_each(|field| write!(f, ":{field}"))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is no place: write KIND/NAME or KIND/NAME:FIELD, where KIND is op_type, plan or volume, or requests or rules without a name"
)]
pub struct InvalidPath(String);

impl FromStr for Path {
    type Err = InvalidPath;

    fn from_str(text: &str) -> Result<Path, InvalidPath> {
        let word = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
        let (rest, field) = match text.rsplit_once(':').filter(|(_, field)| word(field)) {
            Some((rest, field)) => (rest, Some(field.to_string())),
            None => (text, None),
        };
        let (kind, name) = rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
        let kind = KINDS.iter().find(|(known, _)| *known == kind).map(|(_, kind)| *kind);
        match (kind, name) {
            (Some(kind), None) if kind.single() => Ok(Path { key: Key::new(kind, ""), field }),
            (Some(kind), Some(name)) if !kind.single() && !name.is_empty() => {
                Ok(Path { key: Key::new(kind, name), field })
            }
            _ => Err(InvalidPath(text.into())),
        }
    }
}

/// A change of one place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// One field; `null` takes it back to its default, where it has one.
    Set {
        key: Key,
        field: String,
        value: Value,
    },
    /// An entity that was not there, or a whole one anew.
    Put {
        key: Key,
        fields: Fields,
    },
    Remove {
        key: Key,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?}: {why}")]
pub struct InvalidEdit {
    text: String,
    why: String,
}

impl Edit {
    /// One field set, as people write it: `KIND/NAME:FIELD=VALUE`, the value in JSON or a word.
    pub fn set(text: &str) -> Result<Edit, InvalidEdit> {
        let bad = |why: String| InvalidEdit { text: text.into(), why };
        let (place, value) = text.split_once('=').ok_or_else(|| bad("no = in it".into()))?;
        let place: Path = place.parse().map_err(|error: InvalidPath| bad(error.to_string()))?;
        let field = place.field.ok_or_else(|| bad("it names no field".into()))?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
        Ok(Edit::Set { key: place.key, field, value })
    }

    pub fn key(&self) -> &Key {
        match self {
            Edit::Set { key, .. } | Edit::Put { key, .. } | Edit::Remove { key } => key,
        }
    }

    pub fn path(&self) -> Path {
        let field = if let Edit::Set { field, .. } = self { Some(field.clone()) } else { None };
        Path { key: self.key().clone(), field }
    }

    /// What it makes of its place, for people to read.
    pub fn value(&self) -> String {
        match self {
            Edit::Set { value, .. } => value.to_string(),
            Edit::Put { fields, .. } => serde_json::to_string(fields).unwrap_or_default(),
            Edit::Remove { .. } => "removed".into(),
        }
    }
}

/// Entities by key, every default filled in. Copies share what they have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub entities: OrdMap<Key, Arc<Fields>>,
}

impl Configuration {
    /// Of a script's calls; those that are a gateway's own are left out.
    pub fn of_calls(calls: &[FunctionCall]) -> Configuration {
        let mut entities = OrdMap::new();
        let mut requests = Vec::new();
        for call in calls {
            let kind = match call.function {
                "op_type" => Kind::OpType,
                "plan" => Kind::Plan,
                "volume" => Kind::Volume,
                "rules" => Kind::Rules,
                "request" => {
                    let mut rule = serde_json::Map::from_iter(call.named.clone());
                    rule.insert("kinds".into(), call.first.clone());
                    requests.push(Value::Object(rule));
                    continue;
                }
                _ => continue,
            };
            let key = Key::new(kind, call.first.as_str().unwrap_or_default());
            entities.insert(key, Arc::new(call.named.clone()));
        }
        let rules = Fields::from([("rules".to_string(), Value::Array(requests))]);
        entities.insert(Key::new(Kind::Requests, ""), Arc::new(rules));
        Configuration { entities }
    }

    /// The script's calls that would say the same.
    pub fn calls(&self) -> Vec<FunctionCall> {
        self.entities.iter().flat_map(|(key, fields)| calls(key, fields)).collect()
    }

    pub fn field(&self, path: &Path) -> Option<Value> {
        let fields = self.entities.get(&path.key)?;
        match &path.field {
            Some(field) => fields.get(field).cloned(),
            None => serde_json::to_value(&**fields).ok(),
        }
    }

    /// The edits that make `to` of this, the fewest fields that differ.
    pub fn diff(&self, to: &Configuration) -> Vec<Edit> {
        use imbl::ordmap::DiffItem;
        let mut edits = Vec::new();
        for item in self.entities.diff(&to.entities) {
            match item {
                DiffItem::Add(key, fields) => {
                    edits.push(Edit::Put { key: key.clone(), fields: (**fields).clone() });
                }
                DiffItem::Remove(key, _) => edits.push(Edit::Remove { key: key.clone() }),
                DiffItem::Update { old: (key, old), new: (_, new) } => {
                    let set = |field: &String, value: Value| Edit::Set {
                        key: key.clone(),
                        field: field.clone(),
                        value,
                    };
                    let gone = old.keys().filter(|field| !new.contains_key(*field));
                    edits.extend(gone.map(|field| set(field, Value::Null)));
                    let other = new.iter().filter(|(field, value)| old.get(*field) != Some(value));
                    edits.extend(other.map(|(field, value)| set(field, value.clone())));
                }
            }
        }
        edits
    }

    /// The bytes that stand for it, the same wherever it is the same: a line of JSON an entity, in order.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = Vec::new();
        for entity in &self.entities {
            // Strings and numbers cannot fail to be written to memory.
            _ = serde_json::to_writer(&mut out, &entity);
            out.push(b'\n');
        }
        out
    }

    pub fn of_bytes(bytes: &[u8]) -> Option<Configuration> {
        let lines = bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        let entities: Option<Vec<(Key, Fields)>> =
            lines.map(|line| serde_json::from_slice(line).ok()).collect();
        let entities = entities?.into_iter().map(|(key, fields)| (key, Arc::new(fields)));
        Some(Configuration { entities: entities.collect() })
    }
}

/// The calls that say what an entity is.
pub fn calls(key: &Key, fields: &Fields) -> Vec<FunctionCall> {
    let call = |function, first: Value, named: Fields| FunctionCall {
        named,
        ..FunctionCall::from_script(function, first, [])
    };
    match key.kind {
        Kind::Requests => {
            let rules = fields.get("rules").and_then(Value::as_array).cloned().unwrap_or_default();
            let rules = rules.into_iter().filter_map(|rule| match rule {
                Value::Object(mut rule) => Some((rule.remove("kinds").unwrap_or_default(), rule)),
                _ => None,
            });
            rules.map(|(kinds, rule)| call("request", kinds, rule.into_iter().collect())).collect()
        }
        Kind::Rules => vec![call("rules", Value::Null, fields.clone())],
        kind => vec![call(kind.word(), key.name.clone().into(), fields.clone())],
    }
}
