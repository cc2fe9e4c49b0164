//! Decides which checkpoint is fetched, when, and from which upstream.
//!
//! Invariant: a checkpoint is loaded only if a quorum reported the same version, hash and digest of it, and
//! its bytes have that digest.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use umbertray_store_protocol::changes::{Checkpoint, MAX_PART, Position, ToUpstream, digest};

use super::peer::Peer;
use super::{CONNECT_ALL_DURATION, Context, MAX_QUORUM_DELAY, Upstreams};
use crate::relay::log_suffix::LogSuffix;
use crate::relay::{AVOID_DURATION, Action, DisconnectReason, IDLE_TIMEOUT, MAX_LAG, RelayEvent};

/// Minimum transfer rate of a checkpoint in bytes per second. A slower upstream is disconnected and avoided.
const MIN_BYTES_PER_SECOND: u32 = 1 << 20;
/// Time that a download of any length may take in addition to its transfer time at the minimum rate.
const MIN_DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum interval between two log events that no checkpoint has a quorum.
const NO_QUORUM_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// A checkpoint that has a quorum and is ahead of the head is fetched if no entry was committed for this
/// long.
const MAX_CHECKPOINT_LAG: Duration = MAX_LAG.saturating_mul(3);

/// A checkpoint that is being received. It had a quorum when it was requested.
struct Download {
    peer: usize,
    checkpoint: Checkpoint,
    bytes: BytesMut,
    last_received_at: Duration,
    deadline: Duration,
}

impl Download {
    fn timeout_at(&self) -> Duration {
        self.deadline.min(self.last_received_at + IDLE_TIMEOUT)
    }
}

/// The state of checkpoint transfers from upstreams.
#[derive(Default)]
pub(super) struct CheckpointTransfer {
    download: Option<Download>,
    /// Since when a checkpoint with a quorum has been ahead of the head without any entry being committed.
    ahead_since: Option<Duration>,
    /// Since when a checkpoint has been needed while none has a quorum.
    no_quorum_since: Option<Duration>,
    no_quorum_logged_at: Option<Duration>,
}

impl CheckpointTransfer {
    /// The upstream that a checkpoint is being fetched from.
    pub(super) fn peer(&self) -> Option<usize> {
        self.download.as_ref().map(|download| download.peer)
    }

    /// Cancels the download if it is from this upstream, and returns whether it was.
    pub(super) fn cancel_from(&mut self, peer: usize) -> bool {
        self.download.take_if(|download| download.peer == peer).is_some()
    }

    /// Restarts the wait for entries, after some were committed.
    pub(super) fn restart_ahead_wait(&mut self, now: Duration) {
        if self.ahead_since.is_some() {
            self.ahead_since = Some(now);
        }
    }

    pub(super) fn received_bytes(&self) -> usize {
        self.download.as_ref().map_or(0, |download| download.bytes.len())
    }
}

impl Upstreams {
    /// Handles an upstream's response that it has no slot for a checkpoint transfer before `retry_at`.
    pub(super) fn on_retry_after(&mut self, peer: usize, retry_at: Duration) {
        if self.checkpoint_transfer.cancel_from(peer) {
            self.peers[peer].retry_checkpoint_at = retry_at;
        }
    }

    pub(super) fn on_checkpoint_part(
        &mut self,
        peer: usize,
        version: u64,
        offset: u32,
        part: &[u8],
        context: &mut Context<'_>,
    ) -> Result<(), DisconnectReason> {
        let download = self.checkpoint_transfer.download.as_mut().filter(|download| download.peer == peer);
        let Some(download) = download else { return Err(DisconnectReason::Unrequested) };
        let length = download.checkpoint.length as usize;
        let expected_length = length.saturating_sub(offset as usize).min(MAX_PART);
        let is_next =
            version == download.checkpoint.position.version && offset as usize == download.bytes.len();
        if !is_next || part.len() != expected_length {
            return Err(DisconnectReason::ProtocolViolation);
        }
        download.bytes.extend_from_slice(part);
        download.last_received_at = context.now;
        if download.bytes.len() < length {
            self.request_part(context);
            return Ok(());
        }
        let Some(complete) = self.checkpoint_transfer.download.take() else { return Ok(()) };
        let bytes = complete.bytes.freeze();
        if digest(&bytes) != complete.checkpoint.digest {
            return Err(DisconnectReason::BrokenChain);
        }
        self.load_checkpoint(peer, complete.checkpoint, bytes, context);
        Ok(())
    }

    fn request_part(&mut self, context: &mut Context<'_>) {
        let Some(download) = &self.checkpoint_transfer.download else { return };
        let Some(connection) = self.peers[download.peer].connection() else { return };
        let version = download.checkpoint.position.version;
        let offset = download.bytes.len() as u32;
        context.send(connection, ToUpstream::Fetch { version, offset });
    }

    /// Loads a checkpoint whose bytes match the digest that had a quorum.
    fn load_checkpoint(
        &mut self,
        peer: usize,
        checkpoint: Checkpoint,
        bytes: Bytes,
        context: &mut Context<'_>,
    ) {
        let upstream = self.peers[peer].name.clone();
        let position = checkpoint.position;
        if context.suffix.head().is_some_and(|head| head.version >= position.version) {
            return context.suffix.replace_checkpoint(checkpoint, bytes);
        }
        // The pending entries are chained to the log suffix that this checkpoint replaces.
        if let Some(source) = &self.source {
            self.disconnect(source.peer, DisconnectReason::NotNeeded, context);
        }
        context.suffix.reset(checkpoint, bytes.clone());
        context.log(RelayEvent::CheckpointLoaded { position, upstream });
        context.actions.push(Action::LoadCheckpoint { position, checkpoint: bytes });
        self.commit_head(context);
    }

