//! A simulated disk for tests that fails or crashes at chosen steps.
//!
//! After a crash, unsynced bytes are lost, torn, zero-filled, flipped or kept, and unsynced changes of names
//! are undone or kept. A seed determines the outcome: the same seed and the same steps result in the same
//! disk.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::storage::Storage;

#[derive(Clone, Debug, Default)]
struct File {
    /// Content that survives a crash.
    synced: Vec<u8>,
    /// Content that processes see. The unsynced part may survive a crash completely or in part.
    written: Vec<u8>,
}

/// A fault that is injected at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageFault {
    /// The machine stops at this step.
    Crash,
    /// The step fails, as on a full or read-only disk. If the step is a sync, the unsynced data is dropped.
    Fail,
}

/// A name that was assigned to a file or removed.
#[derive(Clone, Debug)]
struct NameChange {
    name: String,
    /// Index of the file; `None` for a removal.
    file: Option<usize>,
}

#[derive(Debug, Default)]
struct State {
    /// All files ever written; names refer to them by index.
    files: Vec<File>,
    /// Names that processes see.
    names: BTreeMap<String, usize>,
    /// Names that survive a crash.
    synced_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the folder, in order. Each may or may not survive a crash.
    unsynced_names: Vec<NameChange>,
    steps: u64,
    faults: BTreeMap<u64, StorageFault>,
    has_crashed: bool,
    /// Content of each file that processes saw at the crash, by index.
    content_at_crash: Vec<Vec<u8>>,
}

/// A disk in memory. A clone is another handle to the same disk.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn from_state(state: State) -> SimulatedDisk {
        SimulatedDisk { state: Arc::new(Mutex::new(state)) }
    }

    /// Number of steps so far. Each write, append, sync, rename and removal is one step.
    pub fn steps(&self) -> u64 {
        self.state().steps
    }

    /// Injects a fault at a step, counted from 1.
    pub fn inject_fault(&self, step: u64, fault: StorageFault) {
        self.state().faults.insert(step, fault);
    }

    /// Whether a [`StorageFault::Crash`] has happened. Every later step fails.
    pub fn has_crashed(&self) -> bool {
        self.state().has_crashed
    }

    /// A disk with the content that processes could read at the crash, whether synced or not.
    pub fn visible_at_crash(&self) -> SimulatedDisk {
        let state = self.state();
        let files = state.files.iter().enumerate().map(|(index, file)| {
            let written = state.content_at_crash.get(index).unwrap_or(&file.written).clone();
            File { synced: written.clone(), written }
        });
        let files = files.collect();
        SimulatedDisk::from_state(State { files, names: state.names.clone(), ..State::default() })
    }

    /// The disk as found after a crash. The seed determines what happened to unsynced data and names.
    pub fn after_crash(&self, seed: u64) -> SimulatedDisk {
        let state = self.state();
        let draw = Draw { seed };
        let files = state.files.iter().enumerate().map(|(index, file)| {
            let bytes = file.content_after_crash(index, draw);
            File { synced: bytes.clone(), written: bytes }
        });
        let files = files.collect();
        let names = state.names_after_crash(draw);
        SimulatedDisk::from_state(State { files, synced_names: names.clone(), names, ..State::default() })
    }

    /// Counts a step. Returns an error if a fault is injected at this step or the disk has crashed before.
    fn step(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        if state.has_crashed {
            return Err(io::Error::other("the machine has stopped"));
        }
        state.steps += 1;
        match state.faults.get(&state.steps) {
            Some(StorageFault::Crash) => {
                state.has_crashed = true;
                state.content_at_crash = state.files.iter().map(|file| file.written.clone()).collect();
                Err(io::Error::other("the machine stops"))
            }
            Some(StorageFault::Fail) => Err(io::ErrorKind::StorageFull.into()),
            None => Ok(state),
        }
    }
}

/// The random choices of one crash. Each is a hash of the seed, the purpose and an index.
#[derive(Clone, Copy)]
struct Draw {
    seed: u64,
}

impl Draw {
    fn number(self, purpose: &str, index: usize) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, (purpose, index)).hash(&mut hasher);
        hasher.finish()
    }
}

impl File {
    /// The synced content followed by a part of the unsynced content.
    fn content_after_crash(&self, index: usize, draw: Draw) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        let synced_bytes = bytes.len();
        let unsynced = self.written.get(synced_bytes..).unwrap_or_default();
        let kept_bytes = draw.number("kept", index) as usize % (unsynced.len() + 1);
        bytes.extend_from_slice(&unsynced[..kept_bytes]);
        match draw.number("how", index) % 3 {
            // Space was allocated, but its bytes were not written.
            0 => bytes.resize(synced_bytes + unsynced.len(), 0),
            // A sector holds other bytes.
            1 if kept_bytes > 0 => {
                let flipped = synced_bytes + draw.number("flip", index) as usize % kept_bytes;
                bytes[flipped] ^= 1 << (draw.number("bit", index) % 8);
            }
            _ => {}
        }
        bytes
    }
}

impl State {
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let index = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[index])
    }

    fn change_name(&mut self, name: &str, file: Option<usize>) {
        let change = NameChange { name: name.into(), file };
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }

    /// Any subset of the unsynced changes of names may reach the disk, but changes of one name stay in order.
    fn names_after_crash(&self, draw: Draw) -> BTreeMap<String, usize> {
        let mut names = self.synced_names.clone();
        for (index, change) in self.unsynced_names.iter().enumerate() {
            let is_on_disk = draw.number("name", index).is_multiple_of(2);
            if is_on_disk {
                change.apply(&mut names);
            }
        }
        names
    }
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self.file {
            Some(file) => _ = names.insert(self.name.clone(), file),
            None => _ = names.remove(&self.name),
        }
    }
}

impl Storage for SimulatedDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        let bytes = &state.file(name)?.written;
        Ok(bytes[..bytes.len().min(max_bytes)].to_vec())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.step()?;
        state.files.push(File { synced: Vec::new(), written: bytes.into() });
        let file = state.files.len() - 1;
        state.change_name(name, Some(file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?.file(name)?.written.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        match self.step() {
            Ok(mut state) => {
                let file = state.file(name)?;
                file.synced = file.written.clone();
                Ok(())
            }
            Err(error) => {
                // Like a real disk: data that could not be written is dropped, and a later sync would report
                // success.
                if let Ok(file) = self.state().file(name) {
                    file.written = file.synced.clone();
                }
                Err(error)
            }
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.step()?;
        let file = *state.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        state.change_name(to, Some(file));
        state.change_name(from, None);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?.change_name(name, None);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.step()?;
        state.synced_names = state.names.clone();
        state.unsynced_names.clear();
        Ok(())
    }
}
