//! The coordinator's log: records of the extent map in a hash chain, a form that the change log uses too.

use std::collections::VecDeque;
use std::io;
use std::path::Path;

use umbertray_config_log::chain::{ChainError, HashChain, LogFormat, OpenedLog};
use umbertray_control_plane::{Coordinator, CoordinatorState, Output, Record};
use umbertray_snapshot::Storage;

use crate::CoordinatorError;

const FORMAT: LogFormat =
    LogFormat { magic: b"UMBMAP", prefix: "map-", suffix: ".log", temporary_name: "map.new" };

/// Size beyond which a new segment begins, bytes; twice the segment's initial size if that is more.
const MAX_SEGMENT_GROWTH: usize = 4 << 20;

/// The log of a folder, open for appending.
pub(crate) struct Log {
    chain: HashChain,
}

/// An opened log, and the coordinator state machine that starts a new run from it.
pub(crate) struct OpenLog {
    pub(crate) log: Log,
    pub(crate) coordinator: Coordinator,
    /// The outputs to apply before any event is handled.
    pub(crate) first_outputs: Vec<Output>,
}

impl Log {
    /// Opens the log of a folder, or creates it. Each step may need several syncs; `renew_lease` is called
    /// between the steps, so that the lease does not expire on a slow disk.
    pub(crate) fn open(
        storage: Box<dyn Storage>,
        folder: &Path,
        mut renew_lease: impl FnMut() -> Result<(), CoordinatorError>,
    ) -> Result<OpenLog, CoordinatorError> {
        let log_error = |error| CoordinatorError::Log { folder: folder.into(), error };
        let opened =
            HashChain::open(storage, &FORMAT, MAX_SEGMENT_GROWTH, || CoordinatorState::default().encode());
        let (mut chain, opened): (HashChain, OpenedLog) = opened.map_err(log_error)?;
        renew_lease()?;
        let state = restore(&opened, folder)?;
        let recovered = chain.recover(|| (state.encode(), VecDeque::new()));
        recovered.map_err(|error| log_error(ChainError::Disk(error)))?;
        renew_lease()?;
        // Each run begins a separate segment. If the previous coordinator still writes after the takeover, it
        // writes to an earlier segment.
        let new_segment = chain.roll(state.encode(), VecDeque::new());
        new_segment.map_err(|error| log_error(ChainError::Disk(error)))?;
        renew_lease()?;
        let (coordinator, first_outputs) = Coordinator::start(state);
        Ok(OpenLog { log: Log { chain }, coordinator, first_outputs })
    }

    /// Appends records; they are durable when this returns. If a new segment begins, its checkpoint is
    /// `state`, which already includes these records: they are logged there too, and applying them again has
    /// no effect.
    pub(crate) fn append(&mut self, records: &[Record], state: &CoordinatorState) -> io::Result<()> {
        let body = postcard::to_stdvec(records).map_err(io::Error::other)?;
        self.chain.append(body, || (state.encode(), VecDeque::new())).map(|_| ())
    }
}

/// The state after a log's checkpoint and records.
fn restore(opened: &OpenedLog, folder: &Path) -> Result<CoordinatorState, CoordinatorError> {
    let unreadable = |version| CoordinatorError::UnreadableRecord { folder: folder.into(), version };
    let header = &opened.header;
    let mut state = CoordinatorState::decode(&header.checkpoint).ok_or_else(|| unreadable(header.version))?;
    for entry in &opened.entries {
        let records: Vec<Record> =
            postcard::from_bytes(&entry.body).map_err(|_| unreadable(entry.version))?;
        records.iter().for_each(|record| state.apply(record));
    }
    Ok(state)
}

#[cfg(test)]
mod tests;
