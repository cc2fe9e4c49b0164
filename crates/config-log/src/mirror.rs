//! A copy of the log in a folder of one's own, of what one is told: read and followed like the writer's.

use std::collections::VecDeque;
use std::io;

use umbertray_snapshot::Storage;

use crate::chain::{Entry, HashChain, OpenedLog};
use crate::follow::{Replica, Update};
use crate::log::{LogError, SEGMENT_BYTES};
use crate::segment::{CHANGES, SegmentHeader, file_name};
use crate::version::Version;

/// The one writer of a copy.
pub struct LogCopy {
    chain: HashChain,
}

impl LogCopy {
    /// Opens or begins a copy in a folder that no other has; the state that it holds, if any.
    pub fn open(layer: Box<dyn Storage>) -> Result<(LogCopy, Option<Replica>), LogError> {
        let empty = || Version::empty().configuration.bytes();
        let (chain, OpenedLog { header: head, entries }) =
            HashChain::open::<Entry>(layer, &CHANGES, SEGMENT_BYTES, empty)?;
        let mut mirror = LogCopy { chain };
        let broken = |why| LogError::Broken { file: file_name(head.version), why };
        let mut state = Replica::from_header(&head).map_err(broken)?;
        for entry in entries {
            state.apply(&Update::Entry(entry)).map_err(broken)?;
        }
        mirror.chain.recover(|| (state.version.configuration.bytes(), VecDeque::new()))?;
        Ok((mirror, Some(state).filter(|state| state.version.number > 0)))
    }

    /// Writes down what is told next; safe when this returns. `state` is what it follows on.
    pub fn append(&mut self, told: &Update, state: Option<&Replica>) -> io::Result<()> {
        let since = self.chain.segment_start();
        match (told, state) {
            (Update::Entry(entry), Some(state)) if entry.version == self.chain.version() + 1 => {
                let checkpoint = || (state.version.configuration.bytes(), VecDeque::new());
                self.chain.append(entry.body.clone(), checkpoint)?;
            }
            (Update::Checkpoint(head), _) if head.version > self.chain.version() => {
                self.chain.adopt_checkpoint(SegmentHeader { completed: VecDeque::new(), ..head.clone() })?;
            }
            // It is kept already, or follows on something that is not.
            _ => {}
        }
        if self.chain.segment_start() > since { self.chain.forget_earlier() } else { Ok(()) }
    }
}
