//! Replication of entries from one upstream, the replication source, and the rules by which another one
//! replaces it.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use umbertray_store_protocol::changes::{MAX_PART, Position, ToUpstream};

use super::peer::{Peer, Session};
use super::{CONNECT_ALL_DURATION, Context, MAX_QUORUM_DELAY, Upstreams};
use crate::relay::log_suffix::ENTRY_OVERHEAD;
use crate::relay::{
    AVOID_DURATION, DisconnectReason, ENTRY_FRAME_OVERHEAD, Entry, MAX_LAG, MAX_SUFFIX_BYTES, RelayEvent,
    WINDOW_BYTES,
};

/// A preferred upstream becomes the source again once it has been connected for this long.
const PREFERRED_STABLE_AFTER: Duration = Duration::from_secs(5);
/// Minimum transfer rate of a long entry in bytes per second. A slower source is replaced.
const MIN_ENTRY_BYTES_PER_SECOND: u32 = 1 << 20;

/// A part of an entry, as received in one frame.
pub(super) struct EntryPart {
    pub(super) position: Position,
    /// Length of the complete entry in bytes.
    pub(super) length: u32,
    pub(super) offset: u32,
    pub(super) bytes: Bytes,
}

impl EntryPart {
    fn expected_length(&self) -> usize {
        (self.length as usize - self.offset as usize).min(MAX_PART)
    }
}

/// An entry whose parts are still arriving.
struct PartialEntry {
    position: Position,
    length: u32,
    body: BytesMut,
}

impl PartialEntry {
    fn continues_with(&self, part: &EntryPart) -> bool {
        self.position == part.position
            && self.length == part.length
            && self.body.len() == part.offset as usize
    }
}

/// The upstream that entries are replicated from, and its entries that have no quorum yet.
///
/// Invariant: pending entries are chained to the head of the log suffix, and to one another.
pub(super) struct ReplicationSource {
    pub(super) peer: usize,
    pending: VecDeque<Entry>,
    pending_bytes: usize,
    partial: Option<PartialEntry>,
    /// Bytes received for which no window update was sent yet.
    unacknowledged: u32,
    /// When the last entry was complete, or when the entry that is being received has to be complete.
    progress_at: Duration,
    /// Since when there are pending entries.
    pending_since: Option<Duration>,
}

impl ReplicationSource {
    fn new(peer: usize, now: Duration) -> ReplicationSource {
        ReplicationSource {
            peer,
            pending: VecDeque::new(),
            pending_bytes: 0,
            partial: None,
            unacknowledged: 0,
            progress_at: now,
            pending_since: None,
        }
    }

    /// The position of the last pending entry, or `head` if there is none.
    pub(super) fn end(&self, head: Position) -> Position {
        self.pending.back().map_or(head, |entry| entry.position)
    }

    pub(super) fn pending_at(&self, index: usize) -> Option<&Entry> {
        self.pending.get(index)
    }

    /// Removes and returns the oldest pending entry, if its version is at most `max_version`.
    pub(super) fn take_pending(&mut self, max_version: u64) -> Option<Entry> {
        let entry = self.pending.pop_front_if(|entry| entry.position.version <= max_version)?;
        self.pending_bytes -= ENTRY_OVERHEAD + entry.body.len();
        Some(entry)
    }

    /// Restarts the wait of the entries that are still pending, after a quorum has agreed on earlier ones.
    pub(super) fn restart_quorum_wait(&mut self, now: Duration) {
        self.pending_since = if self.pending.is_empty() { None } else { Some(now) };
    }

    pub(super) fn unconfirmed_bytes(&self) -> usize {
        let pending: usize = self.pending.iter().map(|entry| entry.body.len()).sum();
        pending + self.partial.as_ref().map_or(0, |partial| partial.body.len())
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.partial.is_none()
    }

    fn is_full(&self) -> bool {
        self.pending_bytes > MAX_SUFFIX_BYTES
    }

    fn has_waited(&self, wait: Duration, now: Duration) -> bool {
        self.pending_since.is_some_and(|since| now >= since + wait)
    }

