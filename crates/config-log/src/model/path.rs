//! Paths into the configuration and their text form.

use std::fmt;
use std::str::FromStr;

use super::{KINDS, Key};

/// An entity, or one field of it: `plan/basic`, `plan/basic:weight`, `rules:cold_time`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path {
    /// The entity.
    pub key: Key,
    /// The field; `None` if the path refers to the entity.
    pub field: Option<String>,
}

impl Path {
    /// Whether the paths overlap: they are equal, or one is the entity that contains the field of the other.
    pub fn overlaps(&self, other: &Path) -> bool {
        self.key == other.key
            && match (&self.field, &other.field) {
                (Some(one), Some(other)) => one == other,
                _ => true,
            }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.key.kind.name())?;
        if !self.key.kind.is_singleton() {
            write!(f, "/{}", self.key.name)?;
        }
        self.field.iter().try_for_each(|field| write!(f, ":{field}"))
    }
}

/// A text that cannot be parsed as a [`Path`]. The message states the format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is not a path: write KIND/NAME or KIND/NAME:FIELD, where KIND is op_type, plan or volume, \
     or requests or rules without a name"
)]
pub struct InvalidPath(String);

impl FromStr for Path {
    type Err = InvalidPath;

    fn from_str(text: &str) -> Result<Path, InvalidPath> {
        let (entity, field) = match text.rsplit_once(':') {
            Some((entity, field)) if is_field_name(field) => (entity, Some(field.to_string())),
            _ => (text, None),
        };
        let (kind, name) = match entity.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (entity, None),
        };
        let kind = KINDS.iter().find(|(known, _)| *known == kind).map(|(_, kind)| *kind);
        match (kind, name) {
            (Some(kind), None) if kind.is_singleton() => Ok(Path { key: Key::new(kind, ""), field }),
            (Some(kind), Some(name)) if !kind.is_singleton() && !name.is_empty() => {
                Ok(Path { key: Key::new(kind, name), field })
            }
            _ => Err(InvalidPath(text.into())),
        }
    }
}

fn is_field_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
