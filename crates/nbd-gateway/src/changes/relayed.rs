//! Follows the change log through relays.

use std::path::PathBuf;
use std::time::Duration;

use umbertray_config::Upstream;
use umbertray_config_log::chain::Corruption;
use umbertray_config_log::follow::AppliedVersion;
use umbertray_config_log::{Replica, Update, applied_version};
use umbertray_relay::{ReplicationSource, follow, replica_position};
use umbertray_store_protocol::changes::Position;
use umbertray_store_protocol::volume_id;

use super::log_copy::{DurableLog, OpenedLog};
use super::log_rate_limit::LogRateLimit;
use super::log_writer::{AppliedUpdate, AppliedUpdates, LogWriter, WriterEnded};
use super::publisher::{ChangePublisher, EventLoopEnded};
use crate::error::GatewayError;

/// How long a gateway without a copy of the log waits for the relays: the longest backoff between two
/// attempts, plus the time to transfer a checkpoint.
pub const RELAY_START_TIMEOUT: Duration = Duration::from_secs(30);

/// The relays that a gateway follows, and how the gateway identifies itself to them.
pub struct RelaySource {
    /// The gateway's name, unique among all relays and gateways.
    pub name: String,
    /// The zone that the gateway runs in.
    pub zone: String,
    /// The relays.
    pub upstreams: Vec<Upstream>,
    /// Number of relays that must agree on a version.
    pub quorum: usize,
    /// Seed of the jitter of reconnects.
    pub seed: u64,
    /// How long the gateway waits for the relays if it has no copy of the log.
    pub start_timeout: Duration,
    /// The gateway's state folder, with the applied version and a copy of the log to start from when no relay
    /// can be reached.
    pub state_folder: Option<PathBuf>,
}

/// A gateway's position in the change log received from relays.
pub struct RelayedChanges {
    /// The applied state.
    pub replica: Replica,
    source: ReplicationSource,
    log: DurableLog,
}

/// The result of applying a batch of updates.
struct AppliedBatch {
    versions: Vec<AppliedVersion>,
    /// The updates that led to these versions.
    updates: Vec<AppliedUpdate>,
    /// The last update that could not be applied.
    corruption: Option<Corruption>,
}

impl RelayedChanges {
    /// Connects to the relays and returns once there is a version to start with: that of the gateway's own
    /// copy, or one that the relays agree on.
    ///
    /// # Errors
    /// The configuration is rejected, the applied version cannot be read, or no usable version was received
    /// from the relays in time.
    pub async fn start(relays: RelaySource) -> Result<RelayedChanges, GatewayError> {
        let RelaySource { name, zone, upstreams, quorum, seed, start_timeout, state_folder } = relays;
        let applied_position = state_folder
            .as_deref()
            .map(applied_version::read)
            .transpose()
            .map_err(GatewayError::AppliedVersion)?;
        let applied_position = applied_position.flatten().map(|(version, hash)| Position { version, hash });
        let OpenedLog { mut log, state } = DurableLog::open(state_folder);
        // A copy that ends before the applied version is outdated and not used.
        let state = state.filter(|state| {
            applied_position.is_none_or(|applied| {
                state.version.number > applied.version || replica_position(state) == applied
            })
        });
        let held_position = state.as_ref().map(replica_position);
        let relays = upstreams.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        let no_quorum = GatewayError::NoQuorum { quorum, relays, timeout: start_timeout };
        let seed = volume_id(&name) ^ seed;
        let mut source = follow((name, zone), (upstreams, quorum), (held_position, applied_position), seed)?;
        let replica = match state {
            Some(state) => state,
            None => {
                let min_version = applied_position.map_or(1, |applied| applied.version);
                let first_state = first_state(&mut source, &mut log, min_version);
                tokio::time::timeout(start_timeout, first_state)
                    .await
                    .unwrap_or(Ok(None))?
                    .ok_or(no_quorum)?
            }
        };
        log.record_applied(&replica);
        _ = source.applied.send(replica.version.number).await;
        Ok(RelayedChanges { replica, source, log })
    }

    /// Applies the updates received from the relays until the event loop ends. Updates are decoded on
    /// blocking threads, and written to the gateway's own copy in the background after they were applied.
    pub(super) async fn follow(self: Box<Self>, publisher: &ChangePublisher) {
        let mut log_limit = LogRateLimit::default();
        let RelayedChanges { mut replica, mut source, log } = *self;
        let writer = LogWriter::start(log, source.applied.clone());
        loop {
            // Cancel safe: updates stay in their channel.
            let batch = tokio::select! {
                batch = source.updates.recv() => batch,
                () = publisher.event_loop_ended() => return,
            };
            let Some(batch) = batch else { return };
            let applying = tokio::task::spawn_blocking(move || {
                let applied = apply(&mut replica, batch);
                (replica, applied)
            });
            let Ok((state, applied)) = applying.await else { return };
            replica = state;
            if let Some(error) = applied.corruption.filter(|_| log_limit.allow()) {
                let version = replica.version.number;
                tracing::error!(%error, version, "change log rejected");
            }
            if let Err(EventLoopEnded) = publisher.publish(applied.versions).await {
                return;
            }
            let applied = AppliedUpdates { updates: applied.updates, state: replica.clone() };
            if let Err(WriterEnded) = writer.write(applied).await {
                return;
            }
        }
    }
}

/// Applies the valid updates of a batch.
fn apply(state: &mut Replica, batch: Vec<Update>) -> AppliedBatch {
    let mut applied = AppliedBatch { versions: Vec::new(), updates: Vec::new(), corruption: None };
    for update in batch {
        let before = state.clone();
        match state.apply(&update) {
            Ok(Some(version)) => {
                applied.versions.push(version);
                applied.updates.push(AppliedUpdate { update, before });
            }
            Ok(None) => {}
            // A later update, such as a checkpoint, may still be valid.
            Err(corruption) => applied.corruption = Some(corruption),
        }
    }
    applied
}

/// Waits for the first state that is not older than `min_version`; `None` if the source has ended.
async fn first_state(
    source: &mut ReplicationSource,
    log: &mut DurableLog,
    min_version: u64,
) -> Result<Option<Replica>, GatewayError> {
    let mut state: Option<Replica> = None;
    while let Some(batch) = source.updates.recv().await {
        for update in batch {
            log.append(&update, state.as_ref());
            state = apply_first(state, &update)
                .map_err(|corruption| GatewayError::Unreadable { version: update.version(), corruption })?;
        }
        if state.as_ref().is_some_and(|state| state.version.number >= min_version) {
            return Ok(state);
        }
    }
    Ok(None)
}

/// Applies an update to the first state. Entries before the first checkpoint are ignored.
fn apply_first(state: Option<Replica>, update: &Update) -> Result<Option<Replica>, Corruption> {
    match (state, update) {
        (Some(mut state), update) => {
            state.apply(update)?;
            Ok(Some(state))
        }
        (None, Update::Checkpoint(header)) => Ok(Some(Replica::from_header(header)?)),
        (None, Update::Entry(_)) => Ok(None),
    }
}
