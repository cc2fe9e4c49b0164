//! The relay node, a state machine that handles events and returns actions.

use std::time::Duration;

use bytes::Bytes;
use umbertray_store_protocol::changes::{
    Checkpoint, MAX_CHECKPOINT, Position, ProgressSummary, Role, VersionCount, digest,
};

use super::downstreams::{self, Downstreams};
use super::jitter::Jitter;
use super::log_suffix::{LogSuffix, Retention};
use super::upstreams::{self, Identity, Upstreams};
use super::{Action, Config, ConfigError, Entry, Event, Origin, RelayEvent, RelayStatus};

/// Names of the two jitter streams. They are hash inputs: a different name would change every delay drawn
/// with a seed.
const UPSTREAM_STREAM: &str = "above";
const DOWNSTREAM_STREAM: &str = "below";

/// A relay or gateway. Each node follows its upstreams; a relay is also an upstream of its followers.
pub struct RelayNode {
    config: Config,
    suffix: LogSuffix,
    /// `None` if the node reads the folder.
    upstreams: Option<Upstreams>,
    downstreams: Downstreams,
    /// The position that an earlier run had committed; a folder with another history at that version is not
    /// served.
    committed: Option<Position>,
    applied_version: u64,
    is_suffix_outgrown: bool,
}

/// The part of the log that followers can be sent. They are notified of each change of it.
#[derive(PartialEq)]
struct ServedLog {
    head: Option<Position>,
    oldest_version: u64,
    checkpoint: Option<Checkpoint>,
}

impl RelayNode {
    /// Creates a node that holds no part of the log yet. `committed` is the position that an earlier run had
    /// committed: the node commits no position before it, and none of another history.
    ///
    /// # Errors
    /// [`ConfigError`] if a name is empty or too long, an upstream is named twice or is the node itself, or
    /// the quorum cannot be reached.
    pub fn new(config: Config, committed: Option<Position>) -> Result<RelayNode, ConfigError> {
        config.check()?;
        let jitter = |stream: &str| Jitter::new(config.seed, &format!("{}/{stream}", config.name));
        let upstreams = match &config.origin {
            Origin::Folder => None,
            Origin::Upstreams { upstreams, quorum } => {
                let identity =
                    Identity { name: config.name.clone(), zone: config.zone.clone(), role: config.role };
                Some(Upstreams::new(identity, upstreams, *quorum, jitter(UPSTREAM_STREAM), committed))
            }
        };
        let downstreams =
            Downstreams::new(config.name.clone(), config.max_followers, jitter(DOWNSTREAM_STREAM));
        let retention = match config.role {
            Role::Relay => Retention::Bodies,
            Role::Gateway => Retention::Hashes,
        };
        Ok(RelayNode {
            config,
            suffix: LogSuffix::new(retention),
            upstreams,
            downstreams,
            committed,
            applied_version: 0,
            is_suffix_outgrown: false,
        })
    }

    /// Creates a gateway whose owner has saved the state at the position `committed`. The gateway continues
    /// from there, and requests only the entries after it. A relay starts as with [`RelayNode::new`].
    ///
    /// # Errors
    /// As [`RelayNode::new`].
    pub fn resume(config: Config, committed: Position) -> Result<RelayNode, ConfigError> {
        let mut node = RelayNode::new(config, Some(committed))?;
        if node.config.role == Role::Gateway {
            node.suffix.resume_from(committed);
            node.applied_version = committed.version;
        }
        Ok(node)
    }

