//! A copy of the log in a folder of one's own, of what one is told: read and followed like the writer's.

use std::collections::VecDeque;
use std::io;

use umbertray_snapshot::Layer;

use crate::chain::{Chain, Entry, Opened};
use crate::follow::{Replica, Told};
use crate::log::{GROWN, LogError};
use crate::segment::{CHANGES, Head, name};
use crate::version::Version;

/// The one writer of a copy.
pub struct Mirror {
    chain: Chain,
}

impl Mirror {
    /// Opens or begins a copy in a folder that no other has; the state that it holds, if any.
    pub fn open(layer: Box<dyn Layer>) -> Result<(Mirror, Option<Replica>), LogError> {
        let empty = || Version::empty().configuration.bytes();
        let (chain, Opened { head, entries }) = Chain::open::<Entry>(layer, &CHANGES, GROWN, empty)?;
        let mut mirror = Mirror { chain };
        let broken = |why| LogError::Broken { file: name(head.version), why };
        let mut state = Replica::read(&head).map_err(broken)?;
        for entry in entries {
            state.take(&Told::Entry(entry)).map_err(broken)?;
        }
        mirror.chain.settle(|| (state.version.configuration.bytes(), VecDeque::new()))?;
        Ok((mirror, Some(state).filter(|state| state.version.number > 0)))
    }

    /// Writes down what is told next; safe when this returns. `state` is what it follows on.
    pub fn keep(&mut self, told: &Told, state: Option<&Replica>) -> io::Result<()> {
        let since = self.chain.since();
        match (told, state) {
            (Told::Entry(entry), Some(state)) if entry.version == self.chain.version() + 1 => {
                let checkpoint = || (state.version.configuration.bytes(), VecDeque::new());
                self.chain.append(entry.body.clone(), checkpoint)?;
            }
            (Told::Whole(head), _) if head.version > self.chain.version() => {
                self.chain.adopt(Head { done: VecDeque::new(), ..head.clone() })?;
            }
            // It is kept already, or follows on something that is not.
            _ => {}
        }
        if self.chain.since() > since { self.chain.forget_earlier() } else { Ok(()) }
    }
}
