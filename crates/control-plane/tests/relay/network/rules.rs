//! The rules that every honest member has to satisfy at every step, and the description of a failed run.

use bytes::Bytes;
use umbertray_control_plane::relay::{Event, MAX_CHECKPOINT_TRANSFERS, MAX_SUFFIX_BYTES, WINDOW_BYTES};
use umbertray_store_protocol::changes::{Position, Role};

use super::{Id, Member, Network};

impl Network {
    pub(super) fn on_checkpoint(&mut self, id: Id, at: Position, checkpoint: &Bytes) {
        let expected = (at.version <= self.log.head().version).then(|| self.log.checkpoint(at.version));
        self.check_rule(
            id,
            expected == Some((at, checkpoint.clone())),
            "loads only states that were written",
        );
        let is_newer = self.members[id].built.is_none_or(|built| built.version < at.version);
        self.check_rule(id, is_newer, "loads only checkpoints that are newer than its state");
        self.members[id].built = Some(at);
        self.members[id].checkpoints_loaded += 1;
    }

    pub(super) fn on_commit(&mut self, id: Id, at: Position) {
        let before = self.members[id].committed;
        self.check_rule(id, self.members[id].built == Some(at), "commits the position of its state");
        self.check_rule(
            id,
            before.is_none_or(|before| before.version <= at.version),
            "never commits an older version",
        );
        self.members[id].committed = Some(at);
        let first = before.map_or(at.version, |before| at.version.min(before.version + 1));
        if let Some(written) = self.written_at.get(first as usize - 1) {
            self.longest_delay = self.longest_delay.max(self.now - *written);
        }
        if !self.members[id].never_applies {
            self.deliver(id, Event::Applied(at.version));
        }
    }

    /// Records a violation if an honest member does not satisfy a rule.
    pub(super) fn check_rule(&mut self, id: Id, is_satisfied: bool, rule: &str) {
        let member = &self.members[id];
        if !is_satisfied && member.lie.is_none() {
            self.violations.push(format!("{} at {:?}: {rule}", member.name, self.now));
        }
    }

    pub(super) fn check_bounds(&mut self, id: Id) {
        let Some(node) = &self.members[id].node else { return };
        let status = node.status(self.now);
        let longest_body = self.log.longest_body;
        let checkpoint_bytes = self.log.checkpoint_bytes.max(1 << 10);
        let max_unconfirmed =
            MAX_SUFFIX_BYTES + WINDOW_BYTES as usize * 2 + longest_body.max(checkpoint_bytes);
        let max_held = (9 << 20) + checkpoint_bytes + longest_body;
        self.max_checkpoint_transfers = self.max_checkpoint_transfers.max(status.checkpoint_transfers);
        self.check_rule(
            id,
            status.checkpoint_transfers <= MAX_CHECKPOINT_TRANSFERS,
            "limits the number of checkpoints sent at the same time",
        );
        self.check_rule(
            id,
            status.unconfirmed_bytes <= max_unconfirmed,
            "limits the bytes held without a quorum",
        );
        self.check_rule(id, status.held_bytes <= max_held, "limits the size of its log suffix");
    }

    /// The status and the last log events of the relays and of up to this number of gateways.
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

    /// The live gateways that have not committed the newest version.
    pub fn lagging(&self) -> Vec<String> {
        let head = self.log.head();
        let is_lagging = |member: &&Member| {
            member.role == Role::Gateway
                && member.node.is_some()
                && !member.frozen
                && member.committed != Some(head)
        };
        let describe =
            |member: &Member| format!("{} has {:?}", member.name, member.committed.map(|at| at.version));
        self.members.iter().filter(is_lagging).map(describe).collect()
    }
}
