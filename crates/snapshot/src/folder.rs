//! A gateway's state folder: loads the saved state at startup and writes new files afterwards.

use std::io;
use std::time::Duration;

use serde::Serialize;
use umbertray_routing::Snapshot;

use crate::FolderError;
use crate::delta::CurrentSnapshot;
use crate::format::{self, FileHeader, FileRecord, MAX_FILE_BYTES, ParsedFile, StampedSnapshot};
use crate::record::encode_record;
use crate::selection::{FoundFile, LoadNote, Selection, select_file};
use crate::stamp::{Age, Stamp, age};
use crate::storage::Storage;
use crate::write_policy::{WriteDecision, WritePolicy};

/// Size that a gateway's state file reaches before the next one is begun, bytes.
pub const FILE_BYTES: usize = 4 << 20;

/// Number of files kept in the folder: the newest, and the previous one in case the newest is damaged.
const KEPT_FILES: usize = 2;

const PREFIX: &str = "state-";
const SUFFIX: &str = ".umb";
const TEMPORARY_FILE: &str = "state.new";

/// The state loaded from a folder.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadResult {
    /// The state. Its promise duration is zero if its reserved tokens must not be used.
    pub snapshot: Snapshot,
    /// The age of the state.
    pub age: Age,
}

/// The only writer of a state folder.
///
/// Invariant: only one run uses the promise of a save (see `claim_promise`).
pub struct SnapshotStore {
    storage: Box<dyn Storage>,
    policy: WritePolicy,
    /// The state that a reader of the current file would have; `None` if there is no file to append to.
    current: Option<CurrentSnapshot>,
}

fn file_name(generation: u64) -> String {
    format!("{PREFIX}{generation:020}{SUFFIX}")
}

fn generation_in(file_name: &str) -> Option<u64> {
    file_name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?.parse().ok()
}

/// Reads all state files of a folder, in no particular order.
///
/// # Errors
/// Those of the file system. Errors in the content of a file are part of the result.
pub fn files(storage: &dyn Storage) -> io::Result<Vec<FoundFile>> {
    let mut found = Vec::new();
    for name in storage.names()? {
        if let Some(generation) = generation_in(&name) {
            let content = format::parse_file(&storage.read(&name, MAX_FILE_BYTES)?);
            found.push((name, generation, content));
        }
    }
    Ok(found)
}

impl SnapshotStore {
    /// Loads the state from a folder and opens the folder for writing, for the gateway with this seed and
    /// settings digest. Files grow to `max_file_bytes`. The notes report what was found but not used.
    ///
    /// # Errors
    /// [`FolderError`] if the folder must be left unchanged or cannot be read.
    pub fn open(
        storage: Box<dyn Storage>,
        gateway: u64,
        digest: u64,
        now: Stamp,
        max_file_bytes: usize,
    ) -> Result<(SnapshotStore, Option<LoadResult>, Vec<LoadNote>), FolderError> {
        let selection = select_file(files(&*storage)?, gateway, digest)?;
        let Selection { file, next_generation, mut notes } = selection;
        let header = FileHeader { gateway, digest, generation: next_generation };
        let policy = WritePolicy::new(header, max_file_bytes);
        let mut store = SnapshotStore { storage, policy, current: None };
        let Some(file) = file else { return Ok((store, None, notes)) };
        let saved_at = file.snapshot.taken_at;
        let loaded = load(file, digest, now);
        if loaded.age == Age::Unknown {
            notes.push(LoadNote::UnknownAge);
        }
        let claimed = store.claim_promise(loaded, saved_at);
        Ok((store, Some(claimed), notes))
    }

    /// Removes a loaded promise from the folder, synced, before it is used. The promise is void if that
    /// fails.
    ///
    /// Hazard: a save promises that its run leaves the reserved tokens unused, so that a later run may use
    /// them, but only one run may do so. If a run that dies before its first save left the promise in place,
    /// the next run would use the same tokens again, and a restart loop would spend more tokens than the
    /// limits allow.
    fn claim_promise(&mut self, mut loaded: LoadResult, saved_at: Stamp) -> LoadResult {
        if loaded.snapshot.promise_duration > Duration::ZERO {
            let without_promise = Snapshot { promise_duration: Duration::ZERO, ..loaded.snapshot.clone() };
            let is_claimed = matches!(self.save(Duration::ZERO, saved_at, without_promise), Ok(true));
            if !is_claimed {
                loaded.snapshot.promise_duration = Duration::ZERO;
            }
        }
        loaded
    }

