//! Reads the log of a folder as it grows, without interpreting the entries.

use std::collections::VecDeque;
use std::io::ErrorKind;

use umbertray_snapshot::Storage;
use umbertray_snapshot::format::MAX_FILE_BYTES;

use super::{FollowError, Update};
use crate::chain::{self, Entry};
use crate::log::{LogError, segments};
use crate::segment::{CHANGES, Hash, SegmentReader, file_name};

/// A reader of the log of a folder.
///
/// Invariant: an entry is returned only once a marker or a later segment shows that it is synced.
pub struct FolderReader {
    /// The last version returned, and its hash.
    version: u64,
    hash: Hash,
    segment_start: u64,
    reader: SegmentReader,
    /// Entries that were read but are not known to be synced yet.
    unsynced: VecDeque<Entry>,
}

impl FolderReader {
    /// Reads the newest segment: the state at its start, and the entries known to be synced.
    ///
    /// # Errors
    /// [`FollowError::NoLog`] if no version is safely committed, [`FollowError::Log`] if the log is damaged
    /// or cannot be read.
    pub fn open(storage: &dyn Storage) -> Result<(FolderReader, Vec<Update>), FollowError> {
        let newest = *segments(storage)?.last().ok_or(FollowError::NoLog)?;
        let segment = chain::read_segment(storage, &CHANGES, newest)?;
        let mut reader = FolderReader {
            version: segment.header.version,
            hash: segment.header.hash,
            segment_start: newest,
            reader: segment.reader,
            unsynced: segment.entries.into(),
        };
        let mut updates = vec![Update::Checkpoint(segment.header)];
        updates.extend(reader.drain_synced());
        if reader.version == 0 {
            return Err(FollowError::NoLog);
        }
        Ok((reader, updates))
    }

    /// Returns the updates committed since the last call. If reading fails after some updates, those are
    /// returned and the next call reports the error.
    ///
    /// # Errors
    /// [`FollowError`] if nothing could be read and the log is damaged, diverges or cannot be read.
    pub fn poll(&mut self, storage: &dyn Storage) -> Result<Vec<Update>, FollowError> {
        let mut updates = Vec::new();
        match self.read_to_end(storage, &mut updates) {
            Err(error) if updates.is_empty() => Err(error),
            _ => Ok(updates),
        }
    }

    /// The version after which the segment being read begins.
    pub(super) fn segment_start(&self) -> u64 {
        self.segment_start
    }

    /// Entries that were read but are not known to be synced yet.
    pub(super) fn unsynced(&self) -> impl Iterator<Item = &Entry> {
        self.unsynced.iter()
    }

    fn read_to_end(&mut self, storage: &dyn Storage, updates: &mut Vec<Update>) -> Result<(), FollowError> {
        match self.read_appended(storage) {
            // The segment was removed since the last call. A newer segment covers the rest.
            Err(FollowError::Log(LogError::Disk(error)))
                if error.kind() == ErrorKind::NotFound && self.next_segment(storage)?.is_some() => {}
            read => updates.extend(read?),
        }
        while let Some(next) = self.next_segment(storage)? {
            let segment = chain::read_segment(storage, &CHANGES, next)?;
            self.switch_to_segment(segment, updates)?;
            updates.extend(self.read_appended(storage)?);
        }
        Ok(())
    }

    fn next_segment(&self, storage: &dyn Storage) -> Result<Option<u64>, FollowError> {
        Ok(segments(storage)?.into_iter().find(|start| *start > self.segment_start))
    }

    fn read_appended(&mut self, storage: &dyn Storage) -> Result<Vec<Update>, FollowError> {
        let file = file_name(self.segment_start);
        let bytes = storage.read_from(&file, self.reader.bytes_read, MAX_FILE_BYTES)?;
        let entries = self.reader.feed::<Entry>(&bytes);
        self.unsynced.extend(entries.map_err(|reason| LogError::Broken { file, reason })?);
        Ok(self.drain_synced())
    }

    fn drain_synced(&mut self) -> Vec<Update> {
        self.drain_up_to(self.reader.synced_version)
    }

    fn drain_up_to(&mut self, last: u64) -> Vec<Update> {
        let count = self.unsynced.iter().take_while(|entry| entry.version <= last).count();
        let drained: Vec<Entry> = self.unsynced.drain(..count).collect();
        if let Some(entry) = drained.last() {
            self.version = entry.version;
            self.hash = entry.hash;
        }
        drained.into_iter().map(Update::Entry).collect()
    }

    /// Continues with a newer segment. The new segment is synced with everything before it, so the remaining
    /// entries of the current segment up to its start are returned, and then its checkpoint. A reader that
    /// has applied those entries already has the state of the checkpoint.
    fn switch_to_segment(
        &mut self,
        segment: chain::Segment,
        updates: &mut Vec<Update>,
    ) -> Result<(), FollowError> {
        let chain::Segment { header, reader, entries, .. } = segment;
        updates.extend(self.drain_up_to(header.version));
        if header.version == self.version && header.hash != self.hash {
            return Err(FollowError::DivergentHistory(header.version));
        }
        self.segment_start = header.version;
        self.reader = reader;
        if self.version <= header.version {
            self.version = header.version;
            self.hash = header.hash;
            updates.push(Update::Checkpoint(header));
        }
        let version = self.version;
        self.unsynced = entries.into_iter().filter(|entry| entry.version > version).collect();
        Ok(())
    }
}
