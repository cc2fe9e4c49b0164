//! Reading the log of a folder as it grows, without knowing what entries mean.

use std::collections::VecDeque;
use std::io::ErrorKind;

use umbertray_snapshot::Storage;
use umbertray_snapshot::format::MAX_FILE_BYTES;

use super::{FollowError, Update};
use crate::chain::{self, Entry};
use crate::log::{LogError, segments};
use crate::segment::{CHANGES, Hash, SegmentReader, file_name};

/// A reader's position in the log of a folder.
///
/// Invariant: nothing is returned that no marker or later segment shows to be synced.
pub struct FolderReader {
    /// The last version returned, and its hash.
    version: u64,
    hash: Hash,
    segment_start: u64,
    reader: SegmentReader,
    /// Entries read that are not known to be synced yet.
    unsynced: VecDeque<Entry>,
}

impl FolderReader {
    /// Reads the newest segment: the state that it begins with, and the entries known to be synced.
    ///
    /// # Errors
    /// [`FollowError::NoLog`] where no version is safely committed, [`FollowError::Log`] where the log is damaged or
    /// cannot be read.
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
        updates.extend(reader.take_synced());
        if reader.version == 0 {
            return Err(FollowError::NoLog);
        }
        Ok((reader, updates))
    }

    /// What was committed since the last call. Where reading on fails, what was read before is returned first.
    ///
    /// # Errors
    /// [`FollowError`] where nothing could be read and the log is damaged, diverges or cannot be read.
    pub fn poll(&mut self, storage: &dyn Storage) -> Result<Vec<Update>, FollowError> {
        let mut updates = Vec::new();
        match self.read_to_end(storage, &mut updates) {
            Err(error) if updates.is_empty() => Err(error),
            _ => Ok(updates),
        }
    }

    /// The version that the segment being read begins after.
    pub(super) fn segment_start(&self) -> u64 {
        self.segment_start
    }

    /// Entries read that are not known to be synced yet.
    pub(super) fn unsynced(&self) -> impl Iterator<Item = &Entry> {
        self.unsynced.iter()
    }

    fn read_to_end(&mut self, storage: &dyn Storage, updates: &mut Vec<Update>) -> Result<(), FollowError> {
        match self.read_on(storage) {
            // The segment was removed since the last call: a newer one has the rest.
            Err(FollowError::Log(LogError::Disk(error)))
                if error.kind() == ErrorKind::NotFound && self.next_segment(storage)?.is_some() => {}
            read => updates.extend(read?),
        }
        while let Some(next) = self.next_segment(storage)? {
            let segment = chain::read_segment(storage, &CHANGES, next)?;
            self.enter(segment, updates)?;
            updates.extend(self.read_on(storage)?);
        }
        Ok(())
    }

    fn next_segment(&self, storage: &dyn Storage) -> Result<Option<u64>, FollowError> {
        Ok(segments(storage)?.into_iter().find(|start| *start > self.segment_start))
    }

    fn read_on(&mut self, storage: &dyn Storage) -> Result<Vec<Update>, FollowError> {
        let file = file_name(self.segment_start);
        let bytes = storage.read_from(&file, self.reader.bytes_read, MAX_FILE_BYTES)?;
        let entries = self.reader.feed::<Entry>(&bytes);
        self.unsynced.extend(entries.map_err(|reason| LogError::Broken { file, reason })?);
        Ok(self.take_synced())
    }

    fn take_synced(&mut self) -> Vec<Update> {
        self.take_up_to(self.reader.synced_version)
    }

    fn take_up_to(&mut self, last: u64) -> Vec<Update> {
        let count = self.unsynced.iter().take_while(|entry| entry.version <= last).count();
        let taken: Vec<Entry> = self.unsynced.drain(..count).collect();
        if let Some(entry) = taken.last() {
            self.version = entry.version;
            self.hash = entry.hash;
        }
        taken.into_iter().map(Update::Entry).collect()
    }

    /// Goes on to a newer segment. It is synced with all before it: the entries left of this one up to its start are
    /// returned, and its checkpoint, which a reader who has those entries knows.
    fn enter(&mut self, segment: chain::Segment, updates: &mut Vec<Update>) -> Result<(), FollowError> {
        let chain::Segment { header, reader, entries, .. } = segment;
        updates.extend(self.take_up_to(header.version));
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
