//! Rules that every honest member keeps at every step, and what a failed run prints.

use bytes::Bytes;
use umbertray_control_plane::relay::{Event, MAX_CHECKPOINT_TRANSFERS, MAX_SUFFIX_BYTES, WINDOW};
use umbertray_store_protocol::changes::{Position, Role};

use super::{Id, Member, Network};

impl Network {
    pub(super) fn on_checkpoint(&mut self, id: Id, at: Position, checkpoint: &Bytes) {
        let expected = (at.version <= self.log.head().version).then(|| self.log.checkpoint(at.version));
        self.check_rule(id, expected == Some((at, checkpoint.clone())), "adopts what was written");
        let further = self.members[id].built.is_none_or(|built| built.version < at.version);
        self.check_rule(id, further, "adopts what is newer");
        self.members[id].built = Some(at);
        self.members[id].checkpoints_loaded += 1;
    }

    pub(super) fn on_commit(&mut self, id: Id, at: Position) {
        let before = self.members[id].committed;
        self.check_rule(id, self.members[id].built == Some(at), "has in force what it built");
        self.check_rule(id, before.is_none_or(|before| before.version <= at.version), "never goes back");
        self.members[id].committed = Some(at);
        let first = before.map_or(at.version, |before| at.version.min(before.version + 1));
        if let Some(written) = self.written.get(first as usize - 1) {
            self.longest = self.longest.max(self.now - *written);
        }
        if !self.members[id].never_applies {
            self.deliver(id, Event::Applied(at.version));
        }
    }

    /// Records a violation unless an honest member keeps a rule.
    pub(super) fn check_rule(&mut self, id: Id, kept: bool, rule: &str) {
        let member = &self.members[id];
        if !kept && member.lie.is_none() {
            self.violations.push(format!("{} at {:?}: {rule}", member.name, self.now));
        }
    }

    pub(super) fn check_bounds(&mut self, id: Id) {
        let Some(node) = &self.members[id].node else { return };
        let status = node.status(self.now);
        let longest = self.log.longest;
        let state = self.log.state.max(1 << 10);
        let waiting = MAX_SUFFIX_BYTES + WINDOW as usize * 2 + longest.max(state);
        self.most_checkpoint_transfers = self.most_checkpoint_transfers.max(status.checkpoint_transfers);
        self.check_rule(
            id,
            status.checkpoint_transfers <= MAX_CHECKPOINT_TRANSFERS,
            "sends few checkpoints at once",
        );
        self.check_rule(id, status.unconfirmed_bytes <= waiting, "holds little without a quorum");
        self.check_rule(id, status.held_bytes <= (9 << 20) + state + longest, "holds a bounded log suffix");
    }

    /// The status of the relays and some gateways, and what they logged last.
    pub fn describe(&self, gateways: usize) -> Vec<String> {
        let describe = |member: &Member| {
            let status = member.node.as_ref().map(|node| node.status(self.now));
            let status = status.map(|at| {
                (
                    at.head.version,
                    at.oldest_version,
                    at.checkpoint,
                    at.source,
                    at.connected,
                    at.unconfirmed_bytes,
                )
            });
            let logged: Vec<String> =
                member.logged.iter().rev().take(8).map(|event| format!("{event:?}")).collect();
            format!("{}: {status:?}\n      {}", member.name, logged.join("\n      "))
        };
        self.members.iter().take(7 + gateways).map(describe).collect()
    }

    /// Live gateways that have not committed the newest version.
    pub fn lagging(&self) -> Vec<String> {
        let head = self.log.head();
        let of = |member: &&Member| {
            member.role == Role::Gateway
                && member.node.is_some()
                && !member.frozen
                && member.committed != Some(head)
        };
        let describe =
            |member: &Member| format!("{} has {:?}", member.name, member.committed.map(|at| at.version));
        self.members.iter().filter(of).map(describe).collect()
    }
}
