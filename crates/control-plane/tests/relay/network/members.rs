//! Members: relays, gateways and the folder that some relays read; how they start, stop and lie.

use std::time::Duration;

use rand::Rng;
use umbertray_control_plane::relay::{Config, Event, Origin, RelayNode, Upstream};
use umbertray_store_protocol::changes::Role;

use super::{Connection, Id, Member, Network, NetworkEvent, Place, Reads};
use crate::lies::Lie;
use crate::reference_log::Log;

impl Network {
    pub fn add(&mut self, name: &str, zone: (&str, usize), role: Role, upstreams: Vec<Id>) -> Id {
        let folder = upstreams.is_empty();
        self.members.push(Member {
            name: name.into(),
            place: Place { zone: zone.0.into(), region: zone.1 },
            role,
            upstreams,
            lie: None,
            node: None,
            start: 0,
            frozen: false,
            never_applies: false,
            slow: Duration::ZERO,
            deferred_events: Vec::new(),
            built: None,
            in_force: None,
            keeps: role == Role::Gateway,
            reads: folder.then_some(Reads { log: None, told: 0, segment: None }),
            said: 0,
            logged: Vec::new(),
            checkpoints_loaded: 0,
        });
        self.members.len() - 1
    }

    pub fn gateways(&self) -> Vec<Id> {
        let of = |id: &Id| self.members[*id].role == Role::Gateway;
        (0..self.members.len()).filter(of).collect()
    }

    pub fn relays(&self) -> Vec<Id> {
        let of = |id: &Id| self.members[*id].role == Role::Relay;
        (0..self.members.len()).filter(of).collect()
    }

    /// A relay lies from its next start on.
    pub fn lies(&mut self, id: Id, lie: Lie) {
        let log = lie.of_log().then(|| {
            let mut log = if lie == Lie::OtherLog { Log::new(self.log.state) } else { self.log.clone() };
            log.says = if lie == Lie::Old { "true" } else { "false" };
            match lie {
                Lie::Forged | Lie::OtherLog => _ = log.write("forged", 9),
                Lie::Runaway => (0..3000).for_each(|_| _ = log.write("forged", 9)),
                _ => {}
            }
            log
        });
        let member = &mut self.members[id];
        member.lie = Some(lie);
        if lie.of_log() {
            member.reads = Some(Reads { log, told: 0, segment: None });
        }
    }

    pub fn start(&mut self, id: Id) {
        let resumes = self.rng.random();
        self.start_with(id, resumes);
    }

    /// Starts a member; `resumes` says whether a gateway has kept its state, besides its committed position.
    pub fn start_with(&mut self, id: Id, resumes: bool) {
        let seed = self.rng.random();
        let of = |id: &Id| Upstream {
            name: self.members[*id].name.clone(),
            zone: self.members[*id].place.zone.clone(),
        };
        let member = &self.members[id];
        let origin = if member.reads.is_some() {
            Origin::Folder
        } else {
            Origin::Upstreams { upstreams: member.upstreams.iter().map(of).collect(), quorum: self.quorum }
        };
        let config = Config {
            name: member.name.clone(),
            zone: member.place.zone.clone(),
            role: member.role,
            origin,
            seed,
            max_followers: 1000,
        };
        let member = &mut self.members[id];
        if !member.keeps {
            member.in_force = None;
        }
        let held = member.in_force.filter(|_| member.role == Role::Gateway && resumes);
        let node = match held {
            Some(at) => RelayNode::resume(config, at),
            None => RelayNode::new(config, member.in_force),
        };
        member.node = Some(node.expect("a sound configuration"));
        member.start += 1;
        member.built = held;
        member.frozen = false;
        member.deferred_events.clear();
        member.reads.iter_mut().for_each(|reads| (reads.told, reads.segment) = (0, None));
        let start = member.start;
        self.read_folder(id);
        self.push(self.now, NetworkEvent::Wake(id, start));
    }

    pub fn start_all(&mut self) {
        (0..self.members.len()).for_each(|id| self.start(id));
    }

    /// The process dies, and its connections with it.
    pub fn kill(&mut self, id: Id) {
        self.members[id].node = None;
        self.members[id].start += 1;
        let of = |link_id: &Connection| link_id.follower == id || link_id.upstream == id;
        let ends: Vec<u64> =
            self.connections.iter().filter(|(_, link_id)| of(link_id)).map(|(link_id, _)| *link_id).collect();
        ends.into_iter().for_each(|link_id| self.end(link_id, None));
    }

    pub fn thaw(&mut self, id: Id) {
        self.members[id].frozen = false;
        let held = std::mem::take(&mut self.members[id].deferred_events);
        for event in held {
            self.deliver(id, event);
        }
    }

    pub fn write(&mut self, length: usize) {
        self.log.write("change", length);
        self.written.push(self.now);
        let liars: Vec<Id> = (0..self.members.len()).filter(|id| self.members[*id].lie.is_some()).collect();
        for id in liars {
            let lie = self.members[id].lie;
            let Some(log) = self.members[id].reads.as_mut().and_then(|reads| reads.log.as_mut()) else {
                continue;
            };
            match lie {
                Some(Lie::Forged | Lie::OtherLog) => _ = log.write("forged", length),
                Some(Lie::Runaway) => (0..100).for_each(|_| _ = log.write("forged", 9)),
                Some(Lie::FalseState) => log.entries.clone_from(&self.log.entries),
                _ => {}
            }
        }
        (0..self.members.len()).for_each(|id| self.read_folder(id));
    }

    /// Gives a relay that reads the folder what is new there.
    pub(super) fn read_folder(&mut self, id: Id) {
        let member = &mut self.members[id];
        let Some(reads) = &mut member.reads else { return };
        if member.node.is_none() {
            return;
        }
        let log = reads.log.as_ref().unwrap_or(&self.log);
        let mut events = Vec::new();
        let segment = log.segment();
        if reads.segment.is_none() {
            let (at, bytes) = log.checkpoint(segment);
            events.push(Event::FolderCheckpoint { at, bytes });
            reads.told = segment;
        }
        let entries = log.entries[reads.told as usize..].to_vec();
        reads.told = log.entries.len() as u64;
        events.push(Event::FolderEntries(entries));
        if reads.segment.is_some_and(|known| known < segment) {
            let (at, bytes) = log.checkpoint(segment);
            events.push(Event::FolderCheckpoint { at, bytes });
        }
        reads.segment = Some(segment);
        events.into_iter().for_each(|event| self.deliver(id, event));
    }
}
