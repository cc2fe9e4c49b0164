//! A copy of the log in a separate folder, written from updates. It can be read and followed like the
//! original.

use std::collections::VecDeque;
use std::io;

use umbertray_snapshot::Storage;

use crate::chain::{Checkpoint, Entry, HashChain, OpenedLog};
use crate::follow::{Replica, Update};
use crate::log::{LogError, SEGMENT_BYTES};
use crate::segment::{CHANGES, SegmentHeader, file_name};
use crate::version::Version;

/// The only writer of a copy.
///
/// Invariant: the folder holds a prefix of the log's history, or the state at one version and the entries
/// after it.
pub struct LogCopy {
    chain: HashChain,
}

impl LogCopy {
    /// Opens or creates a copy in a folder that no other writer uses. Returns the newest state in the copy,
    /// if any.
    ///
    /// # Errors
    /// [`LogError`] if the copy is damaged or the file system fails.
    pub fn open(storage: Box<dyn Storage>) -> Result<(LogCopy, Option<Replica>), LogError> {
        let empty = || Version::empty().configuration.to_bytes();
        let (chain, opened) = HashChain::open::<Entry>(storage, &CHANGES, SEGMENT_BYTES, empty)?;
        let OpenedLog { header, entries } = opened;
        let mut copy = LogCopy { chain };
        let broken = |reason| LogError::Broken { file: file_name(header.version), reason };
        let mut state = Replica::from_header(&header).map_err(broken)?;
        for entry in entries {
            state.apply(&Update::Entry(entry)).map_err(broken)?;
        }
        copy.chain.recover(|| checkpoint(&state))?;
        let newest_state = Some(state).filter(|state| state.version.number > 0);
        Ok((copy, newest_state))
    }

    /// Writes the next update. It is synced when this returns. `state` is the state before the update. An
    /// update that is already in the copy, or whose predecessor is not, is ignored.
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
    (state.version.configuration.to_bytes(), VecDeque::new())
}
