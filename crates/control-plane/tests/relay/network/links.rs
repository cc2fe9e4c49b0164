//! Connections between members, which delay frames, end, and may be cut off.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::Rng;
use umbertray_control_plane::ConnectionId;
use umbertray_control_plane::relay::{Event, MAX_UNSENT_BYTES};
use umbertray_store_protocol::changes::{FromUpstream, ToUpstream};
use umbertray_store_protocol::next_frame;

use super::{Direction, Id, Network, NetworkEvent};

/// A connection between two members.
pub(super) struct Link {
    pub(super) follower: Id,
    /// The follower's id of this connection.
    up_connection: ConnectionId,
    pub(super) upstream: Id,
    /// The upstream's id of this connection.
    down_connection: ConnectionId,
    /// When the last frame in each direction arrives.
    last_arrivals: [Duration; 2],
    /// Bytes in transit to the follower.
    unsent: usize,
}

impl Link {
    /// The member that receives the frames of a direction.
    fn receiver(&self, direction: Direction) -> Id {
        match direction {
            Direction::Up => self.upstream,
            Direction::Down => self.follower,
        }
    }

    /// The event that reports the end of the connection to the receiver of a direction.
    fn end_event(&self, direction: Direction) -> Event {
        match direction {
            Direction::Up => Event::FollowerDisconnected(self.down_connection),
            Direction::Down => Event::Disconnected(self.up_connection),
        }
    }

    /// The event that reports a frame's bytes to the receiver of a direction.
    fn frame_event(&self, direction: Direction, bytes: &Bytes) -> Event {
        let mut input = BytesMut::from(&bytes[..]);
        match direction {
            Direction::Up => match next_frame::<ToUpstream>(&mut input) {
                Ok(Some(frame)) => Event::FromFollower { connection: self.down_connection, frame },
                _ => Event::Malformed(self.down_connection),
            },
            Direction::Down => match next_frame::<FromUpstream>(&mut input) {
                Ok(Some(frame)) => Event::FromUpstream { connection: self.up_connection, frame },
                _ => Event::Malformed(self.up_connection),
            },
        }
    }
}

impl Network {
    /// Ends a random connection, if there is one.
    pub fn lose_random_connection(&mut self) {
        let links: Vec<u64> = self.links.keys().copied().collect();
        if !links.is_empty() {
            let lost = links[self.rng.random_range(0..links.len())];
            self.end_link(lost);
        }
    }

    pub(super) fn connect(&mut self, id: Id, upstream: usize, up_connection: ConnectionId) {
        let upstream = self.members[id].upstreams[upstream];
        self.next_id += 1;
        let link_id = self.next_id;
        let down_connection = ConnectionId(link_id);
        let last_arrivals = [self.now; 2];
        let link = Link { follower: id, up_connection, upstream, down_connection, last_arrivals, unsent: 0 };
        self.link_ends.insert((id, up_connection), (link_id, Direction::Up));
        self.link_ends.insert((upstream, down_connection), (link_id, Direction::Down));
        self.links.insert(link_id, link);
        // If the region is cut off, the attempt gets no response. If the upstream's process is not running,
        // the attempt fails after the network delay.
        if !self.is_cut(id, upstream) {
            let ok = self.members[upstream].node.is_some();
            self.push(self.now + self.delay(id, upstream), NetworkEvent::Connect { link_id, ok });
        }
    }

    pub(super) fn on_connect(&mut self, link_id: u64, ok: bool) {
        let Some(link) = self.links.get(&link_id) else { return };
        let Link { follower, up_connection, upstream, down_connection, .. } = *link;
        if ok && self.members[upstream].node.is_some() && !self.is_cut(follower, upstream) {
            self.deliver(upstream, Event::FollowerConnected(down_connection));
            self.deliver(follower, Event::Connected(up_connection));
        } else {
            self.links.remove(&link_id);
            self.deliver(follower, Event::Disconnected(up_connection));
        }
    }

    /// Whether frames between two members are lost silently because their regions are cut off from each
    /// other.
    fn is_cut(&self, one: Id, other: Id) -> bool {
        self.is_region_cut_off && self.members[one].site.region != self.members[other].site.region
    }

    pub(super) fn on_frame(&mut self, link_id: u64, direction: Direction, bytes: &Bytes) {
        let Some(link) = self.links.get_mut(&link_id) else { return };
        if direction == Direction::Down {
            link.unsent -= bytes.len();
        }
        let Link { follower, upstream, .. } = *link;
        let receiver = link.receiver(direction);
        let event = link.frame_event(direction, bytes);
        if self.is_cut(follower, upstream) {
            // This frame is lost, and the byte stream cannot continue after a gap. Both members detect the
            // broken connection by their idle timeouts.
            self.links.remove(&link_id);
            return;
        }
        self.deliver(receiver, event);
    }

    /// Ends a connection, and notifies both members.
    pub(super) fn end_link(&mut self, link_id: u64) {
        let Some(link) = self.links.remove(&link_id) else { return };
        self.deliver(link.follower, link.end_event(Direction::Down));
        self.deliver(link.upstream, link.end_event(Direction::Up));
    }

    /// Handles the arrival of a member's close at the other member.
    pub(super) fn on_end(&mut self, link_id: u64, direction: Direction) {
        let Some(link) = self.links.remove(&link_id) else { return };
        self.deliver(link.receiver(direction), link.end_event(direction));
    }

    fn link_of(&self, id: Id, connection: ConnectionId) -> Option<(u64, Direction)> {
        let end = self.link_ends.get(&(id, connection)).copied();
        end.filter(|(link_id, _)| self.links.contains_key(link_id))
    }

    fn delay(&self, from: Id, to: Id) -> Duration {
        let is_far = self.members[from].site.region != self.members[to].site.region;
        Duration::from_millis(if is_far { 70 } else { 1 }) + self.members[from].send_delay
    }

    pub(super) fn send(&mut self, id: Id, connection: ConnectionId, bytes: Bytes) {
        let Some((link_id, direction)) = self.link_of(id, connection) else { return };
        let traffic = self.traffic.entry((id, direction)).or_default();
        *traffic.frames.entry(bytes[4]).or_default() += 1;
        traffic.bytes += bytes.len();
        let Some(link) = self.links.get_mut(&link_id) else { return };
        let receiver = link.receiver(direction);
        if direction == Direction::Down {
            link.unsent += bytes.len();
            let unsent = link.unsent;
            self.check_rule(id, unsent <= MAX_UNSENT_BYTES, "limits the bytes queued for a follower");
        }
        let delay = self.delay(id, receiver);
        let Some(link) = self.links.get_mut(&link_id) else { return };
        let arrival = (self.now + delay).max(link.last_arrivals[direction as usize]);
        link.last_arrivals[direction as usize] = arrival;
        self.push(arrival, NetworkEvent::Frame { link_id, direction, bytes });
    }

    pub(super) fn close(&mut self, id: Id, connection: ConnectionId) {
        let Some((link_id, direction)) = self.link_of(id, connection) else { return };
        let Some(link) = self.links.get(&link_id) else { return };
        let delay = self.delay(id, link.receiver(direction));
        let arrival = (self.now + delay).max(link.last_arrivals[direction as usize]);
        self.push(arrival, NetworkEvent::End { link_id, direction });
    }
}