    /// Handles an event, and returns the actions to perform in this order. `now` is the time since any fixed
    /// point, and never decreases.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let served_before = self.served_log();
        self.on_event(now, event, &mut actions);
        self.log_outgrown_suffix(&mut actions);
        let path = self.path();
        let is_changed = self.served_log() != served_before;
        let mut context = downstreams::Context { now, suffix: &self.suffix, actions: &mut actions };
        self.downstreams.set_path(path, &mut context);
        if is_changed {
            self.downstreams.on_log_advanced(&mut context);
        }
        actions
    }

    fn served_log(&self) -> ServedLog {
        ServedLog {
            head: self.suffix.head(),
            oldest_version: self.suffix.oldest_version(),
            checkpoint: self.suffix.checkpoint(),
        }
    }

    fn path(&self) -> Vec<String> {
        let mut path = self.upstreams.as_ref().map_or(&[][..], Upstreams::path).to_vec();
        path.push(self.config.name.clone());
        path
    }

    fn on_event(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::FolderCheckpoint { position, bytes } => {
                self.on_folder_checkpoint(position, bytes, actions);
            }
            Event::FolderEntries(entries) => self.on_folder_entries(entries, actions),
            Event::FollowerConnected(connection) => {
                self.with_downstreams(now, actions, |downstreams, context| {
                    downstreams.on_connected(connection, context);
                });
            }
            Event::FollowerDisconnected(connection) => self.downstreams.on_disconnected(connection),
            Event::FromFollower { connection, frame } => {
                self.with_downstreams(now, actions, |downstreams, context| {
                    downstreams.on_frame(connection, frame, context);
                });
            }
            Event::Malformed(connection) => {
                self.with_downstreams(now, actions, |downstreams, context| {
                    downstreams.on_malformed(connection, context);
                });
                self.with_upstreams(now, actions, |upstreams, context| {
                    upstreams.on_malformed(connection, context);
                });
            }
            Event::Applied(version) => self.applied_version = self.applied_version.max(version),
            Event::Tick => self.on_tick(now, actions),
            Event::Connected(connection) => {
                self.with_upstreams(now, actions, |upstreams, context| {
                    upstreams.on_connected(connection, context);
                });
            }
            Event::Disconnected(connection) => {
                self.with_upstreams(now, actions, |upstreams, context| {
                    upstreams.on_disconnected(connection, context);
                });
            }
            Event::FromUpstream { connection, frame } => {
                self.with_upstreams(now, actions, |upstreams, context| {
                    upstreams.on_frame(connection, frame, context);
                });
            }
        }
    }

    fn with_upstreams(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
        act: impl FnOnce(&mut Upstreams, &mut upstreams::Context<'_>),
    ) {
        if let Some(upstreams) = &mut self.upstreams {
            act(upstreams, &mut upstreams::Context { now, suffix: &mut self.suffix, actions });
        }
    }

    fn with_downstreams(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
        act: impl FnOnce(&mut Downstreams, &mut downstreams::Context<'_>),
    ) {
        act(&mut self.downstreams, &mut downstreams::Context { now, suffix: &self.suffix, actions });
    }

    fn on_tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.with_downstreams(now, actions, |downstreams, context| downstreams.on_timer(context));
        let progress = self.progress(now);
        self.with_upstreams(now, actions, |upstreams, context| upstreams.on_timer(&progress, context));
    }

    fn progress(&self, now: Duration) -> ProgressSummary {
        match self.config.role {
            Role::Gateway => ProgressSummary {
                version_counts: vec![VersionCount { version: self.applied_version, members: 1 }],
                lagging: Vec::new(),
            },
            Role::Relay => self.downstreams.progress(now, self.suffix.head().unwrap_or_default().version),
        }
    }

    fn on_folder_checkpoint(&mut self, position: Position, bytes: Bytes, actions: &mut Vec<Action>) {
        let rejected = Action::Log(RelayEvent::FolderRejected { version: position.version });
        let length = u32::try_from(bytes.len()).ok().filter(|length| *length <= MAX_CHECKPOINT);
        let Some(length) = length.filter(|_| !self.contradicts_committed(position)) else {
            return actions.push(rejected);
        };
        let checkpoint = Checkpoint { position, digest: digest(&bytes), length };
        match (self.suffix.head(), self.suffix.hash_at(position.version)) {
            // The log's segments between the head and the checkpoint were deleted before the owner had read
            // them.
            (Some(head), _) if position.version > head.version => self.suffix.reset(checkpoint, bytes),
            (None, _) => self.suffix.reset(checkpoint, bytes),
            (Some(_), Some(hash)) if hash == position.hash => {
                self.suffix.replace_checkpoint(checkpoint, bytes);
            }
            _ => actions.push(rejected),
        }
    }

    fn on_folder_entries(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        for entry in entries {
            let head = self.suffix.head();
            let is_chained = head.is_some_and(|head| head.after_change(&entry.body) == entry.position);
            if !is_chained || self.contradicts_committed(entry.position) {
                return actions
                    .push(Action::Log(RelayEvent::FolderRejected { version: entry.position.version }));
            }
            self.suffix.append(entry);
        }
    }

    fn contradicts_committed(&self, position: Position) -> bool {
        self.committed
            .is_some_and(|committed| committed.version == position.version && committed.hash != position.hash)
    }

    /// Logs, once for each checkpoint that the log suffix has outgrown, that new followers have to wait for
    /// the next checkpoint.
    fn log_outgrown_suffix(&mut self, actions: &mut Vec<Action>) {
        let is_outgrown = self.suffix.has_outgrown_checkpoint();
        if is_outgrown && !self.is_suffix_outgrown {
            let version = self.suffix.oldest_version();
            actions.push(Action::Log(RelayEvent::SuffixOutgrown { version }));
        }
        self.is_suffix_outgrown = is_outgrown;
    }

    /// The configuration that the node was created with.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The state of the node, for operators.
    pub fn status(&self, now: Duration) -> RelayStatus {
        let upstreams = self.upstreams.as_ref();
        let connected = upstreams.into_iter().flat_map(Upstreams::connected_names);
        RelayStatus {
            head: self.suffix.head().unwrap_or_default(),
            checkpoint: self.suffix.checkpoint().map(|checkpoint| checkpoint.position.version),
            oldest_version: self.suffix.oldest_version(),
            path: self.downstreams.path().to_vec(),
            source: upstreams.and_then(Upstreams::source_name).map(str::to_string),
            connected: connected.map(str::to_string).collect(),
            followers: self.downstreams.count(),
            held_entries: self.suffix.entry_count(),
            held_bytes: self.suffix.held_bytes(),
            unconfirmed_bytes: upstreams.map_or(0, Upstreams::unconfirmed_bytes),
            checkpoint_transfers: self.downstreams.checkpoint_transfers(),
            progress: self.progress(now),
        }
    }
}
