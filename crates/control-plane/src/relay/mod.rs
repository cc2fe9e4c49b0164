//! Replication of the change log from the writer's folder to every gateway, over a tree of relays. A node
//! of the tree is a state machine without I/O, clock or unseeded randomness. Relays and gateways are nodes of
//! the same kind; a gateway has no followers.
//!
//! Invariant: a node acts on an entry, or loads a checkpoint, only if a quorum of its upstreams
//! ([`Origin::Upstreams::quorum`]) have reported the same hash at the same version (for an entry, by the hash
//! chain; for a checkpoint, together with the same digest). The chain alone does not prove that a new entry
//! is genuine, since any party that knows the newest hash can chain a forged change to it. Up to `quorum - 1`
//! lying relays, at any place in the tree, can therefore delay changes but not forge them: the first honest
//! node to act on a change that no writer wrote would have needed another honest node that did so before it.
//! docs/relays.md has the full argument, the times and the bounds.
//!
//! `relay_node` handles events and returns actions. `upstreams` is the node's side as a follower,
//! `downstreams` its side as an upstream, and `log_suffix` is the part of the log that both share.

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

/// Interval at which the owner sends [`Event::Tick`]; all times below are rounded up to it.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum interval between two frames of an upstream: it announces its head at each change, and sends at
/// least one frame in each such interval.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// An upstream from which nothing was received for this long, three heartbeats, is disconnected.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A replication source is replaced if, for this long, it has not sent entries that another upstream has.
pub const MAX_LAG: Duration = Duration::from_secs(3);
/// A connection attempt that takes longer than this has failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A follower from which nothing was received for this long is disconnected, and no longer counts in progress
/// summaries.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Backoff after the first failure of an upstream. Exponential backoff with jitter: it doubles up to
/// [`MAX_BACKOFF`], and each wait is drawn from the upper half of the backoff.
pub const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// The longest backoff.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// How long an upstream is avoided that reported another history, violated the protocol or is part of a loop.
pub const AVOID_DURATION: Duration = Duration::from_secs(60);
/// Maximum bytes of entries in flight to a follower; one part of a change may exceed it.
pub const WINDOW_BYTES: u32 = 256 << 10;
/// Maximum bytes that are queued for a follower and not sent yet: the window, one part of a checkpoint, and
/// heartbeats until its lease expires. A follower that exceeds it does not read, or sends requests without
/// waiting for the responses.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;
/// Maximum bytes of entries that a node holds for its followers; the size of its checkpoint, if that is
/// larger. The log grows by no more than that before the next checkpoint.
pub const MAX_SUFFIX_BYTES: usize = 8 << 20;
/// Maximum number of entries that a node holds for its followers.
pub const MAX_SUFFIX_ENTRIES: usize = 65_536;
/// Maximum number of checkpoints that a node sends at the same time; other followers are told when to retry.
pub const MAX_CHECKPOINT_TRANSFERS: usize = 8;

/// Bytes that each entry frame counts against the window in addition to its part, so that the number of empty
/// frames is limited too.
const ENTRY_FRAME_OVERHEAD: u32 = 64;
