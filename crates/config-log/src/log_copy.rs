//! A copy of the log in a folder of one's own, from updates: read and followed like the writer's.

use std::collections::VecDeque;
use std::io;

use umbertray_snapshot::Storage;

use crate::chain::{Checkpoint, Entry, HashChain, OpenedLog};
use crate::follow::{Replica, Update};
use crate::log::{LogError, SEGMENT_BYTES};
use crate::segment::{CHANGES, SegmentHeader, file_name};
use crate::version::Version;

/// The one writer of a copy.
///
/// Invariant: the folder holds a prefix of the log's history, or its state at one version and what follows.
pub struct LogCopy {
    chain: HashChain,
}

impl LogCopy {
    /// Opens or begins a copy in a folder that no other writer has. Returns the state that it holds, if any.
    ///
    /// # Errors
    /// [`LogError`] where the copy is damaged or the file system fails.
    pub fn open(storage: Box<dyn Storage>) -> Result<(LogCopy, Option<Replica>), LogError> {
        let empty = || Version::empty().configuration.bytes();
        let (chain, opened) = HashChain::open::<Entry>(storage, &CHANGES, SEGMENT_BYTES, empty)?;
        let OpenedLog { header, entries } = opened;
        let mut copy = LogCopy { chain };
        let broken = |reason| LogError::Broken { file: file_name(header.version), reason };
        let mut state = Replica::from_header(&header).map_err(broken)?;
        for entry in entries {
            state.apply(&Update::Entry(entry)).map_err(broken)?;
        }
        copy.chain.recover(|| checkpoint(&state))?;
        let held = Some(state).filter(|state| state.version.number > 0);
        Ok((copy, held))
    }

    /// Writes the next update, synced when this returns. `state` is the one that the update follows on. An update that
    /// is in the copy already, or follows on something that is not, is ignored.
    ///
    /// # Errors
    /// Those of the file system; the copy must be opened again then.
    pub fn append(&mut self, update: &Update, state: Option<&Replica>) -> io::Result<()> {
        let segment_start = self.chain.segment_start();
        match (update, state) {
            (Update::Entry(entry), Some(state)) if entry.version == self.chain.version() + 1 => {
                self.chain.append(entry.body.clone(), || checkpoint(state))?;
            }
            (Update::Checkpoint(header), _) if header.version > self.chain.version() => {
                let header = SegmentHeader { completed: VecDeque::new(), ..header.clone() };
                self.chain.adopt_checkpoint(header)?;
            }
            _ => {}
        }
        let has_new_segment = self.chain.segment_start() > segment_start;
        if has_new_segment {
            self.chain.remove_earlier_segments()?;
        }
        Ok(())
    }
}

fn checkpoint(state: &Replica) -> Checkpoint {
    (state.version.configuration.bytes(), VecDeque::new())
}
