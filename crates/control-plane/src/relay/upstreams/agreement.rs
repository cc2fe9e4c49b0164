//! Decides which pending entries have a quorum, by comparing the hashes that upstreams reported with the
//! entries of the replication source.
//!
//! Hazard: the chain does not prove that a new entry is genuine, since any party that knows the newest hash
//! can chain a forged change to it. Only the quorum proves it.

use umbertray_store_protocol::changes::{Position, ToUpstream};

use super::{CONNECT_ALL_DURATION, Context, Upstreams};
use crate::relay::{AVOID_DURATION, Action, DisconnectReason, Entry, RelayEvent};

impl Upstreams {
    /// Handles an upstream's response to a hash query.
    ///
    /// # Errors
    /// [`DisconnectReason::Unrequested`] if this version was not queried, [`DisconnectReason::Fork`] if the
    /// hash contradicts the log suffix.
    pub(super) fn on_hash(
        &mut self,
        peer: usize,
        position: Position,
        context: &mut Context<'_>,
    ) -> Result<(), DisconnectReason> {
        let session = self.peers[peer].session_mut();
        let query = session
            .and_then(|session| session.queried_version.take_if(|queried| *queried == position.version));
        if query.is_none() {
            return Err(DisconnectReason::Unrequested);
        }
        self.compare_position(peer, position, context)
    }

    /// Compares a position that an upstream reported with the log suffix and with the pending entries.
    fn compare_position(
        &mut self,
        peer: usize,
        reported: Position,
        context: &mut Context<'_>,
    ) -> Result<(), DisconnectReason> {
        let Some(head) = context.suffix.head() else { return Ok(()) };
        if reported.version <= head.version {
            return if context.suffix.contradicts(reported) { Err(DisconnectReason::Fork) } else { Ok(()) };
        }
        let index = usize::try_from(reported.version - head.version - 1).unwrap_or(usize::MAX);
        let pending = self.source.as_ref().and_then(|source| source.pending_at(index));
        let Some(hash) = pending.map(|entry| entry.position.hash) else { return Ok(()) };
        let upstream = self.peers[peer].name.clone();
        let Some(session) = self.peers[peer].session_mut() else { return Ok(()) };
        if hash == reported.hash {
            session.agrees_at = session.agrees_at.max(Some(reported.version));
        } else if session.disagrees_at.is_none() {
            session.disagrees_at = Some(reported.version);
            self.connect_all_until = context.now + CONNECT_ALL_DURATION;
            context.log(RelayEvent::Disagreement { upstream, version: reported.version });
        }
        Ok(())
    }

    /// Compares the heads that all upstreams reported, and disconnects those with another history.
    pub(super) fn compare_heads(&mut self, context: &mut Context<'_>) {
        let Some(head) = context.suffix.head() else { return };
        let pending_end = self.source.as_ref().map_or(head, |source| source.end(head)).version;
        for peer in 0..self.peers.len() {
            let state = self.peers[peer].session_mut().and_then(|session| session.state.as_mut());
            let Some(state) = state else { continue };
            if state.head.version > pending_end {
                state.ahead_since.get_or_insert(context.now);
            } else {
                state.ahead_since = None;
            }
            let reported = state.head;
            let compared = self.compare_position(peer, reported, context);
            // The upstream disagreed at a version that was pending then and is committed by now.
            let disagrees_at = self.peers[peer].session().and_then(|session| session.disagrees_at);
            let disagrees_with_committed = disagrees_at.is_some_and(|version| version <= head.version);
            if compared.is_err() || disagrees_with_committed {
                self.disconnect(peer, DisconnectReason::Fork, context);
            }
        }
    }

