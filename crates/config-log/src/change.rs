//! A change as a transaction, and what it conflicts with. No I/O, no clock.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::guard::{Guard, Guarded};
use crate::model::{Edit, Key, Path};
use crate::problem::InvalidConfiguration;

/// Limit on an actor, a reason or a change's id, bytes.
pub const MAX_TEXT_BYTES: usize = 1024;
/// Limit on the edits of one change.
pub const MAX_EDITS: usize = 1 << 20;

/// A transaction on a version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key: an author who does not know what became of a change sends it again under the same id, and it is
    /// done once.
    pub id: String,
    /// The version that its author saw.
    pub base: u64,
    /// Who makes the change.
    pub actor: String,
    /// Why.
    pub reason: String,
    /// Microseconds since 1970 by its author's clock. It is shown to people; no order depends on it.
    pub at: u64,
    /// What it changes.
    pub edits: Vec<Edit>,
    /// The guards that its author overrides.
    pub allow: Vec<Guard>,
}

impl Change {
    /// Time since 1970 by its author's clock.
    pub fn at(&self) -> Duration {
        Duration::from_micros(self.at)
    }
}

/// Two changes from one base that touch the same path.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// The path, as the rejected change names it.
    pub place: String,
    /// What the rejected change makes of it.
    pub yours: String,
    /// What the committed change made of it.
    pub theirs: String,
    /// The version that the committed change made.
    pub version: u64,
    /// Who made the committed change.
    pub actor: String,
}

/// A text that every change has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeText {
    /// [`Change::id`].
    Id,
    /// [`Change::actor`].
    Actor,
    /// [`Change::reason`].
    Reason,
}

impl fmt::Display for ChangeText {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ChangeText::Id => "an id",
            ChangeText::Actor => "an actor",
            ChangeText::Reason => "a reason",
        })
    }
}

/// Why a change was rejected. Nothing of it is done, except perhaps after [`ChangeRejected::Disk`].
#[derive(Debug, thiserror::Error)]
pub enum ChangeRejected {
    /// A text is empty.
    #[error("a change needs {0}")]
    Missing(ChangeText),
    /// A text is too long.
    #[error("{0} is longer than {MAX_TEXT_BYTES} bytes")]
    TextTooLong(ChangeText),
    /// The change must be split.
    #[error("more than {MAX_EDITS} edits")]
    TooManyEdits,
    /// The base is none of this log's versions.
    #[error("the change's base is version {base}, the newest is {head}")]
    NoSuchBase {
        /// The change's base.
        base: u64,
        /// The newest version.
        head: u64,
    },
    /// Another change was committed under this id; send this one under an id of its own.
    #[error("the id {id:?} is that of version {version}, another change")]
    IdTaken {
        /// The id.
        id: String,
        /// The version that the other change made.
        version: u64,
    },
    /// Changes since the base touched the same paths; make it again from the newest version.
    #[error("{} of its places were changed meanwhile", .0.len())]
    Conflict(Vec<Conflict>),
    /// The configuration that it leads to is invalid.
    #[error("{0}")]
    Invalid(InvalidConfiguration),
    /// It does what needs an explicit word.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Guarded(Vec<Guarded>),
    /// Whether it is committed is unknown: send it again under the same id.
    #[error("the log cannot be written: {0}; whether the change is done is not known, send it again")]
    Disk(#[from] std::io::Error),
}

/// Checks the parts of a change that do not depend on the configuration.
///
/// # Errors
/// [`ChangeRejected`] where a text is missing or too long, or there are too many edits.
pub fn validate(change: &Change) -> Result<(), ChangeRejected> {
    let texts = [
        (ChangeText::Id, &change.id),
        (ChangeText::Actor, &change.actor),
        (ChangeText::Reason, &change.reason),
    ];
    for (kind, text) in texts {
        if text.trim().is_empty() {
            return Err(ChangeRejected::Missing(kind));
        }
        if text.len() > MAX_TEXT_BYTES {
            return Err(ChangeRejected::TextTooLong(kind));
        }
    }
    if change.edits.len() > MAX_EDITS {
        return Err(ChangeRejected::TooManyEdits);
    }
    Ok(())
}

/// The conflicts of a change with those committed since its base, each with the version it made.
///
/// A committed change that wrote the same value conflicts too: the author did not know of it.
pub fn conflicts<'a>(change: &Change, since_base: impl Iterator<Item = (u64, &'a Change)>) -> Vec<Conflict> {
    let mut our_edits: HashMap<&Key, Vec<(Path, &Edit)>> = HashMap::new();
    for edit in &change.edits {
        our_edits.entry(edit.key()).or_default().push((edit.path(), edit));
    }
    let mut conflicts = Vec::new();
    for (version, committed) in since_base {
        for their_edit in &committed.edits {
            let their_path = their_edit.path();
            let same_key = our_edits.get(their_edit.key()).into_iter().flatten();
            for (path, our_edit) in same_key.filter(|(path, _)| path.meets(&their_path)) {
                conflicts.push(Conflict {
                    place: path.to_string(),
                    yours: our_edit.value(),
                    theirs: their_edit.value(),
                    version,
                    actor: committed.actor.clone(),
                });
            }
        }
    }
    conflicts
}
