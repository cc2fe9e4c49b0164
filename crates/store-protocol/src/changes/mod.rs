//! The log of changes, between a follower (a relay or a gateway) and an upstream relay. docs/relays.md says which of it is
//! believed, and why; docs/store-protocol.md has the frames.
//!
//! The follower connects and speaks first. It asks one upstream for entries and hears of the newest version of several, so
//! that none of them alone is believed. Every field has a bound; a frame that exceeds one ends the connection.

mod codec;
mod from_upstream;
mod to_upstream;

use std::time::Duration;

use sha2::{Digest, Sha256};

pub use from_upstream::{FromUpstream, RefusalReason};
pub use to_upstream::ToUpstream;

/// A SHA-256 hash.
pub type Hash = [u8; 32];

/// Bytes of a change or a checkpoint in one frame, at most.
pub const MAX_PART: usize = 64 << 10;
/// Bytes of a change, at most. A log with a longer one is carried by its next checkpoint.
pub const MAX_BODY: u32 = 32 << 20;
/// Bytes of a checkpoint, at most: a record of the log's files is no longer.
pub const MAX_CHECKPOINT: u32 = 64 << 20;
/// Bytes of any frame, at most: a part, or a progress summary with all its names.
pub const MAX_CHANGE_FRAME: u32 = MAX_PART as u32 + (8 << 10);
/// Bytes of a name or a zone, at most.
pub const MAX_NAME: usize = 128;
/// Relays from the log's folder to a follower, at most.
pub const MAX_PATH: usize = 16;
/// Versions that a progress summary counts apart, at most.
pub const MAX_VERSION_COUNTS: usize = 16;
/// Members that a progress summary names, at most.
pub const MAX_LAGGING: usize = 32;
/// Members that a progress summary counts, at most.
pub const MAX_MEMBERS: u32 = 100_000;
/// The longest wait that is asked of a follower.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The hash of a change's bytes after the one before it: the chain of the log.
pub fn chain_hash(before: &Hash, body: &[u8]) -> Hash {
    Sha256::new().chain_update(before).chain_update(body).finalize().into()
}

/// The hash of a checkpoint's bytes.
pub fn digest(checkpoint: &[u8]) -> Hash {
    Sha256::digest(checkpoint).into()
}

/// A position in the log. Its hash identifies all changes up to the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Position {
    /// Number of changes up to here.
    pub version: u64,
    /// Hash of the chain up to here.
    pub hash: Hash,
}

impl Position {
    /// Before the first change.
    pub const START: Position = Position { version: 0, hash: [0; 32] };

    /// The position after one more change.
    pub fn after_change(&self, body: &[u8]) -> Position {
        Position { version: self.version.saturating_add(1), hash: chain_hash(&self.hash, body) }
    }
}

/// A checkpoint: the state after a version, as bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Checkpoint {
    /// The position that it is the state of.
    pub at: Position,
    /// Hash of its bytes.
    pub digest: Hash,
    /// Number of its bytes.
    pub length: u32,
}

/// What a follower is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// It relays the log to others.
    Relay,
    /// It applies the log.
    Gateway,
}

/// Number of members whose applied version is this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionCount {
    /// The version.
    pub version: u64,
    /// Number of members.
    pub members: u32,
}

/// A member that has not applied all that its relay holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LaggingMember {
    /// Its name.
    pub name: String,
    /// The version that it has applied.
    pub version: u64,
    /// Seconds since it last made progress.
    pub lag_seconds: u32,
}

/// What a follower and all below it have applied. Where there are more versions than a frame holds, the lowest two count as
/// the lower.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProgressSummary {
    /// Members by version, from the newest on.
    pub levels: Vec<VersionCount>,
    /// Members that lag, from the oldest version on.
    pub lagging: Vec<LaggingMember>,
}

/// A relay's status, for its operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// The newest position that it has committed.
    pub head: Position,
    /// Names of the relays from the log's folder on, itself last.
    pub path: Vec<String>,
    /// Number of its followers.
    pub followers: u32,
    /// Bytes of the checkpoint and the entries that it holds.
    pub held_bytes: u64,
    /// What it and all below it have applied.
    pub progress: ProgressSummary,
}
