//! A change as a transaction, and what stands in its way. No I/O, no clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::guard::{Guard, Guarded};
use crate::model::{Edit, Path};

/// The most bytes of an actor, a reason or a change's id.
pub const MAX_TEXT_BYTES: usize = 1024;
/// The most edits of one change.
pub const MAX_EDITS: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Whoever sends a change again, not knowing what became of it, sends the same id: it is done once.
    pub id: String,
    /// The version that its author saw.
    pub base: u64,
    pub actor: String,
    pub reason: String,
    /// Microseconds since 1970 by its author's clock: told to people, and never what order rests on.
    pub at: u64,
    pub edits: Vec<Edit>,
    /// What its author says may be done although it is guarded.
    pub allow: Vec<Guard>,
}

impl Change {
    pub fn at(&self) -> Duration {
        Duration::from_micros(self.at)
    }
}

/// Two changes from one base meet in a place.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    pub place: String,
    pub yours: String,
    pub theirs: String,
    pub version: u64,
    pub actor: String,
}

/// Why a change is not done. Nothing of it is.
#[derive(Debug, thiserror::Error)]
pub enum ChangeRejected {
    #[error("a change needs {0}")]
    Missing(&'static str),
    #[error("the change's base is version {base}, the newest is {head}")]
    NoSuchBase { base: u64, head: u64 },
    #[error("the id {id:?} is that of version {version}, another change")]
    IdTaken { id: String, version: u64 },
    #[error("{} of its places were changed meanwhile", .0.len())]
    Conflict(Vec<Conflict>),
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Guarded(Vec<Guarded>),
    /// What became of it is not known: send it again under the same id.
    #[error("the log cannot be written: {0}; whether the change is done is not known, send it again")]
    Disk(#[from] std::io::Error),
}

/// A change without who and why, or with more than is kept, is none.
pub fn validate(change: &Change) -> Result<(), ChangeRejected> {
    for (what, text) in [("an id", &change.id), ("an actor", &change.actor), ("a reason", &change.reason)] {
        if text.trim().is_empty() {
            return Err(ChangeRejected::Missing(what));
        }
        if text.len() > MAX_TEXT_BYTES {
            return Err(ChangeRejected::Invalid(vec![format!(
                "{what} is longer than {MAX_TEXT_BYTES} bytes"
            )]));
        }
    }
    if change.edits.len() > MAX_EDITS {
        return Err(ChangeRejected::Invalid(vec![format!("more than {MAX_EDITS} edits")]));
    }
    Ok(())
}

/// Where a change meets those done since its base. That one of them wrote the same value makes no difference: its author
/// did not know of it.
pub fn conflicts<'a>(change: &Change, since: impl Iterator<Item = (u64, &'a Change)>) -> Vec<Conflict> {
    let ours: Vec<(Path, &Edit)> = change.edits.iter().map(|edit| (edit.path(), edit)).collect();
    let mut keys = std::collections::HashMap::<_, Vec<_>>::new();
    ours.iter().for_each(|(path, edit)| keys.entry(path.key.clone()).or_default().push((path, *edit)));
    let mut met = Vec::new();
    for (version, other) in since {
        for theirs in &other.edits {
            let place = theirs.path();
            let near = keys.get(theirs.key()).into_iter().flatten();
            for (path, edit) in near.filter(|(path, _)| path.meets(&place)) {
                met.push(Conflict {
                    place: path.to_string(),
                    yours: edit.value(),
                    theirs: theirs.value(),
                    version,
                    actor: other.actor.clone(),
                });
            }
        }
    }
    met
}
