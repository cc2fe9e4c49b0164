//! The upstream side of a node: what it sends to each follower, and how much of it at a time.

mod checkpoint_slots;
mod follower;

use std::collections::BTreeMap;
use std::time::Duration;

use umbertray_store_protocol::changes::{
    FromUpstream, MAX_PART, Position, ProgressSummary, RejectionReason, Role, ToUpstream,
};

use self::checkpoint_slots::CheckpointSlots;
use self::follower::{Announcement, Cursor, Follower};
use super::jitter::Jitter;
use super::log_suffix::{Gap, LogSuffix};
use super::{
    Action, DisconnectReason, ENTRY_FRAME_OVERHEAD, HEARTBEAT_INTERVAL, LEASE_DURATION, RelayEvent,
    WINDOW_BYTES, progress,
};
use crate::ConnectionId;

/// Minimum interval between two announcements of new entries to a follower. Entries that arrive in between
/// are announced at the next tick.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// The followers of a node.
///
/// Invariant: the entry bytes in flight to a follower are at most [`WINDOW`] and one part of a change.
pub(super) struct Downstreams {
    own_name: String,
    max_followers: usize,
    followers: BTreeMap<ConnectionId, Follower>,
    checkpoint_slots: CheckpointSlots,
    /// Names of the relays that entries pass through, ending with this node.
    path: Vec<String>,
}

/// The state that the handlers of an event share.
pub(super) struct Context<'a> {
    pub(super) now: Duration,
    pub(super) suffix: &'a LogSuffix,
    pub(super) actions: &'a mut Vec<Action>,
}

impl Context<'_> {
    fn send(&mut self, connection: ConnectionId, frame: FromUpstream) {
        self.actions.push(Action::SendFollower { connection, frame });
    }

    fn log(&mut self, event: RelayEvent) {
        self.actions.push(Action::Log(event));
    }

    fn head_version(&self) -> u64 {
        self.suffix.head().unwrap_or_default().version
    }
}

impl Downstreams {
    pub(super) fn new(own_name: String, max_followers: usize, jitter: Jitter) -> Downstreams {
        Downstreams {
            path: vec![own_name.clone()],
            own_name,
            max_followers,
            followers: BTreeMap::new(),
            checkpoint_slots: CheckpointSlots::new(jitter),
        }
    }

    /// Number of followers that have sent their hello.
    pub(super) fn count(&self) -> usize {
        self.followers.values().filter(|follower| follower.hello_received).count()
    }

    /// Number of checkpoints that are being sent.
    pub(super) fn checkpoint_transfers(&self) -> usize {
        self.checkpoint_slots.count()
    }

    pub(super) fn path(&self) -> &[String] {
        &self.path
    }

    pub(super) fn on_connected(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        if self.followers.len() >= self.max_followers {
            context.send(connection, FromUpstream::Rejected { reason: RejectionReason::TooManyFollowers });
            let reason = DisconnectReason::TooManyFollowers;
            context.actions.push(Action::Close { connection, reason });
            return;
        }
        self.followers.insert(connection, Follower::new(context.now));
    }

    pub(super) fn on_disconnected(&mut self, connection: ConnectionId) {
        self.followers.remove(&connection);
        self.checkpoint_slots.release(connection);
    }

    pub(super) fn on_malformed(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        if self.followers.contains_key(&connection) {
            self.reject_violation(connection, context);
        }
    }

    fn disconnect(&mut self, connection: ConnectionId, reason: DisconnectReason, context: &mut Context<'_>) {
        if let Some(follower) = self.followers.get(&connection) {
            context.log(RelayEvent::FollowerDisconnected { follower: follower.name.clone(), reason });
            context.actions.push(Action::Close { connection, reason });
            self.on_disconnected(connection);
        }
    }

    fn reject(
        &mut self,
        connection: ConnectionId,
        rejection: RejectionReason,
        reason: DisconnectReason,
        context: &mut Context<'_>,
    ) {
        context.send(connection, FromUpstream::Rejected { reason: rejection });
        self.disconnect(connection, reason, context);
    }

    fn reject_violation(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        let rejection = RejectionReason::ProtocolViolation;
        self.reject(connection, rejection, DisconnectReason::ProtocolViolation, context);
    }

