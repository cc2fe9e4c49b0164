//! How the log of changes gets from its folder to every gateway: a node of the tree that carries it, as a state machine
//! without I/O, clock or randomness of its own. Relays and gateways are the same node; a gateway has no followers.
//!
//! Invariant: a node acts on an entry, or loads a checkpoint, only where a quorum of its upstreams
//! ([`Origin::Upstreams::quorum`]) have told it the same hash at the same version (by chain, for an entry; with the same
//! digest, for a checkpoint). The chain alone proves nothing of an entry that is new: whoever knows the newest hash can chain
//! a forged change to it. So up to `quorum - 1` relays that lie, wherever they stand, can delay and do no more: the first
//! honest node to act on what no writer wrote would have needed an honest one that did so before it. docs/relays.md has the
//! whole argument, the times and the bounds.
//!
//! `relay_node` takes events and returns actions; `upstreams` is its side as a follower, `downstreams` as an upstream, and
//! `log_suffix` holds what both share.

mod config;
mod downstreams;
mod events;
mod jitter;
mod log_suffix;
mod progress;
mod relay_node;
mod upstreams;

use std::time::Duration;

pub use config::{Config, ConfigError, Origin, Upstream};
pub use events::{Action, DisconnectReason, Entry, Event, RelayEvent, RelayStatus};
pub use relay_node::RelayNode;

/// The owner sends [`Event::Tick`] this often; all times below are rounded up to it.
pub const TICK: Duration = Duration::from_millis(250);
/// An upstream announces its head at each change, and sends something at least this often.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// An upstream from which nothing was received for so long, three heartbeats, is disconnected.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A replication source that has not sent what others have, for so long, is replaced.
pub const MAX_LAG: Duration = Duration::from_secs(3);
/// A connection that is not made in so long has failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A follower from which nothing was received for so long is gone, and counts in no sum any more.
pub const LEASE: Duration = Duration::from_secs(10);
/// The backoff after the first failure of an upstream. It doubles up to [`MAX_BACKOFF`]; each wait is drawn between half of
/// it and all of it.
pub const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// The longest backoff.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// How long an upstream is avoided that told another history, violated the protocol or is in a loop.
pub const AVOID_DURATION: Duration = Duration::from_secs(60);
/// Bytes of entries on the way to a follower, at most; one part of a change may go beyond it.
pub const WINDOW: u32 = 256 << 10;
/// Bytes given out for a follower and not sent yet, at most: the window, a checkpoint's part, and heartbeats until its lease
/// is over. A follower that passes it does not read, or requests without waiting for answers.
pub const MAX_UNSENT: usize = 1 << 20;
/// Bytes of entries that a node holds for its followers, at most, or as many as its checkpoint has where that is more: the
/// log grows by no more than that before the next checkpoint.
pub const MAX_SUFFIX_BYTES: usize = 8 << 20;
/// Entries that a node holds for its followers, at most.
pub const MAX_SUFFIX_ENTRIES: usize = 65_536;
/// Checkpoints that a node sends at once; other followers are told when to ask again.
pub const MAX_CHECKPOINT_TRANSFERS: usize = 8;

/// Bytes of the window that a frame of an entry counts as besides its part, so that no number of frames is free.
const ENTRY_FRAME_OVERHEAD: u32 = 64;
