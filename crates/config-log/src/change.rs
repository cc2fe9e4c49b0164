//! A change as a transaction, and the detection of conflicts. Free of I/O and of clocks.

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
    /// Idempotency key. An author who does not know whether a change was committed sends it again under the
    /// same id; it is committed only once.
    pub id: String,
    /// The version that the change is based on.
    pub base: u64,
    /// The author of the change.
    pub actor: String,
    /// Why the change is made.
    pub reason: String,
    /// Microseconds since 1970 by the author's clock. For display only; the order of changes does not depend
    /// on it.
    pub at: u64,
    /// The edits of the configuration.
    pub edits: Vec<Edit>,
    /// The guards that the author overrides.
    pub allow: Vec<Guard>,
}

impl Change {
    /// Time since 1970 by the author's clock.
    pub fn at(&self) -> Duration {
        Duration::from_micros(self.at)
    }
}

/// A committed edit and an edit of a rejected change that touch the same path. The change was committed after
/// the base of the rejected one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// The path of the rejected change's edit.
    #[serde(rename = "place")]
    pub path: String,
    /// The value that the rejected change sets.
    pub yours: String,
    /// The value that the committed change set.
    pub theirs: String,
    /// The version that the committed change created.
    pub version: u64,
    /// The author of the committed change.
    pub actor: String,
}

/// A text that every change must have.
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

/// Why a change was rejected. No part of it was committed, except possibly after [`ChangeRejected::Disk`].
#[derive(Debug, thiserror::Error)]
pub enum ChangeRejected {
    /// A text is empty.
    #[error("a change needs {0}")]
    Missing(ChangeText),
    /// A text is too long.
    #[error("{0} is longer than {MAX_TEXT_BYTES} bytes")]
    TextTooLong(ChangeText),
    /// The change has too many edits and must be split.
    #[error("more than {MAX_EDITS} edits")]
    TooManyEdits,
    /// The log has no version with the number of the base.
    #[error("the change's base is version {base}, the newest is {head}")]
    NoSuchBase {
        /// The change's base.
        base: u64,
        /// The newest version.
        head: u64,
    },
    /// A different change was committed under this id. Send this one under a new id.
    #[error("the id {id:?} was already used by another change, version {version}")]
    IdTaken {
        /// The id.
        id: String,
        /// The version that the other change created.
        version: u64,
    },
    /// Changes committed since the base touch the same paths. Make the change again from the newest version.
    #[error("{} conflicts with changes committed since its base version", .0.len())]
    Conflict(Vec<Conflict>),
    /// The resulting configuration is invalid.
    #[error("{0}")]
    Invalid(InvalidConfiguration),
    /// The change has effects that its author must explicitly allow.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Guarded(Vec<Guarded>),
    /// It is unknown whether the change is committed. Send it again under the same id.
    #[error("the log cannot be written: {0}; it is unknown whether the change is committed, send it again")]
    Disk(#[from] std::io::Error),
}

/// Checks the parts of a change that do not depend on the configuration.
///
/// # Errors
/// [`ChangeRejected`] if a text is missing or too long, or there are too many edits.
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

/// The conflicts of a change with the changes committed since its base. `since_base` yields each of them with
/// the version that it created.
///
/// A committed change that set the same value also counts as a conflict, because the author did not know of
/// it.
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
            for (path, our_edit) in same_key.filter(|(path, _)| path.overlaps(&their_path)) {
                conflicts.push(Conflict {
                    path: path.to_string(),
                    yours: our_edit.display_value(),
                    theirs: their_edit.display_value(),
                    version,
                    actor: committed.actor.clone(),
                });
            }
        }
    }
    conflicts
}
