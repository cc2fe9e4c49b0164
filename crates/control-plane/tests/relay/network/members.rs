//! Members of the network: how relays and gateways start, stop and lie, and how relays read the folder.

use std::time::Duration;

use rand::Rng;
use umbertray_control_plane::relay::{Config, Event, Origin, RelayNode, Upstream};
use umbertray_store_protocol::changes::Role;

use super::{FolderCursor, Id, Member, Network, NetworkEvent, Site};
use crate::lies::Lie;
use crate::reference_log::Log;

impl Network {
    pub fn add(&mut self, name: &str, zone: (&str, usize), role: Role, upstreams: Vec<Id>) -> Id {
        let folder = upstreams.is_empty();
        self.members.push(Member {
            name: name.into(),
            site: Site { zone: zone.0.into(), region: zone.1 },
            role,
            upstreams,
            lie: None,
            node: None,
            start_count: 0,
            frozen: false,
            never_applies: false,
            send_delay: Duration::ZERO,
            deferred_events: Vec::new(),
            built: None,
            committed: None,
            keeps_committed: role == Role::Gateway,
            folder_cursor: folder.then_some(FolderCursor { log: None, read_up_to: 0, segment: None }),
            frames_sent: 0,
            logged: Vec::new(),
            checkpoints_loaded: 0,
        });
        self.members.len() - 1
    }

    pub fn gateways(&self) -> Vec<Id> {
        let has_role = |id: &Id| self.members[*id].role == Role::Gateway;
        (0..self.members.len()).filter(has_role).collect()
    }

    pub fn relays(&self) -> Vec<Id> {
        let has_role = |id: &Id| self.members[*id].role == Role::Relay;
        (0..self.members.len()).filter(has_role).collect()
    }

    /// Makes a relay lie from its next start on.
    pub fn set_lie(&mut self, id: Id, lie: Lie) {
        let log = lie.of_log().then(|| {
            let mut log =
                if lie == Lie::OtherLog { Log::new(self.log.checkpoint_bytes) } else { self.log.clone() };
            log.label = if lie == Lie::Old { "true" } else { "false" };
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

    /// Starts a member. `resumes` says whether a gateway has kept its state in addition to its committed
    /// position.
    pub fn start_with(&mut self, id: Id, resumes: bool) {
        let seed = self.rng.random();
        let upstream_config = |id: &Id| Upstream {
            name: self.members[*id].name.clone(),
            zone: self.members[*id].site.zone.clone(),
        };
        let member = &self.members[id];
        let origin = if member.folder_cursor.is_some() {
            Origin::Folder
        } else {
            Origin::Upstreams {
                upstreams: member.upstreams.iter().map(upstream_config).collect(),
                quorum: self.quorum,
            }
        };
        let config = Config {
            name: member.name.clone(),
            zone: member.site.zone.clone(),
            role: member.role,
            origin,
            seed,
            max_followers: 1000,
        };
        let member = &mut self.members[id];
        if !member.keeps_committed {
            member.committed = None;
        }
        let held = member.committed.filter(|_| member.role == Role::Gateway && resumes);
        let node = match held {
            Some(at) => RelayNode::resume(config, at),
            None => RelayNode::new(config, member.committed),
        };
        member.node = Some(node.expect("a valid configuration"));
        member.start_count += 1;
        member.built = held;
        member.frozen = false;
        member.deferred_events.clear();
        member
            .folder_cursor
            .iter_mut()
            .for_each(|folder_cursor| (folder_cursor.read_up_to, folder_cursor.segment) = (0, None));
        let start = member.start_count;
        self.read_folder(id);
        self.push(self.now, NetworkEvent::Wake(id, start));
    }

    pub fn start_all(&mut self) {
        (0..self.members.len()).for_each(|id| self.start(id));
    }

    /// Kills the process of a member, and ends its connections.
    pub fn kill(&mut self, id: Id) {
        self.members[id].node = None;
        self.members[id].start_count += 1;
        let ended: Vec<u64> = self.links_of(id).collect();
        ended.into_iter().for_each(|link_id| self.end_link(link_id));
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
        self.written_at.push(self.now);
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

    /// Delivers the new content of the folder to a member, if the member reads a folder.
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
            let (position, bytes) = log.checkpoint(segment);
            events.push(Event::FolderCheckpoint { position, bytes });
            folder_cursor.read_up_to = segment;
        }
        let entries = log.entries[folder_cursor.read_up_to as usize..].to_vec();
        folder_cursor.read_up_to = log.entries.len() as u64;
        events.push(Event::FolderEntries(entries));
        if folder_cursor.segment.is_some_and(|known| known < segment) {
            let (position, bytes) = log.checkpoint(segment);
            events.push(Event::FolderCheckpoint { position, bytes });
        }
        folder_cursor.segment = Some(segment);
        events.into_iter().for_each(|event| self.deliver(id, event));
    }

    fn links_of(&self, id: Id) -> impl Iterator<Item = u64> {
        let links = self.links.iter();
        links.filter(move |(_, link)| link.follower == id || link.upstream == id).map(|(link_id, _)| *link_id)
    }
}