    /// Cancels a download that is outdated or too slow.
    pub(super) fn expire_download(&mut self, context: &mut Context<'_>) {
        let Some(download) = &self.checkpoint_transfer.download else { return };
        let peer = download.peer;
        if self.peers[peer].checkpoint() != Some(download.checkpoint) {
            self.checkpoint_transfer.download = None;
        } else if context.now >= download.timeout_at() {
            self.peers[peer].avoid_until = context.now + AVOID_DURATION;
            self.disconnect(peer, DisconnectReason::TooSlow, context);
        }
    }

    /// The newest checkpoint that is wanted and that a quorum reported identically.
    fn quorum_checkpoint(&self, is_wanted: impl Fn(&Checkpoint) -> bool) -> Option<Checkpoint> {
        let reported = || self.peers.iter().filter_map(Peer::checkpoint);
        let has_quorum = |one: &Checkpoint| reported().filter(|other| other == one).count() >= self.quorum;
        reported().filter(|one| is_wanted(one) && has_quorum(one)).max_by_key(|one| one.position.version)
    }

    /// Whether no upstream can send the entries after the head, although at least one upstream has later
    /// entries.
    fn is_checkpoint_required(&self, head: Position) -> bool {
        let mut states = self.peers.iter().filter_map(Peer::state);
        self.source.is_none() && states.any(|state| state.oldest_version > head.version)
    }

    /// The checkpoint ahead of the head to continue from. It is returned only if no upstream can send the
    /// entries after the head (`is_needed`), or if no entry has had a quorum for [`MAX_CHECKPOINT_LAG`]. That
    /// happens if too few of the upstreams that report the checkpoint still have the entries.
    fn checkpoint_ahead(
        &mut self,
        head: Option<Position>,
        is_needed: bool,
        now: Duration,
    ) -> Option<Checkpoint> {
        let newest =
            self.quorum_checkpoint(|one| head.is_none_or(|head| one.position.version > head.version));
        let transfer = &mut self.checkpoint_transfer;
        if newest.is_none() {
            transfer.ahead_since = None;
            return None;
        }
        let ahead_since = *transfer.ahead_since.get_or_insert(now);
        newest.filter(|_| is_needed || now >= ahead_since + MAX_CHECKPOINT_LAG)
    }

    /// A newer checkpoint of the history that is held. Every relay holds the newest checkpoint, so that
    /// followers find a quorum for it.
    fn newer_checkpoint(&self, suffix: &LogSuffix) -> Option<Checkpoint> {
        let head = suffix.head()?;
        let held = suffix.checkpoint()?;
        self.quorum_checkpoint(|one| {
            let is_newer =
                one.position.version > held.position.version && one.position.version <= head.version;
            is_newer && !suffix.contradicts(one.position)
        })
    }

    /// Starts to fetch a checkpoint if one is needed, or if one newer than the checkpoint held is available.
    pub(super) fn choose_checkpoint(&mut self, context: &mut Context<'_>) {
        if self.checkpoint_transfer.download.is_some() || context.now < self.halted_until {
            return;
        }
        let head = context.suffix.head();
        let is_needed = head.is_none_or(|head| self.is_checkpoint_required(head));
        let ahead = self.checkpoint_ahead(head, is_needed, context.now);
        match ahead.or_else(|| self.newer_checkpoint(context.suffix)) {
            Some(checkpoint) => {
                self.checkpoint_transfer.no_quorum_since = None;
                self.fetch(checkpoint, context);
            }
            None if is_needed => self.on_quorum_missing(context),
            None => self.checkpoint_transfer.no_quorum_since = None,
        }
    }

    fn fetch(&mut self, checkpoint: Checkpoint, context: &mut Context<'_>) {
        if self.contradicts_committed(checkpoint.position) {
            return self.halt(checkpoint.position.version, context);
        }
        let Some(peer) = self.best_checkpoint_peer(checkpoint, context.now) else { return };
        let transfer_seconds = checkpoint.length / MIN_BYTES_PER_SECOND;
        self.checkpoint_transfer.download = Some(Download {
            peer,
            checkpoint,
            bytes: BytesMut::new(),
            last_received_at: context.now,
            deadline: context.now + MIN_DOWNLOAD_TIMEOUT + Duration::from_secs(u64::from(transfer_seconds)),
        });
        self.request_part(context);
    }

    /// The most preferred upstream that has a checkpoint. An avoided upstream is chosen only if no other has
    /// it.
    fn best_checkpoint_peer(&self, checkpoint: Checkpoint, now: Duration) -> Option<usize> {
        let can_send = |peer: &Peer| peer.retry_checkpoint_at <= now && peer.checkpoint() == Some(checkpoint);
        let preferred = self.peers.iter().position(|peer| can_send(peer) && peer.avoid_until <= now);
        preferred.or_else(|| self.peers.iter().position(can_send))
    }

    /// Handles that a checkpoint is needed and none has a quorum: after [`MAX_QUORUM_DELAY`] the node
    /// connects to all upstreams.
    fn on_quorum_missing(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let newest = self.peers.iter().filter_map(Peer::checkpoint).max_by_key(|one| one.position.version);
        let transfer = &mut self.checkpoint_transfer;
        let missing_since = *transfer.no_quorum_since.get_or_insert(now);
        if now < missing_since + MAX_QUORUM_DELAY {
            return;
        }
        self.connect_all_until = now + CONNECT_ALL_DURATION;
        let may_log = transfer.no_quorum_logged_at.is_none_or(|at| now >= at + NO_QUORUM_LOG_INTERVAL);
        if let Some(newest) = newest.filter(|_| may_log) {
            transfer.no_quorum_logged_at = Some(now);
            context.log(RelayEvent::CheckpointQuorumMissing { version: newest.position.version });
        }
    }
}
