//! Decides which upstreams are connected.
//!
//! Invariant: while a quorum agrees, the `quorum + 1` most preferred of the responsive upstreams are
//! connected. While no quorum agrees, all responsive upstreams are connected.

use std::time::Duration;

use umbertray_store_protocol::changes::ToUpstream;

use super::peer::{ConnectionState, Peer, Session};
use super::{Context, Upstreams};
use crate::ConnectionId;
use crate::relay::{
    AVOID_DURATION, Action, CONNECT_TIMEOUT, DisconnectReason, IDLE_TIMEOUT, MAX_BACKOFF, MIN_BACKOFF,
    RelayEvent,
};

/// Longest time until a failed upstream is preferred again while enough others are connected. The time is
/// drawn from the upper half of this duration.
const RETRY_PREFERRED_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of doublings of the backoff; [`MAX_BACKOFF`] is reached before.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

impl Upstreams {
    pub(in crate::relay) fn on_connected(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        let Some(peer) = self.peer_of(connection) else { return };
        let session = Session::new(connection, context.now);
        self.peers[peer].connection_state = ConnectionState::Open(Box::new(session));
        let hello = ToUpstream::Hello {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            role: self.identity.role,
        };
        context.send(connection, hello);
    }

    pub(in crate::relay) fn on_disconnected(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        if let Some(peer) = self.peer_of(connection) {
            self.enter_backoff(peer, DisconnectReason::Closed, context);
            self.update(context);
        }
    }

    pub(in crate::relay) fn on_malformed(&mut self, connection: ConnectionId, context: &mut Context<'_>) {
        if let Some(peer) = self.peer_of(connection) {
            self.disconnect(peer, DisconnectReason::ProtocolViolation, context);
            self.update(context);
        }
    }

    /// Closes the connection to an upstream, if there is one.
    pub(super) fn disconnect(&mut self, peer: usize, reason: DisconnectReason, context: &mut Context<'_>) {
        if let Some(connection) = self.peers[peer].connection() {
            context.actions.push(Action::Close { connection, reason });
            self.enter_backoff(peer, reason, context);
        }
    }

    /// Handles the end of a connection: schedules the next attempt, and drops the replication source or the
    /// download if it used this connection.
    fn enter_backoff(&mut self, peer: usize, reason: DisconnectReason, context: &mut Context<'_>) {
        let now = context.now;
        let backoff = self.backoff_after(peer, reason);
        let retry_preferred_at = now + backoff.max(self.jitter.delay(RETRY_PREFERRED_AFTER));
        let lost = &mut self.peers[peer];
        lost.connection_state = ConnectionState::Backoff { until: now + backoff };
        if reason != DisconnectReason::NotNeeded {
            lost.failures = lost.failures.saturating_add(1);
            lost.retry_preferred_at = retry_preferred_at;
        }
        context.log(RelayEvent::UpstreamDisconnected { upstream: lost.name.clone(), reason, backoff });
        if self.source.as_ref().is_some_and(|source| source.peer == peer) {
            self.drop_source();
        }
        self.checkpoint_transfer.cancel_from(peer);
    }

    fn backoff_after(&mut self, peer: usize, reason: DisconnectReason) -> Duration {
        if reason == DisconnectReason::NotNeeded {
            return Duration::ZERO;
        }
        if reason.is_misbehaviour() {
            return AVOID_DURATION;
        }
        let doublings = self.peers[peer].failures.min(MAX_BACKOFF_DOUBLINGS);
        let doubled = MIN_BACKOFF * 2_u32.saturating_pow(doublings);
        self.jitter.delay(doubled.min(MAX_BACKOFF))
    }

    /// Closes connections that were not established in time, or have been idle for too long.
    pub(super) fn disconnect_idle(&mut self, context: &mut Context<'_>) {
        for peer in 0..self.peers.len() {
            let reason = match &self.peers[peer].connection_state {
                ConnectionState::Connecting { deadline, .. } if context.now >= *deadline => {
                    DisconnectReason::NotConnected
                }
                ConnectionState::Open(session) if context.now >= session.last_received_at + IDLE_TIMEOUT => {
                    DisconnectReason::IdleTimeout
                }
                _ => continue,
            };
            self.disconnect(peer, reason, context);
        }
    }

    /// Connects to as many upstreams as wanted, the most preferred first.
    pub(super) fn connect_preferred(&mut self, context: &mut Context<'_>) {
        let wanted = self.wanted_connections(context.now);
        for peer in 0..self.peers.len() {
            if self.should_connect(peer, wanted, context.now) {
                self.connect(peer, context);
            }
        }
        self.disconnect_surplus(wanted, context);
    }

    fn wanted_connections(&self, now: Duration) -> usize {
        if now < self.connect_all_until {
            return self.peers.len();
        }
        (self.quorum + 1).min(self.peers.len())
    }

    fn should_connect(&self, peer: usize, wanted: usize, now: Duration) -> bool {
        let ConnectionState::Backoff { until } = self.peers[peer].connection_state else { return false };
        if now < until {
            return false;
        }
        let connections = self.peers.iter().filter(|peer| peer.connection().is_some()).count();
        if connections < wanted {
            return true;
        }
        let replaces_less_preferred = self.peers[peer + 1..].iter().any(|peer| peer.connection().is_some());
        connections == wanted && replaces_less_preferred && now >= self.peers[peer].retry_preferred_at
    }

    fn connect(&mut self, peer: usize, context: &mut Context<'_>) {
        self.last_connection += 1;
        let connection = ConnectionId(self.last_connection);
        let deadline = context.now + CONNECT_TIMEOUT;
        self.peers[peer].connection_state = ConnectionState::Connecting { connection, deadline };
        context.actions.push(Action::Connect { upstream: self.peers[peer].config_index, connection });
    }

    /// Closes the least preferred connection once enough others have reported their state.
    fn disconnect_surplus(&mut self, wanted: usize, context: &mut Context<'_>) {
        let has_reported = |peer: &Peer| peer.state().is_some();
        let reporting = self.peers.iter().filter(|peer| has_reported(peer)).count();
        if reporting > wanted
            && let Some(last) = self.peers.iter().rposition(has_reported)
        {
            self.disconnect(last, DisconnectReason::NotNeeded, context);
        }
    }
}
