//! Buffer of updates between the node and the event loop's owner.

use std::collections::VecDeque;

use bytes::Bytes;
use umbertray_config_log::Update;
use umbertray_config_log::chain::{self, SegmentHeader};
use umbertray_control_plane::relay::{Entry, Event};
use umbertray_store_protocol::changes::Position;

/// Bytes of buffered updates at which the event loop stops receiving events.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Updates that the node has returned as actions and that were not delivered to the owner yet.
///
/// Invariant: only committed updates are delivered to the owner, in the order in which the node returned
/// them.
#[derive(Default)]
pub(super) struct UpdateBuffer {
    uncommitted: Vec<Update>,
    committed: Vec<Update>,
    /// Bytes of all updates added since the last delivery.
    buffered_bytes: usize,
}

impl UpdateBuffer {
    pub(super) fn add_checkpoint(&mut self, position: Position, checkpoint: &Bytes) {
        let header = SegmentHeader {
            version: position.version,
            hash: position.hash,
            checkpoint: checkpoint.to_vec(),
            completed: VecDeque::new(),
        };
        self.add(Update::Checkpoint(header), checkpoint.len());
    }

    pub(super) fn add_entry(&mut self, entry: &Entry) {
        let Position { version, hash } = entry.position;
        let update = Update::Entry(chain::Entry { version, hash, body: entry.body.to_vec() });
        self.add(update, entry.body.len());
    }

    fn add(&mut self, update: Update, bytes: usize) {
        self.uncommitted.push(update);
        self.buffered_bytes += bytes;
    }

    pub(super) fn commit(&mut self) {
        self.committed.append(&mut self.uncommitted);
    }

    pub(super) fn has_committed(&self) -> bool {
        !self.committed.is_empty()
    }

    pub(super) fn take_committed(&mut self) -> Vec<Update> {
        self.buffered_bytes = 0;
        std::mem::take(&mut self.committed)
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.buffered_bytes < MAX_BUFFERED_BYTES
    }
}

/// Converts updates read from the folder to events for the node; entries between two checkpoints form one
/// event.
pub(super) fn folder_events(updates: Vec<Update>) -> Vec<Event> {
    let mut events = Vec::new();
    for update in updates {
        let position = Position { version: update.version(), hash: update.hash() };
        match update {
            Update::Checkpoint(header) => {
                events.push(Event::FolderCheckpoint { position, bytes: header.checkpoint.into() });
            }
            Update::Entry(entry) => {
                let entry = Entry { position, body: entry.body.into() };
                match events.last_mut() {
                    Some(Event::FolderEntries(entries)) => entries.push(entry),
                    _ => events.push(Event::FolderEntries(vec![entry])),
                }
            }
        }
    }
    events
}
