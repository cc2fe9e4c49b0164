//! The configuration as data: entities of named fields, paths into it, and edits of it.

mod configuration;
mod edit;
mod path;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use configuration::{Configuration, calls};
pub use edit::{Edit, InvalidEdit, InvalidEditReason};
pub use path::{InvalidPath, Path};

/// A kind of entity. Entities can change while gateways run. The addresses, identity and bounds of a single
/// gateway are not entities: they are in its script, and changing them requires a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A type of operation.
    OpType,
    /// The rules that assign op types to requests. They are one entity because they form a list whose order
    /// matters.
    Requests,
    /// A plan that volumes refer to.
    Plan,
    /// A volume.
    Volume,
    /// The deployment's rules.
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
    /// The kind's name in paths.
    pub fn name(self) -> &'static str {
        KINDS.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }

    /// Whether there is exactly one entity of this kind, which has no name.
    pub fn is_singleton(self) -> bool {
        matches!(self, Kind::Requests | Kind::Rules)
    }
}

/// An entity's identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The entity's kind.
    pub kind: Kind,
    /// The entity's name; empty for a singleton.
    pub name: String,
}

impl Key {
    /// The key of a kind and name.
    pub fn new(kind: Kind, name: &str) -> Key {
        Key { kind, name: name.into() }
    }
}

/// An entity's fields by name.
pub type Fields = BTreeMap<String, Value>;
