//! The change log between a follower (a relay or a gateway) and an upstream relay. docs/relays.md says which
//! received data a follower accepts, and why; docs/store-protocol.md describes the frames.
//!
//! The follower connects and sends the first frame. It requests entries from one upstream and receives the
//! newest version from several, so that it does not have to trust a single one. Every field has a bound; a
//! frame that exceeds one closes the connection.

mod codec;
mod from_upstream;
mod to_upstream;

use std::time::Duration;

use sha2::{Digest, Sha256};

pub use from_upstream::{FromUpstream, RejectionReason};
pub use to_upstream::ToUpstream;

/// A SHA-256 hash.
pub type Hash = [u8; 32];

/// Maximum number of bytes of a change or a checkpoint in one frame.
pub const MAX_PART: usize = 64 << 10;
/// Maximum size of a change, bytes. A longer change is not sent as an entry; followers receive it as part of
/// the next checkpoint.
pub const MAX_BODY: u32 = 32 << 20;
/// Maximum size of a checkpoint, bytes: the maximum size of a record in the log's files.
pub const MAX_CHECKPOINT: u32 = 64 << 20;
/// Maximum length of a frame, bytes: a part, or a progress summary with all its names.
pub const MAX_CHANGE_FRAME: u32 = MAX_PART as u32 + (8 << 10);
/// Maximum length of a name or a zone, bytes.
pub const MAX_NAME: usize = 128;
/// Maximum number of relays between the log's folder and a follower.
pub const MAX_PATH: usize = 16;
/// Maximum number of versions that a progress summary counts separately.
pub const MAX_VERSION_COUNTS: usize = 16;
/// Maximum number of members that a progress summary names.
pub const MAX_LAGGING: usize = 32;
/// Maximum number of members that a progress summary counts.
pub const MAX_MEMBERS: u32 = 100_000;
/// Maximum delay in [`FromUpstream::RetryAfter`].
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The hash of a change in the log's hash chain: over the hash before it and the change's bytes.
pub fn chain_hash(before: &Hash, body: &[u8]) -> Hash {
    Sha256::new().chain_update(before).chain_update(body).finalize().into()
}

/// The SHA-256 hash of a checkpoint's bytes.
pub fn digest(checkpoint: &[u8]) -> Hash {
    Sha256::digest(checkpoint).into()
}

/// A position in the log. Its hash identifies all changes up to the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Position {
    /// Number of changes up to this position.
    pub version: u64,
    /// Hash of the chain up to this position.
    pub hash: Hash,
}

impl Position {
    /// The position before the first change.
    pub const START: Position = Position { version: 0, hash: [0; 32] };

    /// The position after one more change.
    pub fn after_change(&self, body: &[u8]) -> Position {
        Position { version: self.version.saturating_add(1), hash: chain_hash(&self.hash, body) }
    }
}

/// Description of a checkpoint, which is the encoded state after a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Checkpoint {
    /// The position of the state.
    pub position: Position,
    /// Hash of the checkpoint's bytes.
    pub digest: Hash,
    /// Size of the checkpoint, bytes.
    pub length: u32,
}

/// Kind of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// A relay: it forwards the log to other followers.
    Relay,
    /// A gateway: it applies the log.
    Gateway,
}

/// Number of members (gateways) that have a given applied version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionCount {
    /// The applied version.
    pub version: u64,
    /// Number of members that have it.
    pub members: u32,
}

/// A member that has not applied everything that its relay holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LaggingMember {
    /// The member's name.
    pub name: String,
    /// The version that it has applied.
    pub version: u64,
    /// Seconds since its applied version last advanced.
    pub lag_seconds: u32,
}

/// The versions that a gateway, or all gateways that follow a relay directly or indirectly, have applied. If
/// there are more distinct versions than a frame holds, the members of the two lowest versions are counted
/// together under the lower one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProgressSummary {
    /// Number of members by applied version, newest version first.
    pub version_counts: Vec<VersionCount>,
    /// Lagging members, oldest applied version first.
    pub lagging: Vec<LaggingMember>,
}

/// Status of a relay, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Status {
    /// The relay's name.
    pub name: String,
    /// The newest position that it has committed.
    pub head: Position,
    /// Names of the relays between the log's folder and this relay, this relay last.
    pub path: Vec<String>,
    /// Number of its followers.
    pub followers: u32,
    /// Size of the checkpoint and the entries that it holds, bytes.
    pub held_bytes: u64,
    /// The versions that the gateways below it, which follow it directly or indirectly, have applied.
    pub progress: ProgressSummary,
}