    pub(super) fn on_frame(
        &mut self,
        connection: ConnectionId,
        frame: ToUpstream,
        context: &mut Context<'_>,
    ) {
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        follower.last_received_at = context.now;
        let is_hello = matches!(frame, ToUpstream::Hello { .. });
        if is_hello == follower.hello_received {
            return self.reject_violation(connection, context);
        }
        match frame {
            ToUpstream::Hello { name, role, .. } => self.on_hello(connection, name, role, context),
            ToUpstream::Follow { after } => self.on_follow(connection, after, context),
            ToUpstream::Fetch { version, offset } => {
                self.on_checkpoint_request(connection, version, offset as usize, context);
            }
            ToUpstream::WindowUpdate { bytes } => self.on_window_update(connection, bytes, context),
            ToUpstream::Progress(progress) => self.on_progress(connection, progress, context),
            ToUpstream::QueryHash { version } => {
                if let Some(hash) = context.suffix.hash_at(version) {
                    context.send(connection, FromUpstream::HashAt { position: Position { version, hash } });
                }
            }
            ToUpstream::Heartbeat => {}
            // The event loop answers status requests, which are sent without a hello.
            ToUpstream::Status => self.reject_violation(connection, context),
        }
    }

    fn on_hello(&mut self, connection: ConnectionId, name: String, role: Role, context: &mut Context<'_>) {
        let is_upstream = role == Role::Relay && self.path.contains(&name);
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        follower.name.clone_from(&name);
        follower.role = role;
        follower.hello_received = true;
        if is_upstream || name == self.own_name {
            context.log(RelayEvent::LoopDetected { upstream: name, path: self.path.clone() });
            return self.reject(connection, RejectionReason::Loop, DisconnectReason::Loop, context);
        }
        let hello = FromUpstream::Hello { name: self.own_name.clone(), path: self.path.clone() };
        context.send(connection, hello);
        self.announce(connection, context);
    }

    fn on_follow(&mut self, connection: ConnectionId, after: Position, context: &mut Context<'_>) {
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        if follower.cursor.is_some() {
            return self.reject_violation(connection, context);
        }
        match context.suffix.check_position(&after) {
            Ok(()) => {
                follower.cursor = Some(Cursor { after: after.version, offset: 0 });
                self.send_entries(connection, context);
            }
            // The announcement tells the follower from which version entries can be sent.
            Err(Gap::Trimmed) => self.on_follower_behind(connection, after.version, context),
            Err(Gap::Fork) => self.reject(connection, RejectionReason::Fork, DisconnectReason::Fork, context),
            Err(Gap::Ahead) => {
                self.reject(connection, RejectionReason::Ahead, DisconnectReason::ProtocolViolation, context);
            }
        }
    }

    fn on_follower_behind(&mut self, connection: ConnectionId, after: u64, context: &mut Context<'_>) {
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        follower.cursor = None;
        context.log(RelayEvent::FollowerBehind { follower: follower.name.clone(), after });
        self.announce(connection, context);
    }

    fn on_window_update(&mut self, connection: ConnectionId, bytes: u32, context: &mut Context<'_>) {
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        match follower.in_flight.checked_sub(bytes) {
            Some(in_flight) => {
                follower.in_flight = in_flight;
                self.send_entries(connection, context);
            }
            None => self.reject_violation(connection, context),
        }
    }

    /// Sends a follower the next entries, as far as its window allows.
    fn send_entries(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        while let Some(cursor) = follower.cursor
            && follower.in_flight < WINDOW_BYTES
            && context.head_version() > cursor.after
        {
            let Some(entry) = context.suffix.entry_after(cursor.after) else {
                return self.on_follower_behind(connection, cursor.after, context);
            };
            let end = cursor.part_end(entry);
            let part = entry.body.slice(cursor.offset..end);
            follower.in_flight += ENTRY_FRAME_OVERHEAD + part.len() as u32;
            follower.cursor = Some(cursor.advanced_to(entry, end));
            let frame = FromUpstream::Entry {
                position: entry.position,
                length: entry.body.len() as u32,
                offset: cursor.offset as u32,
                part,
            };
            context.send(connection, frame);
        }
    }

