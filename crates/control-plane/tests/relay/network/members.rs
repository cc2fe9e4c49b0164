//! Members: relays, gateways and the folder that some relays read; how they start, stop and lie.

use std::time::Duration;

use rand::Rng;
use umbertray_control_plane::relay::{Config, Event, Origin, RelayNode, Upstream};
use umbertray_store_protocol::changes::Role;

use super::{FolderCursor, Id, Member, Network, NetworkEvent, Place};
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
            committed: None,
            keeps: role == Role::Gateway,
            folder_cursor: folder.then_some(FolderCursor { log: None, read_up_to: 0, segment: None }),
            frames_sent: 0,
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
    pub fn set_lie(&mut self, id: Id, lie: Lie) {
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
            member.folder_cursor = Some(FolderCursor { log, read_up_to: 0, segment: None });
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
        let origin = if member.folder_cursor.is_some() {
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
            member.committed = None;
        }
        let held = member.committed.filter(|_| member.role == Role::Gateway && resumes);
        let node = match held {
            Some(at) => RelayNode::resume(config, at),
            None => RelayNode::new(config, member.committed),
        };
        member.node = Some(node.expect("a sound configuration"));
        member.start += 1;
        member.built = held;
        member.frozen = false;
        member.deferred_events.clear();
        member
            .folder_cursor
            .iter_mut()
            .for_each(|folder_cursor| (folder_cursor.read_up_to, folder_cursor.segment) = (0, None));
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
        let ended: Vec<u64> = self.links_of(id).collect();
        ended.into_iter().for_each(|link_id| self.end(link_id));
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
            let Some(log) =
                self.members[id].folder_cursor.as_mut().and_then(|folder_cursor| folder_cursor.log.as_mut())
            else {
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
        let Some(folder_cursor) = &mut member.folder_cursor else { return };
        if member.node.is_none() {
            return;
        }
        let log = folder_cursor.log.as_ref().unwrap_or(&self.log);
        let mut events = Vec::new();
        let segment = log.segment();
        if folder_cursor.segment.is_none() {
            let (at, bytes) = log.checkpoint(segment);
            events.push(Event::FolderCheckpoint { at, bytes });
            folder_cursor.read_up_to = segment;
        }
        let entries = log.entries[folder_cursor.read_up_to as usize..].to_vec();
        folder_cursor.read_up_to = log.entries.len() as u64;
        events.push(Event::FolderEntries(entries));
        if folder_cursor.segment.is_some_and(|known| known < segment) {
            let (at, bytes) = log.checkpoint(segment);
            events.push(Event::FolderCheckpoint { at, bytes });
        }
        folder_cursor.segment = Some(segment);
        events.into_iter().for_each(|event| self.deliver(id, event));
    }

    fn links_of(&self, id: Id) -> impl Iterator<Item = u64> {
        let links = self.links.iter();
        links.filter(move |(_, link)| link.follower == id || link.upstream == id).map(|(link_id, _)| *link_id)
    }
}
