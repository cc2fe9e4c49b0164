//! Connections between members, which delay frames, end and are cut.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::Rng;
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{DisconnectReason, Event, MAX_UNSENT};
use umbertray_store_protocol::changes::{FromUpstream, ToUpstream};
use umbertray_store_protocol::next_frame;

use super::{Connection, Direction, Id, Network, NetworkEvent};

impl Network {
    /// A random connection ends.
    pub fn lose_random_connection(&mut self) {
        let connections: Vec<u64> = self.connections.keys().copied().collect();
        if !connections.is_empty() {
            let lost = connections[self.rng.random_range(0..connections.len())];
            self.end(lost, None);
        }
    }

    pub(super) fn connected(&mut self, id: u64, ok: bool) {
        let Some(link_id) = self.connections.get(&id) else { return };
        let (follower, up, upstream, down) =
            (link_id.follower, link_id.up_connection, link_id.upstream, link_id.down_connection);
        if ok && self.members[upstream].node.is_some() && !self.apart(follower, upstream) {
            self.deliver(upstream, Event::FollowerConnected(down));
            self.deliver(follower, Event::Connected(up));
        } else {
            self.connections.remove(&id);
            self.deliver(follower, Event::Disconnected(up));
        }
    }

    /// A network that is cut loses frames silently.
    pub(super) fn apart(&self, one: Id, other: Id) -> bool {
        self.cut && self.members[one].place.region != self.members[other].place.region
    }

    pub(super) fn arrived(&mut self, id: u64, direction: Direction, bytes: &Bytes) {
        let Some(link_id) = self.connections.get_mut(&id) else { return };
        if direction == Direction::Down {
            link_id.unsent -= bytes.len();
        }
        let (follower, up, upstream, down) =
            (link_id.follower, link_id.up_connection, link_id.upstream, link_id.down_connection);
        if self.apart(follower, upstream) {
            // The stream is broken from here on; both ends find out by their idle timeouts.
            return self.end(id, Some(()));
        }
        let mut input = BytesMut::from(&bytes[..]);
        match direction {
            Direction::Up => match next_frame::<ToUpstream>(&mut input) {
                Ok(Some(frame)) => self.deliver(upstream, Event::FromFollower { connection: down, frame }),
                _ => self.deliver(upstream, Event::Malformed(down)),
            },
            Direction::Down => match next_frame::<FromUpstream>(&mut input) {
                Ok(Some(frame)) => self.deliver(follower, Event::FromUpstream { connection: up, frame }),
                _ => self.deliver(follower, Event::Malformed(up)),
            },
        }
    }

    /// Ends a connection; `unheard` where the network is cut and no end is told.
    pub(super) fn end(&mut self, id: u64, unheard: Option<()>) {
        let Some(link_id) = self.connections.remove(&id) else { return };
        if unheard.is_none() {
            self.deliver(link_id.follower, Event::Disconnected(link_id.up_connection));
            self.deliver(link_id.upstream, Event::FollowerDisconnected(link_id.down_connection));
        }
    }

    pub(super) fn ended(&mut self, id: u64, direction: Direction) {
        let Some(link_id) = self.connections.remove(&id) else { return };
        match direction {
            Direction::Up => {
                self.deliver(link_id.upstream, Event::FollowerDisconnected(link_id.down_connection));
            }
            Direction::Down => {
                self.deliver(link_id.follower, Event::Disconnected(link_id.up_connection));
            }
        }
    }

    pub(super) fn connection_of(&self, id: Id, connection: ConnectionId) -> Option<(u64, Direction)> {
        self.ends
            .get(&(id, connection))
            .copied()
            .filter(|(link_id, _)| self.connections.contains_key(link_id))
    }

    pub(super) fn connect(&mut self, id: Id, upstream: usize, connection: ConnectionId) {
        let to = self.members[id].upstreams[upstream];
        self.next += 1;
        let link_id = self.next;
        let down_connection = ConnectionId(link_id);
        let at = Connection {
            follower: id,
            up_connection: connection,
            upstream: to,
            down_connection,
            last: [self.now; 2],
            unsent: 0,
        };
        self.ends.extend([
            ((id, connection), (link_id, Direction::Up)),
            ((to, down_connection), (link_id, Direction::Down)),
        ]);
        self.connections.insert(link_id, at);
        // Where the network is cut nothing comes back; a process that is gone is noticed at once.
        if !self.apart(id, to) {
            let ok = self.members[to].node.is_some();
            self.push(self.now + self.delay(id, to), NetworkEvent::Connect { link_id, ok });
        }
    }

    pub(super) fn delay(&self, from: Id, to: Id) -> Duration {
        let far = self.members[from].place.region != self.members[to].place.region;
        Duration::from_millis(if far { 70 } else { 1 }) + self.members[from].slow
    }

    pub(super) fn send(&mut self, id: Id, connection: ConnectionId, bytes: Bytes) {
        let Some((link_id, direction)) = self.connection_of(id, connection) else { return };
        let counted = self.counted.entry((id, direction)).or_default();
        *counted.frames.entry(bytes[4]).or_default() += 1;
        counted.bytes += bytes.len();
        let Some(at) = self.connections.get_mut(&link_id) else { return };
        let to = if direction == Direction::Up { at.upstream } else { at.follower };
        if direction == Direction::Down {
            at.unsent += bytes.len();
            let unsent = at.unsent;
            self.check_rule(id, unsent <= MAX_UNSENT, "queues little for a follower");
        }
        let delay = self.delay(id, to);
        let Some(at) = self.connections.get_mut(&link_id) else { return };
        let arrives = (self.now + delay).max(at.last[direction as usize]);
        at.last[direction as usize] = arrives;
        self.push(arrives, NetworkEvent::Frame { link_id, direction, bytes });
    }

    pub(super) fn close(&mut self, id: Id, connection: ConnectionId, _: DisconnectReason) {
        let Some((link_id, direction)) = self.connection_of(id, connection) else { return };
        let Some(at) = self.connections.get(&link_id) else { return };
        let to = if direction == Direction::Up { at.upstream } else { at.follower };
        let arrives = (self.now + self.delay(id, to)).max(at.last[direction as usize]);
        self.push(arrives, NetworkEvent::End { link_id, direction });
    }
}