    fn on_checkpoint_request(
        &mut self,
        connection: ConnectionId,
        version: u64,
        offset: usize,
        context: &mut Context<'_>,
    ) {
        let suffix = context.suffix;
        let held = suffix.checkpoint().filter(|held| held.position.version == version);
        let (Some(_), Some(bytes)) = (held, suffix.checkpoint_bytes()) else {
            // A newer checkpoint was announced to the follower since its request, or is announced now.
            self.checkpoint_slots.release(connection);
            return self.announce(connection, context);
        };
        if offset > 0 && offset >= bytes.len() {
            return self.reject_violation(connection, context);
        }
        if let Err(after) = self.checkpoint_slots.acquire(connection, context.now) {
            return context.send(connection, FromUpstream::RetryAfter { after });
        }
        let end = bytes.len().min(offset + MAX_PART);
        let part = bytes.slice(offset..end);
        context.send(connection, FromUpstream::CheckpointPart { version, offset: offset as u32, part });
        if end == bytes.len() {
            self.checkpoint_slots.finish(connection, context.now);
        } else {
            self.checkpoint_slots.part_sent(connection, context.now);
        }
    }

    fn on_progress(
        &mut self,
        connection: ConnectionId,
        progress: ProgressSummary,
        context: &mut Context<'_>,
    ) {
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        let rejection = progress::rejection_reason(&progress, follower.role, context.head_version());
        let Some(reason) = rejection else {
            return follower.set_progress(progress, context.now);
        };
        follower.progress = ProgressSummary::default();
        if !follower.invalid_progress_logged {
            follower.invalid_progress_logged = true;
            context.log(RelayEvent::InvalidProgress { follower: follower.name.clone(), reason });
        }
    }

    /// The progress of all followers and of the members below them.
    pub(super) fn progress(&self, now: Duration, head: u64) -> ProgressSummary {
        let mut sum = ProgressSummary::default();
        for follower in self.followers.values() {
            progress::add(&mut sum, &follower.progress);
            sum.lagging.extend(follower.lagging(now, head));
        }
        progress::truncate_lagging(&mut sum);
        sum
    }

    /// Sends the path from the folder to the followers, if it has changed.
    pub(super) fn set_path(&mut self, path: Vec<String>, context: &mut Context<'_>) {
        if self.path == path {
            return;
        }
        let with_hello = self.followers.iter().filter(|(_, follower)| follower.hello_received);
        for (connection, _) in with_hello {
            context.send(*connection, FromUpstream::Path(path.clone()));
        }
        self.path = path;
    }

    /// Announces to a follower what this node can serve, unless its last announcement said the same.
    fn announce(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        let announcement = Announcement::of(context.suffix);
        if follower.hello_received && follower.announced != Some(announcement) {
            follower.announced = Some(announcement);
            follower.announced_at = context.now;
            follower.last_heartbeat_at = context.now;
            context.send(connection, announcement.frame());
        }
    }

    /// Handles a change of the log suffix.
    pub(super) fn on_log_advanced(&mut self, context: &mut Context<'_>) {
        let connections: Vec<ConnectionId> = self.followers.keys().copied().collect();
        for connection in connections {
            self.send_entries(connection, context);
            if !self.was_announced_recently(connection, context.now) {
                self.announce(connection, context);
            }
        }
    }

    fn was_announced_recently(&self, connection: ConnectionId, now: Duration) -> bool {
        self.followers.get(&connection).is_some_and(|follower| {
            follower.announced.is_some() && now < follower.announced_at + MIN_ANNOUNCEMENT_INTERVAL
        })
    }

    pub(super) fn on_timer(&mut self, context: &mut Context<'_>) {
        self.checkpoint_slots.expire(context.now);
        let connections: Vec<ConnectionId> = self.followers.keys().copied().collect();
        for connection in connections {
            self.on_follower_timer(connection, context);
        }
    }

    /// Disconnects a follower whose lease has expired; otherwise sends it a due announcement or heartbeat.
    fn on_follower_timer(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        let Some(follower) = self.followers.get(&connection) else { return };
        if context.now >= follower.last_received_at + LEASE_DURATION {
            return self.disconnect(connection, DisconnectReason::IdleTimeout, context);
        }
        self.announce(connection, context);
        let Some(follower) = self.followers.get_mut(&connection) else { return };
        if follower.hello_received && context.now >= follower.last_heartbeat_at + HEARTBEAT_INTERVAL {
            follower.last_heartbeat_at = context.now;
            context.send(connection, FromUpstream::Heartbeat);
        }
    }
}
