//! Edits of the configuration.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Fields, InvalidPath, Key, Path};

/// A modification of one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Sets one field. `null` resets the field to its default if it has one.
    Set {
        /// The entity.
        key: Key,
        /// The field's name.
        field: String,
        /// The field's new value.
        value: Value,
    },
    /// Adds an entity, or replaces all fields of one.
    Put {
        /// The entity.
        key: Key,
        /// All fields of the entity. Absent fields have their defaults.
        fields: Fields,
    },
    /// Removes an entity.
    Remove {
        /// The entity.
        key: Key,
    },
}

/// A text that cannot be parsed as an edit. The format is `KIND/NAME:FIELD=VALUE`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?}: {reason}")]
pub struct InvalidEdit {
    text: String,
    reason: InvalidEditReason,
}

/// Why a text cannot be parsed as an edit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidEditReason {
    /// The text has no value.
    #[error("the = and the value are missing")]
    NoValue,
    /// The text before `=` is not a path.
    #[error(transparent)]
    Path(#[from] InvalidPath),
    /// The path refers to an entity and not to a field.
    #[error("the path names no field")]
    NoField,
}

impl Edit {
    /// Parses an edit of one field in the format `KIND/NAME:FIELD=VALUE`. A value that is not valid JSON is
    /// taken as a string.
    ///
    /// # Errors
    /// [`InvalidEdit`] with the text and the reason.
    pub fn parse_set_edit(text: &str) -> Result<Edit, InvalidEdit> {
        Edit::parse_set(text).map_err(|reason| InvalidEdit { text: text.into(), reason })
    }

    fn parse_set(text: &str) -> Result<Edit, InvalidEditReason> {
        let (path, value) = text.split_once('=').ok_or(InvalidEditReason::NoValue)?;
        let path: Path = path.parse()?;
        let field = path.field.ok_or(InvalidEditReason::NoField)?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
        Ok(Edit::Set { key: path.key, field, value })
    }

    /// The key of the edited entity.
    pub fn key(&self) -> &Key {
        match self {
            Edit::Set { key, .. } | Edit::Put { key, .. } | Edit::Remove { key } => key,
        }
    }

    /// The edited path.
    pub fn path(&self) -> Path {
        let field = match self {
            Edit::Set { field, .. } => Some(field.clone()),
            Edit::Put { .. } | Edit::Remove { .. } => None,
        };
        Path { key: self.key().clone(), field }
    }

    /// The new value at the path, for display.
    pub fn display_value(&self) -> String {
        match self {
            Edit::Set { value, .. } => value.to_string(),
            Edit::Put { fields, .. } => serde_json::to_string(fields).unwrap_or_default(),
            Edit::Remove { .. } => "removed".into(),
        }
    }
}