    /// Queries the upstreams that are ahead of the pending entries for their hash at the last of these. While
    /// a node catches up, the heads that upstreams announce are beyond its pending entries and cannot be
    /// compared with them.
    pub(super) fn query_hashes(&mut self, context: &mut Context<'_>) {
        let (Some(source), Some(head)) = (&self.source, context.suffix.head()) else { return };
        let source_peer = source.peer;
        let end = source.end(head).version;
        if end == head.version {
            return;
        }
        for (index, peer) in self.peers.iter_mut().enumerate() {
            let Some(session) = peer.session_mut().filter(|session| session.hello_received) else {
                continue;
            };
            if index == source_peer {
                continue;
            }
            let oldest_version = session.state.as_ref().map_or(0, |state| state.oldest_version);
            // The upstream no longer holds the queried version, and will not answer the query.
            session.queried_version.take_if(|queried| *queried < oldest_version);
            let holds_end = session
                .state
                .as_ref()
                .is_some_and(|state| state.head.version > end && state.oldest_version <= end);
            let is_undecided = session.disagrees_at.is_none() && session.agrees_at < Some(end);
            if holds_end && is_undecided && session.queried_version.is_none() {
                session.queried_version = Some(end);
                context.send(session.connection, ToUpstream::QueryHash { version: end });
            }
        }
    }

    /// The newest pending version on which a quorum agrees, if any.
    fn quorum_version(&self, head: Position) -> Option<u64> {
        let source = self.source.as_ref()?;
        let mut agreed: Vec<u64> = Vec::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let Some(session) = peer.session() else { continue };
            // Invariant: the replication source counts as one member of the quorum, however many frames it
            // sent.
            if index == source.peer {
                agreed.push(source.end(head).version);
            } else {
                agreed.extend(session.agrees_at);
            }
        }
        agreed.sort_unstable_by(|one, other| other.cmp(one));
        agreed.get(self.quorum - 1).copied().filter(|version| *version > head.version)
    }

    /// Appends and commits the pending entries that have a quorum.
    pub(super) fn commit_agreed(&mut self, context: &mut Context<'_>) {
        let agreed = context.suffix.head().and_then(|head| self.quorum_version(head));
        let Some(agreed) = agreed else { return };
        while let Some(entry) = self.take_pending(agreed) {
            if self.contradicts_committed(entry.position) {
                return self.halt(entry.position.version, context);
            }
            context.suffix.append(entry.clone());
            context.actions.push(Action::AppendEntry(entry));
        }
        if let Some(source) = &mut self.source {
            source.restart_quorum_wait(context.now);
        }
        self.checkpoint_transfer.restart_ahead_wait(context.now);
        self.commit_head(context);
        // Heads that upstreams reported at versions that were pending until now are compared again, with the
        // history that is now committed.
        self.compare_heads(context);
    }

    fn take_pending(&mut self, up_to: u64) -> Option<Entry> {
        self.source.as_mut()?.take_pending(up_to)
    }

    /// Whether a position belongs to another history than the position that this run or an earlier one
    /// committed.
    pub(super) fn contradicts_committed(&self, at: Position) -> bool {
        self.committed.is_some_and(|committed| committed.version == at.version && committed.hash != at.hash)
    }

    /// Commits the head. Hazard: no position before the one that this run or an earlier one committed may be
    /// put in force.
    pub(super) fn commit_head(&mut self, context: &mut Context<'_>) {
        let Some(head) = context.suffix.head() else { return };
        if head.version > self.committed.map_or(0, |committed| committed.version) {
            self.committed = Some(head);
        }
        if self.committed == Some(head) {
            context.actions.push(Action::Commit(head));
        }
    }

    /// Stops replication for [`AVOID_DURATION`], because the history with a quorum is not the committed one.
    /// An operator has to decide which of the two is right.
    pub(super) fn halt(&mut self, version: u64, context: &mut Context<'_>) {
        context.log(RelayEvent::DivergentHistory { version });
        self.halted_until = context.now + AVOID_DURATION;
        context.suffix.clear();
        let source = self.source.as_ref().map(|source| source.peer);
        let download = self.checkpoint_transfer.peer();
        for peer in [source, download].into_iter().flatten() {
            self.disconnect(peer, DisconnectReason::Fork, context);
        }
    }
}
