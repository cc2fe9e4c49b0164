//! The coordinator's log: the chain that changes of the settings stand in too, with records of the map in it.

use std::collections::VecDeque;
use std::io;
use std::path::Path;

use umbertray_config_log::chain::{ChainError, HashChain, LogFormat, OpenedLog};
use umbertray_control_plane::{Coordinator, CoordinatorState, Output, Record};
use umbertray_snapshot::Storage;

use crate::CoordinatorError;

const KEPT: LogFormat = LogFormat { magic: b"UMBMAP", prefix: "map-", suffix: ".log", temporary: "map.new" };

/// A segment grows to so many bytes, or to twice what it begins with if that is more.
const GROWN: usize = 4 << 20;

pub struct Log {
    chain: HashChain,
}

impl Log {
    /// Opens or begins a folder's log; a core on what it says, and what that core does first.
    pub fn open(
        layer: Box<dyn Storage>,
        folder: &Path,
    ) -> Result<(Log, Coordinator, Vec<Output>), CoordinatorError> {
        let broken = |error| CoordinatorError::Log { folder: folder.into(), error };
        let opened = HashChain::open(layer, &KEPT, GROWN, || CoordinatorState::default().encode());
        let (mut chain, OpenedLog { header: head, entries }): (HashChain, OpenedLog) =
            opened.map_err(broken)?;
        let unknown = |version| CoordinatorError::UnreadableRecord { folder: folder.into(), version };
        let mut state = CoordinatorState::decode(&head.checkpoint).ok_or_else(|| unknown(head.version))?;
        for entry in entries {
            let records: Vec<Record> =
                postcard::from_bytes(&entry.body).map_err(|_| unknown(entry.version))?;
            records.iter().for_each(|record| state.apply(record));
        }
        let settled = chain.recover(|| (state.encode(), VecDeque::new()));
        settled.map_err(|error| broken(ChainError::Disk(error)))?;
        // A run of its own segment: what a coordinator that was taken over from still writes, it writes to the one before.
        let rolled = chain.roll(state.encode(), VecDeque::new());
        rolled.map_err(|error| broken(ChainError::Disk(error)))?;
        let (core, first) = Coordinator::start(state);
        Ok((Log { chain }, core, first))
    }

    /// Safe when this returns. A new segment begins with `state`, which has these records already: they are told once more
    /// there, and change nothing then.
    pub fn append(&mut self, records: &[Record], state: &CoordinatorState) -> io::Result<()> {
        let body = postcard::to_stdvec(records).map_err(io::Error::other)?;
        self.chain.append(body, || (state.encode(), VecDeque::new())).map(|_| ())
    }
}

#[cfg(test)]
mod tests;