    /// Handles a part of an entry; a complete entry becomes pending.
    fn on_part(&mut self, part: &EntryPart, head: Position, now: Duration) -> Result<(), DisconnectReason> {
        self.unacknowledged += ENTRY_FRAME_OVERHEAD + part.bytes.len() as u32;
        if self.unacknowledged > WINDOW_BYTES + ENTRY_FRAME_OVERHEAD + MAX_PART as u32 {
            return Err(DisconnectReason::Unrequested);
        }
        let end = self.end(head);
        let is_next = match &self.partial {
            None => part.offset == 0 && part.position.version == end.version.saturating_add(1),
            Some(partial) => partial.continues_with(part),
        };
        if !is_next {
            return Err(DisconnectReason::BrokenChain);
        }
        if part.bytes.len() != part.expected_length() {
            return Err(DisconnectReason::ProtocolViolation);
        }
        let new_partial =
            || PartialEntry { position: part.position, length: part.length, body: BytesMut::new() };
        let partial = self.partial.get_or_insert_with(new_partial);
        partial.body.extend_from_slice(&part.bytes);
        let is_complete = partial.body.len() == part.length as usize;
        if part.offset == 0 {
            let transfer_seconds = part.length / MIN_ENTRY_BYTES_PER_SECOND;
            self.progress_at = now + Duration::from_secs(u64::from(transfer_seconds));
        }
        if is_complete && let Some(partial) = self.partial.take() {
            self.add_pending(partial, end, now)?;
        }
        Ok(())
    }

    fn add_pending(
        &mut self,
        complete: PartialEntry,
        end: Position,
        now: Duration,
    ) -> Result<(), DisconnectReason> {
        let body = complete.body.freeze();
        if end.after_change(&body) != complete.position {
            return Err(DisconnectReason::BrokenChain);
        }
        self.progress_at = now;
        self.pending_since.get_or_insert(now);
        self.pending_bytes += ENTRY_OVERHEAD + body.len();
        self.pending.push_back(Entry { position: complete.position, body });
        Ok(())
    }
}

impl Upstreams {
    pub(super) fn on_entry_part(
        &mut self,
        peer: usize,
        part: &EntryPart,
        context: &mut Context<'_>,
    ) -> Result<(), DisconnectReason> {
        let source = self.source.as_mut().filter(|source| source.peer == peer);
        let (Some(source), Some(head)) = (source, context.suffix.head()) else {
            return Err(DisconnectReason::Unrequested);
        };
        source.on_part(part, head, context.now)
    }

    /// Drops the replication source and its pending entries.
    pub(super) fn drop_source(&mut self) {
        self.source = None;
        self.peers.iter_mut().filter_map(Peer::session_mut).for_each(Session::clear_pending);
    }

    /// Sends the source a window update, which allows it to send more bytes.
    ///
    /// Invariant: the bytes that wait for a quorum are bounded by the size of a log suffix, the window and
    /// one long entry; beyond that no window is granted. The bound is that of a log suffix because another
    /// upstream may hold hashes only from the start of its own suffix.
    pub(super) fn grant_window(&mut self, context: &mut Context<'_>) {
        let Some(source) = self.source.as_mut().filter(|source| !source.is_full()) else { return };
        if source.unacknowledged < WINDOW_BYTES / 4 {
            return;
        }
        if let Some(connection) = self.peers[source.peer].connection() {
            let bytes = std::mem::take(&mut source.unacknowledged);
            context.send(connection, ToUpstream::WindowUpdate { bytes });
        }
    }