    /// Saves the state taken at `taken_at`. It is synced when this returns `Ok(true)`; `Ok(false)` if it is
    /// not yet time to write. `now` is the time of a monotonic clock.
    ///
    /// # Errors
    /// Those of the file system. The next call that writes begins a new file then.
    pub fn save(&mut self, now: Duration, taken_at: Stamp, state: Snapshot) -> io::Result<bool> {
        let decision = self.policy.decide(now);
        let written = match decision {
            WriteDecision::Wait => return Ok(false),
            WriteDecision::Append => self.append(taken_at, state),
            WriteDecision::NewFile(generation) => {
                self.begin_file(generation, StampedSnapshot { taken_at, state })
            }
        };
        match written {
            Ok(bytes) => {
                self.policy.record_success(now, decision, bytes);
                Ok(true)
            }
            Err(error) => {
                self.policy.record_failure(now);
                Err(error)
            }
        }
    }

    /// Appends the difference from the state in the current file. Returns the number of bytes written.
    fn append(&mut self, taken_at: Stamp, state: Snapshot) -> io::Result<usize> {
        let mut current = self.current.take().ok_or(io::ErrorKind::NotFound)?;
        let record = FileRecord::Delta(current.delta_to(taken_at, state));
        let bytes = encode(&record)?;
        let file = file_name(self.policy.header().generation);
        self.storage.append(&file, &bytes)?;
        self.storage.sync(&file)?;
        current.apply_record(record);
        self.current = Some(current);
        Ok(bytes.len())
    }

    /// Begins a new file with the complete state. Returns the number of bytes written. Superseded files are
    /// removed once the new one is in place.
    fn begin_file(&mut self, generation: u64, snapshot: StampedSnapshot) -> io::Result<usize> {
        self.current = None;
        let header = FileHeader { generation, ..self.policy.header().clone() };
        let mut bytes = format::file_preamble();
        bytes.extend(encode(&header)?);
        bytes.extend(encode(&FileRecord::Snapshot(snapshot.clone()))?);
        self.storage.put(TEMPORARY_FILE, &file_name(generation), &bytes)?;
        self.remove_superseded_files()?;
        self.current = Some(CurrentSnapshot::new(snapshot));
        Ok(bytes.len())
    }

    fn remove_superseded_files(&mut self) -> io::Result<()> {
        let mut generations: Vec<(u64, String)> = Vec::new();
        for name in self.storage.names()? {
            generations.extend(generation_in(&name).map(|generation| (generation, name)));
        }
        generations.sort_unstable();
        generations.truncate(generations.len().saturating_sub(KEPT_FILES));
        for (_, name) in generations {
            self.storage.remove(&name)?;
        }
        Ok(())
    }
}

fn load(file: ParsedFile, digest: u64, now: Stamp) -> LoadResult {
    let age = age(file.snapshot.taken_at, now);
    let mut snapshot = file.snapshot.state;
    if file.header.digest != digest {
        // The limits may have changed, so tokens reserved under the former limits are meaningless.
        snapshot.promise_duration = Duration::ZERO;
    }
    LoadResult { snapshot, age }
}

fn encode(value: &impl Serialize) -> io::Result<Vec<u8>> {
    encode_record(value).ok_or_else(|| io::ErrorKind::FileTooLarge.into())
}

/// The current time by this machine's clocks.
pub fn current_stamp() -> Stamp {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let boot_id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let boot = u128::from_str_radix(&boot_id.trim().replace('-', ""), 16).unwrap_or(0);
    Stamp { wall: wall.as_micros() as u64, boot, since_boot: time_since_boot().as_micros() as u64 }
}

/// Time since this machine booted, including time in suspend.
pub fn time_since_boot() -> Duration {
    use nix::time::{ClockId, clock_gettime};
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