    /// Disconnects a source that lags behind other upstreams, that they contradict, or that can no longer
    /// send the next entry. If its entries only lack a quorum, the node connects to all upstreams.
    pub(super) fn review_source(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let (Some(source), Some(head)) = (&self.source, context.suffix.head()) else { return };
        let peer = source.peer;
        let disagreeing = self.disagreeing_with(peer);
        let is_contradicted = source.has_waited(MAX_LAG, now) && disagreeing > 0;
        let is_behind = !source.is_full() && self.is_source_behind(source, now);
        let lacks_quorum = source.has_waited(MAX_QUORUM_DELAY, now);
        let pending_end = source.end(head).version;
        let is_end_trimmed = self.peers[peer].state().is_some_and(|state| state.oldest_version > pending_end);
        if disagreeing >= self.quorum {
            // At least one of the upstreams that disagree is honest.
            self.disconnect(peer, DisconnectReason::Fork, context);
        } else if is_contradicted || is_behind {
            self.peers[peer].avoid_until = now + AVOID_DURATION;
            self.disconnect(peer, DisconnectReason::TooSlow, context);
        } else if is_end_trimmed {
            self.disconnect(peer, DisconnectReason::NotNeeded, context);
        } else if lacks_quorum {
            self.connect_all_until = now + CONNECT_ALL_DURATION;
        }
    }

    /// Number of upstreams that reported a different hash than one of the source's pending entries.
    fn disagreeing_with(&self, source: usize) -> usize {
        let sessions = self.peers.iter().map(Peer::session).enumerate();
        let others = sessions.filter(|(index, _)| *index != source).filter_map(|(_, session)| session);
        others.filter(|session| session.disagrees_at.is_some()).count()
    }

    /// Whether another upstream, which is not avoided, has been ahead of the last entry from the source for
    /// [`MAX_LAG`] without the source making progress.
    fn is_source_behind(&self, source: &ReplicationSource, now: Duration) -> bool {
        self.peers.iter().enumerate().any(|(index, peer)| {
            let ahead_since = peer.state().and_then(|state| state.ahead_since);
            index != source.peer
                && peer.avoid_until <= now
                && ahead_since.is_some_and(|since| now >= since.max(source.progress_at) + MAX_LAG)
        })
    }

    /// Chooses the replication source.
    pub(super) fn choose_source(&mut self, context: &mut Context<'_>) {
        let Some(head) = context.suffix.head() else { return };
        if context.now < self.halted_until {
            return;
        }
        let Some(source) = &self.source else {
            if let Some(peer) = self.best_source(head, context.now) {
                self.replicate_from(peer, head, context);
            }
            return;
        };
        if !source.is_idle() {
            return;
        }
        let current = source.peer;
        let preferred = self.preferred_source(head, context.now).filter(|peer| *peer < current);
        let preferred = preferred.filter(|peer| self.is_stable(*peer, context.now));
        if let Some(preferred) = preferred {
            self.disconnect(current, DisconnectReason::NotNeeded, context);
            self.replicate_from(preferred, head, context);
        }
    }

    /// The most preferred upstream that can send entries. An avoided upstream is chosen only if no other can.
    fn best_source(&self, head: Position, now: Duration) -> Option<usize> {
        let any = || self.peers.iter().position(|peer| can_serve(peer, head));
        self.preferred_source(head, now).or_else(any)
    }

    /// The most preferred upstream that can send entries and is not avoided.
    fn preferred_source(&self, head: Position, now: Duration) -> Option<usize> {
        self.peers.iter().position(|peer| can_serve(peer, head) && peer.avoid_until <= now)
    }

    fn is_stable(&self, peer: usize, now: Duration) -> bool {
        let session = self.peers[peer].session();
        session.is_some_and(|session| now >= session.connected_at + PREFERRED_STABLE_AFTER)
    }

    fn replicate_from(&mut self, peer: usize, after: Position, context: &mut Context<'_>) {
        let Some(connection) = self.peers[peer].connection() else { return };
        self.source = Some(ReplicationSource::new(peer, context.now));
        let upstream = self.peers[peer].name.clone();
        context.log(RelayEvent::Following { upstream, after });
        context.send(connection, ToUpstream::Follow { after });
    }
}

/// Whether an upstream can send the entries after a position. An upstream without a checkpoint holds no part
/// of the log yet.
fn can_serve(peer: &Peer, after: Position) -> bool {
    peer.state().is_some_and(|state| {
        state.checkpoint.is_some()
            && state.head.version >= after.version
            && state.oldest_version <= after.version
    })
}
